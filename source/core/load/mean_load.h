/// The mean of the load reports of several instances.
#pragma once

#include <cstddef>
#include <map>
#include <string_view>
#include <utility>

#include "core/load/load_report.h"

namespace sassafrasdyke::core {

/// Sorts the entries, the largest first, and drops those that are too many.
void SortAndCut(LoadReport& report);

/// Sums the entries of several reports. An instance that has not seen an answer
/// lately reports requests without concurrency; its requests are taken to need
/// the time that those of the others need.
class MeanLoad {
 public:
  /// The entry must outlive this.
  void Add(const LoadEntry& entry);
  LoadReport Of(std::size_t reporters) const;

 private:
  struct Sums {
    double requests{0};
    double timed_requests{0};  ///< Of reports that state a concurrency.
    double concurrency{0};
  };
  /// Domains point into the reports.
  std::map<std::pair<ServiceKey, std::string_view>, Sums> by_key;
};

}  // namespace sassafrasdyke::core
