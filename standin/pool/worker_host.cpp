#include "standin/pool/worker_host.h"

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "http/address.h"
#include "platform/json.h"
#include "platform/workers.h"

namespace ebonygrade::standin {

namespace json = boost::json;
using platform::integer_field;
using platform::string_field;

namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr pool::resources kCapacity{4000, 4000, 0};

pool::simulated_worker::behaviour behaviour(pool::milliseconds task_time) {
  pool::simulated_worker::behaviour result;
  result.task_time = task_time;
  return result;
}

http::response conflict(std::string_view reason) {
  http::response reply = http::json_response(
      http::status::conflict,
      R"({"clockMs":1,"reason":")" + std::string(reason) + "\"}");
  return reply;
}

std::uint64_t unsigned_field(const json::object& body, std::string_view name) {
  return static_cast<std::uint64_t>(integer_field(body, name).value_or(0));
}

std::string_view wire_name(pool::end_kind kind) {
  switch (kind) {
    case pool::end_kind::done:
      return "done";
    case pool::end_kind::failed:
      return "failed";
    case pool::end_kind::stopped:
      return "stopped";
    case pool::end_kind::lapsed:
      return "lapsed";
    case pool::end_kind::broken:
      return "broken";
    case pool::end_kind::alone:
      return "alone";
  }
  return "failed";
}

}  // namespace

worker_host::worker_host(boost::asio::io_context& context, std::string id,
                         std::string service, pool::ledger* ledger,
                         pool::gang_registry* gangs, keyed_store* store,
                         pool::milliseconds task_time)
    : context_(context),
      id_(id),
      service_(std::move(service)),
      store_(store),
      worker_(std::move(id), kCapacity, behaviour(task_time), ledger, gangs, 1),
      reserved_port_(context),
      timer_(context) {
  listen();
  announce("ready");
  tick();
}

void worker_host::listen() {
  server_.emplace(context_, http::server_options(),
                  [this](http::request&& request, http::responder answer) {
                    handle(std::move(request), std::move(answer));
                  });
  server_->listen(address_).value();
  address_ = "127.0.0.1:" + std::to_string(server_->port());
}

void worker_host::crash() {
  worker_.crash(clock::boot_clock::now());
  announcements_ = 0;
  server_.reset();
  if (kept_answer_) kept_answer_->drop();
  kept_answer_.reset();
  replies_.clear();
  boost::asio::ip::tcp::endpoint endpoint =
      http::parse_address(address_).value();
  reserved_port_.open(endpoint.protocol());
  reserved_port_.set_option(boost::asio::socket_base::reuse_address(true));
  reserved_port_.bind(endpoint);
}

void worker_host::restart() {
  listen();
  reserved_port_.close();
}

void worker_host::announce(const std::string& state) {
  json::object entry;
  entry["service"] = service_;
  entry["addr"] = address_;
  entry["zone"] = "zone-a";
  entry["state"] = state;
  entry["capacity"] = {{"cpu", kCapacity.cpu_milli},
                       {"memMb", kCapacity.memory_mb}};
  entry["labels"] = {"a", "r1"};
  entry["born"] = worker_.incarnation_ms();
  entry["seq"] = ++announcements_;
  store_->put("keyed.servers", id_, json::serialize(entry));
}

void worker_host::tick() {
  worker_.tick(clock::boot_clock::now());
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed) tick();
  });
}

void worker_host::handle(http::request&& request, http::responder answer) {
  if (request["X-Expect-Instance"] != id_) {
    http::response reply;
    reply.result(421);
    return answer(std::move(reply));
  }
  std::string target(request.target());
  if (dropped_.count(target) > 0) {
    ++dropped_calls_;
    return answer.drop();
  }
  if (target == target_to_keep_) {
    target_to_keep_.clear();
    kept_call_ = std::move(request);
    kept_answer_ = std::move(answer);
    return;
  }
  std::optional<http::response> reply = carry_out(request);
  if (!reply) {
    return answer(
        http::error_response(http::status::not_found, "no such call"));
  }
  ++replies_[target];
  answer(std::move(*reply));
}

std::optional<http::response> worker_host::carry_out(
    const http::request& request) {
  if (request.target() == kStart) return handle_start(request);
  if (request.target() == kStop) return handle_stop(request);
  if (request.target() == kPoll) return handle_poll(request);
  return std::nullopt;
}

void worker_host::carry_out_kept_call() {
  carry_out(*std::exchange(kept_call_, std::nullopt));
  if (kept_answer_) kept_answer_->drop();
  kept_answer_.reset();
}

http::response worker_host::handle_start(const http::request& request) {
  std::optional<json::object> body = platform::parse_object(request.body());
  std::optional<pool::task_key> task;
  if (body) {
    task = platform::decode_task(string_field(*body, "task").value_or(""));
  }
  if (!task) {
    return http::error_response(http::status::bad_request, "no task");
  }
  pool::start_order order;
  order.task = *task;
  order.run = static_cast<std::uint32_t>(unsigned_field(*body, "run"));
  order.until = pool::worker_time(integer_field(*body, "untilMs").value_or(0));
  // The call doesn't carry resource requirements; each step gets a small one.
  std::shared_ptr<wire::job_submission> job =
      std::make_shared<wire::job_submission>();
  for (std::uint32_t i = 0; i <= task->step; ++i) {
    job->add_steps()->set_cpu_milli(100);
  }
  order.job = job;
  switch (worker_.start(order, unsigned_field(*body, "fence"),
                        clock::boot_clock::now())) {
    case pool::start_outcome::running:
      return http::json_response(http::status::ok, R"({"clockMs":1})");
    case pool::start_outcome::fenced:
      return conflict("fence");
    case pool::start_outcome::lease_expired:
      return conflict("late");
    default:
      return conflict("old");
  }
}

http::response worker_host::handle_stop(const http::request& request) {
  std::optional<json::object> body = platform::parse_object(request.body());
  std::optional<pool::task_key> task;
  if (body) {
    task = platform::decode_task(string_field(*body, "task").value_or(""));
  }
  if (!task) {
    return http::error_response(http::status::bad_request, "no task");
  }
  bool accepted = worker_.stop(
      *task, static_cast<std::uint32_t>(unsigned_field(*body, "run")),
      unsigned_field(*body, "fence"), clock::boot_clock::now());
  return accepted ? http::json_response(http::status::ok, R"({"clockMs":1})")
                  : conflict("fence");
}

http::response worker_host::handle_poll(const http::request& request) {
  std::optional<json::object> body = platform::parse_object(request.body());
  if (!body) return http::error_response(http::status::bad_request, "no body");
  pool::worker_report report;
  bool accepted = worker_.poll(
      unsigned_field(*body, "fence"), unsigned_field(*body, "lastSeen"),
      pool::worker_time(integer_field(*body, "untilMs").value_or(0)),
      clock::boot_clock::now(), &report);
  if (!accepted) return conflict("fence");
  json::array running;
  for (const pool::reported_run& row : report.running) {
    running.push_back({platform::encode_task(row.task), row.run, row.checkpoint,
                       row.percent, 0});
  }
  json::array finished;
  for (const pool::reported_end& row : report.ended) {
    finished.push_back({row.number, platform::encode_task(row.task), row.run,
                        std::string(wire_name(row.kind)), row.checkpoint});
  }
  json::object out;
  out["clockMs"] = report.clock.count();
  out["born"] = report.incarnation_ms;
  out["running"] = std::move(running);
  out["finished"] = std::move(finished);
  return http::json_response(http::status::ok, json::serialize(out));
}

}  // namespace ebonygrade::standin
