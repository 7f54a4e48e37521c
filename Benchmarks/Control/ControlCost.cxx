// Counts messages and bytes of the control processes per host in virtual time,
// and measures the processor time per message.
//
// bench-control spread HOSTS  few watchers and peers versus a watch per host
// bench-control cost HOSTS    messages/s and bytes/s per host
// bench-control cpu           processor time per message

#include "Control/Fabric.h"
#include "Core/Log.h"
#include "Peer/PeerSession.h"

#include <cstdlib>
#include <ctime>
#include <iostream>

namespace ragwortdeck {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 7;
constexpr Duration kSettle = 60s;
constexpr Duration kWindow = 60s;
constexpr int kEdits = 30;

double
Seconds(Duration aTime)
{
  return double(aTime.count()) / 1e6;
}

struct Counts
{
  double mMessages = 0;
  double mBytes = 0;
  double mCalls = 0;
};

/// Rates per second: messages and bytes per host, calls of the whole site.
Counts
Count(Fabric& aFabric, Duration aWindow, const std::function<void()>& aWork)
{
  aFabric.ResetCounters();
  aWork();
  Counts counts;
  for (const auto& host : aFabric.mHosts) {
    counts.mMessages += double(host.mSent);
    counts.mBytes += double(host.mSentBytes);
  }
  const double hosts = double(aFabric.mHosts.size());
  counts.mMessages /= hosts * Seconds(aWindow);
  counts.mBytes /= hosts * Seconds(aWindow);
  counts.mCalls =
    double(aFabric.mService->mReads + aFabric.mService->mWatches) /
    Seconds(aWindow);
  return counts;
}

std::size_t
Domains(std::size_t aHosts)
{
  return aHosts <= 100 ? 3 : 19;
}

void
Print(const char* aLabel, std::size_t aHosts, const Counts& aCounts)
{
  std::cout << aHosts << " hosts, " << aLabel << ": " << aCounts.mMessages
            << " messages/s and " << aCounts.mBytes
            << " bytes/s sent per host, " << aCounts.mCalls
            << " calls/s on the key-value service\n"
            << std::flush;
}

void
MeasureSpread(std::size_t aHosts, bool aWatchEverywhere)
{
  Fabric fabric(aHosts, Domains(aHosts), kSeed);
  if (aWatchEverywhere) {
    fabric.mSettings.mSpread.mWatchersPerDomain = aHosts;
    fabric.mSettings.mSpread.mRandomFanOut = 0;
  }
  fabric.Edit(1);
  fabric.StartAll();
  fabric.mTime.Advance(kSettle);
  const char* variant = aWatchEverywhere ? "a watch per host" : "few watchers";
  std::cout << aHosts << " hosts, " << variant << ": agree "
            << fabric.AllAgree() << ", watching hosts "
            << fabric.Watchers().size() << " with 2 watches each\n";
  const auto idle =
    Count(fabric, kWindow, [&] { fabric.mTime.Advance(kWindow); });
  Print(variant, aHosts, idle);
  std::map<std::uint64_t, MonotonicTime> edited;
  const auto busy = Count(fabric, kWindow, [&] {
    for (int n = 0; n < kEdits; ++n) {
      edited[fabric.Edit(std::uint32_t(n + 2))] = fabric.mTime.Now();
      fabric.mTime.Advance(kWindow / kEdits);
    }
  });
  Duration worst{};
  for (const auto& [version, start] : edited) {
    for (const auto& host : fabric.mHosts) {
      const auto it = host.mInForce.lower_bound(version);
      worst = std::max(
        worst, it == host.mInForce.end() ? kWindow : it->second - start);
    }
  }
  std::cout << "  per edit: "
            << (busy.mBytes - idle.mBytes) * Seconds(kWindow) / kEdits
            << " bytes sent per host; slowest host of " << kEdits << " edits "
            << worst.count() / 1000 << " ms\n";
}

void
MeasureCost(std::size_t aHosts, std::size_t aTargets)
{
  Fabric fabric(aHosts, Domains(aHosts), kSeed);
  fabric.mLoadOf = [](const TargetId&) -> Result<LoadReport> {
    return LoadReport{ 100'000, 50'000, 20, 3, 32, 0, {}, 0 };
  };
  fabric.Edit(1);
  fabric.StartAll();
  std::vector<DirectoryHost> list;
  for (std::size_t n = 0; n < aTargets; ++n) {
    list.push_back({ "engine-" + std::to_string(n),
                     HostRole::kEngine,
                     "10.0.0.1:80",
                     FailureDomain("d0"),
                     false,
                     {},
                     false });
  }
  if (aTargets > 0) {
    for (auto& host : fabric.mHosts) {
      host.mCore->OnHostList(list);
    }
  }
  fabric.mTime.Advance(kSettle);
  const auto counts =
    Count(fabric, kWindow, [&] { fabric.mTime.Advance(kWindow); });
  std::uint64_t polls = 0;
  for (const auto& host : fabric.mHosts) {
    polls += host.mPolls;
  }
  const auto what = std::to_string(aTargets) + " targets";
  Print(what.c_str(), aHosts, counts);
  std::cout << "  polls of targets: " << double(polls) / Seconds(kWindow)
            << " /s over all hosts\n";
}

/// Measures packing, signing, verifying and unpacking one ping with 7 updates.
void
MeasureProcessorTime()
{
  const auto keys = std::make_shared<const KeyRing>(
    KeyRing::Create({ { "k", "0123456789abcdef" } }).value());
  QByteArray toRight;
  QByteArray toLeft;
  std::uint64_t received = 0;
  const auto ignore = [](const PeerMessage&) {};
  PeerSession left(
    { HostId("left"), 1, keys, {}, {} },
    PeerSide::kInitiator,
    std::vector<char>(16, 'l'),
    { [&](const QByteArray& aBytes) { toRight += aBytes; }, {}, ignore });
  PeerSession right({ HostId("right"), 1, keys, {}, {} },
                    PeerSide::kAcceptor,
                    std::vector<char>(16, 'r'),
                    { [&](const QByteArray& aBytes) { toLeft += aBytes; },
                      {},
                      [&](const PeerMessage& aMessage) {
                        received += aMessage.As<PingMessage>().has_value();
                      } });
  const auto pass = [](PeerSession& aTo, QByteArray& aBytes) {
    const auto bytes = std::exchange(aBytes, {});
    aTo.Receive(bytes.constData(), std::size_t(bytes.size())).value();
  };
  left.Start();
  right.Start();
  pass(right, toRight);
  pass(left, toLeft);
  PingMessage ping;
  for (std::uint64_t n = 0; n < 7; ++n) {
    ping.mUpdates.push_back({ HostId("entry-" + std::to_string(n)),
                              1'796'358'853'447 + n,
                              MemberState::kAlive,
                              "10.0.0.1:7400",
                              FailureDomain("nadia") });
  }
  constexpr int kMessages = 50'000;
  const auto start = std::clock();
  for (int n = 0; n < kMessages; ++n) {
    left.Send(PeerMessage::Of(ping)).value();
    pass(right, toRight);
  }
  const double micros =
    double(std::clock() - start) * 1e6 / CLOCKS_PER_SEC / kMessages;
  std::cout << "one ping with 7 updates, packed, signed, verified and "
               "unpacked: "
            << micros << " us of processor time (" << received
            << " received)\n";
}

} // namespace

} // namespace ragwortdeck

int
main(int argc, char** argv)
{
  using namespace ragwortdeck;
  Log::Configure(LogLevel::kError, LogFormat::kText);
  const std::string mode = argc > 1 ? argv[1] : "";
  const std::size_t hosts = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 20;
  if (mode == "spread") {
    MeasureSpread(hosts, false);
    MeasureSpread(hosts, true);
  } else if (mode == "cost") {
    MeasureCost(hosts, 0);
    MeasureCost(hosts, hosts * 7 / 10);
  } else if (mode == "cpu") {
    MeasureProcessorTime();
  } else {
    std::cerr << "usage: bench-control spread|cost HOSTS, or cpu\n";
    return 2;
  }
  return 0;
}
