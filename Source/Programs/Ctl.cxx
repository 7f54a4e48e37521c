#include "Core/KeySettings.h"
#include "Core/Program.h"
#include "Core/QtScheduler.h"
#include "Core/TlsFiles.h"
#include "Ctl/CtlContext.h"
#include "Platform/HttpKeyValueStore.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <iostream>

namespace ragwortdeck {

namespace {

/// \brief The command line of ragwort-ctl besides the common arguments.
struct CtlCommandLine
{
  std::unique_ptr<TCLAP::SwitchArg> mJson;
  std::unique_ptr<TCLAP::ValueArg<std::string>> mAuthor;
  std::unique_ptr<TCLAP::MultiArg<std::string>> mIfValue;
  std::unique_ptr<TCLAP::ValueArg<unsigned>> mLimit;
  std::unique_ptr<TCLAP::ValueArg<std::string>> mBase;
  std::unique_ptr<TCLAP::MultiArg<std::string>> mInput;
  std::unique_ptr<TCLAP::ValueArg<std::string>> mRequest;
  std::unique_ptr<TCLAP::ValueArg<std::string>> mHost;
  std::unique_ptr<TCLAP::ValueArg<std::int64_t>> mFromMs;
  std::unique_ptr<TCLAP::ValueArg<std::int64_t>> mToMs;
  std::unique_ptr<TCLAP::ValueArg<std::string>> mFormat;
  std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> mWords;

  void AddTo(TCLAP::CmdLine& aLine)
  {
    const auto text =
      [&aLine](const char* aName, const char* aHelp, const char* aType) {
        return std::make_unique<TCLAP::ValueArg<std::string>>(
          "", aName, aHelp, false, "", aType, aLine);
      };
    mJson =
      std::make_unique<TCLAP::SwitchArg>("", "json", "Output as JSON", aLine);
    mAuthor = text("author", "Author of edits (default: settings)", "name");
    mIfValue = std::make_unique<TCLAP::MultiArg<std::string>>(
      "",
      "if-value",
      "Edit only if the cell has this value; '-' means not set",
      false,
      "old",
      aLine);
    mLimit = std::make_unique<TCLAP::ValueArg<unsigned>>(
      "", "limit", "Most edits to show", false, 20, "n", aLine);
    mBase = text(
      "base", "Earlier export; only what differs is imported", "directory");
    mInput = std::make_unique<TCLAP::MultiArg<std::string>>(
      "", "input", "Events as JSON lines", false, "file", aLine);
    mRequest = text("request", "Only events of this request", "id");
    mHost = text("host", "Only events of this host", "host");
    mFromMs = std::make_unique<TCLAP::ValueArg<std::int64_t>>(
      "", "from-ms", "Start, ms since 1970", false, 0, "ms", aLine);
    mToMs = std::make_unique<TCLAP::ValueArg<std::int64_t>>(
      "", "to-ms", "End, ms since 1970", false, 0, "ms", aLine);
    mFormat = text("format", "Time line as text, json or html", "format");
    mWords = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
      "command",
      "Command and its words; without any, all commands are listed",
      false,
      "words",
      aLine);
  }

  CtlArguments Arguments() const
  {
    CtlArguments arguments;
    arguments.mWords = mWords->getValue();
    arguments.mIfValues = mIfValue->getValue();
    arguments.mLimit = mLimit->getValue();
    arguments.mBase = mBase->getValue();
    arguments.mInputs = mInput->getValue();
    arguments.mRequest = mRequest->getValue();
    arguments.mHost = mHost->getValue();
    arguments.mFromMs = mFromMs->getValue();
    arguments.mToMs = mToMs->getValue();
    arguments.mFormat = mFormat->getValue();
    return arguments;
  }
};

/// \brief Settings of ragwort-ctl.
struct CtlSettings
{
  KeyValueSettings mKeyValue;
  std::string mAuthor;
  std::optional<KeyRing> mKeys;
  TlsFiles mPeerTls;
};

CtlSettings
ReadSettings(SettingsSection& aRoot)
{
  CtlSettings settings;
  // Commands without the key-value service need no section for it.
  if (aRoot.Has("key_value")) {
    settings.mKeyValue = KeyValueSettings::Read(aRoot.Section("key_value"));
  }
  settings.mAuthor = aRoot.String("author", "operator");
  const auto keys = ReadSharedKeys(aRoot);
  if (!keys.empty()) {
    settings.mKeys = MakeKeyRing(aRoot, keys);
  }
  settings.mPeerTls = ReadPeerTls(aRoot.Section("peer_tls"));
  return settings;
}

void
WaitUntil(const std::function<bool()>& aDone)
{
  while (!aDone()) {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
}

int
RunCommand(int& argc,
           char** argv,
           const CtlSettings& aSettings,
           const CtlCommandLine& aLine)
{
  auto arguments = aLine.Arguments();
  const auto commands = AllCtlCommands();
  const auto* command = FindCtlCommand(commands, arguments, std::cerr);
  if (command == nullptr) {
    return kExitUsage;
  }
  if (command->mNeedsStore && aSettings.mKeyValue.mEndpoints.empty()) {
    std::cerr << "ragwort-ctl: this command needs key_value.endpoints in the "
                 "settings file\n";
    return kExitSettings;
  }
  const auto tls = LoadTls(aSettings.mPeerTls);
  if (!tls) {
    std::cerr << "ragwort-ctl: " << tls.error().mMessage << "\n";
    return kExitSettings;
  }
  QCoreApplication app(argc, argv);
  QtScheduler scheduler;
  HttpKeyValueStore store(scheduler, aSettings.mKeyValue);
  RandomSource random(RandomSource::SystemSeed());
  const auto& author = aLine.mAuthor->getValue();
  CtlContext context{
    scheduler,       store,
    random,          author.empty() ? aSettings.mAuthor : author,
    aSettings.mKeys, aLine.mJson->getValue(),
    std::cout,       std::cerr,
    WaitUntil,       tls.value()
  };
  return command->mRun(context, arguments);
}

} // namespace

} // namespace ragwortdeck

/// Operators' tool: table, host marks, team keys and the time line.
int
main(int argc, char** argv)
{
  using namespace ragwortdeck;
  CtlCommandLine line;
  ProgramSpec spec;
  spec.mName = "ragwort-ctl";
  spec.mDescription =
    "Edits the operators' table and host marks. Run it without a command for "
    "the list of commands.";
  spec.mAddArguments = [&line](TCLAP::CmdLine& aLine) { line.AddTo(aLine); };
  spec.mLoad = [&](SettingsSection& aRoot) -> ProgramSpec::Run {
    const auto settings = ReadSettings(aRoot);
    return [settings, &line, &argc, argv] {
      return RunCommand(argc, argv, settings, line);
    };
  };
  return RunProgram(argc, argv, spec);
}
