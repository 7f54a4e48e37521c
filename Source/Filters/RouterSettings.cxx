#include "Filters/RouterSettings.h"

#include "Core/HostResources.h"
#include "Core/KeySettings.h"
#include "Filters/DispatcherFactory.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHour{ 3'600'000 };
constexpr std::int64_t kMaxUint32 = 4'294'967'295;

std::uint32_t
Unsigned(SettingsSection& aSection,
         const std::string& aKey,
         std::uint32_t aFallback,
         std::int64_t aMin,
         std::int64_t aMax)
{
  return std::uint32_t(aSection.Integer(aKey, aFallback, aMin, aMax));
}

/// A nested mapping that may be absent.
SettingsSection
OptionalSection(SettingsSection& aSection, const std::string& aKey)
{
  if (aSection.Has(aKey)) {
    return aSection.Section(aKey);
  }
  return SettingsSection(YAML::Node(YAML::NodeType::Map),
                         {},
                         {},
                         std::make_shared<std::vector<SettingsError>>());
}

template<typename Name>
std::vector<Name>
Names(SettingsSection& aSection, const std::string& aKey)
{
  std::vector<Name> names;
  for (auto& text : aSection.StringList(aKey)) {
    names.emplace_back(std::move(text));
  }
  return names;
}

TeamRow
ReadTeam(SettingsSection& aSection)
{
  TeamRow row;
  row.mTeam = TeamName(aSection.RequiredString("team"));
  row.mShare = Unsigned(aSection, "share", 100, 1, 1000);
  row.mMaxConcurrent = Unsigned(aSection, "max_concurrent", 0, 0, kMaxUint32);
  row.mTokensPerSecond =
    Unsigned(aSection, "tokens_per_second", 0, 0, kMaxUint32);
  row.mPriority = Unsigned(aSection, "priority", 5, 0, 9);
  return row;
}

KindRow
ReadKind(SettingsSection& aSection)
{
  KindRow row;
  row.mKind = KindName(aSection.RequiredString("kind"));
  row.mClass = aSection.Choice("class", { "short", "long" }, "long") == "short"
                 ? KindClass::kShort
                 : KindClass::kLong;
  row.mDeadlineSeconds = Unsigned(aSection, "deadline_s", 600, 1, 86'400);
  row.mPriority = Unsigned(aSection, "priority", 5, 0, 9);
  row.mMaxOutputTokens =
    Unsigned(aSection, "max_output_tokens", 32'768, 1, kMaxUint32);
  const auto repeat =
    aSection.Choice("repeat", { "idempotent", "at-most-once" }, "idempotent");
  row.mRepeat =
    repeat == "idempotent" ? RepeatRule::kIdempotent : RepeatRule::kAtMostOnce;
  row.mReservedPercent = Unsigned(aSection, "reserved_percent", 0, 0, 100);
  return row;
}

ModelRow
ReadModel(SettingsSection& aSection)
{
  ModelRow row;
  row.mModel = ModelName(aSection.RequiredString("model"));
  row.mReplicas = Unsigned(aSection, "replicas", 1, 0, 100'000);
  row.mVersion = aSection.String("version", "");
  row.mAdapters = aSection.StringList("adapters");
  return row;
}

Target
ReadTarget(SettingsSection& aSection)
{
  Target target;
  target.mId = TargetId(aSection.RequiredString("id"));
  target.mRole =
    aSection.Choice("role", { "engine", "service" }, "engine") == "engine"
      ? TargetRole::kEngine
      : TargetRole::kService;
  const auto state =
    aSection.Choice("state", { "live", "leaving", "down" }, "live");
  target.mState = state == "live"      ? TargetState::kLive
                  : state == "leaving" ? TargetState::kLeaving
                                       : TargetState::kDown;
  target.mFailureDomain =
    FailureDomain(aSection.String("failure_domain", "default"));
  target.mAddress = ToText(aSection.RequiredEndpoint("address"));
  target.mModels = Names<ModelName>(aSection, "models");
  target.mAdapters = aSection.StringList("adapters");
  target.mChecksFencing = aSection.Boolean("checks_fencing", false);
  target.mLoad.mMemoryTokens =
    std::uint64_t(aSection.Integer("memory_tokens", 0, 0, INT64_MAX));
  target.mLoad.mMaxBatch = Unsigned(aSection, "max_batch", 0, 0, kMaxUint32);
  return target;
}

void
ReadLimits(SettingsSection aSection, RouterSettings& aSettings)
{
  auto& connections = aSettings.mConnections;
  connections.mMaxBodyBytes = std::size_t(
    aSection.Integer("max_body_bytes", 1 << 20, 1, std::int64_t(1) << 30));
  connections.mMaxHeaderBytes =
    std::size_t(aSection.Integer("max_header_bytes", 16 << 10, 256, 1 << 20));
  const auto openable = std::max<std::int64_t>(
    1, std::int64_t(CallerDescriptors(MaxOpenDescriptors())));
  const auto total = std::min(
    openable, aSection.Integer("max_connections", 20'000, 1, 1'000'000));
  const auto threads = std::int64_t(aSettings.mThreads);
  connections.mMaxConnections = std::size_t((total + threads - 1) / threads);
  connections.mIdle = aSection.Milliseconds(
    "idle_timeout_ms", connections.mIdle, milliseconds(100), kHour);
  connections.mRequest = aSection.Milliseconds(
    "request_timeout_ms", connections.mRequest, milliseconds(100), kHour);
  auto& buffers = aSettings.mBuffers;
  buffers.mHighBytes =
    aSection.Integer("caller_buffer_bytes", 256 << 10, 4096, 1 << 28);
  buffers.mLowBytes = buffers.mHighBytes / 4;
  buffers.mSlowCaller = aSection.Milliseconds(
    "slow_caller_timeout_ms", buffers.mSlowCaller, milliseconds(100), kHour);
}

void
ReadPhases(SettingsSection aSection, RequestLimits& aPhases)
{
  const milliseconds least(1);
  aPhases.mConnect =
    aSection.Milliseconds("connect_ms", aPhases.mConnect, least, kHour);
  aPhases.mFirstToken = aSection.Milliseconds(
    "first_token_ms", aPhases.mFirstToken, milliseconds(0), kHour);
  aPhases.mRelay.mStall = aSection.Milliseconds(
    "stall_ms",
    std::chrono::duration_cast<milliseconds>(aPhases.mRelay.mStall),
    least,
    kHour);
  aPhases.mService =
    aSection.Milliseconds("service_ms", aPhases.mService, least, kHour);
  aPhases.mHedge = aSection.Milliseconds(
    "hedge_after_ms", aPhases.mHedge, milliseconds(0), kHour);
  aPhases.mStallThreshold = aSection.Milliseconds(
    "stall_threshold_ms", aPhases.mStallThreshold, least, kHour);
}

void
ReadRetries(SettingsSection aSection, RequestLimits& aPhases)
{
  aPhases.mRelay.mMaxAttempts =
    Unsigned(aSection, "engine_attempts", 3, 1, 100);
  aPhases.mRelay.mResumeAttempts =
    Unsigned(aSection, "resume_attempts", 4, 0, 100);
  aPhases.mRelay.mFirstResumeDelay = aSection.Milliseconds(
    "resume_delay_ms", milliseconds(20), milliseconds(1), kHour);
  aPhases.mServiceAttempts = Unsigned(aSection, "service_attempts", 3, 1, 100);
  aPhases.mRetryShare = aSection.Number("retry_share", 0.1, 0, 1);
}

} // namespace

SiteView
ReadSiteView(SettingsSection aSection)
{
  SiteView view;
  view.mTable.mVersion =
    std::uint64_t(aSection.Integer("version", 1, 1, INT64_MAX));
  for (auto& section : aSection.Sections("teams")) {
    auto row = ReadTeam(section);
    view.mTable.mTeams.emplace(row.mTeam, row);
  }
  for (auto& section : aSection.Sections("kinds")) {
    auto row = ReadKind(section);
    view.mTable.mKinds.emplace(row.mKind, row);
  }
  for (auto& section : aSection.Sections("models")) {
    auto row = ReadModel(section);
    view.mTable.mModels.emplace(row.mModel, row);
  }
  for (auto& section : aSection.Sections("targets")) {
    auto target = ReadTarget(section);
    if (!view.mTargets.emplace(target.mId, target).second) {
      section.Reject("id", "expected an id that no other target has");
    }
  }
  view.mEntryHosts = Names<HostId>(aSection, "entry_hosts");
  return view;
}

RouterSettings
ReadRouterSettings(SettingsSection& aRoot)
{
  RouterSettings settings;
  settings.mHost = HostId(aRoot.RequiredString("host"));
  settings.mFailureDomain =
    FailureDomain(aRoot.String("failure_domain", "default"));
  settings.mListen = aRoot.RequiredEndpoint("listen");
  settings.mThreads = Unsigned(aRoot, "threads", 2, 1, 64);
  constexpr std::int64_t kMinMemoryMb = 32;
  settings.mMemoryBytes = ReadMemoryBytes(aRoot, kMinMemoryMb);
  settings.mKeys = ReadSharedKeys(aRoot);
  MakeKeyRing(aRoot, settings.mKeys);
  const auto dispatchers = DispatcherNames();
  settings.mDispatcher =
    aRoot.Choice("dispatcher", dispatchers, dispatchers.front());
  settings.mTls = ReadCallerTls(OptionalSection(aRoot, "tls"));
  ReadLimits(OptionalSection(aRoot, "limits"), settings);
  ReadPhases(OptionalSection(aRoot, "timeouts"), settings.mLimits);
  ReadRetries(OptionalSection(aRoot, "retries"), settings.mLimits);
  {
    auto shutdown = OptionalSection(aRoot, "shutdown");
    settings.mShutdownGrace = shutdown.Milliseconds(
      "grace_ms", settings.mShutdownGrace, milliseconds(0), kHour);
    settings.mShutdownDeadline = shutdown.Milliseconds(
      "deadline_ms", settings.mShutdownDeadline, milliseconds(0), 24 * kHour);
  }
  settings.mLoadPeriod = aRoot.Milliseconds(
    "load_period_ms", settings.mLoadPeriod, milliseconds(0), kHour);
  if (aRoot.Has("bootstrap_view")) {
    settings.mBootstrapView = std::make_shared<const SiteView>(
      ReadSiteView(aRoot.Section("bootstrap_view")));
  }
  return settings;
}

} // namespace ragwortdeck
