// Runs one scene: stage SCENE FOLDER RECORD. TROUBLE=0 in the environment
// leaves the disruption out.
#include <cstdlib>
#include <iostream>
#include <string>

#include "scenes.h"

int main(int argc, char** argv) {
  namespace review = ebonygrade::review;
  constexpr int kCannotRun = 2;
  if (argc != 4) {
    std::cerr << "stage: expected SCENE FOLDER RECORD\n";
    return kCannotRun;
  }
  review::scene_input input;
  input.folder = argv[2];
  input.record = argv[3];
  const char* trouble = std::getenv("TROUBLE");
  input.trouble = trouble == nullptr || std::string(trouble) != "0";
  std::string scene = argv[1];
  if (scene == "wave_hold") return review::run_wave_hold(input);
  if (scene == "waves") return review::run_waves(input);
  if (scene == "foreign_entry") return review::run_foreign_entry(input);
  if (scene == "deadly_task") return review::run_deadly_task(input);
  if (scene == "lost_executor") return review::run_lost_executor(input);
  std::cerr << "stage: no scene called " << scene << "\n";
  return kCannotRun;
}
