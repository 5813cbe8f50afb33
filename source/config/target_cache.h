/// Keeps what was read of targets, so that a change of one doesn't cost the
/// parsing of thousands.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "config/published_keys.h"

namespace sassafrasdyke::config {

/// Targets without faults, by their entry's path and body.
class TargetCache {
 public:
  /// What was read of the same body at the same path; null if nothing was.
  const TargetEntry* Find(const std::string& path, const std::string& body);
  void Put(const std::string& path, const std::string& body,
           const TargetEntry& target);
  /// Ends the reading of one document: forgets what it didn't hold.
  void EndDocument();
  std::size_t Size() const { return this->targets.size(); }

 private:
  struct Kept {
    std::string body;
    TargetEntry target;
    std::uint64_t used{0};  ///< The document that last held it.
  };

  std::unordered_map<std::string, Kept> targets;
  std::uint64_t document{1};
};

}  // namespace sassafrasdyke::config
