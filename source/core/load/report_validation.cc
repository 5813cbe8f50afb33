#include "core/load/report_validation.h"

#include <algorithm>
#include <chrono>

namespace sassafrasdyke::core {
namespace {

/// Largest plausible number of instances in one domain.
constexpr double kMaxInstances = 2048;
constexpr std::size_t kMaxNameBytes = 64;
/// Largest plausible number in a report.
constexpr double kMaxValue = 1e6;

// Comparisons with a value that is no number are false.
bool IsValid(double value) { return value >= 0 && value <= kMaxValue; }

}  // namespace

bool IsDomainName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes;
}

bool IsValid(const LoadReport& report) {
  return report.entries.size() <= kMaxLoadEntries &&
         std::ranges::all_of(report.entries, [](const LoadEntry& entry) {
           return IsDomainName(entry.target_domain) &&
                  IsValid(entry.requests_per_s) && IsValid(entry.concurrency);
         });
}

bool IsValid(const DomainReport& report) {
  const auto is_count = [](std::size_t count) {
    return count >= 1 && static_cast<double>(count) <= kMaxInstances;
  };
  return IsDomainName(report.domain) && is_count(report.instances) &&
         is_count(report.reporters) &&
         report.age >= std::chrono::milliseconds{0} && IsValid(report.mean);
}

}  // namespace sassafrasdyke::core
