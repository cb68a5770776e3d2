// Replies to callers that several parts of the job API give.
#pragma once

#include <chrono>
#include <string_view>

#include "http/message.h"

namespace ebonygrade::poold {

// Told where nothing is known about when a call would be served.
inline constexpr std::chrono::seconds kRetryAfter{1};

// 503 with a Retry-After. Nothing was stored.
http::response retry_later(std::string_view reason,
                           std::chrono::seconds retry_after = kRetryAfter);

}  // namespace ebonygrade::poold
