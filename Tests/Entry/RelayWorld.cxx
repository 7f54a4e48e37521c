#include "Entry/RelayWorld.h"

#include "Entry/StreamRun.h"

#include <cppunit/TestAssert.h>
#include <sys/mman.h>
#include <unistd.h>

namespace ragwortdeck {

namespace {

/// Timeout that ends a test that hangs; no check depends on its length.
constexpr std::chrono::seconds kHangTimeout{ 60 };

EntrySettings
TestSettings()
{
  EntrySettings settings;
  settings.mHost = "test";
  settings.mFailureDomain = "a";
  settings.mPeers = { "127.0.0.1", 1 };
  settings.mRetries = { 0.2, 100, std::chrono::seconds(10) };
  return settings;
}

Route
MakeRoute(const std::string& aName, RouteKind aKind, int aAttempts)
{
  Route route;
  route.mName = aName;
  route.mHost = "shop.example";
  route.mPathPrefix = "/" + aName + "/";
  route.mKind = aKind;
  route.mMaxAttempts = aAttempts;
  route.mResumable = aName == "short";
  route.mServices = { { "s", 1 } };
  return route;
}

} // namespace

void
WriteAll(tcp::socket& aSocket, const std::string& aBytes)
{
  error_code ec;
  asio::write(aSocket, asio::buffer(aBytes), ec);
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

ScriptedTarget::ScriptedTarget(asio::io_context& aContext, std::string aId)
  : mContext(aContext)
  , mId(std::move(aId))
  , mAcceptor(aContext, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
  , mPort(mAcceptor.local_endpoint().port())
{
  asio::co_spawn(mContext, Accept(), asio::detached);
}

void
ScriptedTarget::ListenAgain()
{
  mAcceptor =
    tcp::acceptor(mContext, { asio::ip::address_v4::loopback(), mPort });
  asio::co_spawn(mContext, Accept(), asio::detached);
}

Target
ScriptedTarget::Describe(const std::string& aService) const
{
  Target target;
  target.mId = mId;
  target.mService = aService;
  target.mEndpoint = { "127.0.0.1", mPort };
  target.mFailureDomain = "a";
  target.mSlots = 6;
  return target;
}

void
ScriptedTarget::ReadLittle()
{
  constexpr int kBytes = 4096;
  mAcceptor.set_option(asio::socket_base::receive_buffer_size(kBytes));
}

Task<void>
ScriptedTarget::Accept()
{
  while (true) {
    error_code ec;
    auto socket = std::make_shared<tcp::socket>(mContext);
    co_await mAcceptor.async_accept(*socket, RedirectError(ec));
    if (ec) {
      co_return;
    }
    asio::co_spawn(mContext, Serve(socket), asio::detached);
  }
}

bool
ScriptedTarget::IsWhole(const std::string& aRequest)
{
  // Bodies that are sent in chunks end with "<end>".
  if (aRequest.find("<end>") != std::string::npos) {
    return true;
  }
  const auto headEnd = aRequest.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return false;
  }
  const std::string name = "Content-Length: ";
  const auto length = aRequest.find(name);
  return length == std::string::npos ||
         aRequest.size() - headEnd - 4 >=
           std::stoul(aRequest.substr(length + name.size()));
}

Task<void>
ScriptedTarget::Serve(std::shared_ptr<tcp::socket> aSocket)
{
  while (true) {
    std::string request;
    std::array<char, 4096> buf{};
    error_code ec;
    while (!IsWhole(request)) {
      const auto n =
        co_await aSocket->async_read_some(asio::buffer(buf), RedirectError(ec));
      if (ec) {
        co_return;
      }
      request.append(buf.data(), n);
    }
    mRequests.push_back(request);
    if (mScripts.empty()) {
      co_return;
    }
    const auto script = std::move(mScripts.front());
    mScripts.pop_front();
    if (!script(*aSocket, request)) {
      co_return;
    }
    if (mScripts.empty()) {
      co_await aSocket->async_read_some(asio::buffer(buf), RedirectError(ec));
      mPeerClosed = mPeerClosed || ec.failed();
      co_return;
    }
  }
}

RelayWorld::RelayWorld(std::unique_ptr<PlatformCodec> aCodec)
  : mIo(1)
  , mLogFile(memfd_create("log", MFD_CLOEXEC))
  , mLog(mClock, mLogFile)
  , mCodec(std::move(aCodec))
  , mEntry(std::make_unique<EntryContext>(mIo,
                                          mClock,
                                          *mCodec,
                                          TestSettings(),
                                          mLog))
{
}

RelayWorld::~RelayWorld()
{
  const auto until = std::chrono::steady_clock::now() + kHangTimeout;
  mEntry->FinishAll();
  while (!mEntry->mActive.empty() && std::chrono::steady_clock::now() < until) {
    mIo.run_one_for(std::chrono::milliseconds(50));
  }
  while (mIo.poll() > 0) {
  }
  close(mLogFile);
}

void
RelayWorld::StartMove(const std::string& aTo)
{
  const auto now = mEntry->Now();
  StreamRun::MovePlan plan;
  plan.mDestination = aTo;
  plan.mFirstCopyAt = now;
  plan.mLatestStop = now + std::chrono::seconds(30);
  plan.mMayStop = [] { return true; };
  mEntry->mStreams.begin()->second->StartMove(std::move(plan));
}

std::string
RelayWorld::Log() const
{
  std::string text(static_cast<std::size_t>(lseek(mLogFile, 0, SEEK_END)),
                   '\0');
  const auto n = pread(mLogFile, text.data(), text.size(), 0);
  CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()), n);
  return text;
}

ScriptedTarget&
RelayWorld::AddTarget(const std::string& aId)
{
  mTargets.push_back(std::make_unique<ScriptedTarget>(mIo, aId));
  return *mTargets.back();
}

void
RelayWorld::Start()
{
  std::vector<Route> routes = { MakeRoute("safe", RouteKind::kSafe, 2),
                                MakeRoute("unsafe", RouteKind::kUnsafe, 1),
                                MakeRoute("long", RouteKind::kStream, 1),
                                MakeRoute("short", RouteKind::kStream, 2) };
  for (auto& it : routes) {
    it.mTimeout = mRouteTimeout;
    it.mLatencyGoal = mLatencyGoal;
    it.mEventGapGoal = mEventGapGoal;
  }
  mEntry->mTable.Apply(
    std::make_shared<const ServingTable>(ServingTable::Create(
      { 1 },
      std::move(routes),
      { { "s", 100, mEngine } },
      {},
      std::vector<TeamSpec>{ { "team", { "secret" }, std::nullopt } })));
  mEntry->mTable.ConfirmCurrent({ 1 }, mEntry->Now() + std::chrono::hours(1));
  TargetList list;
  list.mVersion.mRevision = 1;
  for (const auto& it : mTargets) {
    const auto target = it->Describe("s");
    list.mTargets.emplace(target.mId, target);
  }
  mEntry->mTargets.Apply(list, mEntry->Now());
  mEntry->SpawnLoop("crash_loop",
                    [this] { return mEntry->mCrashWatch.Loop(); });
}

std::shared_ptr<tcp::socket>
RelayWorld::Call(const std::string& aBytes)
{
  tcp::acceptor acceptor(mIo,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  auto caller = std::make_shared<tcp::socket>(mIo);
  caller->connect(acceptor.local_endpoint());
  auto session = std::make_shared<CallerSession>(*mEntry, acceptor.accept());
  WriteAll(*caller, aBytes);
  asio::co_spawn(
    mIo,
    [](std::shared_ptr<CallerSession> aSession) -> Task<void> {
      co_await aSession->Run();
    }(session),
    asio::detached);
  return caller;
}

void
RelayWorld::Send(tcp::socket& aSocket, const std::string& aBytes)
{
  bool sent = false;
  asio::async_write(aSocket,
                    asio::buffer(aBytes),
                    [&](const error_code&, std::size_t) { sent = true; });
  RunUntil([&] { return sent; });
}

void
RelayWorld::RunUntil(const std::function<bool()>& aDone)
{
  const auto until = std::chrono::steady_clock::now() + kHangTimeout;
  while (!aDone()) {
    CPPUNIT_ASSERT_MESSAGE("the test timed out",
                           std::chrono::steady_clock::now() < until);
    mIo.run_one_for(std::chrono::milliseconds(50));
  }
}

bool
RelayWorld::GetsReply(const ScriptedTarget& aTarget)
{
  std::optional<bool> succeeded;
  mEntry->Spawn("call",
                [](EntryContext& aContext,
                   Endpoint aTo,
                   std::optional<bool>& aSucceeded) -> Task<void> {
                  const auto reply = co_await aContext.mCalls.Call(
                    aTo, aContext.mCodec.ReportCall(), Milliseconds(5000));
                  aSucceeded = bool(reply);
                }(*mEntry, aTarget.Describe("s").mEndpoint, succeeded));
  RunUntil([&] { return succeeded.has_value(); });
  return succeeded.value_or(false);
}

std::string
RelayWorld::Reply(tcp::socket& aSocket, const std::string& aUntil)
{
  auto text = std::make_shared<std::string>();
  auto ended = std::make_shared<bool>(false);
  asio::co_spawn(
    mIo,
    [](tcp::socket& aFrom,
       std::shared_ptr<std::string> aText,
       std::shared_ptr<bool> aEnded,
       std::string aEnd) -> Task<void> {
      std::array<char, 4096> buf{};
      while (aText->find(aEnd) == std::string::npos) {
        error_code ec;
        const auto n =
          co_await aFrom.async_read_some(asio::buffer(buf), RedirectError(ec));
        aText->append(buf.data(), n);
        if (ec) {
          break;
        }
      }
      *aEnded = true;
    }(aSocket, text, ended, aUntil),
    asio::detached);
  RunUntil([&] { return *ended; });
  return *text;
}

std::string
RelayWorld::Request(const std::string& aKind,
                    const std::string& aId,
                    const std::string& aExtra)
{
  return "GET /" + aKind +
         "/x?q=1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + aId +
         "\r\nApi-Key: secret\r\nDeadline-Ms: 30000\r\n" + aExtra + "\r\n";
}

std::string
RelayWorld::Upload(const std::string& aKind,
                   const std::string& aId,
                   std::size_t aBytes)
{
  // The mark that a body is whole comes before its end.
  const std::string mark = "<end>";
  const auto size = mark.size() + aBytes;
  auto request =
    Request(aKind, aId, "Content-Length: " + std::to_string(size) + "\r\n");
  request.replace(0, 3, "POST");
  return request + mark + std::string(aBytes, 'x');
}

std::string
RelayWorld::Answer(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + aId +
         "\r\nResponse-Seal: seal\r\nKeep-Alive: timeout=10\r\n"
         "Content-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
RelayWorld::StreamHead(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + aId +
         "\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string
RelayWorld::Event(int aId)
{
  const auto event = "id: " + std::to_string(aId) + "\ndata: piece\n\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
  return size + event + "\r\n";
}

} // namespace ragwortdeck
