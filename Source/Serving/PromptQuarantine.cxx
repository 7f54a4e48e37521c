#include "Serving/PromptQuarantine.h"

#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

/// Limits of one report, which must fit into a datagram.
constexpr std::size_t kMaxReportedCrashes = 8;
constexpr std::size_t kMaxReportedParts = 64;

std::int64_t
AgeMs(MonotonicTime aAt, MonotonicTime aNow)
{
  return std::max<std::int64_t>(
    0, std::chrono::duration_cast<milliseconds>(aNow - aAt).count());
}

/// aMs of another host, within [aLeast, aMost].
Duration
Bounded(std::int64_t aMs, Duration aMost, Duration aLeast = Duration(0))
{
  return milliseconds(std::clamp<std::int64_t>(
    aMs,
    std::chrono::duration_cast<milliseconds>(aLeast).count(),
    std::chrono::duration_cast<milliseconds>(aMost).count()));
}

bool
IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= PromptQuarantine::kMaxNameBytes;
}

} // namespace

Duration
PromptQuarantine::Quarantine::NextHold() const
{
  return mHold < kHold ? std::min(mHold * kHoldGrowthOfSound, kHold)
                       : std::min(mHold * 2, kLongestHold);
}

bool
PromptQuarantine::Quarantine::LearnThatItWasSound(MonotonicTime aNow)
{
  if (mWasSound || mHold > kHold) {
    return false;
  }
  mUntil = std::max(LastCrash() + kFirstHoldOfSound, aNow);
  mHold = kFirstHoldOfSound;
  mWasSound = true;
  mTestedAt.reset();
  return true;
}

void
PromptQuarantine::OnCrash(const std::string& aEngine,
                          const Parts& aParts,
                          MonotonicTime aAt,
                          MonotonicTime aNow)
{
  auto parts = aParts;
  parts.resize(std::min(parts.size(), kMaxPartsOfCrash));
  const Crash crash{ aEngine, aAt };
  Add(crash, parts, aNow);
  mOwnCrashes.push_back({ crash, std::move(parts) });
  if (mOwnCrashes.size() > kMaxReportedCrashes) {
    mOwnCrashes.erase(mOwnCrashes.begin());
  }
  mHasNews = true;
}

void
PromptQuarantine::OnSound(const Parts& aParts,
                          MonotonicTime aBegan,
                          MonotonicTime aNow)
{
  for (const auto& part : aParts) {
    const auto it = mSuspects.find(part);
    const bool suspected =
      mQuarantined.contains(part) ||
      (it != mSuspects.end() && !Counted(part, it->second).empty());
    AddSound(part, { aBegan, true });
    if (suspected) {
      TellIfSuspected(part, aNow);
    }
  }
}

void
PromptQuarantine::Merge(const CrashReport& aReport, MonotonicTime aNow)
{
  std::size_t n = 0;
  for (const auto& sound : aReport.mSound) {
    if (IsName(sound.mPart) && n++ < kMaxReportedParts) {
      const auto began = aNow - Bounded(sound.mAgeMs, kForgetCrash);
      AddSound(sound.mPart, { began, false });
      const auto last = mSound.find(sound.mPart);
      if (last == mSound.end() || last->second.mBegan <= began) {
        // The others have been told.
        mToldSound.erase(sound.mPart);
      }
    }
  }
  n = 0;
  for (const auto& crash : aReport.mCrashes) {
    if (IsName(crash.mEngine) && n++ < kMaxReportedCrashes) {
      Add({ crash.mEngine, aNow - Bounded(crash.mAgeMs, kForgetCrash) },
          crash.mParts,
          aNow);
    }
  }
  n = 0;
  for (const auto& part : aReport.mQuarantined) {
    if (IsName(part.mPart) && n++ < kMaxReportedParts) {
      AddQuarantine(part, aNow);
    }
  }
}

CrashReport
PromptQuarantine::Report(MonotonicTime aNow) const
{
  CrashReport report;
  for (const auto& own : mOwnCrashes) {
    if (aNow - own.mCrash.mAt < kReportFor) {
      report.mCrashes.push_back(
        { own.mCrash.mEngine, AgeMs(own.mCrash.mAt, aNow), own.mParts });
    }
  }
  for (const auto& [part, until] : mToldSound) {
    const auto it = mSound.find(part);
    if (it != mSound.end() && aNow < until &&
        report.mSound.size() < kMaxReportedParts) {
      report.mSound.push_back({ part, AgeMs(it->second.mBegan, aNow) });
    }
  }
  for (const auto& [part, held] : mQuarantined) {
    if (aNow - held.mUntil < kReportQuarantine &&
        report.mQuarantined.size() < kMaxReportedParts) {
      report.mQuarantined.push_back(
        { part,
          AgeMs(held.mFirstAt, aNow),
          std::chrono::duration_cast<milliseconds>(held.mUntil - aNow).count(),
          std::chrono::duration_cast<milliseconds>(held.mHold).count(),
          held.mCrashes,
          held.mWasSound });
    }
  }
  return report;
}

void
PromptQuarantine::Add(const Crash& aCrash,
                      const Parts& aParts,
                      MonotonicTime aNow)
{
  if (aNow - aCrash.mAt >= kForgetCrash) {
    return;
  }
  std::size_t n = 0;
  for (const auto& part : aParts) {
    if (IsName(part) && n++ < kMaxPartsOfCrash) {
      AddTo(part, aCrash, aNow);
    }
  }
}

void
PromptQuarantine::AddTo(const std::string& aPart,
                        const Crash& aCrash,
                        MonotonicTime aNow)
{
  if (mSuspects.size() >= kMaxSuspects && !mSuspects.contains(aPart)) {
    return;
  }
  auto& crashes = mSuspects[aPart];
  for (auto& known : crashes) {
    const auto apart =
      known.mAt > aCrash.mAt ? known.mAt - aCrash.mAt : aCrash.mAt - known.mAt;
    if (known.mEngine == aCrash.mEngine && apart < kSameCrash) {
      known.mAt = std::min(known.mAt, aCrash.mAt);
      return;
    }
  }
  crashes.push_back(aCrash);
  // The oldest go first: many prove no more than a few.
  constexpr std::size_t kMaxCrashesOfPart = 32;
  if (crashes.size() > kMaxCrashesOfPart) {
    crashes.erase(crashes.begin());
  }
  TellIfSuspected(aPart, aNow);
  const auto it = mQuarantined.find(aPart);
  if (it == mQuarantined.end()) {
    return;
  }
  auto& held = it->second;
  if (aCrash.mAt >= held.mUntil) {
    held.mHold = held.NextHold();
    ++held.mCrashes;
    mChanges.push_back(ChangeOf(aPart, held));
  } else {
    held.mCrashes = std::max(
      held.mCrashes, static_cast<std::int64_t>(Counted(aPart, crashes).size()));
  }
  held.mUntil = std::max(held.mUntil, aCrash.mAt + held.mHold);
  held.mTestedAt.reset();
}

void
PromptQuarantine::AddSound(const std::string& aPart, const Answer& aAnswer)
{
  auto& last = mSound.try_emplace(aPart, aAnswer).first->second;
  if (last.mBegan < aAnswer.mBegan) {
    last = aAnswer;
  }
  if (mSound.size() > kMaxSound) {
    std::vector<MonotonicTime> times;
    times.reserve(mSound.size());
    for (const auto& [part, at] : mSound) {
      times.push_back(at.mBegan);
    }
    const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(mSound, [&](const auto& aItem) {
      return aItem.second.mBegan <= *middle;
    });
  }
  const auto it = mQuarantined.find(aPart);
  if (it != mQuarantined.end() && aAnswer.mBegan > it->second.mFirstAt) {
    Release(aPart);
  }
}

void
PromptQuarantine::AddQuarantine(const QuarantinedPart& aPart,
                                MonotonicTime aNow)
{
  const auto known = mQuarantined.find(aPart.mPart);
  const bool isKnown = known != mQuarantined.end();
  const auto crashes = std::min(aPart.mCrashes, kMaxReportedCount);
  const auto hold = std::max(Bounded(aPart.mHoldMs, kLongestHold),
                             aPart.mWasSound ? kFirstHoldOfSound : kHold);
  // Otherwise hosts could keep a quarantine alive by telling each other.
  const auto remaining = Bounded(aPart.mRemainingMs, hold, -kForgetQuarantine);
  if (crashes <= 0 || remaining <= -kReportQuarantine) {
    return;
  }
  Quarantine held;
  held.mFirstAt =
    aNow - Bounded(aPart.mAgeMs, kForgetQuarantine + kLongestHold);
  held.mHold = hold;
  held.mUntil = aNow + remaining;
  held.mCrashes = crashes;
  held.mWasSound = aPart.mWasSound;
  if (isKnown && held.mWasSound) {
    if (known->second.LearnThatItWasSound(aNow)) {
      mChanges.push_back(ChangeOf(aPart.mPart, known->second));
    }
  } else if (isKnown ? known->second.mWasSound : WasSound(aPart.mPart)) {
    held.LearnThatItWasSound(aNow);
  }
  if (isKnown && std::pair(held.mCrashes, held.mHold) <=
                   std::pair(known->second.mCrashes, known->second.mHold)) {
    return;
  }
  const auto sound = mSound.find(aPart.mPart);
  if (sound != mSound.end() && sound->second.mBegan > held.mFirstAt) {
    TellIfSuspected(aPart.mPart, aNow);
    return;
  }
  if (isKnown) {
    held.mFirstAt = std::min(held.mFirstAt, known->second.mFirstAt);
    const auto lastCrash =
      std::max(held.LastCrash(), known->second.LastCrash());
    held.mHold = std::max(held.mHold, known->second.mHold);
    held.mUntil =
      std::max({ held.mUntil, known->second.mUntil, lastCrash + held.mHold });
  }
  Hold(aPart.mPart, held);
}

void
PromptQuarantine::TellIfSuspected(const std::string& aPart, MonotonicTime aNow)
{
  const auto sound = mSound.find(aPart);
  if (sound == mSound.end() || !sound->second.mIsOwn) {
    return;
  }
  const auto suspect = mSuspects.find(aPart);
  const bool clears = suspect == mSuspects.end() ||
                      std::any_of(suspect->second.begin(),
                                  suspect->second.end(),
                                  [&](const Crash& aItem) {
                                    return aItem.mAt <= sound->second.mBegan;
                                  });
  const bool isNew = !mToldSound.contains(aPart);
  if (clears && (!isNew || mToldSound.size() < kMaxReportedParts)) {
    mToldSound[aPart] = aNow + kReportFor;
    // After one crash, the next regular report is soon enough.
    const bool isUrgent =
      suspect == mSuspects.end() || suspect->second.size() >= 2;
    mHasNews = mHasNews || (isNew && isUrgent);
  }
}

std::vector<PromptQuarantine::Crash>
PromptQuarantine::Counted(const std::string& aPart,
                          const std::vector<Crash>& aCrashes) const
{
  std::vector<Crash> counted;
  const auto sound = mSound.find(aPart);
  for (const auto& crash : aCrashes) {
    if (sound == mSound.end() || crash.mAt >= sound->second.mBegan) {
      counted.push_back(crash);
    }
  }
  std::sort(counted.begin(),
            counted.end(),
            [](const Crash& aLeft, const Crash& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  return counted;
}

bool
PromptQuarantine::IsToBlame(const std::vector<Crash>& aCounted,
                            MonotonicTime aNow) const
{
  return aCounted.size() >= kMinCrashes &&
         aNow - aCounted.front().mAt >= kSettle &&
         aCounted.back().mAt - aCounted.front().mAt >= kTogether;
}

std::vector<PromptQuarantine::Change>
PromptQuarantine::Update(MonotonicTime aNow)
{
  std::erase_if(mToldSound,
                [&](const auto& aItem) { return aNow >= aItem.second; });
  std::erase_if(mOwnCrashes, [&](const OwnCrash& aItem) {
    return aNow - aItem.mCrash.mAt >= kReportFor;
  });
  std::erase_if(mQuarantined, [&](const auto& aItem) {
    return aNow - aItem.second.mUntil >= kForgetQuarantine;
  });
  for (auto it = mSuspects.begin(); it != mSuspects.end();) {
    auto& [part, crashes] = *it;
    std::erase_if(crashes, [&](const Crash& aItem) {
      return aNow - aItem.mAt >= kForgetCrash;
    });
    if (crashes.size() >= kMinCrashes && !mQuarantined.contains(part)) {
      const auto counted = Counted(part, crashes);
      if (IsToBlame(counted, aNow)) {
        Quarantine held;
        held.mFirstAt = counted.front().mAt;
        held.mWasSound = WasSound(part);
        held.mHold = held.mWasSound ? kFirstHoldOfSound : kHold;
        held.mUntil = counted.back().mAt + held.mHold;
        held.mCrashes = static_cast<std::int64_t>(counted.size());
        Hold(part, held);
        mHasNews = true;
      }
    }
    it = crashes.empty() ? mSuspects.erase(it) : std::next(it);
  }
  return std::exchange(mChanges, {});
}

void
PromptQuarantine::Hold(const std::string& aPart, const Quarantine& aQuarantine)
{
  if (mQuarantined.size() >= kMaxQuarantined && !mQuarantined.contains(aPart)) {
    mQuarantined.erase(
      std::min_element(mQuarantined.begin(),
                       mQuarantined.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.mUntil < aRight.second.mUntil;
                       }));
  }
  mQuarantined[aPart] = aQuarantine;
  mChanges.push_back(ChangeOf(aPart, aQuarantine));
}

void
PromptQuarantine::Release(const std::string& aPart)
{
  const auto it = mQuarantined.find(aPart);
  Change change;
  change.mPart = aPart;
  change.mCrashes = it->second.mCrashes;
  mChanges.push_back(change);
  mQuarantined.erase(it);
}

PromptQuarantine::Change
PromptQuarantine::ChangeOf(const std::string& aPart,
                           const Quarantine& aHeld) const
{
  constexpr std::size_t kMaxEngines = 8;
  Change change{ aPart, aHeld.mCrashes, aHeld.mHold, {} };
  const auto it = mSuspects.find(aPart);
  if (it != mSuspects.end()) {
    for (const auto& crash : it->second) {
      if (change.mEngines.size() < kMaxEngines) {
        change.mEngines.push_back(crash.mEngine);
      }
    }
  }
  return change;
}

bool
PromptQuarantine::MayTest(const std::string& aPart,
                          const Quarantine& aHeld,
                          MonotonicTime aNow) const
{
  // With as many names, nearly all hosts of a large fleet own one.
  constexpr int kMaxDoublings = 7;
  // A few hosts are enough to test a part soon; with many, a burst of requests
  // crashes as many engines.
  constexpr Duration::rep kMaxQuickDoublings = 3;
  const auto over = aNow - aHeld.mUntil;
  const auto quick = aHeld.mHold < kHold
                       ? std::min(over / kShortTestTimeout, kMaxQuickDoublings)
                       : 0;
  const auto doublings =
    quick + (over - quick * kShortTestTimeout) / kTestTimeout;
  if (doublings >= kMaxDoublings || mIsOwner(aPart)) {
    return true;
  }
  for (int i = 1; i < 1 << doublings; ++i) {
    if (mIsOwner(aPart + '#' + std::to_string(i))) {
      return true;
    }
  }
  return false;
}

std::optional<PromptQuarantine::Block>
PromptQuarantine::BlockOf(const std::string& aPart, MonotonicTime aNow) const
{
  const auto it = mQuarantined.find(aPart);
  if (it == mQuarantined.end()) {
    return std::nullopt;
  }
  const auto& held = it->second;
  if (aNow < held.mUntil) {
    return Block{ aPart, held.mCrashes, held.mUntil - aNow };
  }
  const bool isTested = held.mTestedAt && aNow - *held.mTestedAt < kTestTimeout;
  if (!isTested && MayTest(aPart, held, aNow)) {
    return std::nullopt;
  }
  return Block{ aPart, held.mCrashes, held.TestTimeout() };
}

std::optional<PromptQuarantine::Block>
PromptQuarantine::Find(const Parts& aParts, MonotonicTime aNow) const
{
  if (mQuarantined.empty()) {
    return std::nullopt;
  }
  // Whether all crashes with aPart had aOther as well.
  const auto isCompanion = [&](const std::string& aPart,
                               const std::string& aOther) {
    const auto crashes = mSuspects.find(aPart);
    const auto others = mSuspects.find(aOther);
    const auto counted = crashes == mSuspects.end()
                           ? std::vector<Crash>()
                           : Counted(aPart, crashes->second);
    if (counted.empty() || others == mSuspects.end()) {
      // This host knows only what the others reported of the parts.
      const auto& held = mQuarantined.at(aPart);
      const auto& other = mQuarantined.at(aOther);
      return held.mCrashes == other.mCrashes &&
             std::chrono::abs(held.mFirstAt - other.mFirstAt) < kTogether;
    }
    return std::all_of(
      counted.begin(), counted.end(), [&](const Crash& aCrash) {
        return std::any_of(others->second.begin(),
                           others->second.end(),
                           [&](const Crash& aItem) {
                             return aItem.mEngine == aCrash.mEngine &&
                                    std::chrono::abs(aItem.mAt - aCrash.mAt) <
                                      kSameCrash;
                           });
      });
  };
  // A request without one of the parts that always came together may be sound:
  // its answer clears the parts that it has, and its crash those that it lacks.
  const auto hasCompanions = [&](const std::string& aPart) {
    return std::all_of(
      mQuarantined.begin(), mQuarantined.end(), [&](const auto& aItem) {
        return std::find(aParts.begin(), aParts.end(), aItem.first) !=
                 aParts.end() ||
               !isCompanion(aPart, aItem.first);
      });
  };
  for (const auto& part : aParts) {
    if (auto block = BlockOf(part, aNow); block && hasCompanions(part)) {
      return block;
    }
  }
  return std::nullopt;
}

std::optional<PromptQuarantine::Block>
PromptQuarantine::FindAtSend(const Parts& aParts, MonotonicTime aNow)
{
  auto block = Find(aParts, aNow);
  if (!block && !mQuarantined.empty()) {
    for (const auto& part : aParts) {
      const auto it = mQuarantined.find(part);
      if (it != mQuarantined.end()) {
        it->second.mTestedAt = aNow;
      }
    }
  }
  return block;
}

std::optional<std::string>
PromptQuarantine::FindSuspect(const Parts& aParts,
                              const std::string& aEngine,
                              MonotonicTime aAt) const
{
  for (const auto& part : aParts) {
    const auto it = mSuspects.find(part);
    if (it == mSuspects.end()) {
      continue;
    }
    for (const auto& crash : Counted(part, it->second)) {
      if (crash.mEngine != aEngine && crash.mAt + kTogether <= aAt &&
          aAt - crash.mAt < kSuspectFor) {
        return part;
      }
    }
  }
  return std::nullopt;
}

std::size_t
PromptQuarantine::CountCrashes(const std::string& aPart) const
{
  const auto it = mSuspects.find(aPart);
  return it == mSuspects.end() ? 0 : Counted(aPart, it->second).size();
}

} // namespace ragwortdeck
