// Cost of the worker adapter: CPU usage, calls and traffic at a constant rate
// of starts, and with workers that are idle or run one service each.
//
//   adapter_bench [WORKERS] [STARTS_PER_SECOND] [SECONDS]
//
// Prints one "name value unit" line per figure. The stand-in workers run in a
// separate thread, whose cost is not counted.
#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "standin/worker/fleet.h"
#include "worker/adapter.h"

namespace asio = boost::asio;
namespace standin = ebonygrade::standin;
namespace ring = ebonygrade::ring;
namespace wire = ebonygrade::wire;
namespace worker = ebonygrade::worker;
using ebonygrade::clock::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t kRingCapacity = 16384;
constexpr milliseconds kSendInterval{2};
constexpr int kDefaultWorkers = 48;
constexpr int kDefaultStartsPerSecond = 4000;
constexpr int kDefaultSeconds = 5;
constexpr double kPercent = 100;
constexpr double kMicrosecondsPerSecond = 1e6;

// A thread that runs an I/O context.
class context_thread {
 public:
  context_thread() : guard_(asio::make_work_guard(context)) {
    thread_ = std::thread([this] { context.run(); });
  }
  ~context_thread() {
    context.stop();
    thread_.join();
  }
  // Runs `work` on the thread and waits until it returns.
  void run(const std::function<void()>& work) {
    std::promise<void> done;
    asio::post(context, [&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }

  asio::io_context context{1};

 private:
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::thread thread_;
};

struct sample {
  double processor_seconds = 0;
  ebonygrade::http::client_traffic traffic;
  steady::time_point at;
};

// Runs the adapter and the stand-in workers in one thread each, and reads the
// adapter's reports in the calling thread.
class bench {
 public:
  explicit bench(int workers)
      : reports_(reader_, kRingCapacity),
        commands_(adapter_thread_.context, kRingCapacity) {
    reports_.on_receive(
        [this](worker::report&& report) { count(std::move(report)); });
    commands_.on_receive([this](worker::command&& command) {
      adapter_->handle(std::move(command));
    });
    standin::worker::fleet_options fleet;
    fleet.count = static_cast<std::size_t>(workers);
    fleet_thread_.run([&] {
      fleet_ = std::make_unique<standin::worker::fleet>(fleet_thread_.context,
                                                        clock_, fleet);
      if (fleet_->open().has_error()) std::abort();
      list_ = fleet_->list();
    });
    worker::adapter_options options;
    options.self = "bench";
    adapter_thread_.run([&] {
      adapter_ = std::make_unique<worker::adapter>(adapter_thread_.context,
                                                   clock_, options, reports_);
    });
    for (const wire::worker_vm& vm : list_.workers()) {
      send(worker::watch{vm.id(), vm.address(), 1});
    }
    while (fenced_ < list_.workers_size()) read_for(kSendInterval);
  }
  ~bench() {
    adapter_thread_.run([this] { adapter_.reset(); });
    fleet_thread_.run([this] { fleet_.reset(); });
  }

  sample take_sample() {
    sample taken;
    adapter_thread_.run([&] {
      timespec used{};
      clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
      taken.processor_seconds = static_cast<double>(used.tv_sec) +
                                static_cast<double>(used.tv_nsec) * 1e-9;
      taken.traffic = adapter_->traffic();
      taken.at = steady::now();
    });
    return taken;
  }

  void read_for(milliseconds time) {
    reader_.restart();
    reader_.run_for(time);
  }

  // Starts tasks on the workers in turn at a constant rate and waits until they
  // have ended.
  void start_tasks(int per_second, std::chrono::seconds time) {
    steady::time_point begin = steady::now();
    std::uint64_t sent = 0;
    while (steady::now() - begin < time) {
      std::chrono::duration<double> passed = steady::now() - begin;
      while (static_cast<double>(sent) < passed.count() * per_second) {
        start(static_cast<int>(sent++), wire::urgent, "run_ms=5");
      }
      read_for(kSendInterval);
    }
    while (ended_ < sent) read_for(kSendInterval);
  }
  void start_services() {
    answered_ = 0;
    for (int i = 0; i < list_.workers_size(); ++i) {
      start(i, wire::service, "");
    }
    while (answered_ < list_.workers_size()) read_for(kSendInterval);
  }
  void print_latency(std::uint64_t min_count) {
    std::sort(reply_times_us_.begin(), reply_times_us_.end());
    if (reply_times_us_.size() < min_count) return;
    std::size_t last = reply_times_us_.size() - 1;
    std::printf("adapter_start_answer_p50 %.0f us\n",
                reply_times_us_[last / 2]);
    std::printf("adapter_start_answer_p99 %.0f us\n",
                reply_times_us_[last * 99 / 100]);
  }
  std::uint64_t unanswered() const { return unanswered_; }

 private:
  void start(int number, wire::job_class kind, const std::string& payload) {
    const wire::worker_vm& vm = list_.workers(number % list_.workers_size());
    worker::start command{vm.id(), 1, {}};
    std::string id = "request-" + std::to_string(next_id_++);
    command.task.mutable_key()->set_request_id(id);
    command.task.mutable_key()->set_attempt(1);
    command.task.mutable_resources()->set_slots(1);
    command.task.set_class_(kind);
    command.task.set_payload(payload);
    command.task.set_team("alerts");
    sent_at_[id] = steady::now();
    send(std::move(command));
  }

  void send(worker::command command) {
    while (!commands_.try_send(command)) read_for(kSendInterval);
  }

  void count(worker::report&& report) {
    if (std::holds_alternative<worker::fenced>(report)) ++fenced_;
    if (std::holds_alternative<worker::ended>(report)) ++ended_;
    if (std::holds_alternative<worker::start_unanswered>(report)) {
      ++unanswered_;
    }
    const worker::start_answered* answered =
        std::get_if<worker::start_answered>(&report);
    if (answered == nullptr) return;
    ++answered_;
    auto found = sent_at_.find(answered->key.request_id);
    std::chrono::duration<double> elapsed = steady::now() - found->second;
    reply_times_us_.push_back(elapsed.count() * kMicrosecondsPerSecond);
    sent_at_.erase(found);
  }

  ebonygrade::clock::system_clock clock_;
  asio::io_context reader_{1};
  // Keeps run_for() waiting while there is nothing to read.
  asio::executor_work_guard<asio::io_context::executor_type> reader_guard_{
      asio::make_work_guard(reader_)};
  ring::channel<worker::report> reports_;
  context_thread fleet_thread_;
  context_thread adapter_thread_;
  ring::channel<worker::command> commands_;
  std::unique_ptr<standin::worker::fleet> fleet_;
  std::unique_ptr<worker::adapter> adapter_;
  wire::vm_list list_;
  int fenced_ = 0;
  int answered_ = 0;
  std::uint64_t ended_ = 0;
  std::uint64_t unanswered_ = 0;
  std::uint64_t next_id_ = 0;
  std::unordered_map<std::string, steady::time_point> sent_at_;
  std::vector<double> reply_times_us_;
};

// Prints the CPU usage, traffic and calls between two samples.
void print_resource_use(const std::string& name, const sample& before,
                        const sample& after, int workers) {
  double seconds = std::chrono::duration<double>(after.at - before.at).count();
  double processor = after.processor_seconds - before.processor_seconds;
  double sent =
      static_cast<double>(after.traffic.bytes_sent - before.traffic.bytes_sent);
  double received = static_cast<double>(after.traffic.bytes_received -
                                        before.traffic.bytes_received);
  double calls =
      static_cast<double>(after.traffic.calls - before.traffic.calls);
  std::printf("%s_processor %.2f percent_of_core\n", name.c_str(),
              kPercent * processor / seconds);
  std::printf("%s_sent %.1f bytes/s/worker\n", name.c_str(),
              sent / seconds / workers);
  std::printf("%s_received %.1f bytes/s/worker\n", name.c_str(),
              received / seconds / workers);
  std::printf("%s_calls %.2f 1/s/worker\n", name.c_str(),
              calls / seconds / workers);
}

int argument(int argc, char** argv, int index, int default_value) {
  return argc > index ? std::atoi(argv[index]) : default_value;
}

}  // namespace

int main(int argc, char** argv) {
  int workers = argument(argc, argv, 1, kDefaultWorkers);
  int rate = argument(argc, argv, 2, kDefaultStartsPerSecond);
  std::chrono::seconds time(argument(argc, argv, 3, kDefaultSeconds));
  bench run(workers);
  // Idle first, because starts shorten the polls for a while.
  sample idle_begin = run.take_sample();
  run.read_for(4 * time);
  sample idle_end = run.take_sample();
  print_resource_use("adapter_idle", idle_begin, idle_end, workers);
  sample busy_begin = run.take_sample();
  run.start_tasks(rate, time);
  sample busy_end = run.take_sample();
  print_resource_use("adapter_busy", busy_begin, busy_end, workers);
  run.print_latency(1);
  std::printf("adapter_busy_unanswered %" PRIu64 " starts\n", run.unanswered());
  run.start_services();
  run.read_for(2 * time);  // Until the polls have their full length again.
  sample service_begin = run.take_sample();
  run.read_for(6 * time);
  sample service_end = run.take_sample();
  print_resource_use("adapter_services", service_begin, service_end, workers);
  return 0;
}
