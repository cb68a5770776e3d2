#include <algorithm>
#include <tuple>

#include "membership/membership_pvt.h"
#include "membership/neighbours.h"

namespace ebonygrade::membership {

namespace {

constexpr std::uint32_t kTells = 3;  // Rounds in which a rumour is repeated.
constexpr std::uint32_t kMinSilentMs = 1;
constexpr milliseconds kMaxPatience{16000};

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
         std::tie(known.incarnation, known.sequence);
}

bool is_same(const wire::rumour& rumour, const daemon_state& known) {
  return rumour.incarnation() == known.incarnation &&
         rumour.sequence() == known.sequence;
}

wire::rumour make_rumour(const state& state, const std::string& id,
                         const daemon_state& daemon) {
  wire::rumour rumour;
  rumour.set_member(short_hash(id));
  rumour.set_incarnation(daemon.incarnation);
  rumour.set_sequence(daemon.sequence);
  rumour.set_leaving(daemon.leaving);
  if (daemon.silent_since) {
    milliseconds silence = state.running - *daemon.silent_since;
    rumour.set_silent_ms(std::max<std::uint32_t>(
        kMinSilentMs, static_cast<std::uint32_t>(silence.count())));
  }
  return rumour;
}

void hear_silence(state& state, daemon_state& daemon,
                  const wire::rumour& rumour) {
  if (daemon.silent_since) return;
  running_time since = state.running - milliseconds(rumour.silent_ms());
  daemon.silent_since = std::max(since, state.resumed_at);
  spread(state, daemon);
}

// The daemon whose rumour may be told as a reminder: each in its turn.
void add_reminder(state& state, std::vector<wire::rumour>* rumours) {
  if (state.daemons.empty()) return;
  std::size_t at = state.next_reminder++ % state.daemons.size();
  std::map<std::string, daemon_state>::iterator each = state.daemons.begin();
  std::advance(each, at);
  if (each->second.incarnation == 0) return;
  rumours->push_back(make_rumour(state, each->first, each->second));
}

}  // namespace

void spread(state& state, daemon_state& daemon) {
  daemon.tells_left = kTells;
  state.news = true;
}

void note_sign(state& state, daemon_state& daemon, std::uint64_t incarnation,
               std::uint64_t sequence) {
  bool is_new = incarnation > daemon.incarnation;
  if (is_new) {
    daemon.incarnation = incarnation;
    daemon.direct_sequence = 0;
    daemon.leaving = false;
    daemon.alive_since.reset();
    daemon.patience = milliseconds(0);
  }
  daemon.sequence = sequence;
  daemon.last_sign = state.running;
  bool was_silent = daemon.silent_since.has_value();
  if (was_silent || !daemon.alive_since) {
    daemon.silent_since.reset();
    daemon.alive_since = state.running;
    spread(state, daemon);
  }
  if (was_silent && !is_new) {
    milliseconds patience =
        std::max(daemon.patience, state.settings.silence_limit);
    daemon.patience = std::min(2 * patience, kMaxPatience);
  }
}

void apply_rumour(state& state, const wire::rumour& rumour) {
  daemon_state* daemon = find_by_hash(state, rumour.member());
  if (daemon == nullptr) return;
  bool silent = rumour.silent_ms() > 0;
  if (is_later(rumour, *daemon)) {
    note_sign(state, *daemon, rumour.incarnation(), rumour.sequence());
    if (silent) hear_silence(state, *daemon, rumour);
  } else if (is_same(rumour, *daemon)) {
    if (silent) hear_silence(state, *daemon, rumour);
  } else if (silent != daemon->silent_since.has_value()) {
    spread(state, *daemon);  // The sender is behind.
  }
  if (rumour.incarnation() == daemon->incarnation && rumour.leaving() &&
      !daemon->leaving) {
    daemon->leaving = true;
    spread(state, *daemon);
  }
}

std::vector<wire::rumour> take_rumours(state& state) {
  std::vector<wire::rumour> rumours;
  bool more = false;
  for (auto& [id, daemon] : state.daemons) {
    if (daemon.tells_left == 0) continue;
    if (rumours.size() >= state.settings.max_rumours) {
      more = true;
      break;
    }
    --daemon.tells_left;
    rumours.push_back(make_rumour(state, id, daemon));
  }
  state.news = more;
  if (rumours.empty()) add_reminder(state, &rumours);
  return rumours;
}

}  // namespace ebonygrade::membership
