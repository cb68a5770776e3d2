#include "poold/job_replies.h"

namespace ebonygrade::poold {

namespace {

constexpr char kRetryAfterSeconds[] = "1";

}  // namespace

http::response retry_later(std::string_view reason) {
  http::response reply =
      http::error_response(http::status::service_unavailable, reason);
  reply.set(boost::beast::http::field::retry_after, kRetryAfterSeconds);
  return reply;
}

}  // namespace ebonygrade::poold
