#pragma once

#include "Core/Error.h"

#include <boost/outcome/policy/throw_bad_result_access.hpp>
#include <boost/outcome/result.hpp>
#include <string>
#include <utility>

namespace ragwortdeck {

/// A value or an error. Reading the value of a failed result throws
/// boost::outcome_v2::bad_result_access.
template<typename T, typename E = Error>
using Result = boost::outcome_v2::basic_result<
  T,
  E,
  boost::outcome_v2::policy::throw_bad_result_access<E, void>>;

/// Builds the failure side of a Result.
inline auto
Failure(ErrorCode aCode, std::string aMessage)
{
  return boost::outcome_v2::failure(Error{ aCode, std::move(aMessage) });
}

/// Builds the failure side of a Result from an error of any type.
template<typename E>
auto
Failure(E aError)
{
  return boost::outcome_v2::failure(std::move(aError));
}

/// The success side of a Result<void>.
inline auto
Success()
{
  return boost::outcome_v2::success();
}

} // namespace ragwortdeck
