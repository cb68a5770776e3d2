#include "ownership/ownership.h"

#include <catch2/catch.hpp>
#include <map>
#include <utility>

namespace job = ebonygrade::job;
namespace ownership = ebonygrade::ownership;
namespace wire = ebonygrade::wire;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t kShards = 8;
constexpr milliseconds kTick{500};

struct daemon_process {
  ownership::state state;
  bool alive = true;
  bool leaving = false;
  job::steady_time started;
  job::steady_time died;
};

// Daemons that share one log. Each daemon reads the log before each tick, and
// its workers are reconciled without delay.
class cell {
 public:
  void start(const std::string& id, std::uint64_t incarnation = 1) {
    ownership::ownership_options options;
    options.handover_after = milliseconds(5000);
    options.self = id;
    options.incarnation = incarnation;
    daemon_process started;
    started.started = now_;
    started.state = ownership::make_state(
        options, ownership::make_claim_table({"north"}, kShards));
    daemons_[id] = std::move(started);
    read(id);
    handle(id, ownership::caught_up{});
  }

  void kill(const std::string& id) {
    daemons_[id].alive = false;
    daemons_[id].died = now_;
  }

  void drain(const std::string& id) {
    daemons_[id].leaving = true;
    handle(id, ownership::drain{});
  }

  void advance(milliseconds by) {
    for (milliseconds passed{0}; passed < by; passed += kTick) {
      now_ += kTick;
      for (auto& [id, process] : daemons_) {
        if (!process.alive) continue;
        read(id);
        handle(id, ownership::tick{members()});
      }
    }
  }

  void handle(const std::string& id, const ownership::event& input) {
    for (const ownership::effect& each :
         ownership::step(daemons_[id].state, input, now_)) {
      carry_out(id, each);
    }
  }

  void read(const std::string& id) {
    ownership::state& state = daemons_[id].state;
    while (state.claims.next_offset < log.size()) {
      std::uint64_t offset = state.claims.next_offset;
      handle(id, ownership::record_read{log[offset], offset});
    }
  }

  ownership::state& state(const std::string& id) { return daemons_[id].state; }

  int serving(const std::string& id) {
    int count = 0;
    for (std::uint16_t shard = 0; shard < kShards; ++shard) {
      if (ownership::serving_epoch(state(id), {0, shard}) != 0) ++count;
    }
    return count;
  }

  std::vector<wire::record> log;
  bool log_down = false;
  std::vector<ownership::fence_shard> fences;

 private:
  std::vector<ownership::member> members() const {
    std::vector<ownership::member> found;
    for (const auto& [id, process] : daemons_) {
      ownership::member each;
      each.id = id;
      each.region = "north";
      each.leaving = process.leaving;
      each.alive_for =
          std::chrono::duration_cast<milliseconds>(now_ - process.started);
      if (!process.alive) {
        each.alive_for = milliseconds(0);
        each.unresponsive_for =
            std::chrono::duration_cast<milliseconds>(now_ - process.died);
      }
      found.push_back(each);
    }
    return found;
  }

  void carry_out(const std::string& id, const ownership::effect& input) {
    if (const auto* append = std::get_if<ownership::append_record>(&input)) {
      if (!log_down) log.push_back(append->record);
    } else if (const auto* fence =
                   std::get_if<ownership::fence_shard>(&input)) {
      fences.push_back(*fence);
      handle(id, ownership::reconciled{fence->shard, fence->epoch});
    } else if (const auto* quiesce =
                   std::get_if<ownership::quiesce_shard>(&input)) {
      handle(id, ownership::quiesced{quiesce->shard});
    }
  }

  std::map<std::string, daemon_process> daemons_;
  job::steady_time now_{std::chrono::hours(1)};
};

ownership::state lone_state(const std::string& self) {
  ownership::ownership_options options;
  options.self = self;
  options.incarnation = 7;
  return ownership::make_state(options,
                               ownership::make_claim_table({"north"}, 1));
}

wire::record claim_of_shard_0(const std::string& daemon,
                              std::uint64_t incarnation, job::epoch previous) {
  wire::record record;
  record.mutable_writer()->set_daemon(daemon);
  record.mutable_writer()->set_incarnation(incarnation);
  wire::shard_claim* shard = record.mutable_claim()->add_shards();
  shard->set_region("north");
  shard->set_previous_epoch(previous);
  return record;
}

constexpr job::steady_time kNow{std::chrono::hours(1)};

}  // namespace

TEST_CASE("no shard is claimed before the stream was read to its end") {
  ownership::state state = lone_state("a");
  ownership::member self;
  self.id = "a";
  self.region = "north";
  self.alive_for = milliseconds(60000);
  CHECK(ownership::step(state, ownership::tick{{self}}, kNow).empty());
  ownership::step(state, ownership::caught_up{}, kNow);
  CHECK(ownership::step(state, ownership::tick{{self}}, kNow).empty());
  std::vector<ownership::effect> effects = ownership::step(
      state, ownership::tick{{self}}, kNow + milliseconds(1000));
  REQUIRE(effects.size() == 1);
  CHECK(std::holds_alternative<ownership::append_record>(effects[0]));
}

TEST_CASE(
    "after a cold start every shard has one owner, with one claim per daemon") {
  cell cell;
  for (const char* id : {"a", "b", "c"}) cell.start(id);
  cell.advance(milliseconds(3000));
  CHECK(cell.log.size() <= 3);
  CHECK(cell.serving("a") + cell.serving("b") + cell.serving("c") == kShards);
}

TEST_CASE("the shards of a dead owner are claimed after the takeover time") {
  cell cell;
  cell.start("a");
  cell.start("b");
  cell.advance(milliseconds(3000));
  cell.kill("a");
  cell.advance(milliseconds(2500));
  CHECK(cell.serving("b") < kShards);
  cell.advance(milliseconds(2000));
  CHECK(cell.serving("b") == kShards);
}

TEST_CASE("no shard changes its owner while the log is unreachable") {
  cell cell;
  cell.start("a");
  cell.start("b");
  cell.advance(milliseconds(3000));
  int before = cell.serving("b");
  cell.log_down = true;
  cell.kill("a");
  cell.advance(milliseconds(60000));
  CHECK(cell.serving("b") == before);
  cell.log_down = false;
  cell.advance(milliseconds(3000));
  CHECK(cell.serving("b") == kShards);
}

TEST_CASE(
    "a joining daemon gets its shards after the handover time and keeps them") {
  cell cell;
  cell.start("a");
  cell.advance(milliseconds(10000));
  REQUIRE(cell.serving("a") == kShards);
  cell.start("b");
  cell.advance(milliseconds(4000));
  CHECK(cell.serving("b") == 0);
  cell.advance(milliseconds(10000));
  int moved = cell.serving("b");
  CHECK(moved > 0);
  CHECK(cell.serving("a") == kShards - moved);
  std::size_t records = cell.log.size();
  cell.advance(milliseconds(30000));
  CHECK(cell.log.size() == records);
}

TEST_CASE("a daemon that restarts often gets no shards") {
  cell cell;
  cell.start("a");
  cell.advance(milliseconds(10000));
  std::size_t records = cell.log.size();
  for (std::uint64_t restart = 0; restart < 5; ++restart) {
    cell.start("b", restart + 1);
    cell.advance(milliseconds(4000));
    cell.kill("b");
    cell.advance(milliseconds(1000));
  }
  CHECK(cell.log.size() == records);
  CHECK(cell.serving("a") == kShards);
}

TEST_CASE("a drain hands over every shard") {
  cell cell;
  cell.start("a");
  cell.start("b");
  cell.advance(milliseconds(3000));
  cell.drain("a");
  cell.advance(milliseconds(1500));
  CHECK(cell.serving("a") == 0);
  CHECK(cell.serving("b") == kShards);
}

TEST_CASE("a restarted daemon serves no shard before it claims it again") {
  cell cell;
  cell.start("a", 5);
  cell.advance(milliseconds(3000));
  // A clock that was set back must not hide the restart.
  cell.start("a", 4);
  CHECK(cell.state("a").options.incarnation == 6);
  CHECK(cell.serving("a") == 0);
  cell.fences.clear();
  cell.advance(milliseconds(1000));
  CHECK(cell.serving("a") == kShards);
  REQUIRE(cell.fences.size() == kShards);
  CHECK(cell.fences[0].previous.incarnation == 5);
  CHECK(cell.fences[0].previous.earlier_owners ==
        std::vector<ownership::earlier_owner>{{"a", 5}});
}

TEST_CASE("a daemon that reads a later claim of its shard drops it at once") {
  ownership::state state = lone_state("a");
  ownership::step(state, ownership::caught_up{}, kNow);
  ownership::step(state, ownership::record_read{claim_of_shard_0("a", 7, 0), 0},
                  kNow);
  ownership::step(state, ownership::reconciled{{0, 0}, 1}, kNow);
  REQUIRE(ownership::serving_epoch(state, {0, 0}) == 1);
  std::vector<ownership::effect> effects = ownership::step(
      state, ownership::record_read{claim_of_shard_0("b", 1, 1), 1}, kNow);
  REQUIRE(effects.size() == 1);
  CHECK(std::holds_alternative<ownership::drop_shard>(effects[0]));
  CHECK(ownership::serving_epoch(state, {0, 0}) == 0);
  // A late `reconciled` of the old epoch doesn't restore the ownership.
  ownership::step(state, ownership::reconciled{{0, 0}, 1}, kNow);
  CHECK(ownership::serving_epoch(state, {0, 0}) == 0);
}

TEST_CASE("a worker with a higher epoch ends the ownership") {
  ownership::state state = lone_state("a");
  ownership::step(state, ownership::caught_up{}, kNow);
  ownership::step(state, ownership::record_read{claim_of_shard_0("a", 7, 0), 0},
                  kNow);
  ownership::step(state, ownership::fenced_by_worker{{0, 0}, 1}, kNow);
  CHECK(state.local_shards[0][0].phase == ownership::shard_phase::fencing);
  ownership::step(state, ownership::fenced_by_worker{{0, 0}, 9}, kNow);
  CHECK(state.local_shards[0][0].phase == ownership::shard_phase::not_owned);
}

TEST_CASE("a daemon drops its shards if records expired before it read them") {
  ownership::state state = lone_state("a");
  ownership::step(state, ownership::caught_up{}, kNow);
  ownership::step(state, ownership::record_read{claim_of_shard_0("a", 7, 0), 0},
                  kNow);
  ownership::step(state, ownership::reconciled{{0, 0}, 1}, kNow);
  CHECK(ownership::step(state, ownership::records_expired{1}, kNow).empty());
  CHECK(ownership::serving_epoch(state, {0, 0}) == 1);
  ownership::step(state, ownership::records_expired{20}, kNow);
  CHECK(ownership::serving_epoch(state, {0, 0}) == 0);
  CHECK_FALSE(state.caught_up);
}

TEST_CASE("one daemon writes snapshots, and another one if they are overdue") {
  cell cell;
  cell.start("a");
  cell.start("b");
  cell.advance(milliseconds(3000));
  std::size_t records = cell.log.size();
  cell.advance(milliseconds(120000));
  CHECK(cell.log.size() == records + 2);
  CHECK(cell.log.back().writer().daemon() == "a");
  cell.kill("a");
  cell.advance(milliseconds(70000));
  CHECK(cell.log.back().has_claim_snapshot());
  CHECK(cell.log.back().writer().daemon() == "b");
}
