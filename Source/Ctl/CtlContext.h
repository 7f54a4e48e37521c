#pragma once

#include "Core/KeyRing.h"
#include "Core/Program.h"
#include "Core/RandomSource.h"
#include "Core/Scheduler.h"
#include "Platform/KeyValueStore.h"

#include <QJsonObject>
#include <QSslConfiguration>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief What a command of ragwort-ctl works with.
struct CtlContext
{
  Scheduler& mScheduler;
  KeyValueStore& mStore;
  RandomSource& mRandom;
  /// Name of the operator, for edit records.
  std::string mAuthor;
  std::optional<KeyRing> mKeys;
  /// Output as JSON instead of text.
  bool mJson = false;
  std::ostream& mOut;
  std::ostream& mErr;
  /// Runs the event loop until the condition holds.
  std::function<void(const std::function<bool()>&)> mWaitUntil;
  /// TLS towards control processes; none when they use none.
  std::optional<QSslConfiguration> mPeerTls{};

  /// Starts an asynchronous call and waits for its result.
  template<typename T>
  T Await(const std::function<void(std::function<void(T)>)>& aStart)
  {
    std::optional<T> result;
    aStart([&result](T aValue) { result.emplace(std::move(aValue)); });
    mWaitUntil([&result] { return result.has_value(); });
    return std::move(*result);
  }
};

/// \brief The words of a command after its group and name, and its options.
struct CtlArguments
{
  std::vector<std::string> mWords;
  /// --if-value, in order.
  std::vector<std::string> mIfValues;
  /// --limit, for history.
  std::size_t mLimit = 20;
  /// --base, for import.
  std::string mBase;
  /// --input, for the time line.
  std::vector<std::string> mInputs;
  /// --request, --host, --from-ms, --to-ms and --format, for the time line.
  std::string mRequest;
  std::string mHost;
  std::int64_t mFromMs = 0;
  std::int64_t mToMs = 0;
  std::string mFormat;
};

/// \brief One command, for example "table set".
struct CtlCommand
{
  std::string mGroup;
  /// Empty when the group has only this command.
  std::string mName;
  /// Words after the name, for the help text.
  std::string mUsage;
  std::string mHelp;
  std::size_t mMinWords = 0;
  std::size_t mMaxWords = 0;
  /// True when the command calls the key-value service.
  bool mNeedsStore = true;
  /// Returns an exit code.
  std::function<int(CtlContext&, const CtlArguments&)> mRun;
};

/// All commands; a new group adds its list in CtlCommands.cxx.
std::vector<CtlCommand>
AllCtlCommands();

/// The command that the words name, without those words in aArguments; null
/// with a message on aErr when there is none or the number of words is wrong.
const CtlCommand*
FindCtlCommand(const std::vector<CtlCommand>& aCommands,
               CtlArguments& aArguments,
               std::ostream& aErr);

/// Prints an object on one line, as --json output.
void
PrintJson(CtlContext& aContext, const QJsonObject& aObject);

/// Prints an error as text on standard error and returns aCode.
int
Fail(CtlContext& aContext, int aCode, const std::string& aMessage);

} // namespace ragwortdeck
