#include "Controllers/PlacementPlan.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace ragwortdeck {

namespace {

const LoadedModel*
Find(const EngineState& aState,
     const ModelName& aModel,
     const std::string& aVersion)
{
  for (const auto& loaded : aState.mModels) {
    if (loaded.mModel == aModel && loaded.mVersion == aVersion) {
      return &loaded;
    }
  }
  return nullptr;
}

bool
HasModel(const EngineState& aState, const ModelName& aModel)
{
  return std::any_of(
    aState.mModels.begin(),
    aState.mModels.end(),
    [&aModel](const LoadedModel& aLoaded) { return aLoaded.mModel == aModel; });
}

/// \brief One call of PlanPlacement.
class Planner
{
public:
  Planner(const std::map<ModelName, ModelRow>& aModels,
          const std::vector<PlannedEngine>& aEngines,
          const PlacementLimits& aLimits)
    : mModels(aModels)
    , mEngines(aEngines)
    , mLimits(aLimits)
  {
    for (const auto& engine : mEngines) {
      for (const auto& loaded : engine.mState.mModels) {
        mLoads += loaded.mReady ? 0 : 1;
      }
    }
  }

  std::vector<PlannedOrder> Run()
  {
    for (const auto& [name, row] : mModels) {
      Load(row);
    }
    for (const auto& [name, row] : mModels) {
      Adapt(row);
    }
    for (const auto& [name, row] : mModels) {
      UnloadSurplus(row);
    }
    UnloadUnwanted();
    SetRoles();
    return mOrders;
  }

private:
  bool Free(const PlannedEngine& aEngine) const
  {
    return aEngine.mTakesOrders && mUsed.count(aEngine.mId) == 0;
  }

  void Add(const PlannedEngine& aEngine,
           EngineOrder aOrder,
           std::uint64_t aBytes)
  {
    mUsed.insert(aEngine.mId);
    mOrders.push_back({ aEngine.mId, std::move(aOrder), aBytes });
  }

  void Load(const ModelRow& aRow)
  {
    std::size_t have = 0;
    std::map<FailureDomain, int> perDomain;
    for (const auto& engine : mEngines) {
      if (Find(engine.mState, aRow.mModel, aRow.mVersion) != nullptr) {
        ++have;
        ++perDomain[engine.mDomain];
      }
    }
    for (; have < aRow.mReplicas && mLoads < mLimits.mMaxLoads; ++have) {
      const auto* engine = Choose(aRow, perDomain);
      if (engine == nullptr) {
        if (!FitsSomewhere(aRow)) {
          MakeRoom(aRow);
        }
        return;
      }
      ++mLoads;
      ++perDomain[engine->mDomain];
      EngineOrder order;
      order.mAction = HasModel(engine->mState, aRow.mModel)
                        ? OrderAction::kLoadVersion
                        : OrderAction::kLoadModel;
      order.mModel = aRow.mModel;
      order.mVersion = aRow.mVersion;
      Add(*engine, order, mLimits.mModelBytes(aRow.mModel, aRow.mVersion));
    }
  }

  /// Spreads over failure domains first, then prefers free memory.
  const PlannedEngine* Choose(const ModelRow& aRow,
                              std::map<FailureDomain, int>& aPerDomain) const
  {
    const auto bytes = mLimits.mModelBytes(aRow.mModel, aRow.mVersion);
    const PlannedEngine* best = nullptr;
    const auto rank = [&aPerDomain](const PlannedEngine& aEngine) {
      return std::make_tuple(-aPerDomain[aEngine.mDomain],
                             aEngine.mState.mMemoryFreeBytes);
    };
    for (const auto& engine : mEngines) {
      const bool fits = Free(engine) &&
                        engine.mState.mMemoryFreeBytes >= bytes &&
                        engine.mAvoid.count(aRow.mModel) == 0 &&
                        !Find(engine.mState, aRow.mModel, aRow.mVersion);
      if (fits && (best == nullptr || rank(engine) > rank(*best))) {
        best = &engine;
      }
    }
    return best;
  }

  /// Also counts engines that only have to be waited for.
  bool FitsSomewhere(const ModelRow& aRow) const
  {
    const auto bytes = mLimits.mModelBytes(aRow.mModel, aRow.mVersion);
    return std::any_of(
      mEngines.begin(), mEngines.end(), [&](const PlannedEngine& aEngine) {
        return aEngine.mReachable && aEngine.mState.mMemoryFreeBytes >= bytes &&
               !Find(aEngine.mState, aRow.mModel, aRow.mVersion);
      });
  }

  /// Replicas of any version that are certain to stay ready.
  std::size_t ReadyElsewhere(const ModelName& aModel,
                             const PlannedEngine& aNotHere) const
  {
    std::size_t ready = 0;
    for (const auto& engine : mEngines) {
      if (&engine == &aNotHere || !engine.mSecured) {
        continue;
      }
      ready += std::any_of(engine.mState.mModels.begin(),
                           engine.mState.mModels.end(),
                           [&aModel](const LoadedModel& aLoaded) {
                             return aLoaded.mModel == aModel && aLoaded.mReady;
                           })
                 ? 1
                 : 0;
    }
    return ready;
  }

  std::size_t Ready(const ModelRow& aRow) const
  {
    return std::size_t(std::count_if(
      mEngines.begin(), mEngines.end(), [&aRow](const PlannedEngine& aEngine) {
        const auto* loaded = Find(aEngine.mState, aRow.mModel, aRow.mVersion);
        return aEngine.mSecured && loaded != nullptr && loaded->mReady;
      }));
  }

  void Unload(const PlannedEngine& aEngine, const LoadedModel& aLoaded)
  {
    EngineOrder order;
    order.mAction = OrderAction::kUnloadModel;
    order.mModel = aLoaded.mModel;
    order.mVersion = aLoaded.mVersion;
    Add(aEngine, order, 0);
    mUnloaded.insert(aLoaded.mModel);
  }

  /// Unloads one old version for the new one, where the fleet has no memory
  /// left for both, down to one replica below the wanted number.
  void MakeRoom(const ModelRow& aRow)
  {
    const std::size_t keep =
      std::max<std::size_t>(1, aRow.mReplicas > 0 ? aRow.mReplicas - 1 : 0);
    for (const auto& engine : mEngines) {
      for (const auto& loaded : engine.mState.mModels) {
        const bool old =
          loaded.mModel == aRow.mModel && loaded.mVersion != aRow.mVersion;
        if (old && Free(engine) && mUnloaded.count(aRow.mModel) == 0 &&
            ReadyElsewhere(aRow.mModel, engine) >= keep) {
          Unload(engine, loaded);
          return;
        }
      }
    }
  }

  void Adapt(const ModelRow& aRow)
  {
    for (const auto& engine : mEngines) {
      const auto* loaded = Find(engine.mState, aRow.mModel, aRow.mVersion);
      if (loaded == nullptr || !loaded->mReady || !Free(engine)) {
        continue;
      }
      EngineOrder order;
      order.mModel = aRow.mModel;
      order.mVersion = aRow.mVersion;
      if (const auto missing = FirstNotIn(aRow.mAdapters, loaded->mAdapters)) {
        order.mAction = OrderAction::kLoadAdapter;
        order.mAdapter = *missing;
        Add(engine, order, mLimits.mAdapterBytes);
      } else if (const auto extra =
                   FirstNotIn(loaded->mAdapters, aRow.mAdapters)) {
        order.mAction = OrderAction::kUnloadAdapter;
        order.mAdapter = *extra;
        Add(engine, order, 0);
      }
    }
  }

  static std::optional<std::string> FirstNotIn(
    const std::vector<std::string>& aNames,
    const std::vector<std::string>& aIn)
  {
    for (const auto& name : aNames) {
      if (std::find(aIn.begin(), aIn.end(), name) == aIn.end()) {
        return name;
      }
    }
    return std::nullopt;
  }

  /// Old versions once all new replicas are ready, then replicas beyond the
  /// wanted number, from the fullest failure domain.
  void UnloadSurplus(const ModelRow& aRow)
  {
    const auto ready = Ready(aRow);
    if (mUnloaded.count(aRow.mModel) != 0 || ready < aRow.mReplicas) {
      return;
    }
    const PlannedEngine* worst = nullptr;
    const LoadedModel* worstModel = nullptr;
    std::tuple<bool, int, std::int64_t> worstRank;
    for (const auto& engine : mEngines) {
      for (const auto& loaded : engine.mState.mModels) {
        const bool old = loaded.mVersion != aRow.mVersion;
        const bool surplus = old || ready > aRow.mReplicas;
        if (loaded.mModel != aRow.mModel || !surplus || !Free(engine) ||
            (aRow.mReplicas > 0 && !KeepsOne(aRow, engine, loaded))) {
          continue;
        }
        const auto rank =
          std::make_tuple(old,
                          CountInDomain(aRow, engine.mDomain),
                          -std::int64_t(engine.mState.mMemoryFreeBytes));
        if (worst == nullptr || rank > worstRank) {
          worst = &engine;
          worstModel = &loaded;
          worstRank = rank;
        }
      }
    }
    if (worst != nullptr) {
      Unload(*worst, *worstModel);
    }
  }

  /// True when a replica of the wanted version stays ready: on another
  /// engine, or on this one beside the old version.
  bool KeepsOne(const ModelRow& aRow,
                const PlannedEngine& aEngine,
                const LoadedModel& aUnloaded) const
  {
    if (aUnloaded.mVersion != aRow.mVersion) {
      return Ready(aRow) > 0;
    }
    return ReadyElsewhere(aRow.mModel, aEngine) > 0;
  }

  int CountInDomain(const ModelRow& aRow, const FailureDomain& aDomain) const
  {
    int count = 0;
    for (const auto& engine : mEngines) {
      const bool has =
        Find(engine.mState, aRow.mModel, aRow.mVersion) != nullptr;
      count += has && engine.mDomain == aDomain ? 1 : 0;
    }
    return count;
  }

  void UnloadUnwanted()
  {
    for (const auto& engine : mEngines) {
      for (const auto& loaded : engine.mState.mModels) {
        if (mModels.count(loaded.mModel) == 0 && Free(engine)) {
          Unload(engine, loaded);
        }
      }
    }
  }

  void SetRoles()
  {
    for (const auto& engine : mEngines) {
      const bool serves =
        std::any_of(engine.mState.mModels.begin(),
                    engine.mState.mModels.end(),
                    [this](const LoadedModel& aLoaded) {
                      return mModels.count(aLoaded.mModel) != 0;
                    });
      const std::string role = serves ? kServingRole : kSpareRole;
      if (engine.mState.mRole != role && Free(engine)) {
        EngineOrder order;
        order.mAction = OrderAction::kSetRole;
        order.mRole = role;
        Add(engine, order, 0);
      }
    }
  }

  const std::map<ModelName, ModelRow>& mModels;
  const std::vector<PlannedEngine>& mEngines;
  const PlacementLimits& mLimits;
  std::size_t mLoads = 0;
  std::set<TargetId> mUsed;
  std::set<ModelName> mUnloaded;
  std::vector<PlannedOrder> mOrders;
};

} // namespace

std::vector<PlannedOrder>
PlanPlacement(const std::map<ModelName, ModelRow>& aModels,
              const std::vector<PlannedEngine>& aEngines,
              const PlacementLimits& aLimits)
{
  return Planner(aModels, aEngines, aLimits).Run();
}

} // namespace ragwortdeck
