#include <catch2/catch.hpp>

#include "ownership/ownership.h"

namespace job = ebonygrade::job;
namespace ownership = ebonygrade::ownership;
namespace wire = ebonygrade::wire;

namespace {

constexpr job::shard_id kShard{0, 1};

wire::record claim_by(const std::string& daemon, std::uint64_t incarnation,
                      job::epoch previous, std::uint64_t first = 0,
                      std::uint64_t through = 0) {
  wire::record record;
  record.mutable_writer()->set_daemon(daemon);
  record.mutable_writer()->set_incarnation(incarnation);
  wire::shard_claim* shard = record.mutable_claim()->add_shards();
  shard->set_region("north");
  shard->set_shard(kShard.shard);
  shard->set_previous_epoch(previous);
  shard->set_first_offset(first);
  shard->set_through_offset(through);
  return record;
}

wire::record snapshot_of(const std::string& owner, job::epoch epoch,
                         std::uint64_t through) {
  wire::record record;
  record.mutable_claim_snapshot()->set_through_offset(through);
  wire::owned_shard* shard = record.mutable_claim_snapshot()->add_shards();
  shard->set_region("north");
  shard->set_shard(kShard.shard);
  shard->set_epoch(epoch);
  shard->set_owner(owner);
  shard->set_incarnation(1);
  return record;
}

ownership::claim_table make_table() {
  return ownership::make_claim_table({"north"}, 4);
}

const ownership::claim_state& state_of(const ownership::claim_table& table) {
  return table.shards[kShard.region][kShard.shard];
}

}  // namespace

TEST_CASE("of concurrent claims the first in the log wins") {
  ownership::claim_table table = make_table();
  CHECK(ownership::apply(table, claim_by("a", 1, 0), 0).size() == 1);
  CHECK(ownership::apply(table, claim_by("b", 1, 0), 1).empty());
  CHECK(state_of(table).owner == "a");
  CHECK(state_of(table).epoch == 1);
}

TEST_CASE("a claim that was appended twice takes effect once") {
  ownership::claim_table table = make_table();
  ownership::apply(table, claim_by("a", 1, 0), 0);
  ownership::apply(table, claim_by("b", 1, 1), 1);
  CHECK(ownership::apply(table, claim_by("b", 1, 1), 2).empty());
  CHECK(state_of(table).epoch == 2);
  CHECK(ownership::apply(table, claim_by("c", 1, 2), 1).empty());
}

TEST_CASE("earlier owners are kept without duplicates, up to a limit") {
  ownership::claim_table table = make_table();
  for (std::uint64_t i = 0; i < 40; ++i) {
    ownership::apply(table, claim_by("d", i % 30, i), i);
  }
  CHECK(state_of(table).earlier_owners.size() == ownership::kMaxEarlierOwners);
  CHECK(state_of(table).earlier_owners.back() ==
        ownership::earlier_owner{"d", 8});
  CHECK(state_of(table).incarnation == 9);
}

TEST_CASE("an owner that owned the shard before is among its earlier owners") {
  ownership::claim_table table = make_table();
  ownership::apply(table, claim_by("a", 1, 0), 0);
  ownership::apply(table, claim_by("b", 1, 1), 1);
  ownership::apply(table, claim_by("a", 1, 2), 2);
  std::vector<ownership::earlier_owner> expected{{"a", 1}, {"b", 1}};
  CHECK(state_of(table).earlier_owners == expected);
}

TEST_CASE("claims of unknown regions and shards are ignored") {
  ownership::claim_table table = make_table();
  wire::record record = claim_by("a", 1, 0);
  record.mutable_claim()->mutable_shards(0)->set_shard(400000);
  CHECK(ownership::apply(table, record, 0).empty());
  record.mutable_claim()->mutable_shards(0)->set_region("nowhere");
  CHECK(ownership::apply(table, record, 1).empty());
}

TEST_CASE(
    "a reader that missed expired records gets the owner from a snapshot") {
  ownership::claim_table table = make_table();
  ownership::discard_expired(table, 100);
  // The reader doesn't know the epoch that the claim replaces, so the claim may
  // have lost.
  CHECK(ownership::apply(table, claim_by("b", 1, 40), 100).empty());
  // The writer of the snapshot hadn't read this claim either.
  CHECK(ownership::apply(table, snapshot_of("a", 40, 100), 101).empty());
  CHECK(ownership::apply(table, snapshot_of("b", 101, 102), 102).size() == 1);
  CHECK(state_of(table).owner == "b");
  CHECK(state_of(table).epoch == 101);
}

TEST_CASE("a snapshot of an older epoch has no effect") {
  ownership::claim_table table = make_table();
  ownership::apply(table, claim_by("a", 1, 0), 0);
  ownership::apply(table, claim_by("b", 1, 1), 1);
  CHECK(ownership::apply(table, snapshot_of("a", 1, 1), 2).empty());
  CHECK(state_of(table).owner == "b");
}

TEST_CASE("all readers accept a claim of a shard whose records have expired") {
  ownership::claim_table known = make_table();
  ownership::apply(known, claim_by("a", 1, 0), 0);
  ownership::claim_table fresh = make_table();
  ownership::discard_expired(fresh, 50);
  wire::record claim = claim_by("b", 1, 0, 50, 50);
  CHECK(ownership::apply(fresh, claim, 50).size() == 1);
  CHECK(ownership::apply(known, claim, 50).size() == 1);
  // A second claim whose writer had read as far loses with both readers.
  wire::record late = claim_by("c", 1, 0, 50, 50);
  CHECK(ownership::apply(fresh, late, 51).empty());
  CHECK(ownership::apply(known, late, 51).empty());
  CHECK(state_of(known).owner == "b");
}

TEST_CASE(
    "a claim without previous epoch loses if a snapshot stated the owner") {
  ownership::claim_table known = make_table();
  ownership::apply(known, claim_by("a", 1, 0), 0);
  ownership::apply(known, snapshot_of("a", 1, 1), 50);
  CHECK(ownership::apply(known, claim_by("b", 1, 0, 50, 50), 51).empty());
  ownership::claim_table fresh = make_table();
  ownership::discard_expired(fresh, 51);
  CHECK(ownership::apply(fresh, claim_by("b", 1, 0, 50, 50), 51).empty());
  CHECK(state_of(fresh).epoch == 0);
}

TEST_CASE("rendezvous hashing moves only the shards of the member that left") {
  std::vector<ownership::member> members;
  for (const char* id : {"a", "b", "c", "d"}) {
    ownership::member each;
    each.id = id;
    each.region = "north";
    members.push_back(each);
  }
  std::vector<ownership::member> fewer(members.begin(), members.end() - 1);
  const std::chrono::milliseconds limit(1000);
  int owned_by_d = 0;
  for (std::uint16_t shard = 0; shard < 200; ++shard) {
    std::string all =
        ownership::preferred_owner("north", shard, members, limit);
    std::string left = ownership::preferred_owner("north", shard, fewer, limit);
    if (all == "d") {
      ++owned_by_d;
    } else {
      CHECK(all == left);
    }
  }
  CHECK(owned_by_d > 25);
  CHECK(owned_by_d < 75);
}

TEST_CASE("a region without members is owned from other regions") {
  ownership::member far;
  far.id = "a";
  far.region = "south";
  const std::chrono::milliseconds limit(1000);
  CHECK(ownership::preferred_owner("north", 0, {far}, limit) == "a");
  far.unresponsive_for = limit;
  CHECK(ownership::preferred_owner("north", 0, {far}, limit).empty());
}
