#include "entry/entry.h"

#include <algorithm>
#include <utility>

namespace ebonygrade::entry {

namespace {

bool is_final(const job::outcome& outcome) {
  return outcome.kind() != wire::pending;
}

// A request whose owner has been asked may have run; only its owner can say.
job::outcome give_up(const open_request& request, const table& state) {
  if (request.ever_sent) {
    return job::unknown_outcome("the owner of the request's shard was lost");
  }
  return job::not_run_outcome("the request's shard has no owner",
                              state.options.retry_after);
}

milliseconds patience(const open_request& request, const table& state) {
  return request.ever_sent ? state.options.owner_lost_timeout
                           : state.options.no_owner_timeout;
}

// A request that can no longer start in time, and never was sent.
bool missed_deadline(const open_request& request, steady_time now) {
  return request.kind == request_kind::submit && !request.ever_sent &&
         now >= request.request.deadline;
}

bool must_send(const open_request& request, const owner& target,
               const table& state, steady_time now) {
  if (!request.ever_sent) return true;
  if (target.daemon != request.sent_to) return true;
  if (target.epoch != request.sent_epoch) return true;
  const milliseconds since =
      std::chrono::duration_cast<milliseconds>(now - request.last_sent);
  if (request.resend || !request.acknowledged) {
    return since >= state.options.resend_interval;
  }
  return since >= state.options.confirm_interval;
}

void note_sent(open_request& request, const owner& target, steady_time now) {
  request.ever_sent = true;
  request.acknowledged = false;
  request.resend = false;
  request.sent_to = target.daemon;
  request.sent_epoch = target.epoch;
  request.last_sent = now;
}

}  // namespace

std::vector<effect> open(table& state, std::uint64_t token,
                         open_request request, const owner_source& owners,
                         steady_time now) {
  if (state.open.size() >= state.options.max_open) {
    return {reply_to_caller{
        token, request.request.id,
        job::not_run_outcome("too many requests wait at this daemon",
                             state.options.retry_after)}};
  }
  request.opened = now;
  request.owner_seen = now;
  const owner target = owners(request.request.home);
  std::vector<effect> effects;
  if (!target.daemon.empty()) {
    note_sent(request, target, now);
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
    request.resend = true;
    return {};
  }
  request.acknowledged = true;
  request.owner_seen = now;
  request.last_known = outcome;
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
    if (!target.daemon.empty() && must_send(request, target, state, now)) {
      note_sent(request, target, now);
      effects.push_back(dispatch{each->first, target.daemon});
    }
    if (!target.daemon.empty()) request.owner_seen = now;
    if (missed_deadline(request, now)) {
      effects.push_back(
          reply_to_caller{each->first, request.request.id,
                          job::not_run_outcome("the deadline has passed",
                                               state.options.retry_after)});
      each = state.open.erase(each);
      continue;
    }
    if (now - request.owner_seen >= patience(request, state)) {
      effects.push_back(reply_to_caller{each->first, request.request.id,
                                        give_up(request, state)});
      each = state.open.erase(each);
      continue;
    }
    if (now >= request.reply_by) {
      effects.push_back(
          reply_to_caller{each->first, request.request.id, request.last_known});
      each = state.open.erase(each);
      continue;
    }
    ++each;
  }
  return effects;
}

}  // namespace ebonygrade::entry
