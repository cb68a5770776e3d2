// Decisions about appends to a store that may be slow, lose replies or be
// silent: when to send an append again, when its caller can expect the
// acknowledgement, and how long others wait for an owner that waits for it.
//
// All functions are pure. The store applies the appends of a partition one
// after the other, so each repetition delays the appends after it, and an
// attempt that nobody waits for any more still takes its time there.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <vector>

#include "clock/clock.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

// The reply to an attempt counts for this long. Longer than an append to a
// store that is slowed down by a factor of 100 behind 2 s of waiting work, the
// most that the store accepts.
inline constexpr milliseconds kAttemptTimeout{5000};

// Round trips of recent appends. Replies that arrive after a repetition was
// sent are included; each is measured from the attempt that it answers.
struct append_pace {
  static constexpr std::size_t kSamples = 8;
  std::array<milliseconds, kSamples> recent{};
  std::size_t next = 0;  // Position of the next sample in `recent`.
  milliseconds smoothed{20};
  // Last reply to a read that came when it was due. An attempt that should have
  // been answered before has lost its reply.
  steady_time on_time{};
};

void observe_append(milliseconds taken, append_pace* pace);

// Round trip that the next append should take: the longer of the last two.
milliseconds expected_time(const append_pace& pace);

// Age at which an append without a reply is sent a second time. At least 150
// ms: five times an append to a healthy store.
milliseconds repeat_delay(const append_pace& pace);

// When the append may be sent again. `attempts` holds the send times of the
// attempts that may still be answered, in order; not empty. At most two of them
// are within the time in which a reply is expected: 700 ms, or 300 ms if the
// store has replied on time since. That time rises with each attempt, so that a
// silent store gets seven in 5 s.
steady_time next_attempt_at(const append_pace& pace,
                            const std::vector<steady_time>& attempts);

// Time until a record that arrives now is acknowledged: what is left of the
// append in flight, if `attempts` isn't empty, and one append. An append that
// takes longer than expected is taken to need as long again.
milliseconds predict_acknowledgement(const append_pace& pace,
                                     const std::vector<steady_time>& attempts,
                                     steady_time now);

// Whether a record can be acknowledged within a caller's time limit of 3 s if
// it has waited for `waited` and the prediction is `predicted`. For a new
// record half of the limit is left for a repetition.
bool is_in_time(milliseconds waited, milliseconds predicted);

// How long refused callers should wait: until the prediction allows new
// records again. Between 1 and 5 s.
std::chrono::seconds retry_after(milliseconds predicted);

// The last contact with the store while an append is in flight.
struct store_contact {
  steady_time append_begun;  // First attempt of the append in flight.
  steady_time last_reply;    // To any call; rejections don't count.
};

enum class store_state {
  normal,
  slow,    // Replies arrive, but the append takes longer than expected.
  silent,  // No reply of any kind since the append was sent.
};

store_state judge_store(const append_pace& pace, const store_contact& contact,
                        steady_time now);

// What an owner knows of its appends.
struct owner_appends {
  steady_time begun;     // First attempt of the append in flight, if any.
  steady_time replied;   // Time of the last reply to a written append.
  steady_time written;   // When that append was first sent.
  bool waiting = false;  // An append is in flight and wasn't rejected.
  store_state store = store_state::normal;
};

// Whether the owner may confirm that its records reach the journal. While the
// store is slow the limits follow the time of an append, up to 5 s. They don't
// concern leases, which end by `written` alone.
bool confirms_journal(const append_pace& pace, const owner_appends& appends,
                      steady_time now);

// Whether a reply to a long poll, `taken` after it was sent, came when it was
// due. A reply within `wait` is due when a record arrives, which isn't known.
bool is_on_time(milliseconds wait, milliseconds taken);

// Updates `delay`, by which the store's replies to this daemon's long polls are
// late. `wait` is the wait asked for, `taken` the time of the reply.
void observe_read(milliseconds wait, milliseconds taken, milliseconds* delay);

// A standby's knowledge of an owner whose records it doesn't see.
struct owner_silence {
  milliseconds contact_age;  // Since the standby read a record of the owner.
  milliseconds read_delay;   // See observe_read().
  bool unconfirmed = false;  // The owner's last reply is missing or negative.
  bool replies = false;      // The owner replied lately, also negatively.
  bool confirmed = false;    // The owner confirmed its ownership lately.
};

// Time without a record of the owner after which a standby asks the owner.
inline constexpr milliseconds kUnconfirmedOwnerTimeout{500};

// Whether a standby whose own reads succeed claims the pool, as the owner
// doesn't confirm its ownership. An owner that replies gets more time from a
// standby whose own reads are late.
bool is_unconfirmed(const owner_silence& silence);

// Whether a daemon passes its callers' writes to the owner and doesn't append
// them itself. While the store is slow for this daemon, too, an owner that
// replies may only seem cut off, and appends beside it would slow the store.
bool uses_owner(const owner_silence& silence);

// Whether the standby claims in any case: after 1.8 s, or 5 s if the owner goes
// on confirming that it waits for a slow append.
bool is_timed_out(const owner_silence& silence);

// Time limit for the reply to a claim. The reply doesn't decide who wins, but a
// needless further claim is one more append.
milliseconds claim_timeout(milliseconds read_delay);

// A longer gap between two reads of the journal than this means that the
// standby could not see the owner's records.
milliseconds max_read_gap(milliseconds read_delay);

}  // namespace ebonygrade::poold
