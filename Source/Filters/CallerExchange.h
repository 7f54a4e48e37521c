#pragma once

#include "Core/Verdict.h"
#include "Filters/CallerServer.h"
#include "Filters/HttpText.h"

#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace ragwortdeck {

/// \brief Limits of what a slow caller may hold back.
struct CallerBufferLimits
{
  /// Above this many unsent bytes the target is no longer read.
  qint64 mHighBytes = 256 << 10;
  /// Below this many it is read again.
  qint64 mLowBytes = 64 << 10;
  /// A caller that reads nothing for this long is disconnected.
  std::chrono::milliseconds mSlowCaller{ 30'000 };

  bool operator==(const CallerBufferLimits&) const = default;
};

/// \brief The reply side of one request: either a whole reply or a stream.
class CallerExchange : public QObject
{
public:
  using OnGone = std::function<void()>;
  using OnPaused = std::function<void(bool)>;

  CallerExchange(QTcpSocket& aSocket,
                 CallerGate* aGate,
                 CallerBufferLimits aLimits);
  ~CallerExchange() override;

  bool IsOpen() const;
  /// Ends the connection after the reply.
  void CloseAfterReply() { mCloses = true; }
  void Reply(int aStatus,
             std::string_view aType,
             std::string_view aBody,
             HttpHeaders aHeaders = {});
  void Refuse(const Verdict& aVerdict, HttpHeaders aHeaders = {});
  void BeginStream(HttpHeaders aHeaders = {});
  bool IsStreaming() const { return mIsStreaming; }
  /// Collects text of the stream; Flush() sends it as one chunk.
  void Append(std::string_view aText) { mPending.append(aText); }
  void Flush();
  void EndStream();

  /// Runs when the caller disconnects before the reply is complete.
  void SetOnGone(OnGone aOnGone) { mOnGone = std::move(aOnGone); }
  /// Runs when the caller reads too slowly, and when it has caught up.
  void SetOnPaused(OnPaused aOnPaused) { mOnPaused = std::move(aOnPaused); }

private:
  void OnDisconnected();
  void Send(const QByteArray& aBytes);
  void Write(const QByteArray& aBytes);
  void CheckBuffer();
  void OnProgress();
  void Finish();

  QPointer<QTcpSocket> mSocket;
  QPointer<CallerGate> mGate;
  CallerBufferLimits mLimits;
  OnGone mOnGone;
  OnPaused mOnPaused;
  std::string mPending;
  std::unique_ptr<QTimer> mSlowTimer;
  QMetaObject::Connection mProgress;
  bool mIsStreaming = false;
  bool mIsDone = false;
  bool mCloses = false;
};

} // namespace ragwortdeck
