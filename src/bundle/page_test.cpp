// Compares the operators' page with the key tables of the parser.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "bundle/keys.h"

namespace ebonygrade::bundle {
namespace {

// The first four columns of each key's row, each prefixed with its heading.
std::set<std::string> rows_in_page() {
  std::ifstream in(std::string(EBONYGRADE_SOURCE_DIR) +
                   "/docs/operators/bundles.md");
  std::set<std::string> rows;
  std::string heading;
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("### ")) heading = line.substr(4, line.find(':') - 4);
    if (!line.starts_with("| `")) continue;
    std::size_t end = 0;
    for (int column = 0; column < 4; ++column) end = line.find(" |", end + 1);
    rows.insert(heading + " " + line.substr(0, end));
  }
  return rows;
}

template <typename T>
void add_rows(std::string_view heading, std::span<const key<T>> keys,
              std::set<std::string>* rows) {
  for (const key<T>& k : keys) {
    rows->insert(
        fmt::format("`{}` | `{}` | {} | {} | {} to {}", heading, k.name,
                    to_string(k.type), format_value(k.type, k.get(T{})),
                    format_value(k.type, k.min), format_value(k.type, k.max)));
  }
}

TEST_CASE("the operators' page lists type, default and range of every key") {
  std::set<std::string> expected;
  add_rows("[placement]", placement_keys(), &expected);
  add_rows("[class.NAME]", class_keys(), &expected);
  add_rows("[team.NAME]", team_keys(), &expected);
  CHECK(rows_in_page() == expected);
}

}  // namespace
}  // namespace ebonygrade::bundle
