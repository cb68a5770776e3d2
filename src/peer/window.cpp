#include "peer/window.h"

#include <algorithm>

namespace ebonygrade::peer {

namespace {

constexpr std::size_t kMaxMarks = 64;
constexpr std::uint64_t kMarksPerWindow = 4;

std::uint64_t window_bytes(const window_state& state,
                           const window_options& options) {
  return state.confirmed ? options.bytes : options.initial_bytes;
}

}  // namespace

bool can_send(const window_state& state, const window_options& options,
              std::uint64_t bytes) {
  std::uint64_t unacknowledged = state.sent - state.acknowledged;
  return unacknowledged == 0 ||
         unacknowledged + bytes <= window_bytes(state, options);
}

bool needs_mark(const window_state& state, const window_options& options) {
  std::uint64_t marked = state.acknowledged;
  if (!state.marks.empty()) marked = state.marks.back().sent_before;
  return state.sent - marked >= window_bytes(state, options) / kMarksPerWindow;
}

void count_sent(window_state& state, std::uint64_t bytes) {
  state.sent += bytes;
}

void record_mark(window_state& state, std::uint64_t sequence) {
  if (state.marks.size() >= kMaxMarks) state.marks.pop_front();
  state.marks.push_back({sequence, state.sent});
}

void record_mark_reply(window_state& state, std::uint64_t sequence) {
  state.confirmed = true;
  std::deque<window_state::mark>::iterator found = std::find_if(
      state.marks.begin(), state.marks.end(),
      [sequence](const auto& each) { return each.sequence == sequence; });
  if (found == state.marks.end()) return;
  state.acknowledged = found->sent_before;
  state.marks.erase(state.marks.begin(), found + 1);
}

}  // namespace ebonygrade::peer
