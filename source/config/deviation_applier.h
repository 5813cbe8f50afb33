/// Applies the published exceptions, and refuses those that don't deviate.
#pragma once

#include <set>
#include <string>
#include <utility>

#include "config/key_table.h"
#include "config/published_keys.h"
#include "core/fleet/fleet.h"

namespace sassafrasdyke::config {

/// Applies one exception after another, and remembers what they changed.
class DeviationApplier {
 public:
  /// `faults` takes every fault and must outlive the applier.
  explicit DeviationApplier(core::DocumentFaults& faults) : faults(faults) {}

  /// Sets the keys of `entry`, which stands at the JSON path `at`, in
  /// `subject`, whose keys `table` declares. Each key must be adjustable, must
  /// change its value, and must not have been set by an earlier exception.
  template <typename Struct>
  void Apply(const ExceptionEntry& entry, const std::string& at,
             const KeyTable<Struct>& table, Struct& subject) {
    for (const auto& [name, value] : entry.set.items()) {
      const std::string path = ChildPath(at + "/set", name);
      const Key<Struct>* key = table.Find(name);
      if (key == nullptr || key->use != KeyUse::kAdjustable) {
        this->faults.push_back({path, "is not a key that exceptions may set"});
        continue;
      }
      this->ApplyKey(entry, path, *key, value, subject);
    }
  }

 private:
  template <typename Struct>
  void ApplyKey(const ExceptionEntry& entry, const std::string& path,
                const Key<Struct>& key, const Json& value, Struct& subject) {
    if (!this->changed.emplace(entry.subject, key.name).second) {
      this->faults.push_back({path, "is set by another exception already"});
      return;
    }
    Struct next = subject;
    const std::size_t before = this->faults.size();
    key.Read(value, path, next, this->faults);
    if (this->faults.size() > before) {
      return;
    }
    // An exception that has become the default hides in the list, and comes
    // back to life when the default moves: nobody would expect it then.
    if (key.Same(subject, next)) {
      this->faults.push_back({path, "changes nothing"});
      return;
    }
    subject = std::move(next);
  }

  std::set<std::pair<std::string, std::string>> changed;
  core::DocumentFaults& faults;
};

}  // namespace sassafrasdyke::config
