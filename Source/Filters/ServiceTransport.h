#pragma once

#include "Controllers/ActionCall.h"
#include "Core/RandomSource.h"
#include "Core/SiteView.h"
#include "Targets/CurlMulti.h"

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace ragwortdeck {

/// \brief Sends actions to services: each dispatch once, over a new
/// connection. Lives on the thread of the action executor.
class ServiceTransport
{
public:
  using ReadView = std::function<std::shared_ptr<const SiteView>()>;
  using OnReport = std::function<void(const DispatchReport&)>;

  ServiceTransport(ReadView aReadView,
                   std::chrono::milliseconds aConnectTimeout,
                   std::chrono::milliseconds aTimeout,
                   RandomSource aRandom);

  /// Hooks for the action executor; this object must outlive their use.
  ActionDispatchHook DispatchHook();
  ActionQueryHook QueryHook();

private:
  struct InFlight
  {
    DispatchReport mReport;
    bool mIsTooLarge = false;
    std::unique_ptr<CurlTransfer> mTransfer;
  };

  void Send(const ActionCall& aCall,
            const std::string& aMethod,
            OnReport aOnReport);

  ReadView mReadView;
  std::chrono::milliseconds mConnectTimeout;
  std::chrono::milliseconds mTimeout;
  RandomSource mRandom;
  CurlMulti mCurl;
  std::list<InFlight> mCalls;
};

/// A live target that offers the service, or nullptr. Targets in aAvoid are
/// chosen only when there is no other.
const Target*
ChooseServiceTarget(const SiteView& aView,
                    const std::string& aService,
                    const std::vector<TargetId>& aAvoid,
                    RandomSource& aRandom);

} // namespace ragwortdeck
