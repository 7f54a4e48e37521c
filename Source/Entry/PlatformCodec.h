#pragma once

#include "Core/Result.h"
#include "Serving/ServingTable.h"
#include "Serving/TargetList.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

using HttpFields = boost::beast::http::fields;

/// \brief What a caller's request says of itself.
struct CallerHeaders
{
  /// Unique to one attempt of the caller; empty when absent.
  std::string mId;
  /// How long the caller will wait.
  std::optional<Milliseconds> mTimeLeft;
  std::string mKey;
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxOutputTokens = 0;
  /// The caller's estimate; 0 when absent.
  std::int64_t mExpectedOutputTokens = 0;
  /// Identity of the last event that the caller has; empty when it begins.
  std::string mLastEventId;
};

/// \brief Where the memory of an interrupted run lies.
struct RunMemory
{
  Endpoint mEngine;
  std::string mHandle;
  bool operator==(const RunMemory&) const = default;
};

/// \brief What this host adds to a request that it sends to a target.
struct TargetHeaders
{
  /// The target that must answer; any other one refuses.
  std::string mTarget;
  /// Empty when the route needs no key.
  std::string mTeam;
  Milliseconds mTimeLeft{ 0 };
  /// Go on from here, with mLastEventId.
  std::optional<RunMemory> mMemory;
  std::string mLastEventId;
};

/// \brief Load that a server told with an answer.
struct ReportedLoad
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 0;
};

/// \brief What an answer's headers say of it.
struct TargetAnswer
{
  /// The request that it answers; empty when absent.
  std::string mId;
  /// The target has not run the request and will not.
  bool mNotRun = false;
  /// It bears the target's signature.
  bool mSigned = false;
  std::optional<ReportedLoad> mLoad;
};

/// \brief A call over HTTP with a small body.
struct HttpCall
{
  boost::beast::http::verb mVerb = boost::beast::http::verb::get;
  std::string mPath;
  std::string mBody;
};

/// \brief One value read from the store.
struct StoreValue
{
  std::string mValue;
  /// Of the value's last change.
  std::int64_t mRevision = 0;
};

/// \brief The store's answer to a read of the target list.
struct TargetListPage
{
  TargetList mList;
  /// Where the next page begins; empty on the last one.
  std::string mNext;
  /// Entries that could not be read, for the log.
  std::vector<std::string> mUnreadable;
};

/// \brief What an engine says of itself.
struct EngineReport
{
  /// It takes no new requests; it ends soon.
  bool mLeaving = false;
  /// Time until it ends, when it knows.
  std::optional<Milliseconds> mLeavesIn;
};

/// \brief Answer to a call that copies the memory of a run.
struct MoveReply
{
  std::string mHandle;
  std::int64_t mEvents = 0;
};

/// \brief Names, formats and calls of a platform. It decides nothing.
class PlatformCodec
{
public:
  virtual ~PlatformCodec() = default;

  virtual CallerHeaders ReadCallerHeaders(const HttpFields& aFields) const = 0;
  /// True for headers that only this system may set, or that must not reach a
  /// target.
  virtual bool IsReservedHeader(std::string_view aName) const = 0;
  virtual void WriteTargetHeaders(const TargetHeaders& aAsk,
                                  HttpFields& aFields) const = 0;
  virtual TargetAnswer ReadAnswer(const HttpFields& aFields) const = 0;
  /// The path that asks whether this host takes new connections.
  virtual std::string ReadyPath() const = 0;

  virtual HttpCall TableRead() const = 0;
  virtual Result<StoreValue> ReadStoreValue(const std::string& aBody) const = 0;
  virtual Result<ServingTable> ReadTable(const std::string& aValue) const = 0;

  virtual HttpCall TargetsRead(const std::string& aAfter) const = 0;
  virtual Result<TargetListPage> ReadTargets(
    const std::string& aBody) const = 0;

  virtual HttpCall LeaseCall(Milliseconds aLifetime) const = 0;
  virtual Result<std::string> ReadLease(const std::string& aBody) const = 0;
  virtual HttpCall LeaseRenewal(const std::string& aLease) const = 0;
  /// Writes this host's address to the list of hosts.
  virtual HttpCall HostWrite(const std::string& aHost,
                             const std::string& aLease) const = 0;
  virtual HttpCall HostsRead() const = 0;
  virtual Result<std::vector<std::string>> ReadHosts(
    const std::string& aBody) const = 0;

  virtual HttpCall ReportCall() const = 0;
  virtual Result<EngineReport> ReadReport(const std::string& aBody) const = 0;

  /// Copies the memory of aRequest to aTo; aLast stops the run first.
  virtual HttpCall MoveCall(const std::string& aRequest,
                            const Endpoint& aTo,
                            bool aLast) const = 0;
  virtual Result<MoveReply> ReadMove(const std::string& aBody) const = 0;
};

} // namespace ragwortdeck
