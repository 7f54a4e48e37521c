#include "Controllers/TableWatcher.h"

#include "Controllers/TableFromKeys.h"
#include "Controllers/TableKeys.h"
#include "Core/Log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace ragwortdeck {

namespace {

const Log sLog("watcher");

KeyPrefixWatcherSettings
TableSettings()
{
  KeyPrefixWatcherSettings settings;
  settings.mPrefix = TableKeys::kTablePrefix;
  settings.mCheckKey = TableKeys::kHead;
  return settings;
}

KeyPrefixWatcherSettings
MarkSettings()
{
  KeyPrefixWatcherSettings settings;
  settings.mPrefix = TableKeys::kHostPrefix;
  settings.mCheckKey = TableKeys::kHostPrefix;
  settings.mCheckIsPrefix = true;
  return settings;
}

std::optional<MarkedHost>
ParseMark(const std::string& aJson)
{
  const auto object =
    QJsonDocument::fromJson(QByteArray::fromStdString(aJson)).object();
  const auto text = [&](const char* aName) {
    return object.value(QLatin1String(aName)).toString().toStdString();
  };
  MarkedHost mark;
  const auto kind = text("state");
  if (kind == "joining") {
    mark.mKind = MarkKind::kJoining;
  } else if (kind != "leaving") {
    return std::nullopt;
  }
  mark.mRole = text("role");
  mark.mAddress = text("address");
  mark.mFailureDomain = FailureDomain(text("failure_domain"));
  mark.mChecksFencing = object.value(QLatin1String("checks_fencing")).toBool();
  for (const auto& model : object.value(QLatin1String("models")).toArray()) {
    mark.mModels.emplace_back(model.toString().toStdString());
  }
  return mark;
}

std::string
HostOf(const std::string& aKey)
{
  return aKey.substr(std::string_view(TableKeys::kHostPrefix).size());
}

} // namespace

TableWatcher::TableWatcher(Scheduler& aScheduler,
                           RandomSource aRandom,
                           KeyValueStore& aStore,
                           Hooks aHooks)
  : mHooks(std::move(aHooks))
  , mTableKeys(
      aScheduler,
      aRandom.Split(),
      aStore,
      TableSettings(),
      { [this](const KeyRangeReply& aReply) { return TakeKeys(aReply); },
        [this](const KeyEventBatch& aBatch) { return TakeBatch(aBatch); },
        [this](const KeyRangeReply& aReply) { return IsAhead(aReply); } })
  , mMarkKeys(
      aScheduler,
      aRandom.Split(),
      aStore,
      MarkSettings(),
      { [this](const KeyRangeReply& aReply) { return TakeMarks(aReply); },
        [this](const KeyEventBatch& aBatch) { return TakeMarkBatch(aBatch); },
        // The check reads all marks anyway, so it applies them itself.
        [this](const KeyRangeReply& aReply) {
          TakeMarks(aReply);
          return false;
        } })
{
}

void
TableWatcher::Start()
{
  mTableKeys.Start();
  mMarkKeys.Start();
}

void
TableWatcher::Stop()
{
  mTableKeys.Stop();
  mMarkKeys.Stop();
}

bool
TableWatcher::TakeKeys(const KeyRangeReply& aReply)
{
  auto table = TableFromKeys(aReply);
  if (!table) {
    sLog.Error("table not usable: " + table.error().mMessage);
    return false;
  }
  mBase = table.value();
  mHooks.mOnTable(std::move(table).value());
  return true;
}

bool
TableWatcher::TakeBatch(const KeyEventBatch& aBatch)
{
  auto table = TableAfter(mBase, aBatch);
  if (!table) {
    sLog.Error("table change not usable: " + table.error().mMessage);
    return false;
  }
  if (table.value().mVersion != mBase.mVersion) {
    mBase = std::move(table).value();
    mHooks.mOnTable(mBase);
  }
  return true;
}

bool
TableWatcher::IsAhead(const KeyRangeReply& aReply) const
{
  for (const auto& key : aReply.mKeys) {
    if (key.mKey == TableKeys::kHead &&
        std::uint64_t(key.mVersion) > mBase.mVersion) {
      return true;
    }
  }
  return false;
}

std::map<std::string, MarkedHost>
TableWatcher::ParseMarks(const std::vector<KeyValue>& aKeys)
{
  std::map<std::string, MarkedHost> marks;
  for (const auto& key : aKeys) {
    const auto mark = ParseMark(key.mValue);
    if (!mark) {
      sLog.Error("the value of " + key.mKey + " is not a host mark");
      continue;
    }
    marks[HostOf(key.mKey)] = *mark;
  }
  return marks;
}

bool
TableWatcher::TakeMarks(const KeyRangeReply& aReply)
{
  const auto& current = mHooks.mMarks();
  if (aReply.mRevision <= current.mRevision) {
    return true;
  }
  auto marks = ParseMarks(aReply.mKeys);
  // The service's revision moves with every write. Unchanged marks keep the
  // old one, so that they are not sent to all hosts again.
  if (current.mRevision == 0 || marks != current.mMarks) {
    mHooks.mOnMarks({ aReply.mRevision, std::move(marks) });
  }
  return true;
}

bool
TableWatcher::TakeMarkBatch(const KeyEventBatch& aBatch)
{
  if (aBatch.mRevision <= mHooks.mMarks().mRevision) {
    return true;
  }
  auto marks = mHooks.mMarks();
  marks.mRevision = aBatch.mRevision;
  for (const auto& event : aBatch.mEvents) {
    const auto host = HostOf(event.mKey.mKey);
    const auto mark =
      event.mDeleted ? std::nullopt : ParseMark(event.mKey.mValue);
    if (mark) {
      marks.mMarks[host] = *mark;
    } else {
      marks.mMarks.erase(host);
    }
  }
  mHooks.mOnMarks(std::move(marks));
  return true;
}

} // namespace ragwortdeck
