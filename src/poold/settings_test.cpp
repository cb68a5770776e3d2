#include "poold/settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace ebonygrade::poold {

namespace {

constexpr char kValid[] =
    "[daemon]\nid = n1\nzone = z\nregion = r\ncpu_share = 0.25\n"
    "[listen]\nclients = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n"
    "peers = 127.0.0.1:3\n[store]\naddress = 127.0.0.1:4\n"
    "[advice]\naddress =\n[workers]\nlease = 6s\n"
    "[shutdown]\ngrace = 6s\n[jobs]\nstatus_time = 120s\n";

TEST_CASE("valid settings are read") {
  settings_report report = parse_settings(kValid, "test.ini");
  CHECK(report.problems.empty());
  CHECK(report.value.id == "n1");
  CHECK(report.value.cpu_share == 0.25);
  CHECK(report.value.store_address == "127.0.0.1:4");
  CHECK(report.value.advice_address.empty());
  CHECK(report.value.lease == milliseconds(6000));
  CHECK(report.value.status_time == milliseconds(120000));
  CHECK_FALSE(report.value.admission_enabled);
  report = parse_settings(std::string(kValid) + "[admission]\nenabled = true\n",
                          "test.ini");
  CHECK(report.problems.empty());
  CHECK(report.value.admission_enabled);
}

// The platform may allow no excess over a quota.
TEST_CASE("settings of tenants are read") {
  std::string text = std::string(kValid) +
                     "[tenants]\nrequired = true\nstrict_revoke = true\n"
                     "revoke_time = 800ms\nquota_excess = 0\n";
  settings_report report = parse_settings(text, "test.ini");
  CHECK(report.problems.empty());
  CHECK(report.value.tenants_required);
  CHECK(report.value.strict_revoke);
  CHECK(report.value.revoke_time == milliseconds(800));
  CHECK(report.value.quota_excess == 0);
  text.replace(text.find("quota_excess = 0"), 16, "quota_excess = -1");
  CHECK(parse_settings(text, "test.ini").problems.size() == 1);
}

TEST_CASE("durations may be fractions of a second") {
  std::string text = kValid;
  text.replace(text.find("6s"), 2, "1.5s");
  settings_report report = parse_settings(text, "test.ini");
  CHECK(report.problems.empty());
  CHECK(report.value.lease == milliseconds(1500));
  for (const char* bad : {"1.5", "s", "1.2.3s", "1h", "-1s", "1.0005s"}) {
    std::string wrong = kValid;
    wrong.replace(wrong.find("6s"), 2, bad);
    CAPTURE(bad);
    CHECK(parse_settings(wrong, "test.ini").problems.size() == 1);
  }
}

TEST_CASE("waits for near places are off unless they have a bound") {
  std::string text = kValid;
  settings_report report = parse_settings(text, "test.ini");
  CHECK(report.value.near_wait == milliseconds(0));
  // As the template is filled in, with one section for each key.
  text += "[placement]\nfar_factor = 2.5\n[placement]\nrestore_time = 0ms\n";
  report = parse_settings(text, "test.ini");
  CHECK(report.problems.empty());
  CHECK(report.value.near_wait == milliseconds(0));
  CHECK(report.value.far_factor == 2.5);
  CHECK(report.value.restore_time == milliseconds(0));
  report = parse_settings(text + "near_wait = 2s\n", "test.ini");
  CHECK(report.value.near_wait == milliseconds(2000));
  report = parse_settings(text + "near_wait = off\n", "test.ini");
  CHECK(report.problems.empty());
  CHECK(report.value.near_wait == milliseconds(0));
}

TEST_CASE("each problem names its key") {
  std::string text = kValid;
  text.replace(text.find("127.0.0.1:4"), 11, "nowhere");
  text.replace(text.find("id = n1"), 7, "id =");
  text.replace(text.find("6s"), 2, "-1");
  text.replace(text.find("0.25"), 4, "0.2x");
  text += "[extra]\nkey = 1\n";
  settings_report report = parse_settings(text, "test.ini");
  REQUIRE(report.problems.size() == 5);
  std::string all;
  for (const error::failure& each : report.problems) all += each.detail + "\n";
  for (const char* key :
       {"[daemon] id", "[daemon] cpu_share", "[store] address",
        "[workers] lease", "[extra] key"}) {
    CAPTURE(key, all);
    CHECK(all.find(key) != std::string::npos);
  }
}

TEST_CASE("a file that can't be opened is reported") {
  CHECK(load_settings("/no/such/file.ini").problems.size() == 1);
}

}  // namespace

}  // namespace ebonygrade::poold
