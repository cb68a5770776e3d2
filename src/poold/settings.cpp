#include "poold/settings.h"

#include <SimpleIni.h>

#include <cmath>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

#include "settings/value.h"

namespace ebonygrade::poold {

namespace {

// Reads single keys and collects problems, including unknown keys at the end.
class ini_reader {
 public:
  ini_reader(const std::string& text, std::string file,
             std::vector<error::failure>* problems)
      : file_(std::move(file)), problems_(problems) {
    if (ini_.LoadData(text) < 0) add_problem("", "not a valid INI file");
  }

  std::optional<std::string> find(const char* section, const char* key) {
    known_keys_.insert(std::string(section) + "." + key);
    const char* value = ini_.GetValue(section, key);
    if (value == nullptr || *value == '\0') return std::nullopt;
    return std::string(value);
  }

  void text(const char* section, const char* key, std::string* out) {
    std::optional<std::string> value = find(section, key);
    if (!value) return add_problem(name(section, key), "is missing");
    *out = *value;
  }

  void address(const char* section, const char* key, bool required,
               std::string* out) {
    std::optional<std::string> value = find(section, key);
    if (!value) {
      if (required) add_problem(name(section, key), "is missing");
      return;
    }
    if (!settings::parse_endpoint(*value)) {
      return add_problem(name(section, key),
                         "expected IP:PORT, found '" + *value + "'");
    }
    *out = *value;
  }

  void duration(const char* section, const char* key, milliseconds* out) {
    std::optional<std::string> value = find(section, key);
    if (!value) return;
    std::optional<milliseconds> parsed = settings::parse_duration(*value);
    if (!parsed || parsed->count() <= 0) {
      return add_problem(
          name(section, key),
          "expected a duration such as 500ms, found '" + *value + "'");
    }
    *out = *parsed;
  }

  // Reads a duration, or `zero` as no time.
  void duration_or(const char* section, const char* key, std::string_view zero,
                   milliseconds* out) {
    if (find(section, key) == zero) {
      *out = milliseconds(0);
    } else {
      duration(section, key, out);
    }
  }

  // Reads a positive number, or one from 0 on. Keeps the default if the key is
  // missing.
  void number(const char* section, const char* key, double* out,
              bool zero_allowed = false) {
    std::optional<std::string> value = find(section, key);
    if (!value) return;
    char* end = nullptr;
    double parsed = std::strtod(value->c_str(), &end);
    bool valid = end == value->c_str() + value->size() &&
                 (parsed > 0 || (zero_allowed && parsed == 0)) &&
                 std::isfinite(parsed);
    if (!valid) {
      std::string range = zero_allowed ? "of 0 or above" : "above 0";
      return add_problem(name(section, key), "expected a number " + range +
                                                 ", found '" + *value + "'");
    }
    *out = parsed;
  }

  // Reads true or false. Keeps the default if the key is missing.
  void flag(const char* section, const char* key, bool* out) {
    std::optional<std::string> value = find(section, key);
    if (!value) return;
    if (*value != "true" && *value != "false") {
      return add_problem(name(section, key),
                         "expected true or false, found '" + *value + "'");
    }
    *out = *value == "true";
  }

  void report_unknown() {
    CSimpleIniA::TNamesDepend sections;
    ini_.GetAllSections(sections);
    for (const CSimpleIniA::Entry& section : sections) {
      CSimpleIniA::TNamesDepend keys;
      ini_.GetAllKeys(section.pItem, keys);
      for (const CSimpleIniA::Entry& key : keys) {
        std::string full_key = std::string(section.pItem) + "." + key.pItem;
        if (known_keys_.count(full_key) == 0) {
          add_problem(name(section.pItem, key.pItem), "is unknown");
        }
      }
    }
  }

 private:
  static std::string name(const char* section, const char* key) {
    return "[" + std::string(section) + "] " + key;
  }
  void add_problem(const std::string& where, const std::string& what) {
    problems_->push_back({error::code::invalid_argument, "read settings", file_,
                          where.empty() ? what : where + ": " + what});
  }

  std::string file_;
  std::vector<error::failure>* problems_;
  CSimpleIniA ini_;
  std::set<std::string> known_keys_;
};

}  // namespace

settings_report parse_settings(const std::string& text,
                               const std::string& file) {
  settings_report report;
  node_settings& out = report.value;
  ini_reader ini(text, file, &report.problems);
  ini.text("daemon", "id", &out.id);
  ini.text("daemon", "zone", &out.zone);
  ini.text("daemon", "region", &out.region);
  ini.number("daemon", "cpu_share", &out.cpu_share);
  ini.address("listen", "clients", true, &out.client_address);
  ini.address("listen", "readiness", true, &out.ready_address);
  ini.address("listen", "peers", true, &out.peer_address);
  ini.address("store", "address", true, &out.store_address);
  ini.address("advice", "address", false, &out.advice_address);
  ini.address("machines", "address", false, &out.machines_address);
  ini.duration("machines", "upkeep_time", &out.upkeep_time);
  ini.duration("workers", "lease", &out.lease);
  ini.duration("shutdown", "grace", &out.drain_grace);
  ini.duration("jobs", "status_time", &out.status_time);
  ini.duration("jobs", "cancel_time", &out.cancel_time);
  ini.duration("workers", "drain_time", &out.drain_time);
  ini.duration("workers", "heartbeat", &out.worker_heartbeat);
  ini.flag("tenants", "required", &out.tenants_required);
  ini.flag("tenants", "strict_revoke", &out.strict_revoke);
  ini.duration("tenants", "revoke_time", &out.revoke_time);
  ini.number("tenants", "quota_excess", &out.quota_excess, true);
  ini.duration_or("placement", "near_wait", "off", &out.near_wait);
  ini.number("placement", "far_factor", &out.far_factor);
  ini.duration_or("placement", "restore_time", "0ms", &out.restore_time);
  ini.flag("admission", "enabled", &out.admission_enabled);
  if (std::optional<std::string> level = ini.find("log", "level")) {
    out.log_level = *level;
  }
  ini.report_unknown();
  return report;
}

settings_report load_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    settings_report report;
    report.problems.push_back({error::code::unavailable, "read settings", path,
                               "can't open the file"});
    return report;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parse_settings(text.str(), path);
}

}  // namespace ebonygrade::poold
