#include "Filters/ParseFilter.h"

#include "Core/HttpStatus.h"
#include "Filters/ResponseId.h"

#include <QJsonDocument>
#include <QUrlQuery>

namespace ragwortdeck {

namespace {

constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr double kMaxOutputTokens = 4294967295.0;

Verdict
BadRequest(std::string aCode, std::string aMessage)
{
  return Refusal(kStatusBadRequest, std::move(aCode), std::move(aMessage));
}

/// The part of a path between the given slashes, counted from 0.
std::string
PathPart(const std::string& aPath, int aIndex)
{
  return QString::fromStdString(aPath)
    .section('/', aIndex, aIndex)
    .toStdString();
}

bool
IsName(const std::string& aText)
{
  if (aText.empty() || aText.front() == '.') {
    return false;
  }
  return aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "0123456789-_.") == std::string::npos;
}

bool
IsPrintable(const std::string& aText)
{
  for (const unsigned char c : aText) {
    if (c < 0x21 || c > 0x7e) {
      return false;
    }
  }
  return true;
}

} // namespace

std::optional<Verdict>
ParseFilter::Apply(RequestContext& aContext) const
{
  switch (aContext.mRoute) {
    case Route::kCreateResponse:
      return ParseCreate(aContext);
    case Route::kReadResponse:
    case Route::kCancelResponse:
      return ParseExisting(aContext);
    case Route::kCallService:
      return ParseService(aContext);
    case Route::kListModels:
      break;
  }
  return std::nullopt;
}

std::optional<Verdict>
ParseFilter::ParseCreate(RequestContext& aContext) const
{
  QJsonParseError error;
  const auto document = QJsonDocument::fromJson(
    QByteArray::fromStdString(aContext.mRequest.mBody), &error);
  if (!document.isObject()) {
    return BadRequest(
      "invalid_json",
      "The body is not a JSON object: " + error.errorString().toStdString() +
        " at byte " + std::to_string(error.offset) + ".");
  }
  aContext.mBody = document.object();
  const auto& body = aContext.mBody;
  if (!body["model"].isString() || body["model"].toString().isEmpty()) {
    return BadRequest("invalid_model", "'model' must be a non-empty string.");
  }
  if (!body["input"].isString() && !body["input"].isArray()) {
    return BadRequest("invalid_input", "'input' must be a string or a list.");
  }
  const auto stream = body["stream"];
  if (!stream.isUndefined() && !stream.isBool()) {
    return BadRequest("invalid_stream", "'stream' must be true or false.");
  }
  aContext.mStreams = stream.toBool(false);
  const auto limit = body["max_output_tokens"];
  if (!limit.isUndefined() && !limit.isNull()) {
    const auto value = limit.toDouble(0);
    if (value < 1 || value > kMaxOutputTokens ||
        value != double(qint64(value))) {
      return BadRequest("invalid_max_output_tokens",
                        "'max_output_tokens' must be a positive integer.");
    }
  }
  const auto metadata = body["metadata"];
  const bool hasMetadata = !metadata.isUndefined() && !metadata.isNull();
  const auto kind = metadata["kind"];
  if ((hasMetadata && !metadata.isObject()) ||
      (!kind.isUndefined() && !kind.isString())) {
    return BadRequest("invalid_metadata",
                      "'metadata' must be an object, and 'metadata.kind' a "
                      "string.");
  }
  return std::nullopt;
}

std::optional<Verdict>
ParseFilter::ParseExisting(RequestContext& aContext) const
{
  const auto id = PathPart(aContext.mRequest.mPath, 3);
  auto attempt = DecodeResponseId(id, aContext.mTeam, mKeys);
  if (!attempt) {
    return Refusal(kStatusNotFound,
                   "response_not_found",
                   "This team has no response with this id.");
  }
  aContext.mExisting = std::move(attempt.value());
  const QUrlQuery query(QString::fromStdString(aContext.mRequest.mQuery));
  aContext.mStreams = query.queryItemValue("stream") == "true";
  if (query.hasQueryItem("starting_after")) {
    bool isNumber = false;
    const auto after =
      query.queryItemValue("starting_after").toLongLong(&isNumber);
    if (!isNumber || after < 0) {
      return BadRequest("invalid_starting_after",
                        "'starting_after' must be a sequence number.");
    }
    aContext.mStartingAfter = after;
  }
  return std::nullopt;
}

std::optional<Verdict>
ParseFilter::ParseService(RequestContext& aContext) const
{
  aContext.mService = PathPart(aContext.mRequest.mPath, 3);
  aContext.mOperation = PathPart(aContext.mRequest.mPath, 4);
  if (!IsName(aContext.mService) || !IsName(aContext.mOperation)) {
    return Refusal(kStatusNotFound,
                   "path_not_found",
                   "Use /v1/services/{service}/{operation}.");
  }
  const auto& key = aContext.mRequest.mIdempotencyKey;
  if (key.size() > kMaxIdempotencyKeyBytes || !IsPrintable(key)) {
    return BadRequest("invalid_idempotency_key",
                      "'Idempotency-Key' must be at most 255 printable ASCII "
                      "characters.");
  }
  return std::nullopt;
}

} // namespace ragwortdeck
