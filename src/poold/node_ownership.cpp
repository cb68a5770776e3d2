// Ownership of the pool: when a daemon claims, and what the claim leads to.
#include <algorithm>
#include <random>
#include <string>
#include <utility>

#include "events/events.h"
#include "poold/node.h"

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kTickInterval{100};
// Callers' records reach the owner directly, so the journal only brings it the
// records that other daemons wrote themselves. Each read is a billed call to
// the store.
constexpr milliseconds kOwnerReadInterval{100};
// Other daemons claim after this long without a record of the owner. Covers
// several heartbeats and an append to a store slowed down by a factor of 60.
constexpr milliseconds kOwnerTimeout{1800};
// A reply of the owner that is older doesn't count as current.
constexpr milliseconds kOwnerReplyAge{1500};
// After this many claims lost the race for the end of the journal, the next one
// omits the condition on the journal's end.
constexpr int kMaxConditionalClaims = 2;
// Number of epochs from which claims at one journal offset choose at random.
constexpr std::uint64_t kEpochsPerOffset = 1000;
constexpr milliseconds kAnnounceInterval{1000};
// Of a call to a store that hasn't answered yet.
constexpr milliseconds kMaxRoundTrip{100};

}  // namespace

void node::arm_tick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](boost::system::error_code failed) {
    if (failed) return;
    on_tick();
    arm_tick();
  });
}

void node::watch_clocks() {
  clock_reading earlier = std::exchange(last_tick_, read_clocks(clock_));
  clock_gap gap = compare(earlier, last_tick_, kTickInterval);
  // What else ran late since the pause may have taken the ownership already.
  std::uint64_t epoch =
      std::exchange(last_tick_epoch_, owner_ ? owner_->epoch() : 0);
  if (gap.paused > milliseconds(0)) {
    ++pauses_;
    suspended_ += gap.suspended;
    events::emit(events::id::daemon_paused, "tick", "",
                 "paused_ms={} suspended_ms={} epoch={}", gap.paused.count(),
                 gap.suspended.count(), epoch);
  }
  if (gap.step != milliseconds(0)) {
    ++time_of_day_steps_;
    events::emit(events::id::time_of_day_stepped, "tick", "",
                 "step_ms={} epoch={}", gap.step.count(), epoch);
  }
}

void node::on_tick() {
  watch_clocks();
  steady_time now = clock_.now();
  watch_pace(now);
  watch_owner_writes(now);
  send_untold(now);
  if (owner_) return consider_handover(now);
  // A draining daemon still passes open calls to the owner.
  if (draining_) return connect_owner();
  if (owner_moved() || now - announced_at_ >= kAnnounceInterval) announce(now);
  consider_standby(now);
  consider_claim(now);
}

owner_silence node::silence_of_owner(steady_time now) const {
  owner_silence silence;
  silence.read_delay = store_.read_delay();
  for (const topic_follower* each :
       {journal_.get(), operator_.get(), directory_.get()}) {
    if (each == nullptr) continue;
    silence.read_delay = std::max(silence.read_delay, each->overdue(now));
  }
  silence.unconfirmed = owner_unconfirmed_;
  silence.replies = now - owner_replied_at_ < kOwnerReplyAge;
  silence.confirmed =
      !owner_unconfirmed_ && now - owner_confirmed_at_ < kOwnerReplyAge;
  return silence;
}

void node::watch_owner_writes(steady_time now) {
  owner_writes_.expire(now);
  if (owner_ || owner_writes_.oldest(now) < kOwnerCheckAge) return;
  if (now - announced_at_ >= kOwnerCheckAge) announce(now);
}

void node::consider_claim(steady_time now) {
  if (owner_ || draining_ || claiming_) return;
  if (!manifest_ || !has_journal()) return;
  // check_claim() takes over after the next read.
  if (has_claim() && !has_read_to_owner()) return;
  const wire::ownership_record& last = table_.owner.record;
  bool unowned =
      last.epoch() == 0 || last.released() || last.daemon() == settings_.id;
  // The owner can time out only while this daemon's own journal reads succeed.
  bool reading = now - journal_->current_as_of() < kOwnerTimeout;
  milliseconds contact_age =
      std::chrono::duration_cast<milliseconds>(now - last_owner_contact_);
  // A newly started daemon doesn't know how old the ownership record is.
  bool unverified =
      !owner_seen_writing_ || contact_age > kUnconfirmedOwnerTimeout;
  owner_silence silence = silence_of_owner(now);
  silence.contact_age = owner_seen_writing_ ? contact_age : kOwnerTimeout;
  bool unconfirmed = reading && unverified && is_unconfirmed(silence);
  silence.contact_age = contact_age;
  bool timed_out = reading && is_timed_out(silence);
  if (!unowned && !unconfirmed && !timed_out) {
    claim_after_ = steady_time();
    lost_claims_ = 0;
    if (reading && unverified) announce(now);
    return;
  }
  if (claim_after_ == steady_time()) {
    claim_after_ = now + claim_wait(now);
  }
  if (now < claim_after_) return;
  ownerless_ = unowned || unconfirmed;
  // The claim is conditional on the end of the journal, which moves with each
  // accepted job, so it is sent right after a read.
  claim_after_read_ = true;
  // Without an owner few records arrive, and a read waits for the next one.
  // Once only: if the claim is lost, the read may hang on a dead connection,
  // and the copy may lack the claim of another owner.
  milliseconds round_trip = store_.min_round_trip().value_or(kMaxRoundTrip);
  if (unowned && lost_claims_ == 0 &&
      journal_->is_waiting(now - 2 * round_trip)) {
    return send_claim();
  }
  journal_->read_now();
}

void node::send_claim() {
  claiming_ = true;
  claim_sent_ = clock_.now();
  claimed_after_release_ = table_.owner.record.released();
  std::uint64_t offset = journal_->next();
  // Epochs increase with the journal's offset. The store treats an append with
  // the producer, epoch and sequence number of an earlier append as its retry,
  // so two daemons that claim at the same offset need different epochs.
  std::uniform_int_distribution<std::uint64_t> choice(0, kEpochsPerOffset - 1);
  claimed_epoch_ = (offset + 1) * kEpochsPerOffset + choice(random_);
  platform::append_request request;
  request.topic = platform::kJournalTopic;
  request.producer = {kOwnerProducer, claimed_epoch_, 0};
  // The condition keeps a claim based on an outdated copy of the journal from
  // superseding a live owner. Without an owner every daemon appends for its
  // callers, and on a slow store the end of the journal always moves before the
  // claim arrives. The epoch alone then decides the winner; a claimant takes
  // over only after reading up to its own claim.
  bool unconditional = ownerless_ && lost_claims_ >= kMaxConditionalClaims;
  if (!unconditional) request.expected_end = offset;
  wire::ownership_record record;
  record.set_daemon(settings_.id);
  record.set_epoch(claimed_epoch_);
  record.set_peer_address(settings_.peer_address);
  store_.append(request, {{jobs::kOwnerKey, record.SerializeAsString(), 0}},
                {0, claim_timeout(silence_of_owner(claim_sent_).read_delay)},
                [this](append_result) {
                  // The journal decides whose claim wins. If the end has moved
                  // in the meantime, a new claim follows the next read.
                  claiming_ = false;
                  if (!owner_) ++lost_claims_;
                  if (journal_) journal_->read_now();
                });
}

bool node::has_claim() const {
  const wire::ownership_record& last = table_.owner.record;
  return claimed_epoch_ != 0 && last.daemon() == settings_.id &&
         last.epoch() == claimed_epoch_;
}

void node::check_claim() {
  const wire::ownership_record& last = table_.owner.record;
  if (owner_ || draining_ || !has_claim() || !has_read_to_owner()) return;
  claimed_epoch_ = 0;
  if (last.released()) return;
  events::emit(events::id::claim_won, "claim", "", "epoch={} offset={}",
               last.epoch(), table_.owner.offset);
  take_over(last.epoch());
}

void node::take_over(std::uint64_t epoch) {
  lost_claims_ = 0;
  owned_since_ = clock_.now();
  owner_ = std::make_shared<owner>(
      context_, store_, clock_, settings_, measurements_, epoch,
      [this] { step_down(); },
      [this](const jobs::record& record) { apply_record(record); },
      // The owner has applied its records when they are written.
      [this](std::uint64_t from, std::uint64_t to, steady_time sent) {
        journal_->skip(from, to, sent);
        if (owner_) owner_->on_journal_read(journal_->current_as_of());
      });
  owner_->start(table_, *manifest_, claim_sent_);
  for (const std::pair<const std::uint64_t, pool::maintenance_wave>& each :
       waves_) {
    owner_->on_wave(each.second, table_);
  }
  journal_->set_read_interval(kOwnerReadInterval);
  journal_->read_now();
  write_directory(epoch);
}

void node::step_down() {
  if (!owner_) return;
  events::emit(events::id::pool_deposed, "resign", "", "epoch={}",
               owner_->epoch());
  owner_->stop();
  owner_.reset();
  directory_writer_->stop();
  last_owner_contact_ = clock_.now();
  journal_->set_read_interval(kFollowerReadInterval);
}

}  // namespace ebonygrade::poold
