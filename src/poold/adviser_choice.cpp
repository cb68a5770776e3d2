#include "poold/adviser_choice.h"

#include <algorithm>

namespace ebonygrade::poold {

namespace {

// A question goes to a daemon whose earlier one is about to be answered, so
// that the service doesn't stand idle for the way there and back.
constexpr milliseconds kNearlyFree{20};
constexpr std::size_t kMaxOpen = 3;
// Questions that take longer may not occupy every daemon.
constexpr milliseconds kLongQuestion{40};
// Of the daemons, one in so many takes no long questions.
constexpr std::size_t kKeptFreeOneIn = 4;
// Weight of the newest answer in the smoothed overhead, one part in so many.
constexpr int kSmoothing = 4;

}  // namespace

bool is_long_question(milliseconds expected) {
  return expected > kLongQuestion;
}

adviser_choice choose_adviser(const std::vector<adviser_load>& advisers,
                              milliseconds expected, steady_time now) {
  adviser_choice best;
  steady_time best_answer;
  std::size_t available = 0;
  std::size_t with_long = 0;
  for (std::size_t i = 0; i < advisers.size(); ++i) {
    const adviser_load& each = advisers[i];
    if (!each.available) continue;
    ++available;
    if (each.open_long > 0) ++with_long;
    if (each.open >= kMaxOpen) continue;
    steady_time free_at = each.open == 0 ? now : each.free_at;
    if (free_at > now + kNearlyFree) continue;
    steady_time answer = std::max(free_at, now) + each.overhead;
    if (best.found && answer >= best_answer) continue;
    best = {true, i};
    best_answer = answer;
  }
  std::size_t kept_free = available < 2 ? 0 : available / kKeptFreeOneIn + 1;
  bool too_many = with_long + kept_free >= available;
  if (is_long_question(expected) && too_many) return {};
  return best;
}

void note_question(adviser_load* adviser, milliseconds expected,
                   steady_time now) {
  if (adviser->open == 0) adviser->free_at = now;
  adviser->free_at = std::max(adviser->free_at, now) + expected;
  ++adviser->open;
  if (is_long_question(expected)) ++adviser->open_long;
}

void note_answer(adviser_load* adviser, milliseconds expected, steady_time due,
                 steady_time now) {
  --adviser->open;
  if (is_long_question(expected)) --adviser->open_long;
  milliseconds late = std::max(
      milliseconds(0), std::chrono::duration_cast<milliseconds>(now - due));
  adviser->overhead += (late - adviser->overhead) / kSmoothing;
}

}  // namespace ebonygrade::poold
