#include "Support/FakeEngine.h"

#include <algorithm>

namespace ragwortdeck {

FakeEngine::FakeEngine(VirtualScheduler& aScheduler, Options aOptions)
  : mScheduler(aScheduler)
  , mOptions(aOptions)
{
  mState.mRole = "spare";
}

LoadedModel*
FakeEngine::Find(const EngineOrder& aOrder)
{
  for (auto& loaded : mState.mModels) {
    if (loaded.mModel == aOrder.mModel && loaded.mVersion == aOrder.mVersion) {
      return &loaded;
    }
  }
  return nullptr;
}

std::uint64_t
FakeEngine::Free() const
{
  const auto used = mOptions.mModelBytes * mState.mModels.size();
  return mOptions.mMemoryBytes - std::min(used, mOptions.mMemoryBytes);
}

EngineState
FakeEngine::State() const
{
  auto state = mState;
  state.mMemoryFreeBytes = Free();
  return state;
}

bool
FakeEngine::HasReady(const ModelName& aModel) const
{
  return std::any_of(mState.mModels.begin(),
                     mState.mModels.end(),
                     [&aModel](const LoadedModel& aLoaded) {
                       return aLoaded.mModel == aModel && aLoaded.mReady;
                     });
}

void
FakeEngine::Die()
{
  mDead = true;
  ++mLife;
  mState = {};
  mState.mRole = "spare";
  mSeen.clear();
}

OrderReport
FakeEngine::Receive(const EngineOrder& aOrder)
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
FakeEngine::Load(const EngineOrder& aOrder)
{
  if (Find(aOrder) != nullptr) {
    return;
  }
  mState.mModels.push_back({ aOrder.mModel, aOrder.mVersion, false, {} });
  if (mOnLoad) {
    mOnLoad(mOptions.mModelBytes);
  }
  mScheduler.Post(mOptions.mLoadTime, [this, aOrder, life = mLife] {
    auto* loaded = life == mLife ? Find(aOrder) : nullptr;
    if (loaded != nullptr) {
      loaded->mReady = true;
    }
  });
}

void
FakeEngine::Unload(const EngineOrder& aOrder)
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
