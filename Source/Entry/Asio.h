#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including this header.
#include <utility>

#include "Core/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
// GCC 12 with sanitizers takes the empty optional lengths of its parser for
// uninitialised ones.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/beast/http.hpp>
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic pop
#endif

namespace ragwortdeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using udp = boost::asio::ip::udp;
using boost::system::error_code;

/// Return type of a coroutine.
template<typename T>
using Task = asio::awaitable<T>;

/// Completion token that stores an error in aError instead of throwing it.
inline auto
RedirectError(error_code& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

/// Waits for the duration aTime.
inline Task<void>
SleepFor(asio::io_context& aContext, Duration aTime)
{
  asio::steady_timer timer(aContext, aTime);
  error_code ec;
  co_await timer.async_wait(RedirectError(ec));
}

} // namespace ragwortdeck
