// Reads the files that the command line names.
#pragma once

#include <string>

#include "error/error.h"

namespace ebonygrade::tool {

// Reads a whole file. On failure `step` is the path.
error::result<std::string> read_file(const std::string& path);

}  // namespace ebonygrade::tool
