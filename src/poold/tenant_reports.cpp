#include "poold/tenant_reports.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "events/events.h"
#include "metrics/text.h"

namespace ebonygrade::poold {

namespace {

constexpr std::size_t kMaxTenants = 64;
constexpr char kOtherTenants[] = "other";

struct gauges {
  std::uint64_t runs = 0;
  std::uint64_t waiting = 0;
  std::uint64_t held = 0;
};

struct gauge {
  const char* name;
  const char* help;
  std::uint64_t gauges::*value;
};

constexpr gauge kGauges[] = {
    {"ebonygrade_pool_tenant_runs", "Runs that count against the quota.",
     &gauges::runs},
    {"ebonygrade_pool_tenant_waiting_steps",
     "Steps with tasks that wait for a place.", &gauges::waiting},
    {"ebonygrade_pool_tenant_held_steps",
     "Steps with tasks that the tenant's quota holds back.", &gauges::held},
};

// The value of a label, with the escapes of the text format.
std::string escaped(const std::string& name) {
  std::string text;
  for (char each : name) {
    if (each == '\n') {
      text += "\\n";
      continue;
    }
    if (each == '\\' || each == '"') text += '\\';
    text += each;
  }
  return text;
}

std::string in_words(const pool::resources& amount) {
  return fmt::format("{}/{}/{}", amount.cpu_milli, amount.memory_mb,
                     amount.gpus);
}

}  // namespace

void count_refusal(tenant_refusals* refusals, const std::string& tenant) {
  bool full = refusals->counts.count(tenant) == 0 &&
              refusals->counts.size() >= kMaxTenants;
  ++refusals->counts[full ? kOtherTenants : tenant];
}

void append_tenant_refusals(std::string* text,
                            const tenant_refusals& refusals) {
  if (refusals.counts.empty()) return;
  constexpr char kName[] = "ebonygrade_pool_tenant_refused_total";
  metrics::append_header(text, kName, "counter",
                         "Submissions of the tenant that were refused.");
  for (const std::pair<const std::string, std::uint64_t>& each :
       refusals.counts) {
    text->append(fmt::format("{}{{tenant=\"{}\"}} {}\n", kName,
                             escaped(each.first), each.second));
  }
}

void emit_tenant_events(pool::pool_state* pool) {
  for (const pool::tenant_event& each :
       std::exchange(pool->tenant_events, {})) {
    if (each.holds) {
      events::emit(events::id::tenant_held, "decide", "",
                   "tenant={} holds=1 used={} limit={} held={} steps={}",
                   each.tenant, in_words(each.used), in_words(each.limit),
                   in_words(each.held), each.held_steps);
    } else {
      events::emit(events::id::tenant_held, "decide", "",
                   "tenant={} holds=0 used={} limit={} held_ms={}", each.tenant,
                   in_words(each.used), in_words(each.limit),
                   each.held_for.count());
    }
  }
}

void append_tenant_gauges(std::string* text, const pool::pool_state& pool) {
  if (!pool.has_tenants) return;
  std::map<std::string, gauges> rows;
  for (const std::pair<const std::string, pool::tenant_state>& each :
       pool.tenants) {
    rows[each.first] = {each.second.runs, each.second.waiting_steps,
                        each.second.held_steps};
  }
  std::vector<std::pair<std::string, gauges>> shown;
  for (const std::pair<const std::string, gauges>& each : rows) {
    if (shown.size() < kMaxTenants) {
      shown.emplace_back(escaped(each.first), each.second);
      continue;
    }
    if (shown.size() == kMaxTenants)
      shown.emplace_back(kOtherTenants, gauges());
    for (const gauge& kind : kGauges) {
      shown.back().second.*kind.value += each.second.*kind.value;
    }
  }
  for (const gauge& kind : kGauges) {
    metrics::append_header(text, kind.name, "gauge", kind.help);
    for (const std::pair<std::string, gauges>& each : shown) {
      text->append(fmt::format("{}{{tenant=\"{}\"}} {}\n", kind.name,
                               each.first, each.second.*kind.value));
    }
  }
}

}  // namespace ebonygrade::poold
