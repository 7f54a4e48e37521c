#pragma once

#include "Targets/CurlMulti.h"

#include <functional>
#include <map>

namespace ragwortdeck {

/// \brief Runs HTTP calls and collects the bodies of their replies.
class ShortCalls
{
public:
  using OnReply = std::function<void(const TransferEnd&, const std::string&)>;

  /// More than aMaxBytes of a body are cut off.
  explicit ShortCalls(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /// aOnReply gets the end of the call and the body.
  void Start(const HttpCall& aCall, OnReply aOnReply);

private:
  struct Call
  {
    std::unique_ptr<CurlTransfer> mTransfer;
    std::string mBody;
  };

  std::size_t mMaxBytes;
  CurlMulti mCurl;
  /// Running calls by their number.
  std::map<std::uint64_t, Call> mCalls;
  std::uint64_t mLastCall = 0;
};

} // namespace ragwortdeck
