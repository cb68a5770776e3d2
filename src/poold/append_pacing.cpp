#include "poold/append_pacing.h"

#include <algorithm>
#include <cstdint>

namespace ebonygrade::poold {

namespace {

// Weight of the newest sample in the smoothed append time is 1/divisor.
constexpr int kSmoothingDivisor = 4;
constexpr milliseconds kMinRepeatDelay{150};
// A repetition comes this many times the smoothed append time after the first
// attempt, up to a limit above which the longest recent time decides.
constexpr int kRepeatFactor = 5;
constexpr milliseconds kMaxFactorDelay{400};
constexpr milliseconds kMaxRepeatDelay{2000};
// An append to a store that is slowed down by a factor of 110 takes 660 ms.
constexpr milliseconds kMinSilence{700};
constexpr milliseconds kMaxSilence{1500};
// Twice the delay before the first repetition.
constexpr milliseconds kLossLimit{300};
// The store is slowed down by less than a factor of 15.
constexpr milliseconds kOnTimeDelay{60};
// Half of the callers' time limit of 3 s.
constexpr milliseconds kMaxPrediction{1500};
// The callers' time limit without the way to the owner and back.
constexpr milliseconds kMaxWait{2500};
constexpr std::chrono::seconds kMinRetryAfter{1};
constexpr std::chrono::seconds kMaxRetryAfter{5};
// Three heartbeats of the owner.
constexpr milliseconds kJournalTimeout{600};
// Other daemons claim 1.8 s after an append of a healthy store.
constexpr milliseconds kMaxAppendAge{1500};
// Without a reply to an append for this long, although the store replies to
// other calls. Covers three lost replies at the pace of a healthy store.
constexpr milliseconds kMaxReplyAge{1300};
// Covers two lost replies at the pace of a slow store.
constexpr int kSlowAppendFactor = 4;
constexpr milliseconds kMaxSlowAppendAge{5000};
constexpr milliseconds kOwnerTimeout{1800};
constexpr milliseconds kConfirmedOwnerTimeout{5000};
// Reads that are this late are those of a healthy store.
constexpr milliseconds kUsualReadDelay{100};
// An append of the owner takes the time of a reply and a half, and the read
// that shows it one more.
constexpr int kReadDelayFactor = 3;
constexpr milliseconds kMaxPatience{2500};
constexpr milliseconds kMinClaimTimeout{600};
constexpr milliseconds kMaxClaimTimeout{3000};
constexpr milliseconds kMinReadGap{900};

milliseconds longest_recent(const append_pace& pace) {
  return *std::max_element(pace.recent.begin(), pace.recent.end());
}

milliseconds since(steady_time then, steady_time now) {
  return std::chrono::duration_cast<milliseconds>(now - then);
}

milliseconds silence_limit(const append_pace& pace) {
  return std::clamp(expected_time(pace) * 2, kMinSilence, kMaxSilence);
}

// Age at which a reply to the attempt is no longer expected; it may still come.
// It rises with each attempt, as the store may be slower than ever before.
milliseconds overdue_after(const append_pace& pace, std::size_t attempt,
                           bool lost) {
  milliseconds limit = lost ? kLossLimit : silence_limit(pace);
  return std::min<milliseconds>(
      limit + limit * static_cast<std::int64_t>(attempt) / 2, kAttemptTimeout);
}

// Whether the store has replied on time since the reply to the attempt was due.
bool is_lost(const append_pace& pace, steady_time sent) {
  return pace.on_time > sent + expected_time(pace) + kOnTimeDelay;
}

// A standby's patience beyond its time limits.
milliseconds patience(milliseconds read_delay) {
  if (read_delay <= kUsualReadDelay) return milliseconds(0);
  return std::min(read_delay * kReadDelayFactor, kMaxPatience);
}

}  // namespace

void observe_append(milliseconds taken, append_pace* pace) {
  pace->recent[pace->next] = taken;
  pace->next = (pace->next + 1) % append_pace::kSamples;
  pace->smoothed += (taken - pace->smoothed) / kSmoothingDivisor;
}

milliseconds expected_time(const append_pace& pace) {
  std::size_t last =
      (pace.next + append_pace::kSamples - 1) % append_pace::kSamples;
  std::size_t before =
      (last + append_pace::kSamples - 1) % append_pace::kSamples;
  return std::max(pace.recent[last], pace.recent[before]);
}

milliseconds repeat_delay(const append_pace& pace) {
  milliseconds by_average = std::clamp(pace.smoothed * kRepeatFactor,
                                       kMinRepeatDelay, kMaxFactorDelay);
  milliseconds by_longest = longest_recent(pace) * 13 / 10;
  return std::min(std::max(by_average, by_longest), kMaxRepeatDelay);
}

steady_time next_attempt_at(const append_pace& pace,
                            const std::vector<steady_time>& attempts) {
  steady_time at = attempts.back() + repeat_delay(pace);
  if (attempts.size() < 2) return at;
  // All but the last must be overdue.
  for (std::size_t i = 0; i + 1 < attempts.size(); ++i) {
    at = std::max(
        at, attempts[i] + overdue_after(pace, i, is_lost(pace, attempts[i])));
  }
  return at;
}

milliseconds predict_acknowledgement(const append_pace& pace,
                                     const std::vector<steady_time>& attempts,
                                     steady_time now) {
  milliseconds expected = expected_time(pace);
  if (attempts.empty()) return expected;
  for (steady_time sent : attempts) {
    if (sent + expected > now) return since(now, sent + expected) + expected;
  }
  milliseconds age = since(attempts.front(), now);
  milliseconds by_repetition =
      since(now, next_attempt_at(pace, attempts)) + expected;
  by_repetition = std::max(by_repetition, expected);
  if (is_lost(pace, attempts.front())) return by_repetition + expected;
  return std::max(age - expected, by_repetition) + std::max(age, expected);
}

bool is_in_time(milliseconds waited, milliseconds predicted) {
  if (waited == milliseconds(0)) return predicted < kMaxPrediction;
  return waited + predicted < kMaxWait;
}

std::chrono::seconds retry_after(milliseconds predicted) {
  return std::clamp(
      std::chrono::ceil<std::chrono::seconds>(predicted - kMaxPrediction),
      kMinRetryAfter, kMaxRetryAfter);
}

store_state judge_store(const append_pace& pace, const store_contact& contact,
                        steady_time now) {
  steady_time last = std::max(contact.append_begun, contact.last_reply);
  if (since(last, now) >= silence_limit(pace)) return store_state::silent;
  milliseconds age = since(contact.append_begun, now);
  bool slow = std::max(age, expected_time(pace)) > repeat_delay(append_pace());
  return slow ? store_state::slow : store_state::normal;
}

bool confirms_journal(const append_pace& pace, const owner_appends& appends,
                      steady_time now) {
  milliseconds reply_age = since(appends.replied, now);
  milliseconds append_age = since(appends.written, now);
  if (reply_age < kJournalTimeout && append_age < kMaxAppendAge) return true;
  if (!appends.waiting || appends.store == store_state::silent) return false;
  reply_age = since(std::max(appends.replied, appends.begun), now);
  milliseconds slow = longest_recent(pace) * kSlowAppendFactor;
  return reply_age < std::clamp(slow, kMaxReplyAge, kMaxSlowAppendAge) &&
         append_age < std::clamp(slow, kMaxAppendAge, kMaxSlowAppendAge);
}

bool is_on_time(milliseconds wait, milliseconds taken) {
  if (taken >= wait) return taken - wait <= kOnTimeDelay;
  return taken <= kOnTimeDelay;
}

void observe_read(milliseconds wait, milliseconds taken, milliseconds* delay) {
  // A reply within the wait had records; its delay is at most `taken`.
  *delay = taken >= wait ? taken - wait : std::min(*delay, taken);
}

bool is_unconfirmed(const owner_silence& silence) {
  if (!silence.unconfirmed) return false;
  milliseconds limit = kUnconfirmedOwnerTimeout;
  if (silence.replies) limit += patience(silence.read_delay);
  return silence.contact_age > limit;
}

bool uses_owner(const owner_silence& silence) {
  if (!silence.unconfirmed) return true;
  return silence.replies && silence.read_delay > kUsualReadDelay;
}

bool is_timed_out(const owner_silence& silence) {
  return silence.contact_age >
         (silence.confirmed ? kConfirmedOwnerTimeout : kOwnerTimeout);
}

milliseconds claim_timeout(milliseconds read_delay) {
  return std::min(kMinClaimTimeout + patience(read_delay), kMaxClaimTimeout);
}

milliseconds max_read_gap(milliseconds read_delay) {
  return kMinReadGap + patience(read_delay);
}

}  // namespace ebonygrade::poold
