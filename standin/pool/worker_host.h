// Stand-in for one of the platform's workers: serves the platform's HTTP calls
// with a simulated worker and maintains its entry in service discovery.
//
// Injected faults: crash() and restart() begin another incarnation under the
// same id and address, drop_calls() closes connections on which such a call
// arrives, and keep_next_call() carries a call out only later, even in a later
// incarnation.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "clock/timer.h"
#include "http/server.h"
#include "pool/simulated_worker.h"
#include "standin/pool/keyed_store.h"

namespace ebonygrade::standin {

class worker_host {
 public:
  // Targets of calls.
  static constexpr char kStart[] = "/run-start";
  static constexpr char kStop[] = "/run-stop";
  static constexpr char kPoll[] = "/hold";
  static constexpr pool::milliseconds kShortTask{100};

  worker_host(boost::asio::io_context& context, std::string id,
              std::string service, pool::ledger* ledger,
              pool::gang_registry* gangs, keyed_store* store,
              pool::milliseconds task_time = kShortTask);

  // Writes the service discovery entry; `state` is "ready" or "draining".
  void announce(const std::string& state);

  // Ends all runs and closes the connections. The address refuses connections
  // until restart(), and the entry stays.
  void crash();
  // Serves as the next incarnation. Writes no entry, which may follow late.
  void restart();
  // Closes the connection of every call to these targets without carrying it
  // out.
  void drop_calls(std::set<std::string> targets) {
    dropped_ = std::move(targets);
  }
  std::uint64_t dropped_calls() const { return dropped_calls_; }
  // Leaves the next call to the target without a reply. carry_out_kept_call()
  // carries it out, in whatever incarnation, and drops its reply.
  void keep_next_call(const std::string& target) { target_to_keep_ = target; }
  bool keeps_call() const { return kept_call_.has_value(); }
  void carry_out_kept_call();
  // Calls that this incarnation has replied to.
  std::uint64_t replies(const std::string& target) const {
    std::map<std::string, std::uint64_t>::const_iterator found =
        replies_.find(target);
    return found == replies_.end() ? 0 : found->second;
  }

 private:
  void listen();
  void handle(http::request&& request, http::responder answer);
  std::optional<http::response> carry_out(const http::request& request);
  http::response handle_start(const http::request& request);
  http::response handle_stop(const http::request& request);
  http::response handle_poll(const http::request& request);
  void tick();

  boost::asio::io_context& context_;
  std::string id_;
  std::string service_;
  keyed_store* store_;
  pool::simulated_worker worker_;
  std::string address_ = "127.0.0.1:0";
  std::optional<http::server> server_;  // None while crashed.
  // Keeps the port while crashed.
  boost::asio::ip::tcp::socket reserved_port_;
  clock::timer timer_;
  std::set<std::string> dropped_;
  std::uint64_t dropped_calls_ = 0;
  std::uint64_t announcements_ = 0;  // Of this incarnation.
  std::string target_to_keep_;
  std::optional<http::request> kept_call_;
  std::optional<http::responder> kept_answer_;
  std::map<std::string, std::uint64_t> replies_;  // By target.
};

}  // namespace ebonygrade::standin
