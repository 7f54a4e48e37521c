#pragma once

#include "Core/SiteView.h"
#include "Filters/CallerExchange.h"
#include "Filters/HttpText.h"
#include "Filters/StreamRelay.h"
#include "Policy/RequestTraits.h"

#include <QJsonObject>
#include <memory>
#include <optional>
#include <string>

namespace ragwortdeck {

/// What a request asks for.
enum class Route : std::uint8_t
{
  kCreateResponse,
  kReadResponse,
  kCancelResponse,
  kListModels,
  kCallService,
};

/// \brief The parts of an HTTP request that the filters read.
struct CallerRequest
{
  bool mIsPost = false;
  /// Without the query.
  std::string mPath;
  std::string mQuery;
  /// Value of the Authorization header.
  std::string mAuthorization;
  /// Value of the Idempotency-Key header.
  std::string mIdempotencyKey;
  std::string mBody;
};

/// \brief One request on its way through the filter chain. Each filter fills
/// in what later filters read.
struct RequestContext
{
  // Set on arrival.
  RequestId mId;
  MonotonicTime mArrived;
  Route mRoute = Route::kCreateResponse;
  CallerRequest mRequest;
  std::shared_ptr<CallerExchange> mExchange;
  std::shared_ptr<const SiteView> mView;

  // Set by authentication.
  TeamName mTeam;

  // Set by parsing.
  QJsonObject mBody;
  bool mStreams = false;
  Attempt mExisting;
  std::optional<std::int64_t> mStartingAfter;
  std::string mService;
  std::string mOperation;

  // Set by classification.
  KindRow mKind;
  RequestTraits mTraits;
  MonotonicTime mDeadline;
};

} // namespace ragwortdeck
