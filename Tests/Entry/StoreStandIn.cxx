#include "Entry/StoreStandIn.h"

#include <QByteArray>
#include <QUrl>
#include <QUrlQuery>

namespace ragwortdeck {

namespace {

using Json = nlohmann::json;

/// How often a watch looks for changes.
constexpr std::chrono::milliseconds kWatchPoll{ 2 };
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kGone = 410;

Json
ToJson(const std::string& aKey, const StoreState::Item& aItem)
{
  return { { "key", aKey },
           { "value",
             QByteArray::fromStdString(aItem.mValue).toBase64().toStdString() },
           { "revision", aItem.mRevision },
           { "lease", aItem.mLease } };
}

std::int64_t
NumberIn(const std::map<std::string, std::string>& aQuery, const char* aName)
{
  const auto it = aQuery.find(aName);
  return it == aQuery.end() ? 0 : std::stoll(it->second);
}

std::string
TextIn(const std::map<std::string, std::string>& aQuery, const char* aName)
{
  const auto it = aQuery.find(aName);
  return it == aQuery.end() ? std::string() : it->second;
}

} // namespace

std::int64_t
StoreState::Put(const std::string& aKey,
                const std::string& aValue,
                std::int64_t aLease)
{
  const Item item{ aValue, ++mRevision, aLease };
  mItems[aKey] = item;
  mEvents.push_back({ mRevision, aKey, item });
  return mRevision;
}

void
StoreState::Remove(const std::string& aKey)
{
  if (mItems.erase(aKey) > 0) {
    mEvents.push_back({ ++mRevision, aKey, std::nullopt });
  }
}

StoreStandIn::StoreStandIn(asio::io_context& aContext)
  : mDrops([](int, const std::string&) { return false; })
  , mWriteEra([](int, std::int64_t aEra, http::fields& aFields) {
    aFields.set("Store-Era", std::to_string(aEra));
  })
  , mContext(aContext)
{
}

Endpoint
StoreStandIn::AddressFor(int aHost)
{
  auto& gateway = mGateways[aHost];
  if (!gateway.mAcceptor) {
    gateway.mAcceptor = std::make_unique<tcp::acceptor>(
      mContext, tcp::endpoint(asio::ip::make_address("127.0.4.200"), 0));
    asio::co_spawn(mContext, Accept(aHost), asio::detached);
  }
  return { "127.0.4.200", gateway.mAcceptor->local_endpoint().port() };
}

void
StoreStandIn::Leave()
{
  mIsAway = true;
  for (const auto& it : mSockets) {
    error_code ec;
    it->close(ec);
  }
}

void
StoreStandIn::Return(StoreState aCopy)
{
  aCopy.mEra = mState->mEra + 1;
  mState = std::make_shared<StoreState>(std::move(aCopy));
  mIsAway = false;
}

void
StoreStandIn::AnswerFrom(int aHost, std::shared_ptr<StoreState> aState)
{
  mGateways[aHost].mState = std::move(aState);
}

std::size_t
StoreStandIn::CountCalls(const std::string& aPart) const
{
  return static_cast<std::size_t>(
    std::count_if(mCalls.begin(), mCalls.end(), [&](const Call& aCall) {
      return aCall.mTarget.find(aPart) != std::string::npos;
    }));
}

Task<void>
StoreStandIn::Accept(int aHost)
{
  while (true) {
    error_code ec;
    auto socket = std::make_shared<tcp::socket>(mContext);
    co_await mGateways[aHost].mAcceptor->async_accept(*socket,
                                                      RedirectError(ec));
    if (ec) {
      co_return;
    }
    if (!mIsAway) {
      mSockets.insert(socket);
      asio::co_spawn(mContext, Serve(aHost, socket), asio::detached);
    }
  }
}

Task<void>
StoreStandIn::Serve(int aHost, std::shared_ptr<tcp::socket> aSocket)
{
  beast::flat_buffer buffer;
  while (true) {
    Request request;
    error_code ec;
    co_await http::async_read(*aSocket, buffer, request, RedirectError(ec));
    if (ec) {
      break;
    }
    const auto lost = mGateways[aHost].mState;
    const auto state = lost ? lost : mState;
    const std::string target(request.target());
    const QUrl url(QString::fromStdString(target));
    std::map<std::string, std::string> query;
    for (const auto& [name, value] :
         QUrlQuery(url).queryItems(QUrl::FullyDecoded)) {
      query[name.toStdString()] = value.toStdString();
    }
    const auto path = url.path().toStdString();
    if (mDrops(aHost, target)) {
      break;
    }
    Answer answer;
    if (path == "/-/kv-watch") {
      answer = co_await Watch(aHost, state, query);
    } else {
      answer = Respond(*state, path, query, request);
    }
    if (mIsAway) {
      break;
    }
    mCalls.push_back({ aHost, target });
    http::response<http::string_body> response;
    response.version(11);
    response.result(answer.mStatus);
    mWriteEra(aHost, state->mEra, response);
    response.body() = answer.mBody.dump();
    response.prepare_payload();
    co_await http::async_write(*aSocket, response, RedirectError(ec));
    if (ec) {
      break;
    }
  }
  mSockets.erase(aSocket);
}

Task<StoreStandIn::Answer>
StoreStandIn::Watch(int aHost,
                    std::shared_ptr<StoreState> aState,
                    std::map<std::string, std::string> aQuery)
{
  const auto after = NumberIn(aQuery, "after");
  const auto prefix = TextIn(aQuery, "path_prefix");
  if (after > aState->mRevision) {
    co_return Answer{ kGone };
  }
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(NumberIn(aQuery, "wait_ms"));
  while (true) {
    Json events = Json::array();
    for (const auto& event : aState->mEvents) {
      if (event.mRevision > after && event.mKey.starts_with(prefix)) {
        events.push_back(event.mItem ? ToJson(event.mKey, *event.mItem)
                                     : Json{ { "key", event.mKey },
                                             { "revision", event.mRevision },
                                             { "tombstone", true } });
      }
    }
    const auto revision = aState->mRevision;
    if (!events.empty() || std::chrono::steady_clock::now() >= until) {
      while (mHeld.contains(aHost)) {
        co_await SleepFor(mContext, kWatchPoll);
      }
      co_return Answer{ kOk,
                        { { "events", events }, { "current_rev", revision } } };
    }
    co_await SleepFor(mContext, kWatchPoll);
  }
}

StoreStandIn::Answer
StoreStandIn::Respond(StoreState& aState,
                      const std::string& aPath,
                      const std::map<std::string, std::string>& aQuery,
                      const Request& aRequest)
{
  if (aPath == "/-/kv-key") {
    const auto it = aState.mItems.find(TextIn(aQuery, "key"));
    return it == aState.mItems.end()
             ? Answer{ kNotFound }
             : Answer{ kOk, ToJson(it->first, it->second) };
  }
  if (aPath == "/-/kv-range") {
    const auto prefix = TextIn(aQuery, "path_prefix");
    Json items = Json::array();
    for (const auto& [key, item] : aState.mItems) {
      if (key.starts_with(prefix)) {
        items.push_back(ToJson(key, item));
      }
    }
    return { kOk,
             { { "items", items },
               { "has_more", false },
               { "current_rev", aState.mRevision } } };
  }
  if (aPath == "/-/kv-lease") {
    aState.mLeases.insert(++aState.mLastLease);
    return { kOk, { { "lease", aState.mLastLease }, { "ttl_ms", 600000 } } };
  }
  if (aPath.starts_with("/-/kv-keep/")) {
    const auto lease = std::stoll(aPath.substr(std::strlen("/-/kv-keep/")));
    return { aState.mLeases.contains(lease) ? kOk : kNotFound };
  }
  if (aPath == "/-/kv-txn") {
    const auto puts = Json::parse(aRequest.body()).at("puts");
    for (const auto& put : puts) {
      if (!aState.mLeases.contains(put.at("lease").get<std::int64_t>())) {
        return { kNotFound };
      }
    }
    for (const auto& put : puts) {
      const auto value = put.at("value").get<std::string>();
      aState.Put(
        put.at("key"),
        QByteArray::fromBase64(QByteArray::fromStdString(value)).toStdString(),
        put.at("lease"));
    }
    return { kOk, { { "revision", aState.mRevision } } };
  }
  return { kNotFound };
}

} // namespace ragwortdeck
