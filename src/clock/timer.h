// Timer of the daemons' clock: a wait that spans a suspension of the VM ends
// soon after it, and absolute times are those of `clock::now`.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>

#include "clock/clock.h"

namespace ebonygrade::clock {

using timer = boost::asio::basic_waitable_timer<boot_clock>;

}  // namespace ebonygrade::clock
