#pragma once

#include "Core/MemoryCharge.h"
#include "Targets/CurlMulti.h"
#include "Targets/EngineEvent.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// Why a connection to an engine delivers no more events.
enum class StreamEndKind : std::uint8_t
{
  /// The reply ended.
  kEnded,
  /// Nothing listens at the engine's address.
  kRefused,
  /// No connection was established in time.
  kNotConnected,
  /// The connection broke, or the engine sent something unreadable.
  kDropped,
  /// The engine answered with an HTTP status other than 200.
  kRejected,
};

/// \brief End of a connection to an engine.
struct StreamEnd
{
  StreamEndKind mKind = StreamEndKind::kEnded;
  /// HTTP status when rejected.
  int mStatus = 0;
  std::string mMessage;

  bool operator==(const StreamEnd&) const = default;
};

/// \brief What to ask of an engine: a new generation, or the rest of one.
struct EngineRequest
{
  /// "127.0.0.1:9001".
  std::string mAddress;
  /// Body of a new generation; empty for the rest of an existing one.
  std::string mBody;
  /// Engine-side id, when resuming.
  std::string mEngineId;
  /// Sequence number of the last event that is not needed again.
  std::optional<std::int64_t> mStartingAfter;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /// Further headers, each "Name: value".
  std::vector<std::string> mHeaders;
  /// The account that incomplete events are charged to; null for none.
  MemoryAccount* mMemory = nullptr;
};

/// URL of a response on an engine.
std::string
ResponseUrl(const std::string& aAddress, const std::string& aEngineId);

/// \brief One connection that reads events of one generation.
class EngineStream : public std::enable_shared_from_this<EngineStream>
{
public:
  using OnEvent = std::function<void(EngineEvent&&)>;
  using OnEnd = std::function<void(const StreamEnd&)>;

  /// The hooks run until the stream has ended or Close() is called.
  static std::shared_ptr<EngineStream> Open(CurlMulti& aMulti,
                                            const EngineRequest& aRequest,
                                            OnEvent aOnEvent,
                                            OnEnd aOnEnd);

  /// Drops the connection.
  void Close();
  /// Calls no more hooks, but reads the end of the reply, so that the
  /// connection can be used again.
  void Release();
  void SetPaused(bool aPaused);
  /// Runs after the events of each read from the engine.
  void SetOnBatch(std::function<void()> aOnBatch)
  {
    mOnBatch = std::move(aOnBatch);
  }

private:
  EngineStream(OnEvent aOnEvent, OnEnd aOnEnd, MemoryCharge aCharge);
  void Accept(std::string_view aBytes);
  void Finish(const TransferEnd& aEnd);
  void Report(const StreamEnd& aEnd);

  OnEvent mOnEvent;
  OnEnd mOnEnd;
  std::function<void()> mOnBatch;
  SseParser mParser;
  MemoryCharge mCharge;
  /// Start of the body of a rejection.
  std::string mRejection;
  bool mIsStream = false;
  /// Set when no hook may run any more.
  bool mIsSilent = false;
  std::unique_ptr<CurlTransfer> mTransfer;
};

} // namespace ragwortdeck
