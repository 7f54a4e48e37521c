#include "Core/KeySettings.h"

namespace ragwortdeck {

std::vector<SharedKey>
ReadSharedKeys(SettingsSection& aRoot)
{
  std::vector<SharedKey> keys;
  for (auto& section : aRoot.Sections("keys")) {
    keys.push_back(
      { section.RequiredString("id"), section.RequiredString("secret") });
  }
  return keys;
}

std::optional<KeyRing>
MakeKeyRing(SettingsSection& aRoot, const std::vector<SharedKey>& aKeys)
{
  auto ring = KeyRing::Create(aKeys);
  if (!ring) {
    aRoot.Reject("keys", "expected valid keys: " + ring.error().mMessage);
    return std::nullopt;
  }
  return std::move(ring).value();
}

} // namespace ragwortdeck
