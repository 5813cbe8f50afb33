/// All targets that flows may belong to: published ones, draining ones, and,
/// for the lifetime of a flow, those that have ended.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/ids.h"
#include "core/view/address_claim.h"
#include "core/view/published.h"
#include "core/view/route_table.h"

namespace sassafrasdyke::core {

/// A 32-bit ID that a flow's packets carry to identify its target. 0: none.
using TargetWord = common::Id<struct TargetWordTag, std::uint32_t>;

/// Derives a target's word from its number. All instances derive the same one.
TargetWord WordFor(TargetNumber number);

/// The state of a target, which decides which flows it may get.
enum class TargetPhase : std::uint8_t {
  kServing,     ///< Accepts new flows.
  kDraining,    ///< Keeps its flows but accepts no new ones.
  kUnreadable,  ///< Its entry can't be read any more; keeps its flows.
  kShadowed,    ///< Another target has its word, or probably has its address;
                ///< keeps its flows.
  kGone,        ///< Has certainly ended: its flows get no answers.
};

/// The name of a phase in the log.
std::string_view Word(TargetPhase phase);

/// A target and its state.
struct TargetEntry {
  std::string name;           ///< The key of its published entry.
  PublishedTarget published;  ///< The last that could be decoded.
  TargetWord word;
  TargetPhase phase{TargetPhase::kServing};
  /// Whether an entry is published, or its removal is deferred.
  bool listed{false};
  bool readable{true};    ///< Whether the published entry can be decoded.
  bool contested{false};  ///< Another target probably has its address.
  /// When a deferred removal takes effect; nothing if there is none. Removals
  /// are deferred if the entry may have expired while the target still serves.
  std::optional<std::chrono::milliseconds> removal_effective_at;
  std::chrono::milliseconds gone_at{0};
  /// Another target has its address, so it has certainly ended.
  bool replaced{false};
  std::string replaced_by;  ///< That target's name; empty if not replaced.
};

/// Key of an entry; valid until the entry is erased.
using TargetIndex = common::Id<struct TargetIndexTag>;

/// A change of a target's phase, for the log.
struct TargetChange {
  TargetIndex target;
  std::string name;
  std::string service;
  TargetPhase phase{TargetPhase::kServing};
  bool replaced{false};  ///< See TargetEntry.
  std::string replaced_by;
  common::Endpoint address;
  /// See PublishedTarget.
  std::optional<std::chrono::milliseconds> started_at = std::nullopt;
};

/// Targets of one service in phase kServing, by failure domain. No list is
/// empty.
using ServingTargets =
    std::map<std::string, std::vector<TargetIndex>, std::less<>>;

/// Targets, indexed by name, word, address and service. The phase of a target
/// follows from what is published now: it is determined again whenever the
/// entry of a target with the same address or word changes.
class TargetTable {
 public:
  /// `gone_retention`: how long packets for a target that has ended may still
  /// arrive.
  explicit TargetTable(std::chrono::milliseconds gone_retention)
      : gone_retention(gone_retention) {}

  /// Adds or updates a published entry.
  void Publish(const std::string& name, const PublishedTarget& target,
               std::chrono::milliseconds now);
  /// The entry can't be decoded: the target gets no new flows and keeps its
  /// open ones.
  void MarkUnreadable(const std::string& name, std::chrono::milliseconds now);
  /// The entry was removed. With `due` the removal takes effect only at that
  /// time, unless the entry is published again before.
  void Remove(const std::string& name, std::chrono::milliseconds now,
              std::optional<std::chrono::milliseconds> due);
  /// Withholds new flows from all targets of a domain, or ends that; targets
  /// keep their phases. Returns how many serving targets it affects.
  std::size_t SetEvacuated(const std::string& domain, bool evacuated);
  /// Replaces the names of the services that the configuration in force names.
  /// An entry of another service may be another program's, so it takes no
  /// address or word from a target.
  void SetServices(std::unordered_set<std::string> names,
                   std::chrono::milliseconds now);
  /// Applies deferred removals that were due when the view was last confirmed,
  /// and erases targets that ended long ago. An instance that has been
  /// disconnected since the removal can't know whether the target has
  /// registered again. It goes on using the target, since it might otherwise
  /// reset flows that are served.
  void Expire(std::chrono::milliseconds now,
              std::chrono::milliseconds confirmed_at);

  /// The target with this word; null if there is none.
  const TargetEntry* Find(TargetWord word) const;
  const TargetEntry& At(TargetIndex index) const {
    return this->entries.at(index);
  }
  bool Has(TargetIndex index) const { return this->entries.contains(index); }
  /// Whether the target is serving and its domain isn't evacuated.
  bool AcceptsFlows(TargetIndex index) const;
  bool IsEvacuated(std::string_view domain) const {
    return this->evacuated_domains.contains(domain);
  }
  std::size_t EvacuatedDomainCount() const {
    return this->evacuated_domains.size();
  }
  /// Whether only evacuations keep some target of the service from accepting
  /// new flows.
  bool HasEvacuatedTargets(const std::string& service) const {
    return this->evacuated.contains(service);
  }
  std::optional<TargetIndex> IndexOf(TargetWord word) const;
  /// Targets of the service that accept new flows, by domain: placing a
  /// new flow examines each of up to thousands of targets, and hardly ever
  /// needs those of another domain.
  const ServingTargets& ServingByDomain(const std::string& service) const;
  /// Targets of the service that accept new flows, in all domains.
  std::vector<TargetIndex> Serving(const std::string& service) const;
  /// Whether any target may be cold: a quick check before one for each.
  bool AnyCold(std::chrono::milliseconds now) const {
    return now < this->last_cold_until;
  }
  /// The number of published targets that are cold.
  std::size_t ColdCount(std::chrono::milliseconds now) const;
  /// Slots of a domain's targets, of all services, that accept new flows.
  std::uint64_t SlotsIn(std::string_view domain) const;
  /// Services with targets that accept new flows.
  std::vector<std::string> ServingServices() const;
  /// Domains with targets that accept new flows.
  std::set<std::string> ServingDomains() const;
  /// The number of targets of all services that accept new flows.
  std::size_t ServingCount() const;

  /// Returns the changes since the last call.
  std::vector<TargetChange> TakeChanges();
  /// Returns the targets that were erased since the last call.
  std::vector<TargetIndex> TakeErased();

 private:
  /// Targets by something that one at a time can hold. Mostly one each.
  template <typename Key, typename Hash = std::hash<Key>>
  using Claims = std::unordered_map<Key, std::vector<TargetIndex>, Hash>;

  TargetIndex IndexFor(const std::string& name, const PublishedTarget& target,
                       std::chrono::milliseconds now);
  bool IsKnownService(const std::string& service) const {
    return this->services.contains(service);
  }
  AddressClaim ClaimOf(TargetIndex index) const;
  /// The target is no longer listed.
  void Unlist(TargetIndex index, std::chrono::milliseconds now);
  void ClaimAddress(TargetIndex index);
  void ReleaseAddress(TargetIndex index);
  /// Determines the standing and phase of all targets that publish `address`.
  void ResolveAddress(const common::Endpoint& address,
                      std::chrono::milliseconds now);
  /// Determines which target has the word, and the phase of all that share it.
  void ResolveWord(TargetWord word, std::chrono::milliseconds now);
  /// Whether the target is more likely than `other` to have the word that they
  /// share.
  bool PrecedesForWord(TargetIndex index, TargetIndex other) const;
  TargetPhase PhaseOf(TargetIndex index) const;
  void SetPhase(TargetIndex index, TargetPhase phase,
                std::chrono::milliseconds now);
  using ServingByService = std::unordered_map<std::string, ServingTargets>;

  /// The lists that hold the domain's serving targets.
  ServingByService& ListsFor(std::string_view domain) {
    return this->IsEvacuated(domain) ? this->evacuated : this->serving;
  }
  /// Adds the target to the list of its service and domain.
  void AddToServing(TargetIndex index, const TargetEntry& entry);
  void RemoveFromServing(TargetIndex index, const TargetEntry& entry);
  /// Moves the domain's lists of all services, and returns how many targets
  /// they hold.
  static std::size_t MoveDomain(const std::string& domain,
                                ServingByService& from, ServingByService& to);
  void Erase(TargetIndex index);

  std::chrono::milliseconds gone_retention;
  std::unordered_map<TargetIndex, TargetEntry> entries;
  std::unordered_map<std::string, TargetIndex> by_name;
  /// All targets, listed or not; the first one has the word.
  Claims<TargetWord> by_word;
  /// Listed targets by the address that they publish.
  Claims<common::Endpoint, EndpointHash> by_address;
  std::unordered_set<std::string> services;
  /// Serving targets that accept new flows, by service. No element is empty.
  ServingByService serving;
  /// Serving targets in evacuated domains, by service. No element is empty.
  ServingByService evacuated;
  std::set<std::string, std::less<>> evacuated_domains;
  /// Targets that are gone or whose removal is deferred. Kept apart, so that
  /// Expire(), called ten times a second, needn't scan thousands of others.
  std::unordered_set<TargetIndex> expiring;
  std::vector<TargetChange> changes;
  std::vector<TargetIndex> erased;
  std::uint32_t last_index{0};
  std::chrono::milliseconds last_cold_until{0};
};

}  // namespace sassafrasdyke::core
