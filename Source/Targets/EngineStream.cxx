#include "Targets/EngineStream.h"

#include "Core/HttpStatus.h"

#include <QUrl>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr std::size_t kMaxRejectionBytes = 4096;

HttpCall
ToCall(const EngineRequest& aRequest)
{
  HttpCall call;
  call.mUrl = "http://" + aRequest.mAddress + "/v1/responses";
  call.mHeaders = aRequest.mHeaders;
  call.mHeaders.emplace_back("Accept: text/event-stream");
  call.mConnectTimeout = aRequest.mConnectTimeout;
  if (!aRequest.mBody.empty()) {
    call.mMethod = "POST";
    call.mBody = aRequest.mBody;
    call.mHeaders.emplace_back("Content-Type: application/json");
    return call;
  }
  call.mUrl =
    ResponseUrl(aRequest.mAddress, aRequest.mEngineId) + "?stream=true";
  if (aRequest.mStartingAfter) {
    call.mUrl += "&starting_after=" + std::to_string(*aRequest.mStartingAfter);
  }
  return call;
}

StreamEndKind
ToKind(TransferEndKind aKind)
{
  switch (aKind) {
    case TransferEndKind::kReplied:
      return StreamEndKind::kEnded;
    case TransferEndKind::kRefused:
      return StreamEndKind::kRefused;
    case TransferEndKind::kNotConnected:
      return StreamEndKind::kNotConnected;
    case TransferEndKind::kTimedOut:
    case TransferEndKind::kDropped:
      break;
  }
  return StreamEndKind::kDropped;
}

} // namespace

std::string
ResponseUrl(const std::string& aAddress, const std::string& aEngineId)
{
  const auto id =
    QUrl::toPercentEncoding(QString::fromStdString(aEngineId)).toStdString();
  return "http://" + aAddress + "/v1/responses/" + id;
}

EngineStream::EngineStream(OnEvent aOnEvent, OnEnd aOnEnd, MemoryCharge aCharge)
  : mOnEvent(std::move(aOnEvent))
  , mOnEnd(std::move(aOnEnd))
  , mCharge(std::move(aCharge))
{
}

std::shared_ptr<EngineStream>
EngineStream::Open(CurlMulti& aMulti,
                   const EngineRequest& aRequest,
                   OnEvent aOnEvent,
                   OnEnd aOnEnd)
{
  std::shared_ptr<EngineStream> stream(new EngineStream(
    std::move(aOnEvent),
    std::move(aOnEnd),
    aRequest.mMemory ? MemoryCharge(*aRequest.mMemory, MemoryUse::kEvent)
                     : MemoryCharge()));
  auto* self = stream.get();
  stream->mTransfer = aMulti.Start(
    ToCall(aRequest),
    [self](std::string_view aBytes) { self->Accept(aBytes); },
    [self](const TransferEnd& aEnd) { self->Finish(aEnd); });
  return stream;
}

void
EngineStream::Close()
{
  // The hooks stay, because one of them may be running.
  mIsSilent = true;
  mTransfer.reset();
}

void
EngineStream::Release()
{
  mIsSilent = true;
}

void
EngineStream::SetPaused(bool aPaused)
{
  if (mTransfer) {
    mTransfer->SetPaused(aPaused);
  }
}

void
EngineStream::Accept(std::string_view aBytes)
{
  const auto self = shared_from_this();
  if (mIsSilent) {
    return;
  }
  if (!mIsStream && mTransfer->Status() != kStatusOk) {
    const auto room = kMaxRejectionBytes - mRejection.size();
    mRejection += aBytes.substr(0, room);
    return;
  }
  mIsStream = true;
  bool isValid = true;
  const bool fits = mParser.Feed(aBytes, [&](SseEvent&& aEvent) {
    if (mIsSilent) {
      return false;
    }
    auto event = ParseEngineEvent(std::move(aEvent));
    if (!event) {
      isValid = false;
      return false;
    }
    mOnEvent(std::move(event.value()));
    return !mIsSilent;
  });
  if (mOnBatch && !mIsSilent) {
    mOnBatch();
  }
  if (!fits || !isValid) {
    Report({ StreamEndKind::kDropped,
             kStatusOk,
             fits ? "unreadable event" : "event over the size limit" });
  } else if (!mCharge.Resize(mParser.HeldBytes())) {
    Report({ StreamEndKind::kDropped,
             kStatusOk,
             "incomplete events fill the memory" });
  }
}

void
EngineStream::Finish(const TransferEnd& aEnd)
{
  const auto self = shared_from_this();
  StreamEnd end{ ToKind(aEnd.mKind), aEnd.mStatus, aEnd.mMessage };
  if (end.mKind == StreamEndKind::kEnded && aEnd.mStatus != kStatusOk) {
    end.mKind = StreamEndKind::kRejected;
    end.mMessage = std::move(mRejection);
  }
  Report(end);
}

void
EngineStream::Report(const StreamEnd& aEnd)
{
  mTransfer.reset();
  if (!std::exchange(mIsSilent, true)) {
    mOnEnd(aEnd);
  }
}

} // namespace ragwortdeck
