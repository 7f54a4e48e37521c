#pragma once

#include "Entry/PlatformCodec.h"
#include "Entry/TargetPool.h"

namespace ragwortdeck {

/// \brief Answer to an HTTP call.
struct CallReply
{
  unsigned mStatus = 0;
  std::string mBody;
  HttpFields mHeaders;
};

/// \brief Makes short HTTP calls to the store, and to an engine about a run.
class CallClient
{
public:
  explicit CallClient(TargetPool& aPool)
    : mPool(aPool)
  {
  }
  /// Fails when no complete answer arrives within aTimeout; the call may have
  /// been executed nevertheless.
  Task<Result<CallReply>> Call(Endpoint aTo,
                               HttpCall aCall,
                               std::chrono::milliseconds aTimeout);

private:
  TargetPool& mPool;
};

} // namespace ragwortdeck
