// One stand-in worker on a TCP port of its own: serves wire/worker.proto over
// HTTP from a task table and brings about the faults of test control.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clock/clock.h"
#include "control/control.pb.h"
#include "error/error.h"
#include "http/server.h"
#include "standin/worker/task_table.h"

namespace ebonygrade::standin::worker {

class worker_host {
 public:
  // Runs on `context`, by one thread; all members are called on it. The
  // ledger outlives the host. `boot` is the worker's first boot id.
  worker_host(boost::asio::io_context& context, const clock::clock& clock,
              const table_options& options, std::uint64_t boot,
              ledger_book* book);
  ~worker_host();
  worker_host(const worker_host&) = delete;
  worker_host& operator=(const worker_host&) = delete;

  // Listens at "IP:PORT"; port 0 picks a free one, which is kept for life.
  error::result<void> open(std::string_view address);
  const std::string& id() const { return table_.options.id; }
  const std::string& address() const { return address_; }
  const task_table& table() const { return table_; }
  std::size_t connection_count() const;

  // Brings about a fault, or ends all of them with `none`.
  error::result<void> inject(worker_fault fault);

 private:
  struct held_request {
    http::request request;
    http::responder answer;
  };
  struct waiting_poll {
    std::uint64_t after = 0;
    http::responder answer;
    steady_time until;
  };

  error::result<void> listen(std::string_view address);
  void handle(http::request&& request, const http::responder& answer);
  void serve(const http::request& request, const http::responder& answer);
  void serve_call(const std::string& call, const http::request& request,
                  const http::responder& answer);
  void serve_events(const http::target_parts& target,
                    const http::responder& answer);
  void reply(const http::responder& answer,
             const google::protobuf::Message& message);
  void hold(http::request&& request, const http::responder& answer);
  void silence_connections();
  void thaw();
  void stop_listening();
  void advance();
  void wake_polls(steady_time now);
  void schedule();

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  task_table table_;
  ledger_book* book_;
  std::string address_;
  boost::asio::steady_timer timer_;
  std::vector<waiting_poll> polls_;
  std::deque<held_request> held_;  // Until the end of a freeze.
  std::vector<http::responder> silenced_;
  std::uint64_t newest_connection_ = 0;
  std::uint64_t silent_up_to_ = 0;  // Connections that never answer again.
  bool drop_answers_ = false;
  std::optional<http::server> server_;
};

}  // namespace ebonygrade::standin::worker
