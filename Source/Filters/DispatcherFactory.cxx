#include "Filters/DispatcherFactory.h"

#include "Filters/LeastOutstandingDispatcher.h"

namespace ragwortdeck {

std::unique_ptr<Dispatcher>
MakeDispatcher(const std::string& aName)
{
  if (aName.empty() || aName == "least-outstanding") {
    return std::make_unique<LeastOutstandingDispatcher>();
  }
  return nullptr;
}

std::string
DispatcherNames()
{
  return "least-outstanding";
}

} // namespace ragwortdeck
