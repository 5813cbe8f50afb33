/// Every target that flows may be at: published ones, those that are leaving,
/// and for a while those that are gone.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/ids.h"
#include "core/view/published.h"
#include "core/view/route_table.h"

namespace sassafrasdyke::core {

/// What a flow carries to name its target. 0 names none.
using TargetWord = common::Id<struct TargetWordTag, std::uint32_t>;

/// The word for a target; all instances compute the same.
TargetWord WordFor(TargetNumber number);

/// What may be done with a target.
enum class TargetPhase : std::uint8_t {
  kServing,     ///< Takes new flows.
  kDraining,    ///< Keeps its flows.
  kUnreadable,  ///< Its entry can't be read any more; keeps its flows.
  kShadowed,    ///< Another target has the same word; keeps its flows.
  kGone,        ///< Surely ended: its flows have nobody to answer them.
};

/// The log's word for a phase.
std::string_view Word(TargetPhase phase);

/// One target.
struct TargetEntry {
  std::string name;  ///< As it is published.
  PublishedTarget published;
  TargetWord word;
  TargetPhase phase{TargetPhase::kServing};
  /// When a removal that may be a lapse is to be believed; nothing otherwise.
  std::optional<std::chrono::milliseconds> removal_due;
  std::chrono::milliseconds gone_at{0};
  /// Gone for certain: another target has its address.
  bool replaced{false};
};

/// Position of an entry; valid until the entry is forgotten.
using TargetIndex = common::Id<struct TargetIndexTag>;

/// A change that an operator may want to see.
struct TargetChange {
  TargetIndex target;
  std::string name;
  std::string service;
  TargetPhase phase{TargetPhase::kServing};
  bool replaced{false};  ///< Gone for certain: another has its address.
};

/// Targets of one service that take new flows, by failure domain; no list is
/// empty.
using ServingTargets =
    std::map<std::string, std::vector<TargetIndex>, std::less<>>;

/// Targets by name and by word.
class TargetTable {
 public:
  /// `gone_kept`: how long flows of a target that is gone may still come.
  explicit TargetTable(std::chrono::milliseconds gone_kept)
      : gone_kept(gone_kept) {}

  /// Takes a published entry.
  void Publish(const std::string& name, const PublishedTarget& target,
               std::chrono::milliseconds now);
  /// The entry can't be read: it takes no new flows, and keeps those it has.
  void MarkUnreadable(const std::string& name);
  /// The entry was removed. With `due` it counts only from then on, if it
  /// hasn't come back.
  void Remove(const std::string& name, std::chrono::milliseconds now,
              std::optional<std::chrono::milliseconds> due);
  /// Believes removals that were due when the view was last confirmed, and
  /// forgets targets gone for long. An instance that has lost touch since the
  /// removal can't know whether the target has registered again; it goes on
  /// using it rather than resetting flows that are served.
  void Expire(std::chrono::milliseconds now,
              std::chrono::milliseconds confirmed_at);

  /// Null when no target has the word.
  const TargetEntry* Find(TargetWord word) const;
  const TargetEntry& At(TargetIndex index) const {
    return this->entries.at(index);
  }
  bool Has(TargetIndex index) const { return this->entries.contains(index); }
  std::optional<TargetIndex> IndexOf(TargetWord word) const;
  /// Targets of the service that take new flows. By domain, since a new flow is
  /// placed for each of thousands of targets and hardly ever leaves its domain.
  const ServingTargets& ServingByDomain(const std::string& service) const;
  /// The same, of all domains.
  std::vector<TargetIndex> Serving(const std::string& service) const;
  std::size_t ServingCount() const;

  /// Takes the changes since the last call.
  std::vector<TargetChange> TakeChanges();
  /// Takes the targets that were forgotten since the last call.
  std::vector<TargetIndex> TakeForgotten();

 private:
  TargetIndex IndexFor(const std::string& name, const PublishedTarget& target);
  TargetPhase PhaseOf(TargetIndex index, const TargetEntry& entry);
  void SetPhase(TargetIndex index, TargetEntry& entry, TargetPhase phase);
  void Unlist(TargetIndex index, const TargetEntry& entry);
  /// Of two targets at one address the entry that changed last names the one
  /// that lives. Returns whether that is the target at `index`.
  bool ClaimAddress(TargetIndex index, std::chrono::milliseconds now);
  void Retire(TargetIndex index, TargetEntry& entry,
              std::chrono::milliseconds now);
  void Forget(TargetIndex index);

  std::chrono::milliseconds gone_kept;
  std::unordered_map<TargetIndex, TargetEntry> entries;
  std::unordered_map<std::string, TargetIndex> by_name;
  std::unordered_map<TargetWord, TargetIndex> by_word;
  std::unordered_map<common::Endpoint, TargetIndex, EndpointHash> by_address;
  std::unordered_map<std::string, ServingTargets> serving;
  /// Gone, or to be believed gone soon: looked at ten times a second, while
  /// thousands of others stay as they are.
  std::unordered_set<TargetIndex> ending;
  std::vector<TargetChange> changes;
  std::vector<TargetIndex> forgotten;
  std::uint32_t last_index{0};
};

}  // namespace sassafrasdyke::core
