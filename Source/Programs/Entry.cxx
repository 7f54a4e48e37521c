#include "Core/Program.h"
#include "Entry/EntryProcess.h"
#include "FleetCodec.h"

#include <malloc.h>

/// Runs the process of an entry host on the users' platform.
int
main(int argc, char** argv)
{
  using namespace ragwortdeck;
  // One thread does all the work, so one malloc arena is enough.
  constexpr int kTrimBytes = 128 * 1024;
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
  std::string settingsFile;
  for (int i = 1; i + 1 < argc; ++i) {
    if (std::string(argv[i]) == "--config") {
      settingsFile = argv[i + 1];
    }
  }
  ProgramSpec spec;
  spec.mName = "ragwort-entry";
  spec.mDescription = "Serves callers on an entry host of the platform";
  spec.mLoad = [&](SettingsSection& aRoot) -> ProgramSpec::Run {
    const auto settings = ReadEntrySettings(aRoot);
    return [settings, settingsFile] {
      FleetCodec codec;
      EntryProcess process(codec, settings, [settingsFile] {
        auto parsed = Settings::FromFile(settingsFile);
        std::optional<EntrySettings> reloaded;
        {
          auto root = parsed.Root();
          reloaded = ReadEntrySettings(root);
        }
        return parsed.Errors().empty() ? reloaded : std::nullopt;
      });
      return process.Run();
    };
  };
  return RunProgram(argc, argv, spec);
}
