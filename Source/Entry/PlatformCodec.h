#pragma once

#include "Core/Result.h"
#include "Serving/ServingTable.h"
#include "Serving/StoreEra.h"
#include "Serving/TargetList.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

using HttpFields = boost::beast::http::fields;

/// \brief Content of the headers of a caller's request.
struct CallerHeaders
{
  /// Identifies one attempt of the caller; empty when absent.
  std::string mId;
  /// How long the caller is still willing to wait.
  std::optional<Milliseconds> mTimeLeft;
  std::string mKey;
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxOutputTokens = 0;
  /// The caller's estimate of the output length; 0 when absent.
  std::int64_t mExpectedOutputTokens = 0;
  /// Id of the last event that the caller received; empty at the start of a
  /// stream.
  std::string mLastEventId;
  /// Ids of the parts of the prompt that other requests may share, in order.
  std::vector<std::string> mPromptParts;
};

/// \brief Location of the memory (KV cache) of an interrupted run.
struct RunMemory
{
  Endpoint mEngine;
  std::string mHandle;
  bool operator==(const RunMemory&) const = default;
};

/// \brief Content of the headers that this host adds to a request to a target.
struct TargetRequestHeaders
{
  /// The only target that may run the request; any other one rejects it.
  std::string mTarget;
  /// The team of the key; empty when the route needs no key.
  std::string mTeam;
  Milliseconds mTimeLeft{ 0 };
  /// Memory from which to resume the run after mLastEventId.
  std::optional<RunMemory> mMemory;
  std::string mLastEventId;
};

/// \brief Load that a server reported with a response.
struct ReportedLoad
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 0;
};

/// \brief Content of the headers of a target's response.
struct TargetResponseHeaders
{
  /// Id of the request that the response belongs to; empty when absent.
  std::string mId;
  /// The target did not run the request and will not run it.
  bool mNotRun = false;
  /// The response carries the target's signature.
  bool mSigned = false;
  /// The target is leaving: it wants no new requests and will stop.
  bool mLeaving = false;
  /// The target states how long it wants no further requests.
  std::optional<Milliseconds> mRetryAfter;
  std::optional<ReportedLoad> mLoad;
};

/// \brief An HTTP request with a small body.
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
  /// Revision of the value's last change.
  std::int64_t mRevision = 0;
};

/// \brief The store's response to a read of the host list.
struct HostListPage
{
  std::vector<std::string> mHosts;
  /// Where the next page begins; empty on the last one.
  std::string mNext;
};

/// \brief Changes of the target list.
struct TargetChanges
{
  /// The revision up to which the changes are complete.
  std::int64_t mRevision = 0;
  /// The targets that changed; empty for one that was removed or that cannot be
  /// parsed.
  std::map<std::string, std::optional<Target>> mTargets;
};

/// \brief The store's response to a read of the target list.
struct TargetListPage
{
  /// Revision of the store when the page was read.
  std::int64_t mRevision = 0;
  std::map<std::string, Target> mTargets;
  /// Where the next page begins; empty on the last one.
  std::string mNext;
  /// Entries that could not be parsed, for the metrics.
  std::vector<std::string> mUnreadable;
};

/// \brief An engine's report about its state.
struct EngineReport
{
  /// The engine accepts no new requests and ends soon.
  bool mLeaving = false;
  /// Time until it ends, if known.
  std::optional<Milliseconds> mLeavesIn;
  /// As Target::mBorn.
  std::int64_t mBorn = 0;
};

/// \brief Response to a call that copies the memory of a run.
struct MoveReply
{
  std::string mHandle;
  std::int64_t mEvents = 0;
};

/// \brief Encodes and decodes the headers, bodies and calls of a platform.
///
/// It makes no decisions.
class PlatformCodec
{
public:
  virtual ~PlatformCodec() = default;

  virtual CallerHeaders ReadCallerHeaders(const HttpFields& aFields) const = 0;
  /// True for headers that only this system may set, or that must not be passed
  /// on to a target.
  virtual bool IsReservedHeader(std::string_view aName) const = 0;
  virtual void WriteTargetRequestHeaders(const TargetRequestHeaders& aHeaders,
                                         HttpFields& aFields) const = 0;
  virtual TargetResponseHeaders ReadTargetResponseHeaders(
    const HttpFields& aFields) const = 0;
  /// Path of the readiness probe: whether this host accepts new connections.
  virtual std::string ReadyPath() const = 0;

  /// Reads the era from the header of an answer of the store: unknown if it is
  /// not stated, an error if it is malformed.
  virtual Result<StoreEra> ReadStoreEra(const HttpFields& aFields) const = 0;

  virtual HttpCall TableRead() const = 0;
  virtual Result<StoreValue> ReadStoreValue(const std::string& aBody) const = 0;
  virtual Result<ServingTable> ReadTable(const std::string& aValue) const = 0;

  /// Asks for the changes of the target list after a revision. The store
  /// responds as soon as there is one, at the latest after aWait.
  virtual HttpCall TargetsWatch(std::int64_t aAfter,
                                Milliseconds aWait) const = 0;
  virtual Result<TargetChanges> ReadTargetChanges(
    const std::string& aBody) const = 0;
  virtual HttpCall TargetsRead(const std::string& aAfter) const = 0;
  virtual Result<TargetListPage> ReadTargets(
    const std::string& aBody) const = 0;

  virtual HttpCall LeaseCall(Milliseconds aLifetime) const = 0;
  virtual Result<std::string> ReadLease(const std::string& aBody) const = 0;
  virtual HttpCall LeaseRenewal(const std::string& aLease) const = 0;
  /// Writes a host's address to the host list.
  virtual HttpCall HostWrite(const std::string& aHost,
                             const std::string& aLease) const = 0;
  /// A read that may be stale may miss the entries of the last seconds, and
  /// costs a tenth.
  virtual HttpCall HostsRead(const std::string& aAfter,
                             bool aMayBeStale) const = 0;
  virtual Result<HostListPage> ReadHosts(const std::string& aBody) const = 0;

  virtual HttpCall ReportCall() const = 0;
  virtual Result<EngineReport> ReadReport(const std::string& aBody) const = 0;

  /// Copies the memory of the run of aRequest to the engine at aTo. With aLast
  /// the run is stopped first.
  virtual HttpCall MoveCall(const std::string& aRequest,
                            const Endpoint& aTo,
                            bool aLast) const = 0;
  virtual Result<MoveReply> ReadMove(const std::string& aBody) const = 0;
};

} // namespace ragwortdeck
