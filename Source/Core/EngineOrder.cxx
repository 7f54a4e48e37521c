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

} // namespace ragwortdeck
