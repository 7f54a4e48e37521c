#include "Core/RandomSource.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <random>

namespace ragwortdeck {

RandomSource::RandomSource(std::uint64_t aSeed)
  : mEngine(aSeed)
{
}

std::uint64_t
RandomSource::SystemSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t
RandomSource::Below(std::uint64_t aBound)
{
  boost::random::uniform_int_distribution<std::uint64_t> range(0, aBound - 1);
  return range(mEngine);
}

double
RandomSource::Unit()
{
  return boost::random::uniform_01<double>()(mEngine);
}

bool
RandomSource::Chance(double aProbability)
{
  return Unit() < aProbability;
}

double
RandomSource::Exponential(double aMean)
{
  return boost::random::exponential_distribution<double>(1.0 / aMean)(mEngine);
}

double
RandomSource::LogNormal(double aMu, double aSigma)
{
  return boost::random::lognormal_distribution<double>(aMu, aSigma)(mEngine);
}

RandomSource
RandomSource::Split()
{
  return RandomSource(mEngine());
}

} // namespace ragwortdeck
