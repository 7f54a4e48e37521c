#pragma once

#include "Core/Clock.h"
#include "Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdeck {

enum class OrderAction
{
  /// Loads a model that the engine does not have.
  kLoadModel,
  /// Loads another version of a model that the engine has; both stay.
  kLoadVersion,
  kLoadAdapter,
  /// Unloads one version of a model, or all its versions if none is named.
  kUnloadModel,
  kUnloadAdapter,
  kSetRole,
};

/// "load_model", "load_version", "load_adapter", "unload_model",
/// "unload_adapter" or "set_role".
const char*
ToText(OrderAction aAction);

/// Empty for an unknown text.
std::optional<OrderAction>
OrderActionFromText(std::string_view aText);

/// \brief An order to an engine. An engine that knows its id does nothing
/// again.
struct EngineOrder
{
  std::string mId;
  OrderAction mAction = OrderAction::kSetRole;
  ModelName mModel;
  std::string mVersion;
  std::string mAdapter;
  std::string mRole;
  /// Create revision of the lease key under which the order was sent.
  std::int64_t mFencing = 0;
  /// The engine ignores an order that it cannot begin within this time.
  std::chrono::milliseconds mExpiresIn{ 0 };

  bool operator==(const EngineOrder&) const = default;
};

/// What the sender knows after an order.
enum class OrderReport
{
  kAccepted,
  /// The engine has seen a higher fencing token.
  kStale,
  /// The engine refused for another reason.
  kRefused,
  /// Nothing was sent.
  kNotSent,
  /// May have been accepted, or may still be until its lifetime is over.
  kUnknown,
};

/// "accepted", "stale", "refused", "not_sent" or "unknown".
const char*
ToText(OrderReport aReport);

/// \brief A version of a model on an engine.
struct LoadedModel
{
  ModelName mModel;
  std::string mVersion;
  /// False while it loads.
  bool mReady = false;
  std::vector<std::string> mAdapters;

  bool operator==(const LoadedModel&) const = default;
};

/// \brief What an engine says about itself.
struct EngineState
{
  /// Highest fencing token seen; 0 for none, or when it ignores tokens.
  std::int64_t mFencing = 0;
  std::string mRole;
  std::uint64_t mMemoryFreeBytes = 0;
  std::vector<LoadedModel> mModels;

  bool operator==(const EngineState&) const = default;
};

} // namespace ragwortdeck
