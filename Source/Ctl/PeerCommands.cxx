#include "Ctl/CtlCommands.h"
#include "Peer/ControlMessages.h"
#include "Peer/EventMessages.h"
#include "Peer/PeerConnection.h"

#include <QJsonArray>
#include <QString>
#include <ostream>

namespace ragwortdeck {

namespace {

constexpr Duration kAnswerTime = std::chrono::seconds(3);

/// \brief What one control process answered.
struct PeerAnswers
{
  HostId mHost;
  std::vector<PeerMessage> mMessages;
  /// Empty when it answered.
  std::string mProblem;
};

std::optional<Endpoint>
ParsePeer(const std::string& aText)
{
  auto settings = Settings::FromText("{peer: \"" + aText + "\"}", "argument");
  const auto endpoint = settings.Root().RequiredEndpoint("peer");
  if (!settings.Errors().empty()) {
    return std::nullopt;
  }
  return endpoint;
}

/// Sends a message and waits until aEnough holds for the answers.
PeerAnswers
Ask(CtlContext& aContext,
    const Endpoint& aEndpoint,
    const PeerMessage& aMessage,
    const std::function<bool(const std::vector<PeerMessage>&)>& aEnough)
{
  PeerAnswers answers;
  bool over = false;
  const auto now = aContext.mScheduler.WallNow().time_since_epoch();
  // Unique, so that the answers to two operators do not mix.
  const HostId self("ctl-" + std::to_string(aContext.mRandom.Below(1U << 31U)));
  PeerConnection* connection = nullptr;
  PeerConnection opened(
    aContext.mScheduler,
    { self,
      std::uint64_t(now.count() / 1000),
      std::make_shared<const KeyRing>(*aContext.mKeys),
      {},
      {},
      aContext.mPeerTls },
    aEndpoint,
    {},
    { [&] {
       answers.mHost = connection->PeerHost();
       connection->Send(aMessage);
     },
      [&](const PeerMessage& aAnswer) { answers.mMessages.push_back(aAnswer); },
      [&](const std::string& aReason) {
        answers.mProblem = aReason;
        over = true;
      } });
  connection = &opened;
  const auto timeout = aContext.mScheduler.After(kAnswerTime, [&] {
    if (answers.mMessages.empty()) {
      answers.mProblem = "no answer in time";
    }
    over = true;
  });
  aContext.mWaitUntil([&] { return over || aEnough(answers.mMessages); });
  if (!answers.mMessages.empty()) {
    answers.mProblem.clear();
  }
  opened.Abort();
  return answers;
}

QJsonObject
ToJson(const StatusMessage& aStatus)
{
  QJsonArray members;
  for (const auto& member : aStatus.mMembers) {
    members.append(
      QJsonObject{ { "host", QString::fromStdString(member.mHost.Value()) },
                   { "state", QString::fromStdString(member.mState) },
                   { "incarnation", qint64(member.mIncarnation) },
                   { "address", QString::fromStdString(member.mAddress) },
                   { "failure_domain",
                     QString::fromStdString(member.mFailureDomain.Value()) } });
  }
  return { { "table_version", qint64(aStatus.mTableVersion) },
           { "watches_table", aStatus.mWatchesTable },
           { "host_list_age_ms", qint64(aStatus.mHostListAgeMillis) },
           { "entry_hosts", qint64(aStatus.mEntryHosts) },
           { "targets", qint64(aStatus.mTargets) },
           { "leaving", aStatus.mLeaving },
           { "router_connected", aStatus.mRouterConnected },
           { "lease_holder",
             QString::fromStdString(aStatus.mLeaseHolder.Value()) },
           { "fencing", qint64(aStatus.mFencingToken) },
           { "members", members } };
}

void
PrintText(std::ostream& aOut, const HostId& aHost, const StatusMessage& aStatus)
{
  aOut << aHost.Value() << ": table version " << aStatus.mTableVersion
       << (aStatus.mWatchesTable ? " (watching)" : "") << ", host list ";
  if (aStatus.mHostListAgeMillis < 0) {
    aOut << "not read";
  } else {
    aOut << aStatus.mHostListAgeMillis << " ms old";
  }
  aOut << ", " << aStatus.mEntryHosts << " entry hosts, " << aStatus.mTargets
       << " targets, router "
       << (aStatus.mRouterConnected ? "connected" : "not connected")
       << (aStatus.mLeaving ? ", leaving" : "") << ", lease held by "
       << (aStatus.mLeaseHolder.IsEmpty() ? "nobody known"
                                          : aStatus.mLeaseHolder.Value())
       << "\n";
  for (const auto& member : aStatus.mMembers) {
    aOut << "  " << member.mHost.Value() << " " << member.mState << " "
         << member.mAddress << " " << member.mFailureDomain.Value()
         << " incarnation " << member.mIncarnation << "\n";
  }
}

/// Calls aAnswered for each address; kExitUnavailable if any did not answer.
int
AskAll(CtlContext& aContext,
       const CtlArguments& aArguments,
       const PeerMessage& aMessage,
       const std::function<bool(const std::vector<PeerMessage>&)>& aEnough,
       const std::function<void(const PeerAnswers&)>& aAnswered)
{
  if (!aContext.mKeys) {
    return Fail(aContext, kExitSettings, "this command needs 'keys'");
  }
  int code = kExitSuccess;
  for (const auto& word : aArguments.mWords) {
    const auto endpoint = ParsePeer(word);
    if (!endpoint) {
      return Fail(aContext,
                  kExitUsage,
                  "expected <IP address>:<port>, found '" + word + "'");
    }
    const auto answers = Ask(aContext, *endpoint, aMessage, aEnough);
    if (!answers.mProblem.empty()) {
      code = Fail(aContext, kExitUnavailable, word + ": " + answers.mProblem);
      continue;
    }
    aAnswered(answers);
  }
  return code;
}

int
ShowStatus(CtlContext& aContext, const CtlArguments& aArguments)
{
  return AskAll(
    aContext,
    aArguments,
    PeerMessage::Of(StatusFetchMessage{}),
    [](const std::vector<PeerMessage>& aAnswers) { return !aAnswers.empty(); },
    [&](const PeerAnswers& aAnswers) {
      const auto status = aAnswers.mMessages.front().As<StatusMessage>();
      if (!status) {
        Fail(aContext, kExitFailure, status.error().mMessage);
        return;
      }
      if (!aContext.mJson) {
        PrintText(aContext.mOut, aAnswers.mHost, status.value());
        return;
      }
      auto object = ToJson(status.value());
      object["host"] = QString::fromStdString(aAnswers.mHost.Value());
      PrintJson(aContext, object);
    });
}

bool
AllEventsHere(const std::vector<PeerMessage>& aAnswers)
{
  if (aAnswers.empty()) {
    return false;
  }
  const auto first = aAnswers.front().As<EventsMessage>();
  return !first || aAnswers.size() > first.value().mPending;
}

int
PrintEvents(CtlContext& aContext, const CtlArguments& aArguments)
{
  return FetchEvents(
    aContext, aArguments, [&](const std::vector<Event>& aEvents) {
      for (const auto& event : aEvents) {
        aContext.mOut << ToJson(event) << "\n";
      }
    });
}

} // namespace

int
FetchEvents(CtlContext& aContext,
            const CtlArguments& aArguments,
            const std::function<void(const std::vector<Event>&)>& aOnEvents)
{
  if (aArguments.mWords.empty()) {
    return kExitSuccess;
  }
  EventsFetchMessage fetch;
  fetch.mFrom = HybridTime::FromWall(
    WallTime(std::chrono::milliseconds(aArguments.mFromMs)));
  return AskAll(aContext,
                aArguments,
                PeerMessage::Of(fetch),
                AllEventsHere,
                [&](const PeerAnswers& aAnswers) {
                  for (const auto& answer : aAnswers.mMessages) {
                    const auto events = answer.As<EventsMessage>();
                    if (events) {
                      aOnEvents(events.value().mEvents);
                    } else {
                      Fail(aContext, kExitFailure, events.error().mMessage);
                    }
                  }
                });
}

std::vector<CtlCommand>
PeerCommands()
{
  constexpr std::size_t kMaxPeers = 2000;
  return { { "status",
             "",
             "ADDRESS...",
             "ask control processes for versions, members and lease",
             1,
             kMaxPeers,
             false,
             ShowStatus },
           { "events",
             "",
             "ADDRESS... [--from-ms T]",
             "collect events of live hosts as JSON lines, for timeline --input",
             1,
             kMaxPeers,
             false,
             PrintEvents } };
}

} // namespace ragwortdeck
