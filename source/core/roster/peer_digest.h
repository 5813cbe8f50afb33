/// The content of digests: the small datagrams by which instances exchange
/// membership and views. A digest may be lost, duplicated or delayed, so
/// applying one is idempotent.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/address.h"
#include "common/ids.h"
#include "core/load/observation_exchange.h"
#include "core/view/item_store.h"

namespace sassafrasdyke::core {

/// Gossip about another instance.
struct PeerMention {
  common::Endpoint peer;
  std::string domain;
  std::chrono::milliseconds heard_ago{0};  ///< Since it was last heard from.
};

/// The revision and age of a view.
struct ViewStatus {
  /// The revision up to which the view has every change; 0: there is no view.
  common::Revision complete;
  /// Time since the store last confirmed the revision to any instance; nothing
  /// if it never did.
  std::optional<std::chrono::milliseconds> age;
  /// Time since the end of the store's last outage; nothing if none was seen.
  std::optional<std::chrono::milliseconds> store_returned_ago;
};

/// Limit of the changes inside a digest, in bytes of keys and values. Together
/// with the other fields the digest stays below 1,400 bytes, which every link
/// carries without fragmentation.
inline constexpr std::size_t kMaxInlineBytes = 800;

/// A digest as sent by one instance to another.
struct PeerDigest {
  common::Endpoint sender;
  std::string domain;
  bool leaving{false};       ///< The sender is shutting down.
  bool wants_answer{false};  ///< The receiver must reply with its digest.
  /// Whether the sender's view holds evacuations. Former releases leave them
  /// out when they read the store, so no view can be taken from these.
  bool has_evacuations{true};
  ViewStatus view;
  /// Of the sender's view; left out of digests with changes.
  std::optional<std::uint64_t> content_hash = std::nullopt;
  /// Changes for receivers whose views are complete up to `changes->from`, if
  /// they fit into the datagram.
  std::optional<ItemDelta> changes;
  std::vector<PeerMention> known;  ///< Some of the members the sender knows.
  /// Members to which the receiver must relay the sender's view.
  std::vector<common::Endpoint> relay_to;
  /// Left out of digests with changes, which are near the limit of a datagram.
  PeerObservations observations;
};

}  // namespace sassafrasdyke::core
