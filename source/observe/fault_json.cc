#include "observe/fault_json.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::observe {

void WriteFaults(const core::DocumentRefused& refused,
                 nlohmann::ordered_json& json) {
  // One wrong key in a generator's template is a fault of each target. Naming
  // all of them makes a line of megabytes at every instance that refuses; one
  // would see the log's collector cut or drop the line that tells the cause.
  const std::size_t named = std::min(refused.faults.size(), kNamedFaults);
  auto faults = nlohmann::ordered_json::array();
  for (std::size_t i = 0; i < named; ++i) {
    const core::DocumentFault& fault = refused.faults[i];
    faults.push_back({{"path", fault.path}, {"what", fault.what}});
  }
  json["faults"] = std::move(faults);
  json["faults_not_named"] = refused.faults.size() - named;
}

}  // namespace sassafrasdyke::observe
