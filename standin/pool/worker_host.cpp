#include "standin/pool/worker_host.h"

#include <chrono>
#include <optional>
#include <utility>

#include "platform/json.h"
#include "platform/workers.h"

namespace ebonygrade::standin {

namespace json = boost::json;
using platform::integer_field;
using platform::string_field;

namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr pool::resources kCapacity{4000, 4000, 0};

pool::simulated_worker::behaviour behaviour() {
  pool::simulated_worker::behaviour result;
  result.task_time = std::chrono::milliseconds(100);
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
                         pool::gang_registry* gangs, keyed_store* store)
    : id_(id),
      service_(std::move(service)),
      store_(store),
      worker_(std::move(id), kCapacity, behaviour(), ledger, gangs, 1),
      server_(context, {},
              [this](http::request&& request, http::responder answer) {
                handle(std::move(request), std::move(answer));
              }),
      timer_(context) {
  server_.listen("127.0.0.1:0").value();
  announce("ready");
  tick();
}

void worker_host::announce(const std::string& state) {
  json::object entry;
  entry["service"] = service_;
  entry["addr"] = "127.0.0.1:" + std::to_string(server_.port());
  entry["zone"] = "zone-a";
  entry["state"] = state;
  entry["capacity"] = {{"cpu", kCapacity.cpu_milli},
                       {"memMb", kCapacity.memory_mb}};
  entry["labels"] = {"a", "r1"};
  entry["born"] = worker_.incarnation_ms();
  store_->put("keyed.servers", id_, json::serialize(entry));
}

void worker_host::tick() {
  worker_.tick(std::chrono::steady_clock::now());
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
  if (request.target() == "/run-start") return answer(handle_start(request));
  if (request.target() == "/run-stop") return answer(handle_stop(request));
  if (request.target() == "/hold") return answer(handle_poll(request));
  answer(http::error_response(http::status::not_found, "no such call"));
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
                        std::chrono::steady_clock::now())) {
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
      unsigned_field(*body, "fence"), std::chrono::steady_clock::now());
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
      std::chrono::steady_clock::now(), &report);
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
