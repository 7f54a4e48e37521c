#pragma once

#include "Controllers/LeaderLease.h"
#include "Support/SimulatedProcess.h"

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

namespace ragwortdeck {

/// \brief Hosts that compete for one lease in virtual time.
class LeaseWorld
{
public:
  struct Host
  {
    explicit Host(VirtualScheduler& aScheduler)
      : mProcess(aScheduler)
    {
    }
    SimulatedProcess mProcess;
    std::unique_ptr<ProcessKeyValueStore> mStore;
    std::unique_ptr<LeaderLease> mLease;
  };

  explicit LeaseWorld(std::size_t aHosts, std::uint64_t aSeed = 1)
    : mService(std::make_shared<FakeKeyValueService>())
  {
    RandomSource random(aSeed);
    for (std::size_t n = 0; n < aHosts; ++n) {
      auto host = std::make_unique<Host>(mScheduler);
      host->mStore =
        std::make_unique<ProcessKeyValueStore>(host->mProcess, mService);
      host->mLease =
        std::make_unique<LeaderLease>(host->mProcess,
                                      *host->mStore,
                                      random.Split(),
                                      HostId("entry-" + std::to_string(n)),
                                      LeaderLeaseSettings{},
                                      [] {});
      host->mLease->Start();
      mHosts.push_back(std::move(host));
    }
  }

  /// Hosts that believe that they may act.
  std::vector<std::size_t> Believers() const
  {
    std::vector<std::size_t> hosts;
    for (std::size_t n = 0; n < mHosts.size(); ++n) {
      if (!mHosts[n]->mProcess.IsKilled() && mHosts[n]->mLease->MayAct()) {
        hosts.push_back(n);
      }
    }
    return hosts;
  }

  /// Advances and counts the moments at which a host may act without holding
  /// the key in the service, or two may act at once.
  int WrongMoments(Duration aDuration)
  {
    constexpr Duration kStep = std::chrono::milliseconds(50);
    int wrong = 0;
    for (Duration done{}; done < aDuration; done += kStep) {
      mScheduler.Advance(kStep);
      mService->mState.ExpireLeases(mScheduler.Now());
      const auto keys =
        mService->mState.Range("/ragwort/leases/orders", false).mKeys;
      const auto believers = Believers();
      wrong += believers.size() > 1 ? 1 : 0;
      for (const auto n : believers) {
        const auto fencing = mHosts[n]->mLease->Fencing();
        mTokens.insert(fencing);
        const bool holds = !keys.empty() && keys[0].mCreateRevision == fencing;
        // A token below one that was used before must not come back.
        wrong += !holds || fencing < *mTokens.rbegin() ? 1 : 0;
      }
    }
    return wrong;
  }

  std::uint64_t Calls() const { return mService->mReads + mService->mWrites; }

  VirtualScheduler mScheduler;
  std::shared_ptr<FakeKeyValueService> mService;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::set<std::int64_t> mTokens;
};

} // namespace ragwortdeck
