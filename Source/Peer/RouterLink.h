#pragma once

#include "Core/RandomSource.h"
#include "Peer/ControlMessages.h"
#include "Peer/PeerConnection.h"

namespace ragwortdeck {

struct RouterLinkSettings
{
  /// Where ragwort-control of this host listens for its router.
  Endpoint mControl;
  Duration mReconnectMin{ std::chrono::milliseconds(100) };
  Duration mReconnectMax{ std::chrono::seconds(2) };
  Duration mHeartbeat{ std::chrono::seconds(1) };
  /// A link without any message for this long is closed and opened again.
  Duration mSilence{ std::chrono::seconds(5) };
};

/// \brief The router's connection to ragwort-control of the same host.
///
/// Keeps the last view while control is away, and reconnects with growing,
/// jittered pauses. Lives on one event loop thread; hooks run on it.
class RouterLink
{
public:
  struct Hooks
  {
    /// Each new view, never null. Control sends the newest view on connect.
    std::function<void(std::shared_ptr<const SiteView>)> mOnView;
    /// Each message that no other hook takes; decode it with
    /// aMessage.As<T>().
    std::function<void(const PeerMessage& aMessage)> mOnMessage;
    /// The link came up or went down; may be empty.
    std::function<void(bool aConnected)> mOnConnected{};
    /// Each credit grant for this host; may be empty.
    std::function<void(const CreditGrant&)> mOnCredits{};
    /// Load reports that are newer than the view; may be empty.
    std::function<void(const std::map<TargetId, LoadReport>&)> mOnLoads{};
    /// The live entry hosts, on connect and on each change; may be empty.
    std::function<void(const std::vector<HostId>&)> mOnLiveHosts{};
  };

  RouterLink(Scheduler& aScheduler,
             RandomSource aRandom,
             PeerIdentity aIdentity,
             RouterLinkSettings aSettings,
             Hooks aHooks);
  ~RouterLink();

  /// Connects now, and again whenever the link is lost.
  void Start();
  void Stop();

  bool IsConnected() const;
  /// The newest view received so far; null before the first.
  std::shared_ptr<const SiteView> View() const { return mView; }

  /// Sends a message such as UsageMessage; false when there is no link. Lost
  /// messages are not repeated.
  template<typename T>
  bool Send(const T& aBody)
  {
    return IsConnected() && mConnection->SendBody(aBody);
  }

  /// Sends a request on to the owner that it names.
  bool SendCreditRequest(const CreditRequest& aRequest)
  {
    return SendMessage(PeerMessage::Of(kCreditRequestType, aRequest));
  }
  bool SendMessage(const PeerMessage& aMessage)
  {
    return IsConnected() && mConnection->Send(aMessage);
  }

private:
  template<typename T, typename Hook>
  bool Pass(std::string_view aType,
            const PeerMessage& aMessage,
            const Hook& aHook);
  void Connect();
  void Take(const PeerMessage& aMessage);
  void TakeView(const PeerMessage& aMessage);
  void Lose(const std::string& aReason);

  Scheduler& mScheduler;
  RandomSource mRandom;
  PeerIdentity mIdentity;
  RouterLinkSettings mSettings;
  Hooks mHooks;
  std::shared_ptr<const SiteView> mView;
  std::unique_ptr<PeerConnection> mConnection;
  TimerHandle mReconnect;
  Duration mPause;
  bool mRunning = false;
};

} // namespace ragwortdeck
