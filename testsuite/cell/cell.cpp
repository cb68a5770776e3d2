#include "cell/cell.h"

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "cell/ports.h"
#include "http/json.h"
#include "job/job.h"

namespace ebonygrade::testsuite {

namespace {

constexpr milliseconds kPollInterval{50};
constexpr milliseconds kCallTimeout{5000};
constexpr char kRegion[] = "sofia";

const char* program_path(const char* name) {
  const char* path = getenv(name);
  if (path == nullptr)
    throw std::runtime_error("environment variable " + std::string(name) +
                             " isn't set");
  return path;
}

std::string loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

template <typename T>
std::optional<T> parse(const http_reply& reply) {
  if (reply.status == 0) return std::nullopt;
  T message;
  if (http::from_json(reply.body, &message).has_error()) return std::nullopt;
  return message;
}

}  // namespace

bool eventually(const std::function<bool()>& condition) {
  const std::chrono::steady_clock::time_point until =
      std::chrono::steady_clock::now() + kConditionTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

cell::cell(const cell_options& options) : options_(options) {
  std::string name = std::filesystem::temp_directory_path() / "cell-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  folder_ = name;
  const std::vector<std::uint16_t> ports = free_ports(2 * options.daemons);
  for (std::size_t i = 0; i < options.daemons; ++i) {
    daemon_slot slot;
    slot.id = "d" + std::to_string(i);
    slot.zone = i % 2 == 0 ? "sofia-a" : "sofia-b";
    slot.http_address = loopback(ports[2 * i]);
    slot.peer_address = loopback(ports[2 * i + 1]);
    slot.config_file = folder_ + "/" + slot.id + ".ini";
    slot.log_file = folder_ + "/" + slot.id + ".log";
    daemons_.push_back(std::move(slot));
  }
}

cell::~cell() {
  daemons_.clear();
  workers_.reset();
  platform_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void cell::start() {
  start_platform();
  start_workers();
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    list_daemon(i);
    write_config(daemons_[i]);
    start_daemon(daemons_[i]);
  }
  if (!eventually([this] { return roll_bundle(0, bundle_text()); })) {
    throw std::runtime_error("no bundle in force after the timeout:\n" +
                             daemon_logs());
  }
  if (!eventually([this] { return every_shard_served(); })) {
    throw std::runtime_error(
        "shards or workers not served after the timeout:\n" + daemon_logs());
  }
}

void cell::start_platform() {
  platform_ = std::make_unique<process>(
      program_path("STANDIN_PLATFORM"),
      std::vector<std::string>{"--listen", "127.0.0.1:0"},
      folder_ + "/platform.log");
  platform_address_ = platform_->read_address();
  if (platform_address_.empty())
    throw std::runtime_error("standin_platform reported no address");
}

void cell::start_workers() {
  workers_ = std::make_unique<process>(
      program_path("STANDIN_WORKERS"),
      std::vector<std::string>{"--count", std::to_string(options_.workers),
                               "--zones", "sofia-a,sofia-b", "--platform",
                               platform_address_},
      folder_ + "/workers.log");
  workers_address_ = workers_->read_address();
  if (workers_address_.empty())
    throw std::runtime_error("standin_workers reported no address");
}

void cell::write_config(const daemon_slot& slot) const {
  std::ofstream file(slot.config_file);
  file << "[daemon]\nid = " << slot.id << "\nzone = " << slot.zone
       << "\nhttp_address = " << slot.http_address
       << "\npeer_address = " << slot.peer_address
       << "\n[cell]\nname = test\nregions = " << kRegion
       << "\nshards_per_region = " << options_.shards_per_region << "\n[region."
       << kRegion << "]\nzones = sofia-a, sofia-b\n"
       << "[platform]\nlog_address = " << platform_address_
       << "\nlist_address = " << platform_address_ << "\n";
  if (!options_.short_timers) return;
  file << "list_interval = 200ms\n"
       << "[worker]\ncall_timeout = 1s\ntask_lease = " << options_.task_lease
       << "\n[ownership]\ntakeover_after = 1s\nhandover_after = 1s\n"
       << "[peer]\nheartbeat_interval = 200ms\nsilence_limit = 1s\n";
}

void cell::start_daemon(daemon_slot& slot) {
  slot.running = std::make_unique<process>(
      program_path("EBONYGRADED"),
      std::vector<std::string>{"--config", slot.config_file}, slot.log_file);
}

const std::string& cell::daemon_id(std::size_t index) const {
  return daemons_[index].id;
}

const std::string& cell::http_address(std::size_t index) const {
  return daemons_[index].http_address;
}

void cell::kill_daemon(std::size_t index) {
  daemon(index).send_signal(SIGKILL);
  daemon(index).wait(kConditionTimeout);
}

void cell::restart_daemon(std::size_t index) {
  if (daemons_[index].running->running()) kill_daemon(index);
  start_daemon(daemons_[index]);
}

void cell::list_daemon(std::size_t index) {
  const daemon_slot& slot = daemons_[index];
  wire::daemon_vm vm;
  vm.set_id(slot.id);
  vm.set_zone(slot.zone);
  vm.set_http_address(slot.http_address);
  vm.set_peer_address(slot.peer_address);
  http_call(platform_address_, "POST", "/v1/list/daemons", http::to_json(vm),
            kCallTimeout);
}

void cell::unlist_daemon(std::size_t index) {
  http_call(platform_address_, "DELETE", "/v1/list/" + daemons_[index].id, "",
            kCallTimeout);
}

bool cell::daemon_ready(std::size_t index) {
  const http_reply reply =
      http_call(http_address(index), "GET", "/readyz", "", kCallTimeout);
  return reply.status == 200;
}

std::optional<wire::cell_status> cell::cell_status(std::size_t index) {
  return parse<wire::cell_status>(
      http_call(http_address(index), "GET", "/v1/cell", "", kCallTimeout));
}

std::optional<std::size_t> cell::owner_of(const std::string& id,
                                          std::size_t queried) {
  const std::optional<wire::cell_status> status = cell_status(queried);
  if (!status) return std::nullopt;
  const std::uint16_t shard =
      job::shard_of(id, static_cast<std::uint16_t>(options_.shards_per_region));
  for (const wire::shard_status& each : status->shards()) {
    if (each.shard() != shard) continue;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i].id == each.owner()) return i;
    }
  }
  return std::nullopt;
}

bool cell::every_shard_served() {
  std::size_t serving = 0;
  std::uint32_t workers = 0;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const std::optional<wire::cell_status> status = cell_status(i);
    if (!status) continue;
    workers += status->workers();
    for (const wire::shard_status& each : status->shards()) {
      if (each.phase() == "serving") ++serving;
    }
  }
  return serving == static_cast<std::size_t>(options_.shards_per_region) &&
         workers == options_.workers;
}

void cell::control_platform(const standin::platform_control& change) {
  http_call(platform_address_, "POST", "/v1/control", http::to_json(change),
            kCallTimeout);
}

void cell::control_worker(const standin::worker_control& change) {
  http_call(workers_address_, "POST", "/v1/control", http::to_json(change),
            kCallTimeout);
}

standin::ledger cell::ledger() {
  const std::optional<standin::ledger> found = parse<standin::ledger>(
      http_call(workers_address_, "GET", "/v1/ledger", "", kCallTimeout));
  if (!found)
    throw std::runtime_error("cannot fetch the ledger of the workers");
  return *found;
}

std::optional<wire::request_status> cell::submit(
    std::size_t index, const wire::job_request& request, milliseconds wait) {
  const http_reply reply =
      http_call(http_address(index), "POST",
                "/v1/requests?wait_ms=" + std::to_string(wait.count()),
                http::to_json(request), wait + kCallTimeout);
  if (reply.broken_after_send) ++broken_exchanges_;
  return parse<wire::request_status>(reply);
}

http_reply cell::call(std::size_t index, const std::string& method,
                      const std::string& target, const std::string& body) {
  return http_call(http_address(index), method, target, body, kCallTimeout);
}

bool cell::roll_bundle(std::size_t index, const std::string& text) {
  wire::publish_request publish;
  publish.set_name("test");
  publish.set_text(text);
  publish.set_author("author");
  const std::optional<wire::bundle_status> published =
      parse<wire::bundle_status>(
          http_call(http_address(index), "POST", "/v1/bundles",
                    http::to_json(publish), kCallTimeout));
  if (!published) return false;
  const std::string path =
      "/v1/bundles/" + std::to_string(published->version());
  wire::approve_request approve;
  approve.set_approver("approver");
  const http_reply approved =
      http_call(http_address(index), "POST", path + "/approve",
                http::to_json(approve), kCallTimeout);
  if (approved.status != 200) return false;
  const std::optional<wire::bundle_list> list = parse<wire::bundle_list>(
      http_call(http_address(index), "GET", "/v1/bundles", "", kCallTimeout));
  if (!list) return false;
  wire::roll_request roll;
  roll.set_replaces(list->version_in_force());
  roll.set_operator_("operator");
  const http_reply rolled =
      http_call(http_address(index), "POST", path + "/roll",
                http::to_json(roll), kCallTimeout);
  return rolled.status == 200;
}

std::string cell::bundle_text() const {
  return "[bundle]\nname = test\n[placement]\nmax_attempts = 5\napprovals = 1\n"
         "[class.urgent]\npriority = 300\n[class.service]\npriority = 200\n"
         "[class.gang]\npriority = 100\n[class.batch]\npriority = 0\n"
         "[team.alerts]\nweight = 2\n[team.archive]\nweight = 1\n";
}

std::string cell::daemon_logs() const {
  std::ostringstream text;
  for (const daemon_slot& slot : daemons_) {
    std::ifstream file(slot.log_file);
    text << "--- " << slot.id << "\n" << file.rdbuf() << "\n";
  }
  return text.str();
}

wire::job_request make_request(const std::string& id, bool idempotent,
                               milliseconds runtime) {
  wire::job_request request;
  request.set_id(id);
  request.set_team("alerts");
  request.set_class_(wire::batch);
  request.set_idempotent(idempotent);
  request.mutable_per_task()->set_millicores(500);
  request.mutable_per_task()->set_slots(1);
  request.set_payload("run_ms=" + std::to_string(runtime.count()) +
                      " output_bytes=32");
  return request;
}

}  // namespace ebonygrade::testsuite
