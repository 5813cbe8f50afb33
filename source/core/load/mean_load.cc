#include "core/load/mean_load.h"

#include <algorithm>
#include <string>

namespace sassafrasdyke::core {

void SortAndCut(LoadReport& report) {
  std::ranges::sort(report.entries, LargerLoad{});
  if (report.entries.size() > kMaxLoadEntries) {
    report.entries.resize(kMaxLoadEntries);
  }
}

void MeanLoad::Add(const LoadEntry& entry) {
  Sums& sums = this->by_key[{entry.service, entry.target_domain}];
  sums.requests += entry.requests_per_s;
  if (entry.concurrency > 0) {
    sums.timed_requests += entry.requests_per_s;
    sums.concurrency += entry.concurrency;
  }
}

LoadReport MeanLoad::Of(std::size_t reporters) const {
  LoadReport mean;
  for (const auto& [key, sums] : this->by_key) {
    const auto& [service, domain] = key;
    const double rate = sums.requests / static_cast<double>(reporters);
    const double time =
        sums.timed_requests > 0 ? sums.concurrency / sums.timed_requests : 0.0;
    mean.entries.push_back({service, std::string(domain), rate, rate * time});
  }
  SortAndCut(mean);
  return mean;
}

}  // namespace sassafrasdyke::core
