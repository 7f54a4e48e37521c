#include "Entry/EntryContext.h"

#include "Core/HostResources.h"
#include "Core/HttpStatus.h"
#include "Entry/CallerRequest.h"
#include "Serving/EngineChoice.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Pause before a loop that an exception ended runs again.
constexpr std::chrono::milliseconds kRestartPause{ 100 };

CachedTable::Bounds
TableBounds(const EntrySettings& aSettings)
{
  // Margin for requests that were admitted just before the bound.
  constexpr std::chrono::milliseconds kMargin(300);
  CachedTable::Bounds bounds;
  if (aSettings.mStrictKeys) {
    bounds.mMaxKeyedAge = std::max<Duration>(std::chrono::milliseconds(1),
                                             aSettings.mKeyRemoval - kMargin);
  }
  bounds.mMaxDenialAge = std::max<Duration>(std::chrono::milliseconds(1),
                                            aSettings.mTableChange - kMargin);
  return bounds;
}

} // namespace

EntryContext::EntryContext(asio::io_context& aContext,
                           const Clock& aClock,
                           const PlatformCodec& aCodec,
                           EntrySettings aSettings,
                           DecisionLog& aLog)
  : mIo(aContext)
  , mClock(aClock)
  , mCodec(aCodec)
  , mSettings(std::move(aSettings))
  , mLog(aLog)
  , mMemory(aClock, mSettings.mMemoryBytes)
  , mRandom(RandomSource::SystemSeed())
  , mPool(aContext, aClock, mMemory)
  , mCalls(mPool)
  , mTable(TableBounds(mSettings))
  , mCrashWatch(*this)
  , mStartedAt(aClock.Now())
{
  mPool.SetOnRefused(
    [this](const TargetConnection& aConnection, HeadFault aFault) {
      mMetrics.Count("entry_refused_answers_total");
      mLog.Write("answer_refused",
                 { { "id", aConnection.mLastRequest },
                   { "address", ToText(aConnection.mEndpoint) },
                   { "why", ToText(aFault) } });
    });
}

void
EntryContext::LogUnexpectedError(const char* aWhere,
                                 const std::exception& aError)
{
  mMetrics.Count("entry_unexpected_errors_total");
  mLog.Write("unexpected_error",
             { { "where", aWhere }, { "why", aError.what() } });
}

int
EntryContext::MaxConnections() const
{
  return static_cast<int>(CallerDescriptors(mSettings.mMaxDescriptors));
}

bool
EntryContext::HasContents() const
{
  return mTargets.IsKnown() && mTable.AcceptsKeyedRequests(Now());
}

EraTracker::Outcome
EntryContext::ObserveEra(StoreEra aEra, const std::string& aFrom)
{
  const auto before = mEra.Latest();
  const auto outcome = mEra.Observe(aEra);
  if (outcome != EraTracker::Outcome::kBegan) {
    return outcome;
  }
  if (before.IsKnown()) {
    mMetrics.Count("entry_store_returns_total");
  }
  mLog.Write("store_era_changed",
             { { "era", aEra.mNumber },
               { "era_before", before.mNumber },
               { "from", aFrom },
               { "table_version", mTable.VersionNumber() },
               { "list_revision", mTargets.Version().mRevision } });
  if (mOnEraBegan) {
    mOnEraBegan();
  }
  return outcome;
}

void
EntryContext::Spawn(const char* aName, Task<void> aTask)
{
  asio::co_spawn(
    mIo, std::move(aTask), [this, aName](const std::exception_ptr& aError) {
      if (!aError) {
        return;
      }
      try {
        std::rethrow_exception(aError);
      } catch (const std::exception& ec) {
        LogUnexpectedError(aName, ec);
      }
    });
}

void
EntryContext::SpawnLoop(const char* aName, std::function<Task<void>()> aLoop)
{
  Spawn(aName,
        [](EntryContext& aSelf,
           const char* aLoopName,
           std::function<Task<void>()> aBody) -> Task<void> {
          while (true) {
            try {
              co_await aBody();
              co_return;
            } catch (const std::exception& ec) {
              aSelf.LogUnexpectedError(aLoopName, ec);
            }
            co_await SleepFor(aSelf.mIo, kRestartPause);
          }
        }(*this, aName, std::move(aLoop)));
}

void
EntryContext::FinishAll()
{
  const auto active = mActive;
  for (auto* request : active) {
    if (mActive.contains(request)) {
      request->mReason = "host stops";
      request->Finish(CallerRequest::End::kTimedOut);
    }
  }
}

bool
EntryContext::IsOpen(const TargetDirectory::Entry& aEntry) const
{
  return !aEntry.mLeaving && !mPauses.EndOf(aEntry.mTarget, Now());
}

std::vector<const TargetDirectory::Entry*>
EntryContext::OpenTargets(const std::string& aService) const
{
  std::vector<const TargetDirectory::Entry*> open;
  for (const auto& [id, entry] : mTargets.Entries()) {
    if (entry.mTarget.mService == aService && IsOpen(entry)) {
      open.push_back(&entry);
    }
  }
  return open;
}

std::optional<Duration>
EntryContext::PauseOf(const std::string& aService) const
{
  const auto now = Now();
  std::optional<MonotonicTime> first;
  for (const auto& [id, entry] : mTargets.Entries()) {
    if (entry.mLeaving || entry.mTarget.mService != aService) {
      continue;
    }
    const auto end = mPauses.EndOf(entry.mTarget, now);
    if (!end) {
      return std::nullopt;
    }
    first = first ? std::min(*first, *end) : *end;
  }
  return first ? std::optional(*first - now) : std::nullopt;
}

double
EntryContext::RefusalSeconds(const std::string& aService,
                             Milliseconds aTimeLeft)
{
  const auto pause = PauseOf(aService);
  if (!pause) {
    return RetryAfterSeconds(aTimeLeft, mRandom);
  }
  mMetrics.Count("entry_paused_refusals_total");
  return std::chrono::duration<double>(*pause).count();
}

void
EntryContext::RecordAnswer(const Target& aTarget,
                           unsigned aStatus,
                           const TargetResponseHeaders& aHeaders)
{
  RecordNotices(aTarget, aStatus, aHeaders);
  if (aStatus != kStatusUnavailable) {
    return;
  }
  const auto wish = aHeaders.mRetryAfter;
  const auto now = Now();
  if (!wish || !mPauses.Start(aTarget, *wish, now)) {
    return;
  }
  mMetrics.Count("entry_target_pauses_total");
  mLog.Write("target_paused",
             { { "target", aTarget.mId },
               { "pause_ms", wish->count() },
               { "all_paused", PauseOf(aTarget.mService).has_value() } });
  // Generations that wait for the target are refused if it was the last one.
  OfferCapacity();
}

void
EntryContext::RecordNotices(const Target& aTarget,
                            unsigned aStatus,
                            const TargetResponseHeaders& aHeaders)
{
  if (aStatus == kStatusMisdirected) {
    // Another target has the address.
    return;
  }
  const auto now = Now();
  if (aHeaders.mLeaving &&
      mTargets.MarkLeaving(aTarget.mId, aTarget.mBorn, now)) {
    mMetrics.Count("entry_leaving_answers_total");
    mLog.Write(
      "target_answered_leaving",
      { { "target", aTarget.mId },
        { "status", aStatus },
        { "list_age_ms",
          std::chrono::duration_cast<Milliseconds>(mTargets.ListAge(now))
            .count() } });
    if (mOnSaidLeaving) {
      mOnSaidLeaving(aTarget);
    }
  }
}

bool
EntryContext::MaySend(const Target& aTarget,
                      bool aResumes,
                      const std::string& aRequest)
{
  // Margin for the way to the target.
  constexpr std::chrono::milliseconds kMargin(300);
  const auto resumeTime =
    aResumes ? std::max<Duration>(Duration(0), mSettings.mDrainTime - kMargin)
             : Duration(0);
  const auto now = Now();
  const bool isLeaving = !mTargets.Accepts(aTarget.mId, resumeTime, now);
  if (!isLeaving && !mPauses.EndOf(aTarget, now)) {
    return true;
  }
  mMetrics.Count("entry_withheld_sends_total");
  mLog.Write("send_withheld",
             { { "id", aRequest },
               { "target", aTarget.mId },
               { "why", isLeaving ? "leaving" : "paused" },
               { "resumes", aResumes } });
  return false;
}

bool
EntryContext::TryRetry(const std::string& aService)
{
  const auto it =
    mRetries.try_emplace(aService, FleetRetryAllowance(mSettings.mRetries))
      .first;
  return it->second.TrySpend(Now(), mCountHosts ? mCountHosts() : 1);
}

void
EntryContext::CountRequest(const std::string& aService)
{
  mRetries.try_emplace(aService, FleetRetryAllowance(mSettings.mRetries))
    .first->second.OnRequest(Now());
}

void
EntryContext::OfferCapacity()
{
  if (mLine.Size() == 0) {
    return;
  }
  mLine.Offer([this](std::uint64_t aTicket) {
    const auto it = mWaiting.find(aTicket);
    return it == mWaiting.end() || it->second();
  });
}

} // namespace ragwortdeck
