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
  /// \brief Whether a call shares connections with other calls and requests.
  enum class Sharing
  {
    /// A late answer to an earlier request cannot be taken for the reply, which
    /// carries no id.
    kOwnConnection,
    kSharedConnection,
  };
  /// Fails when no complete answer arrives within aTimeout; the call may have
  /// been executed nevertheless.
  Task<Result<CallReply>> Call(Endpoint aTo,
                               HttpCall aCall,
                               std::chrono::milliseconds aTimeout,
                               Sharing aSharing = Sharing::kOwnConnection);

private:
  TargetPool& mPool;
};

} // namespace ragwortdeck
