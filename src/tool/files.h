// Reads the files that are named on the command line.
#pragma once

#include <string>

#include "error/error.h"

namespace ebonygrade::tool {

// The whole content. On failure the step is the path.
error::result<std::string> read_file(const std::string& path);

}  // namespace ebonygrade::tool
