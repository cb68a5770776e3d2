// Replies to callers that several parts of the job API give.
#pragma once

#include <string_view>

#include "http/message.h"

namespace ebonygrade::poold {

// 503 with a Retry-After. Nothing was stored.
http::response retry_later(std::string_view reason);

}  // namespace ebonygrade::poold
