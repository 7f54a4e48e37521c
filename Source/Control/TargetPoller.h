#pragma once

#include "Control/LoadSharing.h"
#include "Targets/ShortCalls.h"

namespace ragwortdeck {

/// \brief Reads load reports of targets over HTTP.
class TargetPoller
{
public:
  explicit TargetPoller(std::chrono::milliseconds aTimeout);

  /// GET http://<target>/load; calls back once, within the timeout.
  void Poll(const Target& aTarget,
            const LoadSharing::ReportCallback& aCallback);

private:
  std::chrono::milliseconds mTimeout;
  ShortCalls mCalls;
};

} // namespace ragwortdeck
