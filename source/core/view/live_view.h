/// What is in force on this instance: published items from any source, put into
/// the tables that packets are decided by.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/view/item_store.h"
#include "core/view/publication.h"
#include "core/view/route_table.h"
#include "core/view/store_contact.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Where items came from.
enum class ViewSource : std::uint8_t { kStore, kPeer };

/// A configuration came in force.
struct ConfigurationInForce {
  std::uint64_t version{0};
  std::size_t routes{0};
};

/// A configuration that is older than the one in force was left out.
struct ConfigurationRefused {
  std::uint64_t version{0};
  std::uint64_t in_force{0};
};

/// An item can't be read; what was known before it holds.
struct ItemUnreadable {
  std::string key;
  ItemFault fault;
};

/// Something that an operator may want to see.
using ViewChange = std::variant<ConfigurationInForce, ConfigurationRefused,
                                ItemUnreadable, TargetChange>;

/// Keeps the tables in step with the items. Times are monotonic.
class LiveView {
 public:
  /// `publication` must outlive the view. `flow_life`: the longest that a flow
  /// stays open.
  LiveView(const Publication& publication, std::chrono::milliseconds flow_life)
      : publication(publication), routes(flow_life), targets(flow_life) {}

  /// Takes a complete listing.
  void OnListing(std::vector<Item> items, common::Revision at,
                 std::chrono::milliseconds now);
  /// Takes changes that follow what is known.
  void OnChanges(ChangeBatch batch, std::chrono::milliseconds now);
  /// Takes what another instance has.
  void OnPeerItems(ItemDelta delta, std::chrono::milliseconds now);
  /// Believes removals that are due.
  void OnTick(std::chrono::milliseconds now);

  /// Whether there is a configuration and a complete list of targets.
  bool Usable() const {
    return this->items.Complete().value != 0 && this->routes.Loaded();
  }

  const ItemStore& Items() const { return this->items; }
  const RouteTable& Routes() const { return this->routes; }
  TargetTable& Targets() { return this->targets; }
  const TargetTable& Targets() const { return this->targets; }
  StoreContact& Contact() { return this->contact; }
  const StoreContact& Contact() const { return this->contact; }
  /// Takes the changes since the last call.
  std::vector<ViewChange> TakeChanges();

 private:
  /// Puts the items of these keys into the tables.
  void Take(const std::vector<std::string>& changed,
            std::chrono::milliseconds now);
  void TakeRemoval(const std::string& key, std::chrono::milliseconds now);
  void TakeItem(const std::string& key, const std::string& value,
                common::Revision revision, std::chrono::milliseconds now);
  void TakeConfiguration(PublishedConfiguration configuration,
                         std::chrono::milliseconds now);

  const Publication& publication;
  ItemStore items;
  RouteTable routes;
  TargetTable targets;
  StoreContact contact;
  std::vector<ViewChange> changes;
};

}  // namespace sassafrasdyke::core
