#include "Core/Program.h"
#include "Support/Invariants.h"

#include <QFile>
#include <iostream>

using namespace ragwortdeck;

namespace {

Result<History>
ReadHistory(const std::string& aFile)
{
  QFile file(QString::fromStdString(aFile));
  if (!file.open(QIODevice::ReadOnly)) {
    return Failure(ErrorCode::kNotFound,
                   "cannot read: " + file.errorString().toStdString());
  }
  return ParseHistory(file.readAll().toStdString());
}

/// Prints a line per violation; returns their number.
std::size_t
CheckOne(const Invariant& aInvariant, const History& aHistory)
{
  const auto violations = aInvariant.mCheck(aHistory);
  for (const auto& violation : violations) {
    std::cout << aInvariant.mName << ": " << violation << "\n";
  }
  return violations.size();
}

int
Check(const std::string& aFile, const std::vector<std::string>& aNames)
{
  const auto history = ReadHistory(aFile);
  if (!history) {
    std::cerr << aFile << ": " << history.error().mMessage << "\n";
    return kExitFailure;
  }
  std::size_t violations = 0;
  for (const auto& name : aNames) {
    const auto* invariant = FindInvariant(name);
    if (invariant == nullptr) {
      std::cerr << name << ": no invariant has this name\n";
      return kExitUsage;
    }
    violations += CheckOne(*invariant, history.value());
  }
  std::cout << history.value().size() << " records, " << violations
            << " violations\n";
  return violations == 0 ? kExitSuccess : kExitFailure;
}

} // namespace

/// Checks a history file of a process run against invariants by name.
int
main(int argc, char** argv)
{
  std::string file;
  std::vector<std::string> names;
  std::unique_ptr<TCLAP::ValueArg<std::string>> fileArg;
  std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> nameArg;
  ProgramSpec spec;
  spec.mName = "ragwort-check-history";
  spec.mDescription = "Checks a test history against invariants";
  spec.mAddArguments = [&](TCLAP::CmdLine& aLine) {
    fileArg = std::make_unique<TCLAP::ValueArg<std::string>>(
      "", "history", "History file (JSON lines)", true, "", "file", aLine);
    nameArg = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
      "invariants", "Names of invariants", true, "name", aLine);
  };
  spec.mLoad = [&](SettingsSection&) -> ProgramSpec::Run {
    return [&] { return Check(fileArg->getValue(), nameArg->getValue()); };
  };
  return RunProgram(argc, argv, spec);
}
