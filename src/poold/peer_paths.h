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
// Asks a standby whether it can claim the pool, and, with a record that is
// marked as released, tells it that the pool is released for it to claim.
inline constexpr char kHandoverPath[] = "/v1/handover";
// Tells the owner of cancellations that the sender has appended.
inline constexpr char kCancellationsPath[] = "/v1/cancellations";
// Header of the question of an owner that may be unable to read the store: the
// standby is to read the directory of workers before it confirms.
inline constexpr char kCheckDirectoryHeader[] = "Check-Directory";
inline constexpr char kEndPath[] = "/v1/end";
// Returns the manifest in force as the store has it.
inline constexpr char kManifestPath[] = "/v1/manifest";
// Header of a presence message and of its reply: the version of the sender's
// manifest; 0 without one.
inline constexpr char kManifestVersionHeader[] = "Manifest-Version";
inline constexpr char kMetricsPath[] = "/metrics";

}  // namespace ebonygrade::poold
