#include "Targets/CurlMulti.h"

#include "Core/AnswerHead.h"
#include "Core/ErrorGuard.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <stdexcept>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace ragwortdeck {

namespace {

const Log kLog("curl");

/// Receive buffer of each call. Token events are small, and libcurl allocates
/// the buffer per call; its default is 16 KiB.
constexpr long kReceiveBufferBytes = 4096;
constexpr int kMaxEventsPerTurn = 256;
/// Bytes of a call's URL in a log line.
constexpr std::size_t kMaxLoggedUrl = 200;
/// Idle connections kept for reuse per thread.
constexpr long kMaxIdleConnections = 512;

void
InitializeCurlOnce()
{
  static const CURLcode sCode = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (sCode != CURLE_OK) {
    throw std::runtime_error("libcurl cannot be initialized");
  }
}

/// Whether a connection was established, on which the request is sent at once.
bool
HasConnected(CURL* aEasy)
{
  curl_off_t requestSent = 0;
  curl_easy_getinfo(aEasy, CURLINFO_PRETRANSFER_TIME_T, &requestSent);
  return requestSent != 0;
}

TransferEndKind
ToKind(CURL* aEasy, CURLcode aCode)
{
  if (aCode == CURLE_OK) {
    return TransferEndKind::kReplied;
  }
  long osError = 0;
  curl_easy_getinfo(aEasy, CURLINFO_OS_ERRNO, &osError);
  if (aCode == CURLE_COULDNT_CONNECT && osError == ECONNREFUSED) {
    return TransferEndKind::kRefused;
  }
  if (!HasConnected(aEasy)) {
    return TransferEndKind::kNotConnected;
  }
  return aCode == CURLE_OPERATION_TIMEDOUT ? TransferEndKind::kTimedOut
                                           : TransferEndKind::kDropped;
}

/// Whether libcurl took the head of a reply for none before AnswerHead could.
bool
IsNoReply(CURLcode aCode)
{
  return aCode == CURLE_UNSUPPORTED_PROTOCOL ||
         aCode == CURLE_WEIRD_SERVER_REPLY;
}

/// The URL of a call without its query, which is the caller's.
std::string
LoggedUrl(CURL* aEasy)
{
  const char* url = nullptr;
  curl_easy_getinfo(aEasy, CURLINFO_EFFECTIVE_URL, &url);
  const std::string text(url ? url : "");
  return text.substr(0, std::min(text.find('?'), kMaxLoggedUrl));
}

std::atomic<std::uint64_t> sRefused{ 0 };

} // namespace

/// \brief What libcurl needs for one call.
struct CurlTransfer::State
{
  CURL* mEasy = nullptr;
  curl_slist* mHeaders = nullptr;
  std::string mBody;
  CurlMulti* mMulti = nullptr;
  CurlMulti::OnData mOnData;
  CurlMulti::OnEnd mOnEnd;
  bool mAbandoned = false;
  /// The head of the reply, or of an interim one before it.
  AnswerHead mHead;

  /// The head of the reply, interim replies apart, has arrived in full.
  bool HasHead() const { return mHead.IsComplete() && !mHead.IsInterim(); }
  int Status() const { return HasHead() ? int(mHead.Status()) : 0; }

  State() = default;
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  ~State()
  {
    curl_easy_cleanup(mEasy);
    curl_slist_free_all(mHeaders);
  }
};

CurlTransfer::CurlTransfer(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

CurlTransfer::~CurlTransfer()
{
  mState->mAbandoned = true;
  if (mState->mMulti) {
    mState->mMulti->Abandon(mState);
  }
}

int
CurlTransfer::Status() const
{
  return mState->Status();
}

bool
CurlTransfer::MayHaveLeft() const
{
  return HasConnected(mState->mEasy);
}

void
CurlTransfer::SetPaused(bool aPaused)
{
  if (mState->mMulti) {
    mState->mMulti->Pause(mState->mEasy, aPaused);
  }
}

CurlMulti::CurlMulti()
  : mMulti(nullptr)
  , mEpoll(epoll_create1(EPOLL_CLOEXEC))
{
  InitializeCurlOnce();
  mMulti = curl_multi_init();
  if (!mMulti || mEpoll < 0) {
    throw std::runtime_error("cannot create the libcurl multi handle");
  }
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &CurlMulti::OnSocket);
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &CurlMulti::OnTimer);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  mNotifier = std::make_unique<QSocketNotifier>(mEpoll, QSocketNotifier::Read);
  connect(
    mNotifier.get(), &QSocketNotifier::activated, this, &CurlMulti::OnReadable);
  mTimer.setSingleShot(true);
  mTimer.setTimerType(Qt::PreciseTimer);
  connect(
    &mTimer, &QTimer::timeout, this, [this] { Act(CURL_SOCKET_TIMEOUT, 0); });
}

CurlMulti::~CurlMulti()
{
  mNotifier.reset();
  for (auto& [easy, state] : mActive) {
    state->mMulti = nullptr;
    state->mAbandoned = true;
    curl_multi_remove_handle(mMulti, easy);
  }
  for (auto& state : mToAdd) {
    state->mMulti = nullptr;
  }
  mActive.clear();
  curl_multi_cleanup(mMulti);
  close(mEpoll);
}

std::unique_ptr<CurlTransfer>
CurlMulti::Start(const HttpCall& aCall, OnData aOnData, OnEnd aOnEnd)
{
  auto state = std::make_shared<CurlTransfer::State>();
  state->mEasy = curl_easy_init();
  if (!state->mEasy) {
    throw std::bad_alloc();
  }
  state->mMulti = this;
  state->mBody = aCall.mBody;
  state->mOnData = std::move(aOnData);
  state->mOnEnd = std::move(aOnEnd);
  for (const auto& header : aCall.mHeaders) {
    state->mHeaders = curl_slist_append(state->mHeaders, header.c_str());
  }
  // Without this, libcurl waits for "100 Continue" before larger bodies.
  state->mHeaders = curl_slist_append(state->mHeaders, "Expect:");
  const auto easy = state->mEasy;
  curl_easy_setopt(easy, CURLOPT_URL, aCall.mUrl.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, aCall.mMethod.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, state->mHeaders);
  if (aCall.mMethod == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, state->mBody.data());
    curl_easy_setopt(
      easy, CURLOPT_POSTFIELDSIZE_LARGE, curl_off_t(state->mBody.size()));
  }
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &CurlMulti::OnHeaderLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, state.get());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlMulti::OnWrite);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, state.get());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, state.get());
  curl_easy_setopt(
    easy, CURLOPT_CONNECTTIMEOUT_MS, long(aCall.mConnectTimeout.count()));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, long(aCall.mTimeout.count()));
  const long isSingleUse = aCall.mMayReuseConnection ? 0L : 1L;
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, isSingleUse);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, isSingleUse);
  if (mInsideCurl) {
    mToAdd.push_back(state);
  } else {
    mActive.emplace(easy, state);
    curl_multi_add_handle(mMulti, easy);
  }
  return std::unique_ptr<CurlTransfer>(new CurlTransfer(std::move(state)));
}

int
CurlMulti::OnSocket(CURL*,
                    curl_socket_t aSocket,
                    int aWhat,
                    void* aSelf,
                    void* aKnown)
{
  auto* self = static_cast<CurlMulti*>(aSelf);
  epoll_event event{};
  event.data.fd = aSocket;
  if (aWhat == CURL_POLL_REMOVE) {
    epoll_ctl(self->mEpoll, EPOLL_CTL_DEL, aSocket, &event);
    return 0;
  }
  if (aWhat & CURL_POLL_IN) {
    event.events |= EPOLLIN;
  }
  if (aWhat & CURL_POLL_OUT) {
    event.events |= EPOLLOUT;
  }
  const int change = aKnown ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  epoll_ctl(self->mEpoll, change, aSocket, &event);
  curl_multi_assign(self->mMulti, aSocket, self);
  return 0;
}

int
CurlMulti::OnTimer(CURLM*, long aTimeout, void* aSelf)
{
  auto* self = static_cast<CurlMulti*>(aSelf);
  if (aTimeout < 0) {
    self->mTimer.stop();
  } else {
    self->mTimer.start(int(aTimeout));
  }
  return 0;
}

size_t
CurlMulti::OnHeaderLine(char* aData, size_t aSize, size_t aCount, void* aState)
{
  auto* state = static_cast<CurlTransfer::State*>(aState);
  const auto size = aSize * aCount;
  auto& head = state->mHead;
  // libcurl passes the trailer here as well.
  if (state->HasHead()) {
    return size;
  }
  if (head.IsComplete()) {
    head = {};
  }
  // A short count makes libcurl end the transfer.
  return head.Take({ aData, size }) == size ? size : 0;
}

size_t
CurlMulti::OnWrite(char* aData, size_t aSize, size_t aCount, void* aState)
{
  auto* state = static_cast<CurlTransfer::State*>(aState);
  const auto size = aSize * aCount;
  // A short count makes libcurl end the transfer.
  if (state->mAbandoned || !RunGuarded(kLog, "received data", [&] {
        state->mOnData({ aData, size });
      })) {
    return 0;
  }
  return state->mAbandoned ? 0 : size;
}

void
CurlMulti::Pause(CURL* aEasy, bool aPaused)
{
  // Ending a pause may deliver held-back bytes at once, inside this call.
  const bool wasInside = std::exchange(mInsideCurl, true);
  curl_easy_pause(aEasy, aPaused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
  mInsideCurl = wasInside;
  if (!wasInside) {
    FlushDeferred();
  }
}

void
CurlMulti::OnReadable()
{
  std::array<epoll_event, kMaxEventsPerTurn> events;
  const int n = epoll_wait(mEpoll, events.data(), kMaxEventsPerTurn, 0);
  for (int it = 0; it < n; ++it) {
    const auto& event = events[std::size_t(it)];
    int mask = 0;
    if (event.events & EPOLLIN) {
      mask |= CURL_CSELECT_IN;
    }
    if (event.events & EPOLLOUT) {
      mask |= CURL_CSELECT_OUT;
    }
    if (event.events & (EPOLLERR | EPOLLHUP)) {
      mask |= CURL_CSELECT_ERR;
    }
    Act(event.data.fd, mask);
  }
}

void
CurlMulti::Act(curl_socket_t aSocket, int aEvents)
{
  int running = 0;
  mInsideCurl = true;
  curl_multi_socket_action(mMulti, aSocket, aEvents, &running);
  mInsideCurl = false;
  FlushDeferred();
  CollectEnded();
}

void
CurlMulti::CollectEnded()
{
  int left = 0;
  while (const auto* message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const auto easy = message->easy_handle;
    const auto code = message->data.result;
    const auto found = mActive.find(easy);
    if (found == mActive.end()) {
      continue;
    }
    const auto state = found->second;
    const auto end = EndOf(*state, code);
    Remove(easy);
    state->mMulti = nullptr;
    if (!state->mAbandoned) {
      RunGuarded(kLog, "the end of a call", [&] { state->mOnEnd(end); });
    }
  }
}

TransferEnd
CurlMulti::EndOf(const CurlTransfer::State& aState, CURLcode aCode) const
{
  TransferEnd end{ ToKind(aState.mEasy, aCode), aState.Status(), {} };
  const auto fault = aState.mHead.Fault();
  if (fault != HeadFault::kNone || IsNoReply(aCode)) {
    end.mKind = TransferEndKind::kDropped;
    end.mMessage =
      std::string("reply refused: ") +
      (fault != HeadFault::kNone ? ToText(fault) : curl_easy_strerror(aCode));
    ++sRefused;
    kLog.Warning(end.mMessage + ", from " + LoggedUrl(aState.mEasy));
  } else if (aCode != CURLE_OK) {
    end.mMessage = curl_easy_strerror(aCode);
  } else if (!aState.HasHead()) {
    // libcurl counts a reply whose head breaks off as one without a body.
    end.mKind = TransferEndKind::kDropped;
    end.mMessage = "the head of the reply broke off";
  }
  return end;
}

std::uint64_t
CurlMulti::CountRefused()
{
  return sRefused;
}

void
CurlMulti::FlushDeferred()
{
  const auto removed = std::exchange(mToRemove, {});
  for (const auto& state : removed) {
    Remove(state->mEasy);
  }
  const auto added = std::exchange(mToAdd, {});
  for (const auto& state : added) {
    if (!state->mAbandoned) {
      mActive.emplace(state->mEasy, state);
      curl_multi_add_handle(mMulti, state->mEasy);
    }
  }
}

void
CurlMulti::Abandon(const StatePtr& aState)
{
  if (mInsideCurl) {
    mToRemove.push_back(aState);
  } else {
    Remove(aState->mEasy);
  }
}

void
CurlMulti::Remove(CURL* aEasy)
{
  const auto found = mActive.find(aEasy);
  if (found == mActive.end()) {
    return;
  }
  const auto state = std::move(found->second);
  mActive.erase(found);
  curl_multi_remove_handle(mMulti, aEasy);
}

} // namespace ragwortdeck
