#include "Entry/DecisionLog.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace ragwortdeck {

DecisionLog::DecisionLog(const Clock& aClock, int aFile)
  : mClock(aClock)
  , mFile(aFile)
  , mRefilled(aClock.Now())
{
  const int flags = fcntl(aFile, F_GETFL);
  if (flags >= 0) {
    fcntl(aFile, F_SETFL, flags | O_NONBLOCK);
  }
}

void
DecisionLog::Write(const char* aEvent, const Fields& aFields)
{
  constexpr double kMicrosecondsPerSecond = 1e6;
  const auto now = mClock.Now();
  mTokens = std::min(kBurstLines,
                     mTokens + static_cast<double>((now - mRefilled).count()) /
                                 kMicrosecondsPerSecond * kLinesPerSecond);
  mRefilled = now;
  if (mTokens < 1) {
    ++mDropped;
    ++mDroppedTotal;
    return;
  }
  mTokens -= 1;
  Fields line;
  line["at_us"] = now.time_since_epoch().count();
  line["event"] = aEvent;
  if (mDropped > 0) {
    line["lines_dropped"] = mDropped;
  }
  line.update(aFields);
  // Callers may send bytes that are not valid UTF-8; they are replaced.
  auto text = line.dump(-1, ' ', false, Fields::error_handler_t::replace);
  text += '\n';
  if (write(mFile, text.data(), text.size()) ==
      static_cast<ssize_t>(text.size())) {
    mDropped = 0;
  } else {
    ++mDropped;
    ++mDroppedTotal;
  }
}

} // namespace ragwortdeck
