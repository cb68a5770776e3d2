#include "tool/caller.h"

#include <utility>

namespace ebonygrade::tool {

// One call on its way through the daemons.
struct caller::progress {
  tool::call call;
  caller::handler handler;
  std::size_t index = 0;
  std::size_t tries_left = 0;
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
  std::shared_ptr<progress> started = std::make_shared<progress>();
  started->call = call;
  started->handler = std::move(handler);
  started->index = next_++ % clients_.size();
  started->tries_left = clients_.size();
  try_next(std::move(started));
}

void caller::send_to(std::size_t index, const tool::call& call,
                     handler handler) {
  std::shared_ptr<progress> started = std::make_shared<progress>();
  started->call = call;
  started->handler = std::move(handler);
  started->index = index;
  started->tries_left = 1;
  try_next(std::move(started));
}

void caller::try_next(std::shared_ptr<progress> progress) {
  progress->report.address = address(progress->index);
  http::client& client = *clients_[progress->index];
  const tool::call& call = progress->call;
  client.call(call.step,
              http::json_request(call.method, call.target, call.body),
              call.timeout, [this, progress](http::call_result&& result) {
                call_report& report = progress->report;
                if (result.has_value()) {
                  report.reply = std::move(*result);
                  progress->handler(std::move(report));
                  return;
                }
                report.cause = result.error().cause;
                if (result.error().maybe_sent) report.maybe_sent = true;
                --progress->tries_left;
                bool stop = report.maybe_sent &&
                            progress->call.repeat == repeat::unsafe;
                if (progress->tries_left == 0 || stop) {
                  progress->handler(std::move(report));
                  return;
                }
                progress->index = (progress->index + 1) % clients_.size();
                try_next(progress);
              });
}

}  // namespace ebonygrade::tool
