#include "Support/Invariants.h"

#include <map>
#include <set>

namespace ragwortdeck {

namespace {

using Violations = std::vector<std::string>;
using std::chrono::seconds;

// Bounds that the users state: new work on a leaving host, and a table change
// on every host.
constexpr Duration kLeavingBound = seconds(3);
constexpr Duration kTableBound = seconds(5);

Violations
CheckTokenOnce(const History& aHistory)
{
  struct Stream
  {
    std::string mGeneration;
    std::uint64_t mNext = 0;
  };
  std::map<std::string, Stream> streams;
  Violations violations;
  for (const auto& record : aHistory) {
    if (record.mType != HistoryType::kTokenDelivered) {
      continue;
    }
    auto [it, isNew] =
      streams.try_emplace(record.mRequest, Stream{ record.mGeneration, 0 });
    auto& stream = it->second;
    if (stream.mGeneration != record.mGeneration) {
      violations.push_back(record.mRequest + ": tokens of two generations, " +
                           stream.mGeneration + " and " + record.mGeneration);
    }
    if (record.mNumber != stream.mNext) {
      violations.push_back(record.mRequest + ": expected token " +
                           std::to_string(stream.mNext) + ", got token " +
                           std::to_string(record.mNumber));
    }
    stream.mNext = record.mNumber + 1;
  }
  return violations;
}

Violations
CheckWholeAnswer(const History& aHistory)
{
  struct Answer
  {
    std::string mPrompt;
    std::uint64_t mTokens = 0;
    bool mEnded = false;
  };
  std::map<std::string, Answer> answers;
  Violations violations;
  for (const auto& record : aHistory) {
    auto& answer = answers[record.mRequest];
    switch (record.mType) {
      case HistoryType::kRequestSent:
        answer.mPrompt = record.mText;
        break;
      case HistoryType::kTokenDelivered:
        ++answer.mTokens;
        break;
      case HistoryType::kAnswerFailed:
      case HistoryType::kVerdict:
        answer.mEnded = true;
        break;
      case HistoryType::kAnswerCompleted:
        answer.mEnded = true;
        if (answer.mTokens != record.mNumber) {
          violations.push_back(record.mRequest + ": told whole with " +
                               std::to_string(answer.mTokens) + " of " +
                               std::to_string(record.mNumber) + " tokens");
        }
        if (answer.mPrompt != record.mText) {
          violations.push_back(record.mRequest + ": got the answer to '" +
                               record.mText + "'");
        }
        break;
      default:
        break;
    }
  }
  for (const auto& record : aHistory) {
    if (record.mType == HistoryType::kRequestSent &&
        !answers[record.mRequest].mEnded) {
      violations.push_back(record.mRequest + ": neither answered nor failed");
    }
  }
  return violations;
}

/// The generation names the caller's attempt: a verdict speaks of its own
/// attempt only.
Violations
CheckNotRunIsTrue(const History& aHistory)
{
  std::set<std::pair<std::string, std::string>> ran;
  for (const auto& record : aHistory) {
    if (record.mType == HistoryType::kRan) {
      ran.emplace(record.mRequest, record.mGeneration);
    }
  }
  Violations violations;
  for (const auto& record : aHistory) {
    if (record.mType == HistoryType::kVerdict && record.mText == "not-run" &&
        ran.count({ record.mRequest, record.mGeneration }) > 0) {
      violations.push_back(record.mRequest + " attempt " + record.mGeneration +
                           ": told not-run, but it ran");
    }
  }
  return violations;
}

Violations
CheckActionAtMostOnce(const History& aHistory)
{
  std::map<std::string, int> runs;
  for (const auto& record : aHistory) {
    if (record.mType == HistoryType::kRan) {
      ++runs[record.mRequest];
    }
  }
  Violations violations;
  for (const auto& [request, n] : runs) {
    if (n > 1) {
      violations.push_back(request + ": ran " + std::to_string(n) + " times");
    }
  }
  return violations;
}

Violations
CheckLeavingGetsNoWork(const History& aHistory)
{
  std::map<std::string, Duration> marks;
  Violations violations;
  for (const auto& record : aHistory) {
    if (record.mType == HistoryType::kMarkedLeaving) {
      marks.try_emplace(record.mHost, record.mTime);
    }
    const auto it = marks.find(record.mHost);
    if (record.mType == HistoryType::kWorkAccepted && it != marks.end() &&
        record.mTime > it->second + kLeavingBound) {
      violations.push_back(record.mHost + ": accepted " + record.mRequest +
                           " " +
                           std::to_string((record.mTime - it->second).count()) +
                           " us after its leaving mark");
    }
  }
  return violations;
}

Violations
CheckGracefulStop(const History& aHistory)
{
  std::set<std::string> stopping;
  Violations violations;
  for (const auto& record : aHistory) {
    if (record.mType == HistoryType::kStopRequested) {
      stopping.insert(record.mHost);
    }
    if (record.mType == HistoryType::kCutOff &&
        stopping.count(record.mHost) > 0) {
      violations.push_back(record.mHost + ": planned stop cut off " +
                           record.mRequest);
    }
  }
  return violations;
}

/// \brief Follows the table versions of one host over a history.
struct HostVersions
{
  Duration mUpSince{};
  bool mUp = false;
  std::uint64_t mVersion = 0;
  std::vector<std::pair<Duration, std::uint64_t>> mApplied;
  std::vector<std::pair<Duration, Duration>> mUpPeriods;
};

Violations
CheckNoRevert(const History& aHistory,
              std::map<std::string, HostVersions>& aHosts)
{
  Violations violations;
  for (const auto& record : aHistory) {
    auto& host = aHosts[record.mHost];
    if (record.mType == HistoryType::kHostUp) {
      host.mUp = true;
      host.mUpSince = record.mTime;
    } else if (record.mType == HistoryType::kHostDown && host.mUp) {
      host.mUp = false;
      host.mUpPeriods.emplace_back(host.mUpSince, record.mTime);
    } else if (record.mType == HistoryType::kTableInForce) {
      if (record.mNumber < host.mVersion) {
        violations.push_back(record.mHost + ": table reverted from version " +
                             std::to_string(host.mVersion) + " to " +
                             std::to_string(record.mNumber));
      }
      host.mVersion = record.mNumber;
      host.mApplied.emplace_back(record.mTime, record.mNumber);
    }
  }
  for (auto& [id, host] : aHosts) {
    if (host.mUp) {
      host.mUpPeriods.emplace_back(host.mUpSince, Duration::max());
    }
  }
  return violations;
}

bool
IsUpThroughout(const HostVersions& aHost, Duration aFrom, Duration aTo)
{
  for (const auto& [start, end] : aHost.mUpPeriods) {
    if (start <= aFrom && aTo <= end) {
      return true;
    }
  }
  return false;
}

bool
HasVersionBy(const HostVersions& aHost, std::uint64_t aVersion, Duration aTime)
{
  for (const auto& [time, version] : aHost.mApplied) {
    if (time <= aTime && version >= aVersion) {
      return true;
    }
  }
  return false;
}

/// A host counts for a change when it was up from the change until the bound.
/// A change within the bound before the end of the history is not judged.
Violations
CheckTableInForce(const History& aHistory)
{
  std::map<std::string, HostVersions> hosts;
  auto violations = CheckNoRevert(aHistory, hosts);
  const auto end = aHistory.empty() ? Duration{} : aHistory.back().mTime;
  for (const auto& record : aHistory) {
    const auto due = record.mTime + kTableBound;
    if (record.mType != HistoryType::kTableAccepted || due > end) {
      continue;
    }
    for (const auto& [id, host] : hosts) {
      if (IsUpThroughout(host, record.mTime, due) &&
          !HasVersionBy(host, record.mNumber, due)) {
        violations.push_back(id + ": table version " +
                             std::to_string(record.mNumber) +
                             " not in force 5 s after it was accepted");
      }
    }
  }
  return violations;
}

} // namespace

const std::vector<Invariant>&
AllInvariants()
{
  static const std::vector<Invariant> sInvariants = {
    { "token-once", CheckTokenOnce },
    { "whole-answer", CheckWholeAnswer },
    { "not-run-is-true", CheckNotRunIsTrue },
    { "action-at-most-once", CheckActionAtMostOnce },
    { "leaving-gets-no-work", CheckLeavingGetsNoWork },
    { "graceful-stop", CheckGracefulStop },
    { "table-in-force", CheckTableInForce },
  };
  return sInvariants;
}

const Invariant*
FindInvariant(const std::string& aName)
{
  for (const auto& invariant : AllInvariants()) {
    if (invariant.mName == aName) {
      return &invariant;
    }
  }
  return nullptr;
}

} // namespace ragwortdeck
