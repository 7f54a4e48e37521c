#include "Filters/ActionGateway.h"

#include <utility>

namespace ragwortdeck {

ActionGateway::ActionGateway(const RouterSettings& aSettings,
                             KeyValueSettings aKeyValue,
                             ServiceTransport::ReadView aReadView)
  : mStore(mScheduler, std::move(aKeyValue))
  , mTransport(std::move(aReadView),
               aSettings.mLimits.mConnect,
               aSettings.mLimits.mService,
               RandomSource(RandomSource::SystemSeed()))
  , mExecutor(mScheduler,
              mStore,
              RandomSource(RandomSource::SystemSeed()),
              aSettings.mHost,
              ActionSettings{},
              mTransport.DispatchHook(),
              mTransport.QueryHook())
{
}

ActionHook
ActionGateway::Hook()
{
  return [this](const ActionCall& aCall, const OnActionResult& aOnResult) {
    QMetaObject::invokeMethod(
      this,
      [this, aCall, aOnResult] { mExecutor.Execute(aCall, aOnResult); },
      Qt::QueuedConnection);
  };
}

} // namespace ragwortdeck
