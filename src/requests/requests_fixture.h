// Test fixture: a request table, and functions that apply common events. Used
// only by the tests of this folder.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "requests/requests.h"

namespace ebonygrade::requests {

inline constexpr job::shard_id kHome{0, 1};
inline constexpr job::epoch kEpoch = 7;

class requests_fixture {
 public:
  static job::request make_request(const std::string& id) {
    job::request request;
    request.id = id;
    request.team = "alerts";
    request.home = kHome;
    request.per_task.slots = 1;
    request.payload = "payload";
    return request;
  }

  void step(const event& input) { effects = requests::step(state, input, now); }

  void submit(const job::request& request, std::uint64_t token = 1) {
    step(submitted{request, {"", token, true}, kEpoch});
  }

  // Places the task and returns the key of the start that was sent; an empty
  // key if none was sent.
  job::attempt_key place(const std::string& id, std::uint32_t task = 0,
                         const std::string& worker = "w1") {
    step(placed{id, task, worker, kEpoch});
    const send_start* sent = find<send_start>();
    return sent == nullptr ? job::attempt_key()
                           : job::from_wire(sent->task.key());
  }

  // Submits and places a request of one task and confirms its start.
  job::attempt_key run(const job::request& request) {
    submit(request);
    job::attempt_key key = place(request.id);
    if (!request.idempotent) {
      step(intent_durable{request.id});
      key = job::from_wire(find<send_start>()->task.key());
    }
    step(start_answered{key, wire::started});
    return key;
  }

  void end(const job::attempt_key& key, wire::task_end end = wire::completed) {
    step(task_ended{key, end, 0, "output", "w1"});
  }

  void advance(milliseconds by) {
    now += by;
    step(tick{});
  }

  // The first effect of type T, or null.
  template <typename T>
  const T* find() const {
    for (const effect& each : effects) {
      if (const T* found = std::get_if<T>(&each)) return found;
    }
    return nullptr;
  }

  template <typename T>
  int count() const {
    int found = 0;
    for (const effect& each : effects) {
      if (std::holds_alternative<T>(each)) ++found;
    }
    return found;
  }

  // Kind of the first reply's outcome; `pending` if there is no reply.
  wire::outcome_kind replied() const {
    const reply* found = find<reply>();
    return found == nullptr ? wire::pending : found->outcome.kind();
  }

  task_state& task(const std::string& id, std::uint32_t index = 0) {
    return state.by_id.at(id).tasks[index];
  }

  table state;
  steady_time now{std::chrono::hours(1)};
  std::vector<effect> effects;  // Of the last event.
};

}  // namespace ebonygrade::requests
