#include "Entry/EntryProcess.h"

#include "Core/HttpStatus.h"
#include "Core/Program.h"
#include "Entry/CallerSession.h"
#include "Entry/PendingConnection.h"

#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

/// After the signal to stop, the platform needs two readiness probes, a second
/// apart, before it stops sending new connections; until then these are served.
constexpr milliseconds kServeAfterStop{ 3300 };
/// The process exits this long before the end of the grace period, whatever
/// still runs.
constexpr milliseconds kGraceMargin{ 350 };
constexpr milliseconds kDrainPoll{ 50 };
/// Time for the answers to requests that still run at the end.
constexpr milliseconds kLastAnswersTime{ 150 };
constexpr milliseconds kLastAnswersPoll{ 5 };
/// Pause after a failed accept, since file descriptors may be exhausted.
constexpr milliseconds kAcceptPause{ 50 };
constexpr milliseconds kStatusIdleTimeout{ 5000 };
/// Probes and readers of metrics that are served at once; others are closed.
constexpr int kMaxStatusConnections = 32;
constexpr int kBacklog = 512;

std::uint64_t
NewIncarnation()
{
  // 0 stands for no incarnation.
  return RandomSource::SystemSeed() | 1U;
}

} // namespace

EntryProcess::EntryProcess(const PlatformCodec& aCodec,
                           EntrySettings aSettings,
                           Reload aReload)
  : mIo(1)
  , mLog(mClock, STDOUT_FILENO)
  , mContext(mIo, mClock, aCodec, std::move(aSettings), mLog)
  , mExchange(mIo,
              mClock,
              mContext.mRandom,
              mContext.mSettings.mPeers,
              mContext.mSettings.mFailureDomain,
              mContext.mSettings.mLinkMbps,
              NewIncarnation())
  , mFeed(mContext, mExchange)
  , mDepartures(mContext, mFeed)
  , mReload(std::move(aReload))
  , mCallers(mIo)
  , mReady(mIo)
  , mMetrics(mIo)
  , mSignals(mIo, SIGTERM, SIGINT, SIGHUP)
{
}

Result<void>
EntryProcess::Open(tcp::acceptor& aAcceptor, const Endpoint& aAt)
{
  error_code ec;
  const tcp::endpoint endpoint(asio::ip::make_address(aAt.mAddress, ec),
                               aAt.mPort);
  if (!ec) {
    aAcceptor.open(endpoint.protocol(), ec);
  }
  if (!ec) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    aAcceptor.bind(endpoint, ec);
  }
  if (!ec) {
    aAcceptor.listen(kBacklog, ec);
  }
  if (ec) {
    return Failure(ErrorCode::kAddressInUse,
                   "cannot listen on " + ToText(aAt) + ": " + ec.message());
  }
  return Success();
}

int
EntryProcess::Run()
{
  for (auto opened : { Open(mCallers, mContext.mSettings.mCallers),
                       Open(mReady, mContext.mSettings.mReady),
                       Open(mMetrics, mContext.mSettings.mMetrics) }) {
    if (!opened) {
      std::cerr << "ragwort-entry: " << opened.error().mMessage << "\n";
      return kExitAddressInUse;
    }
  }
  if (const auto error = mExchange.Open()) {
    std::cerr << "ragwort-entry: " << *error << "\n";
    return kExitAddressInUse;
  }
  mContext.mCountHosts = [this] { return mExchange.KnownHosts() + 1; };
  mFeed.mOnLeaving = [this](const std::vector<std::string>& aTargets,
                            std::optional<Milliseconds> aLeavesIn) {
    mDepartures.Begin(aTargets, aLeavesIn);
  };
  mFeed.mOnDeparting = [this](const std::vector<DepartingRun>& aRuns) {
    mDepartures.AddDeparting(aRuns);
  };
  mFeed.mOnCopied = [this](const std::vector<DepartingRun>& aRuns) {
    mDepartures.HandleCopied(aRuns);
  };
  mFeed.mOnAllCopied = [this](const std::string& aPlanner) {
    mDepartures.HandleAllCopied(aPlanner);
  };
  mFeed.mOnPlan = [this](const std::string& aPlanner,
                         const std::vector<PlannedCopy>& aPlan) {
    mDepartures.HandlePlan(aPlanner, aPlan);
  };
  mContext.mLoad.mOnChange = [this](bool aGrew) { mFeed.OnLoadChanged(aGrew); };
  mLog.Write("start",
             { { "host", mContext.mSettings.mHost },
               { "failure_domain", mContext.mSettings.mFailureDomain },
               { "incarnation", mExchange.Incarnation() } });
  WaitForSignal();
  mFeed.Start();
  mContext.SpawnLoop("accept_callers", [this] { return AcceptCallers(); });
  mContext.SpawnLoop("accept_ready",
                     [this] { return AcceptStatusRequests(mReady); });
  mContext.SpawnLoop("accept_metrics",
                     [this] { return AcceptStatusRequests(mMetrics); });
  while (true) {
    try {
      mIo.run();
      break;
    } catch (const std::exception& ec) {
      // Thrown by a handler; run() may be called again.
      mContext.LogUnexpectedError("handler", ec);
    }
  }
  // Requests that still run refer to members of this object, so the process
  // exits without destructors; the operating system closes the connections.
  std::quick_exit(kExitSuccess);
}

Task<void>
EntryProcess::AcceptCallers()
{
  while (true) {
    error_code ec;
    auto socket = co_await mCallers.async_accept(RedirectError(ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      mContext.mMetrics.Count("entry_accept_errors_total");
      co_await SleepFor(mIo, kAcceptPause);
      continue;
    }
    mContext.mMetrics.Count("entry_connections_total");
    // A connection that is closed here frees its descriptor a little later.
    if (mContext.mConnections >= mContext.MaxConnections() &&
        !mContext.mMemory.EvictOne(MemoryUse::kRequest)) {
      mContext.mMetrics.Count("entry_connections_refused_total");
      continue;
    }
    auto session = std::make_shared<CallerSession>(mContext, std::move(socket));
    mContext.Spawn("caller",
                   [](std::shared_ptr<CallerSession> aSession) -> Task<void> {
                     co_await aSession->Run();
                   }(session));
  }
}

bool
EntryProcess::IsReady() const
{
  return !mContext.mStopping && mContext.HasContents();
}

Task<void>
EntryProcess::AcceptStatusRequests(tcp::acceptor& aAcceptor)
{
  while (true) {
    error_code ec;
    auto socket = co_await aAcceptor.async_accept(RedirectError(ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      co_await SleepFor(mIo, kAcceptPause);
      continue;
    }
    if (mStatusConnections < kMaxStatusConnections) {
      mContext.Spawn("status", ServeStatus(std::move(socket)));
    }
  }
}

Task<void>
EntryProcess::ServeStatus(tcp::socket aSocket)
{
  const InFlight counted(mStatusConnections);
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  while (true) {
    // Probes have no body, and what has one is not read on.
    http::request_parser<http::empty_body> parser;
    error_code ec;
    stream.expires_after(kStatusIdleTimeout);
    co_await http::async_read_header(stream, buffer, parser, RedirectError(ec));
    if (ec || parser.chunked() || parser.content_length().value_or(0) > 0) {
      break;
    }
    const auto& request = parser.get();
    http::response<http::string_body> response;
    response.version(11);
    response.keep_alive(request.keep_alive());
    response.set(http::field::content_type, "text/plain");
    if (request.target() == mContext.mCodec.ReadyPath()) {
      const bool ready = IsReady();
      if (ready != mWasReady) {
        mWasReady = ready;
        mLog.Write(
          ready ? "ready" : "not_ready",
          { { "stopping", mContext.mStopping },
            { "table_version", mContext.mTable.VersionNumber() },
            { "list_revision", mContext.mTargets.Version().mRevision } });
      }
      response.result(ready ? kStatusOk : kStatusUnavailable);
      response.body() = ready ? "ready\n" : "not ready\n";
    } else if (request.target() == "/metrics") {
      response.result(kStatusOk);
      response.body() =
        mContext.mMetrics.ToText() + "entry_connections_opened_total " +
        std::to_string(mContext.mPool.Opened()) + "\nentry_active " +
        std::to_string(mContext.mActive.size()) +
        "\nentry_memory_bytes{use=\"requests\"} " +
        std::to_string(mContext.mMemory.Used(MemoryUse::kRequest)) +
        "\nentry_memory_bytes{use=\"answers\"} " +
        std::to_string(mContext.mMemory.Used(MemoryUse::kAnswer)) +
        "\nentry_memory_bytes{use=\"events\"} " +
        std::to_string(mContext.mMemory.Used(MemoryUse::kEvent)) +
        "\nentry_evicted_connections_total " +
        std::to_string(mContext.mMemory.Evicted()) +
        "\nentry_log_lines_dropped_total " + std::to_string(mLog.Dropped()) +
        "\nentry_peer_messages_relayed_total " +
        std::to_string(mExchange.Relayed()) +
        "\nentry_peer_datagrams_merged_total " +
        std::to_string(mExchange.MergedDatagrams()) +
        "\nentry_peer_messages_dropped_total " +
        std::to_string(mExchange.Dropped()) + "\n";
    } else {
      response.result(kStatusNotFound);
    }
    response.prepare_payload();
    co_await http::async_write(stream, response, RedirectError(ec));
    if (ec || !request.keep_alive()) {
      break;
    }
  }
}

void
EntryProcess::WaitForSignal()
{
  mSignals.async_wait([this](const error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      ReloadSettings("signal");
    } else {
      Stop();
    }
    WaitForSignal();
  });
}

void
EntryProcess::ReloadSettings(const char* aReason)
{
  auto settings = mReload();
  mLog.Write("reload",
             { { "why", aReason }, { "usable", settings.has_value() } });
  if (!settings) {
    return;
  }
  // The listening addresses change only at the next start.
  mContext.mSettings.mStore = settings->mStore;
  mContext.mSettings.mSeeds = settings->mSeeds;
  for (const auto& seed : settings->mSeeds) {
    mExchange.AddHost(seed.mAddress);
  }
}

void
EntryProcess::Stop()
{
  if (mContext.mStopping) {
    return;
  }
  mContext.mStopping = true;
  mContext.mStoppedAt = mClock.Now();
  mLog.Write("stop", { { "active", mContext.mActive.size() } });
  mContext.Spawn("drain", Drain());
}

Task<void>
EntryProcess::Drain()
{
  const auto began = mClock.Now();
  const auto end =
    began +
    std::max(milliseconds(0), mContext.mSettings.mShutdownGrace - kGraceMargin);
  const auto earliest = std::min(end, began + Duration(kServeAfterStop));
  while (mClock.Now() < end && (mClock.Now() < earliest || mContext.HasWork() ||
                                HasPendingConnection(mCallers))) {
    co_await SleepFor(mIo, kDrainPoll);
  }
  const auto cut = mContext.mActive.size();
  mContext.FinishAll();
  const auto exitAt = mClock.Now() + Duration(kLastAnswersTime);
  while (mClock.Now() < exitAt && !mContext.mActive.empty()) {
    co_await SleepFor(mIo, kLastAnswersPoll);
  }
  mLog.Write("stopped",
             { { "ended_early", cut }, { "active", mContext.mActive.size() } });
  mIo.stop();
}

} // namespace ragwortdeck
