#pragma once

#include "Core/RandomSource.h"
#include "Filters/ActionHook.h"
#include "Filters/ReplyBuffer.h"
#include "Filters/RequestContext.h"
#include "Filters/RequestEnvironment.h"

#include <list>
#include <memory>
#include <string_view>

namespace ragwortdeck {

/// \brief One service call of a caller: a look-up with retries and hedging, or
/// an action through the hook. Lives on one thread.
class ServiceCaller : public std::enable_shared_from_this<ServiceCaller>
{
public:
  ServiceCaller(RequestEnvironment& aEnvironment,
                RequestContext aContext,
                RandomSource aRandom);

  void StartLookUp();
  void StartAction();

private:
  /// One call in flight; its handle abandons it when destroyed.
  struct InFlight
  {
    explicit InFlight(MemoryAccount& aMemory)
      : mReply(aMemory)
    {
    }
    ReplyBuffer mReply;
    std::unique_ptr<CurlTransfer> mTransfer;
  };

  HttpCall MakeCall(const Target& aTarget) const;
  bool TryLookUp();
  void OnLookUpEnd(std::list<InFlight>::iterator aCall,
                   const TransferEnd& aEnd);
  void ArmHedge();
  void FinishAction(const ActionResult& aResult);
  void Refuse(const Verdict& aVerdict);
  void Record(EventType aType, std::string_view aVerdict) const;

  RequestEnvironment& mEnvironment;
  RequestContext mContext;
  RandomSource mRandom;
  std::vector<TargetId> mTried;
  std::list<InFlight> mCalls;
  std::uint32_t mAttempts = 0;
  bool mMayHaveRun = false;
  bool mIsDone = false;
  TimerHandle mHedge;
};

} // namespace ragwortdeck
