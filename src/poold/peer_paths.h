// HTTP routes at the peer address of a daemon.
#pragma once

#include <string_view>

namespace ebonygrade::poold {

inline constexpr char kAdvicePath[] = "/v1/advice";
inline constexpr char kPresencePath[] = "/v1/presence";
// Followed by the path and query of the call to the store.
inline constexpr std::string_view kStorePath = "/v1/store";
// Header of a relayed read whose sender accepts interim replies.
inline constexpr char kAcceptsInterimHeader[] = "Accepts-Interim";
// Header of a record that an earlier attempt may have written, and of the
// announcement of a daemon that waits for an answer to an append of its own.
inline constexpr char kMaybeStoredHeader[] = "Maybe-Stored";
inline constexpr char kRecordPath[] = "/v1/record";
inline constexpr char kJobPath[] = "/v1/job";
inline constexpr char kEndPath[] = "/v1/end";
inline constexpr char kMetricsPath[] = "/metrics";

}  // namespace ebonygrade::poold
