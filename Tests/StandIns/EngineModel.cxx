#include "StandIns/EngineModel.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <array>

namespace ragwortdeck {

namespace {

/// Events before the first token: created, in_progress, output_item.added,
/// content_part.added.
constexpr std::int64_t kPreambleEvents = 4;
/// Events after the last token: output_text.done, content_part.done,
/// output_item.done, completed.
constexpr std::int64_t kClosingEvents = 4;
/// Ended generations kept for resumption.
constexpr std::size_t kKeptEnded = 20'000;

QJsonObject
ToJson(const LoadedModel& aLoaded)
{
  QJsonArray adapters;
  for (const auto& adapter : aLoaded.mAdapters) {
    adapters.append(QString::fromStdString(adapter));
  }
  return { { "model", QString::fromStdString(aLoaded.mModel.Value()) },
           { "version", QString::fromStdString(aLoaded.mVersion) },
           { "ready", aLoaded.mReady },
           { "adapters", adapters } };
}

QString
ToString(GenerationState aState)
{
  switch (aState) {
    case GenerationState::kQueued:
      return "queued";
    case GenerationState::kRunning:
      return "in_progress";
    case GenerationState::kCompleted:
      return "completed";
    case GenerationState::kCancelled:
      return "cancelled";
  }
  return "failed";
}

QByteArray
ToEvent(const QString& aType, std::int64_t aSequence, QJsonObject aBody)
{
  aBody["type"] = aType;
  aBody["sequence_number"] = qint64(aSequence);
  return "event: " + aType.toLatin1() +
         "\ndata: " + QJsonDocument(aBody).toJson(QJsonDocument::Compact) +
         "\n\n";
}

QJsonObject
ToResponse(const Generation& aGeneration, const QString& aStatus)
{
  QJsonObject response{ { "id", QString::fromStdString(aGeneration.mId) },
                        { "object", "response" },
                        { "status", aStatus },
                        { "model",
                          QString::fromStdString(aGeneration.mModel) } };
  if (!aGeneration.mMetadata.isEmpty()) {
    response["metadata"] =
      QJsonDocument::fromJson(aGeneration.mMetadata).object();
  }
  if (aGeneration.IsEnded()) {
    const QJsonObject part{
      { "type", "output_text" },
      { "text", QString::fromStdString(aGeneration.OutputText()) }
    };
    response["output"] = QJsonArray{ QJsonObject{
      { "type", "message" }, { "content", QJsonArray{ part } } } };
    response["usage"] =
      QJsonObject{ { "input_tokens", int(aGeneration.mPromptTokens) },
                   { "output_tokens", int(aGeneration.mGenerated) } };
  }
  return response;
}

} // namespace

std::string
TokenText(std::uint64_t aInputHash, std::uint32_t aIndex)
{
  return " w" +
         std::to_string((aInputHash + aIndex * 2'654'435'761ULL) % 100'000);
}

std::int64_t
Generation::EventCount() const
{
  if (mState == GenerationState::kQueued && mGenerated == 0) {
    return 1;
  }
  const auto base = kPreambleEvents + std::int64_t(mGenerated);
  return IsEnded() ? base + kClosingEvents : base;
}

std::string
Generation::OutputText() const
{
  std::string text;
  for (std::uint32_t n = 0; n < mGenerated; ++n) {
    text += TokenText(mInputHash, n);
  }
  return text;
}

QByteArray
Generation::ResponseJson() const
{
  return QJsonDocument(ToResponse(*this, ToString(mState)))
    .toJson(QJsonDocument::Compact);
}

QByteArray
Generation::EventText(std::int64_t aSequence) const
{
  const auto token = aSequence - kPreambleEvents;
  if (token >= 0 && token < std::int64_t(mGenerated)) {
    return "event: response.output_text.delta\ndata: "
           "{\"type\":\"response.output_text.delta\",\"item_id\":\"msg_0\","
           "\"output_index\":0,\"content_index\":0,\"delta\":\"" +
           QByteArray::fromStdString(
             TokenText(mInputHash, std::uint32_t(token))) +
           "\",\"sequence_number\":" + QByteArray::number(qint64(aSequence)) +
           "}\n\n";
  }
  if (aSequence < kPreambleEvents) {
    static const std::array<const char*, 4> sTypes = {
      "response.created",
      "response.in_progress",
      "response.output_item.added",
      "response.content_part.added",
    };
    QJsonObject body;
    if (aSequence < 2) {
      Generation open = *this;
      open.mState = GenerationState::kRunning;
      body["response"] = ToResponse(open, "in_progress");
    }
    return ToEvent(sTypes[std::size_t(aSequence)], aSequence, body);
  }
  switch (token - std::int64_t(mGenerated)) {
    case 0:
      return ToEvent(
        "response.output_text.done",
        aSequence,
        QJsonObject{ { "text", QString::fromStdString(OutputText()) } });
    case 1:
      return ToEvent("response.content_part.done", aSequence, {});
    case 2:
      return ToEvent("response.output_item.done", aSequence, {});
    default:
      break;
  }
  const bool isCancelled = mState == GenerationState::kCancelled;
  return ToEvent(
    isCancelled ? "response.incomplete" : "response.completed",
    aSequence,
    QJsonObject{ { "response", ToResponse(*this, ToString(mState)) } });
}

EngineModel::EngineModel(Scheduler& aScheduler, EngineOptions aOptions)
  : mScheduler(aScheduler)
  , mOptions(std::move(aOptions))
  , mOrders(aScheduler, mOptions.mOrders)
{
  for (const auto& model : mOptions.mModels) {
    mOrders.Preload(ModelName(model), mOptions.mModelVersion);
  }
}

Generation*
EngineModel::Create(Generation aGeneration)
{
  auto& slot = mGenerations[aGeneration.mId];
  if (slot) {
    return nullptr;
  }
  aGeneration.mLastRead = mScheduler.Now();
  slot = std::make_unique<Generation>(std::move(aGeneration));
  ++mCreated;
  mQueue.push_back(slot.get());
  if (!mTimer.IsSet()) {
    mNextStep = mScheduler.Now() + mOptions.mTokenInterval;
    mTimer = mScheduler.After(mOptions.mTokenInterval, [this] { Step(); });
  }
  Admit();
  return slot.get();
}

Generation*
EngineModel::Find(const std::string& aId)
{
  const auto found = mGenerations.find(aId);
  return found == mGenerations.end() ? nullptr : found->second.get();
}

bool
EngineModel::HasModel(const std::string& aModel) const
{
  return mOrders.HasReady(ModelName(aModel));
}

bool
EngineModel::Cancel(const std::string& aId)
{
  auto* generation = Find(aId);
  if (!generation) {
    return false;
  }
  if (!generation->IsEnded()) {
    generation->mState = GenerationState::kCancelled;
    std::erase(mRunning, generation);
    std::erase(mQueue, generation);
    mEnded.push_back(aId);
    ++mCancelled;
  }
  return true;
}

int
EngineModel::Execute(const EngineOrder& aOrder)
{
  ++mOrderCount;
  switch (mOrders.Receive(aOrder)) {
    case OrderReport::kAccepted:
      return 202;
    case OrderReport::kStale:
      return 409;
    default:
      return 422;
  }
}

void
EngineModel::Restart()
{
  mQueue.clear();
  mRunning.clear();
  mEnded.clear();
  mGenerations.clear();
  mTimer.Cancel();
}

std::uint64_t
EngineModel::MemoryUsed() const
{
  std::uint64_t used = 0;
  for (const auto* generation : mRunning) {
    used += generation->mPromptTokens + generation->mGenerated;
  }
  return used;
}

void
EngineModel::Admit()
{
  while (!mQueue.empty() && mRunning.size() < mOptions.mMaxBatch) {
    auto* next = mQueue.front();
    const auto need = next->mPromptTokens + next->mGenerated + 1;
    // A lone generation always fits, so that the engine cannot deadlock.
    if (!mRunning.empty() && MemoryUsed() + need > mOptions.mMemoryTokens) {
      return;
    }
    mQueue.pop_front();
    next->mState = GenerationState::kRunning;
    next->mPrefillEnds = mScheduler.Now() + mOptions.mPrefillPerToken * need;
    mRunning.push_back(next);
  }
}

void
EngineModel::Advance(Generation& aGeneration)
{
  if (mScheduler.Now() < aGeneration.mPrefillEnds) {
    return;
  }
  ++aGeneration.mGenerated;
  if (aGeneration.mGenerated >= aGeneration.mOutputTokens) {
    aGeneration.mState = GenerationState::kCompleted;
    mEnded.push_back(aGeneration.mId);
  }
}

void
EngineModel::Preempt()
{
  while (mRunning.size() > 1 && MemoryUsed() > mOptions.mMemoryTokens) {
    auto* last = mRunning.back();
    mRunning.pop_back();
    last->mState = GenerationState::kQueued;
    mQueue.push_front(last);
    ++mPreemptions;
  }
}

void
EngineModel::DropOrphans()
{
  std::vector<std::string> orphans;
  for (const auto* generation : mRunning) {
    const auto age = mScheduler.Now() - generation->mLastRead;
    if (generation->mReaders == 0 && age > mOptions.mOrphanTimeout) {
      orphans.push_back(generation->mId);
    }
  }
  for (const auto& id : orphans) {
    Cancel(id);
  }
  while (mEnded.size() > kKeptEnded) {
    const auto* oldest = Find(mEnded.front());
    if (oldest && oldest->mReaders > 0) {
      break;
    }
    mGenerations.erase(mEnded.front());
    mEnded.pop_front();
  }
}

void
EngineModel::Step()
{
  for (auto* generation : mRunning) {
    Advance(*generation);
  }
  std::erase_if(mRunning,
                [](const Generation* aOne) { return aOne->IsEnded(); });
  Preempt();
  DropOrphans();
  Admit();
  if (mOnStep) {
    mOnStep();
  }
  if (mRunning.empty() && mQueue.empty()) {
    mTimer.Cancel();
    return;
  }
  // Steps keep their cadence when one is late.
  mNextStep = std::max(mNextStep + mOptions.mTokenInterval, mScheduler.Now());
  mTimer = mScheduler.After(mNextStep - mScheduler.Now(), [this] { Step(); });
}

QByteArray
EngineModel::LoadJson() const
{
  const auto used = MemoryUsed();
  const double share =
    double(used) / double(std::max<std::uint64_t>(mOptions.mMemoryTokens, 1));
  // Field names of an ORCA OrcaLoadReport in JSON.
  QJsonObject named{
    { "memory_tokens", double(mOptions.mMemoryTokens) },
    { "memory_used_tokens", double(used) },
    { "running", double(mRunning.size()) },
    { "waiting", double(mQueue.size()) },
    { "max_batch", double(mOptions.mMaxBatch) },
    { "preemptions", double(mPreemptions) },
  };
  const auto models = mOrders.State().mModels;
  named["ready_models"] =
    double(std::count_if(models.begin(), models.end(), [](const auto& aModel) {
      return aModel.mReady;
    }));
  for (const auto& loaded : models) {
    if (loaded.mReady) {
      named["model." + QString::fromStdString(loaded.mModel.Value())] = 1;
    }
  }
  const QJsonObject report{
    { "application_utilization", share },
    { "mem_utilization", share },
    { "named_metrics", named },
  };
  return QJsonDocument(report).toJson(QJsonDocument::Compact);
}

QByteArray
EngineModel::StateJson() const
{
  const auto orders = mOrders.State();
  QJsonArray models;
  for (const auto& loaded : orders.mModels) {
    models.append(ToJson(loaded));
  }
  const QJsonObject state{
    { "models", models },
    { "role", QString::fromStdString(orders.mRole) },
    { "memory_free_bytes", double(orders.mMemoryFreeBytes) },
    { "fencing", double(orders.mFencing) },
    { "orders", double(mOrderCount) },
    { "created", double(mCreated) },
    { "cancelled", double(mCancelled) },
    { "running", double(mRunning.size()) },
    { "waiting", double(mQueue.size()) },
    { "preemptions", double(mPreemptions) },
  };
  return QJsonDocument(state).toJson(QJsonDocument::Compact);
}

} // namespace ragwortdeck
