#include "settings/settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "settings/options.h"

using ebonygrade::clock::milliseconds;
using ebonygrade::error::failure;
using ebonygrade::settings::key_spec;
using ebonygrade::settings::load_report;
using ebonygrade::settings::value_type;

namespace {

constexpr std::string_view kValid = R"(
; Entry VM of the Sofia region.
[daemon]
id = entry-1
zone = sofia-b
http_address = 127.0.0.1:8080
peer_address = 127.0.0.1:8081

[cell]
name = zora
regions = sofia, plovdiv
shards_per_region = 8

[region.plovdiv]
zones = plovdiv-a
[region.sofia]
zones = sofia-a, sofia-b

[platform]
log_address = 127.0.0.1:9000
list_address = 127.0.0.1:9000
call_timeout = 3s
appends_per_second = 2.5
)";

// Parses the valid text with the first `from` replaced by `to`.
load_report parse_with(std::string_view from, std::string_view to) {
  std::string text(kValid);
  std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  text.replace(at, from.size(), to);
  return ebonygrade::settings::parse(text, "cell.ini");
}

std::string only_problem(const load_report& report) {
  for (const failure& each : report.problems) UNSCOPED_INFO(to_string(each));
  REQUIRE(report.problems.size() == 1);
  return to_string(report.problems.front());
}

bool mentions(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a valid file sets the settings and the components' options") {
  load_report report = ebonygrade::settings::parse(kValid, "cell.ini");
  for (const failure& each : report.problems) UNSCOPED_INFO(to_string(each));
  REQUIRE(report.problems.empty());
  CHECK(report.value.daemon.id == "entry-1");
  CHECK(report.value.daemon.http_advertise == "127.0.0.1:8080");
  CHECK(report.value.cell.shards_per_region == 8);
  REQUIRE(report.value.cell.regions.size() == 2);
  CHECK(report.value.cell.regions[0].name == "sofia");
  CHECK(report.value.cell.regions[1].zones.front() == "plovdiv-a");
  CHECK(region_of_zone(report.value.cell, "plovdiv-a") == 1);
  CHECK_FALSE(region_of_zone(report.value.cell, "varna-a").has_value());
  CHECK(to_client_options(report.value).call_timeout == milliseconds(3000));
  CHECK(to_client_options(report.value).appends_per_second == 2.5);
  CHECK(to_link_options(report.value, 7).incarnation == 7);
  CHECK(to_link_options(report.value, 7).region == "sofia");
  CHECK(to_ownership_options(report.value, 7).self == "entry-1");
  CHECK(to_adapter_options(report.value).task_lease == milliseconds(30000));
  CHECK(to_table_options(report.value).max_attempts == 3);
}

TEST_CASE(
    "an invalid file is rejected with file, section, key and expected value") {
  struct invalid_setting {
    std::string_view from;
    std::string_view to;
    std::string_view message;
  };
  const invalid_setting cases[] = {
      {"[platform]", "[colour]\nx = 1\n[platform]",
       "[colour]: unknown section"},
      {"name = zora", "name = zora\nnmae = x", "[cell] nmae: unknown key"},
      {"name = zora", "name = zora\nname = x",
       "[cell] name: given more than once"},
      {"name = zora", "name = zora\nloose", "[cell] loose: unknown key"},
      {"name = zora\n", "", "[cell] name: missing, expected name"},
      {"= 8\n", "= eight\n",
       "[cell] shards_per_region: expected an integer from 1 to 4096 shards, "
       "found 'eight'"},
      {"= 8\n", "= 9223372036854775808\n", "expected an integer from 1"},
      {"= 8\n", "= -1\n", "expected an integer from 1"},
      {"= 8\n", "=\n", "expected an integer from 1 to 4096 shards, found ''"},
      {"= 3s", "= 3", "expected a duration with the suffix ms, s or m"},
      {"= 3s", "= 3h", "expected a duration with the suffix ms, s or m"},
      {"= 3s", "= 1ms", "from 10ms to 60000ms, found '1ms'"},
      {"= 2.5", "= nan", "[platform] appends_per_second: expected a number"},
      {"= 127.0.0.1:8081", "= localhost:8081",
       "[daemon] peer_address: expected IP:PORT with a port from 1 to 65535"},
      {"= 127.0.0.1:8081", "= 127.0.0.1:0", "expected IP:PORT"},
      {"= 127.0.0.1:8081", "= 127.0.0.1:8080",
       "expected an address that does not overlap [daemon] http_address"},
      {"= 127.0.0.1:8081", "= 127.0.0.1:8081\npeer_advertise = 0.0.0.0:8081",
       "[daemon] peer_advertise: expected an address that others can reach"},
      {"list_address = 127.0.0.1:9000", "list_address = 127.0.0.1:8080",
       "[platform] list_address: expected an address that does not overlap"},
      {"zone = sofia-b", "zone = varna-a",
       "[daemon] zone: expected a zone of one of the cell's regions"},
      {"zones = plovdiv-a", "zones = plovdiv-a, sofia-a",
       "expected zones that are not in region sofia, found 'sofia-a'"},
      {"zones = plovdiv-a", "zones = ,", "[region.plovdiv] zones: expected"},
      {"zones = plovdiv-a", "zone = plovdiv-a", "expected only the key zones"},
      {"regions = sofia, plovdiv", "regions = sofia",
       "[region.plovdiv]: expected a region named in [cell] regions"},
      {"regions = sofia, plovdiv", "regions = sofia, varna, plovdiv",
       "[region.varna] zones: missing"},
      {"id = entry-1", "id = entry 1", "[daemon] id: expected a name"},
      {"[platform]", "[peer]\nsilence_limit = 500ms\n[platform]",
       "[peer] silence_limit: expected more than [peer] heartbeat_interval "
       "(500ms), found '500ms'"},
      {"[platform]", "[log]\nlevel = loud\n[platform]",
       "[log] level: expected one of debug info warning error off"},
      {"name = zora", "name = zora\n= x", "expected KEY = VALUE"},
      {"; Entry", "x = 1\n; Entry", "expected a [SECTION] before"},
  };
  for (const invalid_setting& each : cases) {
    INFO(each.to);
    std::string message = only_problem(parse_with(each.from, each.to));
    INFO(message);
    CHECK(mentions(message, "cell.ini"));
    CHECK(mentions(message, each.message));
  }
}

TEST_CASE("a section line without a closing bracket is rejected") {
  load_report report = parse_with("[cell]", "[cell");
  REQUIRE_FALSE(report.problems.empty());
  CHECK(mentions(to_string(report.problems.front()), "expected [SECTION]"));
}

TEST_CASE("a file that can't be read is rejected") {
  load_report report = ebonygrade::settings::load("/nonexistent/cell.ini");
  CHECK(mentions(only_problem(report), "/nonexistent/cell.ini"));
}

TEST_CASE("all problems of a file are reported") {
  load_report report = ebonygrade::settings::parse("", "empty.ini");
  std::size_t required = 0;
  for (const key_spec& spec : ebonygrade::settings::keys()) {
    if (spec.required) ++required;
  }
  CHECK(report.problems.size() == required);
}

TEST_CASE("every default is valid") {
  for (const key_spec& spec : ebonygrade::settings::keys()) {
    if (spec.required || spec.type == value_type::address) continue;
    std::string text(kValid);
    std::string line(spec.key);
    line += " = " + default_text(spec) + "\n";
    if (text.find("\n" + std::string(spec.key) + " =") != std::string::npos) {
      continue;
    }
    text += "[" + std::string(spec.section) + "]\n" + line;
    INFO(line);
    CHECK(ebonygrade::settings::parse(text, "cell.ini").problems.empty());
  }
}

TEST_CASE("docs/CONFIG.md has the row of every key in its section") {
  std::ifstream file(std::string(DOCS_DIR) + "/CONFIG.md");
  std::vector<std::string> rows;
  std::string section;
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("## [")) section = line.substr(3);
    if (line.starts_with("| `")) rows.push_back(section + line);
  }
  std::vector<std::string> expected;
  for (const key_spec& spec : ebonygrade::settings::keys()) {
    expected.push_back("[" + std::string(spec.section) + "]" +
                       documentation_row(spec));
  }
  CHECK(rows == expected);
}

TEST_CASE("the example settings are valid") {
  for (const char* name : {"zora", "instituto"}) {
    load_report report = ebonygrade::settings::load(
        std::string(DOCS_DIR) + "/../examples/" + name + "/entry-1.ini");
    for (const failure& each : report.problems) UNSCOPED_INFO(to_string(each));
    CHECK(report.problems.empty());
    CHECK(report.value.cell.name == name);
  }
}
