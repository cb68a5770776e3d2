#include <catch2/catch.hpp>

#include "bundle/bundle.h"

namespace ebonygrade::bundle {
namespace {

std::string text_of(const std::string& name, int approvals) {
  return "[bundle]\nname = " + name +
         "\n[placement]\napprovals = " + std::to_string(approvals) +
         "\n[team.a]\n";
}

wire::record publish(const std::string& name, int approvals = 1) {
  wire::record record;
  record.mutable_publish()->set_name(name);
  record.mutable_publish()->set_text(text_of(name, approvals));
  record.mutable_publish()->set_author("ana");
  return record;
}

wire::record approve(std::uint64_t version, const std::string& approver) {
  wire::record record;
  record.mutable_approve()->set_version(version);
  record.mutable_approve()->set_approver(approver);
  return record;
}

wire::record roll(std::uint64_t version, std::uint64_t replaces) {
  wire::record record;
  record.mutable_roll()->set_version(version);
  record.mutable_roll()->set_replaces(replaces);
  return record;
}

wire::bundle_snapshot snapshot(std::uint64_t roll, std::uint64_t version) {
  wire::bundle_snapshot message;
  message.set_roll(roll);
  message.set_version(version);
  message.set_text(text_of("snap", 1));
  return message;
}

// A stream whose records are applied as they are appended.
struct stream {
  registry state;
  std::uint64_t next_offset = 0;

  apply_result add(const wire::record& record) {
    return apply(state, record, next_offset++);
  }
};

// Versions 1 and 2 are published and approved; roll 5 put version 1 in force.
stream rolled_stream() {
  stream s;
  s.add(publish("one"));
  s.add(publish("two"));
  s.add(approve(1, "bo"));
  s.add(approve(2, "bo"));
  s.add(roll(1, 0));
  return s;
}

TEST_CASE("a roll needs approvals that are not by the author") {
  stream s;
  CHECK(s.add(publish("one", 2)) == apply_result::applied);
  CHECK(s.add(approve(1, "ana")) == apply_result::not_approved);
  CHECK(s.add(roll(1, 0)) == apply_result::not_approved);
  CHECK(s.add(approve(1, "bo")) == apply_result::applied);
  CHECK(s.add(approve(1, "bo")) == apply_result::ignored);
  CHECK(s.add(roll(1, 0)) == apply_result::applied);
  CHECK(s.state.in_force == 1);
  CHECK(s.state.roll == 6);
  CHECK(s.add(publish("two")) == apply_result::applied);
  CHECK(s.add(approve(7, "bo")) == apply_result::applied);
  CHECK(s.add(roll(7, 1)) == apply_result::not_approved);
  CHECK(s.add(approve(7, "cy")) == apply_result::applied);
  CHECK(s.add(roll(7, 1)) == apply_result::applied);
}

TEST_CASE("of two concurrent rolls only the first is applied") {
  stream s = rolled_stream();
  s.add(publish("three"));
  s.add(approve(6, "bo"));
  CHECK(s.add(roll(2, 1)) == apply_result::applied);
  CHECK(s.add(roll(6, 1)) == apply_result::lost_race);
  CHECK(s.state.in_force == 2);
  CHECK(s.add(roll(9, 2)) == apply_result::unknown_version);
}

TEST_CASE("a record that is appended twice is applied once") {
  stream s = rolled_stream();
  wire::record forward = roll(2, 1);
  forward.mutable_writer()->set_daemon("d1");
  forward.mutable_writer()->set_sequence(7);
  CHECK(s.add(forward) == apply_result::applied);
  CHECK(s.add(roll(1, 2)) == apply_result::applied);
  CHECK(s.add(forward) == apply_result::ignored);
  CHECK(s.state.in_force == 1);
  CHECK(apply(s.state, publish("late"), 0) == apply_result::ignored);
}

TEST_CASE("an invalid bundle is not published") {
  stream s;
  wire::record bad = publish("one");
  bad.mutable_publish()->set_text("[bundle]\n");
  CHECK(s.add(bad) == apply_result::malformed);
  CHECK(s.add(approve(1, "bo")) == apply_result::unknown_version);
}

TEST_CASE("a snapshot never replaces a later roll") {
  stream s = rolled_stream();
  CHECK(apply_snapshot(s.state, snapshot(4, 9)) == apply_result::ignored);
  CHECK(apply_snapshot(s.state, snapshot(5, 9)) == apply_result::ignored);
  CHECK(apply_snapshot(s.state, snapshot(20, 19)) == apply_result::applied);
  CHECK(s.add(roll(2, 1)) == apply_result::ignored);
  CHECK(s.state.in_force == 19);
  wire::bundle_snapshot bad = snapshot(30, 29);
  bad.set_text("x");
  CHECK(apply_snapshot(s.state, bad) == apply_result::malformed);
}

TEST_CASE(
    "rolls that were read before the snapshot they follow are applied after "
    "it") {
  registry state;
  apply(state, publish("two"), 10);
  apply(state, approve(11, "bo"), 11);
  CHECK(apply(state, roll(11, 3), 12) == apply_result::lost_race);
  CHECK(apply_snapshot(state, snapshot(5, 3)) == apply_result::applied);
  CHECK(state.in_force == 11);
  CHECK(state.roll == 13);
}

TEST_CASE("the oldest versions are removed, but not the one in force") {
  stream s = rolled_stream();
  for (int i = 0; i < 200; ++i) s.add(publish("more"));
  CHECK(s.state.versions.size() == 64);
  CHECK(s.state.versions.contains(1));
}

}  // namespace
}  // namespace ebonygrade::bundle
