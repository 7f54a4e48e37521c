#include "Entry/CrashWatch.h"

#include "Entry/CallerRequest.h"
#include "Entry/EntryContext.h"
#include "Entry/StreamRun.h"

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCheckInterval{ 100 };
/// A loop that runs later than this was suspended.
constexpr milliseconds kSuspended{ 1000 };
/// Time in which a host that was suspended reads what had arrived.
constexpr milliseconds kReadOld{ 500 };
/// Interval at which recent crashes are reported again, as messages get lost.
constexpr milliseconds kCrashInterval{ 500 };
/// Interval at which each of up to kTellers hosts reports the quarantined
/// parts; more hosts take turns.
constexpr milliseconds kQuarantineInterval{ 1000 };
constexpr std::size_t kTellers = 32;
/// Unmarked answers of one engine that are kept for one probe.
constexpr std::size_t kMaxUnmarked = 64;
/// Shortest time between two log lines on refused requests; each has its own
/// line as well, when it ends.
constexpr milliseconds kRefusalLogInterval{ 100 };

std::int64_t
InMs(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

} // namespace

CrashWatch::CrashWatch(EntryContext& aContext)
  : mContext(aContext)
  , mQuarantine(
      [this](const std::string& aPart) { return !mIsOwner || mIsOwner(aPart); })
{
}

Task<void>
CrashWatch::Loop()
{
  while (true) {
    mTickAt = mContext.Now();
    co_await SleepFor(mContext.mIo, kCheckInterval);
    const auto now = mContext.Now();
    if (now - *mTickAt >= kSuspended) {
      mReadsOldUntil = now + kReadOld;
    }
    Update();
    Publish();
  }
}

void
CrashWatch::Suspect(const Target& aEngine,
                    const std::string& aRequest,
                    const Parts& aParts,
                    std::optional<MonotonicTime> aUnmarkedSince)
{
  const auto* entry = mContext.mTargets.Find(aEngine.mId);
  if (aParts.empty() || !entry || entry->mLeaving) {
    return;
  }
  const auto [it, isNew] = mSuspicions.try_emplace(aEngine.mId);
  if (isNew) {
    it->second.mAt = mContext.Now();
    it->second.mRequest = aRequest;
  }
  auto& suspicion = it->second;
  if (!aUnmarkedSince) {
    suspicion.mBrokenOff = true;
  } else if (suspicion.mUnmarked.size() < kMaxUnmarked) {
    suspicion.mUnmarked.push_back({ aParts, *aUnmarkedSince });
  }
  for (const auto& part : aParts) {
    if (it->second.mParts.size() < PromptQuarantine::kMaxPartsOfCrash) {
      it->second.mParts.insert(part);
    }
  }
  if (isNew) {
    mContext.Spawn("crash_probe", Probe(aEngine));
  }
}

void
CrashWatch::OnBrokenOff(const Target& aEngine,
                        const std::string& aRequest,
                        const Parts& aParts)
{
  Suspect(aEngine, aRequest, aParts, std::nullopt);
}

void
CrashWatch::OnUnmarkedEnd(const Target& aEngine,
                          const std::string& aRequest,
                          const Parts& aParts,
                          MonotonicTime aBegan)
{
  Suspect(aEngine, aRequest, aParts, aBegan);
}

Task<void>
CrashWatch::Probe(Target aEngine)
{
  auto connection =
    co_await mContext.mPool.Acquire(aEngine.mEndpoint, true, {});
  const auto found = mSuspicions.extract(aEngine.mId);
  if (!found) {
    co_return;
  }
  const auto& suspicion = found.mapped();
  if (!connection) {
    OnCrash(aEngine.mId, suspicion);
    co_return;
  }
  mContext.mPool.Release(std::move(connection), 0);
  if (suspicion.mBrokenOff) {
    mContext.mMetrics.Count("entry_broken_answers_total");
  }
  for (const auto& answer : suspicion.mUnmarked) {
    OnSound(answer.mParts, answer.mBegan);
  }
}

void
CrashWatch::OnCrash(const std::string& aEngine, const Suspicion& aSuspicion)
{
  mContext.mMetrics.Count("entry_engine_crashes_total");
  mContext.mHealth.Unreachable(aEngine, mContext.Now());
  mContext.mLog.Write("engine_crash_suspected",
                      { { "target", aEngine },
                        { "id", aSuspicion.mRequest },
                        { "parts", aSuspicion.mParts } });
  mQuarantine.OnCrash(aEngine,
                      { aSuspicion.mParts.begin(), aSuspicion.mParts.end() },
                      aSuspicion.mAt,
                      mContext.Now());
  Update();
  Publish();
}

void
CrashWatch::OnSound(const Parts& aParts, MonotonicTime aBegan)
{
  mQuarantine.OnSound(aParts, aBegan, mContext.Now());
}

bool
CrashWatch::MayBeDated(MonotonicTime aNow) const
{
  return aNow >= mReadsOldUntil && (!mTickAt || aNow - *mTickAt < kSuspended);
}

void
CrashWatch::Merge(const CrashReport& aReport)
{
  if (aReport.IsEmpty()) {
    return;
  }
  const auto now = mContext.Now();
  if (MayBeDated(now)) {
    mQuarantine.Merge(aReport, now);
  } else {
    CrashReport quarantines;
    quarantines.mQuarantined = aReport.mQuarantined;
    mQuarantine.Merge(quarantines, now);
  }
  Update();
}

std::optional<CrashWatch::Block>
CrashWatch::Find(const Parts& aParts)
{
  return mQuarantine.Find(aParts, mContext.Now());
}

std::optional<CrashWatch::Block>
CrashWatch::FindAtSend(const Parts& aParts)
{
  return mQuarantine.FindAtSend(aParts, mContext.Now());
}

bool
CrashWatch::MayRepeat(const Parts& aParts, const std::string& aEngine)
{
  const auto part = mQuarantine.FindSuspect(aParts, aEngine, mContext.Now());
  if (part) {
    mContext.mMetrics.Count("entry_suspect_repeats_withheld_total");
  }
  return !part;
}

FinalAnswer
CrashWatch::Refuse(const std::string& aRequest, const Block& aBlock)
{
  const auto now = mContext.Now();
  mContext.mMetrics.Count("entry_quarantine_refusals_total");
  if (now - mRefusalLoggedAt >= kRefusalLogInterval) {
    mRefusalLoggedAt = now;
    mContext.mLog.Write("prompt_quarantine_refused",
                        { { "id", aRequest },
                          { "part", aBlock.mPart },
                          { "crashes", aBlock.mCrashes },
                          { "retry_after_ms", InMs(aBlock.mRetryAfter) } });
  }
  return MakeRefusal("a part of the prompt crashes engines",
                     std::chrono::duration<double>(aBlock.mRetryAfter).count());
}

void
CrashWatch::Update()
{
  bool hasNew = false;
  for (const auto& change : mQuarantine.Update(mContext.Now())) {
    const bool held = change.mHold > Duration(0);
    hasNew = hasNew || held;
    mContext.mMetrics.Count(held ? "entry_quarantines_total"
                                 : "entry_quarantine_releases_total");
    mContext.mLog.Write(held ? "prompt_quarantined" : "prompt_released",
                        { { "part", change.mPart },
                          { "crashes", change.mCrashes },
                          { "hold_ms", InMs(change.mHold) },
                          { "engines", change.mEngines } });
  }
  if (hasNew) {
    for (const auto& [id, run] : mContext.mStreams) {
      run->OnQuarantine();
    }
  }
}

void
CrashWatch::Publish()
{
  const auto now = mContext.Now();
  const bool hasNews = mQuarantine.HasNews();
  if (!mOnReport || (!hasNews && now - mReportedAt < kCrashInterval)) {
    return;
  }
  const auto report = mQuarantine.Report(now);
  if (report.IsEmpty()) {
    mQuarantine.ClearNews();
    return;
  }
  const auto hosts = mContext.mCountHosts ? mContext.mCountHosts() : 1;
  const bool isRecent = !report.mCrashes.empty() || !report.mSound.empty();
  const Duration interval =
    isRecent ? Duration(kCrashInterval)
             : Duration(kQuarantineInterval) *
                 static_cast<Duration::rep>(1 + hosts / kTellers);
  if (hasNews || now - mReportedAt >= interval) {
    mReportedAt = now;
    mQuarantine.ClearNews();
    mOnReport(report, hasNews);
  }
}

} // namespace ragwortdeck
