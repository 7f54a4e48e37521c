#include "Filters/ClassifyFilter.h"

#include "Core/Contains.h"
#include "Core/HttpStatus.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <xxhash.h>

namespace ragwortdeck {

namespace {

const KindName kDefaultKind("default");
/// Bytes of text that a token stands for, on average.
constexpr std::size_t kBytesPerToken = 4;
/// Prompt bytes per prefix hash; 256 tokens.
constexpr std::size_t kPrefixBlockBytes = 1024;
constexpr std::size_t kMaxPrefixBlocks = 64;

bool
IsKnownModel(const SiteView& aView, const ModelName& aModel)
{
  if (aView.mTable.mModels.contains(aModel)) {
    return true;
  }
  return std::any_of(
    aView.mTargets.begin(), aView.mTargets.end(), [&](const auto& aEntry) {
      const auto& target = aEntry.second;
      return target.mRole == TargetRole::kEngine &&
             Contains(target.mModels, aModel);
    });
}

std::string
PromptText(const QJsonValue& aInput)
{
  return aInput.isString() ? aInput.toString().toStdString()
                           : QJsonDocument(aInput.toArray())
                               .toJson(QJsonDocument::Compact)
                               .toStdString();
}

/// Hashes of the prompt's prefixes; equal prefixes have equal hashes.
std::vector<std::uint64_t>
HashPrefixes(const std::string& aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = 0;
  for (std::size_t at = 0; at + kPrefixBlockBytes <= aPrompt.size() &&
                           hashes.size() < kMaxPrefixBlocks;
       at += kPrefixBlockBytes) {
    hash = XXH3_64bits_withSeed(aPrompt.data() + at, kPrefixBlockBytes, hash);
    hashes.push_back(hash);
  }
  return hashes;
}

/// Row of a kind; the default kind needs no row.
const KindRow*
FindKind(const SiteView& aView, const KindName& aKind)
{
  static const KindRow sDefault = [] {
    KindRow row;
    row.mKind = kDefaultKind;
    return row;
  }();
  const auto found = aView.mTable.mKinds.find(aKind);
  if (found != aView.mTable.mKinds.end()) {
    return &found->second;
  }
  return aKind == kDefaultKind ? &sDefault : nullptr;
}

MonotonicTime
DeadlineOf(const RequestContext& aContext)
{
  return aContext.mArrived +
         std::chrono::seconds(aContext.mKind.mDeadlineSeconds);
}

} // namespace

bool
OffersService(const Target& aTarget, const std::string& aService)
{
  return aTarget.mRole == TargetRole::kService &&
         std::find(aTarget.mModels.begin(),
                   aTarget.mModels.end(),
                   ModelName(aService)) != aTarget.mModels.end();
}

std::optional<Verdict>
ClassifyFilter::Apply(RequestContext& aContext) const
{
  switch (aContext.mRoute) {
    case Route::kCreateResponse:
      return ClassifyCreate(aContext);
    case Route::kCallService:
      return ClassifyService(aContext);
    default:
      // Reads and cancels of an existing response have no kind of their own.
      aContext.mKind = *FindKind(*aContext.mView, kDefaultKind);
      aContext.mDeadline = DeadlineOf(aContext);
      return std::nullopt;
  }
}

std::optional<Verdict>
ClassifyFilter::ClassifyCreate(RequestContext& aContext)
{
  const auto& body = aContext.mBody;
  const auto& view = *aContext.mView;
  const KindName kind(
    body["metadata"]["kind"].toString("default").toStdString());
  const auto* row = FindKind(view, kind);
  if (!row) {
    return Refusal(kStatusBadRequest,
                   "unknown_kind",
                   "Kind '" + kind.Value() + "' is not in the kinds sheet.");
  }
  const ModelName model(body["model"].toString().toStdString());
  if (!IsKnownModel(view, model)) {
    return Refusal(kStatusNotFound,
                   "model_not_found",
                   "Model '" + model.Value() + "' is not served here.");
  }
  aContext.mKind = *row;
  aContext.mDeadline = DeadlineOf(aContext);
  const auto prompt = PromptText(body["input"]);
  auto& traits = aContext.mTraits;
  traits.mTeam = aContext.mTeam;
  traits.mKind = row->mKind;
  traits.mClass = row->mClass;
  traits.mModel = model;
  traits.mPromptTokens = std::uint32_t(prompt.size() / kBytesPerToken + 1);
  const auto asked =
    body["max_output_tokens"].toDouble(double(row->mMaxOutputTokens));
  traits.mMaxOutputTokens =
    std::min(std::uint32_t(asked), row->mMaxOutputTokens);
  traits.mPrefixHashes = HashPrefixes(prompt);
  const auto team = view.mTable.mTeams.find(aContext.mTeam);
  const auto teamPriority =
    team == view.mTable.mTeams.end() ? 0 : team->second.mPriority;
  traits.mPriority = std::max(teamPriority, row->mPriority);
  traits.mDeadline = aContext.mDeadline;
  return std::nullopt;
}

std::optional<Verdict>
ClassifyFilter::ClassifyService(RequestContext& aContext)
{
  const auto& view = *aContext.mView;
  const bool isOffered = std::any_of(
    view.mTargets.begin(), view.mTargets.end(), [&](const auto& aEntry) {
      return OffersService(aEntry.second, aContext.mService);
    });
  if (!isOffered) {
    return Refusal(kStatusNotFound,
                   "service_not_found",
                   "Service '" + aContext.mService + "' is not served here.");
  }
  const KindName exact(aContext.mService + "/" + aContext.mOperation);
  const auto* row = FindKind(view, exact);
  if (!row) {
    row = FindKind(view, KindName(aContext.mOperation));
  }
  if (row) {
    aContext.mKind = *row;
  } else {
    aContext.mKind.mKind = exact;
    // Without a row, only reads may be repeated.
    aContext.mKind.mRepeat = aContext.mRequest.mIsPost
                               ? RepeatRule::kAtMostOnce
                               : RepeatRule::kIdempotent;
  }
  aContext.mDeadline = DeadlineOf(aContext);
  return std::nullopt;
}

} // namespace ragwortdeck
