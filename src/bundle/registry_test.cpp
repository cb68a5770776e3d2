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

// A log that is applied as it is written.
struct log {
  registry state;
  std::uint64_t next = 0;

  apply_result add(const wire::record& record) {
    return apply(state, record, next++);
  }
};

// Versions 1 and 2 published and approved, 1 in force by roll 5.
log rolled_log() {
  log l;
  l.add(publish("one"));
  l.add(publish("two"));
  l.add(approve(1, "bo"));
  l.add(approve(2, "bo"));
  l.add(roll(1, 0));
  return l;
}

TEST_CASE("a roll needs approvals by others than the author") {
  log l;
  CHECK(l.add(publish("one", 2)) == apply_result::applied);
  CHECK(l.add(approve(1, "ana")) == apply_result::not_approved);
  CHECK(l.add(roll(1, 0)) == apply_result::not_approved);
  CHECK(l.add(approve(1, "bo")) == apply_result::applied);
  CHECK(l.add(approve(1, "bo")) == apply_result::ignored);
  CHECK(l.add(roll(1, 0)) == apply_result::applied);
  CHECK(l.state.in_force == 1);
  CHECK(l.state.roll == 6);
  CHECK(l.add(publish("two")) == apply_result::applied);
  CHECK(l.add(approve(7, "bo")) == apply_result::applied);
  CHECK(l.add(roll(7, 1)) == apply_result::not_approved);
  CHECK(l.add(approve(7, "cy")) == apply_result::applied);
  CHECK(l.add(roll(7, 1)) == apply_result::applied);
}

TEST_CASE("of two racing rolls the second loses") {
  log l = rolled_log();
  l.add(publish("three"));
  l.add(approve(6, "bo"));
  CHECK(l.add(roll(2, 1)) == apply_result::applied);
  CHECK(l.add(roll(6, 1)) == apply_result::lost_race);
  CHECK(l.state.in_force == 2);
  CHECK(l.add(roll(9, 2)) == apply_result::unknown_version);
}

TEST_CASE("a record appended twice is applied once") {
  log l = rolled_log();
  wire::record forward = roll(2, 1);
  forward.mutable_writer()->set_daemon("d1");
  forward.mutable_writer()->set_sequence(7);
  CHECK(l.add(forward) == apply_result::applied);
  CHECK(l.add(roll(1, 2)) == apply_result::applied);
  CHECK(l.add(forward) == apply_result::ignored);
  CHECK(l.state.in_force == 1);
  CHECK(apply(l.state, publish("late"), 0) == apply_result::ignored);
}

TEST_CASE("a bad text is not published") {
  log l;
  wire::record bad = publish("one");
  bad.mutable_publish()->set_text("[bundle]\n");
  CHECK(l.add(bad) == apply_result::malformed);
  CHECK(l.add(approve(1, "bo")) == apply_result::unknown_version);
}

TEST_CASE("a snapshot never takes the registry back") {
  log l = rolled_log();
  CHECK(apply_snapshot(l.state, snapshot(4, 9)) == apply_result::ignored);
  CHECK(apply_snapshot(l.state, snapshot(5, 9)) == apply_result::ignored);
  CHECK(apply_snapshot(l.state, snapshot(20, 19)) == apply_result::applied);
  CHECK(l.add(roll(2, 1)) == apply_result::ignored);
  CHECK(l.state.in_force == 19);
  wire::bundle_snapshot bad = snapshot(30, 29);
  bad.set_text("x");
  CHECK(apply_snapshot(l.state, bad) == apply_result::malformed);
}

TEST_CASE("a late snapshot of an older roll yields to rolls already read") {
  registry state;
  apply(state, publish("two"), 10);
  apply(state, approve(11, "bo"), 11);
  CHECK(apply(state, roll(11, 3), 12) == apply_result::lost_race);
  CHECK(apply_snapshot(state, snapshot(5, 3)) == apply_result::applied);
  CHECK(state.in_force == 11);
  CHECK(state.roll == 13);
}

TEST_CASE("versions are bounded and the one in force is kept") {
  log l = rolled_log();
  for (int i = 0; i < 200; ++i) l.add(publish("more"));
  CHECK(l.state.versions.size() == 64);
  CHECK(l.state.versions.contains(1));
}

}  // namespace
}  // namespace ebonygrade::bundle
