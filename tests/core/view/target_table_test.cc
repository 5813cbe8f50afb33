/// Compares the table with a reference that derives the phase of each target
/// from the published entries alone.
#include "core/view/target_table.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>

#include "core/fleet/jitter.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kRetention = 2s;
constexpr int kSteps = 200;

/// A published entry.
struct Entry {
  PublishedTarget target;
  bool readable{true};
  std::optional<milliseconds> removal_due;
};

/// The published entries by name, and what follows from them.
class Reference {
 public:
  TargetPhase PhaseOf(const std::string& name) const {
    const auto found = this->entries.find(name);
    if (found == this->entries.end()) {
      return TargetPhase::kGone;
    }
    const AddressStanding standing = this->StandingOf(name);
    if (standing == AddressStanding::kReplaced) {
      return TargetPhase::kGone;
    }
    if (standing == AddressStanding::kContested || !this->HasWord(name)) {
      return TargetPhase::kShadowed;
    }
    if (!found->second.readable) {
      return TargetPhase::kUnreadable;
    }
    return found->second.target.draining ? TargetPhase::kDraining
                                         : TargetPhase::kServing;
  }

  std::map<std::string, Entry> entries;
  std::unordered_set<std::string> services;

 private:
  AddressClaim ClaimOf(const std::string& name) const {
    const PublishedTarget& target = this->entries.at(name).target;
    return {this->IsKnown(target), target.started_at, target.revision, name};
  }

  bool IsKnown(const PublishedTarget& target) const {
    return this->services.contains(target.service);
  }

  AddressStanding StandingOf(const std::string& name) const {
    std::string holder = name;
    for (const auto& [other, entry] : this->entries) {
      if (entry.target.address == this->entries.at(name).target.address &&
          Outranks(this->ClaimOf(other), this->ClaimOf(holder))) {
        holder = other;
      }
    }
    return holder == name
               ? AddressStanding::kHolder
               : StandingBeside(this->ClaimOf(name), this->ClaimOf(holder));
  }

  /// Of the targets with this word that haven't ended, the one that started
  /// first has it. Those of configured services come before others.
  bool HasWord(const std::string& name) const {
    const PublishedTarget& target = this->entries.at(name).target;
    return std::ranges::none_of(this->entries, [&](const auto& other) {
      return other.second.target.number == target.number &&
             this->StandingOf(other.first) != AddressStanding::kReplaced &&
             std::pair(!this->IsKnown(other.second.target),
                       other.second.target.started_at) <
                 std::pair(!this->IsKnown(target), target.started_at);
    });
  }
};

/// A table and its reference, which get the same events.
class Histories {
 public:
  explicit Histories(std::uint64_t seed) : random(seed) {}

  void Step() {
    this->now += milliseconds(this->random.Below(400));
    const std::string name = "t" + std::to_string(this->random.Below(6));
    switch (this->random.Below(7)) {
      case 0:
      case 1:
      case 2:
        this->Publish(name);
        break;
      case 3:
        this->Remove(name, this->random.Below(3) == 0);
        break;
      case 4:
        this->MarkUnreadable(name);
        break;
      case 5:
        this->Configure();
        break;
      default:
        this->Expire();
    }
  }

  void Check() {
    std::size_t serving = 0;
    std::map<std::string, Entry> missing = this->reference.entries;
    for (std::uint32_t index = 1; index <= 1000; ++index) {
      if (!this->table.Has({index})) {
        continue;
      }
      const TargetEntry& entry = this->table.At({index});
      this->names[{index}] = entry.name;
      BOOST_TEST((entry.phase == this->reference.PhaseOf(entry.name)),
                 entry.name << " is " << Word(entry.phase));
      serving += entry.phase == TargetPhase::kServing ? 1 : 0;
      missing.erase(entry.name);
    }
    BOOST_TEST(this->table.ServingCount() == serving);
    BOOST_TEST(missing.empty(), "a published entry has no target");
  }

 private:
  void Publish(const std::string& name) {
    Entry entry;
    PublishedTarget& target = entry.target;
    // The last two names have the same word.
    target.number = {std::min<std::uint64_t>(name.back() - '0', 4) + 1};
    target.service = this->random.Below(2) == 0 ? "diary" : "handover";
    target.domain = "north";
    target.address = {common::IpAddress::FromV4(0x0A000001),
                      static_cast<std::uint16_t>(80 + this->random.Below(3))};
    target.draining = this->random.Below(4) == 0;
    target.revision = {++this->revision};
    if (target.number.value == 5 || this->random.Below(4) != 0) {
      // No two are equal.
      target.started_at = milliseconds(this->random.Below(20) * 1000) +
                          milliseconds(this->revision);
    }
    target.sequence = this->random.Below(10);
    const auto last = this->last.find(name);
    if (last != this->last.end() && this->random.Below(3) == 0) {
      target.started_at = last->second.started_at;
    }
    this->table.Publish(name, target, this->now);
    if (last != this->last.end() && IsPast(target, last->second)) {
      target = last->second;
      target.revision = {this->revision};
    }
    this->last[name] = target;
    this->reference.entries[name] = entry;
  }

  /// Whether `write` belongs to the target's life before `known`.
  static bool IsPast(const PublishedTarget& write,
                     const PublishedTarget& known) {
    if (!write.started_at || !known.started_at) {
      return false;
    }
    const milliseconds later = *known.started_at - *write.started_at;
    return later > kMaxClockDifference ||
           (later == 0ms && write.sequence < known.sequence);
  }

  void Remove(const std::string& name, bool deferred) {
    if (!deferred) {
      this->table.Remove(name, this->now, std::nullopt);
      this->reference.entries.erase(name);
      return;
    }
    this->table.Remove(name, this->now, this->now + 500ms);
    if (const auto entry = this->reference.entries.find(name);
        entry != this->reference.entries.end()) {
      entry->second.removal_due = this->now + 500ms;
    }
  }

  void MarkUnreadable(const std::string& name) {
    this->table.MarkUnreadable(name, this->now);
    if (const auto entry = this->reference.entries.find(name);
        entry != this->reference.entries.end()) {
      entry->second.readable = false;
      entry->second.removal_due.reset();
    }
  }

  void Configure() {
    std::unordered_set<std::string> services{"diary"};
    if (this->random.Below(2) == 0) {
      services.insert("handover");
    }
    this->table.SetServices(services, this->now);
    this->reference.services = services;
  }

  void Expire() {
    this->table.Expire(this->now, this->now);
    for (const TargetIndex index : this->table.TakeErased()) {
      this->last.erase(this->names.at(index));
    }
    std::erase_if(this->reference.entries, [this](const auto& entry) {
      return entry.second.removal_due && *entry.second.removal_due <= this->now;
    });
  }

  Jitter random;
  milliseconds now{0};
  std::uint64_t revision{0};
  TargetTable table{kRetention};
  Reference reference;
  /// The last state of each target that the table still has.
  std::map<std::string, PublishedTarget> last;
  std::map<TargetIndex, std::string> names;
};

// Guards against a phase that outlives its reason, and against an index that
// keeps a target after its end: an event on one target changes the phase of
// another that shares its address or word.
BOOST_DATA_TEST_CASE(phases_follow_from_the_published_entries,
                     boost::unit_test::data::xrange(100), seed) {
  Histories histories(static_cast<std::uint64_t>(seed));
  for (int step = 0; step < kSteps; ++step) {
    histories.Step();
    histories.Check();
  }
}

}  // namespace
}  // namespace sassafrasdyke::core
