// Requests to the advice service, which knows the workers that may run each
// step. The service handles one request at a time per caller. A request is
// therefore sent only when capacity for the step is free or expected soon, and
// it names no more workers than the step is likely to need.
#include <algorithm>
#include <functional>
#include <iterator>
#include <string>
#include <utility>

#include "pool/near_wait_pvt.h"
#include "pool/pool_pvt.h"
#include "pool/round_pvt.h"
#include "pool/step_wait.h"

namespace ebonygrade::pool {

namespace {

// Delay after a request that returned no ticket.
constexpr milliseconds kAdviceRetryDelay{300};
// Delay after a round that found no workers to ask for. The search looks at
// every worker with free capacity.
constexpr milliseconds kNoWorkersRetryDelay{100};
// Slots per waiting task in a request that renews tickets.
constexpr std::size_t kRenewalWorkersPerTask = 2;
// Limit of pending requests that are not urgent: this number, or this many for
// each daemon if that is more. Later ones are created only when others end, so
// that they name workers with free capacity at that time.
constexpr std::size_t kMinPendingRequestLimit = 24;
constexpr double kPendingRequestsPerDaemon = 0.75;
// Requests of one step at a time: one for each of this many daemons.
constexpr std::size_t kDaemonsPerParallelRequest = 16;
// Slots per task in a request that renews a gang's tickets.
constexpr double kGangRenewalFactor = 1.5;
// A gang that has collected room for this long asks for further workers, as
// those granted may stay busy.
constexpr milliseconds kMaxCollectTime{1500};
// A gang doesn't collect room if the workers that are likely to be granted have
// this many times its need free.
constexpr double kAmpleRoomFactor = 2;
// Limit of the advice service.
constexpr std::size_t kMaxWorkersPerRequest = 100;
// In pools up to this size, the first request names all workers: a grant is
// final, and the fixed time of a request outweighs the time per worker.
constexpr std::size_t kMaxWholePoolSize = 48;
// Minimum number of workers in the first request of a step.
constexpr std::size_t kMinFirstRequestWorkers = 8;
// The first request names this many times the workers that the step needs if
// each is half free, as other steps use some of them before the reply.
constexpr double kFirstRequestSpareFactor = 1.5;
// A gang needs all its workers at the same time, so it names more.
constexpr double kFirstGangRequestSpareFactor = 3;
// Weight of the newest reply in the smoothed share of granted workers.
constexpr double kGrantShareWeight = 0.1;
// Advice is requested while the CPU of all steps that wait for advice is at
// most this many times the CPU that is expected to be free at the time of the
// reply.
constexpr std::int64_t kMaxAdviceBacklogFactor = 2;
// From a reply to the use of its tickets: a scheduling round and a journal
// write.
constexpr milliseconds kTicketUseDelay{100};
constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::size_t pending_request_limit(const pool_state& pool) {
  return std::max(
      kMinPendingRequestLimit,
      static_cast<std::size_t>(kPendingRequestsPerDaemon *
                               static_cast<double>(pool.advice_daemons)));
}

double grant_share(const scheduling_round& round,
                   const candidate_step& candidate) {
  std::unordered_map<std::string, double>::const_iterator found =
      round.pool->grant_shares.find(candidate.job->submission->queue());
  constexpr double kDefaultGrantShare = 0.5;
  return found == round.pool->grant_shares.end() ? kDefaultGrantShare
                                                 : found->second;
}

// Number of workers that the first request of a step names.
std::size_t first_request_size(const scheduling_round& round,
                               const candidate_step& candidate,
                               const resources& capacity) {
  std::uint32_t tasks = count_waiting_tasks(*candidate.step);
  std::uint32_t slots = count_slots(
      capacity, resources_needed(definition(*candidate.job, *candidate.step)),
      tasks);
  double half_free = std::max(1.0, static_cast<double>(slots) / 2);
  double needed = static_cast<double>(tasks) / half_free;
  constexpr double kMinGrantShare = 0.1;
  double share = std::max(kMinGrantShare, grant_share(round, candidate));
  bool gang = definition(*candidate.job, *candidate.step).gang();
  double spare =
      gang && round.pool->advice_daemons >= kDaemonsPerParallelRequest
          ? kFirstGangRequestSpareFactor
          : kFirstRequestSpareFactor;
  std::size_t enough = static_cast<std::size_t>(needed * spare / share) + 1;
  return std::max(enough, kMinFirstRequestWorkers);
}

// Workers for the first request of a step: all eligible workers in a small
// pool. In a large pool it is a part of them, first those with free capacity
// and of these the fast ones. The order is rotated by a hash of the job, so
// that steps that wait together name different workers.
std::vector<std::string> workers_for_first_request(
    const scheduling_round& round, const candidate_step& candidate) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  std::vector<const worker*> eligible;
  for (const std::pair<const std::string, worker>& each : round.pool->workers) {
    if (each.second.listed && !each.second.entry.draining &&
        is_eligible(each.second, *candidate.job, step)) {
      eligible.push_back(&each.second);
    }
  }
  std::size_t count = eligible.size();
  if (eligible.size() > kMaxWholePoolSize) {
    count = std::min(
        count,
        first_request_size(round, candidate, eligible.front()->entry.capacity));
    std::size_t first = std::hash<std::string>()(candidate.job->id);
    std::rotate(
        eligible.begin(),
        eligible.begin() + static_cast<std::ptrdiff_t>(first % eligible.size()),
        eligible.end());
    std::vector<const worker*>::iterator without_capacity =
        std::stable_partition(
            eligible.begin(), eligible.end(), [&](const worker* each) {
              return is_available(*each, round.now) &&
                     fits(resources_needed(step), free_resources_of(*each)) &&
                     round.reserved.count(each) == 0;
            });
    double affordable = affordable_slowdown(round, candidate);
    std::stable_partition(
        eligible.begin(), without_capacity, [&](const worker* each) {
          bool avoided = candidate.priority == 0 && each->held_for_gang;
          return !avoided && slowdown_of(*each, round.now) <= affordable;
        });
    name_near_workers(round, step, count, &eligible);
  }
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i)
    names.push_back(eligible[i]->entry.id);
  return names;
}

milliseconds expected_advice_time(const queue_policy& policy,
                                  std::size_t workers) {
  return policy.advice_fixed +
         milliseconds(static_cast<std::int64_t>(policy.advice_ms_per_worker *
                                                static_cast<double>(workers)));
}

// Whether steps of higher rank leave capacity for the step by the time of a
// reply. A ticket that waits for capacity expires.
bool capacity_is_expected(const scheduling_round& round,
                          const candidate_step& candidate) {
  milliseconds until =
      expected_advice_time(*candidate.policy, kMaxWholePoolSize) +
      kTicketUseDelay;
  std::int64_t coming = round.pool->cpu_release_rate.cpu_milli_per_second *
                        until.count() / kMillisecondsPerSecond;
  return round.cpu_awaiting_advice <=
         kMaxAdviceBacklogFactor * (round.free_cpu + coming);
}

// Whether other workers are likely to have room for all tasks of the gang, so
// that it need not collect any.
bool has_ample_room(const scheduling_round& round,
                    const candidate_step& candidate) {
  std::int64_t need =
      count_waiting_tasks(*candidate.step) *
      resources_needed(definition(*candidate.job, *candidate.step)).cpu_milli;
  std::int64_t unreserved = round.free_cpu - round.reserved_free_cpu;
  return grant_share(round, candidate) * static_cast<double>(unreserved) >=
         kAmpleRoomFactor * static_cast<double>(need);
}

// Workers for a later request of a gang. Load pattern: many gangs wait in a
// full pool, and tickets expire before there is room for all tasks. New tickets
// are therefore requested only once the gang fits on granted workers. Until
// then room is collected on them, and only a gang with too few of them, or
// beside much free room, asks for more.
std::vector<std::string> workers_for_gang(const scheduling_round& round,
                                          const candidate_step& candidate) {
  const step_state& step = *candidate.step;
  std::uint32_t count = count_waiting_tasks(step);
  std::vector<collectable_worker> granted =
      collectable_workers(round, candidate);
  std::vector<std::string> names;
  std::uint32_t free = 0;
  for (const collectable_worker& each : granted) {
    if (free >= count * kGangRenewalFactor) break;
    if (each.free == 0) continue;
    free += each.free;
    names.push_back(each.worker->entry.id);
  }
  if (free >= count) return names;
  bool collecting = round.now - step.last_advice < kMaxCollectTime &&
                    count_to_collect(granted, count) > 0;
  if (collecting && !has_ample_room(round, candidate)) return {};
  names.clear();
  for (const placement_option& each :
       find_options(round, candidate, ticket_mode::ignored, count)) {
    const std::string& id = each.worker->entry.id;
    if (step.granted.count(id) == 0) names.push_back(id);
  }
  return names;
}

// Workers with free capacity whose tickets have expired, or that joined the
// pool after the first request; the best first.
std::vector<std::string> workers_for_renewal(const scheduling_round& round,
                                             const candidate_step& candidate) {
  std::uint32_t count = count_waiting_tasks(*candidate.step);
  bool gang = definition(*candidate.job, *candidate.step).gang();
  if (gang) return workers_for_gang(round, candidate);
  std::vector<placement_option> options =
      find_options(round, candidate, ticket_mode::ignored, count);
  if (options.empty()) return {};
  sort_by_preference(round, candidate, &options);
  // Preference is for workers in use, and trials need idle ones.
  if (awaits_trial(*candidate.step)) {
    std::stable_partition(options.begin(), options.end(),
                          [](const placement_option& each) {
                            return each.worker->placements.empty();
                          });
  }
  std::vector<std::string> names;
  std::uint32_t slots = 0;
  for (const placement_option& each : options) {
    if (slots >= count * kRenewalWorkersPerTask) break;
    slots += each.slots;
    names.push_back(each.worker->entry.id);
  }
  return names;
}

void send_request(scheduling_round* round, const candidate_step& candidate,
                  std::vector<std::string> names) {
  step_state& step = *candidate.step;
  ++step.pending_advice;
  ++round->pool->pending_advice_requests;
  ++round->pool->counters.advice_requests;
  advice_request order;
  order.job = candidate.job->id;
  order.occurrence = step.occurrence;
  order.step = step.step;
  order.expected = expected_advice_time(*candidate.policy, names.size());
  order.validity = candidate.policy->advice_validity;
  order.priority = candidate.policy->priority;
  for (const std::string& id : names) {
    order.incarnations_ms.push_back(
        find_worker(round->pool, id)->entry.incarnation_ms);
  }
  order.workers = std::move(names);
  round->out->advice.push_back(std::move(order));
}

// Whether the worker has not restarted since the request. If it has, its ticket
// may be for the earlier incarnation.
bool is_for_current_incarnation(pool_state* pool, const advice_request& order,
                                const std::string& id) {
  const worker* known = find_worker(pool, id);
  if (known == nullptr) return false;
  std::vector<std::string>::const_iterator requested =
      std::find(order.workers.begin(), order.workers.end(), id);
  if (requested == order.workers.end()) return false;
  return order.incarnations_ms[static_cast<std::size_t>(
             requested - order.workers.begin())] == known->entry.incarnation_ms;
}

}  // namespace

std::optional<wait_reason> advice_hindrance(const scheduling_round& round,
                                            const candidate_step& candidate) {
  const step_state& step = *candidate.step;
  if (step.pending_advice > 0) return wait_reason::advice_pending;
  if (step.advice_retry_at > round.now) return wait_reason::advice_delayed;
  bool gang = definition(*candidate.job, step).gang();
  if (gang && any_placed(step)) return wait_reason::member_placed;
  if (!capacity_is_expected(round, candidate)) {
    return wait_reason::advice_backlog;
  }
  // Steps whose results have no value any more can wait.
  bool urgent =
      candidate.policy->priority == 0 && candidate.tier != tier::no_value;
  if (!urgent && round.pool->pending_advice_requests >=
                     pending_request_limit(*round.pool)) {
    return wait_reason::advice_limit;
  }
  return std::nullopt;
}

void request_advice(scheduling_round* round, const candidate_step& candidate) {
  if (advice_hindrance(*round, candidate)) return;
  step_state& step = *candidate.step;
  std::vector<std::string> names =
      step.queried.empty() ? workers_for_first_request(*round, candidate)
                           : workers_for_renewal(*round, candidate);
  std::size_t parallel = std::max<std::size_t>(
      1, round->pool->advice_daemons / kDaemonsPerParallelRequest);
  for (std::size_t first = 0, i = 0; first < names.size() && i < parallel;
       first += kMaxWorkersPerRequest, ++i) {
    std::size_t end = std::min(names.size(), first + kMaxWorkersPerRequest);
    send_request(round, candidate,
                 {std::make_move_iterator(names.begin() + first),
                  std::make_move_iterator(names.begin() + end)});
  }
}

void observe_advice(pool_state* pool, const advice_request& order, bool replied,
                    const std::vector<ticket>& tickets, steady_time valid_until,
                    steady_time now) {
  if (pool->pending_advice_requests > 0) --pool->pending_advice_requests;
  job* job = find_job(pool, order.job);
  step_state* step =
      job == nullptr ? nullptr : find_step(job, order.occurrence, order.step);
  if (step == nullptr) return;
  if (step->pending_advice > 0) --step->pending_advice;
  step->last_advice = now;
  if (!replied) {
    step->advice_retry_at = now + kAdviceRetryDelay;
    return;
  }
  step->queried.insert(order.workers.begin(), order.workers.end());
  double share = static_cast<double>(tickets.size()) /
                 static_cast<double>(order.workers.size());
  double& smoothed =
      pool->grant_shares.try_emplace(job->submission->queue(), share)
          .first->second;
  smoothed += (share - smoothed) * kGrantShareWeight;
  for (const ticket& each : tickets) {
    step->granted.insert(each.worker);
    if (!is_for_current_incarnation(pool, order, each.worker)) continue;
    step->tickets[each.worker] = {
        each.value, find_worker(pool, each.worker)->entry.incarnation_ms,
        valid_until};
  }
  if (tickets.empty()) step->advice_retry_at = now + kAdviceRetryDelay;
}

}  // namespace ebonygrade::pool
