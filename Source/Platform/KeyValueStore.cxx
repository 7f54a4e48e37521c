#include "Platform/KeyValueStore.h"

namespace ragwortdeck {

KeyOperation
KeyOperation::Put(std::string aKey, std::string aValue, std::int64_t aLease)
{
  return { Type::kPut, std::move(aKey), std::move(aValue), aLease, false };
}

KeyOperation
KeyOperation::Delete(std::string aKey)
{
  return { Type::kDelete, std::move(aKey), {}, 0, false };
}

KeyOperation
KeyOperation::Range(std::string aKey)
{
  return { Type::kRange, std::move(aKey), {}, 0, false };
}

KeyOperation
KeyOperation::RangePrefix(std::string aPrefix)
{
  return { Type::kRange, std::move(aPrefix), {}, 0, true };
}

} // namespace ragwortdeck
