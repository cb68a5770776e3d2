// Routes that daemons call at each other's peer address.
#pragma once

namespace ebonygrade::poold {

inline constexpr char kAdvicePath[] = "/v1/advice";
inline constexpr char kPresencePath[] = "/v1/presence";
inline constexpr char kMetricsPath[] = "/metrics";

}  // namespace ebonygrade::poold
