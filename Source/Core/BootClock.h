#pragma once

#include "Core/Clock.h"

namespace ragwortdeck {

/// \brief Time since the start of the machine, with the time it was suspended.
/// A suspended host must count its knowledge as old when it wakes: it would
/// otherwise trust a lease or a credit that has lapsed for everyone else.
class BootClock : public Clock
{
public:
  MonotonicTime Now() const override;
  WallTime WallNow() const override;
};

} // namespace ragwortdeck
