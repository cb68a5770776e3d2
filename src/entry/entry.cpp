#include "entry/entry.h"

#include <algorithm>
#include <utility>

namespace ebonygrade::entry {

namespace {

bool is_final(const job::outcome& outcome) {
  return outcome.kind() != wire::pending;
}

// A request that was sent to an owner may have run; only the owner knows.
job::outcome timeout_outcome(const open_request& request, const table& state) {
  if (request.ever_sent) {
    return job::unknown_outcome("the owner of the request's shard was lost");
  }
  return job::not_run_outcome("the request's shard has no owner",
                              state.options.retry_after);
}

milliseconds owner_timeout(const open_request& request, const table& state) {
  return request.ever_sent ? state.options.owner_lost_timeout
                           : state.options.no_owner_timeout;
}

// A submission that was never sent and can no longer start before its deadline.
bool is_deadline_missed(const open_request& request, steady_time now) {
  return request.kind == request_kind::submit && !request.ever_sent &&
         now >= request.request.deadline;
}

bool is_dispatch_due(const open_request& request, const owner& target,
                     const table& state, steady_time now) {
  if (!request.ever_sent) return true;
  if (target.daemon != request.sent_to) return true;
  if (target.epoch != request.sent_epoch) return true;
  const milliseconds elapsed =
      std::chrono::duration_cast<milliseconds>(now - request.last_sent);
  if (request.got_wrong_owner_reply || !request.acknowledged) {
    return elapsed >= state.options.resend_interval;
  }
  return elapsed >= state.options.confirm_interval;
}

void record_dispatch(open_request& request, const owner& target,
                     steady_time now) {
  request.ever_sent = true;
  request.acknowledged = false;
  request.got_wrong_owner_reply = false;
  request.sent_to = target.daemon;
  request.sent_epoch = target.epoch;
  request.last_sent = now;
}

}  // namespace

std::vector<effect> open(table& state, std::uint64_t token,
                         open_request request, const owner_source& owners,
                         steady_time now) {
  if (state.open.size() >= state.options.max_open_requests) {
    return {reply_to_caller{
        token, request.request.id,
        job::not_run_outcome("too many requests wait at this daemon",
                             state.options.retry_after)}};
  }
  request.opened_at = now;
  request.last_owner_contact = now;
  const owner target = owners(request.request.home);
  std::vector<effect> effects;
  if (!target.daemon.empty()) {
    record_dispatch(request, target, now);
    effects.push_back(dispatch{token, target.daemon});
  }
  state.open.emplace(token, std::move(request));
  return effects;
}

std::vector<effect> on_reply(table& state, std::uint64_t token,
                             const job::outcome& outcome, bool wrong_owner,
                             steady_time now) {
  const auto found = state.open.find(token);
  if (found == state.open.end()) return {};
  open_request& request = found->second;
  if (wrong_owner) {
    request.got_wrong_owner_reply = true;
    return {};
  }
  request.acknowledged = true;
  request.last_owner_contact = now;
  request.last_outcome = outcome;
  const bool done = is_final(outcome) || !request.wait_for_final ||
                    request.kind == request_kind::cancel;
  if (!done) return {};
  std::vector<effect> effects{
      reply_to_caller{token, request.request.id, outcome}};
  state.open.erase(found);
  return effects;
}

std::vector<effect> tick(table& state, const owner_source& owners,
                         steady_time now) {
  std::vector<effect> effects;
  for (auto each = state.open.begin(); each != state.open.end();) {
    open_request& request = each->second;
    const owner target = owners(request.request.home);
    if (!target.daemon.empty() &&
        is_dispatch_due(request, target, state, now)) {
      record_dispatch(request, target, now);
      effects.push_back(dispatch{each->first, target.daemon});
    }
    if (!target.daemon.empty()) request.last_owner_contact = now;
    if (is_deadline_missed(request, now)) {
      effects.push_back(
          reply_to_caller{each->first, request.request.id,
                          job::not_run_outcome("the deadline has passed",
                                               state.options.retry_after)});
      each = state.open.erase(each);
      continue;
    }
    if (now - request.last_owner_contact >= owner_timeout(request, state)) {
      effects.push_back(reply_to_caller{each->first, request.request.id,
                                        timeout_outcome(request, state)});
      each = state.open.erase(each);
      continue;
    }
    if (now >= request.reply_by) {
      effects.push_back(reply_to_caller{each->first, request.request.id,
                                        request.last_outcome});
      each = state.open.erase(each);
      continue;
    }
    ++each;
  }
  return effects;
}

}  // namespace ebonygrade::entry
