#pragma once

#include <string>

namespace ragwortdeck {

enum class LogLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

enum class LogFormat
{
  kText,
  kJson,
};

/// \brief Logger of one part, with a fixed prefix. Thread-safe.
class Log
{
public:
  /// aPart is the prefix of each line, for example "relay".
  explicit Log(const char* aPart)
    : mPart(aPart)
  {
  }

  /// Sends log lines of this process to standard error.
  static void Configure(LogLevel aLevel, LogFormat aFormat);

  void Debug(const std::string& aMessage) const;
  void Info(const std::string& aMessage) const;
  void Warning(const std::string& aMessage) const;
  void Error(const std::string& aMessage) const;

private:
  const char* mPart;
};

} // namespace ragwortdeck
