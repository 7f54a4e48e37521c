#include "StandIns/OrderedEngine.h"

#include <algorithm>

namespace ragwortdeck {

OrderedEngine::OrderedEngine(Scheduler& aScheduler, Options aOptions)
  : mScheduler(aScheduler)
  , mOptions(aOptions)
{
  mState.mRole = "spare";
}

LoadedModel*
OrderedEngine::Find(const EngineOrder& aOrder)
{
  for (auto& loaded : mState.mModels) {
    if (loaded.mModel == aOrder.mModel && loaded.mVersion == aOrder.mVersion) {
      return &loaded;
    }
  }
  return nullptr;
}

std::uint64_t
OrderedEngine::Free() const
{
  const auto used = mOptions.mModelBytes * mState.mModels.size();
  return mOptions.mMemoryBytes - std::min(used, mOptions.mMemoryBytes);
}

EngineState
OrderedEngine::State() const
{
  auto state = mState;
  state.mMemoryFreeBytes = Free();
  return state;
}

bool
OrderedEngine::HasReady(const ModelName& aModel) const
{
  return std::any_of(mState.mModels.begin(),
                     mState.mModels.end(),
                     [&aModel](const LoadedModel& aLoaded) {
                       return aLoaded.mModel == aModel && aLoaded.mReady;
                     });
}

void
OrderedEngine::Die()
{
  mDead = true;
  ++mLife;
  mState = {};
  mState.mRole = "spare";
  mSeen.clear();
}

void
OrderedEngine::Preload(const ModelName& aModel, const std::string& aVersion)
{
  mState.mModels.push_back({ aModel, aVersion, true, {} });
}

OrderReport
OrderedEngine::Receive(const EngineOrder& aOrder)
{
  if (mOptions.mChecksFencing && aOrder.mFencing < mState.mFencing) {
    ++mStaleOrders;
    return OrderReport::kStale;
  }
  if (mOptions.mChecksFencing) {
    mState.mFencing = aOrder.mFencing;
  }
  if (!mSeen.insert(aOrder.mId).second) {
    return OrderReport::kAccepted;
  }
  switch (aOrder.mAction) {
    case OrderAction::kLoadModel:
    case OrderAction::kLoadVersion:
      if (Find(aOrder) == nullptr && Free() < mOptions.mModelBytes) {
        return OrderReport::kRefused;
      }
      Load(aOrder);
      break;
    case OrderAction::kLoadAdapter:
      if (auto* loaded = Find(aOrder)) {
        loaded->mAdapters.push_back(aOrder.mAdapter);
      }
      break;
    case OrderAction::kUnloadAdapter:
      if (auto* loaded = Find(aOrder)) {
        std::erase(loaded->mAdapters, aOrder.mAdapter);
      }
      break;
    case OrderAction::kUnloadModel:
      Unload(aOrder);
      break;
    case OrderAction::kSetRole:
      mState.mRole = aOrder.mRole;
      break;
  }
  return OrderReport::kAccepted;
}

void
OrderedEngine::Load(const EngineOrder& aOrder)
{
  if (Find(aOrder) != nullptr) {
    return;
  }
  mState.mModels.push_back({ aOrder.mModel, aOrder.mVersion, false, {} });
  if (mOnLoad) {
    mOnLoad(mOptions.mModelBytes);
  }
  const auto done = [this, aOrder, life = mLife] { OnLoaded(aOrder, life); };
  if (mFetch) {
    mFetch(aOrder, done);
  } else {
    mScheduler.Post(mOptions.mLoadTime, done);
  }
}

void
OrderedEngine::OnLoaded(const EngineOrder& aOrder, std::uint64_t aLife)
{
  auto* loaded = aLife == mLife ? Find(aOrder) : nullptr;
  if (loaded != nullptr) {
    loaded->mReady = true;
  }
}

void
OrderedEngine::Unload(const EngineOrder& aOrder)
{
  std::erase_if(mState.mModels, [&aOrder](const LoadedModel& aLoaded) {
    return aLoaded.mModel == aOrder.mModel &&
           (aOrder.mVersion.empty() || aLoaded.mVersion == aOrder.mVersion);
  });
  if (mOnUnload) {
    mOnUnload(aOrder.mModel);
  }
}

} // namespace ragwortdeck
