#pragma once

#include <QSocketNotifier>
#include <csignal>
#include <functional>

namespace ragwortdeck {

/// \brief Delivers SIGTERM and SIGINT to the event loop of the thread that
/// creates it.
class StopSignals
{
public:
  /// aOnStop runs once per signal.
  explicit StopSignals(const std::function<void()>& aOnStop);
  ~StopSignals();
  StopSignals(const StopSignals&) = delete;
  StopSignals& operator=(const StopSignals&) = delete;

  /// To be called before any thread exists: a thread of a library that does
  /// not block the signals would end the process.
  static sigset_t Block();

private:
  static int Open();

  int mFile;
  QSocketNotifier mNotifier;
};

} // namespace ragwortdeck
