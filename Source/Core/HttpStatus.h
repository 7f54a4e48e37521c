#pragma once

namespace ragwortdeck {

// HTTP status codes that are sent or read.
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusForbidden = 403;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusWrongMethod = 405;
inline constexpr int kStatusRequestTimeout = 408;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusTooLarge = 413;
inline constexpr int kStatusMisdirected = 421;
inline constexpr int kStatusUnprocessable = 422;
inline constexpr int kStatusTooMany = 429;
inline constexpr int kStatusHeaderTooLarge = 431;
inline constexpr int kStatusNotImplemented = 501;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusTimeout = 504;

} // namespace ragwortdeck
