#include "Control/CreditRouting.h"

#include "Core/Log.h"

namespace ragwortdeck {

namespace {

const Log sLog("credits");
constexpr Duration kTick = std::chrono::seconds(1);

} // namespace

CreditRouting::CreditRouting(Scheduler& aScheduler, HostId aSelf, Hooks aHooks)
  : mScheduler(aScheduler)
  , mSelf(std::move(aSelf))
  , mHooks(std::move(aHooks))
  , mOwner(mSelf, aScheduler)
{
  mOwner.OnOwners({ mSelf });
  Tick();
}

void
CreditRouting::Tick()
{
  mOwner.Tick();
  mTimer = mScheduler.After(kTick, [this] { Tick(); });
}

void
CreditRouting::OnView(const SiteView& aView)
{
  mOwner.OnView(std::make_shared<const SiteView>(aView));
  for (const auto& [id, target] : aView.mTargets) {
    if (target.mLoad.mMemoryTokens > 0) {
      mOwner.OnLoadReport(id, target.mLoad);
    }
  }
}

void
CreditRouting::OnLoadReports(const std::map<TargetId, LoadReport>& aReports)
{
  for (const auto& [target, report] : aReports) {
    mOwner.OnLoadReport(target, report);
  }
}

void
CreditRouting::OnLiveHosts(const std::vector<HostId>& aHosts)
{
  mOwner.OnOwners(aHosts);
}

bool
CreditRouting::OnRouterMessage(const PeerMessage& aMessage)
{
  if (aMessage.mType != kCreditRequestType) {
    return false;
  }
  const auto request = aMessage.As<CreditRequest>();
  if (!request) {
    sLog.Error("request of the router ignored: " + request.error().mMessage);
    return true;
  }
  if (request.value().mOwner != mSelf) {
    mHooks.mSendToPeer(request.value().mOwner, aMessage);
    return true;
  }
  mHooks.mSendToRouter(
    PeerMessage::Of(kCreditGrantType, mOwner.OnRequest(request.value())));
  return true;
}

bool
CreditRouting::OnPeerMessage(const PeerMessage& aMessage)
{
  if (aMessage.mType == kCreditGrantType) {
    const auto grant = aMessage.As<CreditGrant>();
    // A host may grant only in its own name.
    if (grant && grant.value().mOwner == aMessage.mFrom) {
      mHooks.mSendToRouter(aMessage);
    } else {
      sLog.Error("grant of " + aMessage.mFrom.Value() + " ignored");
    }
    return true;
  }
  if (aMessage.mType != kCreditRequestType) {
    return false;
  }
  const auto request = aMessage.As<CreditRequest>();
  if (!request || request.value().mFrom != aMessage.mFrom ||
      request.value().mOwner != mSelf) {
    sLog.Error("request of " + aMessage.mFrom.Value() + " ignored");
    return true;
  }
  mHooks.mSendToPeer(
    aMessage.mFrom,
    PeerMessage::Of(kCreditGrantType, mOwner.OnRequest(request.value())));
  return true;
}

} // namespace ragwortdeck
