#include "cell.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <random>

#include "fields.h"

namespace ebonygrade::review {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds kClientTimeout{3000};
constexpr milliseconds kStartTimeout{20000};
constexpr std::size_t kExecutorsInRack = 8;
constexpr char kZones[3][10] = {"sofia-a", "plovdiv-a", "sofia-b"};
constexpr char kRegions[3][8] = {"sofia", "plovdiv", "sofia"};

// Below the ports that the system gives to outgoing connections.
std::string free_address() {
  constexpr int kFirstPort = 20000;
  constexpr int kLastPort = 32000;
  static std::mt19937 random{std::random_device{}()};
  asio::io_context context;
  while (true) {
    int port =
        std::uniform_int_distribution<int>(kFirstPort, kLastPort)(random);
    asio::ip::tcp::acceptor probe(context, asio::ip::tcp::v4());
    boost::system::error_code taken;
    probe.bind(asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                       static_cast<std::uint16_t>(port)),
               taken);
    if (!taken) return "127.0.0.1:" + std::to_string(port);
  }
}

std::string executor_name(std::uint64_t number) {
  char text[20];
  std::snprintf(text, sizeof text, "i-%08x",
                static_cast<unsigned>(0x7f3a0000 + number));
  return text;
}

}  // namespace

cell::cell(const cell_options& options)
    : options_(options),
      work_(asio::make_work_guard(context_)),
      begun_(clock::boot_clock::now()),
      record_(options.record) {
  store_ =
      std::make_unique<store>(context_, store_limits(),
                              [this](const std::string& line) { note(line); });
  for (std::size_t i = 0; i < options_.daemons; ++i) {
    daemons_.push_back({"front-" + std::to_string(i + 1), free_address(),
                        free_address(), free_address()});
  }
  for (std::size_t i = 0; i < options_.executors; ++i) {
    std::string id = machine_of(i);
    machines_[id].id = id;
    add_executor(id);
  }
  unused_ = free_address();
  if (options_.has_machines) {
    machines_server_ = std::make_unique<http::server>(
        context_, http::server_options(),
        [this](http::request&& request, http::responder answer) {
          handle_machines(std::move(request), answer);
        });
    machines_server_->listen("127.0.0.1:0").value();
  }
  thread_ = std::thread([this] { context_.run(); });
}

cell::~cell() {
  context_.stop();
  thread_.join();
}

void cell::note(const std::string& line) {
  std::lock_guard<std::mutex> lock(record_mutex_);
  char time[20];
  std::snprintf(time, sizeof time, "%9.3f ",
                static_cast<double>(now().count()) / 1000);
  record_ << time << line << std::endl;
}

milliseconds cell::now() const {
  return std::chrono::duration_cast<milliseconds>(clock::boot_clock::now() -
                                                  begun_);
}

std::string cell::machine_of(std::size_t number) const {
  char text[20];
  std::snprintf(text, sizeof text, "m-%05zx", number + 0xa3f1);
  return text;
}

void cell::add_executor(const std::string& machine) {
  executor_options made;
  made.id = executor_name(++last_executor_);
  made.service = kService;
  made.zone = kZones[last_executor_ % 3];
  made.rack = "r1-" + std::to_string(last_executor_ / kExecutorsInRack);
  made.longest_lease = options_.longest_lease;
  machines_[machine].executor = made.id;
  executors_[made.id] = std::make_unique<executor>(
      context_, made, book_, store_.get(), [this](const task_event& event) {
        if (on_task) on_task(event);
      });
}

void cell::run_after(milliseconds delay, std::function<void()> step) {
  std::shared_ptr<clock::timer> timer =
      std::make_shared<clock::timer>(context_);
  timer->expires_after(delay);
  timer->async_wait(
      [timer, step = std::move(step)](boost::system::error_code failed) {
        if (!failed) step();
      });
}

void cell::write_settings() {
  std::string cloud;
  if (machines_server_) {
    cloud = "127.0.0.1:" + std::to_string(machines_server_->port());
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const daemon_address& each = daemons_[i];
    std::ofstream out(options_.folder + "/" + each.id + ".ini");
    out << "[daemon]\nid = " << each.id << "\nzone = " << kZones[i % 3]
        << "\nregion = " << kRegions[i % 3] << "\ncpu_share = 0.25\n\n"
        << "[listen]\nclients = " << each.clients
        << "\nreadiness = " << each.readiness << "\npeers = " << each.peers
        << "\n\n[store]\naddress = " << store_->address()
        << "\n\n[advice]\naddress = \n\n[machines]\naddress = " << cloud
        << "\nupkeep_time = " << options_.upkeep_time.count() << "ms\n\n"
        << "[workers]\nlease = " << options_.longest_lease.count()
        << "ms\ndrain_time = 2500ms\nheartbeat = 1500ms\n\n"
        << "[shutdown]\ngrace = 6s\n\n"
        << "[jobs]\nstatus_time = 120s\ncancel_time = 3000ms\n\n"
        << "[placement]\nfar_factor = 3\nrestore_time = 600ms\n";
  }
  std::ofstream(options_.folder + "/ready") << "ready\n";
}

bool cell::wait_for_daemons() {
  write_settings();
  for (const daemon_address& each : daemons_) {
    while (call(each.readiness, http::json_request(http::verb::get, "/readyz"),
                milliseconds(500))
               .status != 200) {
      if (now() > kStartTimeout) {
        note(each.id + " isn't ready");
        return false;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
  }
  note("all daemons are ready");
  return true;
}

void cell::put(const std::string& topic, const std::string& key,
               const std::string& value) {
  ask([&] { store_->put(topic, key, value); });
}

void cell::put_manifest(std::uint64_t version, std::uint32_t attempts) {
  json::object route{{"name", "r-3hwrr6x"},   {"host", kHost},
                     {"pathPrefix", kPrefix}, {"kind", "unsafe"},
                     {"timeoutMs", 3000},     {"targetLatencyMs", 1200},
                     {"priority", 1},         {"service", kService},
                     {"attempts", attempts},  {"stretch", 2.2}};
  json::object service{{"name", kService}, {"healthPath", "/healthz"},
                       {"maxConns", 64},   {"proto", "h1"},
                       {"tls", false},     {"rejectsOverload", false},
                       {"spare", false}};
  json::object manifest{{"version", version},
                        {"routes", json::array{route}},
                        {"services", json::array{service}},
                        {"limits",
                         {{"maxHeaderBytes", 16384},
                          {"maxBodyBytes", 262144},
                          {"headerTimeoutMs", 3000},
                          {"idleTimeoutMs", 15000}}}};
  put("keyed.op", "config", json::serialize(manifest));
}

// ---- Clients ----------------------------------------------------------------

reply cell::call(const std::string& address, http::request request,
                 milliseconds timeout) {
  asio::io_context context;
  http::client client(context, address, http::client_options());
  reply result;
  client.call("call", std::move(request), timeout,
              [&](http::call_result&& answer) {
                if (answer.has_error()) return;
                result = {answer->result_int(), answer->body()};
              });
  // Also runs until the connection, which stays open, would be idle for long.
  clock::steady_time until = clock::boot_clock::now() + timeout;
  while (result.status == 0 && clock::boot_clock::now() < until) {
    if (context.run_one_for(milliseconds(50)) == 0 && context.stopped()) break;
  }
  return result;
}

reply cell::call_front(std::size_t daemon, http::verb method,
                       const std::string& job, const std::string& body) {
  http::request request = http::json_request(method, kPrefix + job, body);
  request.set("X-Deadline-Ms", std::to_string(kClientTimeout.count()));
  // The client sets the address as the host, which a proxy header can't change,
  // so the message is written by hand.
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  reply result;
  std::string address = daemons_.at(daemon).clients;
  std::size_t colon = address.find(':');
  request.set(boost::beast::http::field::host, kHost);
  request.set(boost::beast::http::field::connection, "close");
  request.prepare_payload();
  std::string text = std::string(request.method_string()) + " " +
                     std::string(request.target()) + " HTTP/1.1\r\n";
  for (const auto& field : request) {
    text += std::string(field.name_string()) + ": " +
            std::string(field.value()) + "\r\n";
  }
  text += "\r\n" + request.body();
  std::string received;
  char buffer[4096];
  bool over = false;
  std::function<void()> receive = [&] {
    socket.async_read_some(
        asio::buffer(buffer),
        [&](boost::system::error_code failed, std::size_t bytes) {
          received.append(buffer, bytes);
          over = static_cast<bool>(failed);
          if (!over) receive();
        });
  };
  socket.async_connect(
      asio::ip::tcp::endpoint(
          asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))),
      [&](boost::system::error_code failed) {
        over = static_cast<bool>(failed);
        if (over) return;
        asio::async_write(socket, asio::buffer(text),
                          [&](boost::system::error_code lost, std::size_t) {
                            over = static_cast<bool>(lost);
                            if (!over) receive();
                          });
      });
  clock::steady_time until = clock::boot_clock::now() + kClientTimeout;
  while (!over && clock::boot_clock::now() < until) {
    context.run_one_for(milliseconds(20));
  }
  std::size_t blank = received.find("\r\n\r\n");
  if (blank == std::string::npos) return result;
  result.status =
      static_cast<unsigned>(std::atoi(received.c_str() + sizeof "HTTP/1.1"));
  result.body = received.substr(blank + 4);
  return result;
}

reply cell::submit(std::size_t daemon, const std::string& job,
                   const std::vector<step_spec>& steps) {
  ask([&] { book_[job] = steps; });
  json::array rows;
  for (const step_spec& each : steps) {
    json::object row{{"count", each.count},
                     {"cpu", each.cpu},
                     {"memMb", 8},
                     {"estMs", each.work.count()}};
    if (each.lasts) row["longRunning"] = true;
    if (each.saves) row["checkpoint"] = true;
    if (each.max_per_executor > 0) row["maxPerServer"] = each.max_per_executor;
    if (!each.after.empty()) {
      json::array after;
      for (std::int64_t step : each.after) after.emplace_back(step);
      row["dependsOn"] = std::move(after);
    }
    rows.push_back(std::move(row));
  }
  json::object body{{"spec", "review"}, {"steps", std::move(rows)}};
  reply answer =
      call_front(daemon, http::verb::post, job, json::serialize(body));
  note("POST " + job + " at daemon " + std::to_string(daemon + 1) + " -> " +
       std::to_string(answer.status));
  return answer;
}

reply cell::read_state(std::size_t daemon, const std::string& job) {
  reply answer = call_front(daemon, http::verb::get, job, "");
  note("GET " + job + " at daemon " + std::to_string(daemon + 1) + " -> " +
       std::to_string(answer.status) + " " + answer.body);
  return answer;
}

// ---- Executors and machines
// -------------------------------------------------

std::multimap<std::string, cell::running_task> cell::running() {
  return ask([&] {
    std::multimap<std::string, running_task> found;
    for (const std::pair<const std::string, std::unique_ptr<executor>>& each :
         executors_) {
      for (const std::pair<const std::string, bool>& task :
           each.second->tasks()) {
        found.emplace(task.first, running_task{each.first, task.second});
      }
    }
    return found;
  });
}

std::pair<std::int64_t, std::int64_t> cell::cpu() {
  return ask([&] {
    std::int64_t used = 0;
    for (const std::pair<const std::string, std::unique_ptr<executor>>& each :
         executors_) {
      used += each.second->used_cpu();
    }
    std::int64_t all =
        static_cast<std::int64_t>(executors_.size()) * executor_options().cpu;
    return std::make_pair(used, all);
  });
}

void cell::lose_executor(const std::string& id) {
  ask([&] { end_executor(id, 3 * executor_options().heartbeat); });
}

void cell::end_executor(const std::string& id, milliseconds entry_stays) {
  executors_.at(id)->terminate();
  former_.push_back(std::move(executors_.at(id)));
  executors_.erase(id);
  run_after(entry_stays, [this, id] { store_->put("keyed.servers", id, ""); });
}

void cell::handle_machines(http::request&& request,
                           const http::responder& answer) {
  if (request.target().starts_with("/machine-upkeep")) {
    return answer(begin_upkeep(request));
  }
  if (!request.target().starts_with("/machines")) {
    return answer(http::error_response(http::status::not_found, "no call"));
  }
  json::array rows;
  for (const std::pair<const std::string, machine>& each : machines_) {
    rows.push_back({{"machine", each.first},
                    {"pool", kService},
                    {"state", each.second.state},
                    {"zone", kZones[0]},
                    {"labels", {"a", "r1"}},
                    {"capacity",
                     {{"cpu", executor_options().cpu},
                      {"memMb", executor_options().memory_mb},
                      {"gpu", 0}}},
                    {"id", each.second.executor}});
  }
  json::object body{{"machines", std::move(rows)}, {"nextToken", nullptr}};
  answer(http::json_response(http::status::ok, json::serialize(body)));
}

http::response cell::begin_upkeep(const http::request& request) {
  auto refuse = [](const std::string& reason) {
    return http::json_response(http::status::conflict,
                               R"({"reason":")" + reason + "\"}");
  };
  std::optional<json::object> body = parse_object(request.body());
  if (!body) return http::error_response(http::status::bad_request, "no body");
  std::string id = string_in(*body, "machine");
  std::int64_t wave = integer_in(*body, "wave");
  std::map<std::string, machine>::iterator found = machines_.find(id);
  if (found == machines_.end()) {
    return http::error_response(http::status::bad_request, "no such machine");
  }
  machine& target = found->second;
  std::uint64_t fence =
      std::strtoull(std::string(request["X-Fence-Token"]).c_str(), nullptr, 10);
  if (fence < target.fence) return refuse("fence");
  target.fence = fence;
  if (target.upkeeps.count(wave) > 0) {
    return http::json_response(http::status::ok, "{}");
  }
  if (target.state != "up") return refuse("busy");
  target.upkeeps.insert(wave);
  if (on_upkeep) on_upkeep(id, target.executor);
  // The executor has left.
  end_executor(target.executor, milliseconds(0));
  target.executor.clear();
  target.state = "upkeep";
  run_after(options_.upkeep_time, [this, id] {
    machines_[id].state = "up";
    add_executor(id);
    note("machine " + id + " is up again with executor " +
         machines_[id].executor);
  });
  return http::json_response(http::status::ok, "{}");
}

}  // namespace ebonygrade::review
