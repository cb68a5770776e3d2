#include "poold/job_replies.h"

#include <string>

namespace ebonygrade::poold {

http::response retry_later(std::string_view reason,
                           std::chrono::seconds retry_after) {
  http::response reply =
      http::error_response(http::status::service_unavailable, reason);
  reply.set(boost::beast::http::field::retry_after,
            std::to_string(retry_after.count()));
  return reply;
}

}  // namespace ebonygrade::poold
