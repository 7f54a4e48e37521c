#include "Platform/HostListClient.h"

#include "Core/HttpStatus.h"
#include "Core/Log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace ragwortdeck {

namespace {

const Log kLog("hosts");

// Longest accepted list; 5,100 hosts at 250 bytes are 1.3 MB.
constexpr qint64 kMaxListBytes = 16 << 20;
// Bound of what an odd entry adds to a log line.
constexpr std::size_t kMaxReasonBytes = 200;
// Bounds the memory that a broken list takes.
constexpr std::size_t kMaxEntries = 100'000;
// Part of the poll interval by which polls vary, so that hosts that started
// together do not poll together.
constexpr double kJitter = 0.2;

Result<std::string>
Label(const QJsonObject& aLabels, const char* aName, const char* aFallback)
{
  const auto value = aLabels.value(QLatin1String(aName));
  if (value.isUndefined() && aFallback != nullptr) {
    return std::string(aFallback);
  }
  if (!value.isString() || value.toString().isEmpty()) {
    return Failure(ErrorCode::kCorrupt,
                   std::string("label ") + aName +
                     ": expected a non-empty string");
  }
  return value.toString().toStdString();
}

Result<bool>
Choice(const QJsonObject& aLabels,
       const char* aName,
       const char* aFalse,
       const char* aTrue)
{
  const auto text = Label(aLabels, aName, aFalse);
  if (!text) {
    return Failure(text.error());
  }
  if (text.value() != aFalse && text.value() != aTrue) {
    return Failure(ErrorCode::kCorrupt,
                   std::string("label ") + aName + ": expected " + aFalse +
                     " or " + aTrue + ", found '" + text.value() + "'");
  }
  return text.value() == aTrue;
}

/// The labels that all targets of a group share.
Result<ListedHost>
ParseLabels(const QJsonObject& aLabels, ListedRole aRole)
{
  const auto domain = Label(aLabels, "failure_domain", nullptr);
  const auto leaving = Choice(aLabels, "state", "live", "leaving");
  const auto fencing = Choice(aLabels, "checks_fencing", "false", "true");
  if (!domain) {
    return Failure(domain.error());
  }
  if (!leaving) {
    return Failure(leaving.error());
  }
  if (!fencing) {
    return Failure(fencing.error());
  }
  ListedHost host;
  host.mRole = aRole;
  host.mFailureDomain = FailureDomain(domain.value());
  host.mLeaving = leaving.value();
  host.mChecksFencing = fencing.value();
  for (const auto& name : aLabels.value(QLatin1String("model"))
                            .toString()
                            .split(',', Qt::SkipEmptyParts)) {
    host.mModels.emplace_back(name.trimmed().toStdString());
  }
  return host;
}

Result<std::vector<ListedHost>>
ParseGroup(const QJsonObject& aGroup)
{
  static const std::map<std::string, ListedRole> sRoles = {
    { "router", ListedRole::kRouter },
    { "engine", ListedRole::kEngine },
    { "service", ListedRole::kService },
  };
  const auto labels = aGroup.value(QLatin1String("labels")).toObject();
  const auto targets = aGroup.value(QLatin1String("targets"));
  const auto role = Label(labels, "role", nullptr);
  if (!role) {
    return Failure(role.error());
  }
  std::vector<ListedHost> hosts;
  const auto known = sRoles.find(role.value());
  if (known == sRoles.end()) {
    return hosts;
  }
  auto host = ParseLabels(labels, known->second);
  if (!host) {
    return Failure(host.error());
  }
  if (!targets.isArray()) {
    return Failure(ErrorCode::kCorrupt, "targets: expected an array");
  }
  const bool single = targets.toArray().size() == 1;
  for (const auto& target : targets.toArray()) {
    const auto address = target.toString().toStdString();
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint || endpoint->mPort == 0) {
      return Failure(ErrorCode::kCorrupt,
                     "targets: expected <IP address>:<port>, found '" +
                       address + "'");
    }
    const auto id = Label(labels, "host", address.c_str());
    if (!id || (!single && id.value() != address)) {
      return Failure(ErrorCode::kCorrupt,
                     "label host: expected one name for one target");
    }
    auto entry = host.value();
    entry.mId = id.value();
    entry.mAddress = address;
    hosts.push_back(std::move(entry));
  }
  return hosts;
}

/// The ids and addresses that a malformed group seems to be about.
std::vector<std::string>
NamesOf(const QJsonObject& aGroup)
{
  std::vector<std::string> names;
  const auto labels = aGroup.value(QLatin1String("labels")).toObject();
  if (auto id = Label(labels, "host", nullptr)) {
    names.push_back(std::move(id.value()));
  }
  for (const auto& target : aGroup.value(QLatin1String("targets")).toArray()) {
    if (target.isString()) {
      names.push_back(target.toString().toStdString());
    }
  }
  return names;
}

/// The texts of the elements of a JSON array; nothing if aJson is none, or has
/// more than kMaxEntries. The elements are not checked, so that one that no
/// parser takes spoils no other.
std::optional<std::vector<QByteArray>>
SplitArray(const QByteArray& aJson)
{
  constexpr const char* kByteOrderMark = "\xEF\xBB\xBF";
  const auto text =
    (aJson.startsWith(kByteOrderMark) ? aJson.mid(3) : aJson).trimmed();
  if (text.size() < 2 || text.front() != '[' || text.back() != ']') {
    return std::nullopt;
  }
  std::vector<QByteArray> elements;
  qsizetype begin = 1;
  qsizetype depth = 0;
  bool inString = false;
  for (qsizetype i = 1; i < text.size() - 1; ++i) {
    const char c = text[i];
    if (inString) {
      i += c == '\\' ? 1 : 0;
      inString = c != '"';
    } else if (c == '"') {
      inString = true;
    } else if (c == '[' || c == '{') {
      ++depth;
    } else if (c == ']' || c == '}') {
      --depth;
    } else if (c == ',' && depth == 0) {
      elements.push_back(text.mid(begin, i - begin));
      begin = i + 1;
    }
    if (depth < 0 || elements.size() >= kMaxEntries) {
      return std::nullopt;
    }
  }
  if (depth != 0 || inString) {
    return std::nullopt;
  }
  auto last = text.mid(begin, text.size() - 1 - begin);
  if (!elements.empty() || !last.trimmed().isEmpty()) {
    elements.push_back(std::move(last));
  }
  return elements;
}

/// Adds what one element of the array says to aList.
void
AddElement(const QByteArray& aElement, HostList& aList)
{
  QJsonParseError problem;
  const auto document = QJsonDocument::fromJson(aElement, &problem);
  if (!document.isObject()) {
    aList.mOddEntries.push_back(
      { {}, "expected an object: " + problem.errorString().toStdString() });
    return;
  }
  auto hosts = ParseGroup(document.object());
  if (!hosts) {
    aList.mOddEntries.push_back(
      { NamesOf(document.object()), hosts.error().mMessage });
    return;
  }
  std::move(hosts.value().begin(),
            hosts.value().end(),
            std::back_inserter(aList.mHosts));
}

/// Which of several entries with one id is right cannot be told.
void
DropRepeatedIds(HostList& aList)
{
  std::map<std::string, std::size_t> counts;
  for (const auto& host : aList.mHosts) {
    ++counts[host.mId];
  }
  std::erase_if(aList.mHosts,
                [&](const ListedHost& aHost) { return counts[aHost.mId] > 1; });
  for (const auto& [id, count] : counts) {
    if (count > 1) {
      aList.mOddEntries.push_back({ { id }, "host " + id + " repeats" });
    }
  }
}

} // namespace

Result<HostList>
ParseHostList(const QByteArray& aJson)
{
  const auto elements = SplitArray(aJson);
  if (!elements) {
    return Failure(ErrorCode::kCorrupt,
                   "expected a JSON array of at most " +
                     std::to_string(kMaxEntries) + " entries");
  }
  HostList list;
  for (const auto& element : *elements) {
    AddElement(element, list);
  }
  DropRepeatedIds(list);
  return list;
}

HostListSettings
HostListSettings::Read(SettingsSection aSection)
{
  using std::chrono::milliseconds;
  HostListSettings settings;
  const auto endpoint = aSection.RequiredEndpoint("endpoint");
  const auto path = aSection.String("path", "/hosts");
  settings.mUrl =
    QUrl(QString::fromStdString("http://" + ToText(endpoint) + path));
  settings.mPollInterval = aSection.Milliseconds("poll_interval_ms",
                                                 milliseconds(2000),
                                                 milliseconds(100),
                                                 milliseconds(600'000));
  settings.mTimeout = aSection.Milliseconds(
    "timeout_ms", milliseconds(1000), milliseconds(50), milliseconds(60'000));
  return settings;
}

HostListClient::HostListClient(Scheduler& aScheduler,
                               RandomSource aRandom,
                               HostListSettings aSettings,
                               OnList aOnList)
  : mScheduler(aScheduler)
  , mRandom(aRandom)
  , mSettings(std::move(aSettings))
  , mOnList(std::move(aOnList))
{
  Poll();
}

std::optional<Duration>
HostListClient::Age() const
{
  if (!mLast) {
    return std::nullopt;
  }
  return mScheduler.Now() - mReceived;
}

void
HostListClient::ScheduleNext()
{
  const double factor = 1.0 - kJitter + 2 * kJitter * mRandom.Unit();
  const auto micros =
    static_cast<double>(mSettings.mPollInterval.count()) * factor;
  mNext = mScheduler.After(Duration(static_cast<Duration::rep>(micros)),
                           [this] { Poll(); });
}

void
HostListClient::Poll()
{
  mReply.clear();
  HttpCall call;
  call.mUrl = mSettings.mUrl.toString(QUrl::FullyEncoded).toStdString();
  call.mConnectTimeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(mSettings.mTimeout);
  mTransfer = mCurl.Start(
    call,
    [this](std::string_view aBytes) { OnData(aBytes); },
    [this](const TransferEnd& aEnd) { OnFinished(aEnd); });
  mDeadline = mScheduler.After(mSettings.mTimeout, [this] {
    Finish(Failure(ErrorCode::kTimeout, "no answer in time"));
  });
}

void
HostListClient::OnData(std::string_view aBytes)
{
  mReply.append(aBytes.data(), qsizetype(aBytes.size()));
  if (mReply.size() > kMaxListBytes) {
    Finish(Failure(ErrorCode::kCorrupt, "the list is too long"));
  }
}

void
HostListClient::OnFinished(const TransferEnd& aEnd)
{
  if (aEnd.mKind != TransferEndKind::kReplied || aEnd.mStatus != kStatusOk) {
    Finish(Failure(ErrorCode::kUnavailable,
                   aEnd.mMessage + " (status " + std::to_string(aEnd.mStatus) +
                     ")"));
  } else {
    Finish(ParseHostList(mReply));
  }
}

void
HostListClient::Finish(Result<HostList> aResult)
{
  mDeadline.Cancel();
  mTransfer.reset();
  ScheduleNext();
  if (!aResult) {
    ++mFailedPolls;
    kLog.Warning("host list: " + aResult.error().mMessage);
    return;
  }
  auto& list = aResult.value();
  if (list.mHosts.empty()) {
    ++mFailedPolls;
    kLog.Warning("host list: no usable entry; the last list stays in force");
    return;
  }
  mReceived = mScheduler.Now();
  KeepHostsOfOddEntries(list);
  TakeOddEntries(std::exchange(list.mOddEntries, {}));
  if (mLast != list) {
    mLast = std::move(list);
    mOnList(*mLast);
  }
}

void
HostListClient::KeepHostsOfOddEntries(HostList& aList) const
{
  if (!mLast || aList.mOddEntries.empty()) {
    return;
  }
  std::set<std::string> odd;
  for (const auto& entry : aList.mOddEntries) {
    odd.insert(entry.mNames.begin(), entry.mNames.end());
  }
  // Addresses are used again: a host that lost its own is not kept.
  std::set<std::string> listed;
  for (const auto& host : aList.mHosts) {
    listed.insert(host.mId);
    listed.insert(host.mAddress);
  }
  std::copy_if(
    mLast->mHosts.begin(),
    mLast->mHosts.end(),
    std::back_inserter(aList.mHosts),
    [&](const ListedHost& aHost) {
      return !listed.contains(aHost.mId) && !listed.contains(aHost.mAddress) &&
             (odd.contains(aHost.mId) || odd.contains(aHost.mAddress));
    });
}

void
HostListClient::TakeOddEntries(std::vector<OddEntry> aEntries)
{
  if (aEntries == mOddEntries) {
    return;
  }
  mOddEntries = std::move(aEntries);
  if (mOddEntries.empty()) {
    kLog.Info("host list: all entries are usable again");
    return;
  }
  kLog.Warning("host list: " + std::to_string(mOddEntries.size()) +
               " entries are ignored, the first one: " +
               mOddEntries.front().mReason.substr(0, kMaxReasonBytes));
}

} // namespace ragwortdeck
