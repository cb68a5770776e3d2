// Handover of the pool by an owner on a slow machine, or with outdated copies
// of the store's records. docs/design/slow-owner.md
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "events/events.h"
#include "poold/node.h"
#include "poold/peer_paths.h"

namespace ebonygrade::poold {

namespace {

// Random spread of the daemons' claims, to avoid simultaneous claims.
constexpr milliseconds kClaimSpread{150};
// The notice only saves the successor's next read of the journal.
constexpr milliseconds kNoticeTimeout{500};
// Longer than a round trip between regions to a busy daemon. A standby that is
// cut off announced itself up to 1.5 s ago, and a pool that is released for it
// has no owner for seconds.
constexpr milliseconds kConfirmTimeout{300};
// The same if the standby reads the store before it confirms: two round trips
// to the store more.
constexpr milliseconds kCheckTimeout{700};
// Limits the rate of log lines.
constexpr milliseconds kNoSuccessorLogInterval{5000};
// A standby that didn't confirm isn't asked again for this long.
constexpr milliseconds kDeclinedPeriod{1000};
// A standby with an older copy may be unable to reach the store. Covers a long
// poll and the interval between two reads.
constexpr milliseconds kMaxCopyAge{900};

}  // namespace

void node::watch_pace(steady_time now) {
  observe_computation(&pace_,
                      pace_probe_ ? pace_probe_() : time_computation(clock_));
  observe_rounds(&pace_, owner_ ? owner_->round_time() : work_time{}, now);
  double slowdown = slowdown_of(pace_, settings_.cpu_share, now);
  if (!observe_slowdown(&machine_, slowdown, now)) return;
  events::emit(events::id::machine_slow, "tick", "",
               "slow={} slowdown={:.1f} owner={}", machine_.slow ? 1 : 0,
               slowdown, owner_ ? 1 : 0);
}

void node::consider_handover(steady_time now) {
  bool wanted = machine_.slow_since != steady_time() ||
                owner_->outdated_since() != steady_time();
  if (!wanted || draining_ || asking_successor_ || owner_->is_releasing()) {
    return;
  }
  std::erase_if(declined_,
                [now](const std::pair<const std::string, steady_time>& each) {
                  return now - each.second >= kDeclinedPeriod;
                });
  std::vector<announced_daemon> daemons = owner_->daemons().announced();
  std::erase_if(daemons, [this](const announced_daemon& each) {
    return declined_.count(each.daemon.id) > 0;
  });
  handover_input input{
      owned_since_,
      owner_->journal_reachable(),
      settings_.zone,
      settings_.region,
      std::move(daemons),
      owner_->outdated_since(),
      max_outdated_time(settings_.cancel_time, settings_.drain_time),
      claimed_after_release_};
  std::optional<handover_cause> cause = handover_due(machine_, input, now);
  if (!cause) return;
  std::optional<daemon_info> successor = choose_successor(machine_, input, now);
  if (successor) return ask_successor(*successor, *cause, now);
  if (*cause == handover_cause::outdated) report_no_successor(now);
}

std::string node::describe_copies(steady_time now) const {
  milliseconds outdated =
      std::chrono::duration_cast<milliseconds>(now - owner_->outdated_since());
  return "epoch=" + std::to_string(owner_->epoch()) +
         " outdated_ms=" + std::to_string(outdated.count()) +
         " journal_age_ms=" +
         std::to_string(pool::journal_age(owner_->state(), now).count()) +
         " directory_age_ms=" +
         std::to_string(pool::directory_age(owner_->state(), now).count());
}

void node::report_no_successor(steady_time now) {
  if (now - no_successor_logged_ < kNoSuccessorLogInterval) return;
  no_successor_logged_ = now;
  events::emit(events::id::no_current_standby, "hand over", "",
               "{} declined={}", describe_copies(now), declined_.size());
}

void node::ask_successor(const daemon_info& successor, handover_cause cause,
                         steady_time now) {
  asking_successor_ = true;
  bool check_directory = cause == handover_cause::outdated;
  wire::ownership_record question;
  question.set_daemon(settings_.id);
  question.set_epoch(owner_->epoch());
  question.set_peer_address(settings_.peer_address);
  http::request request{http::verb::post, kHandoverPath, http::kHttpVersion11};
  request.body() = question.SerializeAsString();
  if (check_directory) request.set(kCheckDirectoryHeader, "1");
  request.prepare_payload();
  successor_link_ = std::make_unique<http::client>(
      context_, successor.peer_address, http::client_options());
  successor_link_->call(
      "ask successor", std::move(request),
      check_directory ? kCheckTimeout : kConfirmTimeout,
      [this, successor, cause, now, epoch = owner_->epoch(),
       outdated_since = owner_->outdated_since()](http::call_result&& result) {
        asking_successor_ = false;
        if (!owner_ || owner_->epoch() != epoch || draining_) return;
        if (result.has_error() || result->result() != http::status::ok) {
          declined_[successor.id] = now;
          ++declined_handovers_;
          return;
        }
        bool still = cause == handover_cause::slow
                         ? machine_.slow_since != steady_time()
                         : owner_->outdated_since() == outdated_since;
        if (still && !owner_->is_releasing()) {
          hand_over(successor, cause, clock_.now());
        }
      });
}

void node::hand_over(const daemon_info& successor, handover_cause cause,
                     steady_time now) {
  record_handover(&machine_, cause, now);
  std::int64_t owned_ms =
      std::chrono::duration_cast<milliseconds>(now - owned_since_).count();
  if (cause == handover_cause::slow) {
    events::emit(
        events::id::pool_handed_over, "hand over", successor.id,
        "epoch={} slowdown={:.1f} successor_slowdown={:.1f} owned_ms={}",
        owner_->epoch(), machine_.slowdown, successor.slowdown, owned_ms);
  } else {
    events::emit(events::id::outdated_pool_handed_over, "hand over",
                 successor.id, "{} owned_ms={}", describe_copies(now),
                 owned_ms);
  }
  owner_->release([this, successor] {
    std::uint64_t epoch = owner_->epoch();
    owner_.reset();
    directory_writer_->stop();
    last_owner_contact_ = clock_.now();
    // Of the claim that made this daemon the owner.
    claim_after_ = {};
    claim_after_read_ = false;
    // The link to an owner before this one is of no use to callers.
    owner_unconfirmed_ = true;
    journal_->set_read_interval(kFollowerReadInterval);
    notify_successor(successor, epoch);
  });
}

void node::notify_successor(const daemon_info& successor, std::uint64_t epoch) {
  wire::ownership_record record;
  record.set_daemon(settings_.id);
  record.set_epoch(epoch);
  record.set_peer_address(settings_.peer_address);
  record.set_released(true);
  http::request request{http::verb::post, kHandoverPath, http::kHttpVersion11};
  request.body() = record.SerializeAsString();
  request.prepare_payload();
  successor_link_ = std::make_unique<http::client>(
      context_, successor.peer_address, http::client_options());
  // Without the notice the standbys claim as after any release.
  successor_link_->call("hand over", std::move(request), kNoticeTimeout,
                        [](http::call_result&&) {});
}

bool node::can_succeed(steady_time now) const {
  return !owner_ && !draining_ && has_journal() &&
         journal_age() < kMaxCopyAge && machine_.slowdown < kFitRatio &&
         !holds_back(machine_, now);
}

void node::handle_handover(const http::request& request,
                           const http::responder& respond) {
  wire::ownership_record offer;
  if (!offer.ParseFromString(request.body())) {
    return respond(
        http::error_response(http::status::bad_request, "no release"));
  }
  steady_time now = clock_.now();
  if (!can_succeed(now) || offer.epoch() < table_.owner.record.epoch()) {
    return respond(http::error_response(http::status::conflict,
                                        "this daemon can't claim the pool"));
  }
  bool check_directory =
      !offer.released() && request.find(kCheckDirectoryHeader) != request.end();
  if (check_directory) return confirm_directory(respond);
  respond(http::text_response(http::status::ok, "text/plain", ""));
  if (!offer.released()) return;
  offered_epoch_ = offer.epoch();
  // The journal decides: the claim follows once the release has been read.
  if (!is_offered()) return journal_->read_now();
  claim_after_ = now;
  consider_claim(now);
}

void node::confirm_directory(const http::responder& respond) {
  std::function<void(bool)> answer = [this, respond](bool confirmed) {
    checking_directory_ = false;
    if (confirmed && can_succeed(clock_.now())) {
      return respond(http::text_response(http::status::ok, "text/plain", ""));
    }
    respond(http::error_response(http::status::conflict,
                                 "this daemon can't read the directory"));
  };
  // Reads that hang would add up.
  if (checking_directory_) {
    return respond(
        http::error_response(http::status::conflict, "a check is under way"));
  }
  checking_directory_ = true;
  // As an owner does: a page, and a read at the end.
  store_.newest(platform::kDiscoveryTopic, "", 0,
                [this, answer](error::result<platform::newest_reply> page) {
                  if (page.has_error()) return answer(false);
                  store_.read(
                      platform::kDiscoveryTopic, page->end, milliseconds(0), 0,
                      [answer](error::result<platform::read_reply> reply,
                               steady_time) { answer(reply.has_value()); });
                });
}

bool node::is_offered() const {
  const wire::ownership_record& last = table_.owner.record;
  return last.released() && last.epoch() == offered_epoch_;
}

milliseconds node::claim_wait(steady_time now) {
  if (is_offered()) return milliseconds(0);
  std::uniform_int_distribution<std::int64_t> spread(0, kClaimSpread.count());
  return claim_delay_of(machine_, store_.min_round_trip(), settings_.cpu_share,
                        now) +
         milliseconds(spread(random_));
}

}  // namespace ebonygrade::poold
