// What the cases do. Each returns the exit code of its script: 1 if the rule
// was broken, 0 if it held, 2 if the case couldn't run. Without `trouble` the
// scene leaves the disruption out.
#pragma once

#include <string>

#include "cell.h"

namespace ebonygrade::review {

struct scene_input {
  std::string folder;
  std::string record;
  bool trouble = true;
};

int run_waves(const scene_input& input);
int run_wave_hold(const scene_input& input);
int run_foreign_entry(const scene_input& input);
int run_deadly_task(const scene_input& input);
int run_lost_executor(const scene_input& input);

}  // namespace ebonygrade::review
