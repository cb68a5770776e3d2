// Questions to the advice service, which knows for each step the workers that
// may run it. It answers one question at a time for each caller, so a question
// is asked when there is, or soon will be, room for the step, and names no more
// workers than the step is likely to need.
#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "pool/pool_pvt.h"
#include "pool/round_pvt.h"

namespace ebonygrade::pool {

namespace {

// Pause after a question that gave nothing usable.
constexpr milliseconds kAdvicePause{300};
// A refreshing question names so many workers for each task that waits.
constexpr std::size_t kWorkersPerTask = 2;
// Questions that are not urgent wait here rather than in a queue, so that they
// name workers that have room when they are asked.
constexpr std::size_t kMaxOpenQuestions = 24;
// Limit of the advice service.
constexpr std::size_t kMostWorkers = 100;
// Pools up to this size are asked about whole: what is granted never changes,
// and the fixed part of a question's time outweighs the rest.
constexpr std::size_t kSmallPool = 48;
// Workers that a first question names at the least.
constexpr std::size_t kFewestWorkers = 8;
// A first question names so many times the workers that the step needs if its
// tasks find half of each free: others take some before the answer comes.
constexpr double kSpareWorkers = 1.5;
// Weight of the newest answer in the smoothed share of granted workers.
constexpr double kGrantWeight = 0.1;
// Steps are asked for while the room they wait for together is no more than
// so many times what is expected by the time of the answer.
constexpr std::int64_t kMaxAdviceBacklogFactor = 2;
// From an answer to the use of its tickets: a round, and a write of the
// journal.
constexpr milliseconds kPlacingTime{100};
constexpr std::int64_t kMillisecondsPerSecond = 1000;

double grant_share(const round& round, const candidate_step& wanted) {
  std::unordered_map<std::string, double>::const_iterator found =
      round.pool->grant_shares.find(wanted.owner->submission->queue());
  constexpr double kUnknownShare = 0.5;
  return found == round.pool->grant_shares.end() ? kUnknownShare
                                                 : found->second;
}

// Workers that a first question should name.
std::size_t enough_workers(const round& round, const candidate_step& wanted,
                           const resources& capacity) {
  std::uint32_t tasks = waiting_tasks(*wanted.step);
  std::uint32_t slots = slots_in(
      capacity, need_of(definition(*wanted.owner, *wanted.step)), tasks);
  double half_free = std::max(1.0, static_cast<double>(slots) / 2);
  double needed = static_cast<double>(tasks) / half_free;
  constexpr double kLeastShare = 0.1;
  double share = std::max(kLeastShare, grant_share(round, wanted));
  std::size_t enough =
      static_cast<std::size_t>(needed * kSpareWorkers / share) + 1;
  return std::max(enough, kFewestWorkers);
}

// Workers that might run the step; not all of them in a large pool, then those
// with room first, and of these the fast ones. Steps that wait together name
// different ones.
std::vector<std::string> workers_to_learn(const round& round,
                                          const candidate_step& wanted) {
  const wire::step_definition& step = definition(*wanted.owner, *wanted.step);
  std::vector<const worker*> able;
  for (const std::pair<const std::string, worker>& each : round.pool->workers) {
    if (each.second.listed && !each.second.entry.draining &&
        is_eligible(each.second, *wanted.owner, step)) {
      able.push_back(&each.second);
    }
  }
  std::size_t most = able.size();
  if (able.size() > kSmallPool) {
    most = std::min(
        most, enough_workers(round, wanted, able.front()->entry.capacity));
    std::size_t first = std::hash<std::string>()(wanted.owner->id);
    std::rotate(able.begin(),
                able.begin() + static_cast<std::ptrdiff_t>(first % able.size()),
                able.end());
    std::vector<const worker*>::iterator without_room = std::stable_partition(
        able.begin(), able.end(), [&](const worker* each) {
          return is_available(*each, round.now) &&
                 fits(need_of(step), free_resources_of(*each)) &&
                 round.reserved.count(each) == 0;
        });
    double affordable = affordable_slowdown(round, wanted);
    std::stable_partition(able.begin(), without_room, [&](const worker* each) {
      return slowdown_of(*each, round.now) <= affordable;
    });
  }
  std::vector<std::string> names;
  for (std::size_t i = 0; i < most; ++i) names.push_back(able[i]->entry.id);
  return names;
}

milliseconds time_of_question(const queue_policy& policy, std::size_t workers) {
  return policy.advice_fixed +
         milliseconds(static_cast<std::int64_t>(policy.advice_ms_per_worker *
                                                static_cast<double>(workers)));
}

// Whether steps that go first leave room for the step by the time that an
// answer could come. A ticket that waits for room expires.
bool room_is_expected(const round& round, const candidate_step& wanted) {
  milliseconds until =
      time_of_question(*wanted.policy, kSmallPool) + kPlacingTime;
  std::int64_t coming = round.pool->cpu_release_rate.cpu_milli_per_second *
                        until.count() / kMillisecondsPerSecond;
  return round.cpu_awaiting_advice <=
         kMaxAdviceBacklogFactor * (round.free_cpu + coming);
}

// Workers with room now, the best first, whose tickets have expired or that
// came after the first question.
std::vector<std::string> workers_to_renew(const round& round,
                                          const candidate_step& wanted) {
  std::uint32_t count = waiting_tasks(*wanted.step);
  std::vector<option> options =
      options_for(round, wanted, tickets::ignored, count);
  bool gang = definition(*wanted.owner, *wanted.step).gang();
  if (options.empty() || (gang && total_slots(options) < count)) return {};
  sort_by_preference(round, wanted, &options);
  std::vector<std::string> names;
  std::uint32_t slots = 0;
  for (const option& each : options) {
    if (slots >= count * kWorkersPerTask) break;
    slots += each.slots;
    names.push_back(each.worker->entry.id);
  }
  return names;
}

}  // namespace

void request_advice(round* round, const candidate_step& wanted) {
  step_state& step = *wanted.step;
  if (step.advice_pending || step.advice_retry_at > round->now) return;
  if (any_placed(step) && definition(*wanted.owner, step).gang()) return;
  if (!room_is_expected(*round, wanted)) return;
  bool urgent = wanted.policy->priority == 0;
  if (!urgent && round->pool->pending_advice_requests >= kMaxOpenQuestions)
    return;
  std::vector<std::string> names = step.queried.empty()
                                       ? workers_to_learn(*round, wanted)
                                       : workers_to_renew(*round, wanted);
  if (names.empty()) return;
  if (names.size() > kMostWorkers) names.resize(kMostWorkers);
  step.advice_pending = true;
  ++round->pool->pending_advice_requests;
  ++round->pool->counters.advice_requests;
  advice_request order;
  order.job = wanted.owner->id;
  order.occurrence = step.occurrence;
  order.step = step.step;
  order.expected = time_of_question(*wanted.policy, names.size());
  order.validity = wanted.policy->advice_validity;
  order.priority = wanted.policy->priority;
  order.workers = std::move(names);
  round->out->advice.push_back(std::move(order));
}

void observe_advice(pool_state* pool, const advice_request& order,
                    bool answered, const std::vector<ticket>& tickets,
                    steady_time valid_until, steady_time now) {
  if (pool->pending_advice_requests > 0) --pool->pending_advice_requests;
  job* job = find_job(pool, order.job);
  step_state* step =
      job == nullptr ? nullptr : find_step(job, order.occurrence, order.step);
  if (step == nullptr) return;
  step->advice_pending = false;
  if (!answered) {
    step->advice_retry_at = now + kAdvicePause;
    return;
  }
  step->queried.insert(order.workers.begin(), order.workers.end());
  double share = static_cast<double>(tickets.size()) /
                 static_cast<double>(order.workers.size());
  double& known =
      pool->grant_shares.try_emplace(job->submission->queue(), share)
          .first->second;
  known += (share - known) * kGrantWeight;
  for (const ticket& each : tickets) {
    step->granted.insert(each.worker);
    step->tickets[each.worker] = {each.value, valid_until};
  }
  if (tickets.empty()) step->advice_retry_at = now + kAdvicePause;
}

}  // namespace ebonygrade::pool
