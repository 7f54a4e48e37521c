#pragma once

#include "Core/StrongString.h"

namespace ragwortdeck {

/// An entry host of the system, for example "entry-03".
using HostId = StrongString<struct HostIdTag>;
/// An availability zone, for example "nadia".
using FailureDomain = StrongString<struct FailureDomainTag>;
/// A tenant; a row of the teams sheet.
using TeamName = StrongString<struct TeamNameTag>;
/// A kind of request; a row of the kinds sheet.
using KindName = StrongString<struct KindNameTag>;
/// A model; a row of the models sheet.
using ModelName = StrongString<struct ModelNameTag>;
/// An upstream: an engine or a service.
using TargetId = StrongString<struct TargetIdTag>;
/// A request as one router saw it; unique over all hosts.
using RequestId = StrongString<struct RequestIdTag>;

} // namespace ragwortdeck
