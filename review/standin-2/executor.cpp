#include "executor.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <set>
#include <utility>

#include "daemons.h"
#include "platform/json.h"

namespace ebonygrade::review {

namespace json = boost::json;
using platform::integer_field;
using platform::string_field;

namespace {

constexpr std::size_t kMaxListedEnds = 500;
constexpr milliseconds kHeartbeat{1500};
constexpr int kSilentHeartbeats = 3;
constexpr std::int64_t kServingTailMs = 20;

http::response reply_json(unsigned code, std::string body) {
  http::response reply = http::json_response(http::status::ok, std::move(body));
  reply.result(code);
  return reply;
}

milliseconds between(steady::time_point from, steady::time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from);
}

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool gathers(const active_run& run) {
  return run.begun == steady::time_point::max();
}

std::string gang_of(const active_run& run) {
  return run.task.job + "." + std::to_string(run.task.occurrence) + "." +
         std::to_string(run.task.step) + " run " + std::to_string(run.run);
}

}  // namespace

executor::executor(fleet& all, std::string machine, executor_kind kind)
    : fleet_(all), machine_(std::move(machine)), kind_(std::move(kind)) {}

void executor::join() {
  id_ = fleet_.new_id();
  born_ = steady::now();
  born_ms_ = unix_ms();
  fence_ = 0;
  lease_ms_ = 0;
  runs_.clear();
  closed_.clear();
  finished_.clear();
  next_end_ = 1;
  server_ = std::make_unique<http::server>(
      fleet_.context(), http::server_options(),
      [this](http::request&& request, const http::responder& answer) {
        std::lock_guard<std::mutex> guard(fleet_.shared().lock);
        handle(request, answer);
      });
  // The machine keeps its address.
  if (port_ == 0) port_ = free_ports(1).front();
  server_->listen("127.0.0.1:" + std::to_string(port_)).value();
  entries_ = 0;
  write_entry();
}

void executor::write_entry() {
  json::object entry;
  entry["service"] = kind_.service;
  entry["addr"] = "127.0.0.1:" + std::to_string(port_);
  entry["zone"] = "zone-a";
  entry["version"] = "v1";
  entry["slots"] = 8;
  entry["state"] = "ready";
  entry["coldLeftMs"] = 0;
  entry["capacity"] = {
      {"cpu", kind_.cpu}, {"memMb", kind_.memory_mb}, {"gpu", 0}};
  entry["labels"] = {kind_.kind, kind_.rack};
  entry["born"] = born_ms_;
  entry["clockMs"] = clock_ms();
  entry["seq"] = ++entries_;
  fleet_.entries().put("keyed.servers", id_, json::serialize(entry));
  next_entry_ = steady::now() + kHeartbeat;
}

void executor::leave() {
  for (const active_run& each : runs_) {
    fleet_.shared().log("executor " + id_ + ": " + each.text + " run " +
                        std::to_string(each.run) + " is gone with it");
  }
  runs_.clear();
  holds_.clear();
  server_.reset();
}

std::int64_t executor::clock_ms() const {
  return between(born_, steady::now()).count() + 1;
}

void executor::handle(const http::request& request,
                      const http::responder& answer) {
  if (request["X-Expect-Instance"] != id_) {
    return answer(reply_json(421, "{}"));
  }
  std::optional<json::object> body = platform::parse_object(request.body());
  if (!body) return answer(reply_json(400, "{}"));
  std::string target(request.target());
  if (target == "/run-start") return answer(start(*body));
  if (target == "/run-stop") return answer(stop(*body));
  if (target == "/hold") return hold(*body, answer);
  // Tasks that fill disturb nobody here, at whatever pace.
  if (target == "/pace") return answer(reply_json(200, conflict_body("")));
  answer(reply_json(404, "{}"));
}

std::string executor::conflict_body(const std::string& reason) const {
  return R"({"clockMs":)" + std::to_string(clock_ms()) + R"(,"reason":")" +
         reason + "\"}";
}

bool executor::accept_fence(const json::object& body) {
  std::uint64_t fence =
      static_cast<std::uint64_t>(integer_field(body, "fence").value_or(0));
  if (fence < fence_) return false;
  fence_ = fence;
  return true;
}

void executor::extend_lease(std::int64_t until_ms) {
  std::int64_t longest = clock_ms() + fleet_.limits().longest_lease.count();
  lease_ms_ = std::max(lease_ms_, std::min(until_ms, longest));
}

http::response executor::start(const json::object& body) {
  std::string text = string_field(body, "task").value_or("");
  task_name task;
  std::uint32_t run =
      static_cast<std::uint32_t>(integer_field(body, "run").value_or(0));
  if (!parse_task(text, &task) || run == 0) return reply_json(400, "{}");
  if (!accept_fence(body)) return reply_json(409, conflict_body("fence"));
  std::int64_t until = integer_field(body, "untilMs").value_or(0);
  for (const active_run& each : runs_) {
    if (each.text == text && each.run == run) {
      extend_lease(until);
      return reply_json(200, conflict_body(""));
    }
  }
  std::map<std::string, std::uint32_t>::const_iterator closed =
      closed_.find(text);
  if (closed != closed_.end() && run <= closed->second) {
    extend_lease(until);
    return reply_json(409, conflict_body("old"));
  }
  if (until <= clock_ms()) return reply_json(409, conflict_body("late"));
  const step_spec* spec = fleet_.shared().find_step(task);
  if (spec == nullptr) {
    fleet_.shared().log("executor " + id_ + ": start of " + text +
                        ", which no client sent");
    return reply_json(400, "{}");
  }
  extend_lease(until);
  active_run made;
  made.text = text;
  made.task = task;
  made.run = run;
  made.spec = *spec;
  made.present = steady::now();
  made.begun = spec->gang ? steady::time_point::max() : made.present;
  bool near = spec->data_rack.empty() || spec->data_rack == kind_.rack;
  bool is_short = spec->short_every > 0 && task.index % spec->short_every == 0;
  made.work = (is_short ? spec->short_work : spec->work) *
              (near ? 1 : fleet_.limits().far_factor);
  made.checkpoint = string_field(body, "checkpointId").value_or("");
  runs_.push_back(std::move(made));
  fleet_.shared().log("executor " + id_ + ": starts " + text + " run " +
                      std::to_string(run));
  return reply_json(200, conflict_body(""));
}

http::response executor::stop(const json::object& body) {
  std::string text = string_field(body, "task").value_or("");
  std::uint32_t run =
      static_cast<std::uint32_t>(integer_field(body, "run").value_or(0));
  if (!accept_fence(body)) return reply_json(409, conflict_body("fence"));
  bool found = false;
  for (active_run& each : runs_) {
    if (each.text != text || each.run != run) continue;
    found = true;
    if (!each.stops_at) {
      each.stops_at = steady::now() + fleet_.limits().stop_time;
    }
  }
  if (!found) closed_[text] = std::max(closed_[text], run);
  return reply_json(200, conflict_body(""));
}

int executor::percent(const active_run& run, steady::time_point now) const {
  if (gathers(run)) return 0;
  milliseconds worked = between(run.begun, now);
  if (run.spec.long_running) {
    return worked >= fleet_.limits().startup ? 100 : 50;
  }
  if (run.work.count() == 0) return 100;
  return static_cast<int>(
      std::min<std::int64_t>(100, 100 * worked.count() / run.work.count()));
}

http::response executor::report() const {
  json::array running;
  steady::time_point now = steady::now();
  for (const active_run& each : runs_) {
    // The tail of a task that serves, below its target; or the CPU in use.
    std::int64_t figure =
        each.spec.target_ms > 0 ? kServingTailMs : each.spec.cpu;
    running.push_back(json::array{each.text, each.run, each.checkpoint,
                                  percent(each, now), figure});
  }
  json::array ends;
  for (const finished& each : finished_) {
    if (ends.size() == kMaxListedEnds) break;
    ends.push_back(json::array{each.number, each.task, each.run, each.how,
                               each.checkpoint});
  }
  json::object body;
  body["clockMs"] = clock_ms();
  body["born"] = born_ms_;
  body["running"] = std::move(running);
  body["finished"] = std::move(ends);
  return reply_json(200, json::serialize(body));
}

void executor::hold(const json::object& body, const http::responder& answer) {
  if (!accept_fence(body)) {
    return answer(reply_json(409, conflict_body("fence")));
  }
  std::optional<std::int64_t> until = integer_field(body, "untilMs");
  if (until) extend_lease(*until);
  std::uint64_t seen =
      static_cast<std::uint64_t>(integer_field(body, "lastSeen").value_or(0));
  std::erase_if(finished_,
                [&](const finished& each) { return each.number <= seen; });
  std::int64_t wait = integer_field(body, "waitMs").value_or(0);
  if (wait == 0 || !finished_.empty()) return answer(report());
  holds_.push_back({answer, steady::now() + milliseconds(wait)});
}

void executor::answer_holds() {
  std::vector<waiting_hold> waiting = std::exchange(holds_, {});
  for (const waiting_hold& each : waiting) each.answer(report());
}

void executor::end(std::size_t index, const std::string& how) {
  active_run over = std::move(runs_[index]);
  runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
  closed_[over.text] = std::max(closed_[over.text], over.run);
  fleet_.shared().log("executor " + id_ + ": " + over.text + " run " +
                      std::to_string(over.run) + " ends " + how);
  finished_.push_back({next_end_++, over.text, over.run, how, over.checkpoint});
  if (fleet_.on_end) fleet_.on_end(*this, over, how);
  answer_holds();
}

void executor::tick(steady::time_point now) {
  if (!is_up()) return;
  if (now >= next_entry_) write_entry();
  bool lapsed = clock_ms() > lease_ms_;
  for (std::size_t i = runs_.size(); i-- > 0;) {
    active_run& each = runs_[i];
    if (lapsed) {
      end(i, "lapsed");
      continue;
    }
    if (each.stops_at && now >= *each.stops_at) {
      end(i, "stopped");
      continue;
    }
    if (gathers(each)) {
      if (now - each.present > fleet_.limits().gang_wait) end(i, "alone");
      continue;
    }
    if (!each.spec.long_running && now - each.begun >= each.work) {
      end(i, "done");
      continue;
    }
    if (!each.spec.checkpoint) continue;
    std::int64_t saves =
        between(each.begun, now) / fleet_.limits().checkpoint_interval;
    if (saves > each.saves) {
      each.saves = saves;
      char text[32];
      std::snprintf(text, sizeof text, "%08x%08x", each.task.index,
                    static_cast<unsigned>(saves));
      each.checkpoint = text;
    }
  }
  std::vector<waiting_hold> waiting = std::exchange(holds_, {});
  for (waiting_hold& each : waiting) {
    if (now >= each.until) {
      each.answer(report());
    } else {
      holds_.push_back(std::move(each));
    }
  }
}

// ---- The fleet --------------------------------------------------------------

fleet::fleet(boost::asio::io_context& context, site& shared, store& entries,
             executor_bounds limits)
    : context_(context), site_(shared), store_(entries), limits_(limits) {}

std::string fleet::new_id() {
  char text[32];
  std::snprintf(text, sizeof text, "i-%010llx",
                0xbd1bc4c530ULL + 0x10001ULL * ids_++);
  return text;
}

void fleet::add(const std::string& machine, const executor_kind& kind) {
  members_.push_back(std::make_unique<executor>(*this, machine, kind));
  members_.back()->join();
}

void fleet::crash(executor* lost) {
  site_.log("fault: executor " + lost->id() + " is killed, for good");
  removals_[lost->id()] = steady::now() + kHeartbeat * kSilentHeartbeats;
  lost->leave();
}

bool fleet::begin_upkeep(const std::string& machine, milliseconds down) {
  for (const std::unique_ptr<executor>& each : members_) {
    if (each->machine() != machine) continue;
    if (!each->is_up()) return false;
    site_.log("upkeep of " + machine + " begins, with executor " + each->id());
    // The executor has left, so its entry goes at once.
    removals_[each->id()] = steady::now();
    each->leave();
    returns_[machine] = steady::now() + down;
    return true;
  }
  return false;
}

std::vector<machine_row> fleet::rows() const {
  std::vector<machine_row> out;
  for (const std::unique_ptr<executor>& each : members_) {
    bool returns = returns_.count(each->machine()) > 0;
    std::string state = each->is_up() ? "up" : returns ? "upkeep" : "down";
    out.push_back({each->machine(), each->kind().service, state,
                   each->kind().rack, each->kind().kind,
                   each->is_up() ? each->id() : ""});
  }
  return out;
}

void fleet::gather_gangs(steady::time_point now) {
  std::map<std::string, std::vector<active_run*>> waiting;
  for (const std::unique_ptr<executor>& each : members_) {
    for (active_run& run : each->mutable_runs()) {
      if (run.spec.gang && gathers(run)) waiting[gang_of(run)].push_back(&run);
    }
  }
  for (const std::pair<const std::string, std::vector<active_run*>>& each :
       waiting) {
    if (each.second.size() < each.second.front()->spec.count) continue;
    for (active_run* run : each.second) run->begun = now;
  }
}

void fleet::tick() {
  steady::time_point now = steady::now();
  gather_gangs(now);
  for (const std::unique_ptr<executor>& each : members_) each->tick(now);
  for (std::map<std::string, steady::time_point>::iterator each =
           removals_.begin();
       each != removals_.end();) {
    if (now < each->second) {
      ++each;
      continue;
    }
    store_.put("keyed.servers", each->first, "");
    each = removals_.erase(each);
  }
  for (std::map<std::string, steady::time_point>::iterator each =
           returns_.begin();
       each != returns_.end();) {
    if (now < each->second) {
      ++each;
      continue;
    }
    for (const std::unique_ptr<executor>& member : members_) {
      if (member->machine() != each->first) continue;
      member->join();
      site_.log("upkeep of " + each->first + " is over, executor " +
                member->id() + " joins");
    }
    each = returns_.erase(each);
  }
}

std::size_t fleet::running(const std::string& job) const {
  std::size_t found = 0;
  for (const std::unique_ptr<executor>& each : members_) {
    for (const active_run& run : each->runs()) {
      if (run.task.job == job) ++found;
    }
  }
  return found;
}

bool fleet::is_running(const std::string& task) const {
  for (const std::unique_ptr<executor>& each : members_) {
    for (const active_run& run : each->runs()) {
      if (run.text == task) return true;
    }
  }
  return false;
}

bool fleet::is_at_work(const std::string& task) const {
  steady::time_point now = steady::now();
  for (const std::unique_ptr<executor>& each : members_) {
    for (const active_run& run : each->runs()) {
      if (run.text == task && now - run.begun >= limits_.startup) return true;
    }
  }
  return false;
}

std::int64_t fleet::used_cpu() const {
  std::int64_t sum = 0;
  for (const std::unique_ptr<executor>& each : members_) {
    for (const active_run& run : each->runs()) {
      if (!run.spec.fills) sum += run.spec.cpu;
    }
  }
  return sum;
}

std::int64_t fleet::total_cpu() const {
  std::int64_t sum = 0;
  for (const std::unique_ptr<executor>& each : members_) {
    if (each->is_up()) sum += each->kind().cpu;
  }
  return sum;
}

std::int64_t fleet::free_slots(const step_spec& need) const {
  std::int64_t sum = 0;
  for (const std::unique_ptr<executor>& each : members_) {
    if (!each->is_up()) continue;
    std::int64_t cpu = each->kind().cpu;
    std::int64_t memory = each->kind().memory_mb;
    for (const active_run& run : each->runs()) {
      if (!run.spec.fills) cpu -= run.spec.cpu;
      memory -= run.spec.memory_mb;
    }
    std::int64_t slots = need.count;
    if (need.cpu > 0) slots = std::min(slots, cpu / need.cpu);
    if (need.memory_mb > 0) slots = std::min(slots, memory / need.memory_mb);
    sum += std::max<std::int64_t>(0, slots);
  }
  return sum;
}

}  // namespace ebonygrade::review
