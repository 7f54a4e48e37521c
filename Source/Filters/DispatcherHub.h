#pragma once

#include "Policy/Dispatcher.h"

#include <QObject>
#include <functional>
#include <memory>
#include <mutex>

namespace ragwortdeck {

/// \brief One dispatcher shared by the router's threads, under a mutex.
///
/// Decisions arrive on the thread of the receiver that was given on submit,
/// outside the lock.
class DispatcherHub
{
public:
  explicit DispatcherHub(std::unique_ptr<Dispatcher> aDispatcher);

  /// aCallback runs on the thread of aReceiver, never inside this call.
  /// aReceiver must stay until no thread calls the hub any more.
  Ticket Submit(const RequestTraits& aTraits,
                QObject* aReceiver,
                DispatchCallback aCallback);
  void OnTokens(Ticket aTicket, std::uint32_t aTokens);
  void OnFinished(Ticket aTicket, DispatchOutcome aOutcome);
  void Cancel(Ticket aTicket);
  void OnView(std::shared_ptr<const SiteView> aView);
  void OnLoadReport(const TargetId& aTarget, const LoadReport& aReport);
  void Tick();
  bool TryRetry(const RequestTraits& aTraits);
  PhaseLimits Limits(Ticket aTicket);
  /// Runs aUse with the dispatcher under the lock, for what the control link
  /// exchanges with it.
  void With(const std::function<void(Dispatcher&)>& aUse);

private:
  std::mutex mMutex;
  std::unique_ptr<Dispatcher> mDispatcher;
};

} // namespace ragwortdeck
