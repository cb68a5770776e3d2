// Requests to the advice service, which knows the workers that may run each
// step. The service handles one request at a time per caller. A request is
// therefore sent only when capacity for the step is free or expected soon, and
// it names no more workers than the step is likely to need.
#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "pool/pool_pvt.h"
#include "pool/round_pvt.h"

namespace ebonygrade::pool {

namespace {

// Delay after a request that returned no ticket.
constexpr milliseconds kAdviceRetryDelay{300};
// Slots per waiting task in a request that renews tickets.
constexpr std::size_t kRenewalWorkersPerTask = 2;
// Limit of pending requests that are not urgent. Later ones are created only
// when others end, so that they name workers with free capacity at that time.
constexpr std::size_t kMaxPendingRequests = 24;
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
  std::size_t enough =
      static_cast<std::size_t>(needed * kFirstRequestSpareFactor / share) + 1;
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
    std::stable_partition(eligible.begin(), without_capacity,
                          [&](const worker* each) {
                            return slowdown_of(*each, round.now) <= affordable;
                          });
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

// Workers with free capacity whose tickets have expired, or that joined the
// pool after the first request; the best first.
std::vector<std::string> workers_for_renewal(const scheduling_round& round,
                                             const candidate_step& candidate) {
  std::uint32_t count = count_waiting_tasks(*candidate.step);
  std::vector<placement_option> options =
      find_options(round, candidate, ticket_mode::ignored, count);
  bool gang = definition(*candidate.job, *candidate.step).gang();
  if (options.empty() || (gang && total_slots(options) < count)) return {};
  sort_by_preference(round, candidate, &options);
  std::vector<std::string> names;
  std::uint32_t slots = 0;
  for (const placement_option& each : options) {
    if (slots >= count * kRenewalWorkersPerTask) break;
    slots += each.slots;
    names.push_back(each.worker->entry.id);
  }
  return names;
}

}  // namespace

void request_advice(scheduling_round* round, const candidate_step& candidate) {
  step_state& step = *candidate.step;
  if (step.advice_pending || step.advice_retry_at > round->now) return;
  if (any_placed(step) && definition(*candidate.job, step).gang()) return;
  if (!capacity_is_expected(*round, candidate)) return;
  bool urgent = candidate.policy->priority == 0;
  if (!urgent && round->pool->pending_advice_requests >= kMaxPendingRequests)
    return;
  std::vector<std::string> names =
      step.queried.empty() ? workers_for_first_request(*round, candidate)
                           : workers_for_renewal(*round, candidate);
  if (names.empty()) return;
  if (names.size() > kMaxWorkersPerRequest) names.resize(kMaxWorkersPerRequest);
  step.advice_pending = true;
  ++round->pool->pending_advice_requests;
  ++round->pool->counters.advice_requests;
  advice_request order;
  order.job = candidate.job->id;
  order.occurrence = step.occurrence;
  order.step = step.step;
  order.expected = expected_advice_time(*candidate.policy, names.size());
  order.validity = candidate.policy->advice_validity;
  order.priority = candidate.policy->priority;
  order.workers = std::move(names);
  round->out->advice.push_back(std::move(order));
}

void observe_advice(pool_state* pool, const advice_request& order, bool replied,
                    const std::vector<ticket>& tickets, steady_time valid_until,
                    steady_time now) {
  if (pool->pending_advice_requests > 0) --pool->pending_advice_requests;
  job* job = find_job(pool, order.job);
  step_state* step =
      job == nullptr ? nullptr : find_step(job, order.occurrence, order.step);
  if (step == nullptr) return;
  step->advice_pending = false;
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
    step->tickets[each.worker] = {each.value, valid_until};
  }
  if (tickets.empty()) step->advice_retry_at = now + kAdviceRetryDelay;
}

}  // namespace ebonygrade::pool
