// Who owns the pool: claims, and what makes a daemon claim.
#include <algorithm>
#include <random>
#include <string>
#include <utility>

#include "events/events.h"
#include "poold/claim_delay.h"
#include "poold/node.h"

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kTickInterval{100};
// Submissions reach the owner directly, so it reads only what others had to
// write without it. Each read is a priced call to the store.
constexpr milliseconds kOwnerReadInterval{100};
// Without a record of the owner for so long, its place is free: several
// heartbeats, and more than an answer of a store that is slowed sixty times.
constexpr milliseconds kOwnerTimeout{1800};
// Sooner, if the owner is asked and doesn't confirm that it is there.
constexpr milliseconds kUnconfirmedOwnerTimeout{500};
// Spread of the daemons' claims, so that they seldom meet.
constexpr milliseconds kClaimSpread{150};
// Claims that lost the race for the end of the journal before one is sent
// without that condition.
constexpr int kMaxConditionalClaims = 2;
// A claim is given the time of an append's third attempt: its answer decides
// nothing, but a new claim in its place is one more to read.
constexpr std::uint32_t kClaimTimeoutDoublings = 2;
// Epochs that claims at one offset of the journal choose from.
constexpr std::uint64_t kEpochsPerOffset = 1000;
constexpr milliseconds kAnnounceInterval{1000};

}  // namespace

void node::arm_tick() {
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](boost::system::error_code failed) {
    if (failed) return;
    on_tick();
    arm_tick();
  });
}

void node::on_tick() {
  steady_time now = clock_.now();
  if (owner_ || draining_) return;
  if (owner_address_changed() || now - last_announcement_ >= kAnnounceInterval)
    announce(now);
  consider_claim(now);
}

void node::consider_claim(steady_time now) {
  if (owner_ || draining_ || claiming_) return;
  if (!manifest_ || !journal_->loaded()) return;
  const wire::ownership_record& last = table_.owner.record;
  bool nobody =
      last.epoch() == 0 || last.released() || last.daemon() == settings_.id;
  // Silence counts only while this daemon itself reads the journal.
  bool reads = now - journal_->current_as_of() < kOwnerTimeout;
  milliseconds silence =
      std::chrono::duration_cast<milliseconds>(now - last_owner_contact_);
  // A daemon that has just started has no reason to trust the record.
  bool doubtful = !owner_seen_writing_ || silence > kUnconfirmedOwnerTimeout;
  bool suspected = reads && doubtful && owner_unconfirmed_;
  bool silent = reads && silence > kOwnerTimeout;
  if (!nobody && !suspected && !silent) {
    claim_after_ = steady_time();
    lost_claims_ = 0;
    if (reads && doubtful) announce(now);
    return;
  }
  if (claim_after_ == steady_time()) {
    std::uniform_int_distribution<std::int64_t> spread(0, kClaimSpread.count());
    claim_after_ = now +
                   claim_delay(store_.min_round_trip(), settings_.cpu_share) +
                   milliseconds(spread(random_));
  }
  if (now < claim_after_) return;
  ownerless_ = nobody || suspected;
  // The claim must name the end of the journal, which moves with each accepted
  // job, so it follows upon a read at once.
  claim_after_read_ = true;
  journal_->read_now();
}

void node::claim() {
  claiming_ = true;
  std::uint64_t at = journal_->next();
  // Epochs rise with the journal. The store takes an append with the producer,
  // epoch and number of an earlier one for its repetition, so two daemons
  // that claim at the same offset need epochs of their own.
  std::uniform_int_distribution<std::uint64_t> choice(0, kEpochsPerOffset - 1);
  claimed_epoch_ = (at + 1) * kEpochsPerOffset + choice(random_);
  platform::append_request request;
  request.topic = platform::kJournalTopic;
  request.producer = {kOwnerProducer, claimed_epoch_, 0};
  // The condition keeps a claim that rests on an old copy of the journal from
  // replacing an owner that writes. Without an owner every daemon appends for
  // its callers, and on a slow store the end always moves first. The epoch
  // alone then decides; a claimant acts only once it has read up to its own
  // claim.
  bool contested = ownerless_ && lost_claims_ >= kMaxConditionalClaims;
  if (!contested) request.expected_end = at;
  wire::ownership_record record;
  record.set_daemon(settings_.id);
  record.set_epoch(claimed_epoch_);
  record.set_peer_address(settings_.peer_address);
  store_.append(request, {{jobs::kOwnerKey, record.SerializeAsString(), 0}},
                kClaimTimeoutDoublings, [this](append_result) {
                  // Whoever stands in the journal has won. If the end has
                  // moved meanwhile, the next read is followed by a new claim.
                  claiming_ = false;
                  ++lost_claims_;
                  journal_->read_now();
                });
}

void node::check_claim() {
  const wire::ownership_record& last = table_.owner.record;
  if (owner_ || draining_ || claimed_epoch_ == 0) return;
  if (last.daemon() != settings_.id || last.epoch() != claimed_epoch_) return;
  claimed_epoch_ = 0;
  if (last.released()) return;
  events::emit(events::id::claim_won, "claim", "", "epoch={} offset={}",
               last.epoch(), table_.owner.offset);
  become_owner(last.epoch());
}

void node::become_owner(std::uint64_t epoch) {
  lost_claims_ = 0;
  owner_ = std::make_shared<owner>(
      context_, store_, clock_, settings_, measurements_, epoch,
      [this] { step_down(); },
      [this](const jobs::record& record) { apply_record(record); });
  owner_->start(table_, *manifest_);
  for (const std::pair<const std::uint64_t, pool::maintenance_wave>& each :
       waves_) {
    owner_->on_wave(each.second, table_);
  }
  journal_->set_read_interval(kOwnerReadInterval);
  journal_->read_now();
}

void node::step_down() {
  if (!owner_) return;
  events::emit(events::id::pool_deposed, "resign", "", "epoch={}",
               owner_->epoch());
  owner_->stop();
  owner_.reset();
  last_owner_contact_ = clock_.now();
  journal_->set_read_interval(kFollowerReadInterval);
}

}  // namespace ebonygrade::poold
