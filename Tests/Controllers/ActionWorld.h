#pragma once

#include "Controllers/ActionExecutor.h"
#include "Support/ActionInvariants.h"
#include "Support/SimulatedProcess.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwortdeck {

/// What happens to one dispatch.
enum class DispatchFault
{
  kNone,
  /// Connection refused.
  kNotSent,
  kRequestLost,
  kReplyLost,
  /// Reaches the service after the dispatch has timed out.
  kDelayed,
  /// Answered after the answer limit, before the dispatch times out.
  kSlow,
};

/// What happens to one call between caller and host.
enum class CallerFault
{
  kNone,
  kRequestLost,
  kReplyLost,
  /// Reaches the host after the caller has given up.
  kDelayed,
  /// Reaches the host twice, the second time at once or after seconds.
  kDuplicated,
  kDuplicatedLate,
};

/// \brief A caller that repeats a call until it is told "ran".
struct CallerPlan
{
  std::string mAction;
  /// The idempotency key.
  std::string mKey;
  std::size_t mFirstHost = 0;
  int mMaxCalls = 5;
  /// A deliberate fault for tests of tests: takes a missing answer and
  /// "may-have-run" as proof that nothing ran, and uses a new key.
  bool mNewKeyAfterUnknown = false;
};

/// \brief Hosts with action executors, a key-value service and a target
/// service that runs whatever reaches it, in virtual time.
class ActionWorld
{
public:
  ActionWorld(std::size_t aHosts, ActionSettings aSettings);

  using OnResult = std::function<void(const ActionResult&)>;
  /// Nothing happens when the host's process is dead.
  void Call(std::size_t aHost,
            const ActionCall& aCall,
            const std::string& aAction,
            const OnResult& aOnResult);
  void StartCaller(const CallerPlan& aPlan);
  /// The history with what is known of hosts now.
  ActionHistory History() const;
  std::vector<std::string> Violations() const;
  ActionExecutor& Executor(std::size_t aHost);
  SimulatedProcess& Process(std::size_t aHost);

  static ActionCall MakeCall(const std::string& aAction,
                             const std::string& aKey);

  VirtualScheduler mScheduler;
  std::shared_ptr<FakeKeyValueService> mService;
  std::function<ProcessCallFault()> mKeyFault;
  std::function<DispatchFault()> mDispatchFault;
  std::function<CallerFault()> mCallerFault;
  std::function<ProcessFault(std::size_t aHost)> mStepFault;
  /// When set, the service answers queries by idempotency key.
  bool mQueries = false;
  /// Deliberate faults for tests of tests.
  bool mUnknownDispatchIsNotSent = false;
  bool mClockStopsWhileFrozen = false;
  /// Below the answer limit, so that callers also wait for queries.
  Duration mDispatchTimeout = std::chrono::seconds(6);
  Duration mRestartDelay = std::chrono::seconds(3);

private:
  struct Host
  {
    explicit Host(VirtualScheduler& aScheduler)
      : mProcess(aScheduler)
    {
    }
    SimulatedProcess mProcess;
    std::unique_ptr<ProcessKeyValueStore> mStore;
    std::unique_ptr<ActionExecutor> mExecutor;
  };

  void Deliver(std::size_t aHost,
               const ActionCall& aCall,
               const std::string& aAction,
               const OnResult& aOnResult);
  std::unique_ptr<Host> NewHost(std::size_t aIndex);
  void Dispatch(Host& aHost,
                const ActionCall& aCall,
                const std::string& aAttempt,
                const std::function<void(const DispatchReport&)>& aReport);
  void RunAtTarget(const ActionCall& aCall, const std::string& aAttempt);
  DispatchReport AnswerOf(const std::string& aKey) const;
  void Query(Host& aHost,
             const ActionCall& aCall,
             const std::function<void(const DispatchReport&)>& aReport);
  void Repeat(const CallerPlan& aPlan, int aCallNumber, bool aMayHaveRun);

  ActionSettings mSettings;
  std::uint64_t mNextSeed = 1;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<std::unique_ptr<Host>> mDead;
  ActionHistory mHistory;
  std::vector<SimulatedProcess*> mProcessOfCall;
  /// Answer of the target by idempotency key.
  std::map<std::string, std::string> mAnswers;
};

} // namespace ragwortdeck
