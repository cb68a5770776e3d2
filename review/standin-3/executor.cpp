#include "executor.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <utility>

#include "fields.h"

namespace ebonygrade::review {

namespace json = boost::json;

namespace {

constexpr milliseconds kTick{10};
constexpr std::size_t kMaxListedEnds = 500;
constexpr int kFullPercent = 100;

std::uint64_t number_in(const json::object& body, const char* name) {
  return static_cast<std::uint64_t>(integer_in(body, name));
}

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::optional<task_id> parse_task(const std::string& text) {
  std::size_t dot = text.find('.');
  if (dot == std::string::npos) return std::nullopt;
  task_id made;
  made.job = text.substr(0, dot);
  std::istringstream rest(text.substr(dot));
  char separator = 0;
  rest >> separator >> made.occurrence >> separator >> made.step >> separator >>
      made.index;
  if (!rest) return std::nullopt;
  return made;
}

executor::executor(boost::asio::io_context& context,
                   const executor_options& options, const job_book& book,
                   store* store,
                   std::function<void(const task_event&)> on_event)
    : context_(context),
      options_(options),
      book_(book),
      store_(store),
      on_event_(std::move(on_event)),
      tick_timer_(context),
      beat_timer_(context),
      crash_timer_(context),
      begun_(clock::boot_clock::now()),
      born_(unix_ms()) {
  listen();
  beat();
  tick();
}

void executor::listen() {
  server_ = std::make_unique<http::server>(
      context_, http::server_options(),
      [this](http::request&& request, http::responder answer) {
        handle(std::move(request), answer);
      });
  server_->listen(address_).value();
  address_ = "127.0.0.1:" + std::to_string(server_->port());
}

void executor::crash() {
  on_event_({options_.id, "-", 0, "crash"});
  dark_ = true;
  tick_timer_.cancel();
  beat_timer_.cancel();
  running_.clear();
  ended_.clear();
  highest_ended_.clear();
  for (waiting_hold& each : std::exchange(holds_, {})) {
    unanswered_.push_back(std::move(each.answer));
  }
  crash_timer_.expires_after(options_.dark_time);
  crash_timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed && !terminated_) refuse();
  });
}

// The host is up again, its executor not yet.
void executor::refuse() {
  server_->close();
  unanswered_.clear();
  crash_timer_.expires_after(options_.refused_time);
  crash_timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed && !terminated_) restart();
  });
}

void executor::restart() {
  dark_ = false;
  begun_ = clock::boot_clock::now();
  born_ = unix_ms();
  entries_ = 0;
  fence_ = 0;
  lease_until_ = milliseconds(0);
  last_end_ = 0;
  listen();
  on_event_({options_.id, "-", 0, "restart"});
  beat();
  tick();
}

milliseconds executor::now_ms() const {
  return std::chrono::duration_cast<milliseconds>(clock::boot_clock::now() -
                                                  begun_);
}

void executor::announce() {
  json::object entry;
  entry["service"] = options_.service;
  entry["addr"] = "127.0.0.1:" + std::to_string(server_->port());
  entry["zone"] = options_.zone;
  entry["version"] = "v1";
  entry["slots"] = 8;
  entry["state"] = "ready";
  entry["coldLeftMs"] = 0;
  entry["capacity"] = {
      {"cpu", options_.cpu}, {"memMb", options_.memory_mb}, {"gpu", 0}};
  entry["labels"] = {"a", options_.rack};
  entry["clockMs"] = now_ms().count();
  entry["seq"] = ++entries_;
  entry["born"] = born_;
  store_->put("keyed.servers", options_.id, json::serialize(entry));
}

void executor::beat() {
  announce();
  beat_timer_.expires_after(options_.heartbeat);
  beat_timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed && !terminated_ && !dark_) beat();
  });
}

void executor::terminate() {
  terminated_ = true;
  tick_timer_.cancel();
  beat_timer_.cancel();
  holds_.clear();
  server_->close();
  running_.clear();
}

std::map<std::string, bool> executor::tasks() const {
  std::map<std::string, bool> found;
  for (const std::pair<const std::string, run_state>& each : running_) {
    found[each.first] = percent(each.second) == kFullPercent;
  }
  return found;
}

std::int64_t executor::used_cpu() const {
  std::int64_t used = 0;
  for (const std::pair<const std::string, run_state>& each : running_) {
    used += each.second.cpu;
  }
  return used;
}

int executor::percent(const run_state& run) const {
  milliseconds passed = std::chrono::duration_cast<milliseconds>(
      clock::boot_clock::now() - run.started);
  if (run.lasts) return passed >= options_.startup ? kFullPercent : 0;
  if (run.work.count() == 0) return kFullPercent;
  return static_cast<int>(std::min<std::int64_t>(
      kFullPercent, passed.count() * kFullPercent / run.work.count()));
}

void executor::handle(http::request&& request, const http::responder& answer) {
  if (terminated_) return answer.drop();
  if (dark_) return unanswered_.push_back(answer);
  if (request["X-Expect-Instance"] != options_.id) {
    http::response reply = http::json_response(http::status::ok, "{}");
    reply.result(421);
    return answer(std::move(reply));
  }
  std::optional<json::object> body = parse_object(request.body());
  if (!body) {
    return answer(http::error_response(http::status::bad_request, "no body"));
  }
  if (number_in(*body, "fence") < fence_) {
    http::response reply = http::json_response(
        http::status::conflict, R"({"reason":"fence","clockMs":)" +
                                    std::to_string(now_ms().count()) + "}");
    return answer(std::move(reply));
  }
  fence_ = number_in(*body, "fence");
  if (request.target() == "/run-start") {
    http::response reply = start(*body);
    if (dark_) return unanswered_.push_back(answer);
    return answer(std::move(reply));
  }
  if (request.target() == "/run-stop") return answer(stop(*body));
  if (request.target() == "/hold") return hold(*body, answer);
  if (request.target() == "/pace") {
    return answer(http::json_response(
        http::status::ok,
        R"({"clockMs":)" + std::to_string(now_ms().count()) + "}"));
  }
  answer(http::error_response(http::status::not_found, "no such call"));
}

void executor::extend_lease(const json::object& body) {
  milliseconds until(integer_in(body, "untilMs"));
  until = std::min(until, now_ms() + options_.longest_lease);
  lease_until_ = std::max(lease_until_, until);
}

http::response executor::start(const json::object& body) {
  std::string clock = R"("clockMs":)" + std::to_string(now_ms().count()) + "}";
  auto refuse = [&](const std::string& reason) {
    return http::json_response(http::status::conflict,
                               R"({"reason":")" + reason + "\"," + clock);
  };
  std::string name = string_in(body, "task");
  std::optional<task_id> task = parse_task(name);
  if (!task) return http::error_response(http::status::bad_request, "no task");
  std::uint64_t run = number_in(body, "run");
  std::map<std::string, run_state>::iterator present = running_.find(name);
  if (present != running_.end() && present->second.run == run) {
    extend_lease(body);
    return http::json_response(http::status::ok, "{" + clock);
  }
  if (milliseconds(integer_in(body, "untilMs")) <= now_ms()) {
    return refuse("late");
  }
  extend_lease(body);
  std::map<std::string, std::uint64_t>::const_iterator over =
      highest_ended_.find(name);
  if (over != highest_ended_.end() && run <= over->second) return refuse("old");
  if (present != running_.end()) end(name, "stopped");
  run_state made;
  made.run = run;
  made.started = clock::boot_clock::now();
  made.checkpoint = string_in(body, "checkpointId");
  job_book::const_iterator job = book_.find(task->job);
  if (job != book_.end() &&
      task->step < static_cast<std::int64_t>(job->second.size())) {
    const step_spec& step = job->second[static_cast<std::size_t>(task->step)];
    // The tasks of a step differ, in ten lengths.
    constexpr int kLengths = 10;
    made.work = step.work + step.work * (step.spread - 1) *
                                (task->index % kLengths) / (kLengths - 1);
    made.lasts = step.lasts;
    made.saves = step.saves;
    made.cpu = step.cpu;
  }
  if (!made.checkpoint.empty()) {
    constexpr int kHexadecimal = 16;
    made.done_before = milliseconds(std::strtoll(
        made.checkpoint.substr(0, 8).c_str(), nullptr, kHexadecimal));
    made.work = std::max(milliseconds(0), made.work - made.done_before) +
                options_.restore_time;
  }
  running_[name] = std::move(made);
  bool deadly = job != book_.end() &&
                task->step < static_cast<std::int64_t>(job->second.size()) &&
                job->second[static_cast<std::size_t>(task->step)].deadly;
  on_event_({options_.id, name, run, "start"});
  if (deadly) crash();
  return http::json_response(http::status::ok, "{" + clock);
}

http::response executor::stop(const json::object& body) {
  std::string name = string_in(body, "task");
  std::uint64_t run = number_in(body, "run");
  highest_ended_[name] = std::max(highest_ended_[name], run);
  std::map<std::string, run_state>::const_iterator present =
      running_.find(name);
  if (present != running_.end() && present->second.run <= run) {
    end(name, "stopped");
  }
  return http::json_response(
      http::status::ok,
      R"({"clockMs":)" + std::to_string(now_ms().count()) + "}");
}

void executor::end(const std::string& task, const std::string& how) {
  run_state over = running_.at(task);
  running_.erase(task);
  highest_ended_[task] = std::max(highest_ended_[task], over.run);
  ended_.push_back({++last_end_, task, over.run, how, over.checkpoint});
  on_event_({options_.id, task, over.run, how});
}

void executor::hold(const json::object& body, const http::responder& answer) {
  extend_lease(body);
  std::uint64_t seen = number_in(body, "lastSeen");
  std::erase_if(ended_,
                [seen](const ended_run& each) { return each.number <= seen; });
  milliseconds wait(integer_in(body, "waitMs"));
  if (!ended_.empty() || wait.count() == 0) return answer(report());
  holds_.push_back({answer, clock::boot_clock::now() + wait});
}

http::response executor::report() const {
  json::array running;
  for (const std::pair<const std::string, run_state>& each : running_) {
    running.push_back({each.first, each.second.run, each.second.checkpoint,
                       percent(each.second), each.second.cpu});
  }
  json::array finished;
  for (const ended_run& each : ended_) {
    if (finished.size() == kMaxListedEnds) break;
    finished.push_back(
        {each.number, each.task, each.run, each.how, each.checkpoint});
  }
  json::object out;
  out["clockMs"] = now_ms().count();
  out["born"] = born_;
  out["running"] = std::move(running);
  out["finished"] = std::move(finished);
  return http::json_response(http::status::ok, json::serialize(out));
}

void executor::answer_holds(bool all) {
  clock::steady_time now = clock::boot_clock::now();
  std::vector<waiting_hold> waiting;
  for (waiting_hold& each : std::exchange(holds_, {})) {
    if (all || each.until <= now) {
      each.answer(report());
    } else {
      waiting.push_back(std::move(each));
    }
  }
  holds_ = std::move(waiting);
}

void executor::tick() {
  bool lapsed = now_ms() >= lease_until_;
  std::vector<std::pair<std::string, std::string>> over;
  for (std::pair<const std::string, run_state>& each : running_) {
    milliseconds passed = std::chrono::duration_cast<milliseconds>(
        clock::boot_clock::now() - each.second.started);
    if (each.second.saves && passed / options_.save_time > each.second.saved) {
      each.second.saved = passed / options_.save_time;
      milliseconds saved =
          each.second.done_before + each.second.saved * options_.save_time;
      char text[17];
      std::snprintf(text, sizeof text, "%08x%08x",
                    static_cast<unsigned>(saved.count()),
                    static_cast<unsigned>(++last_checkpoint_));
      each.second.checkpoint = text;
    }
    if (lapsed) {
      over.emplace_back(each.first, "lapsed");
    } else if (!each.second.lasts && passed >= each.second.work) {
      over.emplace_back(each.first, "done");
    }
  }
  for (const std::pair<std::string, std::string>& each : over) {
    end(each.first, each.second);
  }
  answer_holds(!ended_.empty());
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed && !terminated_ && !dark_) tick();
  });
}

}  // namespace ebonygrade::review
