#pragma once

#include "StandIns/LinkRelay.h"

#include <QHttpServer>
#include <map>
#include <memory>
#include <string>

namespace ragwortdeck {

/// \brief A set of named links and their control interface over HTTP.
///
/// `GET /links` lists the links. `POST /links/{name}` sets the fault state:
/// {"forward", "backward": "pass" | "stall" | "drop", "delay_ms", "refuse",
/// "close"}; a field that is absent takes its fault-free value. "close" ends
/// the open connections once.
class LinkServer
{
public:
  explicit LinkServer(const Endpoint& aControl);

  /// Adds a link; returns false when its address is in use.
  bool Add(const std::string& aName,
           const Endpoint& aListen,
           const Endpoint& aTarget);
  /// Returns the control port, or 0 when the address is in use.
  std::uint16_t Listen();

private:
  QHttpServerResponse Set(const std::string& aName, const QByteArray& aBody);

  Endpoint mControl;
  std::map<std::string, std::unique_ptr<LinkRelay>> mLinks;
  QHttpServer mHttp;
};

} // namespace ragwortdeck
