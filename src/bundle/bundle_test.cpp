#include "bundle/bundle.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace ebonygrade::bundle {
namespace {

constexpr std::string_view kSmall =
    "[bundle]\nname = small\n\n[team.a]\nweight = 2\n";

std::string read_file(const std::string& name) {
  std::ifstream in(std::string(EBONYGRADE_SOURCE_DIR) + "/" + name);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string rejection(const std::string& text) {
  error::result<policy> parsed = parse(text);
  return parsed.has_error() ? parsed.error().detail : "accepted";
}

TEST_CASE("unset keys of a bundle keep their defaults") {
  error::result<policy> parsed = parse(kSmall);
  REQUIRE(parsed.has_value());
  CHECK(parsed->name == "small");
  CHECK(parsed->teams.at("a").weight == 2);
}

TEST_CASE("the example bundles are valid") {
  error::result<policy> zora = parse(read_file("bundles/zora.ini"));
  error::result<policy> instituto = parse(read_file("bundles/instituto.ini"));
  REQUIRE(zora.has_value());
  REQUIRE(instituto.has_value());
  CHECK(zora->placement.packing_weight < instituto->placement.packing_weight);
  CHECK(zora->classes[3].priority == 300);
}

TEST_CASE("an invalid bundle is rejected with line, section, key and reason") {
  struct invalid_bundle {
    std::string added;
    std::string expected;
  };
  const invalid_bundle cases[] = {
      {"wieght = 3\n", "line 6: [team.a] wieght: unknown key"},
      {"weight = 3\n", "line 6: [team.a] weight: is given twice"},
      {"[team.a]\n", "line 6: [team.a] the section is given twice"},
      {"[team.b]\nweight = 0\n", "line 7: [team.b] weight: must be from 0.001"},
      {"[team.b]\nweight = -1\n", "line 7: [team.b] weight: must be from"},
      {"[team.b]\nweight = nan\n", "line 7: [team.b] weight: must be a number"},
      {"[team.b]\nquota_slots = 1.5\n",
       "line 7: [team.b] quota_slots: must be a whole number"},
      {"[team.b]\nmay_borrow = no\n",
       "line 7: [team.b] may_borrow: contradicts"},
      {"[team.b c]\n", "line 6: [team.b c] a team's name"},
      {"[class.slow]\n", "line 6: [class.slow] unknown class"},
      {"[class.urgent]\nmay_preempt = yes\n",
       "line 7: [class.urgent] may_preempt: no preemptible class"},
      {"[class.batch]\npreemptible = no\nmax_preemptions = 1\n",
       "line 8: [class.batch] max_preemptions: contradicts"},
      {"[class.batch]\nageing = 5\n", "line 7: [class.batch] ageing: must be"},
      {"[class.batch]\nageing = 0s\n",
       "line 7: [class.batch] ageing: must be from 1ms"},
      {"[placement]\npacking_weight = 1.1\n",
       "line 7: [placement] packing_weight: must be from 0 to 1"},
      {"[place]\n", "line 6: [place] unknown section"},
      {"[place\n", "line 6: [[place] the section line has no closing ]"},
      {"stray\n", "line 6: [team.a] stray: is not of the form"},
  };
  for (const invalid_bundle& each : cases) {
    CHECK_THAT(rejection(std::string(kSmall) + each.added),
               Catch::Matchers::StartsWith(each.expected));
  }
  CHECK_THAT(rejection("x = 1\n"), Catch::Matchers::StartsWith(
                                       "line 1: x: stands before any section"));
  CHECK_THAT(rejection("[bundle]\nname = x\n"),
             Catch::Matchers::EndsWith("at least one team is needed"));
  CHECK_THAT(rejection("[team.a]\n"),
             Catch::Matchers::EndsWith("[bundle] the section is missing"));
  CHECK(rejection(std::string(100000, ';')) != "accepted");
  CHECK(rejection(std::string("[bundle]\0", 9)) != "accepted");
}

TEST_CASE("diff lists exactly the keys and teams that changed") {
  policy from = *parse(kSmall);
  CHECK(diff(from, from).empty());
  policy to = *parse(
      "[bundle]\nname = small\n[team.b]\nquota_slots = 4\n"
      "[class.batch]\nageing = 250ms\n");
  const std::vector<std::string> expected = {
      "[class.batch] ageing: 60s -> 250ms",
      "[team.a] removed: new requests are refused",
      "[team.b] added",
      "[team.b] quota_slots: 0 -> 4",
  };
  CHECK(diff(from, to) == expected);
}

}  // namespace
}  // namespace ebonygrade::bundle
