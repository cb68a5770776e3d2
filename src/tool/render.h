// Formats the daemons' replies as text for operators.
#pragma once

#include <string>
#include <string_view>

#include "wire/api.pb.h"

namespace ebonygrade::tool {

// One line such as "ID: answered, 2 tasks", with the reason and the retry
// delay.
std::string outcome_line(const wire::request_status& status);
// The line of outcome_line() and a line for each task's answer.
std::string status_text(const wire::request_status& status);
// A line for each published version.
std::string bundles_text(const wire::bundle_list& list);
// "version 7 of zora by ana, approved by ivo, in force as roll 9"
std::string bundle_line(const wire::bundle_status& status);
// The cell as one daemon sees it.
std::string cell_text(const wire::cell_status& status);
// The bytes themselves if all are printable, shortened if necessary; otherwise
// their number.
std::string printable(std::string_view bytes);
// A quoted JSON string.
std::string json_string(std::string_view text);

}  // namespace ebonygrade::tool
