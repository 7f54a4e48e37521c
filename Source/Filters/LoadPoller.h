#pragma once

#include "Core/SiteView.h"
#include "Targets/CurlMulti.h"

#include <QTimer>
#include <functional>
#include <map>
#include <memory>

namespace ragwortdeck {

/// \brief Asks each engine of a view for its load, periodically, unless a
/// report about it came in another way.
class LoadPoller
{
public:
  using ReadView = std::function<std::shared_ptr<const SiteView>()>;
  using OnReport = std::function<void(const TargetId&, const LoadReport&)>;

  LoadPoller(std::chrono::milliseconds aPeriod,
             ReadView aReadView,
             OnReport aOnReport);

  /// A report came from the control process.
  void OnHeard(const TargetId& aTarget);

private:
  bool IsHeard(const TargetId& aTarget) const;
  void PollAll();
  void Poll(const Target& aTarget);

  std::chrono::milliseconds mPeriod;
  ReadView mReadView;
  OnReport mOnReport;
  CurlMulti mCurl;
  QTimer mTimer;
  std::map<TargetId, std::chrono::steady_clock::time_point> mHeard;
  /// Calls in flight; one per target at a time.
  std::map<TargetId, std::unique_ptr<CurlTransfer>> mCalls;
};

} // namespace ragwortdeck
