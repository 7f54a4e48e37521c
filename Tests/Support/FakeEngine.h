#pragma once

#include "Core/EngineOrder.h"
#include "Core/RandomSource.h"
#include "Support/VirtualScheduler.h"

#include <functional>
#include <map>
#include <set>

namespace ragwortdeck {

/// \brief An engine that executes orders in virtual time, without a network.
class FakeEngine
{
public:
  struct Options
  {
    bool mChecksFencing = true;
    std::uint64_t mMemoryBytes = 100;
    Duration mLoadTime = std::chrono::seconds(20);
    std::uint64_t mModelBytes = 40;
  };

  FakeEngine(VirtualScheduler& aScheduler, Options aOptions);

  OrderReport Receive(const EngineOrder& aOrder);
  EngineState State() const;
  bool HasReady(const ModelName& aModel) const;
  /// Loses everything; the engine answers nothing until Restart().
  void Die();
  void Restart() { mDead = false; }
  bool IsDead() const { return mDead; }

  /// Called when a load begins, with its bytes.
  std::function<void(std::uint64_t)> mOnLoad;
  /// Called after a model was unloaded.
  std::function<void(const ModelName&)> mOnUnload;
  std::uint64_t mStaleOrders = 0;

private:
  void Load(const EngineOrder& aOrder);
  void Unload(const EngineOrder& aOrder);
  std::uint64_t Free() const;
  LoadedModel* Find(const EngineOrder& aOrder);

  VirtualScheduler& mScheduler;
  Options mOptions;
  EngineState mState;
  std::set<std::string> mSeen;
  std::uint64_t mLife = 0;
  bool mDead = false;
};

} // namespace ragwortdeck
