#include "Targets/ShortCalls.h"

namespace ragwortdeck {

void
ShortCalls::Start(const HttpCall& aCall, OnReply aOnReply)
{
  const auto number = ++mLastCall;
  auto& call = mCalls[number];
  call.mTransfer = mCurl.Start(
    aCall,
    [this, &call](std::string_view aBytes) {
      call.mBody += aBytes.substr(0, mMaxBytes - call.mBody.size());
    },
    [this, number, onReply = std::move(aOnReply)](const TransferEnd& aEnd) {
      const auto ended = mCalls.extract(number);
      onReply(aEnd, ended.mapped().mBody);
    });
}

} // namespace ragwortdeck
