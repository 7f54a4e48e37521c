#include "Filters/ActionGateway.h"

#include <QThread>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr int kStatusOk = 200;

std::string
RecordKey(const ActionCall& aCall)
{
  return ActionRecordKey(aCall.mTeam, aCall.mOperation, aCall.mIdempotencyKey);
}

ActionCall
ToCall(const ServiceAction& aAction)
{
  ActionCall call;
  call.mTeam = aAction.mTeam;
  call.mOperation = aAction.mService + "/" + aAction.mOperation;
  call.mIdempotencyKey = aAction.mIdempotencyKey;
  call.mContentType = "application/json";
  call.mBody = aAction.mBody;
  return call;
}

DispatchReport
ToReport(const ServiceReply& aReply)
{
  switch (aReply.mKind) {
    case ServiceReplyKind::kReplied:
      return { DispatchReport::Type::kAnswered,
               aReply.mStatus,
               "application/json",
               aReply.mBody };
    case ServiceReplyKind::kNotSent:
      return { DispatchReport::Type::kNotSent, 0, {}, {} };
    case ServiceReplyKind::kUnknown:
      break;
  }
  return { DispatchReport::Type::kUnknown, 0, {}, {} };
}

/// A target that does not know the key proves nothing: the call may still be
/// on its way to it.
DispatchReport
ToQueryReport(const ServiceReply& aReply)
{
  const bool isKnown =
    aReply.mKind == ServiceReplyKind::kReplied && aReply.mStatus == kStatusOk;
  return isKnown ? ToReport(aReply)
                 : DispatchReport{ DispatchReport::Type::kUnknown, 0, {}, {} };
}

} // namespace

ActionGateway::ActionGateway(HostId aHost,
                             KeyValueSettings aKeyValue,
                             const ActionSettings& aSettings)
  : mStore(mScheduler, std::move(aKeyValue))
  , mExecutor(
      mScheduler,
      mStore,
      RandomSource(RandomSource::SystemSeed()),
      std::move(aHost),
      aSettings,
      [this](const ActionCall& aCall,
             const std::string&,
             const Report& aReport) { Dispatch(aCall, aReport); },
      [this](const ActionCall& aCall, const Report& aReport) {
        Query(aCall, aReport);
      })
{
}

ActionGateway::~ActionGateway() = default;

ActionHook
ActionGateway::Hook()
{
  return [this](const ServiceAction& aAction,
                ActionTransport aTransport,
                OnServiceActionResult aOnResult) {
    // Lives on the calling thread, so that functions can be run there.
    auto* context = new QObject;
    auto route = std::make_shared<Route>(
      Route{ std::move(aTransport), std::move(aOnResult), context });
    QMetaObject::invokeMethod(
      this,
      [this, aAction, route] { Execute(aAction, std::move(*route)); },
      Qt::QueuedConnection);
  };
}

void
ActionGateway::Execute(const ServiceAction& aAction, Route aRoute)
{
  const auto call = ToCall(aAction);
  const auto entry = mRoutes.emplace(RecordKey(call), std::move(aRoute));
  mExecutor.Execute(call, [this, entry](const ActionResult& aResult) {
    Finish(entry, aResult);
  });
}

void
ActionGateway::Finish(Routes::iterator aRoute, const ActionResult& aResult)
{
  auto route = std::make_shared<Route>(std::move(aRoute->second));
  mRoutes.erase(aRoute);
  auto* context = route->mThreadContext;
  const ServiceActionResult result{ aResult.mVerdict, aResult.mOutcome.mBody };
  QMetaObject::invokeMethod(
    context,
    [taken = std::move(route), result] {
      const Route local = std::move(*taken);
      local.mOnResult(result);
      local.mThreadContext->deleteLater();
    },
    Qt::QueuedConnection);
}

void
ActionGateway::DropRoutes()
{
  for (auto& [key, entry] : mRoutes) {
    auto route = std::make_shared<Route>(std::move(entry));
    auto* context = route->mThreadContext;
    QMetaObject::invokeMethod(
      context,
      [taken = std::move(route)] { const Route local = std::move(*taken); },
      Qt::QueuedConnection);
  }
}

void
ActionGateway::RunOnRoute(const Route& aRoute,
                          const Send& aSend,
                          const Report& aReport)
{
  QMetaObject::invokeMethod(
    aRoute.mThreadContext,
    [this, aSend, aReport] {
      aSend([this, aReport](const ServiceReply& aReply) {
        QMetaObject::invokeMethod(
          this,
          [aReport, report = ToReport(aReply)] { aReport(report); },
          Qt::QueuedConnection);
      });
    },
    Qt::QueuedConnection);
}

void
ActionGateway::Dispatch(const ActionCall& aCall, const Report& aReport)
{
  const auto it = mRoutes.find(RecordKey(aCall));
  if (it == mRoutes.end()) {
    // Every caller of the attempt has been answered.
    mScheduler.Post(Duration::zero(), [aReport] {
      aReport({ DispatchReport::Type::kNotSent, 0, {}, {} });
    });
    return;
  }
  RunOnRoute(it->second, it->second.mTransport.mDispatch, aReport);
}

void
ActionGateway::Query(const ActionCall& aCall, const Report& aReport)
{
  const auto it = mRoutes.find(RecordKey(aCall));
  if (it == mRoutes.end()) {
    mScheduler.Post(Duration::zero(), [aReport] {
      aReport({ DispatchReport::Type::kUnknown, 0, {}, {} });
    });
    return;
  }
  const auto query = it->second.mTransport.mQuery;
  RunOnRoute(
    it->second,
    [query](const OnServiceReply& aOnReply) {
      query([aOnReply](const ServiceReply& aReply) {
        const bool isKnown =
          ToQueryReport(aReply).mType == DispatchReport::Type::kAnswered;
        aOnReply(isKnown ? aReply : ServiceReply{});
      });
    },
    aReport);
}

} // namespace ragwortdeck
