#include "job/job.h"

#include <catch2/catch.hpp>
#include <limits>

namespace job = ebonygrade::job;
namespace wire = ebonygrade::wire;

namespace {

constexpr job::steady_time kNow{std::chrono::seconds(100)};

wire::job_request valid_request() {
  wire::job_request message;
  message.set_id("forecast-1");
  message.set_team("alerts");
  message.set_class_(wire::batch);
  message.set_idempotent(true);
  message.mutable_per_task()->set_millicores(500);
  return message;
}

std::string parse_error(const wire::job_request& message) {
  ebonygrade::error::result<job::request> parsed =
      job::parse_request(message, kNow);
  return parsed.has_error() ? parsed.error().detail : "accepted";
}

}  // namespace

TEST_CASE("a valid request is accepted and has at least one task") {
  wire::job_request message = valid_request();
  message.set_deadline_ms(1500);
  ebonygrade::error::result<job::request> parsed =
      job::parse_request(message, kNow);
  REQUIRE(parsed.has_value());
  CHECK(parsed->task_count == 1);
  CHECK(parsed->deadline == kNow + std::chrono::milliseconds(1500));
}

TEST_CASE("the error for an invalid request names the field and reason") {
  wire::job_request message = valid_request();
  SECTION("empty id") {
    message.set_id("");
    CHECK(parse_error(message) == "id: is empty");
  }
  SECTION("id too long") {
    message.set_id(std::string(129, 'a'));
    CHECK(parse_error(message) == "id: is longer than 128 bytes");
  }
  SECTION("id with a slash") {
    message.set_id("a/b");
    CHECK(parse_error(message).rfind("id: ", 0) == 0);
  }
  SECTION("negative resource") {
    message.mutable_per_task()->set_memory_mb(-1);
    CHECK(parse_error(message) == "per_task.memory_mb: must not be negative");
  }
  SECTION("amount of a resource too large") {
    message.mutable_per_task()->set_millicores(
        std::numeric_limits<std::int32_t>::max());
    CHECK(parse_error(message) ==
          "per_task.millicores: must be at most 1000000");
  }
  SECTION("no resource") {
    message.clear_per_task();
    CHECK(parse_error(message) == "per_task: needs at least one resource");
  }
  SECTION("no class") {
    message.clear_class_();
    CHECK(parse_error(message) ==
          "class: must be service, batch, gang or urgent");
  }
}

TEST_CASE("the wire form carries the remaining time, not a clock reading") {
  wire::job_request message = valid_request();
  message.set_deadline_ms(1500);
  job::request parsed = job::parse_request(message, kNow).value();
  wire::job_request later =
      job::to_wire(parsed, kNow + std::chrono::milliseconds(500), "north");
  CHECK(later.deadline_ms() == 1000);
  CHECK(later.region() == "north");
}
