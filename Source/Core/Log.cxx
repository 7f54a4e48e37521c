#include "Core/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace ragwortdeck {

namespace {

log4cxx::LevelPtr
ToLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::LayoutPtr
MakeLayout(LogFormat aFormat)
{
  if (aFormat == LogFormat::kJson) {
    return std::make_shared<log4cxx::JSONLayout>();
  }
  return std::make_shared<log4cxx::PatternLayout>(
    LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p [%c] %m%n"));
}

void
Write(const char* aPart,
      const log4cxx::LevelPtr& aLevel,
      const std::string& aMessage)
{
  const auto logger = log4cxx::Logger::getLogger(std::string(aPart));
  if (logger->isEnabledFor(aLevel)) {
    logger->forcedLog(aLevel, aMessage);
  }
}

} // namespace

void
Log::Configure(LogLevel aLevel, LogFormat aFormat)
{
  auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
    MakeLayout(aFormat), LOG4CXX_STR("System.err")));
  root->setLevel(ToLevel(aLevel));
}

void
Log::Debug(const std::string& aMessage) const
{
  Write(mPart, log4cxx::Level::getDebug(), aMessage);
}

void
Log::Info(const std::string& aMessage) const
{
  Write(mPart, log4cxx::Level::getInfo(), aMessage);
}

void
Log::Warning(const std::string& aMessage) const
{
  Write(mPart, log4cxx::Level::getWarn(), aMessage);
}

void
Log::Error(const std::string& aMessage) const
{
  Write(mPart, log4cxx::Level::getError(), aMessage);
}

} // namespace ragwortdeck
