#include "http/json.h"

#include <catch2/catch.hpp>

#include "wire/job.pb.h"

namespace http = ebonygrade::http;
namespace wire = ebonygrade::wire;

namespace {

std::string failed_field_of(std::string_view text) {
  wire::job_request request;
  ebonygrade::error::result<void> parsed = http::from_json(text, &request);
  REQUIRE(parsed.has_error());
  return http::failed_field(parsed.error());
}

}  // namespace

TEST_CASE("a message converted to JSON and back is unchanged") {
  wire::job_request request;
  request.set_id("f1");
  request.set_class_(wire::gang);
  request.mutable_per_task()->set_slots(2);
  request.set_payload(std::string("\0\xff", 2));
  wire::job_request parsed;
  REQUIRE(http::from_json(http::to_json(request), &parsed).has_value());
  CHECK(parsed.SerializeAsString() == request.SerializeAsString());
  REQUIRE(http::from_json(http::to_compact_json(request), &parsed).has_value());
  CHECK(parsed.SerializeAsString() == request.SerializeAsString());
}

TEST_CASE("enums are printed by name and defaults are printed") {
  std::string text = http::to_json(wire::job_request());
  CHECK(text.find("\"class\":\"job_class_unspecified\"") != std::string::npos);
  CHECK(text.find("\"task_count\":0") != std::string::npos);
}

TEST_CASE("a parse failure names the invalid field") {
  CHECK(failed_field_of(R"({"no_such":1})") == "no_such");
  CHECK(failed_field_of(R"({"per_task":{"slots":9999999999}})") ==
        "per_task.slots");
  CHECK(failed_field_of(R"({"class":"hourly"})") == "class");
}

TEST_CASE("text that is not a JSON object is rejected") {
  CHECK(failed_field_of("").empty());
  CHECK(failed_field_of("{").empty());
  CHECK(failed_field_of("[1]").empty());
}
