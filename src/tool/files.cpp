#include "tool/files.h"

#include <fstream>
#include <iterator>

namespace ebonygrade::tool {

namespace {

constexpr std::size_t kMaxFileBytes = 16 << 20;

}  // namespace

error::result<std::string> read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  // A directory can be opened but not read.
  if (!file.is_open() || file.bad() || (file.gcount() == 0 && !file.eof())) {
    return error::failure{error::code::invalid_argument, path, "",
                          "can't be read"};
  }
  if (!file.eof()) {
    return error::failure{error::code::invalid_argument, path, "",
                          "is larger than 16 MiB"};
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

}  // namespace ebonygrade::tool
