#pragma once

#include "Entry/TargetConnection.h"

#include <map>
#include <vector>

namespace ragwortdeck {

class AnswerReader;

/// \brief Pool of idle connections to targets; the one used last is reused
/// first.
class TargetPool
{
public:
  /// A target that does not accept a connection in this time is unreachable: a
  /// round trip takes milliseconds, and TCP repeats a lost SYN after 1 s.
  static constexpr std::chrono::milliseconds kConnectTimeout{ 350 };
  /// Idle timeout of a target that states none.
  static constexpr std::chrono::milliseconds kDefaultIdleTimeout{ 400 };
  /// A connection with more refusals is closed, since all are remembered.
  static constexpr std::size_t kMaxRefusals = 32;

  TargetPool(asio::io_context& aContext,
             const Clock& aClock,
             MemoryAccount& aMemory);

  /// Returns an idle connection for the request aRequest, or opens one if there
  /// is none or aNewConnection is set; null when the target cannot be reached.
  ///
  /// A connection that served the same request last, or on which the target
  /// has refused it, is not reused for it: a late copy of the earlier answer
  /// could not be told from the new one.
  Task<TargetConnectionPtr> Acquire(Endpoint aEndpoint,
                                    bool aNewConnection,
                                    std::string aRequest);
  /// Returns a connection to the pool after a complete answer, unless many
  /// refusals arrived on it.
  /// aKeepAliveSeconds is the idle timeout that the target stated, 0 for none.
  void Release(TargetConnectionPtr aConnection, int aKeepAliveSeconds);
  /// Returns a connection to the pool if aAnswer permits reuse; closes it
  /// otherwise.
  void ReleaseOrClose(TargetConnectionPtr aConnection,
                      const AnswerReader& aAnswer);
  /// Sets the hook for refused answers on connections that are opened later.
  void SetOnRefused(TargetConnection::OnRefused aOnRefused)
  {
    mOnRefused = std::move(aOnRefused);
  }
  /// Closes the idle connections to aEndpoint.
  void CloseIdle(const Endpoint& aEndpoint);
  /// Drops connections whose idle time is over or that the target closed.
  void Sweep();
  /// The account to which the connections are charged.
  MemoryAccount& Memory() { return mMemory; }
  /// Number of connection attempts so far.
  std::uint64_t Opened() const { return mOpened; }

private:
  /// Takes an idle connection that aRequest may use; null if there is none.
  TargetConnectionPtr TakeIdle(const Endpoint& aEndpoint,
                               const std::string& aRequest);

  asio::io_context& mContext;
  const Clock& mClock;
  MemoryAccount& mMemory;
  TargetConnection::OnRefused mOnRefused;
  std::map<Endpoint, std::vector<TargetConnectionPtr>> mIdle;
  std::uint64_t mOpened = 0;
};

} // namespace ragwortdeck
