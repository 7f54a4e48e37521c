#pragma once

#include "Core/Settings.h"

#include <functional>
#include <string>
#include <tclap/CmdLine.h>

namespace ragwortdeck {

/// Exit codes shared by all binaries.
enum ExitCode : int
{
  kExitSuccess = 0,
  kExitFailure = 1,
  kExitUsage = 2,
  kExitSettings = 3,
  kExitAddressInUse = 4,
  kExitConflict = 5,
  kExitUnavailable = 6,
};

/// \brief What one binary adds to the common command line and settings.
struct ProgramSpec
{
  using Run = std::function<int()>;

  std::string mName;
  std::string mDescription;
  /// Adds arguments of the binary's own; may be empty.
  std::function<void(TCLAP::CmdLine&)> mAddArguments;
  /// Reads the settings and returns the function that runs the program. The
  /// returned function is called only when no settings error was recorded.
  std::function<Run(SettingsSection&)> mLoad;
};

/// Parses the command line (--help, --version, --config, --check-config),
/// reads and checks the settings, configures logging from the settings' "log"
/// section, and runs the program. Returns the exit code.
int
RunProgram(int argc, char** argv, const ProgramSpec& aSpec);

} // namespace ragwortdeck
