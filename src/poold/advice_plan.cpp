#include "poold/advice_plan.h"

#include <algorithm>
#include <utility>

namespace ebonygrade::poold {

namespace {

// Three missed announcements. The announcement interval is 1 s.
constexpr milliseconds kAnnouncementTimeout{3200};
// A channel without a usable reply is avoided for this long, and after that
// until its daemon has announced itself.
constexpr milliseconds kRetryDelay{2000};
constexpr std::uint32_t kUrgentPriority = 0;

bool is_available(const planned_channel& channel, steady_time now) {
  if (channel.removed || channel.retry_at > now) return false;
  if (channel.local) return true;
  steady_time contact = channel.load.last_contact;
  return contact >= channel.failed_at && now - contact <= kAnnouncementTimeout;
}

std::vector<channel_load> loads_of(const advice_plan& plan, steady_time now) {
  std::vector<channel_load> loads;
  loads.reserve(plan.channels.size());
  for (const planned_channel& each : plan.channels) {
    loads.push_back(each.load);
    loads.back().available = is_available(each, now);
    if (each.local) loads.back().last_contact = now;
  }
  return loads;
}

// One pass of plan_attempts().
struct planning {
  advice_plan* plan;
  steady_time now;
  std::vector<channel_load> loads;  // Of the plan's channels.
  std::vector<advice_attempt> out;
};

void send(planning* pass, std::uint64_t id, std::size_t channel) {
  planned_request& request = pass->plan->requests.at(id);
  channel_load& load = pass->plan->channels[channel].load;
  record_request(&load, request.expected, pass->now);
  record_request(&pass->loads[channel], request.expected, pass->now);
  advice_attempt attempt{id, channel, request.expected, load.idle_at};
  request.open.push_back(attempt);
  pass->out.push_back(attempt);
}

bool any_can_send(const planning& pass) {
  return std::any_of(
      pass.loads.begin(), pass.loads.end(),
      [&](const channel_load& each) { return can_send(each, pass.now); });
}

void repeat(planning* pass, std::uint64_t id, channel_choice by) {
  if (!by.found) return;
  pass->plan->requests.at(id).repeated = true;
  ++pass->plan->repeated;
  send(pass, id, by.index);
}

// Whether little speaks for a reply in time: the channel hasn't replied
// recently, and its daemon is silent or has never replied.
bool is_doubtful(const channel_load& channel, steady_time now) {
  if (has_replied_recently(channel, now)) return false;
  return channel.last_reply == steady_time() ||
         !has_announced_recently(channel, now);
}

// Sends an urgent request by a second channel as well if that is idle.
void send_twice(planning* pass, std::uint64_t id, std::size_t first) {
  std::vector<channel_load> idle = pass->loads;
  for (channel_load& each : idle) each.available &= each.outstanding == 0;
  repeat(pass, id, choose_repeat(idle, first, pass->now));
}

// The time from which on an open request is repeated.
steady_time repeat_at(const advice_plan& plan, const advice_attempt& attempt,
                      steady_time now) {
  std::optional<steady_time> late =
      late_at(plan.channels[attempt.channel].load);
  // On a late channel, the requests behind the oldest one wait no longer than
  // until they are due.
  if (!late || *late <= now) return attempt.due;
  return std::max(*late, attempt.due);
}

}  // namespace

std::size_t add_channel(advice_plan* plan, steady_time now, bool local) {
  planned_channel made;
  made.local = local;
  made.load.last_contact = now;
  std::vector<planned_channel>::iterator unused =
      std::find_if(plan->channels.begin(), plan->channels.end(),
                   [](const planned_channel& each) {
                     return each.removed && each.load.outstanding == 0;
                   });
  std::size_t index = static_cast<std::size_t>(unused - plan->channels.begin());
  if (unused == plan->channels.end()) plan->channels.emplace_back();
  plan->channels[index] = std::move(made);
  return index;
}

void observe_contact(advice_plan* plan, std::size_t channel, steady_time now) {
  plan->channels[channel].load.last_contact = now;
}

std::size_t available_channels(const advice_plan& plan, steady_time now) {
  std::size_t available = 0;
  std::size_t on_time = 0;
  for (const planned_channel& each : plan.channels) {
    if (!is_available(each, now)) continue;
    ++available;
    if (!is_late(each.load, now)) ++on_time;
  }
  return on_time > 0 ? on_time : available;
}

std::uint64_t add_request(advice_plan* plan, std::uint32_t priority,
                          milliseconds expected) {
  std::uint64_t id = ++plan->last_request;
  plan->requests[id] = {priority, expected, {}, false};
  plan->waiting.emplace(priority, id);
  return id;
}

std::vector<advice_attempt> plan_attempts(advice_plan* plan, steady_time now) {
  planning pass{plan, now, loads_of(*plan, now), {}};
  for (const std::pair<const std::uint64_t, planned_request>& each :
       plan->requests) {
    if (each.second.repeated || each.second.open.empty()) continue;
    advice_attempt first = each.second.open.front();
    if (repeat_at(*plan, first, now) > now) continue;
    repeat(&pass, each.first, choose_repeat(pass.loads, first.channel, now));
  }
  std::multimap<std::uint32_t, std::uint64_t>::iterator each =
      plan->waiting.begin();
  while (each != plan->waiting.end() && any_can_send(pass)) {
    std::uint64_t id = each->second;
    const planned_request& request = plan->requests.at(id);
    bool urgent = each->first == kUrgentPriority;
    channel_choice choice =
        choose_channel(pass.loads, request.expected, now, urgent);
    if (!choice.found) {
      // A later, shorter request may still find a channel.
      ++each;
      continue;
    }
    each = plan->waiting.erase(each);
    send(&pass, id, choice.index);
    bool doubtful = is_doubtful(pass.loads[choice.index], now);
    if (urgent && doubtful && !request.repeated) {
      send_twice(&pass, id, choice.index);
    }
  }
  return std::move(pass.out);
}

std::optional<steady_time> next_check(const advice_plan& plan,
                                      steady_time now) {
  std::optional<steady_time> next;
  for (const std::pair<const std::uint64_t, planned_request>& each :
       plan.requests) {
    if (each.second.repeated || each.second.open.empty()) continue;
    steady_time at = repeat_at(plan, each.second.open.front(), now);
    // What is late already waits for a channel, not for a time.
    if (at > now && (!next || at < *next)) next = at;
  }
  return next;
}

request_state observe_reply(advice_plan* plan, const advice_attempt& attempt,
                            bool usable, steady_time now) {
  planned_channel& channel = plan->channels[attempt.channel];
  if (usable) {
    record_reply(&channel.load, attempt.expected, attempt.due, now);
  } else {
    record_failure(&channel.load, attempt.expected, attempt.due);
    channel.retry_at = now + kRetryDelay;
    channel.failed_at = now;
  }
  std::map<std::uint64_t, planned_request>::iterator found =
      plan->requests.find(attempt.request);
  if (found == plan->requests.end()) return request_state::ended;
  planned_request& request = found->second;
  if (!usable) {
    std::erase_if(request.open, [&](const advice_attempt& each) {
      return each.channel == attempt.channel && each.due == attempt.due;
    });
    if (!request.open.empty()) return request_state::open;
    if (!request.repeated && available_channels(*plan, now) > 0) {
      request.repeated = true;
      ++plan->repeated;
      plan->waiting.emplace(request.priority, attempt.request);
      return request_state::open;
    }
  }
  plan->requests.erase(found);
  return usable ? request_state::done : request_state::failed;
}

}  // namespace ebonygrade::poold
