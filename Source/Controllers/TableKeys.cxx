#include "Controllers/TableKeys.h"

namespace ragwortdeck {

std::string
TableKeys::Row(const RowAddress& aRow)
{
  return std::string(kTablePrefix) + ToText(aRow.mSheet) + "/" + aRow.mRow;
}

std::string
TableKeys::Edit(const std::string& aEditId)
{
  return kEditPrefix + aEditId;
}

std::string
TableKeys::Host(const std::string& aHost)
{
  return kHostPrefix + aHost;
}

std::optional<RowAddress>
TableKeys::ParseRow(std::string_view aKey)
{
  const std::string_view prefix = kTablePrefix;
  if (aKey.substr(0, prefix.size()) != prefix) {
    return std::nullopt;
  }
  const auto rest = aKey.substr(prefix.size());
  const auto slash = rest.find('/');
  if (slash == std::string_view::npos || slash + 1 == rest.size()) {
    return std::nullopt;
  }
  const auto sheet = SheetFromText(rest.substr(0, slash));
  if (!sheet) {
    return std::nullopt;
  }
  return RowAddress{ *sheet, std::string(rest.substr(slash + 1)) };
}

} // namespace ragwortdeck
