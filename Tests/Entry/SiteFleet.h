#pragma once

#include "Core/BootClock.h"
#include "Entry/SiteFeed.h"
#include "Entry/StoreStandIn.h"
#include "FleetCodec.h"

#include <set>

namespace ragwortdeck {

/// \brief An event loop whose pending operations can be dropped before the
/// objects that they refer to.
class TestLoop : public asio::io_context
{
public:
  TestLoop()
    : asio::io_context(1)
  {
  }
  void DropAll() { shutdown(); }
  /// Runs what is ready; returns whether there was anything.
  bool RunReady();
};

/// \brief A clock that only a test moves on.
class SteppedClock : public Clock
{
public:
  MonotonicTime Now() const override { return mNow; }
  WallTime WallNow() const override { return BootClock().WallNow(); }
  void Advance(Duration aBy) { mNow += aBy; }

private:
  MonotonicTime mNow{ std::chrono::hours(1) };
};

/// \brief Some hosts that share what they read from a stand-in of the store,
/// each with an event loop of its own, over loopback addresses.
///
/// Their clock follows the time of day in small steps, between which all hosts
/// run: a machine that is slow or stalls does not make them miss each other.
class SiteFleet
{
public:
  struct Host
  {
    TestLoop mLoop;
    std::unique_ptr<EntryContext> mContext;
    std::unique_ptr<HostExchange> mExchange;
    std::unique_ptr<SiteFeed> mFeed;
    /// Does nothing, as while its process is stopped.
    bool mIsFrozen = false;

    Host() = default;
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    /// Whether a request with aKey is admitted on aRoute.
    bool Admits(const std::string& aKey,
                const std::string& aRoute = "order") const;
    /// Version of the table; 0 while there is none.
    std::int64_t TableVersion() const;
    /// Whether aTarget takes new requests.
    bool Uses(const std::string& aTarget) const;
  };

  SiteFleet();
  ~SiteFleet();
  SiteFleet(const SiteFleet&) = delete;
  SiteFleet& operator=(const SiteFleet&) = delete;

  /// Starts host aIndex, or starts it again; it knows all others. A host that
  /// is cut off sends to, and hears from, none of them.
  Host& Start(int aIndex, bool aIsCutOff = false);
  /// Starts aCount hosts and runs until all have the store's table and list.
  void StartAll(int aCount);
  Host& At(int aIndex) { return *mHosts.at(aIndex); }
  StoreStandIn& Store() { return *mStore; }
  SteppedClock& HostClock() { return mClock; }
  static std::string AddressOf(int aIndex);
  /// Sends aMessage to host aIndex from the address of host aFrom, which may be
  /// none of those that were started.
  void SendRaw(int aFrom, int aIndex, const HostMessage& aMessage);
  /// Runs until aDone returns true; fails the test when that takes too long.
  void RunUntil(const std::function<bool()>& aDone);
  /// Runs for aTime of the hosts' clock; aCheck is called all the while.
  void RunFor(std::chrono::milliseconds aTime,
              const std::function<void()>& aCheck = {});
  /// Whether aHolds is true of all hosts.
  bool All(const std::function<bool(const Host&)>& aHolds) const;

  /// The table's value in the store, with the routes "order", "look", which is
  /// public, and aExtraRoutes.
  static std::string TableOf(std::int64_t aVersion,
                             const std::vector<std::string>& aKeys,
                             const std::vector<std::string>& aExtraRoutes = {});
  /// The entry of a target of the service "s".
  static std::string EntryOf(const std::string& aState = "ready",
                             std::int64_t aBorn = 1000,
                             int aWarmUpMs = 0);
  /// Writes a table; returns its revision.
  std::int64_t WriteTable(std::int64_t aVersion,
                          const std::vector<std::string>& aKeys,
                          const std::vector<std::string>& aExtraRoutes = {});
  void WriteTarget(const std::string& aId,
                   const std::string& aState = "ready",
                   std::int64_t aBorn = 1000,
                   int aWarmUpMs = 0);

private:
  /// Moves the hosts' clock on by the time since the last call, at most by
  /// kLongestStep.
  void Step();

  SteppedClock mClock;
  FleetCodec mCodec;
  DecisionLog mLog;
  TestLoop mLoop;
  std::unique_ptr<StoreStandIn> mStore;
  std::uint16_t mPort = 0;
  std::uint16_t mOtherPort = 0;
  std::uint64_t mStarts = 0;
  std::map<int, std::unique_ptr<Host>> mHosts;
  std::chrono::steady_clock::time_point mSteppedAt;
};

} // namespace ragwortdeck
