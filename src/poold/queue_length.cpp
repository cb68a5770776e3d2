#include "poold/queue_length.h"

#include <utility>

namespace ebonygrade::poold {

std::optional<queue_length> choose_queue_length(
    const std::optional<queue_length>& from_copy,
    const std::optional<queue_length>& from_report) {
  bool copy_first =
      from_copy && (!from_report || from_copy->age <= from_report->age);
  const std::optional<queue_length>& chosen =
      copy_first ? from_copy : from_report;
  if (!chosen || chosen->age > kMaxQueueLengthAge) return std::nullopt;
  return chosen;
}

std::optional<queue_length> find_length(const queue_report& report,
                                        const std::string& queue,
                                        steady_time now) {
  if (report.as_of == steady_time()) return std::nullopt;
  std::map<std::string, std::int64_t>::const_iterator found =
      report.not_started.find(queue);
  return queue_length{
      found == report.not_started.end() ? 0 : found->second,
      std::chrono::duration_cast<milliseconds>(now - report.as_of),
      length_source::owner};
}

void add_queue_lengths(
    const std::unordered_map<std::string, std::int64_t>& not_started,
    milliseconds age, wire::owner_status* status) {
  if (age > kMaxQueueLengthAge) return;
  status->set_queues_age_ms(static_cast<std::uint32_t>(age.count()));
  for (const std::pair<const std::string, std::int64_t>& each : not_started) {
    wire::queue_length* queue = status->add_queues();
    queue->set_queue(each.first);
    queue->set_not_started(each.second);
  }
}

void observe_queue_lengths(const wire::owner_status& status, steady_time asked,
                           queue_report* report) {
  if (!status.has_queues_age_ms()) return;
  steady_time as_of = asked - milliseconds(status.queues_age_ms());
  if (as_of < report->as_of) return;
  report->as_of = as_of;
  report->not_started.clear();
  for (const wire::queue_length& each : status.queues()) {
    report->not_started[each.queue()] = each.not_started();
  }
}

}  // namespace ebonygrade::poold
