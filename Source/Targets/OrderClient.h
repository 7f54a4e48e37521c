#pragma once

#include "Core/EngineOrder.h"
#include "Core/Result.h"
#include "Core/SiteView.h"

#include <QNetworkAccessManager>
#include <functional>
#include <string>

namespace ragwortdeck {

/// JSON body of POST /orders: "id", "action", "fencing", "expires_in_ms", and
/// those of "model", "version", "adapter", "role" that are not empty.
std::string
EncodeEngineOrder(const EngineOrder& aOrder);

/// Reads the JSON of GET /state: "fencing", "role", "memory_free_bytes",
/// "models": [{"model", "version", "ready", "adapters": []}].
Result<EngineState>
DecodeEngineState(const std::string& aJson);

/// \brief Sends orders to engines and reads their state over HTTP.
class OrderClient
{
public:
  /// Each call ends within aTimeout; then its connection is closed, so that
  /// the engine cannot read the order later.
  explicit OrderClient(std::chrono::milliseconds aTimeout);

  void ReadState(const Target& aEngine,
                 std::function<void(Result<EngineState>)> aCallback);
  /// 2xx is accepted, 409 and 412 are stale, other statuses are refused;
  /// without a status the effect is unknown.
  void Send(const Target& aEngine,
            const EngineOrder& aOrder,
            std::function<void(OrderReport)> aCallback);

private:
  QNetworkRequest RequestTo(const Target& aEngine, const char* aPath) const;

  /// Aborts a reply that takes longer than the timeout as a whole.
  void Bound(QNetworkReply* aReply) const;

  std::chrono::milliseconds mTimeout;
  QNetworkAccessManager mNetwork;
};

} // namespace ragwortdeck
