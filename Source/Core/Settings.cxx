#include "Core/Settings.h"

#include <QFile>
#include <QHostAddress>
#include <algorithm>
#include <charconv>
#include <sstream>

namespace ragwortdeck {

namespace {

template<typename T>
std::optional<T>
ParseScalar(const YAML::Node& aNode)
{
  T value{};
  if (aNode.IsScalar() && YAML::convert<T>::decode(aNode, value)) {
    return value;
  }
  return std::nullopt;
}

std::string
Describe(const YAML::Node& aNode)
{
  if (aNode.IsScalar()) {
    return "'" + aNode.Scalar() + "'";
  }
  if (aNode.IsSequence()) {
    return "a list";
  }
  return aNode.IsMap() ? "a mapping" : "nothing";
}

std::string
JoinChoices(const std::vector<std::string>& aChoices)
{
  std::string text;
  for (const auto& choice : aChoices) {
    text += (text.empty() ? "" : ", ") + choice;
  }
  return text;
}

} // namespace

std::string
ToText(const SettingsError& aError)
{
  std::string text = aError.mFile;
  if (aError.mLine > 0) {
    text += ":" + std::to_string(aError.mLine);
  }
  if (!aError.mKey.empty()) {
    text += ": " + aError.mKey;
  }
  return text + ": " + aError.mExpected;
}

std::string
ToText(const Endpoint& aEndpoint)
{
  const bool isV6 = aEndpoint.mAddress.find(':') != std::string::npos;
  const auto host = isV6 ? "[" + aEndpoint.mAddress + "]" : aEndpoint.mAddress;
  return host + ":" + std::to_string(aEndpoint.mPort);
}

std::optional<Endpoint>
ParseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  auto host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  if (QHostAddress(QString::fromStdString(host)).isNull()) {
    return std::nullopt;
  }
  return Endpoint{ host, port };
}

SettingsSection::SettingsSection(
  const YAML::Node& aNode,
  std::string aFile,
  std::string aPath,
  std::shared_ptr<std::vector<SettingsError>> aErrors)
  : mNode(aNode)
  , mFile(std::move(aFile))
  , mPath(std::move(aPath))
  , mErrors(std::move(aErrors))
{
  if (mNode.IsDefined() && !mNode.IsNull() && !mNode.IsMap()) {
    Record(mNode, mPath, "expected a mapping, found " + Describe(mNode));
    mNode = YAML::Node();
  }
}

SettingsSection::SettingsSection(SettingsSection&&) noexcept = default;

SettingsSection::~SettingsSection()
{
  if (mErrors) {
    RecordUnknownKeys();
  }
}

void
SettingsSection::RecordUnknownKeys()
{
  if (!mNode.IsMap()) {
    return;
  }
  for (const auto& entry : mNode) {
    const auto key = entry.first.Scalar();
    if (std::find(mRead.begin(), mRead.end(), key) == mRead.end()) {
      Record(entry.first, PathOf(key), "unknown key");
    }
  }
}

std::string
SettingsSection::PathOf(const std::string& aKey) const
{
  return mPath.empty() ? aKey : mPath + "." + aKey;
}

void
SettingsSection::Record(const YAML::Node& aNode,
                        const std::string& aPath,
                        const std::string& aExpected)
{
  const int line = aNode.IsDefined() ? aNode.Mark().line + 1 : 0;
  mErrors->push_back({ mFile, line, aPath, aExpected });
}

YAML::Node
SettingsSection::Find(const std::string& aKey)
{
  mRead.push_back(aKey);
  if (!mNode.IsMap()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  const YAML::Node& node = mNode;
  return node[aKey];
}

bool
SettingsSection::Has(const std::string& aKey)
{
  return Find(aKey).IsDefined();
}

void
SettingsSection::Reject(const std::string& aKey, const std::string& aExpected)
{
  const auto node = Find(aKey);
  Record(node.IsDefined() ? node : mNode, PathOf(aKey), aExpected);
}

std::string
SettingsSection::RequiredString(const std::string& aKey)
{
  const auto node = Find(aKey);
  if (!node.IsDefined()) {
    Record(mNode, PathOf(aKey), "missing; expected a string");
    return {};
  }
  return String(aKey, {});
}

std::string
SettingsSection::String(const std::string& aKey, const std::string& aFallback)
{
  const auto node = Find(aKey);
  if (!node.IsDefined()) {
    return aFallback;
  }
  if (!node.IsScalar() || node.Scalar().empty()) {
    Record(node,
           PathOf(aKey),
           "expected a non-empty string, found " + Describe(node));
    return aFallback;
  }
  return node.Scalar();
}

std::string
SettingsSection::Choice(const std::string& aKey,
                        const std::vector<std::string>& aAllowed,
                        const std::string& aFallback)
{
  auto value = String(aKey, aFallback);
  if (std::find(aAllowed.begin(), aAllowed.end(), value) == aAllowed.end()) {
    Reject(aKey,
           "expected one of " + JoinChoices(aAllowed) + ", found '" + value +
             "'");
    return aFallback;
  }
  return value;
}

std::int64_t
SettingsSection::Integer(const std::string& aKey,
                         std::int64_t aFallback,
                         std::int64_t aMin,
                         std::int64_t aMax)
{
  const auto node = Find(aKey);
  if (!node.IsDefined()) {
    return aFallback;
  }
  const auto value = ParseScalar<std::int64_t>(node);
  if (!value || *value < aMin || *value > aMax) {
    Record(node,
           PathOf(aKey),
           "expected an integer from " + std::to_string(aMin) + " to " +
             std::to_string(aMax) + ", found " + Describe(node));
    return aFallback;
  }
  return *value;
}

double
SettingsSection::Number(const std::string& aKey,
                        double aFallback,
                        double aMin,
                        double aMax)
{
  const auto node = Find(aKey);
  if (!node.IsDefined()) {
    return aFallback;
  }
  const auto value = ParseScalar<double>(node);
  if (!value || !(*value >= aMin && *value <= aMax)) {
    std::ostringstream expected;
    expected << "expected a number from " << aMin << " to " << aMax
             << ", found " << Describe(node);
    Record(node, PathOf(aKey), expected.str());
    return aFallback;
  }
  return *value;
}

bool
SettingsSection::Boolean(const std::string& aKey, bool aFallback)
{
  const auto node = Find(aKey);
  if (!node.IsDefined()) {
    return aFallback;
  }
  const auto value = ParseScalar<bool>(node);
  if (!value) {
    Record(
      node, PathOf(aKey), "expected true or false, found " + Describe(node));
    return aFallback;
  }
  return *value;
}

std::chrono::milliseconds
SettingsSection::Milliseconds(const std::string& aKey,
                              std::chrono::milliseconds aFallback,
                              std::chrono::milliseconds aMin,
                              std::chrono::milliseconds aMax)
{
  return std::chrono::milliseconds(
    Integer(aKey, aFallback.count(), aMin.count(), aMax.count()));
}

Endpoint
SettingsSection::RequiredEndpoint(const std::string& aKey)
{
  const auto text = RequiredString(aKey);
  if (text.empty()) {
    return {};
  }
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    Reject(aKey,
           "expected <IP address>:<port>, for example 127.0.0.1:8080, found '" +
             text + "'");
    return {};
  }
  return *endpoint;
}

std::vector<std::string>
SettingsSection::StringList(const std::string& aKey)
{
  std::vector<std::string> values;
  const auto node = Find(aKey);
  if (!node.IsDefined()) {
    return values;
  }
  if (!node.IsSequence()) {
    Record(node, PathOf(aKey), "expected a list, found " + Describe(node));
    return values;
  }
  for (const auto& item : node) {
    if (!item.IsScalar()) {
      Record(item, PathOf(aKey), "expected a string, found " + Describe(item));
      continue;
    }
    values.push_back(item.Scalar());
  }
  return values;
}

std::vector<Endpoint>
SettingsSection::EndpointList(const std::string& aKey)
{
  std::vector<Endpoint> endpoints;
  for (const auto& text : StringList(aKey)) {
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      Reject(aKey, "expected <IP address>:<port>, found '" + text + "'");
      continue;
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

SettingsSection
SettingsSection::Section(const std::string& aKey)
{
  // A node that was not found must not be assigned to: yaml-cpp throws.
  const auto node = Find(aKey);
  return SettingsSection(
    node.IsDefined() ? node : YAML::Node(), mFile, PathOf(aKey), mErrors);
}

std::vector<SettingsSection>
SettingsSection::Sections(const std::string& aKey)
{
  std::vector<SettingsSection> sections;
  const auto node = Find(aKey);
  if (!node.IsDefined()) {
    return sections;
  }
  if (!node.IsSequence()) {
    Record(node,
           PathOf(aKey),
           "expected a list of mappings, found " + Describe(node));
    return sections;
  }
  for (std::size_t n = 0; n < node.size(); ++n) {
    sections.emplace_back(
      node[n], mFile, PathOf(aKey) + "[" + std::to_string(n) + "]", mErrors);
  }
  return sections;
}

Settings::Settings(const YAML::Node& aNode, std::string aFile)
  : mNode(aNode)
  , mFile(std::move(aFile))
  , mErrors(std::make_shared<std::vector<SettingsError>>())
{
}

Settings
Settings::FromFile(const std::string& aFile)
{
  QFile file(QString::fromStdString(aFile));
  if (!file.open(QIODevice::ReadOnly)) {
    Settings settings{ YAML::Node(), aFile };
    settings.mErrors->push_back(
      { aFile, 0, {}, "cannot read: " + file.errorString().toStdString() });
    return settings;
  }
  return FromText(file.readAll().toStdString(), aFile);
}

Settings
Settings::FromText(const std::string& aText, const std::string& aName)
{
  try {
    return Settings{ YAML::Load(aText), aName };
  } catch (const YAML::Exception& error) {
    Settings settings{ YAML::Node(), aName };
    settings.mErrors->push_back(
      { aName, error.mark.line + 1, {}, "not valid YAML: " + error.msg });
    return settings;
  }
}

SettingsSection
Settings::Root()
{
  return SettingsSection(mNode, mFile, {}, mErrors);
}

std::vector<SettingsError>
Settings::Errors() const
{
  auto errors = *mErrors;
  std::stable_sort(errors.begin(),
                   errors.end(),
                   [](const SettingsError& aLeft, const SettingsError& aRight) {
                     return aLeft.mLine < aRight.mLine;
                   });
  return errors;
}

} // namespace ragwortdeck
