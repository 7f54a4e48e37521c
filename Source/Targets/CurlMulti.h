#pragma once

#include "Core/Clock.h"

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>
#include <curl/curl.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortdeck {

/// \brief One HTTP/1.1 request to a target.
struct HttpCall
{
  std::string mMethod = "GET";
  /// For example "http://127.0.0.1:9001/load".
  std::string mUrl;
  /// Each "Name: value".
  std::vector<std::string> mHeaders;
  std::string mBody;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /// Limit for the whole call; zero means none.
  std::chrono::milliseconds mTimeout{ 0 };
  /// Allows a connection that served another call, only where a stale answer or
  /// a second request does no harm. A target may send a late copy of an earlier
  /// answer, which nothing tells from the next one; and libcurl by itself
  /// repeats a request when a used connection breaks.
  bool mMayReuseConnection = false;
};

/// How an HTTP call ended.
enum class TransferEndKind
{
  /// The whole reply arrived; its status is between 200 and 599.
  kReplied,
  /// Nothing listens at the address. The request was not sent.
  kRefused,
  /// No connection was established. The request was not sent.
  kNotConnected,
  kTimedOut,
  /// The connection ended in the middle of the call, or what arrived is no
  /// HTTP reply.
  kDropped,
};

/// \brief End of an HTTP call.
struct TransferEnd
{
  TransferEndKind mKind = TransferEndKind::kReplied;
  /// 0 unless the head of a reply has arrived in full.
  int mStatus = 0;
  std::string mMessage;

  bool operator==(const TransferEnd&) const = default;
};

class CurlMulti;

/// \brief A running HTTP call; destroying the handle abandons the call, and
/// its hooks are not called again.
class CurlTransfer
{
public:
  ~CurlTransfer();
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  /// HTTP status; 0 before the head has arrived in full.
  int Status() const;
  /// False when no byte of the request can have been sent.
  bool MayHaveLeft() const;
  /// Stops reading from the target, so that its socket fills up.
  void SetPaused(bool aPaused);

private:
  friend class CurlMulti;
  struct State;
  explicit CurlTransfer(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

/// \brief libcurl's multi interface on the Qt event loop of the thread that
/// created it.
///
/// The sockets are watched by one epoll descriptor, because Qt 6.4 polls every
/// descriptor of its notifiers on each turn of the event loop.
class CurlMulti : public QObject
{
public:
  using OnData = std::function<void(std::string_view)>;
  using OnEnd = std::function<void(const TransferEnd&)>;

  CurlMulti();
  ~CurlMulti() override;
  CurlMulti(const CurlMulti&) = delete;
  CurlMulti& operator=(const CurlMulti&) = delete;

  /// aOnData gets each piece of the body, aOnEnd the end. Neither runs inside
  /// this call.
  std::unique_ptr<CurlTransfer> Start(const HttpCall& aCall,
                                      OnData aOnData,
                                      OnEnd aOnEnd);

  /// Number of replies in this process that were refused for their head.
  static std::uint64_t CountRefused();

private:
  friend class CurlTransfer;
  using StatePtr = std::shared_ptr<CurlTransfer::State>;

  static int OnSocket(CURL*, curl_socket_t, int, void*, void*);
  static int OnTimer(CURLM*, long, void*);
  static size_t OnHeaderLine(char* aData,
                             size_t aSize,
                             size_t aCount,
                             void* aState);
  static size_t OnWrite(char*, size_t, size_t, void*);
  void Pause(CURL* aEasy, bool aPaused);
  void OnReadable();
  void Act(curl_socket_t aSocket, int aEvents);
  void CollectEnded();
  TransferEnd EndOf(const CurlTransfer::State& aState, CURLcode aCode) const;
  void FlushDeferred();
  void Abandon(const StatePtr& aState);
  void Remove(CURL* aEasy);

  CURLM* mMulti;
  int mEpoll;
  std::unique_ptr<QSocketNotifier> mNotifier;
  QTimer mTimer;
  /// libcurl forbids adding and removing handles inside its callbacks.
  bool mInsideCurl = false;
  std::vector<StatePtr> mToAdd;
  std::vector<StatePtr> mToRemove;
  std::unordered_map<CURL*, StatePtr> mActive;
};

} // namespace ragwortdeck
