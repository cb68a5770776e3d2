#include "ebonygraded/daemon.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <system_error>
#include <thread>
#include <utility>

#include "api/server.h"
#include "core/core.h"
#include "peer/link.h"
#include "platform/client.h"
#include "settings/options.h"
#include "worker/adapter.h"

namespace ebonygrade::ebonygraded {

namespace {

constexpr std::size_t kApiChannelCapacity = 8192;
constexpr std::size_t kWorkerCommandCapacity = 8192;
constexpr std::size_t kWorkerReportCapacity = 16384;
constexpr std::size_t kPlatformChannelCapacity = 1024;
constexpr std::size_t kPeerChannelCapacity = 8192;

// An event loop and the thread that runs it.
class event_loop_thread {
 public:
  event_loop_thread() : guard_(boost::asio::make_work_guard(context)) {}
  ~event_loop_thread() { join(); }

  void start() {
    thread_ = std::thread([this] { context.run(); });
  }

  void stop() {
    guard_.reset();
    context.stop();
  }

  void join() {
    if (thread_.joinable()) thread_.join();
  }

  boost::asio::io_context context{1};

 private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

// Microseconds of the wall clock, so that each start of a daemon has a higher
// incarnation than the one before.
std::uint64_t make_incarnation(const clock::clock& clock) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          clock.wall_now().time_since_epoch())
          .count());
}

core::core_options to_core_options(const settings::settings& value,
                                   std::uint64_t incarnation) {
  core::core_options options;
  options.self = value.daemon.id;
  options.zone = value.daemon.zone;
  options.http_address = value.daemon.http_advertise;
  options.peer_address = value.daemon.peer_advertise;
  options.incarnation = incarnation;
  for (const settings::region_settings& region : value.cell.regions) {
    options.regions.push_back({region.name, region.zones});
  }
  options.shards_per_region =
      static_cast<std::uint16_t>(value.cell.shards_per_region);
  options.ownership = settings::to_ownership_options(value, incarnation);
  options.requests = settings::to_table_options(value);
  options.entry.retry_after = value.requests.retry_after;
  options.intent_flush_interval = value.requests.intent_flush_interval;
  options.heartbeat_interval = value.peer.heartbeat_interval;
  options.unresponsive_limit = value.peer.silence_limit;
  return options;
}

api::api_options to_api_options(const settings::settings& value) {
  api::api_options options;
  options.http.max_header_bytes =
      static_cast<std::size_t>(value.http.max_header);
  options.http.max_body_bytes = static_cast<std::size_t>(value.http.max_body);
  options.http.max_connections =
      static_cast<std::size_t>(value.http.max_connections);
  options.http.read_timeout = value.http.read_timeout;
  options.http.idle_timeout = value.http.idle_timeout;
  options.max_wait = value.http.max_wait;
  options.retry_after = value.requests.retry_after;
  return options;
}

}  // namespace

class daemon::implementation {
 public:
  implementation(const settings::settings& settings, const clock::clock& clock)
      : settings_(settings),
        clock_(clock),
        incarnation_(make_incarnation(clock)),
        api_commands_(core_thread_.context, kApiChannelCapacity),
        api_replies_(api_thread_.context, kApiChannelCapacity),
        worker_commands_(worker_thread_.context, kWorkerCommandCapacity),
        worker_reports_(core_thread_.context, kWorkerReportCapacity),
        platform_commands_(platform_thread_.context, kPlatformChannelCapacity),
        platform_reports_(core_thread_.context, kPlatformChannelCapacity),
        peer_commands_(peer_thread_.context, kPeerChannelCapacity),
        peer_reports_(core_thread_.context, kPeerChannelCapacity),
        scheduler_(core_thread_.context, clock_,
                   to_core_options(settings_, incarnation_),
                   {api_replies_, worker_commands_, platform_commands_,
                    peer_commands_}),
        worker_adapter_(worker_thread_.context, clock_,
                        settings::to_adapter_options(settings_),
                        worker_reports_),
        platform_client_(platform_thread_.context, clock_,
                         settings::to_client_options(settings_),
                         platform_reports_),
        api_server_(api_thread_.context, to_api_options(settings_),
                    api_commands_, [this] { return scheduler_.ready(); }) {
    connect_channels();
  }

  ~implementation() { stop(); }

  error::result<void> start() {
    error::result<void> listening =
        api_server_.listen(settings_.daemon.http_address);
    if (listening.has_error()) return listening;
    try {
      peer_link_ = std::make_unique<peer::link>(
          peer_thread_.context, clock_,
          settings::to_link_options(settings_, incarnation_), peer_reports_);
    } catch (const std::system_error& failed) {
      return error::failure{failed.code(), "bind peer address",
                            settings_.daemon.peer_address, failed.what()};
    }
    scheduler_.start();
    running_ = true;
    for (event_loop_thread* each : threads()) each->start();
    return {};
  }

  void drain(milliseconds timeout,
             std::function<void(std::size_t)> on_drained) {
    boost::asio::post(core_thread_.context, [this, timeout,
                                             on_drained =
                                                 std::move(on_drained)] {
      scheduler_.drain(timeout, [this, on_drained](std::size_t open_count) {
        boost::asio::post(api_thread_.context, [this, on_drained, open_count] {
          api_server_.stop(
              [on_drained, open_count] { on_drained(open_count); });
        });
      });
    });
  }

  std::size_t open_requests() const { return scheduler_.open_requests(); }

  void stop() {
    if (!running_) return;
    running_ = false;
    for (event_loop_thread* each : threads()) each->stop();
    for (event_loop_thread* each : threads()) each->join();
    scheduler_.close();
    worker_adapter_.close();
    platform_client_.close();
    peer_link_->close();
    api_server_.close();
  }

 private:
  std::array<event_loop_thread*, 5> threads() {
    return {&api_thread_, &core_thread_, &worker_thread_, &platform_thread_,
            &peer_thread_};
  }

  void connect_channels() {
    api_commands_.on_receive(
        [this](api::command&& each) { scheduler_.handle(std::move(each)); });
    api_replies_.on_receive(
        [this](api::reply&& each) { api_server_.handle(std::move(each)); });
    worker_commands_.on_receive([this](worker::command&& each) {
      worker_adapter_.handle(std::move(each));
    });
    worker_reports_.on_receive(
        [this](worker::report&& each) { scheduler_.handle(std::move(each)); });
    platform_commands_.on_receive([this](platform::command&& each) {
      platform_client_.handle(std::move(each));
    });
    platform_reports_.on_receive([this](platform::report&& each) {
      scheduler_.handle(std::move(each));
    });
    peer_commands_.on_receive(
        [this](peer::command&& each) { peer_link_->handle(std::move(each)); });
    peer_reports_.on_receive(
        [this](peer::report&& each) { scheduler_.handle(std::move(each)); });
  }

  const settings::settings settings_;
  const clock::clock& clock_;
  const std::uint64_t incarnation_;
  event_loop_thread api_thread_;
  event_loop_thread core_thread_;
  event_loop_thread worker_thread_;
  event_loop_thread platform_thread_;
  event_loop_thread peer_thread_;
  ring::channel<api::command> api_commands_;
  ring::channel<api::reply> api_replies_;
  ring::channel<worker::command> worker_commands_;
  ring::channel<worker::report> worker_reports_;
  ring::channel<platform::command> platform_commands_;
  ring::channel<platform::report> platform_reports_;
  ring::channel<peer::command> peer_commands_;
  ring::channel<peer::report> peer_reports_;
  core::scheduler scheduler_;
  worker::adapter worker_adapter_;
  platform::client platform_client_;
  std::unique_ptr<peer::link> peer_link_;
  api::server api_server_;
  bool running_ = false;
};

daemon::daemon(const settings::settings& settings, const clock::clock& clock)
    : implementation_(std::make_unique<implementation>(settings, clock)) {}

daemon::~daemon() = default;

error::result<void> daemon::start() { return implementation_->start(); }
void daemon::drain(milliseconds timeout,
                   std::function<void(std::size_t)> on_drained) {
  implementation_->drain(timeout, std::move(on_drained));
}
std::size_t daemon::open_requests() const {
  return implementation_->open_requests();
}
void daemon::stop() { implementation_->stop(); }

}  // namespace ebonygrade::ebonygraded
