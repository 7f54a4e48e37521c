#pragma once

#include "Core/EngineOrder.h"
#include "Core/SiteView.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace ragwortdeck {

/// \brief An engine as the planner sees it.
struct PlannedEngine
{
  TargetId mId;
  FailureDomain mDomain;
  /// Its state was just read.
  bool mReachable = false;
  /// May be sent an order now. False for a leaving or down engine, and while
  /// an earlier order may still take effect.
  bool mTakesOrders = false;
  /// Its state was just read, and no order of another holder can still change
  /// it; only such replicas count when another one is to be unloaded.
  bool mSecured = false;
  /// Models whose load on this engine failed a short time ago.
  std::set<ModelName> mAvoid;
  /// Last known state, with models that an unsettled order may bring.
  EngineState mState;
};

struct PlannedOrder
{
  TargetId mTarget;
  /// Without id, fencing token and lifetime.
  EngineOrder mOrder;
  /// Bytes that the order takes from the weight store.
  std::uint64_t mWeightBytes = 0;
};

struct PlacementLimits
{
  /// Loads in progress over the fleet.
  std::size_t mMaxLoads = 4;
  /// Size of a model's version in memory and in the weight store.
  std::function<std::uint64_t(const ModelName&, const std::string&)>
    mModelBytes;
  std::uint64_t mAdapterBytes = 256U << 20U;
};

/// Roles that the controller gives: an engine with a wanted model serves.
inline constexpr const char* kServingRole = "serving";
inline constexpr const char* kSpareRole = "spare";

/// Orders that bring the engines closer to the models sheet, at most one per
/// engine, loads first. Engines that leave or are lost must not be in
/// aEngines.
///
/// A replica of a wanted model is unloaded only while another one is ready on
/// a secured engine, and at most one per model and call.
std::vector<PlannedOrder>
PlanPlacement(const std::map<ModelName, ModelRow>& aModels,
              const std::vector<PlannedEngine>& aEngines,
              const PlacementLimits& aLimits);

} // namespace ragwortdeck
