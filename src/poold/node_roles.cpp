// Roles of a daemon: following the journal as a standby, or the directory.
#include <algorithm>
#include <string>
#include <utility>

#include "events/events.h"
#include "poold/node.h"

namespace ebonygrade::poold {

namespace {

// Short, so that a read over a dead connection times out soon.
constexpr milliseconds kJournalWait{400};
constexpr milliseconds kDirectoryWait{1000};
constexpr milliseconds kDirectoryReadInterval{100};
// A standby that the owner doesn't need keeps its copy for this long, so that
// a short silence of other standbys doesn't move copies around.
constexpr milliseconds kSurplusPeriod{3000};

}  // namespace

void node::become_standby(std::string_view reason) {
  if (journal_) return;
  events::emit(events::id::standby_begun, "follow journal", "",
               "reason=\"{}\" owner={} epoch={}", reason,
               table_.owner.record.daemon(), table_.owner.record.epoch());
  surplus_since_ = {};
  standby_wait_ = {};
  journal_ = std::make_shared<topic_follower>(
      context_, store_, clock_,
      follower_options{std::string(platform::kJournalTopic), kJournalWait,
                       kFollowerReadInterval},
      topic_follower::handlers{
          [this](const std::vector<jobs::record>& records) {
            jobs::remove_missing(&table_, records, journal_->next());
            on_journal_records(records);
          },
          [this](const std::vector<jobs::record>& records) {
            on_journal_records(records);
          }});
  journal_->start();
  job_api_->set_journal(journal_);
}

void node::leave_standby() {
  events::emit(events::id::standby_ended, "drop journal", "",
               "jobs={} owner={} epoch={}", table_.jobs.size(),
               table_.owner.record.daemon(), table_.owner.record.epoch());
  journal_->stop();
  journal_.reset();
  job_api_->set_journal(nullptr);
  // The owner stays known; the journal's offsets don't apply any more.
  wire::ownership_record owner = table_.owner.record;
  table_ = {};
  jobs::observe_owner(&table_, owner);
  claim_after_read_ = false;
  claimed_epoch_ = 0;
  seen_owner_records_ = 0;
  owner_seen_writing_ = false;
  last_journal_read_ = {};
  follow_directory();
}

void node::follow_directory() {
  directory_ = follow({std::string(platform::kOwnerTopic), kDirectoryWait,
                       kDirectoryReadInterval},
                      [this](const std::vector<jobs::record>& records) {
                        on_directory_records(records);
                      });
}

void node::stop_directory() {
  if (!directory_) return;
  directory_->stop();
  directory_.reset();
}

void node::on_directory_records(const std::vector<jobs::record>& records) {
  for (const jobs::record& each : records) {
    wire::ownership_record owner;
    if (!owner.ParseFromString(each.value)) {
      ++table_.unreadable_records;
      continue;
    }
    jobs::observe_owner(&table_, owner);
  }
  if (owner_moved() && !draining_) announce(clock_.now());
}

void node::write_directory(std::uint64_t epoch) {
  directory_writer_ = std::make_shared<appender>(
      context_, store_, std::string(platform::kOwnerTopic),
      platform::producer{kOwnerProducer, epoch, 0});
  wire::ownership_record record;
  record.set_daemon(settings_.id);
  record.set_epoch(epoch);
  record.set_peer_address(settings_.peer_address);
  directory_writer_->write(
      {{jobs::kOwnerKey, record.SerializeAsString(), 0}}, [] { return true; },
      [epoch](write_outcome outcome) {
        if (outcome == write_outcome::written) return;
        events::emit(events::id::claim_lost, "write directory", "",
                     "epoch={} was fenced by a later owner", epoch);
      });
}

void node::consider_standby(steady_time now) {
  if (journal_ || !directory_ || !directory_->loaded()) return;
  const wire::ownership_record& last = table_.owner.record;
  if (last.epoch() == 0) return become_standby("no owner is known");
  if (last.daemon() == settings_.id) {
    return become_standby("this daemon was the owner");
  }
  std::uniform_real_distribution<double> spread(0, 1);
  milliseconds delay = standby_delay(had_owner_, store_.min_round_trip(),
                                     settings_.cpu_share, spread(random_));
  milliseconds directory_age = std::chrono::duration_cast<milliseconds>(
      now - directory_->current_as_of());
  if (advance_standby_wait(&standby_wait_, owner_unconfirmed_, directory_age,
                           delay, now)) {
    become_standby("no owner is confirmed");
  }
}

void node::on_owner_status(const wire::owner_status& status, bool confirmed,
                           steady_time asked) {
  if (!confirmed || owner_ || draining_) {
    surplus_since_ = {};
    return;
  }
  had_owner_ = true;
  observe_queue_lengths(status, asked, &reported_queues_);
  if (status.standby()) {
    surplus_since_ = {};
    return become_standby("the owner asked for it");
  }
  if (!has_journal()) return;
  if (surplus_since_ == steady_time()) surplus_since_ = asked;
  bool idle = !claiming_ && !job_api_->waits_for_journal();
  if (idle && asked - surplus_since_ >= kSurplusPeriod) leave_standby();
}

}  // namespace ebonygrade::poold
