#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>

namespace ragwortdeck {

/// \brief Seeded random numbers. The same seed gives the same sequence on
/// every platform, because Boost.Random fixes its distributions.
class RandomSource
{
public:
  explicit RandomSource(std::uint64_t aSeed);

  /// A seed from the operating system, for programs.
  static std::uint64_t SystemSeed();

  /// Uniform in [0, aBound); aBound must be positive.
  std::uint64_t Below(std::uint64_t aBound);
  /// Uniform in [0, 1).
  double Unit();
  /// True with probability aProbability.
  bool Chance(double aProbability);
  /// Exponential with the given mean.
  double Exponential(double aMean);
  /// Log-normal with the given parameters of the underlying normal.
  double LogNormal(double aMu, double aSigma);
  /// An independent source for a part of a test or program.
  RandomSource Split();

private:
  boost::random::mt19937_64 mEngine;
};

} // namespace ragwortdeck
