/// The routes and targets that this instance uses. Merges published items from
/// the store and from peers, and updates the tables that forwarding reads.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/view/item_store.h"
#include "core/view/publication.h"
#include "core/view/region_map.h"
#include "core/view/route_table.h"
#include "core/view/store_contact.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// A configuration took effect.
struct ConfigurationInForce {
  std::uint64_t version{0};
  std::size_t routes{0};
};

/// A configuration was ignored because it isn't newer than the one in force.
struct ConfigurationRefused {
  std::uint64_t version{0};
  std::uint64_t in_force{0};
};

/// An item can't be decoded. A configuration or evacuation in force stays in
/// force, and a target keeps its open flows.
struct ItemUnreadable {
  std::string key;
  ItemFault fault;
};

/// The evacuation of a failure domain took effect, or was lifted.
struct EvacuationChange {
  std::string domain;
  bool in_force{false};
  std::size_t targets{0};     ///< Serving targets in the domain at that moment.
  common::Revision revision;  ///< Of the published item; 0 once it is removed.
};

/// Routes that allow certain regions only can't use this domain, as the
/// settings don't name its region.
struct RegionUnknown {
  std::string domain;
};

/// A change of the view, for the log.
using ViewChange =
    std::variant<ConfigurationInForce, ConfigurationRefused, ItemUnreadable,
                 TargetChange, EvacuationChange, RegionUnknown>;

/// Keeps the route and target tables consistent with the published items. Times
/// are monotonic.
class LiveView {
 public:
  /// `publication` must outlive the view. `flow_life`: the maximum lifetime of
  /// a flow.
  LiveView(const Publication& publication, std::chrono::milliseconds flow_life)
      : publication(publication), routes(flow_life), targets(flow_life) {}

  /// Replaces the regions of the failure domains.
  void SetRegions(RegionMap regions);
  /// Applies a complete listing of the store at revision `at`.
  void OnListing(std::vector<Item> items, common::Revision at,
                 std::chrono::milliseconds now);
  /// Applies changes that directly follow the revisions received so far.
  void OnChanges(ChangeBatch batch, std::chrono::milliseconds now);
  /// Applies items received from another instance. `confirmed_ago`: the store
  /// confirmed them this long ago; nothing if that isn't known.
  void OnPeerItems(
      ItemDelta delta, std::chrono::milliseconds now,
      std::optional<std::chrono::milliseconds> confirmed_ago = std::nullopt);
  /// Applies deferred removals that are due, and drops targets that have been
  /// gone for the lifetime of a flow. Called about ten times a second.
  void OnTick(std::chrono::milliseconds now);

  /// Whether there is a configuration and a complete list of targets.
  bool Usable() const {
    return this->items.Complete().value != 0 && this->routes.Loaded();
  }

  const ItemStore& Items() const { return this->items; }
  const RouteTable& Routes() const { return this->routes; }
  const RegionMap& Regions() const { return this->regions; }
  TargetTable& Targets() { return this->targets; }
  const TargetTable& Targets() const { return this->targets; }
  StoreContact& Contact() { return this->contact; }
  const StoreContact& Contact() const { return this->contact; }
  /// Returns the changes since the last call.
  std::vector<ViewChange> TakeChanges();

 private:
  /// Updates the tables from the stored items with these keys, which were
  /// published at `published_by` or earlier.
  void ApplyItems(const std::vector<std::string>& changed,
                  std::chrono::milliseconds published_by,
                  std::chrono::milliseconds now);
  void ApplyRemoval(const std::string& key, std::chrono::milliseconds now);
  void ApplyItem(const std::string& key, const std::string& value,
                 std::chrono::milliseconds published_by,
                 std::chrono::milliseconds now);
  void ApplyConfiguration(PublishedConfiguration configuration,
                          std::chrono::milliseconds now);
  void ApplyEvacuation(const std::string& key, const std::string& domain,
                       common::Revision revision);
  /// Reports domains of unknown region once, if a route depends on regions.
  void ReportUnknownRegions();
  /// Returns false if no evacuation was published under this key.
  bool LiftEvacuation(const std::string& key);

  const Publication& publication;
  ItemStore items;
  RouteTable routes;
  RegionMap regions;
  TargetTable targets;
  StoreContact contact;
  /// Evacuated domains by the keys of their published items.
  std::map<std::string, std::string> evacuations;
  /// Domains that have been reported as of unknown region.
  std::set<std::string> reported_domains;
  std::vector<ViewChange> changes;
};

}  // namespace sassafrasdyke::core
