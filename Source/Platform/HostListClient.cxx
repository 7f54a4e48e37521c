#include "Platform/HostListClient.h"

#include "Core/Log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <map>
#include <set>

namespace ragwortdeck {

namespace {

const Log kLog("hosts");

// Longest accepted list; 5,100 hosts at 250 bytes are 1.3 MB.
constexpr qint64 kMaxListBytes = 16 << 20;
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

Result<void>
ParseGroup(const QJsonObject& aGroup, HostList& aList)
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
  const auto known = sRoles.find(role.value());
  if (known == sRoles.end()) {
    return Success();
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
    if (address.find(':') == std::string::npos) {
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
    aList.mHosts.push_back(std::move(entry));
  }
  return Success();
}

} // namespace

Result<HostList>
ParseHostList(const QByteArray& aJson)
{
  QJsonParseError problem;
  const auto document = QJsonDocument::fromJson(aJson, &problem);
  if (!document.isArray()) {
    return Failure(ErrorCode::kCorrupt,
                   "expected a JSON array: " +
                     problem.errorString().toStdString());
  }
  HostList list;
  for (const auto& group : document.array()) {
    const auto parsed = ParseGroup(group.toObject(), list);
    if (!parsed) {
      return Failure(parsed.error());
    }
  }
  std::set<std::string> ids;
  for (const auto& host : list.mHosts) {
    if (!ids.insert(host.mId).second) {
      return Failure(ErrorCode::kCorrupt, "host " + host.mId + " repeats");
    }
  }
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
  mManager.setProxy(QNetworkProxy::NoProxy);
  Poll();
}

HostListClient::~HostListClient()
{
  if (mReply) {
    mReply->disconnect();
    mReply->abort();
  }
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
  mReply = mManager.get(QNetworkRequest(mSettings.mUrl));
  auto* reply = mReply.data();
  QObject::connect(
    reply, &QNetworkReply::finished, reply, [this] { OnFinished(); });
  QObject::connect(reply,
                   &QNetworkReply::downloadProgress,
                   reply,
                   [reply](qint64 aReceived, qint64) {
                     if (aReceived > kMaxListBytes) {
                       reply->abort();
                     }
                   });
  // Aborting the reply makes it finish with an error.
  mDeadline = mScheduler.After(mSettings.mTimeout, [reply] { reply->abort(); });
}

void
HostListClient::OnFinished()
{
  mDeadline.Cancel();
  const auto status =
    mReply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  if (mReply->error() != QNetworkReply::NoError || status != 200) {
    Finish(Failure(ErrorCode::kUnavailable,
                   mReply->errorString().toStdString() + " (status " +
                     std::to_string(status) + ")"));
  } else {
    Finish(ParseHostList(mReply->readAll()));
  }
}

void
HostListClient::Finish(const Result<HostList>& aResult)
{
  mReply->deleteLater();
  mReply.clear();
  ScheduleNext();
  if (!aResult) {
    ++mFailedPolls;
    kLog.Warning("host list: " + aResult.error().mMessage);
    return;
  }
  if (aResult.value().mHosts.empty()) {
    ++mFailedPolls;
    kLog.Warning("host list: the list is empty; the last one stays in force");
    return;
  }
  mReceived = mScheduler.Now();
  if (mLast != aResult.value()) {
    mLast = aResult.value();
    mOnList(*mLast);
  }
}

} // namespace ragwortdeck
