// Text that a person reads, made from the daemons' replies.
#pragma once

#include <string>
#include <string_view>

#include "wire/api.pb.h"

namespace ebonygrade::tool {

// One line: "ID: answered, 2 tasks" with the reason and time to come back.
std::string outcome_line(const wire::request_status& status);
// The line above and one for each task's answer.
std::string status_text(const wire::request_status& status);
// A table of the versions.
std::string bundles_text(const wire::bundle_list& list);
// "version 7 of zora by ana, approved by ivo, in force as roll 9"
std::string bundle_line(const wire::bundle_status& status);
// What one daemon sees of the cell.
std::string cell_text(const wire::cell_status& status);
// Bytes as text: as they are if printable, otherwise their number.
std::string printable(std::string_view bytes);
// A text as a JSON string, with quotes.
std::string json_string(std::string_view text);

}  // namespace ebonygrade::tool
