#include "Policy/Placement.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace ragwortdeck {

/// \brief Choice of the engine for a request.
class PlacementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(TestChoice);
  CPPUNIT_TEST(TestHostsSpread);
  CPPUNIT_TEST(TestCachedPrefix);
  CPPUNIT_TEST_SUITE_END();

  static PlacementCandidate Engine(std::uint32_t aTarget,
                                   double aBatchFraction,
                                   std::uint32_t aOwnStreams = 0)
  {
    PlacementCandidate candidate;
    candidate.mTarget = aTarget;
    candidate.mBatchFraction = aBatchFraction;
    candidate.mOwnStreams = aOwnStreams;
    return candidate;
  }

public:
  void TestChoice()
  {
    Placement placement(1);
    Section("no engine", [&] { CPPUNIT_ASSERT(!placement.Choose({})); });
    Section("the emptier batch", [&] {
      CPPUNIT_ASSERT_EQUAL(
        2U, *placement.Choose({ Engine(1, 0.8), Engine(2, 0.2) }));
    });
    Section("among near-equal ones, that with fewer own streams", [&] {
      CPPUNIT_ASSERT_EQUAL(
        2U, *placement.Choose({ Engine(1, 0.20, 3), Engine(2, 0.22, 1) }));
    });
    Section("the own domain", [&] {
      auto near = Engine(2, 0.2);
      near.mIsSameDomain = true;
      CPPUNIT_ASSERT(Placement::Score(near) < Placement::Score(Engine(1, 0.2)));
    });
  }

  /// Guards against all hosts choosing the same engine because it is the least
  /// loaded in the view that they share.
  void TestHostsSpread()
  {
    constexpr std::uint32_t kHosts = 200;
    constexpr std::uint32_t kEngines = 4;
    std::map<std::uint32_t, std::uint32_t> chosen;
    for (std::uint32_t host = 0; host < kHosts; ++host) {
      Placement placement(host);
      std::vector<PlacementCandidate> candidates;
      for (std::uint32_t n = 0; n < kEngines; ++n) {
        candidates.push_back(Engine(n, 0.2 + n * 0.01));
      }
      ++chosen[*placement.Choose(candidates)];
    }
    for (std::uint32_t n = 0; n < kEngines; ++n) {
      // Two fifths of the mean are far below any random deviation.
      CPPUNIT_ASSERT(chosen[n] > kHosts / kEngines * 2 / 5);
    }
  }

  /// Guards against cache events, which are late and have gaps, that attract
  /// requests to a busy engine.
  void TestCachedPrefix()
  {
    Placement placement(1);
    auto cached = Engine(1, 0.25);
    cached.mCachedFraction = 1.0;
    CPPUNIT_ASSERT_EQUAL(1U, *placement.Choose({ cached, Engine(2, 0.25) }));
    cached.mBatchFraction = 0.6;
    CPPUNIT_ASSERT_EQUAL(2U, *placement.Choose({ cached, Engine(2, 0.25) }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace ragwortdeck
