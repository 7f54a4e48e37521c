#pragma once

#include "Filters/RequestPath.h"

#include <QHttpServer>
#include <QThread>
#include <memory>

namespace ragwortdeck {

/// \brief One thread of the router with its own listening socket, QHttpServer
/// and libcurl handle.
class RouterThread
{
public:
  /// Takes over the listening socket.
  RouterThread(RouterShared& aShared,
               std::uint32_t aIndex,
               int aListenSocket,
               std::optional<QSslConfiguration> aTls);
  ~RouterThread();
  RouterThread(const RouterThread&) = delete;
  RouterThread& operator=(const RouterThread&) = delete;

  /// Ends the thread and destroys its objects; the metrics stay.
  void Stop();
  /// Ends all requests, on the thread itself.
  void CutOff();
  const RouterMetrics& Metrics() const { return mMetrics; }

private:
  struct Loop;
  CancelQueue::Send MakeCancelSend(CurlMulti& aCurl);

  RouterShared& mShared;
  std::uint32_t mIndex;
  int mListenSocket;
  std::optional<QSslConfiguration> mTls;
  RouterMetrics mMetrics;
  std::unique_ptr<QThread> mThread;
  /// Objects of the thread; created and destroyed there.
  std::unique_ptr<Loop> mLoop;
};

} // namespace ragwortdeck
