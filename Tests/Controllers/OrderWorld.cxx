#include "Controllers/OrderWorld.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

using namespace std::chrono_literals;

constexpr Duration kLatency = 1ms;

std::size_t
IndexOf(const Target& aTarget)
{
  return std::stoul(aTarget.mId.Value().substr(std::string("engine-").size()));
}

} // namespace

OrderWorld::OrderWorld(std::size_t aHosts,
                       std::size_t aEngines,
                       OrderedEngine::Options aEngine,
                       std::uint64_t aSeed)
  : mService(std::make_shared<FakeKeyValueService>())
  , mView(std::make_shared<SiteView>())
{
  mView->mTable.mVersion = 1;
  mSettings.mLimits.mModelBytes =
    [bytes = aEngine.mModelBytes](const ModelName&, const std::string&) {
      return bytes;
    };
  mSettings.mLimits.mAdapterBytes = 1;
  // Three loads a minute.
  mSettings.mWeightBytes = 3 * aEngine.mModelBytes;
  for (std::size_t n = 0; n < aEngines; ++n) {
    Target target;
    target.mId = TargetId("engine-" + std::to_string(n));
    target.mFailureDomain = FailureDomain("domain-" + std::to_string(n % 3));
    target.mChecksFencing = aEngine.mChecksFencing;
    mView->mTargets[target.mId] = target;
    auto engine = std::make_unique<OrderedEngine>(mScheduler, aEngine);
    engine->mOnLoad = [this](std::uint64_t aBytes) {
      mLoads.push_back({ mScheduler.Now(), aBytes });
    };
    engine->mOnUnload = [this](const ModelName& aModel) { OnUnload(aModel); };
    mEngines.push_back(std::move(engine));
  }
  RandomSource random(aSeed);
  for (std::size_t n = 0; n < aHosts; ++n) {
    mHosts.push_back(NewHost(n, random.Split()));
  }
}

std::unique_ptr<OrderWorld::Host>
OrderWorld::NewHost(std::size_t aIndex, RandomSource aRandom)
{
  auto host = std::make_unique<Host>(mScheduler);
  auto* process = &host->mProcess;
  process->mStepHook = [this, aIndex] {
    return mStepFault ? mStepFault(aIndex) : ProcessFault{};
  };
  host->mStore = std::make_unique<ProcessKeyValueStore>(*process, mService);
  host->mLease =
    std::make_unique<LeaderLease>(*process,
                                  *host->mStore,
                                  aRandom.Split(),
                                  HostId("entry-" + std::to_string(aIndex)),
                                  LeaderLeaseSettings{},
                                  [] {});
  OrderHooks hooks;
  hooks.mView = [this] { return std::make_shared<const SiteView>(*mView); };
  hooks.mReadState = [this, process](const auto& aTarget, const auto& aReply) {
    ReadState(*process, aTarget, aReply);
  };
  hooks.mSendOrder =
    [this, process](const auto& aTarget, const auto& aOrder, const auto& aR) {
      SendOrder(*process, aTarget, aOrder, aR);
    };
  host->mController = std::make_unique<OrderController>(
    *process, *host->mLease, aRandom.Split(), mSettings, hooks);
  host->mLease->Start();
  host->mController->Start();
  return host;
}

void
OrderWorld::SetModel(const std::string& aModel,
                     std::uint32_t aReplicas,
                     const std::string& aVersion,
                     std::vector<std::string> aAdapters)
{
  const ModelName name(aModel);
  mView->mTable.mModels[name] = {
    name, aReplicas, aVersion, std::move(aAdapters)
  };
  ++mView->mTable.mVersion;
}

void
OrderWorld::Mark(std::size_t aEngine, TargetState aState)
{
  mView->mTargets.at(TargetId("engine-" + std::to_string(aEngine))).mState =
    aState;
}

void
OrderWorld::ReadState(SimulatedProcess& aProcess,
                      const Target& aTarget,
                      const std::function<void(Result<EngineState>)>& aReply)
{
  const auto index = IndexOf(aTarget);
  const auto deliver = [&aProcess, aReply](const Result<EngineState>& aState) {
    aProcess.Deliver([aReply, aState] { aReply(aState); });
  };
  mScheduler.Post(kLatency, [this, index, deliver] {
    if (mEngines[index]->IsDead()) {
      mScheduler.Post(mSettings.mOrderLifetime / 2, [deliver] {
        deliver(Failure(ErrorCode::kTimeout, "no answer"));
      });
      return;
    }
    mScheduler.Post(kLatency, [deliver, state = mEngines[index]->State()] {
      deliver(state);
    });
  });
}

OrderReport
OrderWorld::Arrive(std::size_t aEngine, const EngineOrder& aOrder)
{
  const auto report = mEngines[aEngine]->Receive(aOrder);
  if (report == OrderReport::kAccepted) {
    mReceived[aEngine].push_back(mScheduler.Now());
    mNewestFencing = std::max(mNewestFencing, aOrder.mFencing);
    if (aOrder.mFencing < mNewestFencing) {
      ++mStaleExecuted[aOrder.mFencing];
    }
  }
  return report;
}

void
OrderWorld::SendOrder(SimulatedProcess& aProcess,
                      const Target& aTarget,
                      const EngineOrder& aOrder,
                      const std::function<void(OrderReport)>& aReply)
{
  const auto index = IndexOf(aTarget);
  const auto deliver = [&aProcess, aReply](OrderReport aReport) {
    aProcess.Deliver([aReply, aReport] { aReply(aReport); });
  };
  const auto timeout = mSettings.mOrderLifetime / 2;
  const auto late = mSettings.mOrderLifetime - kLatency;
  const auto arriveLate = [this, index, aOrder] {
    if (!mEngines[index]->IsDead()) {
      Arrive(index, aOrder);
    }
  };
  auto fault = mOrderFault ? mOrderFault() : OrderFault::kNone;
  if (mEngines[index]->IsDead()) {
    fault = OrderFault::kLost;
  }
  if (fault == OrderFault::kDuplicated) {
    mScheduler.Post(late, arriveLate);
  }
  if (fault == OrderFault::kNone || fault == OrderFault::kDuplicated) {
    mScheduler.Post(kLatency, [this, index, aOrder, deliver] {
      const auto report = Arrive(index, aOrder);
      mScheduler.Post(kLatency, [deliver, report] { deliver(report); });
    });
    return;
  }
  mScheduler.Post(timeout, [deliver] { deliver(OrderReport::kUnknown); });
  if (fault == OrderFault::kReplyLost) {
    mScheduler.Post(kLatency, arriveLate);
  } else if (fault == OrderFault::kDelayed) {
    mScheduler.Post(late, arriveLate);
  }
}

void
OrderWorld::OnUnload(const ModelName& aModel)
{
  const auto row = mView->mTable.mModels.find(aModel);
  if (row == mView->mTable.mModels.end() || row->second.mReplicas == 0) {
    return;
  }
  const bool ready = std::any_of(
    mEngines.begin(), mEngines.end(), [&aModel](const auto& aEngine) {
      return aEngine->HasReady(aModel);
    });
  mLastReplicaUnloads += ready ? 0 : 1;
}

std::vector<std::size_t>
OrderWorld::Ready(const std::string& aModel, const std::string& aVersion) const
{
  std::vector<std::size_t> engines;
  for (std::size_t n = 0; n < mEngines.size(); ++n) {
    for (const auto& loaded : mEngines[n]->State().mModels) {
      if (loaded.mReady && loaded.mModel == ModelName(aModel) &&
          loaded.mVersion == aVersion) {
        engines.push_back(n);
      }
    }
  }
  return engines;
}

std::uint64_t
OrderWorld::WorstWindow(Duration aWindow) const
{
  std::uint64_t worst = 0;
  for (const auto& first : mLoads) {
    std::uint64_t sum = 0;
    for (const auto& load : mLoads) {
      const bool inside =
        load.mTime >= first.mTime && load.mTime <= first.mTime + aWindow;
      sum += inside ? load.mBytes : 0;
    }
    worst = std::max(worst, sum);
  }
  return worst;
}

std::size_t
OrderWorld::Holder() const
{
  for (std::size_t n = 0; n < mHosts.size(); ++n) {
    if (!mHosts[n]->mProcess.IsKilled() && mHosts[n]->mLease->MayAct()) {
      return n;
    }
  }
  return mHosts.size();
}

} // namespace ragwortdeck
