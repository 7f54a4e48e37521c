#pragma once

#include "Core/Scheduler.h"
#include "StandIns/OrderedEngine.h"

#include <QByteArray>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Behaviour of the stand-in engine.
struct EngineOptions
{
  std::vector<std::string> mModels = { "drafts" };
  /// Time of one batch step; each running generation gets a token per step.
  Duration mTokenInterval{ 20'000 };
  /// Time to read one prompt token.
  Duration mPrefillPerToken{ 20 };
  std::uint64_t mMemoryTokens = 200'000;
  std::uint32_t mMaxBatch = 256;
  /// Output length when the request asks for none: uniform in this range.
  std::uint32_t mMinOutputTokens = 16;
  std::uint32_t mMaxOutputTokens = 256;
  /// A generation without a reader for this long is dropped.
  Duration mOrphanTimeout{ 30'000'000 };
  /// Version of the models that are loaded at the start.
  std::string mModelVersion = "v1";
  OrderedEngine::Options mOrders{ true,
                                  40ULL << 30U,
                                  std::chrono::milliseconds(100),
                                  16ULL << 30U };
};

enum class GenerationState : std::uint8_t
{
  kQueued,
  kRunning,
  kCompleted,
  kCancelled,
};

/// \brief One answer on the stand-in engine. Its events are computed from the
/// index, so that any of them can be sent again.
struct Generation
{
  std::string mId;
  std::string mModel;
  /// The request's metadata as JSON, which the response repeats.
  QByteArray mMetadata;
  /// xxHash of the input; the text of each token depends on it, so that a
  /// reader detects an answer to another request.
  std::uint64_t mInputHash = 0;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mOutputTokens = 0;
  std::uint32_t mGenerated = 0;
  std::uint32_t mReaders = 0;
  GenerationState mState = GenerationState::kQueued;
  MonotonicTime mPrefillEnds;
  MonotonicTime mLastRead;

  bool IsEnded() const { return mState >= GenerationState::kCompleted; }
  /// Number of events that exist so far.
  std::int64_t EventCount() const;
  /// Event by sequence number, as text of an event stream.
  QByteArray EventText(std::int64_t aSequence) const;
  /// The response object as JSON.
  QByteArray ResponseJson() const;
  std::string OutputText() const;
};

/// Text of one token; deterministic.
std::string
TokenText(std::uint64_t aInputHash, std::uint32_t aIndex);

/// \brief An engine with continuous batching and limited memory, without
/// network: generations share the batch and the memory, and the one that
/// started last is preempted when the memory is full.
class EngineModel
{
public:
  using OnStep = std::function<void()>;

  EngineModel(Scheduler& aScheduler, EngineOptions aOptions);

  /// Starts a generation; nullptr when the id exists already.
  Generation* Create(Generation aGeneration);
  /// nullptr when the engine does not know the id.
  Generation* Find(const std::string& aId);
  bool Cancel(const std::string& aId);
  bool HasModel(const std::string& aModel) const;
  OrderedEngine& Orders() { return mOrders; }
  /// Executes an order and returns the HTTP status of its reply.
  int Execute(const EngineOrder& aOrder);

  /// Runs after each batch step.
  void SetOnStep(OnStep aOnStep) { mOnStep = std::move(aOnStep); }
  QByteArray LoadJson() const;
  QByteArray StateJson() const;
  const EngineOptions& Options() const { return mOptions; }
  /// Forgets all generations, as a restarted process does.
  void Restart();

  std::uint64_t CreatedCount() const { return mCreated; }
  std::uint64_t CancelledCount() const { return mCancelled; }
  std::uint64_t Preemptions() const { return mPreemptions; }
  std::size_t RunningCount() const { return mRunning.size(); }

private:
  void Step();
  void Admit();
  void Advance(Generation& aGeneration);
  void Preempt();
  void DropOrphans();
  std::uint64_t MemoryUsed() const;

  Scheduler& mScheduler;
  EngineOptions mOptions;
  OnStep mOnStep;
  std::map<std::string, std::unique_ptr<Generation>> mGenerations;
  std::deque<Generation*> mQueue;
  /// In order of start.
  std::vector<Generation*> mRunning;
  std::deque<std::string> mEnded;
  TimerHandle mTimer;
  MonotonicTime mNextStep;
  OrderedEngine mOrders;
  std::uint64_t mOrderCount = 0;
  std::uint64_t mCreated = 0;
  std::uint64_t mCancelled = 0;
  std::uint64_t mPreemptions = 0;
};

} // namespace ragwortdeck
