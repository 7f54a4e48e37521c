#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace ragwortdeck {

/// \brief One wrong place in a settings file.
struct SettingsError
{
  std::string mFile;
  /// 1-based; 0 when the place has no line of its own.
  int mLine = 0;
  /// Path of the key, for example "limits.max_body_bytes".
  std::string mKey;
  /// What was expected, and what was found.
  std::string mExpected;

  bool operator==(const SettingsError&) const = default;
};

/// "file:line: key: expected ..." for a person.
std::string
ToText(const SettingsError& aError);

/// \brief An address a process listens on or connects to.
struct Endpoint
{
  /// Numeric IPv4 or IPv6 address.
  std::string mAddress;
  std::uint16_t mPort = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// "address:port", with brackets round IPv6.
std::string
ToText(const Endpoint& aEndpoint);

/// Reads what ToText() writes; nothing if the address is not numeric or the
/// port is not within 0 to 65535.
std::optional<Endpoint>
ParseEndpoint(const std::string& aText);

/// \brief One mapping of a settings file.
///
/// Each reader returns the value, or the fallback after it has recorded an
/// error; all errors of a file are thus reported at once. When the section
/// object is destroyed, keys that were never read are recorded as unknown.
class SettingsSection
{
public:
  SettingsSection(const YAML::Node& aNode,
                  std::string aFile,
                  std::string aPath,
                  std::shared_ptr<std::vector<SettingsError>> aErrors);
  ~SettingsSection();
  SettingsSection(SettingsSection&&) noexcept;
  SettingsSection(const SettingsSection&) = delete;
  SettingsSection& operator=(const SettingsSection&) = delete;
  SettingsSection& operator=(SettingsSection&&) = delete;

  bool Has(const std::string& aKey);
  std::string RequiredString(const std::string& aKey);
  std::string String(const std::string& aKey, const std::string& aFallback);
  /// One of aAllowed.
  std::string Choice(const std::string& aKey,
                     const std::vector<std::string>& aAllowed,
                     const std::string& aFallback);
  std::int64_t Integer(const std::string& aKey,
                       std::int64_t aFallback,
                       std::int64_t aMin,
                       std::int64_t aMax);
  double Number(const std::string& aKey,
                double aFallback,
                double aMin,
                double aMax);
  bool Boolean(const std::string& aKey, bool aFallback);
  /// An integer number of milliseconds; the key should end in "_ms".
  std::chrono::milliseconds Milliseconds(const std::string& aKey,
                                         std::chrono::milliseconds aFallback,
                                         std::chrono::milliseconds aMin,
                                         std::chrono::milliseconds aMax);
  Endpoint RequiredEndpoint(const std::string& aKey);
  std::vector<Endpoint> EndpointList(const std::string& aKey);
  std::vector<std::string> StringList(const std::string& aKey);
  /// A nested mapping; an absent one reads as empty.
  SettingsSection Section(const std::string& aKey);
  /// A list of mappings; an absent one reads as empty.
  std::vector<SettingsSection> Sections(const std::string& aKey);

  /// Records an error at a key, for checks that span several values.
  void Reject(const std::string& aKey, const std::string& aExpected);

private:
  YAML::Node Find(const std::string& aKey);
  std::string PathOf(const std::string& aKey) const;
  void Record(const YAML::Node& aNode,
              const std::string& aPath,
              const std::string& aExpected);
  void RecordUnknownKeys();

  YAML::Node mNode;
  std::string mFile;
  std::string mPath;
  std::shared_ptr<std::vector<SettingsError>> mErrors;
  std::vector<std::string> mRead;
};

/// \brief A settings file and the errors found in it.
class Settings
{
public:
  static Settings FromFile(const std::string& aFile);
  /// aName stands for the file name in errors.
  static Settings FromText(const std::string& aText, const std::string& aName);

  SettingsSection Root();
  /// All errors found so far, in order of line.
  std::vector<SettingsError> Errors() const;

private:
  Settings(const YAML::Node& aNode, std::string aFile);
  YAML::Node mNode;
  std::string mFile;
  std::shared_ptr<std::vector<SettingsError>> mErrors;
};

} // namespace ragwortdeck
