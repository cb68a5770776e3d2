// End-to-end benchmark with real processes on the loopback interface: three
// daemons and 48 workers of 8 slots. Prints one "name value unit" line per
// figure. Environment variables name the programs, as for the tests of
// testsuite/cell.
//
// The load is closed: a fixed number of requests is outstanding. Each request
// takes one executor slot and ends at once, so that the latency is that of the
// system itself.
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "cell/cell.h"
#include "figure.h"
#include "http/client.h"
#include "http/json.h"

namespace {

namespace bench = ebonygrade::bench;
namespace http = ebonygrade::http;
namespace testsuite = ebonygrade::testsuite;
namespace wire = ebonygrade::wire;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::chrono::seconds kLoadTime{8};
constexpr std::chrono::seconds kIdleTime{10};
constexpr std::size_t kKillTrials = 5;
constexpr milliseconds kCallTimeout{30000};
constexpr milliseconds kPollInterval{10};

// Keeps a fixed number of requests outstanding, spread over the daemons of a
// cell.
class closed_load {
 public:
  closed_load(testsuite::cell& cell, std::size_t outstanding, bool idempotent)
      : outstanding_(outstanding), idempotent_(idempotent) {
    http::client_options options;
    options.connections = outstanding / cell.daemon_count() + 1;
    for (std::size_t i = 0; i < cell.daemon_count(); ++i) {
      clients_.push_back(std::make_unique<http::client>(
          context_, cell.http_address(i), options));
    }
  }

  void run() {
    end_ = steady_clock::now() + kLoadTime;
    active_submitters_ = outstanding_;
    for (std::size_t i = 0; i < outstanding_; ++i) submit(i);
    context_.run();
  }

  // Latencies of all answered requests, in milliseconds, ascending.
  std::vector<double> sorted_latencies() {
    std::sort(latencies_.begin(), latencies_.end());
    return latencies_;
  }
  std::size_t unanswered() const { return unanswered_; }

 private:
  void submit(std::size_t submitter) {
    const steady_clock::time_point started_at = steady_clock::now();
    if (started_at >= end_) {
      end_submitter();
      return;
    }
    wire::job_request request = testsuite::make_request(
        (idempotent_ ? "many-" : "once-") + std::to_string(outstanding_) + "-" +
            std::to_string(next_id_++),
        idempotent_, milliseconds(0));
    request.set_class_(wire::urgent);
    request.set_payload("");
    clients_[submitter % clients_.size()]->call(
        "submit",
        http::json_request(http::verb::post, "/v1/requests?wait_ms=20000",
                           http::to_compact_json(request)),
        kCallTimeout,
        [this, submitter, started_at](http::call_result&& result) {
          finish(submitter, started_at, result);
        });
  }

  // Closes the persistent connections once no request is outstanding.
  void end_submitter() {
    if (--active_submitters_ > 0) return;
    for (std::unique_ptr<http::client>& each : clients_) each->close();
  }

  void finish(std::size_t submitter, steady_clock::time_point started_at,
              const http::call_result& result) {
    const std::chrono::duration<double, std::milli> elapsed =
        steady_clock::now() - started_at;
    if (result.has_value() && result->result() == http::status::ok) {
      latencies_.push_back(elapsed.count());
    } else {
      ++unanswered_;
    }
    submit(submitter);
  }

  boost::asio::io_context context_{1};
  std::vector<std::unique_ptr<http::client>> clients_;
  std::size_t outstanding_;
  std::size_t active_submitters_ = 0;
  bool idempotent_;
  std::uint64_t next_id_ = 0;
  steady_clock::time_point end_;
  std::vector<double> latencies_;
  std::size_t unanswered_ = 0;
};

double percentile(const std::vector<double>& ascending, double share) {
  if (ascending.empty()) return 0;
  const std::size_t index =
      static_cast<std::size_t>(share * static_cast<double>(ascending.size()));
  return ascending[std::min(index, ascending.size() - 1)];
}

// Sum of all series of one daemon's metric.
double metric_sum(testsuite::cell& cell, std::size_t daemon,
                  std::string_view name) {
  std::istringstream page(cell.call(daemon, "GET", "/metrics", "").body);
  std::string line;
  double sum = 0;
  while (std::getline(page, line)) {
    if (line.rfind(name, 0) != 0) continue;
    const char next = line[name.size()];
    if (next != ' ' && next != '{') continue;
    sum += std::stod(line.substr(line.rfind(' ') + 1));
  }
  return sum;
}

double metric_sum_of_cell(testsuite::cell& cell, std::string_view name) {
  double sum = 0;
  for (std::size_t i = 0; i < cell.daemon_count(); ++i) {
    sum += metric_sum(cell, i, name);
  }
  return sum;
}

// CPU time that a process has used.
std::chrono::duration<double> processor_time(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::vector<std::string> values((std::istream_iterator<std::string>(fields)),
                                  std::istream_iterator<std::string>());
  constexpr std::size_t kUserField = 11;
  const double ticks =
      std::stod(values[kUserField]) + std::stod(values[kUserField + 1]);
  return std::chrono::duration<double>(
      ticks / static_cast<double>(sysconf(_SC_CLK_TCK)));
}

double resident_mb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// Resident memory of the daemon that uses the most.
double max_resident_mb(testsuite::cell& cell) {
  double max_mb = 0;
  for (std::size_t i = 0; i < cell.daemon_count(); ++i) {
    max_mb = std::max(max_mb, resident_mb(cell.daemon(i).pid()));
  }
  return max_mb;
}

double mean_processor_share(testsuite::cell& cell,
                            const std::function<void()>& work) {
  const steady_clock::time_point started_at = steady_clock::now();
  std::chrono::duration<double> before{0};
  for (std::size_t i = 0; i < cell.daemon_count(); ++i) {
    before += processor_time(cell.daemon(i).pid());
  }
  work();
  std::chrono::duration<double> after{0};
  for (std::size_t i = 0; i < cell.daemon_count(); ++i) {
    after += processor_time(cell.daemon(i).pid());
  }
  const std::chrono::duration<double> elapsed =
      steady_clock::now() - started_at;
  return 100 * (after - before) / elapsed /
         static_cast<double>(cell.daemon_count());
}

testsuite::cell_options make_options(std::size_t daemons) {
  testsuite::cell_options options;
  options.daemons = daemons;
  options.workers = 48;
  options.short_timers = false;
  return options;
}

void measure_load(testsuite::cell& cell, std::size_t outstanding,
                  bool idempotent) {
  const std::string name = std::string("path.") +
                           (idempotent ? "idempotent" : "non_idempotent") +
                           ".outstanding_" + std::to_string(outstanding);
  const double starts_before =
      metric_sum_of_cell(cell, "ebonygrade_starts_sent_total");
  const double appends_before =
      metric_sum_of_cell(cell, "ebonygrade_log_appends_total");
  closed_load load(cell, outstanding, idempotent);
  const double share = mean_processor_share(cell, [&] { load.run(); });
  const std::vector<double> latencies = load.sorted_latencies();
  const double starts =
      metric_sum_of_cell(cell, "ebonygrade_starts_sent_total") - starts_before;
  const double appends =
      metric_sum_of_cell(cell, "ebonygrade_log_appends_total") - appends_before;
  bench::print_figure(name + ".answered",
                      static_cast<double>(latencies.size()) /
                          static_cast<double>(kLoadTime.count()),
                      "1/s");
  bench::print_figure(name + ".unanswered",
                      static_cast<double>(load.unanswered()), "requests");
  bench::print_figure(name + ".latency_p50", percentile(latencies, 0.5), "ms");
  bench::print_figure(name + ".latency_p99", percentile(latencies, 0.99), "ms");
  bench::print_figure(name + ".processor", share, "%/daemon");
  bench::print_figure(name + ".appends_per_1000_starts",
                      starts > 0 ? 1000 * appends / starts : 0, "appends");
}

void measure_idle(std::size_t daemons) {
  testsuite::cell cell(make_options(daemons));
  cell.start();
  const std::string name = "cell.daemons_" + std::to_string(daemons) + ".idle";
  const double before = metric_sum_of_cell(cell, "ebonygrade_peer_bytes_total");
  const double share = mean_processor_share(cell, [] {
    usleep(static_cast<useconds_t>(kIdleTime.count()) * 1000000);
  });
  const double bytes =
      metric_sum_of_cell(cell, "ebonygrade_peer_bytes_total") - before;
  bench::print_figure(name + ".processor", share, "%/daemon");
  bench::print_figure(name + ".link_bytes",
                      bytes / static_cast<double>(daemons) /
                          static_cast<double>(kIdleTime.count()),
                      "B/s/daemon");
  bench::print_figure(name + ".memory", max_resident_mb(cell), "MB");
}

// Time from the kill of a shard's owner until every shard is served again.
void measure_takeover() {
  std::vector<double> times;
  for (std::size_t i = 0; i < kKillTrials; ++i) {
    testsuite::cell cell(make_options(3));
    cell.start();
    const std::optional<std::size_t> owner =
        cell.owner_of("request-" + std::to_string(i), 0);
    if (!owner) continue;
    const steady_clock::time_point started_at = steady_clock::now();
    cell.kill_daemon(*owner);
    while (!cell.every_shard_served()) {
      usleep(static_cast<useconds_t>(kPollInterval.count()) * 1000);
    }
    const std::chrono::duration<double, std::milli> elapsed =
        steady_clock::now() - started_at;
    times.push_back(elapsed.count());
  }
  std::sort(times.begin(), times.end());
  bench::print_figure("cell.takeover_after_kill.least", times.front(), "ms");
  bench::print_figure("cell.takeover_after_kill.median",
                      times[times.size() / 2], "ms");
  bench::print_figure("cell.takeover_after_kill.most", times.back(), "ms");
}

}  // namespace

int main() {
  {
    testsuite::cell cell(make_options(3));
    cell.start();
    measure_load(cell, 1, true);
    measure_load(cell, 64, true);
    measure_load(cell, 256, true);
    measure_load(cell, 256, false);
    bench::print_figure("cell.daemons_3.loaded.memory", max_resident_mb(cell),
                        "MB");
  }
  for (const std::size_t daemons : {3, 6, 9}) measure_idle(daemons);
  measure_takeover();
  return 0;
}
