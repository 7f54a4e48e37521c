#pragma once

#include "Core/Scheduler.h"
#include "StandIns/StandInHttpServer.h"

#include <memory>

namespace ragwortdeck {

/// \brief Stand-in of the platform's host list (Prometheus HTTP SD JSON).
///
/// GET of any other path returns the list. POST /standin/hosts replaces it;
/// the change shows after the lag. POST /standin/faults takes {"down",
/// "lag_ms"}; GET /standin/counts returns {"get": n}.
class HostListService : public StandInHttpServer
{
public:
  explicit HostListService(Scheduler& aScheduler);

  /// Replaces the list after the lag.
  void SetList(QByteArray aJson);

  Duration mLag{};
  bool mDown = false;
  std::uint64_t mGets = 0;

protected:
  void Handle(const QHttpServerRequest& aRequest,
              const StandInReply& aReply) override;

private:
  void ServeControl(const QHttpServerRequest& aRequest,
                    const StandInReply& aReply);

  Scheduler& mScheduler;
  QByteArray mList = "[]";
  std::shared_ptr<int> mAlive;
};

} // namespace ragwortdeck
