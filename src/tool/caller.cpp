#include "tool/caller.h"

#include <utility>

namespace ebonygrade::tool {

// A call that no daemon has replied to yet.
struct caller::pending_call {
  tool::call call;
  caller::handler handler;
  std::size_t index = 0;
  std::size_t remaining_tries = 0;
  call_report report;
};

caller::caller(boost::asio::io_context& context,
               const connection_options& options, std::size_t connections)
    : options_(options) {
  http::client_options client_options;
  client_options.connections = connections;
  client_options.call_timeout = options.timeout;
  for (const std::string& address : options_.addresses) {
    clients_.push_back(
        std::make_unique<http::client>(context, address, client_options));
  }
}

const std::string& caller::address(std::size_t index) const {
  return options_.addresses[index];
}

void caller::send(const tool::call& call, handler handler) {
  std::shared_ptr<pending_call> pending = std::make_shared<pending_call>();
  pending->call = call;
  pending->handler = std::move(handler);
  pending->index = next_index_++ % clients_.size();
  pending->remaining_tries = clients_.size();
  try_next(std::move(pending));
}

void caller::send_to(std::size_t index, const tool::call& call,
                     handler handler) {
  std::shared_ptr<pending_call> pending = std::make_shared<pending_call>();
  pending->call = call;
  pending->handler = std::move(handler);
  pending->index = index;
  pending->remaining_tries = 1;
  try_next(std::move(pending));
}

void caller::try_next(std::shared_ptr<pending_call> pending) {
  pending->report.address = address(pending->index);
  http::client& client = *clients_[pending->index];
  const tool::call& call = pending->call;
  client.call(call.step,
              http::json_request(call.method, call.target, call.body),
              call.timeout, [this, pending](http::call_result&& result) {
                call_report& report = pending->report;
                if (result.has_value()) {
                  report.reply = std::move(*result);
                  pending->handler(std::move(report));
                  return;
                }
                report.cause = result.error().cause;
                if (result.error().maybe_sent) report.maybe_sent = true;
                --pending->remaining_tries;
                bool may_have_effect =
                    report.maybe_sent && pending->call.repeat == repeat::unsafe;
                if (pending->remaining_tries == 0 || may_have_effect) {
                  pending->handler(std::move(report));
                  return;
                }
                pending->index = (pending->index + 1) % clients_.size();
                try_next(pending);
              });
}

}  // namespace ebonygrade::tool
