#include "Support/EventLoop.h"

#include <QCoreApplication>
#include <QTimer>
#include <cppunit/TestAssert.h>

namespace ragwortdeck {

namespace {

// Turns of the event loop after which a test counts as hung; a timer ends each
// turn after at most 1 ms.
constexpr std::size_t kMaxTurns = 60'000;

} // namespace

void
RunEventLoopUntil(const std::function<bool()>& aDone)
{
  QTimer wakeUp;
  wakeUp.start(1);
  for (std::size_t n = 0; !aDone(); ++n) {
    CPPUNIT_ASSERT_MESSAGE("the awaited event did not happen", n < kMaxTurns);
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
}

} // namespace ragwortdeck
