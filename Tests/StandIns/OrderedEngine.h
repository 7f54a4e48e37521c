#pragma once

#include "Core/EngineOrder.h"
#include "Core/Scheduler.h"

#include <functional>
#include <map>
#include <set>

namespace ragwortdeck {

/// \brief What orders act on in an engine: models, adapters, role and fencing
/// token. Without a network, in any scheduler's time.
class OrderedEngine
{
public:
  struct Options
  {
    bool mChecksFencing = true;
    std::uint64_t mMemoryBytes = 100;
    Duration mLoadTime = std::chrono::seconds(20);
    std::uint64_t mModelBytes = 40;
  };

  OrderedEngine(Scheduler& aScheduler, Options aOptions);

  /// Adds a model that is ready, as at the start of an engine.
  void Preload(const ModelName& aModel, const std::string& aVersion);
  OrderReport Receive(const EngineOrder& aOrder);
  EngineState State() const;
  bool HasReady(const ModelName& aModel) const;
  /// Loses everything; the engine answers nothing until Restart().
  void Die();
  void Restart() { mDead = false; }
  bool IsDead() const { return mDead; }

  /// Fetches the weights of a load and reports when they are there. Without
  /// it, a load ends after the load time.
  std::function<void(const EngineOrder&, std::function<void()>)> mFetch;
  /// Called when a load begins, with its bytes.
  std::function<void(std::uint64_t)> mOnLoad;
  /// Called after a model was unloaded.
  std::function<void(const ModelName&)> mOnUnload;
  std::uint64_t mStaleOrders = 0;

private:
  void Load(const EngineOrder& aOrder);
  void OnLoaded(const EngineOrder& aOrder, std::uint64_t aLife);
  void Unload(const EngineOrder& aOrder);
  std::uint64_t Free() const;
  LoadedModel* Find(const EngineOrder& aOrder);

  Scheduler& mScheduler;
  Options mOptions;
  EngineState mState;
  std::set<std::string> mSeen;
  std::uint64_t mLife = 0;
  bool mDead = false;
};

} // namespace ragwortdeck
