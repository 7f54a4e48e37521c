#pragma once

#include "Controllers/OrderController.h"
#include "StandIns/OrderedEngine.h"
#include "Support/SimulatedProcess.h"

#include <map>
#include <memory>
#include <vector>

namespace ragwortdeck {

/// What happens to one order on its way.
enum class OrderFault
{
  kNone,
  kLost,
  kReplyLost,
  /// Takes effect at the end of its lifetime; the sender learns nothing.
  kDelayed,
  /// Takes effect twice.
  kDuplicated,
};

/// \brief Hosts with order controllers, and fake engines in three failure
/// domains, in virtual time.
class OrderWorld
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
    std::unique_ptr<OrderController> mController;
  };
  struct LoadStart
  {
    MonotonicTime mTime;
    std::uint64_t mBytes = 0;
  };

  OrderWorld(std::size_t aHosts,
             std::size_t aEngines,
             OrderedEngine::Options aEngine,
             std::uint64_t aSeed = 1);

  void SetModel(const std::string& aModel,
                std::uint32_t aReplicas,
                const std::string& aVersion,
                std::vector<std::string> aAdapters = {});
  void Mark(std::size_t aEngine, TargetState aState);
  OrderedEngine& Engine(std::size_t aEngine) { return *mEngines[aEngine]; }
  /// Engines with the model in this version ready.
  std::vector<std::size_t> Ready(const std::string& aModel,
                                 const std::string& aVersion) const;
  /// Sum of bytes of loads that began in the worst window of this length.
  std::uint64_t WorstWindow(Duration aWindow) const;
  /// Index of the host that may act; the number of hosts if none may.
  std::size_t Holder() const;

  VirtualScheduler mScheduler;
  std::shared_ptr<FakeKeyValueService> mService;
  std::vector<std::unique_ptr<Host>> mHosts;
  OrderSettings mSettings;
  std::function<OrderFault()> mOrderFault;
  std::function<ProcessFault(std::size_t aHost)> mStepFault;
  std::vector<LoadStart> mLoads;
  /// Unloads that left a wanted model without a ready replica.
  int mLastReplicaUnloads = 0;
  /// Orders that were executed after one with a higher token was, by the
  /// fencing token that they carried.
  std::map<std::int64_t, int> mStaleExecuted;
  /// Times at which engines received orders that they executed, by engine.
  std::map<std::size_t, std::vector<MonotonicTime>> mReceived;

private:
  std::unique_ptr<Host> NewHost(std::size_t aIndex, RandomSource aRandom);
  void ReadState(SimulatedProcess& aProcess,
                 const Target& aTarget,
                 const std::function<void(Result<EngineState>)>& aReply);
  void SendOrder(SimulatedProcess& aProcess,
                 const Target& aTarget,
                 const EngineOrder& aOrder,
                 const std::function<void(OrderReport)>& aReply);
  OrderReport Arrive(std::size_t aEngine, const EngineOrder& aOrder);
  void OnUnload(const ModelName& aModel);

  std::int64_t mNewestFencing = 0;
  std::vector<std::unique_ptr<OrderedEngine>> mEngines;
  std::shared_ptr<SiteView> mView;
};

} // namespace ragwortdeck
