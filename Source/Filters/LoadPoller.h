#pragma once

#include "Core/SiteView.h"
#include "Targets/CurlMulti.h"

#include <QTimer>
#include <functional>
#include <map>
#include <memory>

namespace ragwortdeck {

/// \brief Asks each engine of a view for its load, periodically.
class LoadPoller
{
public:
  using ReadView = std::function<std::shared_ptr<const SiteView>()>;
  using OnReport = std::function<void(const TargetId&, const LoadReport&)>;

  LoadPoller(std::chrono::milliseconds aPeriod,
             ReadView aReadView,
             OnReport aOnReport);

private:
  void PollAll();
  void Poll(const Target& aTarget);

  std::chrono::milliseconds mPeriod;
  ReadView mReadView;
  OnReport mOnReport;
  CurlMulti mCurl;
  QTimer mTimer;
  /// Calls in flight; one per target at a time.
  std::map<TargetId, std::unique_ptr<CurlTransfer>> mCalls;
};

} // namespace ragwortdeck
