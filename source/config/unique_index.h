/// Finds values that must be unique and aren't.
#pragma once

#include <string>
#include <unordered_map>

#include "config/json_text.h"
#include "core/fleet/fleet.h"

namespace sassafrasdyke::config {

/// Remembers who holds each value of one kind.
class UniqueIndex {
 public:
  /// Notes that `holder` has `value`, as text, at `path`; a fault if another
  /// holder has it.
  void Add(const std::string& value, const std::string& holder,
           const std::string& path, core::DocumentFaults& faults) {
    const auto [place, added] = this->holders.emplace(value, holder);
    if (!added) {
      faults.push_back(
          {path, "is the same as that of " + Quoted(place->second)});
    }
  }

 private:
  std::unordered_map<std::string, std::string> holders;
};

}  // namespace sassafrasdyke::config
