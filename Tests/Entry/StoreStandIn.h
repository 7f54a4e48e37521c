#pragma once

#include "Core/Settings.h"
#include "Entry/Asio.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief What the store holds, and what changed since it began. A copy of it
/// is a backup.
struct StoreState
{
  struct Item
  {
    std::string mValue;
    std::int64_t mRevision = 0;
    std::int64_t mLease = 0;
  };
  /// A key that was written or removed.
  struct Event
  {
    std::int64_t mRevision = 0;
    std::string mKey;
    std::optional<Item> mItem;
  };

  std::int64_t Put(const std::string& aKey,
                   const std::string& aValue,
                   std::int64_t aLease = 0);
  void Remove(const std::string& aKey);

  std::int64_t mEra = 1;
  std::int64_t mRevision = 100;
  std::map<std::string, Item> mItems;
  std::vector<Event> mEvents;
  std::set<std::int64_t> mLeases;
  std::int64_t mLastLease = 7000;
};

/// \brief A stand-in of the platform's store that can come back from a copy of
/// itself, with an address of its own for each host.
class StoreStandIn
{
public:
  struct Call
  {
    int mHost = 0;
    std::string mTarget;
  };

  explicit StoreStandIn(asio::io_context& aContext);

  /// The address at which host aHost reaches the store.
  Endpoint AddressFor(int aHost);
  StoreState& State() { return *mState; }
  /// Closes all connections, and new ones, until Return().
  void Leave();
  /// Comes back from aCopy, in the next era.
  void Return(StoreState aCopy);
  void LeaveAndReturn(const StoreState& aCopy)
  {
    Leave();
    Return(aCopy);
  }
  /// Answers aHost from a state that the store has lost; null ends that.
  void AnswerFrom(int aHost, std::shared_ptr<StoreState> aState);
  /// Delays the answers to watches of aHost until Release(); each keeps the
  /// era and content of the state that it was asked of.
  void HoldWatches(int aHost) { mHeld.insert(aHost); }
  void Release(int aHost) { mHeld.erase(aHost); }
  /// Whether a call of a host, by its target, ends without an answer; none does
  /// by default.
  std::function<bool(int, const std::string&)> mDrops;
  /// Writes the header that states the era in an answer to a host; by default
  /// its number.
  std::function<void(int, std::int64_t, http::fields&)> mWriteEra;
  /// All calls so far, each when it was answered.
  const std::vector<Call>& Calls() const { return mCalls; }
  /// Number of calls so far whose target contains aPart.
  std::size_t CountCalls(const std::string& aPart) const;

private:
  using Request = http::request<http::string_body>;
  struct Answer
  {
    unsigned mStatus = 200;
    nlohmann::json mBody = nlohmann::json::object();
  };
  struct Gateway
  {
    std::unique_ptr<tcp::acceptor> mAcceptor;
    std::shared_ptr<StoreState> mState;
  };

  Task<void> Accept(int aHost);
  Task<void> Serve(int aHost, std::shared_ptr<tcp::socket> aSocket);
  Task<Answer> Watch(int aHost,
                     std::shared_ptr<StoreState> aState,
                     std::map<std::string, std::string> aQuery);
  static Answer Respond(StoreState& aState,
                        const std::string& aPath,
                        const std::map<std::string, std::string>& aQuery,
                        const Request& aRequest);

  asio::io_context& mContext;
  std::shared_ptr<StoreState> mState = std::make_shared<StoreState>();
  std::map<int, Gateway> mGateways;
  std::set<std::shared_ptr<tcp::socket>> mSockets;
  std::set<int> mHeld;
  bool mIsAway = false;
  std::vector<Call> mCalls;
};

} // namespace ragwortdeck
