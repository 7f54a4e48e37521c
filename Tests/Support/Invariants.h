#pragma once

#include "Support/History.h"

#include <functional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A named promise of the system and its check over a history.
struct Invariant
{
  using Check = std::function<std::vector<std::string>(const History&)>;

  /// Name in scenarios, for example "token-once".
  std::string mName;
  /// Returns one message per violation; empty when the history is valid.
  Check mCheck;
};

/// All invariants of docs/design.md, section 1.2, in that order.
const std::vector<Invariant>&
AllInvariants();

/// Nothing when no invariant has that name.
const Invariant*
FindInvariant(const std::string& aName);

} // namespace ragwortdeck
