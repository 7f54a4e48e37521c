#pragma once

#include "Filters/DispatcherFactory.h"
#include "Filters/Router.h"
#include "StandIns/EngineServer.h"
#include "StandIns/ServiceServer.h"
#include "Support/EventLoop.h"
#include "Targets/LoadRun.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace ragwortdeck {

inline const std::vector<SharedKey> kRouterTestKeys = {
  { "k1", "0123456789abcdef" }
};

inline std::string
TokenOf(const std::string& aTeam)
{
  return KeyRing::Create(kRouterTestKeys).value().IssueTeamToken(aTeam);
}

/// \brief A reply to one call.
struct Answer
{
  TransferEnd mEnd;
  std::string mBody;

  std::string Code() const { return Error()["code"].toString().toStdString(); }
  std::string State() const
  {
    return Error()["verdict"].toString().toStdString();
  }
  QJsonObject Json() const
  {
    return QJsonDocument::fromJson(QByteArray::fromStdString(mBody)).object();
  }
  QJsonObject Error() const { return Json()["error"].toObject(); }
};

/// \brief Two engines, a service and any number of routers in this process.
class RouterSite
{
public:
  RouterSite()
    : mEngine(Options())
    , mService({})
  {
    mEnginePort = mEngine.Listen({ "127.0.0.1", 0 });
    mServicePort = mService.Listen({ "127.0.0.1", 0 });
  }

  static EngineOptions Options()
  {
    EngineOptions options;
    options.mTokenInterval = Duration(2'000);
    options.mMaxBatch = 1000;
    return options;
  }

  RouterSettings Settings() const
  {
    SiteView view;
    view.mTable.mVersion = 1;
    for (const auto* name : { "nakuru", "kisumu" }) {
      TeamRow team;
      team.mTeam = TeamName(name);
      view.mTable.mTeams.emplace(team.mTeam, team);
    }
    view.mTable.mModels[ModelName("drafts")].mModel = ModelName("drafts");
    AddTarget(view, "engine-1", TargetRole::kEngine, mEnginePort, "drafts");
    AddTarget(view, "stock-1", TargetRole::kService, mServicePort, "stock");
    AddTarget(view, "stock-2", TargetRole::kService, mServicePort, "stock");
    RouterSettings settings;
    settings.mHost = HostId("entry-01");
    settings.mListen = { "127.0.0.1", 0 };
    settings.mKeys = kRouterTestKeys;
    settings.mDispatcher = "least-outstanding";
    settings.mShutdownGrace = std::chrono::milliseconds(0);
    settings.mLimits.mRelay.mStall = std::chrono::milliseconds(300);
    settings.mConnections.mMaxBodyBytes = 10'000;
    settings.mConnections.mMaxHeaderBytes = 4'000;
    settings.mBootstrapView = std::make_shared<const SiteView>(view);
    return settings;
  }

  std::unique_ptr<Router> MakeRouter(RouterSettings aSettings) const
  {
    auto dispatcher = MakeRouterDispatcher(aSettings, mClock);
    return std::move(
      Router::Start(std::move(aSettings), std::move(dispatcher), nullptr)
        .value());
  }
  std::unique_ptr<Router> MakeRouter() const { return MakeRouter(Settings()); }

  Answer Call(const Router& aRouter, HttpCall aCall)
  {
    aCall.mUrl =
      "http://127.0.0.1:" + std::to_string(aRouter.Port()) + aCall.mUrl;
    Answer answer;
    bool isOver = false;
    const auto transfer = mCurl.Start(
      aCall,
      [&](std::string_view aBytes) { answer.mBody += aBytes; },
      [&](const TransferEnd& aEnd) {
        answer.mEnd = aEnd;
        isOver = true;
      });
    RunEventLoopUntil([&] { return isOver; });
    return answer;
  }
  Answer Get(const Router& aRouter,
             const std::string& aPath,
             const std::string& aTeam = "nakuru")
  {
    HttpCall call;
    call.mUrl = aPath;
    call.mHeaders = { "Authorization: Bearer " + TokenOf(aTeam) };
    return Call(aRouter, call);
  }
  Answer Post(const Router& aRouter,
              const std::string& aPath,
              const std::string& aBody,
              std::vector<std::string> aHeaders = {})
  {
    HttpCall call;
    call.mMethod = "POST";
    call.mUrl = aPath;
    call.mBody = aBody;
    call.mHeaders = std::move(aHeaders);
    call.mHeaders.push_back("Authorization: Bearer " + TokenOf("nakuru"));
    return Call(aRouter, call);
  }

  LoadPlan Plan(const std::vector<const Router*>& aRouters) const
  {
    LoadPlan plan;
    for (const auto* router : aRouters) {
      plan.mAddresses.push_back("127.0.0.1:" + std::to_string(router->Port()));
    }
    plan.mToken = TokenOf("nakuru");
    plan.mOutputTokens = 40;
    plan.mStreams = 20;
    plan.mRequests = 20;
    return plan;
  }
  static LoadReportSheet Run(const LoadPlan& aPlan)
  {
    LoadRun run(aPlan);
    bool isOver = false;
    run.Start([&] { isOver = true; });
    RunEventLoopUntil([&] { return isOver; });
    return std::move(run.Report());
  }

  QtScheduler mClock;
  CurlMulti mCurl;
  EngineServer mEngine;
  ServiceServer mService;
  std::uint16_t mEnginePort = 0;
  std::uint16_t mServicePort = 0;

private:
  static void AddTarget(SiteView& aView,
                        const std::string& aId,
                        TargetRole aRole,
                        std::uint16_t aPort,
                        const std::string& aModel)
  {
    Target target;
    target.mId = TargetId(aId);
    target.mRole = aRole;
    target.mAddress = "127.0.0.1:" + std::to_string(aPort);
    target.mModels = { ModelName(aModel) };
    aView.mTargets.emplace(target.mId, target);
  }
};

inline void
AssertAllWhole(const LoadReportSheet& aReport, std::uint64_t aCount)
{
  CPPUNIT_ASSERT_EQUAL(std::string(), aReport.mFirstError);
  CPPUNIT_ASSERT_EQUAL(aCount, aReport.mCompleted);
  CPPUNIT_ASSERT(aReport.IsClean());
}

} // namespace ragwortdeck
