#include "Policy/DispatcherConfig.h"

#include "Policy/BaselineDispatcher.h"

namespace ragwortdeck {

std::unique_ptr<Dispatcher>
MakeDispatcher(const DispatcherConfig& aConfig, const Clock& /*aClock*/)
{
  return std::make_unique<BaselineDispatcher>(aConfig.mPolicy, aConfig.mSeed);
}

} // namespace ragwortdeck
