#include "Platform/HttpKeyValueStore.h"

#include "Core/ErrorGuard.h"
#include "Core/HttpStatus.h"
#include "Core/Log.h"
#include "Platform/EtcdJson.h"
#include "Targets/CurlMulti.h"

#include <set>

namespace ragwortdeck {

namespace {

const Log kLog("kv");

// Longest accepted reply. The whole table at the design size is about 2 MB,
// and a day of edit records about 3 MB.
constexpr qint64 kMaxReplyBytes = 64 << 20;

HttpCall
MakeCall(const Endpoint& aEndpoint,
         const char* aPath,
         const QByteArray& aBody,
         Duration aConnectTimeout)
{
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "http://" + ToText(aEndpoint) + aPath;
  call.mHeaders = { "Content-Type: application/json" };
  call.mBody = aBody.toStdString();
  call.mConnectTimeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(aConnectTimeout);
  return call;
}

} // namespace

KeyValueSettings
KeyValueSettings::Read(SettingsSection aSection)
{
  using std::chrono::milliseconds;
  const KeyValueSettings defaults;
  const auto millis = [](Duration aDuration) {
    return std::chrono::duration_cast<milliseconds>(aDuration);
  };
  KeyValueSettings settings;
  settings.mEndpoints = aSection.EndpointList("endpoints");
  if (settings.mEndpoints.empty()) {
    aSection.Reject("endpoints",
                    "expected at least one <IP address>:<port> of the "
                    "key-value service");
  }
  settings.mCallTimeout = aSection.Milliseconds("call_timeout_ms",
                                                millis(defaults.mCallTimeout),
                                                milliseconds(50),
                                                milliseconds(60'000));
  settings.mWatchIdleLimit =
    aSection.Milliseconds("watch_idle_limit_ms",
                          millis(defaults.mWatchIdleLimit),
                          milliseconds(500),
                          milliseconds(600'000));
  return settings;
}

/// \brief What calls and watches share with the store.
struct HttpKeyValueStore::Shared
{
  Shared(Scheduler& aScheduler, KeyValueSettings aSettings)
    : mScheduler(aScheduler)
    , mSettings(std::move(aSettings))
  {
  }

  Scheduler& mScheduler;
  KeyValueSettings mSettings;
  CurlMulti mCurl;
  /// The endpoint that answered last.
  std::size_t mPreferred = 0;
  std::set<std::shared_ptr<Call>> mCalls;
};

/// \brief One call with its attempts at several endpoints.
class HttpKeyValueStore::Call : public std::enable_shared_from_this<Call>
{
public:
  using Done = std::function<void(KeyValueResult<QByteArray>)>;

  Call(Shared& aShared,
       const char* aPath,
       QByteArray aBody,
       bool aRepeatable,
       Done aDone)
    : mShared(aShared)
    , mPath(aPath)
    , mBody(std::move(aBody))
    , mRepeatable(aRepeatable)
    , mDone(std::move(aDone))
    , mEndpoint(aShared.mPreferred)
  {
  }
  ~Call() = default;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Start()
  {
    mDeadline = mShared.mScheduler.After(mShared.mSettings.mCallTimeout,
                                         [this] { OnDeadline(); });
    Attempt();
  }

private:
  std::size_t Endpoints() const { return mShared.mSettings.mEndpoints.size(); }

  void Attempt()
  {
    ++mAttempts;
    mReply.clear();
    mTransfer = mShared.mCurl.Start(
      MakeCall(mShared.mSettings.mEndpoints[mEndpoint],
               mPath,
               mBody,
               mShared.mSettings.mCallTimeout),
      [this](std::string_view aBytes) { OnData(aBytes); },
      [this](const TransferEnd& aEnd) { OnFinished(aEnd); });
    // Leaves time for the other endpoints when this one does not answer.
    mAttemptLimit = mShared.mScheduler.After(mShared.mSettings.mCallTimeout /
                                               static_cast<int>(Endpoints()),
                                             [this] { OnAttemptLimit(); });
  }

  void EndAttempt()
  {
    mSent = MayHaveLeft();
    mTransfer.reset();
    mAttemptLimit.Cancel();
  }

  bool MayHaveLeft() const
  {
    return mSent || (mTransfer && mTransfer->MayHaveLeft());
  }

  bool MayMoveOn() const
  {
    return (mRepeatable || !MayHaveLeft()) && mAttempts < Endpoints();
  }

  void MoveOn()
  {
    EndAttempt();
    mEndpoint = (mEndpoint + 1) % Endpoints();
    Attempt();
  }

  void OnAttemptLimit()
  {
    if (MayMoveOn()) {
      const auto alive = shared_from_this();
      MoveOn();
    }
  }

  void OnDeadline() { Fail("no reply in time"); }

  void OnData(std::string_view aBytes)
  {
    mReply.append(aBytes.data(), qsizetype(aBytes.size()));
    if (mReply.size() > kMaxReplyBytes) {
      Fail("the reply is too long");
    }
  }

  void OnFinished(const TransferEnd& aEnd)
  {
    const bool answered = aEnd.mKind == TransferEndKind::kReplied;
    if (answered && aEnd.mStatus == kStatusOk) {
      mShared.mPreferred = mEndpoint;
      EndAttempt();
      Finish(mReply);
      return;
    }
    if (answered && aEnd.mStatus >= 300 &&
        EtcdJson::ProvesNotApplied(aEnd.mStatus, mReply)) {
      // Says nothing about attempts before this one.
      const auto effect = mSent ? KeyValueError::Effect::kUnknown
                                : KeyValueError::Effect::kNotApplied;
      EndAttempt();
      Finish(
        Failure(KeyValueError{ effect, EtcdJson::ErrorText(mReply), false }));
      return;
    }
    if (MayMoveOn()) {
      const auto alive = shared_from_this();
      MoveOn();
      return;
    }
    Fail(answered ? "status " + std::to_string(aEnd.mStatus) : aEnd.mMessage);
  }

  void Fail(const std::string& aMessage)
  {
    EndAttempt();
    const auto effect = mSent ? KeyValueError::Effect::kUnknown
                              : KeyValueError::Effect::kNotApplied;
    Finish(Failure(KeyValueError{ effect, aMessage, false }));
  }

  void Finish(KeyValueResult<QByteArray> aResult)
  {
    const auto alive = shared_from_this();
    mDeadline.Cancel();
    mShared.mCalls.erase(alive);
    const auto done = std::move(mDone);
    done(std::move(aResult));
  }

  Shared& mShared;
  const char* mPath;
  QByteArray mBody;
  bool mRepeatable;
  Done mDone;
  std::size_t mEndpoint;
  std::size_t mAttempts = 0;
  /// True once an ended attempt may have left.
  bool mSent = false;
  /// Body of the reply to the current attempt.
  QByteArray mReply;
  std::unique_ptr<CurlTransfer> mTransfer;
  TimerHandle mDeadline;
  TimerHandle mAttemptLimit;
};

/// \brief A watch that is renewed when it has been silent for too long.
class HttpKeyValueStore::WatchStream
  : public std::enable_shared_from_this<WatchStream>
{
public:
  WatchStream(std::shared_ptr<Shared> aShared,
              std::string aPrefix,
              std::int64_t aFromRevision,
              std::function<void(const KeyEventBatch&)> aOnBatch,
              std::function<void(const KeyValueError&)> aOnError)
    : mShared(std::move(aShared))
    , mPrefix(std::move(aPrefix))
    , mNextRevision(aFromRevision)
    , mOnBatch(std::move(aOnBatch))
    , mOnError(std::move(aOnError))
    , mEndpoint(mShared->mPreferred)
  {
  }

  void Open()
  {
    mBuffer.clear();
    mCreated = false;
    const std::weak_ptr<WatchStream> weak = shared_from_this();
    mTransfer = mShared->mCurl.Start(
      MakeCall(mShared->mSettings.mEndpoints[mEndpoint],
               "/v3/watch",
               EtcdJson::WatchRequest(mPrefix, mNextRevision),
               mShared->mSettings.mCallTimeout),
      [weak](std::string_view aBytes) {
        if (const auto self = weak.lock()) {
          self->OnData(aBytes);
        }
      },
      [weak](const TransferEnd& aEnd) {
        if (const auto self = weak.lock()) {
          self->OnFinished(aEnd);
        }
      });
    Arm();
  }

  void Close()
  {
    mClosed = true;
    mIdle.Cancel();
    mTransfer.reset();
  }

private:
  // Until the service has accepted the watch, silence is a failure; after
  // that, it is a reason to open the watch again.
  void Arm()
  {
    const auto limit = mCreated ? mShared->mSettings.mWatchIdleLimit
                                : mShared->mSettings.mCallTimeout;
    const std::weak_ptr<WatchStream> weak = shared_from_this();
    mIdle = mShared->mScheduler.After(limit, [weak] {
      if (const auto self = weak.lock()) {
        self->OnSilence();
      }
    });
  }

  void OnSilence()
  {
    if (!mCreated) {
      Fail({ KeyValueError::Effect::kNotApplied,
             "the watch was not accepted in time",
             false });
      return;
    }
    mEndpoint = (mEndpoint + 1) % mShared->mSettings.mEndpoints.size();
    Open();
  }

  void OnData(std::string_view aBytes)
  {
    mBuffer.append(aBytes.data(), qsizetype(aBytes.size()));
    // An error reply is not a stream of messages; OnFinished reports it.
    if (mTransfer->Status() == kStatusOk) {
      Arm();
      TakeLines();
    }
    if (!mClosed && mBuffer.size() > kMaxReplyBytes) {
      Fail({ KeyValueError::Effect::kNotApplied,
             "a watch message is too long",
             false });
    }
  }

  void TakeLines()
  {
    qsizetype start = 0;
    while (!mClosed) {
      const auto end = mBuffer.indexOf('\n', start);
      if (end < 0) {
        break;
      }
      OnLine(mBuffer.mid(start, end - start));
      start = end + 1;
    }
    mBuffer.remove(0, start);
  }

  void OnLine(const QByteArray& aLine)
  {
    if (aLine.trimmed().isEmpty()) {
      return;
    }
    const auto message = EtcdJson::ParseWatch(aLine);
    if (!message) {
      Fail({ KeyValueError::Effect::kNotApplied,
             message.error().mMessage,
             false });
      return;
    }
    OnMessage(message.value());
  }

  void OnMessage(const EtcdWatchMessage& aMessage)
  {
    if (aMessage.mCanceled) {
      Fail({ KeyValueError::Effect::kNotApplied,
             "the service ended the watch: " + aMessage.mReason,
             aMessage.mCompacted });
      return;
    }
    if (aMessage.mCreated && !mCreated) {
      mCreated = true;
      Arm();
    }
    for (const auto& batch : aMessage.mBatches) {
      if (mClosed) {
        return;
      }
      if (batch.mRevision < mNextRevision) {
        continue;
      }
      mNextRevision = batch.mRevision + 1;
      const auto onBatch = mOnBatch;
      if (!RunGuarded(kLog, "a watch", [&] { onBatch(batch); })) {
        // The watcher reads everything again.
        Fail({ KeyValueError::Effect::kNotApplied,
               "a change of " + mPrefix + " could not be taken",
               true });
        return;
      }
    }
    // A progress notice promises that everything up to its revision was sent.
    if (!aMessage.mCreated && aMessage.mBatches.empty()) {
      mNextRevision = std::max(mNextRevision, aMessage.mRevision + 1);
    }
  }

  void OnFinished(const TransferEnd& aEnd)
  {
    if (mClosed) {
      return;
    }
    const bool isError =
      aEnd.mKind == TransferEndKind::kReplied && aEnd.mStatus != kStatusOk;
    const auto text = isError ? EtcdJson::ErrorText(mBuffer) : aEnd.mMessage;
    Fail({ KeyValueError::Effect::kNotApplied,
           "the watch ended: " + text,
           false });
  }

  void Fail(const KeyValueError& aError)
  {
    Close();
    const auto onError = mOnError;
    RunGuarded(kLog, "the end of a watch", [&] { onError(aError); });
  }

  std::shared_ptr<Shared> mShared;
  std::string mPrefix;
  std::int64_t mNextRevision;
  std::function<void(const KeyEventBatch&)> mOnBatch;
  std::function<void(const KeyValueError&)> mOnError;
  std::size_t mEndpoint;
  bool mCreated = false;
  bool mClosed = false;
  QByteArray mBuffer;
  std::unique_ptr<CurlTransfer> mTransfer;
  TimerHandle mIdle;
};

/// \brief Closes the stream when the holder drops the watch.
class HttpKeyValueStore::WatchHandle : public KeyWatch
{
public:
  explicit WatchHandle(std::shared_ptr<WatchStream> aStream)
    : mStream(std::move(aStream))
  {
  }
  ~WatchHandle() override { mStream->Close(); }
  WatchHandle(const WatchHandle&) = delete;
  WatchHandle& operator=(const WatchHandle&) = delete;

private:
  std::shared_ptr<WatchStream> mStream;
};

HttpKeyValueStore::HttpKeyValueStore(Scheduler& aScheduler,
                                     KeyValueSettings aSettings)
  : mShared(std::make_shared<Shared>(aScheduler, std::move(aSettings)))
{
}

HttpKeyValueStore::~HttpKeyValueStore()
{
  // Calls refer to the shared state that holds them.
  mShared->mCalls.clear();
}

template<typename T>
void
HttpKeyValueStore::Send(const char* aPath,
                        QByteArray aBody,
                        bool aRepeatable,
                        std::function<Result<T>(const QByteArray&)> aParse,
                        KeyValueCallback<T> aCallback)
{
  const auto done = [aParse = std::move(aParse),
                     aCallback = std::move(aCallback),
                     aPath](const KeyValueResult<QByteArray>& aReply) {
    RunGuarded(kLog, aPath, [&] {
      if (!aReply) {
        kLog.Debug(std::string(aPath) + ": " + aReply.error().mMessage);
        aCallback(Failure(aReply.error()));
        return;
      }
      auto parsed = aParse(aReply.value());
      if (!parsed) {
        // The service did answer, but the answer cannot be read, so a write
        // may have taken effect.
        aCallback(
          Failure(KeyValueError{ KeyValueError::Effect::kUnknown,
                                 "malformed reply: " + parsed.error().mMessage,
                                 false }));
        return;
      }
      aCallback(std::move(parsed).value());
    });
  };
  auto call = std::make_shared<Call>(
    *mShared, aPath, std::move(aBody), aRepeatable, done);
  mShared->mCalls.insert(call);
  call->Start();
}

void
HttpKeyValueStore::Range(const std::string& aKey,
                         bool aPrefix,
                         KeyValueCallback<KeyRangeReply> aCallback)
{
  Send<KeyRangeReply>("/v3/kv/range",
                      EtcdJson::RangeRequest(aKey, aPrefix),
                      true,
                      &EtcdJson::ParseRange,
                      [aCallback](KeyValueResult<KeyRangeReply> aReply) {
                        if (!aReply) {
                          // A read never has an effect.
                          auto error = aReply.error();
                          error.mEffect = KeyValueError::Effect::kNotApplied;
                          aCallback(Failure(std::move(error)));
                          return;
                        }
                        aCallback(std::move(aReply));
                      });
}

void
HttpKeyValueStore::Commit(const KeyTransaction& aTransaction,
                          KeyValueCallback<KeyTransactionReply> aCallback)
{
  // The callers read the ranges by the place of their operation.
  const auto parse = [succeeds = aTransaction.mThen.size(),
                      fails = aTransaction.mElse.size()](
                       const QByteArray& aBody) -> Result<KeyTransactionReply> {
    auto reply = EtcdJson::ParseTransaction(aBody);
    if (!reply) {
      return reply;
    }
    const auto expected = reply.value().mSucceeded ? succeeds : fails;
    const auto n = reply.value().mRanges.size();
    if (n != expected) {
      return Failure(ErrorCode::kCorrupt,
                     std::to_string(n) + " responses instead of " +
                       std::to_string(expected));
    }
    return reply;
  };
  Send<KeyTransactionReply>("/v3/kv/txn",
                            EtcdJson::TransactionRequest(aTransaction),
                            false,
                            parse,
                            std::move(aCallback));
}

void
HttpKeyValueStore::GrantLease(std::chrono::seconds aTtl,
                              KeyValueCallback<std::int64_t> aCallback)
{
  Send<std::int64_t>("/v3/lease/grant",
                     EtcdJson::GrantRequest(aTtl),
                     false,
                     &EtcdJson::ParseGrant,
                     std::move(aCallback));
}

void
HttpKeyValueStore::KeepAlive(std::int64_t aLease,
                             KeyValueCallback<std::chrono::seconds> aCallback)
{
  Send<std::chrono::seconds>("/v3/lease/keepalive",
                             EtcdJson::LeaseRequest(aLease),
                             true,
                             &EtcdJson::ParseKeepAlive,
                             std::move(aCallback));
}

void
HttpKeyValueStore::RevokeLease(std::int64_t aLease,
                               KeyValueCallback<bool> aCallback)
{
  // Not repeated: after a lost reply the second answer would be "lease not
  // found", which reads as a certain failure.
  Send<bool>("/v3/lease/revoke",
             EtcdJson::LeaseRequest(aLease),
             false,
             &EtcdJson::ParseRevoke,
             std::move(aCallback));
}

std::unique_ptr<KeyWatch>
HttpKeyValueStore::Watch(const std::string& aPrefix,
                         std::int64_t aFromRevision,
                         std::function<void(const KeyEventBatch&)> aOnBatch,
                         std::function<void(const KeyValueError&)> aOnError)
{
  auto stream = std::make_shared<WatchStream>(
    mShared, aPrefix, aFromRevision, std::move(aOnBatch), std::move(aOnError));
  stream->Open();
  return std::make_unique<WatchHandle>(std::move(stream));
}

} // namespace ragwortdeck
