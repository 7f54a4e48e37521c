#include "Policy/LengthEstimator.h"
#include "Core/RandomSource.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

constexpr std::uint32_t kMaximum = 32'768;
const TeamName kTeam("nakuru");
const KindName kKind("run-sheet");

void
Observe(LengthEstimator& aLengths,
        LengthEstimator::Curve aCurve,
        std::uint32_t aLength)
{
  aLengths.OnProgress(aCurve, 0, aLength);
  aLengths.OnEnd(aCurve, aLength);
}

} // namespace

/// \brief Length estimator. Engines would be overfilled if estimates were wrong
/// without data, biased towards the short answers that end first, or did not
/// adapt to changed lengths.
class LengthEstimatorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LengthEstimatorTest);
  CPPUNIT_TEST(TestNoData);
  CPPUNIT_TEST(TestHeavyTail);
  CPPUNIT_TEST(TestRunningAnswersCount);
  CPPUNIT_TEST(TestDrift);
  CPPUNIT_TEST(TestFallback);
  CPPUNIT_TEST(TestManyTeams);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestNoData()
  {
    LengthEstimator lengths;
    const auto curve = lengths.CurveOf(kTeam, kKind);
    const auto fresh = lengths.Remaining(curve, 0, kMaximum);
    CPPUNIT_ASSERT(fresh > 100.0 && fresh < 5'000.0);
    CPPUNIT_ASSERT(lengths.Remaining(curve, 5'000, kMaximum) > fresh);
    CPPUNIT_ASSERT_EQUAL(10.0, lengths.Remaining(curve, 90, 100));
    CPPUNIT_ASSERT_EQUAL(0.0, lengths.Remaining(curve, 100, 100));
    CPPUNIT_ASSERT_EQUAL(0.0, lengths.Remaining(curve, 101, 100));
  }

  void TestHeavyTail()
  {
    LengthEstimator lengths;
    const auto curve = lengths.CurveOf(kTeam, kKind);
    RandomSource random(1);
    double sum = 0.0;
    double sumBeyond = 0.0;
    int beyond = 0;
    constexpr int kSamples = 5'000;
    for (int i = 0; i < kSamples; ++i) {
      const auto length = std::min(random.LogNormal(6.2, 1.2), 32'000.0);
      sum += length;
      if (length > 2'000.0) {
        sumBeyond += length - 2'000.0;
        ++beyond;
      }
      Observe(lengths, curve, static_cast<std::uint32_t>(length) + 1);
    }
    const auto mean = sum / kSamples;
    const auto fresh = lengths.Remaining(curve, 0, kMaximum);
    CPPUNIT_ASSERT(std::abs(fresh - mean) < 0.25 * mean);
    const auto later = lengths.Remaining(curve, 2'000, kMaximum);
    const auto meanBeyond = sumBeyond / beyond;
    CPPUNIT_ASSERT(std::abs(later - meanBeyond) < 0.35 * meanBeyond);
  }

  void TestRunningAnswersCount()
  {
    LengthEstimator lengths;
    const auto curve = lengths.CurveOf(kTeam, kKind);
    // Of 200 answers, 100 end at 100 tokens; the others still run at 4,000.
    for (int i = 0; i < 100; ++i) {
      Observe(lengths, curve, 100);
      lengths.OnProgress(curve, 0, 4'000);
    }
    CPPUNIT_ASSERT(lengths.Remaining(curve, 0, kMaximum) > 2'000.0);
  }

  void TestDrift()
  {
    LengthEstimator lengths;
    const auto curve = lengths.CurveOf(kTeam, kKind);
    for (int i = 0; i < 2'000; ++i) {
      Observe(lengths, curve, 100);
    }
    CPPUNIT_ASSERT(lengths.Remaining(curve, 0, kMaximum) < 200.0);
    for (int i = 0; i < 2'000; ++i) {
      Observe(lengths, curve, 3'000);
    }
    const auto after = lengths.Remaining(curve, 0, kMaximum);
    CPPUNIT_ASSERT(after > 2'400.0 && after < 3'600.0);
  }

  void TestFallback()
  {
    LengthEstimator lengths;
    const auto known = lengths.CurveOf(kTeam, kKind);
    for (int i = 0; i < 500; ++i) {
      Observe(lengths, known, 50);
    }
    const auto fresh = lengths.CurveOf(TeamName("kisumu"), kKind);
    const auto other = lengths.CurveOf(kTeam, KindName("stock"));
    CPPUNIT_ASSERT(lengths.Remaining(fresh, 0, kMaximum) < 100.0);
    CPPUNIT_ASSERT(lengths.Remaining(other, 0, kMaximum) > 300.0);
  }

  void TestManyTeams()
  {
    LengthEstimator lengths;
    const auto limit = static_cast<int>(LengthEstimator::kMaxCurves);
    LengthEstimator::Curve last = 0;
    for (int i = 0; i < limit + 100; ++i) {
      last = lengths.CurveOf(TeamName(std::to_string(i)), kKind);
    }
    // Teams beyond the limit share the curve of the kind.
    CPPUNIT_ASSERT(last < LengthEstimator::kMaxCurves);
    CPPUNIT_ASSERT(lengths.Remaining(last, 0, kMaximum) > 0.0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LengthEstimatorTest);

} // namespace ragwortdeck
