#include "Filters/CallerExchange.h"

#include "Core/Log.h"

#include <utility>

namespace ragwortdeck {

namespace {

const Log kLog("caller");
constexpr int kHexBase = 16;

} // namespace

CallerExchange::CallerExchange(QTcpSocket& aSocket,
                               CallerGate* aGate,
                               CallerBufferLimits aLimits)
  : mSocket(&aSocket)
  , mGate(aGate)
  , mLimits(aLimits)
  , mCloses(aGate && aGate->ClosesAfterReply())
{
  connect(
    &aSocket, &QTcpSocket::disconnected, this, [this] { OnDisconnected(); });
}

CallerExchange::~CallerExchange() = default;

bool
CallerExchange::IsOpen() const
{
  return !mIsDone && mSocket &&
         mSocket->state() == QAbstractSocket::ConnectedState;
}

void
CallerExchange::OnDisconnected()
{
  if (std::exchange(mIsDone, true)) {
    return;
  }
  if (mOnGone) {
    mOnGone();
  }
}

void
CallerExchange::Reply(int aStatus,
                      std::string_view aType,
                      std::string_view aBody,
                      HttpHeaders aHeaders)
{
  if (mCloses) {
    aHeaders.emplace_back("Connection", "close");
  }
  Send(WholeReply(aStatus, aType, aBody, std::move(aHeaders)));
  Finish();
}

void
CallerExchange::Refuse(const Verdict& aVerdict, HttpHeaders aHeaders)
{
  if (mCloses) {
    aHeaders.emplace_back("Connection", "close");
  }
  Send(RefusalReply(aVerdict, std::move(aHeaders)));
  Finish();
}

void
CallerExchange::BeginStream(HttpHeaders aHeaders)
{
  mIsStreaming = true;
  aHeaders.emplace_back("Content-Type", "text/event-stream");
  aHeaders.emplace_back("Cache-Control", "no-store");
  if (mGate && mGate->IsHttp10()) {
    mCloses = true;
  } else {
    aHeaders.emplace_back("Transfer-Encoding", "chunked");
  }
  if (mCloses) {
    aHeaders.emplace_back("Connection", "close");
  }
  if (IsOpen()) {
    // Leaves together with the first event.
    Write(ReplyHead(kStatusOk, aHeaders));
  }
}

void
CallerExchange::Flush()
{
  if (mPending.empty()) {
    return;
  }
  if (mGate && mGate->IsHttp10()) {
    Send(QByteArray::fromStdString(mPending));
  } else {
    QByteArray chunk =
      QByteArray::number(qsizetype(mPending.size()), kHexBase) + "\r\n";
    chunk.append(mPending.data(), qsizetype(mPending.size()));
    chunk.append("\r\n");
    Send(chunk);
  }
  mPending.clear();
  CheckBuffer();
}

void
CallerExchange::EndStream()
{
  Flush();
  if (!mGate || !mGate->IsHttp10()) {
    Send("0\r\n\r\n");
  }
  Finish();
}

void
CallerExchange::Send(const QByteArray& aBytes)
{
  if (!IsOpen()) {
    return;
  }
  Write(aBytes);
  // Without this, Qt writes in a later turn of the event loop.
  mSocket->flush();
}

void
CallerExchange::Write(const QByteArray& aBytes)
{
  if (mGate) {
    mGate->Write(aBytes);
  } else {
    mSocket->write(aBytes);
  }
}

void
CallerExchange::CheckBuffer()
{
  if (mSlowTimer || !IsOpen() ||
      mSocket->bytesToWrite() <= mLimits.mHighBytes) {
    return;
  }
  mSlowTimer = std::make_unique<QTimer>();
  mSlowTimer->setSingleShot(true);
  connect(mSlowTimer.get(), &QTimer::timeout, this, [this] {
    if (IsOpen()) {
      kLog.Warning("disconnected a caller that read nothing for " +
                   std::to_string(mLimits.mSlowCaller.count()) + " ms, with " +
                   std::to_string(mSocket->bytesToWrite()) + " bytes unsent");
      mSocket->abort();
    }
  });
  mSlowTimer->start(mLimits.mSlowCaller);
  mProgress =
    connect(mSocket, &QTcpSocket::bytesWritten, this, [this] { OnProgress(); });
  if (mOnPaused) {
    mOnPaused(true);
  }
}

void
CallerExchange::OnProgress()
{
  if (!mSlowTimer) {
    return;
  }
  if (mSocket->bytesToWrite() > mLimits.mLowBytes) {
    mSlowTimer->start(mLimits.mSlowCaller);
    return;
  }
  disconnect(mProgress);
  mSlowTimer.release()->deleteLater();
  if (mOnPaused) {
    mOnPaused(false);
  }
}

void
CallerExchange::Finish()
{
  if (std::exchange(mIsDone, true) || !mSocket) {
    return;
  }
  disconnect(mSocket, &QTcpSocket::disconnected, this, nullptr);
  if (mGate) {
    mGate->OnReplied(mCloses);
  }
}

} // namespace ragwortdeck
