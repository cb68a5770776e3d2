// A cell for tests: daemons, a store and workers in one process, connected over
// loopback.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clock/clock.h"
#include "http/address.h"
#include "platform/callers.h"
#include "poold/node.h"
#include "standin/pool/keyed_store.h"
#include "standin/pool/worker_host.h"
#include "testsuite/cell/ports.h"

namespace ebonygrade::poold {

inline constexpr std::chrono::seconds kConditionTimeout{20};
inline constexpr char kHost[] = "jobs.example";
inline constexpr char kJob[] = "00000000000000aa";
inline constexpr char kBody[] =
    R"({"spec":"s","steps":[{"count":2,"cpu":100,"memMb":1,"estMs":100}]})";
inline constexpr char kManifest[] =
    R"({"version":3,"routes":[{"name":"r","host":"jobs.example",)"
    R"("pathPrefix":"/q/","service":"pool-a","priority":0,"attempts":2,)"
    R"("stretch":2.0,"targetLatencyMs":500}],"services":[]})";

struct cell {
  boost::asio::io_context context{1};
  clock::system_clock clock;
  standin::keyed_store store{context};
  pool::ledger ledger;
  pool::gang_registry gangs;
  std::vector<std::unique_ptr<standin::worker_host>> workers;
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<std::string> caller_addresses;  // By node.
  std::vector<std::string> peer_addresses;    // By node.
  std::string machines_address;
  std::string advice_address;
  node_settings defaults;          // Of the nodes that are added.
  std::string api_key;             // Of the calls that are made; empty: none.
  bool admission_enabled = false;  // For further daemons.
  std::uint64_t submitted_tasks = 0;

  std::string free_address() {
    return "127.0.0.1:" + std::to_string(testsuite::free_ports(1).at(0));
  }

  void add_worker(const std::string& id,
                  milliseconds task_time = standin::worker_host::kShortTask) {
    workers.push_back(std::make_unique<standin::worker_host>(
        context, id, "pool-a", &ledger, &gangs, &store, task_time));
  }

  void add_node(const std::string& id) {
    node_settings settings = defaults;
    settings.id = id;
    settings.zone = "zone-a";
    settings.region = "region-a";
    settings.client_address = free_address();
    settings.ready_address = free_address();
    settings.peer_address = free_address();
    if (settings.store_address.empty()) {
      settings.store_address = store.address();
    }
    settings.machines_address = machines_address;
    settings.advice_address = advice_address;
    settings.admission_enabled = admission_enabled;
    caller_addresses.push_back(settings.client_address);
    peer_addresses.push_back(settings.peer_address);
    nodes.push_back(std::make_unique<node>(context, clock, settings));
    REQUIRE(nodes.back()->start().has_value());
  }

  bool wait_until(const std::function<bool()>& condition) {
    clock::steady_time end = clock.now() + kConditionTimeout;
    while (!condition() && clock.now() < end) {
      context.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
  }

  // Returns nothing if the call failed.
  std::optional<http::response> exchange(std::size_t node_index,
                                         http::verb method,
                                         const std::string& path,
                                         const std::string& body = "") {
    boost::asio::ip::tcp::socket socket(context);
    std::optional<http::response> out;
    bool done = false;
    http::request request{method, path, http::kHttpVersion11};
    request.body() = body;
    if (!api_key.empty()) request.set(platform::kKeyHeader, api_key);
    request.prepare_payload();
    boost::beast::flat_buffer buffer;
    http::response reply;
    socket.async_connect(
        http::parse_address(caller_addresses.at(node_index)).value(),
        [&](boost::system::error_code failed) {
          if (failed) return void(done = true);
          request.set(boost::beast::http::field::host, kHost);
          boost::beast::http::async_write(
              socket, request,
              [&](boost::system::error_code sent, std::size_t) {
                if (sent) return void(done = true);
                boost::beast::http::async_read(
                    socket, buffer, reply,
                    [&](boost::system::error_code got, std::size_t) {
                      if (!got) out = std::move(reply);
                      done = true;
                    });
              });
        });
    wait_until([&] { return done; });
    return out;
  }

  // Returns the status and body of the reply; status 0 if the call failed.
  std::pair<unsigned, std::string> call(std::size_t node_index,
                                        http::verb method,
                                        const std::string& path,
                                        const std::string& body = "") {
    std::optional<http::response> reply =
        exchange(node_index, method, path, body);
    if (!reply) return {0, ""};
    return {reply->result_int(), reply->body()};
  }

  // Submits a job with one step of plain tasks to the first daemon.
  void submit(const std::string& id, std::uint32_t tasks,
              std::uint32_t cpu_milli = 100) {
    wire::job_submission job;
    job.add_steps()->set_count(tasks);
    ledger.add_job(id, job, 2);
    submitted_tasks += tasks;
    std::string body = R"({"spec":"s","steps":[{"count":)" +
                       std::to_string(tasks) + R"(,"cpu":)" +
                       std::to_string(cpu_milli) +
                       R"(,"memMb":1,"estMs":100}]})";
    REQUIRE(call(0, http::verb::post, "/q/" + id, body).first == 200);
  }

  bool completes(const std::string& id) {
    return wait_until([&] {
      return call(0, http::verb::get, "/q/" + id).second ==
             R"({"state":"complete"})";
    });
  }

  // Checks that every submitted task ran once.
  void check_runs() {
    for (const std::string& each : ledger.violations()) UNSCOPED_INFO(each);
    CHECK(ledger.violations().empty());
    CHECK(ledger.starts() == submitted_tasks);
  }

  // Whether the daemon's metrics show this line.
  bool has_metric(std::size_t node_index, const std::string& line) {
    caller_addresses.push_back(peer_addresses.at(node_index));
    std::string text =
        call(caller_addresses.size() - 1, http::verb::get, "/metrics").second;
    caller_addresses.pop_back();
    return text.find("\n" + line + "\n") != std::string::npos;
  }

  // Whether the daemon has loaded a copy of the journal.
  bool has_copy(std::size_t node_index) {
    return has_metric(node_index, "ebonygrade_pool_standby 1");
  }

  // Adds two daemons that know of no owner, so that both load the journal.
  bool start_owner_and_standby() {
    for (const char* id : {"n1", "n2"}) add_node(id);
    return wait_until([&] {
      return nodes[0]->owns_pool() != nodes[1]->owns_pool() && has_copy(0) &&
             has_copy(1);
    });
  }

  bool tells_queue_length(std::size_t node_index, int not_started) {
    return wait_until([&] {
      return call(node_index, http::verb::get, "/q/").second ==
             R"({"notStarted":)" + std::to_string(not_started) + "}";
    });
  }

  // Whether the daemon refuses to tell the queue's length for now.
  bool refuses_queue_length(std::size_t node_index) {
    std::optional<http::response> reply =
        exchange(node_index, http::verb::get, "/q/");
    return reply && reply->result() == http::status::service_unavailable &&
           !(*reply)[boost::beast::http::field::retry_after].empty();
  }

  bool reaches_state(std::size_t node_index, const std::string& state) {
    return wait_until([&] {
      return call(node_index, http::verb::get, "/q/" + std::string(kJob))
                 .second == R"({"state":")" + state + "\"}";
    });
  }
};

inline wire::job_submission submission() {
  wire::job_submission job;
  wire::step_definition* step = job.add_steps();
  step->set_count(2);
  return job;
}

// A cell that is too large for a copy of the journal in every daemon.
struct large_cell : cell {
  static constexpr std::size_t kDaemons = 12;
  // The owner and two standbys, as all daemons are in one region.
  static constexpr std::size_t kCopies = 3;

  large_cell() {
    ledger.add_job(kJob, submission(), 2);
    store.put("keyed.op", "config", kManifest);
    add_worker("w1");
    for (std::size_t i = 0; i < kDaemons; ++i) add_node(std::to_string(i));
  }
  std::size_t copies() const {
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(), [](const std::unique_ptr<node>& each) {
          return each && each->follows_journal();
        }));
  }
  bool all_ready() const {
    return std::all_of(nodes.begin(), nodes.end(),
                       [](const std::unique_ptr<node>& each) {
                         return !each || each->is_ready();
                       });
  }
  // Index of a daemon without a copy.
  std::size_t daemon_without_copy() const {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i] && !nodes[i]->follows_journal()) return i;
    }
    FAIL("every daemon has a copy of the journal");
    return 0;
  }
  bool settles() {
    return wait_until([&] { return copies() == kCopies && all_ready(); });
  }
};

}  // namespace ebonygrade::poold
