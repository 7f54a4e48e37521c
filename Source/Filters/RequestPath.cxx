#include "Filters/RequestPath.h"

#include "Core/HttpStatus.h"
#include "Core/Log.h"
#include "Filters/ReplyBuffer.h"
#include "Filters/ResponseId.h"
#include "Filters/ServiceCaller.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <set>

namespace ragwortdeck {

namespace {

const Log kLog("router");

constexpr std::chrono::milliseconds kRetryElsewhere{ 200 };
constexpr std::chrono::milliseconds kForwardTimeout{ 5'000 };

/// A route with the methods it takes.
struct RouteMatch
{
  Route mRoute;
  /// Value of the Allow header.
  const char* mAllow;
  bool mAllowsThis;
};

std::optional<RouteMatch>
MatchRoute(const std::string& aPath, QHttpServerRequest::Method aMethod)
{
  const bool isPost = aMethod == QHttpServerRequest::Method::Post;
  const bool isGet = aMethod == QHttpServerRequest::Method::Get;
  const auto path = QString::fromStdString(aPath);
  const auto parts = path.split('/');
  if (parts.size() < 3 || parts[0] != "" || parts[1] != "v1") {
    return std::nullopt;
  }
  if (parts[2] == "responses" && parts.size() == 3) {
    return RouteMatch{ Route::kCreateResponse, "POST", isPost };
  }
  if (parts[2] == "responses" && parts.size() == 4) {
    return RouteMatch{ Route::kReadResponse, "GET", isGet };
  }
  if (parts[2] == "responses" && parts.size() == 5 && parts[4] == "cancel") {
    return RouteMatch{ Route::kCancelResponse, "POST", isPost };
  }
  if (parts[2] == "models" && parts.size() == 3) {
    return RouteMatch{ Route::kListModels, "GET", isGet };
  }
  if (parts[2] == "services" && parts.size() == 5) {
    return RouteMatch{ Route::kCallService, "GET, POST", isGet || isPost };
  }
  return std::nullopt;
}

CallerRequest
ToRequest(const QHttpServerRequest& aRequest)
{
  CallerRequest request;
  request.mIsPost = aRequest.method() == QHttpServerRequest::Method::Post;
  request.mPath = aRequest.url().path().toStdString();
  request.mQuery = aRequest.url().query(QUrl::FullyEncoded).toStdString();
  request.mAuthorization = aRequest.value("Authorization").toStdString();
  request.mIdempotencyKey = aRequest.value("Idempotency-Key").toStdString();
  request.mBody = aRequest.body().toStdString();
  return request;
}

Verdict
ShuttingDown()
{
  auto verdict = Refusal(kStatusUnavailable,
                         "shutting_down",
                         "This host takes no new work. Repeat the request; "
                         "another host will serve it.");
  verdict.mRetryAfter = kRetryElsewhere;
  return verdict;
}

/// The engine's reply to a read or cancel, with the caller's id.
std::string
WithCallerId(const std::string& aReply, const std::string& aId)
{
  auto object =
    QJsonDocument::fromJson(QByteArray::fromStdString(aReply)).object();
  object["id"] = QString::fromStdString(aId);
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

RequestPath::RequestPath(RequestEnvironment& aEnvironment,
                         CallerConnections& aConnections,
                         std::string aIdPrefix)
  : mEnvironment(aEnvironment)
  , mConnections(aConnections)
  , mAuthentication(aEnvironment.mShared.mKeys)
  , mParse(aEnvironment.mShared.mKeys)
  , mActionGuard(bool(aEnvironment.mShared.mActionHook))
  , mIdPrefix(std::move(aIdPrefix))
  , mRandom(RandomSource::SystemSeed())
{
}

RequestPath::~RequestPath() = default;

RequestId
RequestPath::NextId()
{
  return RequestId(mIdPrefix + "-" + std::to_string(mNextId++));
}

void
RequestPath::Refuse(CallerExchange& aExchange,
                    const Verdict& aVerdict,
                    HttpHeaders aHeaders)
{
  mEnvironment.mMetrics.OnEnded(aVerdict.mCode);
  aExchange.Refuse(aVerdict, std::move(aHeaders));
}

void
RequestPath::Handle(const QHttpServerRequest& aRequest, QTcpSocket& aSocket)
{
  const auto& shared = mEnvironment.mShared;
  RequestContext context;
  context.mArrived = mEnvironment.mScheduler.Now();
  context.mExchange = std::make_shared<CallerExchange>(
    aSocket, mConnections.Find(&aSocket), shared.mSettings.mBuffers);
  context.mRequest = ToRequest(aRequest);
  auto& exchange = *context.mExchange;
  const auto& path = context.mRequest.mPath;
  if (path == "/healthz" || path == "/readyz" || path == "/metrics") {
    HandleOwn(path, context.mRequest.mIsPost, exchange);
    return;
  }
  const auto match = MatchRoute(path, aRequest.method());
  if (!match) {
    Refuse(
      exchange,
      Refusal(kStatusNotFound, "path_not_found", "There is no such path."));
    return;
  }
  if (!match->mAllowsThis) {
    Refuse(exchange,
           Refusal(kStatusWrongMethod,
                   "wrong_method",
                   std::string("This path takes ") + match->mAllow + "."),
           { { "Allow", match->mAllow } });
    return;
  }
  context.mRoute = match->mRoute;
  HandleRouted(std::move(context));
}

void
RequestPath::HandleOwn(const std::string& aPath,
                       bool aIsPost,
                       CallerExchange& aExchange)
{
  if (aIsPost) {
    Refuse(aExchange,
           Refusal(kStatusWrongMethod, "wrong_method", "This path takes GET."),
           { { "Allow", "GET" } });
    return;
  }
  const auto& shared = mEnvironment.mShared;
  if (aPath == "/metrics") {
    aExchange.Reply(
      kStatusOk, "text/plain; version=0.0.4", shared.mMetricsText());
    return;
  }
  if (aPath == "/healthz") {
    aExchange.Reply(kStatusOk, "text/plain", "ok\n");
    return;
  }
  const auto view = shared.mView.Read();
  std::string reason;
  if (shared.mShutdown != ShutdownPhase::kServing) {
    reason = "shutting down\n";
  } else if (view->mTable.mVersion == 0) {
    reason = "no table yet\n";
  } else if (view->mThisHostLeaving) {
    reason = "this host is leaving\n";
  }
  aExchange.Reply(reason.empty() ? kStatusOk : kStatusUnavailable,
                  "text/plain",
                  reason.empty() ? "ready\n" : reason);
}

void
RequestPath::HandleRouted(RequestContext aContext)
{
  auto& exchange = *aContext.mExchange;
  if (mEnvironment.mShared.mShutdown == ShutdownPhase::kDraining) {
    exchange.CloseAfterReply();
    Refuse(exchange, ShuttingDown());
    return;
  }
  aContext.mId = NextId();
  aContext.mView = mEnvironment.mShared.mView.Read();
  EventFields received;
  received.mType = EventType::kRequestReceived;
  received.mRequest = aContext.mId.Value();
  received.mTableVersion = aContext.mView->mTable.mVersion;
  received.mDetail = aContext.mRequest.mPath;
  mEnvironment.mShared.mRecorder.Record(received);
  if (const auto refusal = Filter(aContext)) {
    EventFields refused;
    refused.mType = EventType::kRequestRefused;
    refused.mRequest = aContext.mId.Value();
    refused.mVerdict = refusal->mCode;
    mEnvironment.mShared.mRecorder.Record(refused);
    Refuse(exchange, *refusal, { { "X-Request-Id", aContext.mId.Value() } });
    return;
  }
  Run(std::move(aContext));
}

std::optional<Verdict>
RequestPath::Filter(RequestContext& aContext) const
{
  if (auto refusal = mAuthentication.Apply(aContext)) {
    return refusal;
  }
  if (auto refusal = mParse.Apply(aContext)) {
    return refusal;
  }
  if (auto refusal = mClassify.Apply(aContext)) {
    return refusal;
  }
  return mActionGuard.Apply(aContext);
}

void
RequestPath::Run(RequestContext aContext)
{
  switch (aContext.mRoute) {
    case Route::kCreateResponse:
      StartSession(std::move(aContext), true);
      return;
    case Route::kReadResponse:
      if (aContext.mStreams) {
        StartSession(std::move(aContext), false);
      } else {
        ForwardToEngine(aContext, false);
      }
      return;
    case Route::kCancelResponse:
      ForwardToEngine(aContext, true);
      return;
    case Route::kListModels:
      ListModels(aContext);
      return;
    case Route::kCallService:
      break;
  }
  const bool isAction = aContext.mKind.mRepeat == RepeatRule::kAtMostOnce;
  const auto caller = std::make_shared<ServiceCaller>(
    mEnvironment, std::move(aContext), mRandom.Split());
  if (isAction) {
    caller->StartAction();
  } else {
    caller->StartLookUp();
  }
}

void
RequestPath::StartSession(RequestContext aContext, bool aIsNew)
{
  const auto session = std::make_shared<RelaySession>(
    mEnvironment, std::move(aContext), [this](RelaySession& aOver) {
      mSessions.erase(&aOver);
    });
  mSessions.emplace(session.get(), session);
  if (aIsNew) {
    session->StartNew();
  } else {
    session->StartExisting();
  }
}

void
RequestPath::ForwardToEngine(const RequestContext& aContext, bool aIsCancel)
{
  const auto& attempt = aContext.mExisting;
  const auto found = aContext.mView->mTargets.find(attempt.mTarget);
  if (found == aContext.mView->mTargets.end()) {
    Refuse(*aContext.mExchange,
           Refusal(kStatusNotFound,
                   "response_not_found",
                   "The engine of this response is gone."));
    return;
  }
  HttpCall call;
  call.mMethod = aIsCancel ? "POST" : "GET";
  call.mUrl = ResponseUrl(found->second.mAddress, attempt.mEngineId);
  if (aIsCancel) {
    call.mUrl += "/cancel";
  }
  call.mConnectTimeout = mEnvironment.mShared.mSettings.mLimits.mConnect;
  call.mTimeout = kForwardTimeout;
  const auto callerId =
    EncodeResponseId({ attempt, aContext.mTeam }, mEnvironment.mShared.mKeys);
  const auto exchange = aContext.mExchange;
  const auto reply =
    std::make_shared<ReplyBuffer>(mEnvironment.mShared.mMemory);
  // Owns the transfer until its end.
  const auto transfer = std::make_shared<std::unique_ptr<CurlTransfer>>();
  *transfer = mEnvironment.mCurl.Start(
    call,
    [reply](std::string_view aBytes) { reply->Append(aBytes); },
    [this, exchange, reply, transfer, callerId, aIsCancel](
      const TransferEnd& aEnd) {
      const auto keep = std::move(*transfer);
      const bool replied =
        aEnd.mKind == TransferEndKind::kReplied && !reply->IsTooLarge();
      if (replied && aEnd.mStatus == kStatusOk) {
        mEnvironment.mMetrics.OnEnded("completed");
        exchange->Reply(kStatusOk,
                        "application/json",
                        WithCallerId(reply->Bytes(), callerId));
        return;
      }
      if (replied && aEnd.mStatus == kStatusNotFound) {
        Refuse(*exchange,
               Refusal(kStatusNotFound,
                       "response_not_found",
                       "The engine no longer has this response."));
        return;
      }
      const bool notSent = aEnd.mKind == TransferEndKind::kRefused ||
                           aEnd.mKind == TransferEndKind::kNotConnected;
      Refuse(
        *exchange,
        { notSent || !aIsCancel ? RunState::kNotRun : RunState::kMayHaveRun,
          kStatusBadGateway,
          "target_failed",
          "The engine of this response did not answer.",
          kRetryElsewhere });
    });
}

void
RequestPath::ListModels(const RequestContext& aContext)
{
  std::set<ModelName> names;
  for (const auto& [name, row] : aContext.mView->mTable.mModels) {
    names.insert(name);
  }
  for (const auto& [id, target] : aContext.mView->mTargets) {
    if (target.mRole == TargetRole::kEngine) {
      names.insert(target.mModels.begin(), target.mModels.end());
    }
  }
  QJsonArray list;
  for (const auto& name : names) {
    list.append(QJsonObject{ { "id", QString::fromStdString(name.Value()) },
                             { "object", "model" },
                             { "created", 0 },
                             { "owned_by", "ragwortdeck" } });
  }
  const QJsonObject body{ { "object", "list" }, { "data", list } };
  mEnvironment.mMetrics.OnEnded("completed");
  aContext.mExchange->Reply(
    kStatusOk,
    "application/json",
    QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString());
}

void
RequestPath::CutOff()
{
  for (const auto& [key, session] : mSessions) {
    kLog.Warning("shutdown cut off " + session->Describe());
    session->CutOff();
  }
}

} // namespace ragwortdeck
