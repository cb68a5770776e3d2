// One stand-in worker with its own TCP port: serves wire/worker.proto over HTTP
// from a task table and injects the faults that a test requests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clock/clock.h"
#include "clock/timer.h"
#include "control/control.pb.h"
#include "error/error.h"
#include "http/server.h"
#include "standin/worker/task_table.h"

namespace ebonygrade::standin::worker {

class worker_host {
 public:
  // Runs on `context`, which one thread runs; all members must be called on
  // that thread. `book` must outlive the host. `boot` is the worker's first
  // boot id.
  worker_host(boost::asio::io_context& context, const clock::clock& clock,
              const table_options& options, std::uint64_t boot,
              ledger_book* book);
  ~worker_host();
  worker_host(const worker_host&) = delete;
  worker_host& operator=(const worker_host&) = delete;

  // Listens at "IP:PORT"; port 0 picks a free port, which the worker keeps
  // across restarts.
  error::result<void> open(std::string_view address);
  const std::string& id() const { return table_.options.id; }
  const std::string& address() const { return address_; }
  const task_table& table() const { return table_; }
  std::size_t connection_count() const;

  // Injects a fault; `none` ends freeze, drop_answers, fail_all and kill.
  error::result<void> inject(worker_fault fault);

 private:
  struct deferred_request {
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
  void defer(http::request&& request, const http::responder& answer);
  void silence_connections();
  void unfreeze();
  void stop_listening();
  void advance();
  void answer_due_polls(steady_time now);
  void schedule_advance();

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  task_table table_;
  ledger_book* book_;
  std::string address_;
  clock::timer timer_;
  std::vector<waiting_poll> polls_;
  std::deque<deferred_request> deferred_;  // Served when a freeze ends.
  std::vector<http::responder> unanswered_;
  std::uint64_t newest_connection_ = 0;
  // Connections up to this number never get a reply again.
  std::uint64_t last_silent_connection_ = 0;
  bool drop_answers_ = false;
  std::optional<http::server> server_;
};

}  // namespace ebonygrade::standin::worker
