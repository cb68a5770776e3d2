// Consistency checks between settings, after each key was parsed.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace ebonygrade::settings {

// Collects the problems of one file.
class problem_list {
 public:
  problem_list(std::string_view file, std::vector<error::failure>* problems)
      : file_(file), problems_(problems) {}

  // Adds "[SECTION] KEY: expected WHAT, found 'TEXT'".
  void add(std::string_view section, std::string_view key,
           std::string_view expected, std::string_view found);
  // Adds a problem whose whole text is `detail`.
  void add_text(std::string detail);

 private:
  std::string file_;
  std::vector<error::failure>* problems_;
};

// Sorts the regions as in [cell] regions, sets the default advertised
// addresses, and checks that regions, zones, addresses and times are
// consistent.
void check_consistency(settings* value, problem_list* problems);

}  // namespace ebonygrade::settings
