// Keeps a complete VM list up to date from replies that have only the changes.
#pragma once

#include "wire/platform.pb.h"

namespace ebonygrade::platform {

// Replaces `list` by `update`, or applies the changes if `update` is a delta.
// The result is a complete list. The order of the entries is not preserved.
void merge(wire::vm_list& list, const wire::vm_list& update);

}  // namespace ebonygrade::platform
