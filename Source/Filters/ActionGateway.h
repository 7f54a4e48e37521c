#pragma once

#include "Controllers/ActionExecutor.h"
#include "Core/QtScheduler.h"
#include "Filters/ActionHook.h"
#include "Filters/RouterSettings.h"
#include "Filters/ServiceTransport.h"
#include "Platform/HttpKeyValueStore.h"

#include <QObject>

namespace ragwortdeck {

/// \brief The one ActionExecutor of the process, with its key-value client
/// and its transport, on the thread that created it.
class ActionGateway : public QObject
{
public:
  ActionGateway(const RouterSettings& aSettings,
                KeyValueSettings aKeyValue,
                ServiceTransport::ReadView aReadView);

  /// The hook for the router; any thread may call it, and results arrive on
  /// the gateway's thread. The router must be destroyed before the gateway.
  ActionHook Hook();
  const ActionCounters& Counters() const { return mExecutor.Counters(); }

private:
  QtScheduler mScheduler;
  HttpKeyValueStore mStore;
  ServiceTransport mTransport;
  ActionExecutor mExecutor;
};

} // namespace ragwortdeck
