#include "Controllers/ActionRecord.h"

#include <QCryptographicHash>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

namespace ragwortdeck {

namespace {

std::string
Encoded(const std::string& aPart)
{
  return QUrl::toPercentEncoding(QString::fromStdString(aPart)).toStdString();
}

QString
StateText(ActionState aState)
{
  switch (aState) {
    case ActionState::kIntent:
      return "intent";
    case ActionState::kOutcome:
      return "outcome";
    case ActionState::kAbandoned:
      return "abandoned";
  }
  return "intent";
}

std::optional<ActionState>
StateOf(const QString& aText)
{
  for (const auto state : { ActionState::kIntent,
                            ActionState::kOutcome,
                            ActionState::kAbandoned }) {
    if (StateText(state) == aText) {
      return state;
    }
  }
  return std::nullopt;
}

QJsonObject
OutcomeToJson(const ActionOutcome& aOutcome)
{
  // Base64, because the body of a service need not be text.
  const QByteArray body(aOutcome.mBody.data(),
                        qsizetype(aOutcome.mBody.size()));
  return { { "status", aOutcome.mStatus },
           { "content_type", QString::fromStdString(aOutcome.mContentType) },
           { "body", QString::fromLatin1(body.toBase64()) },
           { "body_kept", aOutcome.mBodyKept },
           { "body_digest", QString::fromStdString(aOutcome.mBodyDigest) } };
}

ActionOutcome
OutcomeFromJson(const QJsonObject& aJson)
{
  ActionOutcome outcome;
  outcome.mStatus = aJson["status"].toInt();
  outcome.mContentType = aJson["content_type"].toString().toStdString();
  outcome.mBody =
    QByteArray::fromBase64(aJson["body"].toString().toLatin1()).toStdString();
  outcome.mBodyKept = aJson["body_kept"].toBool();
  outcome.mBodyDigest = aJson["body_digest"].toString().toStdString();
  return outcome;
}

} // namespace

std::string
ActionRecordKey(const TeamName& aTeam,
                const std::string& aOperation,
                const std::string& aIdempotencyKey)
{
  return "/ragwort/actions/" + Encoded(aTeam.Value()) + '/' +
         Encoded(aOperation) + '/' + Encoded(aIdempotencyKey);
}

std::string
EncodeActionRecord(const ActionRecord& aRecord)
{
  const auto created = aRecord.mCreated.time_since_epoch();
  QJsonObject json{
    { "state", StateText(aRecord.mState) },
    { "attempt", QString::fromStdString(aRecord.mAttempt) },
    { "host", QString::fromStdString(aRecord.mHost.Value()) },
    { "request_digest", QString::fromStdString(aRecord.mRequestDigest) },
    { "created_us", qint64(created.count()) },
  };
  if (aRecord.mState == ActionState::kOutcome) {
    json["outcome"] = OutcomeToJson(aRecord.mOutcome);
  }
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<ActionRecord>
DecodeActionRecord(const std::string& aText)
{
  const auto document =
    QJsonDocument::fromJson(QByteArray::fromStdString(aText));
  const auto json = document.object();
  const auto state = StateOf(json["state"].toString());
  if (!state || json["attempt"].toString().isEmpty()) {
    return std::nullopt;
  }
  if (*state == ActionState::kOutcome && !json["outcome"].isObject()) {
    return std::nullopt;
  }
  ActionRecord record;
  record.mState = *state;
  record.mAttempt = json["attempt"].toString().toStdString();
  record.mHost = HostId(json["host"].toString().toStdString());
  record.mRequestDigest = json["request_digest"].toString().toStdString();
  record.mCreated = WallTime(Duration(json["created_us"].toInteger()));
  if (*state == ActionState::kOutcome) {
    record.mOutcome = OutcomeFromJson(json["outcome"].toObject());
  }
  return record;
}

std::string
ActionDigest(const std::string& aBody)
{
  const QByteArray body(aBody.data(), qsizetype(aBody.size()));
  return QCryptographicHash::hash(body, QCryptographicHash::Sha256)
    .toHex()
    .toStdString();
}

} // namespace ragwortdeck
