#include "config/target_cache.h"

namespace sassafrasdyke::config {

const TargetEntry* TargetCache::Find(const std::string& path,
                                     const std::string& body) {
  const auto found = this->targets.find(path);
  if (found == this->targets.end() || found->second.body != body) {
    return nullptr;
  }
  found->second.used = this->document;
  return &found->second.target;
}

void TargetCache::Put(const std::string& path, const std::string& body,
                      const TargetEntry& target) {
  this->targets.insert_or_assign(path, Kept{body, target, this->document});
}

void TargetCache::EndDocument() {
  std::erase_if(this->targets, [this](const auto& entry) {
    return entry.second.used != this->document;
  });
  ++this->document;
}

}  // namespace sassafrasdyke::config
