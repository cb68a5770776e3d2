// For tests: a way to the store that can be made to reject calls or to leave
// them without a reply.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "poold/peer_paths.h"

namespace ebonygrade::poold {

enum class service { serves, rejects, is_silent };

// The store as one daemon sees it, or a relay to it.
class store_gateway {
 public:
  store_gateway(boost::asio::io_context& context, const std::string& store)
      : client_(context, store, options()),
        server_(context, {},
                [this](http::request&& request, http::responder answer) {
                  ++calls_;
                  if (state == service::is_silent) {
                    return unanswered_.push_back(std::move(answer));
                  }
                  if (state == service::rejects) {
                    return answer(http::error_response(
                        http::status::service_unavailable, "turned away"));
                  }
                  request.erase(boost::beast::http::field::connection);
                  std::string target(request.target());
                  if (target.starts_with(kStorePath)) {
                    request.target(target.substr(kStorePath.size()));
                  }
                  client_.call(
                      "store", std::move(request),
                      [this, answer](http::call_result&& result) {
                        if (state != service::serves || result.has_error()) {
                          return unanswered_.push_back(answer);
                        }
                        answer(http::text_response(result->result(),
                                                   "application/octet-stream",
                                                   std::move(result->body())));
                      });
                }) {
    server_.listen("127.0.0.1:0").value();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
  }

  // Calls that have arrived.
  std::size_t calls() const { return calls_; }
  // Rejects the calls that have been left without a reply.
  void reject_unanswered() {
    for (const http::responder& each : std::exchange(unanswered_, {})) {
      each(http::error_response(http::status::service_unavailable,
                                "turned away"));
    }
  }

  service state = service::serves;

 private:
  static http::client_options options() {
    http::client_options options;
    options.connections = 32;
    return options;
  }

  std::size_t calls_ = 0;
  std::vector<http::responder> unanswered_;
  http::client client_;
  http::server server_;
};

}  // namespace ebonygrade::poold
