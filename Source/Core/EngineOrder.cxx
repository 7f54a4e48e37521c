#include "Core/EngineOrder.h"

namespace ragwortdeck {

const char*
ToText(OrderAction aAction)
{
  switch (aAction) {
    case OrderAction::kLoadModel:
      return "load_model";
    case OrderAction::kLoadVersion:
      return "load_version";
    case OrderAction::kLoadAdapter:
      return "load_adapter";
    case OrderAction::kUnloadModel:
      return "unload_model";
    case OrderAction::kUnloadAdapter:
      return "unload_adapter";
    case OrderAction::kSetRole:
      return "set_role";
  }
  return "set_role";
}

const char*
ToText(OrderReport aReport)
{
  switch (aReport) {
    case OrderReport::kAccepted:
      return "accepted";
    case OrderReport::kStale:
      return "stale";
    case OrderReport::kRefused:
      return "refused";
    case OrderReport::kNotSent:
      return "not_sent";
    case OrderReport::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::optional<OrderAction>
OrderActionFromText(std::string_view aText)
{
  for (const auto action : { OrderAction::kLoadModel,
                             OrderAction::kLoadVersion,
                             OrderAction::kLoadAdapter,
                             OrderAction::kUnloadModel,
                             OrderAction::kUnloadAdapter,
                             OrderAction::kSetRole }) {
    if (aText == ToText(action)) {
      return action;
    }
  }
  return std::nullopt;
}

} // namespace ragwortdeck
