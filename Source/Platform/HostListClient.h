#pragma once

#include "Core/Ids.h"
#include "Core/RandomSource.h"
#include "Core/Result.h"
#include "Core/Scheduler.h"
#include "Core/Settings.h"
#include "Targets/CurlMulti.h"

#include <QByteArray>
#include <QUrl>
#include <optional>

namespace ragwortdeck {

/// What a listed host does.
enum class ListedRole : std::uint8_t
{
  kRouter,
  kEngine,
  kService,
};

/// \brief One host of the platform's host list.
struct ListedHost
{
  std::string mId;
  ListedRole mRole = ListedRole::kRouter;
  /// Numeric IP address and port.
  std::string mAddress;
  FailureDomain mFailureDomain;
  /// The platform is about to take the host away.
  bool mLeaving = false;
  bool mChecksFencing = false;
  /// Models of an engine, or the services that a service host offers.
  std::vector<ModelName> mModels;

  bool operator==(const ListedHost&) const = default;
};

/// \brief An entry that names no host.
struct OddEntry
{
  /// The ids and addresses that it seems to be about, if any can be read.
  std::vector<std::string> mNames;
  std::string mReason;

  bool operator==(const OddEntry&) const = default;
};

/// \brief The hosts of one answer, in the order of the list.
struct HostList
{
  std::vector<ListedHost> mHosts;
  std::vector<OddEntry> mOddEntries;

  bool operator==(const HostList&) const = default;
};

/// Parses Prometheus HTTP SD JSON: an array of {"targets": ["ip:port", ...],
/// "labels": {...}}. Labels: "host" (id), "role" ("router", "engine",
/// "service"), "failure_domain", "state" ("live", "leaving"; default "live"),
/// "checks_fencing" ("true", "false"; default "false"), "model" (names, with
/// commas between them; default none). A group with several
/// targets has no "host" label; its ids are the addresses. Entries of other
/// roles are skipped. A malformed entry is odd, and so are all entries of an id
/// that repeats; the others hold. Only what is no array refuses the whole list.
Result<HostList>
ParseHostList(const QByteArray& aJson);

/// \brief How to read the host list.
struct HostListSettings
{
  QUrl mUrl;
  Duration mPollInterval{ std::chrono::seconds(2) };
  Duration mTimeout{ std::chrono::seconds(1) };

  /// Reads "endpoint", "path", "poll_interval_ms" and "timeout_ms".
  static HostListSettings Read(SettingsSection aSection);
};

/// \brief Polls the host list and keeps the last good one.
///
/// A list without a usable entry, a malformed one and a failed poll leave the
/// last list in force; its age tells how long. A host whose entry turns odd
/// stays as it was last listed, because a list without it would show it as
/// gone. Needs the event loop of its thread.
class HostListClient
{
public:
  /// Called for each list that differs from the one before it.
  using OnList = std::function<void(const HostList&)>;

  HostListClient(Scheduler& aScheduler,
                 RandomSource aRandom,
                 HostListSettings aSettings,
                 OnList aOnList);
  ~HostListClient() = default;
  HostListClient(const HostListClient&) = delete;
  HostListClient& operator=(const HostListClient&) = delete;

  /// The last good list; nothing before the first.
  const std::optional<HostList>& Last() const { return mLast; }
  /// Time since the last good answer; nothing before the first.
  std::optional<Duration> Age() const;
  std::uint64_t FailedPolls() const { return mFailedPolls; }
  /// Odd entries of the last good answer.
  std::size_t OddEntries() const { return mOddEntries.size(); }

private:
  void Poll();
  void ScheduleNext();
  void OnData(std::string_view aBytes);
  void OnFinished(const TransferEnd& aEnd);
  void Finish(Result<HostList> aResult);
  /// Adds the hosts that an odd entry is about as they were last listed. One
  /// without a readable name keeps none, or no host could leave beside it.
  void KeepHostsOfOddEntries(HostList& aList) const;
  /// Logs odd entries when they change.
  void TakeOddEntries(std::vector<OddEntry> aEntries);

  Scheduler& mScheduler;
  RandomSource mRandom;
  HostListSettings mSettings;
  OnList mOnList;
  CurlMulti mCurl;
  std::unique_ptr<CurlTransfer> mTransfer;
  /// Body of the reply that is being read.
  QByteArray mReply;
  TimerHandle mNext;
  TimerHandle mDeadline;
  std::optional<HostList> mLast;
  std::vector<OddEntry> mOddEntries;
  MonotonicTime mReceived;
  std::uint64_t mFailedPolls = 0;
};

} // namespace ragwortdeck
