#pragma once

#include "Entry/EntryContext.h"

namespace ragwortdeck {

/// \brief A successful response of the store.
struct StoreReply
{
  /// The era that the response is of; what a call referred to may be of an
  /// earlier one.
  StoreEra mEra;
  std::string mBody;
};

/// \brief Calls the platform's key-value store.
class StoreClient
{
public:
  /// Who an era or a table came from, beside the addresses of hosts.
  static constexpr const char* kName = "store";

  explicit StoreClient(EntryContext& aContext)
    : mContext(aContext)
  {
  }

  /// Returns the store's response. Fails with kNotFound when there is no value,
  /// lease or history that the call refers to, and with kConflict when the
  /// response is not of the latest era. A write that failed otherwise may still
  /// take effect.
  Task<Result<StoreReply>> Call(HttpCall aCall);

private:
  /// Takes the era of a response; nothing if the response must not be used. An
  /// era that is malformed or outdated is counted, and the first one in a row
  /// is logged.
  std::optional<StoreEra> ReadEra(const HttpFields& aHeaders);

  EntryContext& mContext;
  /// Whether the era of the last response was malformed or outdated.
  bool mEraWasBad = false;
};

} // namespace ragwortdeck
