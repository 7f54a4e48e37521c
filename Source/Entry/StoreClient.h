#pragma once

#include "Entry/EntryContext.h"

namespace ragwortdeck {

/// \brief Calls the platform's key-value store.
class StoreClient
{
public:
  explicit StoreClient(EntryContext& aContext)
    : mContext(aContext)
  {
  }

  /// Returns the body of the store's response. Fails with kNotFound when there
  /// is no value, lease or history that the call refers to. A write that failed
  /// otherwise may still take effect.
  Task<Result<std::string>> Call(HttpCall aCall);

private:
  EntryContext& mContext;
};

} // namespace ragwortdeck
