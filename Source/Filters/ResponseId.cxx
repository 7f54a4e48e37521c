#include "Filters/ResponseId.h"

#include <QByteArray>
#include <msgpack.hpp>
#include <tuple>

namespace ragwortdeck {

namespace {

constexpr std::string_view kPrefix = "resp_";
constexpr std::string_view kPurpose = "response";
constexpr qsizetype kMacBytes = 32;
constexpr std::size_t kMaxIdBytes = 2048;

/// Target, engine-side id, attempt, team, key id.
using Fields =
  std::tuple<std::string, std::string, std::uint32_t, std::string, std::string>;

auto
NotFound()
{
  return Failure(ErrorCode::kNotFound, "no response with this id");
}

std::string_view
AsView(const QByteArray& aBytes)
{
  return { aBytes.constData(), std::size_t(aBytes.size()) };
}

} // namespace

std::string
EncodeResponseId(const ResponseIdentity& aIdentity, const KeyRing& aKeys)
{
  const Fields fields{ aIdentity.mAttempt.mTarget.Value(),
                       aIdentity.mAttempt.mEngineId,
                       aIdentity.mAttempt.mNumber,
                       aIdentity.mTeam.Value(),
                       aKeys.SigningKeyId() };
  msgpack::sbuffer buf;
  msgpack::pack(buf, fields);
  QByteArray bytes(buf.data(), qsizetype(buf.size()));
  bytes += aKeys.Sign(kPurpose, AsView(bytes));
  const auto text = bytes.toBase64(QByteArray::Base64UrlEncoding |
                                   QByteArray::OmitTrailingEquals);
  return std::string(kPrefix) + text.toStdString();
}

Result<Attempt>
DecodeResponseId(std::string_view aId,
                 const TeamName& aTeam,
                 const KeyRing& aKeys)
{
  if (!aId.starts_with(kPrefix) || aId.size() > kMaxIdBytes) {
    return NotFound();
  }
  const auto text = aId.substr(kPrefix.size());
  const auto decoded = QByteArray::fromBase64Encoding(
    QByteArray(text.data(), qsizetype(text.size())),
    QByteArray::Base64UrlEncoding | QByteArray::AbortOnBase64DecodingErrors);
  if (!decoded || decoded.decoded.size() <= kMacBytes) {
    return NotFound();
  }
  const auto body = decoded.decoded.chopped(kMacBytes);
  const auto mac = decoded.decoded.right(kMacBytes);
  Fields fields;
  try {
    std::size_t used = 0;
    const auto handle =
      msgpack::unpack(body.constData(), std::size_t(body.size()), used);
    if (used != std::size_t(body.size())) {
      return NotFound();
    }
    handle.get().convert(fields);
  } catch (const msgpack::unpack_error&) {
    return NotFound();
  } catch (const msgpack::type_error&) {
    return NotFound();
  }
  const auto& [target, engineId, attempt, team, keyId] = fields;
  if (!aKeys.Verify(keyId, kPurpose, AsView(body), mac) ||
      team != aTeam.Value()) {
    return NotFound();
  }
  return Attempt{ attempt, TargetId(target), engineId };
}

} // namespace ragwortdeck
