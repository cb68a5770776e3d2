// Entry point of the command-line tool; see docs/CLI.md.
#include <iostream>
#include <string>
#include <vector>

#include "tool/tool.h"

int main(int argc, char** argv) {
  std::vector<std::string> arguments(argv + 1, argv + argc);
  return ebonygrade::tool::run(arguments, std::cout, std::cerr);
}
