#include "Peer/RouterLink.h"

#include "Core/Log.h"

namespace ragwortdeck {

namespace {

const Log sLog("router-link");

} // namespace

RouterLink::RouterLink(Scheduler& aScheduler,
                       RandomSource aRandom,
                       PeerIdentity aIdentity,
                       RouterLinkSettings aSettings,
                       Hooks aHooks)
  : mScheduler(aScheduler)
  , mRandom(aRandom)
  , mIdentity(std::move(aIdentity))
  , mSettings(std::move(aSettings))
  , mHooks(std::move(aHooks))
  , mPause(mSettings.mReconnectMin)
{
}

RouterLink::~RouterLink()
{
  Stop();
}

void
RouterLink::Start()
{
  if (!mRunning) {
    mRunning = true;
    Connect();
  }
}

void
RouterLink::Stop()
{
  mRunning = false;
  mReconnect.Cancel();
  if (mConnection) {
    mConnection->Abort();
    mConnection.release()->deleteLater();
  }
}

bool
RouterLink::IsConnected() const
{
  return mConnection && mConnection->IsReady();
}

void
RouterLink::Connect()
{
  PeerConnectionLimits limits;
  limits.mHeartbeat = mSettings.mHeartbeat;
  limits.mSilence = mSettings.mSilence;
  mConnection = std::make_unique<PeerConnection>(
    mScheduler,
    mIdentity,
    mSettings.mControl,
    limits,
    PeerConnection::Hooks{
      [this] {
        mPause = mSettings.mReconnectMin;
        sLog.Info("connected to control at " + ToText(mSettings.mControl));
        if (mHooks.mOnConnected) {
          mHooks.mOnConnected(true);
        }
      },
      [this](const PeerMessage& aMessage) { Take(aMessage); },
      [this](const std::string& aReason) { Lose(aReason); } });
}

template<typename T, typename Hook>
bool
RouterLink::Pass(std::string_view aType,
                 const PeerMessage& aMessage,
                 const Hook& aHook)
{
  if (aMessage.mType != aType || !aHook) {
    return false;
  }
  const auto body = aMessage.As<T>();
  if (body) {
    aHook(body.value());
  } else {
    sLog.Error(aMessage.mType + " ignored: " + body.error().mMessage);
  }
  return true;
}

void
RouterLink::Take(const PeerMessage& aMessage)
{
  const auto onHosts = [this](const LiveHostsMessage& aHosts) {
    if (mHooks.mOnLiveHosts) {
      mHooks.mOnLiveHosts(aHosts.mHosts);
    }
  };
  const auto onLoads = [this](const LoadReportsMessage& aLoads) {
    if (mHooks.mOnLoads) {
      mHooks.mOnLoads(aLoads.mReports);
    }
  };
  if (aMessage.Is<SiteViewMessage>()) {
    TakeView(aMessage);
    return;
  }
  if (!Pass<CreditGrant>(kCreditGrantType, aMessage, mHooks.mOnCredits) &&
      !Pass<LoadReportsMessage>(
        LoadReportsMessage::kType,
        aMessage,
        std::function<void(const LoadReportsMessage&)>(onLoads)) &&
      !Pass<LiveHostsMessage>(
        LiveHostsMessage::kType,
        aMessage,
        std::function<void(const LiveHostsMessage&)>(onHosts))) {
    mHooks.mOnMessage(aMessage);
  }
}

void
RouterLink::TakeView(const PeerMessage& aMessage)
{
  auto message = aMessage.As<SiteViewMessage>();
  if (!message) {
    sLog.Error("site view ignored: " + message.error().mMessage);
    return;
  }
  auto& view = message.value().mView;
  // Control restarts with an older table only when neither the key-value
  // service nor a peer answered; the newer rows that this router has remain
  // in force.
  if (mView && view.mTable.mVersion < mView->mTable.mVersion) {
    view.mTable = mView->mTable;
  }
  mView = std::make_shared<const SiteView>(std::move(view));
  mHooks.mOnView(mView);
}

void
RouterLink::Lose(const std::string& aReason)
{
  // A hook of the connection runs here; it is destroyed afterwards.
  auto* connection = mConnection.release();
  const bool wasReady = connection->WasReady();
  connection->deleteLater();
  if (wasReady) {
    sLog.Warning("lost control at " + ToText(mSettings.mControl) + ": " +
                 aReason);
    if (mHooks.mOnConnected) {
      mHooks.mOnConnected(false);
    }
  }
  if (!mRunning) {
    return;
  }
  // Half of the pause is random, so that the routers of a site do not return
  // at the same moment.
  const auto half = mPause.count() / 2;
  const Duration pause(half + std::int64_t(mRandom.Below(half + 1)));
  mPause = std::min(mPause * 2, mSettings.mReconnectMax);
  mReconnect = mScheduler.After(pause, [this] { Connect(); });
}

} // namespace ragwortdeck
