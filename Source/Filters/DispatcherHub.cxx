#include "Filters/DispatcherHub.h"

#include <optional>
#include <utility>

namespace ragwortdeck {

namespace {

/// Where a decision waits until the submitting thread can take it.
struct Pending
{
  DispatchCallback mCallback;
  QObject* mReceiver = nullptr;
  /// Guarded by the hub's mutex.
  bool mIsSubmitting = true;
  std::optional<DispatchDecision> mEarly;
};

void
Accept(const std::shared_ptr<Pending>& aPending,
       const DispatchDecision& aDecision)
{
  if (aPending->mIsSubmitting) {
    aPending->mEarly = aDecision;
    return;
  }
  QMetaObject::invokeMethod(
    aPending->mReceiver,
    [aPending, aDecision] { aPending->mCallback(aDecision); },
    Qt::QueuedConnection);
}

} // namespace

DispatcherHub::DispatcherHub(std::unique_ptr<Dispatcher> aDispatcher)
  : mDispatcher(std::move(aDispatcher))
{
}

Ticket
DispatcherHub::Submit(const RequestTraits& aTraits,
                      QObject* aReceiver,
                      DispatchCallback aCallback)
{
  const auto pending = std::make_shared<Pending>();
  pending->mCallback = std::move(aCallback);
  pending->mReceiver = aReceiver;
  Ticket ticket = 0;
  {
    const std::lock_guard lock(mMutex);
    ticket = mDispatcher->Submit(aTraits,
                                 [pending](const DispatchDecision& aDecision) {
                                   Accept(pending, aDecision);
                                 });
    pending->mIsSubmitting = false;
  }
  if (pending->mEarly) {
    // Runs after the caller has stored the ticket.
    QMetaObject::invokeMethod(
      aReceiver,
      [pending] { pending->mCallback(*pending->mEarly); },
      Qt::QueuedConnection);
  }
  return ticket;
}

void
DispatcherHub::OnTokens(Ticket aTicket, std::uint32_t aTokens)
{
  const std::lock_guard lock(mMutex);
  mDispatcher->OnTokens(aTicket, aTokens);
}

void
DispatcherHub::OnFinished(Ticket aTicket, DispatchOutcome aOutcome)
{
  const std::lock_guard lock(mMutex);
  mDispatcher->OnFinished(aTicket, aOutcome);
}

void
DispatcherHub::Cancel(Ticket aTicket)
{
  const std::lock_guard lock(mMutex);
  mDispatcher->Cancel(aTicket);
}

void
DispatcherHub::OnView(std::shared_ptr<const SiteView> aView)
{
  const std::lock_guard lock(mMutex);
  mDispatcher->OnView(std::move(aView));
}

void
DispatcherHub::OnLoadReport(const TargetId& aTarget, const LoadReport& aReport)
{
  const std::lock_guard lock(mMutex);
  mDispatcher->OnLoadReport(aTarget, aReport);
}

void
DispatcherHub::Tick()
{
  const std::lock_guard lock(mMutex);
  mDispatcher->Tick();
}

bool
DispatcherHub::TryRetry(const RequestTraits& aTraits)
{
  const std::lock_guard lock(mMutex);
  return mDispatcher->TryRetry(aTraits);
}

PhaseLimits
DispatcherHub::Limits(Ticket aTicket)
{
  const std::lock_guard lock(mMutex);
  return mDispatcher->Limits(aTicket);
}

void
DispatcherHub::With(const std::function<void(Dispatcher&)>& aUse)
{
  const std::lock_guard lock(mMutex);
  aUse(*mDispatcher);
}

} // namespace ragwortdeck
