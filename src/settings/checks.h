// Checks of settings against each other, after each key was read.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace ebonygrade::settings {

// Gathers the problems of one file.
class problem_list {
 public:
  problem_list(std::string_view file, std::vector<error::failure>* problems)
      : file_(file), problems_(problems) {}

  // Adds "[SECTION] KEY: expected WHAT, found 'TEXT'".
  void add(std::string_view section, std::string_view key,
           std::string_view expected, std::string_view found);
  void add_text(std::string detail);

 private:
  std::string file_;
  std::vector<error::failure>* problems_;
};

// Puts the regions in order, fills in advertised addresses, and checks zones,
// addresses and times against each other.
void check_whole(settings* value, problem_list* problems);

}  // namespace ebonygrade::settings
