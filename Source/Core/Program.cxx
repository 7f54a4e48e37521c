#include "Core/Program.h"

#include "Core/Log.h"

#include <exception>
#include <iostream>
#include <map>

namespace ragwortdeck {

namespace {

void
ConfigureLogging(SettingsSection aSection)
{
  static const std::map<std::string, LogLevel> sLevels = {
    { "debug", LogLevel::kDebug },
    { "info", LogLevel::kInfo },
    { "warning", LogLevel::kWarning },
    { "error", LogLevel::kError },
  };
  const auto level =
    aSection.Choice("level", { "debug", "info", "warning", "error" }, "info");
  const auto format = aSection.Choice("format", { "text", "json" }, "text");
  Log::Configure(sLevels.at(level),
                 format == "json" ? LogFormat::kJson : LogFormat::kText);
}

int
PrintErrors(const std::vector<SettingsError>& aErrors)
{
  for (const auto& error : aErrors) {
    std::cerr << ToText(error) << "\n";
  }
  return kExitSettings;
}

int
LoadAndRun(const ProgramSpec& aSpec,
           const std::string& aConfig,
           bool aCheckOnly)
{
  auto settings = aConfig.empty() ? Settings::FromText("{}", "(no settings)")
                                  : Settings::FromFile(aConfig);
  if (!settings.Errors().empty()) {
    return PrintErrors(settings.Errors());
  }
  ProgramSpec::Run run;
  {
    auto root = settings.Root();
    ConfigureLogging(root.Section("log"));
    run = aSpec.mLoad(root);
  }
  if (!settings.Errors().empty()) {
    return PrintErrors(settings.Errors());
  }
  if (aCheckOnly) {
    std::cout << aConfig << ": settings are valid\n";
    return kExitSuccess;
  }
  return run();
}

} // namespace

int
RunProgram(int argc, char** argv, const ProgramSpec& aSpec)
{
  std::string config;
  bool checkOnly = false;
  try {
    TCLAP::CmdLine line(aSpec.mDescription, ' ', RAGWORT_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> configArg(
      "c", "config", "Settings file (YAML)", false, "", "file", line);
    TCLAP::SwitchArg checkArg(
      "", "check-config", "Check the settings file and exit", line);
    if (aSpec.mAddArguments) {
      aSpec.mAddArguments(line);
    }
    line.parse(argc, argv);
    config = configArg.getValue();
    checkOnly = checkArg.getValue();
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << aSpec.mName << ": " << error.error() << " " << error.argId()
              << "\nTry '" << aSpec.mName << " --help'.\n";
    return kExitUsage;
  }
  try {
    return LoadAndRun(aSpec, config, checkOnly);
  } catch (const std::exception& error) {
    std::cerr << aSpec.mName << ": " << error.what() << "\n";
    return kExitFailure;
  }
}

} // namespace ragwortdeck
