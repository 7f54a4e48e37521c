#include "Targets/LoadRun.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cmath>
#include <sstream>

namespace ragwortdeck {

namespace {

constexpr std::size_t kMaxErrorBytes = 300;
constexpr Duration kResumeDelay{ 50'000 };

void
Append(std::vector<std::int64_t>& aTo, const std::vector<std::int64_t>& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

QJsonObject
ToObject(const std::string& aJson)
{
  return QJsonDocument::fromJson(QByteArray::fromStdString(aJson)).object();
}

std::string
OutputText(const QJsonObject& aResponse)
{
  std::string text;
  for (const auto& item : aResponse["output"].toArray()) {
    for (const auto& part : item.toObject()["content"].toArray()) {
      text += part.toObject()["text"].toString().toStdString();
    }
  }
  return text;
}

void
WriteQuantiles(std::ostringstream& aText,
               const char* aName,
               std::vector<std::int64_t>& aSamples)
{
  constexpr double kMicrosPerMilli = 1000;
  aText << aName << " ms: samples " << aSamples.size();
  for (const double quantile : { 0.5, 0.9, 0.99, 0.999 }) {
    const auto value = QuantileOf(aSamples, quantile);
    aText << ", p" << quantile * 100 << " " << double(value) / kMicrosPerMilli;
  }
  aText << "\n";
}

} // namespace

/// \brief One request and what has been read of its answer.
struct LoadRun::Stream
{
  std::uint32_t mIndex = 0;
  std::string mMarker;
  std::string mResponseId;
  std::shared_ptr<EngineStream> mConnection;
  MonotonicTime mStart;
  MonotonicTime mLastToken;
  std::int64_t mNext = 0;
  std::uint32_t mTokens = 0;
  std::uint32_t mResumes = 0;
  std::string mText;
  bool mHasLast = false;
};

std::int64_t
QuantileOf(std::vector<std::int64_t>& aSamples, double aQuantile)
{
  if (aSamples.empty()) {
    return 0;
  }
  const auto rank = std::lround(aQuantile * double(aSamples.size() - 1));
  const auto at = aSamples.begin() + std::ptrdiff_t(rank);
  std::nth_element(aSamples.begin(), at, aSamples.end());
  return *at;
}

void
LoadReportSheet::Merge(LoadReportSheet&& aOther)
{
  Append(mFirstToken, aOther.mFirstToken);
  Append(mInterToken, aOther.mInterToken);
  mTokens += aOther.mTokens;
  mCompleted += aOther.mCompleted;
  mStalls += aOther.mStalls;
  mResumed += aOther.mResumed;
  mRefused += aOther.mRefused;
  mFailed += aOther.mFailed;
  mBroken += aOther.mBroken;
  mGaps += aOther.mGaps;
  mDuplicates += aOther.mDuplicates;
  mNotWhole += aOther.mNotWhole;
  mCrossed += aOther.mCrossed;
  if (mFirstError.empty()) {
    mFirstError = std::move(aOther.mFirstError);
  }
}

bool
LoadReportSheet::IsClean() const
{
  return mGaps + mDuplicates + mNotWhole + mCrossed == 0;
}

std::string
LoadReportSheet::ToText()
{
  std::ostringstream text;
  WriteQuantiles(text, "first token", mFirstToken);
  WriteQuantiles(text, "inter token", mInterToken);
  text << "completed " << mCompleted << ", refused " << mRefused << ", failed "
       << mFailed << ", broken " << mBroken << ", resumed " << mResumed << "\n"
       << "tokens " << mTokens << ", stalls " << mStalls << "\n"
       << "gaps " << mGaps << ", duplicates " << mDuplicates << ", not whole "
       << mNotWhole << ", crossed " << mCrossed << "\n";
  if (!mFirstError.empty()) {
    text << "first error: " << mFirstError << "\n";
  }
  return text.str();
}

LoadRun::LoadRun(LoadPlan aPlan)
  : mPlan(std::move(aPlan))
  , mRandom(mPlan.mSeed)
{
}

LoadRun::~LoadRun()
{
  for (const auto& stream : mOpen) {
    if (stream->mConnection) {
      stream->mConnection->Close();
    }
  }
}

void
LoadRun::Start(OnDone aOnDone)
{
  mOnDone = std::move(aOnDone);
  const auto first = std::min(mPlan.mStreams, mPlan.mRequests);
  for (std::uint32_t n = 0; n < first; ++n) {
    mScheduler.Post(mPlan.mRamp * n / std::max(first, 1U), [this] { Next(); });
  }
}

std::string
LoadRun::MakeBody(const Stream& aStream)
{
  auto input = aStream.mMarker + " ";
  while (input.size() < mPlan.mInputBytes) {
    input += char('a' + mRandom.Below(26));
  }
  QJsonObject metadata{ { "marker", QString::fromStdString(aStream.mMarker) } };
  if (!mPlan.mKind.empty()) {
    metadata["kind"] = QString::fromStdString(mPlan.mKind);
  }
  QJsonObject body{ { "model", QString::fromStdString(mPlan.mModel) },
                    { "input", QString::fromStdString(input) },
                    { "stream", true },
                    { "metadata", metadata } };
  if (mPlan.mOutputTokens > 0) {
    body["output_tokens"] = qint64(mPlan.mOutputTokens);
  }
  return QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
}

void
LoadRun::Next()
{
  if (mStarted >= mPlan.mRequests) {
    return;
  }
  const auto stream = std::make_shared<Stream>();
  stream->mIndex = mStarted++;
  stream->mMarker =
    "m" + std::to_string(mPlan.mSeed) + "-" + std::to_string(stream->mIndex);
  stream->mStart = mScheduler.Now();
  mOpen.push_back(stream);
  Open(stream);
}

void
LoadRun::Open(const std::shared_ptr<Stream>& aStream)
{
  EngineRequest request;
  const auto turn = aStream->mIndex + aStream->mResumes;
  request.mAddress = mPlan.mAddresses[turn % mPlan.mAddresses.size()];
  request.mConnectTimeout = std::chrono::seconds(10);
  if (!mPlan.mToken.empty()) {
    request.mHeaders.push_back("Authorization: Bearer " + mPlan.mToken);
  }
  if (aStream->mNext == 0) {
    request.mBody = MakeBody(*aStream);
  } else {
    request.mEngineId = aStream->mResponseId;
    request.mStartingAfter = aStream->mNext - 1;
  }
  std::weak_ptr<Stream> weak = aStream;
  aStream->mConnection = EngineStream::Open(
    mCurl,
    request,
    [this, weak](EngineEvent&& aEvent) {
      if (const auto stream = weak.lock()) {
        OnEvent(*stream, std::move(aEvent));
      }
    },
    [this, weak](const StreamEnd& aEnd) {
      if (const auto stream = weak.lock()) {
        OnEnd(stream, aEnd);
      }
    });
}

void
LoadRun::OnEvent(Stream& aStream, EngineEvent&& aEvent)
{
  if (aEvent.mSequence < aStream.mNext) {
    ++mReport.mDuplicates;
    return;
  }
  if (aEvent.mSequence > aStream.mNext) {
    ++mReport.mGaps;
  }
  aStream.mNext = aEvent.mSequence + 1;
  if (aEvent.mKind == EngineEventKind::kToken) {
    OnDelta(aStream, aEvent);
    return;
  }
  if (!aEvent.mResponseId.empty()) {
    aStream.mResponseId = aEvent.mResponseId;
  }
  const bool isLast = aEvent.mKind == EngineEventKind::kCompleted ||
                      aEvent.mKind == EngineEventKind::kFailed;
  if (isLast) {
    OnLast(aStream, aEvent);
  }
}

void
LoadRun::OnDelta(Stream& aStream, const EngineEvent& aEvent)
{
  const auto now = mScheduler.Now();
  if (aStream.mTokens == 0) {
    mReport.mFirstToken.push_back((now - aStream.mStart).count());
  } else {
    const auto gap = now - aStream.mLastToken;
    mReport.mInterToken.push_back(gap.count());
    mReport.mStalls += gap > mPlan.mStallThreshold ? 1 : 0;
  }
  aStream.mLastToken = now;
  ++aStream.mTokens;
  ++mReport.mTokens;
  const auto delta = ToObject(aEvent.mData)["delta"].toString();
  aStream.mText += delta.toStdString();
}

void
LoadRun::OnLast(Stream& aStream, const EngineEvent& aEvent)
{
  aStream.mHasLast = true;
  if (aEvent.mKind == EngineEventKind::kFailed) {
    ++mReport.mFailed;
    if (mReport.mFirstError.empty()) {
      mReport.mFirstError = aEvent.mData.substr(0, kMaxErrorBytes);
    }
    return;
  }
  ++mReport.mCompleted;
  const auto response = ToObject(aEvent.mData)["response"].toObject();
  if (OutputText(response) != aStream.mText ||
      response["usage"]["output_tokens"].toInteger() !=
        qint64(aStream.mTokens)) {
    ++mReport.mNotWhole;
  }
  const auto marker = response["metadata"]["marker"].toString().toStdString();
  if (marker != aStream.mMarker) {
    ++mReport.mCrossed;
  }
}

void
LoadRun::OnEnd(const std::shared_ptr<Stream>& aStream, const StreamEnd& aEnd)
{
  if (aStream->mHasLast) {
    Finish(aStream);
    return;
  }
  if (aStream->mNext > 0 && !aStream->mResponseId.empty() &&
      aStream->mResumes < mPlan.mResumes) {
    ++aStream->mResumes;
    ++mReport.mResumed;
    mScheduler.Post(kResumeDelay, [this, aStream] { Open(aStream); });
    return;
  }
  const bool isRefusal = aStream->mNext == 0;
  ++(isRefusal ? mReport.mRefused : mReport.mBroken);
  if (mReport.mFirstError.empty()) {
    mReport.mFirstError = "status " + std::to_string(aEnd.mStatus) + " " +
                          aEnd.mMessage.substr(0, kMaxErrorBytes);
  }
  Finish(aStream);
}

void
LoadRun::Finish(const std::shared_ptr<Stream>& aStream)
{
  std::erase(mOpen, aStream);
  ++mEnded;
  if (mEnded == mPlan.mRequests) {
    mOnDone();
    return;
  }
  mScheduler.Post(Duration::zero(), [this] { Next(); });
}

} // namespace ragwortdeck
