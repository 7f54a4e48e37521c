#pragma once

#include "Core/KeyRing.h"
#include "Core/Settings.h"

#include <optional>
#include <vector>

namespace ragwortdeck {

/// Reads the list "keys" of mappings with "id" and "secret"; an absent list
/// reads as empty.
std::vector<SharedKey>
ReadSharedKeys(SettingsSection& aRoot);

/// Builds a key ring, or records an error at "keys" and returns nothing.
std::optional<KeyRing>
MakeKeyRing(SettingsSection& aRoot, const std::vector<SharedKey>& aKeys);

} // namespace ragwortdeck
