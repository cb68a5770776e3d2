#include "http/message.h"

#include <catch2/catch.hpp>

#include "http/address.h"

namespace http = ebonygrade::http;

TEST_CASE("a target is split into decoded segments and parameters") {
  std::optional<http::target_parts> parts =
      http::parse_target("/v1/requests/a%20b%2Fc?region=rio%20g&wait_ms=5");
  REQUIRE(parts.has_value());
  CHECK(parts->segments == std::vector<std::string>{"v1", "requests", "a b/c"});
  CHECK(http::query_value(*parts, "region") == "rio g");
  CHECK(http::query_value(*parts, "wait_ms") == "5");
  CHECK_FALSE(http::query_value(*parts, "none").has_value());
}

TEST_CASE("a malformed target is rejected") {
  CHECK_FALSE(http::parse_target("/v1/%zz").has_value());
  CHECK_FALSE(http::parse_target("").has_value());
}

TEST_CASE("an encoded component is decoded to the same text") {
  std::string text = "a/b?c=d&e f%";
  std::optional<http::target_parts> parts =
      http::parse_target("/" + http::encode_component(text));
  REQUIRE(parts.has_value());
  CHECK(parts->segments == std::vector<std::string>{text});
}

TEST_CASE("parse_address accepts only IP:PORT") {
  CHECK(http::parse_address("127.0.0.1:80").value().port() == 80);
  CHECK(http::parse_address("[::1]:81").value().address().is_v6());
  for (const char* malformed : {"", "127.0.0.1", "host:80", "127.0.0.1:70000",
                                "127.0.0.1:", "127.0.0.1:8x"}) {
    CHECK(http::parse_address(malformed).has_error());
  }
}
