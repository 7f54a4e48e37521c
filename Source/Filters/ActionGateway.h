#pragma once

#include "Controllers/ActionExecutor.h"
#include "Core/QtScheduler.h"
#include "Filters/ActionHook.h"
#include "Platform/HttpKeyValueStore.h"

#include <QObject>
#include <map>
#include <memory>

namespace ragwortdeck {

/// \brief Connects the router's threads to the one ActionExecutor of the
/// process.
///
/// The executor and the key-value client live on the thread that created the
/// gateway. A dispatch runs on the thread of the request that started the
/// attempt; its reply comes back to the gateway's thread.
class ActionGateway : public QObject
{
public:
  ActionGateway(HostId aHost,
                KeyValueSettings aKeyValue,
                const ActionSettings& aSettings);
  ~ActionGateway() override;

  /// The hook for the router; any thread may call it. The router must be
  /// destroyed before the gateway.
  ActionHook Hook();
  const ActionCounters& Counters() const { return mExecutor.Counters(); }
  /// Returns what belongs to the router's threads to them, without a result.
  /// Call it before the router is destroyed.
  void DropRoutes();

private:
  /// What belongs to a request. The functions refer to objects of the
  /// request's thread and must be destroyed there.
  struct Route
  {
    ActionTransport mTransport;
    OnServiceActionResult mOnResult;
    QObject* mThreadContext = nullptr;
  };
  using Routes = std::multimap<std::string, Route>;
  using Report = std::function<void(const DispatchReport&)>;
  using Send = std::function<void(OnServiceReply)>;

  void Execute(const ServiceAction& aAction, Route aRoute);
  void Finish(Routes::iterator aRoute, const ActionResult& aResult);
  /// Runs aSend on the request's thread and reports on this thread.
  void RunOnRoute(const Route& aRoute,
                  const Send& aSend,
                  const Report& aReport);
  void Dispatch(const ActionCall& aCall, const Report& aReport);
  void Query(const ActionCall& aCall, const Report& aReport);

  QtScheduler mScheduler;
  HttpKeyValueStore mStore;
  ActionExecutor mExecutor;
  /// Routes of calls in progress by record key.
  Routes mRoutes;
};

} // namespace ragwortdeck
