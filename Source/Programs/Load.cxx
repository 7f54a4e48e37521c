#include "Core/KeyRing.h"
#include "Core/Program.h"
#include "Targets/LoadRun.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QThread>
#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <vector>

using namespace ragwortdeck;

namespace {

/// \brief Settings of ragwort-load.
struct LoadSettings
{
  LoadPlan mPlan;
  std::uint32_t mThreads = 1;
};

/// The bearer token: given as "token", or issued for "team" with "key".
std::string
ReadToken(SettingsSection& aRoot)
{
  auto token = aRoot.String("token", "");
  const auto team = aRoot.String("team", "");
  if (!token.empty() || team.empty()) {
    return token;
  }
  if (!aRoot.Has("key")) {
    aRoot.Reject("key", "expected 'id' and 'secret' to issue a token");
    return {};
  }
  auto section = aRoot.Section("key");
  const auto id = section.RequiredString("id");
  const auto secret = section.RequiredString("secret");
  const auto ring = KeyRing::Create({ { id, secret } });
  if (!ring) {
    aRoot.Reject("key", "expected a key for 'team': " + ring.error().mMessage);
    return {};
  }
  return ring.value().IssueTeamToken(team);
}

LoadSettings
ReadSettings(SettingsSection& aRoot)
{
  using std::chrono::milliseconds;
  constexpr std::int64_t kMany = 100'000'000;
  LoadSettings settings;
  auto& plan = settings.mPlan;
  for (const auto& endpoint : aRoot.EndpointList("addresses")) {
    plan.mAddresses.push_back(ToText(endpoint));
  }
  if (plan.mAddresses.empty()) {
    aRoot.Reject("addresses", "expected at least one <IP address>:<port>");
  }
  plan.mToken = ReadToken(aRoot);
  plan.mModel = aRoot.String("model", plan.mModel);
  plan.mKind = aRoot.String("kind", "");
  plan.mStreams = std::uint32_t(aRoot.Integer("streams", 10, 1, 100'000));
  plan.mRequests = std::uint32_t(aRoot.Integer("requests", 100, 1, kMany));
  plan.mRamp = aRoot.Milliseconds(
    "ramp_ms", milliseconds(0), milliseconds(0), milliseconds(3'600'000));
  plan.mInputBytes =
    std::uint32_t(aRoot.Integer("input_bytes", 200, 1, 10'000'000));
  plan.mOutputTokens =
    std::uint32_t(aRoot.Integer("output_tokens", 0, 0, 1'000'000));
  plan.mStallThreshold = aRoot.Milliseconds("stall_threshold_ms",
                                            milliseconds(1000),
                                            milliseconds(1),
                                            milliseconds(3'600'000));
  plan.mResumes = std::uint32_t(aRoot.Integer("resumes", 0, 0, 1000));
  plan.mSeed = std::uint64_t(aRoot.Integer("seed", 1, 0, INT64_MAX));
  settings.mThreads = std::uint32_t(aRoot.Integer("threads", 1, 1, 64));
  return settings;
}

/// The part of a plan that one of several threads runs.
LoadPlan
PartOf(const LoadSettings& aSettings, std::uint32_t aIndex)
{
  const auto share = [&](std::uint32_t aTotal) {
    return aTotal / aSettings.mThreads +
           (aIndex < aTotal % aSettings.mThreads ? 1 : 0);
  };
  auto plan = aSettings.mPlan;
  plan.mStreams = std::max(1U, share(plan.mStreams));
  plan.mRequests = share(plan.mRequests);
  plan.mSeed = plan.mSeed * aSettings.mThreads + aIndex;
  return plan;
}

int
Run(int& argc, char** argv, const LoadSettings& aSettings)
{
  QCoreApplication app(argc, argv);
  std::vector<LoadReportSheet> sheets(aSettings.mThreads);
  std::vector<std::unique_ptr<QThread>> threads;
  const auto start = std::chrono::steady_clock::now();
  for (std::uint32_t n = 0; n < aSettings.mThreads; ++n) {
    const auto plan = PartOf(aSettings, n);
    if (plan.mRequests == 0) {
      continue;
    }
    threads.emplace_back(QThread::create([plan, &sheet = sheets[n]] {
      QEventLoop loop;
      LoadRun run(plan);
      run.Start([&loop] { loop.quit(); });
      loop.exec();
      sheet = std::move(run.Report());
    }));
    threads.back()->start();
  }
  for (const auto& thread : threads) {
    thread->wait();
  }
  const std::chrono::duration<double> seconds =
    std::chrono::steady_clock::now() - start;
  LoadReportSheet total;
  for (auto& sheet : sheets) {
    total.Merge(std::move(sheet));
  }
  std::cout << total.ToText() << "seconds " << seconds.count() << "\n";
  const bool isGood = total.IsClean() && total.mBroken == 0;
  return isGood ? kExitSuccess : kExitFailure;
}

} // namespace

int
main(int argc, char** argv)
{
  ProgramSpec spec;
  spec.mName = "ragwort-load";
  spec.mDescription = "Sends parallel streams to engines or routers";
  spec.mLoad = [&](SettingsSection& aRoot) -> ProgramSpec::Run {
    const auto settings = ReadSettings(aRoot);
    return [&argc, argv, settings] { return Run(argc, argv, settings); };
  };
  return RunProgram(argc, argv, spec);
}
