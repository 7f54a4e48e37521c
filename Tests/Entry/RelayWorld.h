#pragma once

#include "Core/BootClock.h"
#include "Entry/CallerSession.h"
#include "FleetCodec.h"

#include <deque>

namespace ragwortdeck {

/// \brief A test target that answers each request with the next script.
class ScriptedTarget
{
public:
  /// Handles a request and writes the answer to the socket. Returns true to
  /// keep the connection open.
  using Script = std::function<bool(tcp::socket&, const std::string&)>;

  ScriptedTarget(asio::io_context& aContext, std::string aId);

  Target Describe(const std::string& aService) const;
  void AddScript(Script aScript) { mScripts.push_back(std::move(aScript)); }
  const std::vector<std::string>& Requests() const { return mRequests; }
  /// The host closed a connection that the last script kept open.
  bool PeerClosed() const { return mPeerClosed; }
  /// Refuses connections until ListenAgain().
  void StopListening() { mAcceptor.close(); }
  void ListenAgain();
  /// Leaves what arrives after a request's end in small socket buffers; called
  /// before the first connection.
  void ReadLittle();

private:
  /// Whether aRequest has arrived in full.
  static bool IsWhole(const std::string& aRequest);
  Task<void> Accept();
  Task<void> Serve(std::shared_ptr<tcp::socket> aSocket);

  asio::io_context& mContext;
  std::string mId;
  tcp::acceptor mAcceptor;
  std::uint16_t mPort;
  std::deque<Script> mScripts;
  std::vector<std::string> mRequests;
  bool mPeerClosed = false;
};

/// \brief Test environment: the request path of an entry process over real
/// sockets, with scripted targets. The table and the target list are set
/// directly.
class RelayWorld
{
public:
  explicit RelayWorld(
    std::unique_ptr<PlatformCodec> aCodec = std::make_unique<FleetCodec>());
  /// Ends the requests that still run, since their coroutines refer to the
  /// context.
  ~RelayWorld();
  RelayWorld(const RelayWorld&) = delete;
  RelayWorld& operator=(const RelayWorld&) = delete;

  ScriptedTarget& AddTarget(const std::string& aId);
  /// Goals and timeout of all routes; set before Start().
  Milliseconds mRouteTimeout{ 30000 };
  Milliseconds mLatencyGoal{ 20000 };
  Milliseconds mEventGapGoal{ 5000 };
  /// Set before Start() if the targets are engines.
  std::optional<EngineLimits> mEngine;
  /// Applies the table and the target list; called once, after AddTarget().
  void Start();
  /// Opens a connection and sends aBytes; Reply() reads the answer.
  std::shared_ptr<tcp::socket> Call(const std::string& aBytes);
  /// Writes aBytes while the event loop runs, as they are taken.
  void Send(tcp::socket& aSocket, const std::string& aBytes);
  /// Reads until the connection closes or the text contains aUntil.
  std::string Reply(tcp::socket& aSocket, const std::string& aUntil);
  /// Runs the event loop until aDone returns true; fails the test when that
  /// takes too long.
  void RunUntil(const std::function<bool()>& aDone);
  /// Whether a call to aTarget, made as those to the store, gets a reply.
  bool GetsReply(const ScriptedTarget& aTarget);
  /// Starts to move the only stream to the target aTo; its run may stop at any
  /// time for the last copy.
  void StartMove(const std::string& aTo);
  EntryContext& Context() { return *mEntry; }
  /// All log lines so far.
  std::string Log() const;

  /// A request on the route aKind: "safe", "unsafe", "long" or "short".
  static std::string Request(const std::string& aKind,
                             const std::string& aId,
                             const std::string& aExtra = "");
  /// A request on the route aKind with a body of aBytes. ScriptedTarget answers
  /// it before it has read the rest of the body.
  static std::string Upload(const std::string& aKind,
                            const std::string& aId,
                            std::size_t aBytes);
  /// A target's complete answer.
  static std::string Answer(const std::string& aId, const std::string& aBody);
  /// The header of a target's stream.
  static std::string StreamHead(const std::string& aId);
  /// One event as one chunk.
  static std::string Event(int aId);

private:
  asio::io_context mIo;
  BootClock mClock;
  int mLogFile;
  DecisionLog mLog;
  std::unique_ptr<PlatformCodec> mCodec;
  std::unique_ptr<EntryContext> mEntry;
  std::vector<std::unique_ptr<ScriptedTarget>> mTargets;
};

void
WriteAll(tcp::socket& aSocket, const std::string& aBytes);

bool
Contains(const std::string& aText, const std::string& aPart);

/// The last chunk of a stream that is complete.
constexpr const char* kEndOfStream = "\r\n0\r\n\r\n";

} // namespace ragwortdeck
