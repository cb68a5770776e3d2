// Keeps the whole VM list up to date from reads that hold only changes.
#pragma once

#include "wire/platform.pb.h"

namespace ebonygrade::platform {

// Takes a read into `whole`: all of it, or its changes if it is a delta. The
// result is no delta. The order of entries is not kept.
void merge(wire::vm_list& whole, const wire::vm_list& read);

}  // namespace ebonygrade::platform
