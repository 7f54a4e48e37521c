#include "Policy/DispatcherConfig.h"

#include "Policy/BaselineDispatcher.h"
#include "Policy/CreditDispatcher.h"

namespace ragwortdeck {

std::unique_ptr<Dispatcher>
MakeDispatcher(const DispatcherConfig& aConfig, const Clock& aClock)
{
  switch (aConfig.mPolicy) {
    case DispatchPolicy::kIndependent:
    case DispatchPolicy::kCorrected:
    case DispatchPolicy::kCredits:
      return std::make_unique<CreditDispatcher>(aConfig, aClock);
    default:
      break;
  }
  return std::make_unique<BaselineDispatcher>(aConfig.mPolicy, aConfig.mSeed);
}

} // namespace ragwortdeck
