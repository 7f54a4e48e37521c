#pragma once

#include "Core/EngineOrder.h"
#include "Core/Result.h"
#include "Core/SiteView.h"
#include "Targets/ShortCalls.h"

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
///
/// Each call has a connection of its own: an engine may send a late copy of an
/// earlier answer, and nothing tells it from the answer to the next order.
class OrderClient
{
public:
  /// Each call ends within aTimeout; then its connection is closed, so that
  /// the engine cannot read the order later.
  explicit OrderClient(std::chrono::milliseconds aTimeout);

  void ReadState(const Target& aEngine,
                 std::function<void(Result<EngineState>)> aCallback);
  /// 2xx is accepted, 409 and 412 are stale, other statuses are refused;
  /// without a whole answer the effect is unknown.
  void Send(const Target& aEngine,
            const EngineOrder& aOrder,
            std::function<void(OrderReport)> aCallback);

private:
  HttpCall CallTo(const Target& aEngine, const char* aPath) const;

  std::chrono::milliseconds mTimeout;
  ShortCalls mCalls;
};

} // namespace ragwortdeck
