#include "standin/platform/log_store.h"

#include <algorithm>
#include <utility>

namespace ebonygrade::standin::platform {

namespace {

// Appends that may come at once, in seconds of the append rate.
constexpr double kBurstSeconds = 0.25;
// Limit of one read, so that a reply stays well below the client's limit.
constexpr std::size_t kMaxReadBytes = 4 << 20;

double max_tokens(const log_options& options) {
  return std::max(1.0, options.appends_per_second * kBurstSeconds);
}

void drop_oldest(log_stream& stream) {
  stream.bytes -= stream.records.front().data.size();
  stream.records.pop_front();
  ++stream.first;
}

void enforce_limits(log_stream& stream, const log_options& options,
                    steady_time now) {
  while (!stream.records.empty() &&
         (stream.records.front().written_at + options.retention <= now ||
          stream.records.size() > options.max_records ||
          stream.bytes > options.max_bytes)) {
    drop_oldest(stream);
  }
}

}  // namespace

log_store make_log_store(const log_options& options, steady_time now) {
  log_store store;
  store.options = options;
  store.tokens = max_tokens(options);
  store.refilled_at = now;
  return store;
}

bool take_append_token(log_store& store, steady_time now) {
  std::chrono::duration<double> passed = now - store.refilled_at;
  store.refilled_at = now;
  store.tokens = std::min(
      max_tokens(store.options),
      store.tokens + passed.count() * store.options.appends_per_second);
  if (store.tokens < 1) return false;
  store.tokens -= 1;
  return true;
}

error::result<std::uint64_t> append(log_store& store, std::string_view stream,
                                    std::string data, steady_time now) {
  auto found = store.streams.find(stream);
  if (found == store.streams.end()) {
    if (store.streams.size() >= store.options.max_streams) {
      return error::failure{error::code::rejected, "append", "",
                            "too many streams"};
    }
    found = store.streams.emplace(std::string(stream), log_stream()).first;
  }
  log_stream& target = found->second;
  std::uint64_t offset = target.first + target.records.size();
  target.bytes += data.size();
  target.records.push_back({now, std::move(data)});
  enforce_limits(target, store.options, now);
  return offset;
}

wire::log_read_reply read(log_store& store, std::string_view stream,
                          std::uint64_t from, std::size_t max_count,
                          steady_time now) {
  wire::log_read_reply reply;
  auto found = store.streams.find(stream);
  if (found == store.streams.end()) return reply;
  log_stream& source = found->second;
  enforce_limits(source, store.options, now);
  std::uint64_t next = source.first + source.records.size();
  reply.set_first(source.first);
  reply.set_next(next);
  std::size_t bytes = 0;
  for (std::uint64_t offset = std::max(from, source.first);
       offset < next && max_count > 0 && bytes < kMaxReadBytes;
       ++offset, --max_count) {
    const log_record& record = source.records[offset - source.first];
    wire::log_entry* entry = reply.add_records();
    entry->set_offset(offset);
    entry->set_data(record.data);
    bytes += record.data.size();
  }
  return reply;
}

}  // namespace ebonygrade::standin::platform
