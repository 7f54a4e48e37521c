#pragma once

#include <algorithm>

namespace ragwortdeck {

/// Whether a list has an element equal to the value.
bool
Contains(const auto& aList, const auto& aValue)
{
  return std::find(aList.begin(), aList.end(), aValue) != aList.end();
}

} // namespace ragwortdeck
