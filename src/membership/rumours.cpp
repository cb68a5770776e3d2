#include <algorithm>
#include <tuple>

#include "membership/membership_pvt.h"
#include "membership/neighbours.h"

namespace ebonygrade::membership {

namespace {

// Rounds of heartbeats that carry a rumour.
constexpr std::uint32_t kRumourRepeats = 3;
// A `silent_ms` of 0 in a rumour means that the daemon is not unresponsive.
constexpr std::uint32_t kMinSilentMs = 1;
constexpr milliseconds kMaxRaisedLimit{16000};

daemon_state* find_by_hash(state& state, std::uint32_t hash) {
  for (auto& [id, daemon] : state.daemons) {
    if (short_hash(id) == hash) return &daemon;
  }
  return nullptr;
}

bool is_later(const wire::rumour& rumour, const daemon_state& known) {
  std::uint64_t incarnation = rumour.incarnation();
  std::uint64_t sequence = rumour.sequence();
  return std::tie(incarnation, sequence) >
         std::tie(known.incarnation, known.latest_sequence);
}

bool is_same(const wire::rumour& rumour, const daemon_state& known) {
  return rumour.incarnation() == known.incarnation &&
         rumour.sequence() == known.latest_sequence;
}

wire::rumour make_rumour(const state& state, const std::string& id,
                         const daemon_state& daemon) {
  wire::rumour rumour;
  rumour.set_member(short_hash(id));
  rumour.set_incarnation(daemon.incarnation);
  rumour.set_sequence(daemon.latest_sequence);
  rumour.set_leaving(daemon.leaving);
  if (daemon.unresponsive_since) {
    milliseconds unresponsive = state.uptime - *daemon.unresponsive_since;
    rumour.set_silent_ms(std::max<std::uint32_t>(
        kMinSilentMs, static_cast<std::uint32_t>(unresponsive.count())));
  }
  return rumour;
}

void record_unresponsive(state& state, daemon_state& daemon,
                         const wire::rumour& rumour) {
  if (daemon.unresponsive_since) return;
  running_time since = state.uptime - milliseconds(rumour.silent_ms());
  daemon.unresponsive_since = std::max(since, state.resumed_at);
  queue_rumour(state, daemon);
}

// Adds the state of one daemon, each in turn, so that daemons that missed a
// rumour receive it later.
void add_anti_entropy_rumour(state& state, std::vector<wire::rumour>* rumours) {
  if (state.daemons.empty()) return;
  std::size_t index = state.next_anti_entropy++ % state.daemons.size();
  std::map<std::string, daemon_state>::iterator each = state.daemons.begin();
  std::advance(each, index);
  if (each->second.incarnation == 0) return;
  rumours->push_back(make_rumour(state, each->first, each->second));
}

}  // namespace

void queue_rumour(state& state, daemon_state& daemon) {
  daemon.rumour_repeats_left = kRumourRepeats;
  state.early_heartbeat_wanted = true;
}

void record_alive(state& state, daemon_state& daemon, std::uint64_t incarnation,
                  std::uint64_t sequence) {
  bool new_incarnation = incarnation > daemon.incarnation;
  if (new_incarnation) {
    daemon.incarnation = incarnation;
    daemon.last_direct_sequence = 0;
    daemon.leaving = false;
    daemon.alive_since.reset();
    daemon.raised_limit = milliseconds(0);
  }
  daemon.latest_sequence = sequence;
  daemon.last_seen = state.uptime;
  bool was_unresponsive = daemon.unresponsive_since.has_value();
  if (was_unresponsive || !daemon.alive_since) {
    daemon.unresponsive_since.reset();
    daemon.alive_since = state.uptime;
    queue_rumour(state, daemon);
  }
  if (was_unresponsive && !new_incarnation) {
    // The same incarnation is alive, so the judgement was wrong.
    milliseconds limit =
        std::max(daemon.raised_limit, state.settings.unresponsive_limit);
    daemon.raised_limit = std::min(2 * limit, kMaxRaisedLimit);
  }
}

void apply_rumour(state& state, const wire::rumour& rumour) {
  daemon_state* daemon = find_by_hash(state, rumour.member());
  if (daemon == nullptr) return;
  bool unresponsive = rumour.silent_ms() > 0;
  if (is_later(rumour, *daemon)) {
    record_alive(state, *daemon, rumour.incarnation(), rumour.sequence());
    if (unresponsive) record_unresponsive(state, *daemon, rumour);
  } else if (is_same(rumour, *daemon)) {
    if (unresponsive) record_unresponsive(state, *daemon, rumour);
  } else if (unresponsive != daemon->unresponsive_since.has_value()) {
    queue_rumour(state, *daemon);  // The sender's knowledge is outdated.
  }
  if (rumour.incarnation() == daemon->incarnation && rumour.leaving() &&
      !daemon->leaving) {
    daemon->leaving = true;
    queue_rumour(state, *daemon);
  }
}

std::vector<wire::rumour> take_rumours(state& state) {
  std::vector<wire::rumour> rumours;
  bool more = false;
  for (auto& [id, daemon] : state.daemons) {
    if (daemon.rumour_repeats_left == 0) continue;
    if (rumours.size() >= state.settings.max_rumours) {
      more = true;
      break;
    }
    --daemon.rumour_repeats_left;
    rumours.push_back(make_rumour(state, id, daemon));
  }
  state.early_heartbeat_wanted = more;
  if (rumours.empty()) add_anti_entropy_rumour(state, &rumours);
  return rumours;
}

}  // namespace ebonygrade::membership
