#include "Entry/CrashWatch.h"

#include "Entry/EntryContext.h"

namespace ragwortdeck {

namespace {

/// Parts that are recorded of one crash.
constexpr std::size_t kMaxParts = 64;

} // namespace

void
CrashWatch::OnBrokenOff(const Target& aEngine,
                        const std::string& aRequest,
                        const std::vector<std::string>& aParts)
{
  const auto* entry = mContext.mTargets.Find(aEngine.mId);
  if (aParts.empty() || !entry || entry->mLeaving) {
    return;
  }
  const auto [it, isNew] = mSuspicions.try_emplace(
    aEngine.mId, Suspicion{ mContext.Now(), aRequest, {} });
  for (const auto& part : aParts) {
    if (it->second.mParts.size() < kMaxParts) {
      it->second.mParts.insert(part);
    }
  }
  if (isNew) {
    mContext.Spawn("crash_probe", Probe(aEngine));
  }
}

Task<void>
CrashWatch::Probe(Target aEngine)
{
  auto connection =
    co_await mContext.mPool.Acquire(aEngine.mEndpoint, true, {});
  const auto suspicion = mSuspicions.extract(aEngine.mId);
  if (connection) {
    mContext.mPool.Release(std::move(connection), 0);
    mContext.mMetrics.Count("entry_broken_answers_total");
  } else if (suspicion) {
    OnCrash(aEngine.mId, suspicion.mapped());
  }
}

void
CrashWatch::OnCrash(const std::string& aEngine, const Suspicion& aSuspicion)
{
  mContext.mMetrics.Count("entry_engine_crashes_total");
  mContext.mLog.Write("engine_crash_suspected",
                      { { "target", aEngine },
                        { "id", aSuspicion.mRequest },
                        { "parts", aSuspicion.mParts } });
}

} // namespace ragwortdeck
