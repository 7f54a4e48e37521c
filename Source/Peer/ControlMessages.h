#pragma once

#include "Core/SiteView.h"
#include "Policy/CreditMessages.h"

#include <map>
#include <string_view>

namespace ragwortdeck {

/// Types of CreditRequest and CreditGrant, on the link to the router and
/// between hosts.
inline constexpr std::string_view kCreditRequestType = "credit_request";
inline constexpr std::string_view kCreditGrantType = "credit_grant";

/// \brief Hosts that membership holds for alive: control to router. Credit
/// owners are chosen among them.
struct LiveHostsMessage
{
  static constexpr std::string_view kType = "live_hosts";
  std::vector<HostId> mHosts;

  bool operator==(const LiveHostsMessage&) const = default;
  MSGPACK_DEFINE_MAP(mHosts)
};

/// \brief Snapshot for the request path: control to router.
struct SiteViewMessage
{
  static constexpr std::string_view kType = "site_view";
  SiteView mView;

  bool operator==(const SiteViewMessage&) const = default;
  MSGPACK_DEFINE_MAP(mView)
};

/// \brief Load reports that changed since the last view or message: control to
/// router. Far smaller than a view, which holds the whole table.
struct LoadReportsMessage
{
  static constexpr std::string_view kType = "load_reports";
  std::map<TargetId, LoadReport> mReports;

  bool operator==(const LoadReportsMessage&) const = default;
  MSGPACK_DEFINE_MAP(mReports)
};

/// \brief Demand and use of one team or target since the last message.
struct UsageEntry
{
  /// Requests that arrived.
  std::uint64_t mArrived = 0;
  /// Requests in progress now.
  std::uint32_t mInFlight = 0;
  /// Requests that wait now.
  std::uint32_t mWaiting = 0;
  /// Generated tokens that were relayed.
  std::uint64_t mTokens = 0;

  bool operator==(const UsageEntry&) const = default;
  MSGPACK_DEFINE_MAP(mArrived, mInFlight, mWaiting, mTokens)
};

/// \brief Load of one router: router to control, once per period.
struct UsageMessage
{
  static constexpr std::string_view kType = "usage";
  std::map<TeamName, UsageEntry> mTeams;
  std::map<TargetId, UsageEntry> mTargets;
  /// True while the router shuts down gracefully.
  bool mDraining = false;

  bool operator==(const UsageMessage&) const = default;
  MSGPACK_DEFINE_MAP(mTeams, mTargets, mDraining)
};

/// \brief Request for StatusMessage: operator to control.
struct StatusFetchMessage
{
  static constexpr std::string_view kType = "status_fetch";
  /// Also list the members.
  bool mMembers = true;

  bool operator==(const StatusFetchMessage&) const = default;
  MSGPACK_DEFINE_MAP(mMembers)
};

/// \brief One member as one host sees it.
struct StatusMember
{
  HostId mHost;
  std::uint64_t mIncarnation = 0;
  /// "alive", "suspect", "dead" or "left".
  std::string mState;
  std::string mAddress;
  FailureDomain mFailureDomain;

  bool operator==(const StatusMember&) const = default;
  MSGPACK_DEFINE_MAP(mHost, mIncarnation, mState, mAddress, mFailureDomain)
};

/// \brief State of one control process, for operators.
struct StatusMessage
{
  static constexpr std::string_view kType = "status";
  std::uint64_t mTableVersion = 0;
  bool mWatchesTable = false;
  std::vector<StatusMember> mMembers;
  /// Age of the host list; negative when none was read yet.
  std::int64_t mHostListAgeMillis = -1;
  std::uint32_t mEntryHosts = 0;
  std::uint32_t mTargets = 0;
  bool mLeaving = false;
  bool mRouterConnected = false;
  /// Empty when no holder is known.
  HostId mLeaseHolder;
  std::int64_t mFencingToken = 0;

  bool operator==(const StatusMessage&) const = default;
  MSGPACK_DEFINE_MAP(mTableVersion,
                     mWatchesTable,
                     mMembers,
                     mHostListAgeMillis,
                     mEntryHosts,
                     mTargets,
                     mLeaving,
                     mRouterConnected,
                     mLeaseHolder,
                     mFencingToken)
};

} // namespace ragwortdeck
