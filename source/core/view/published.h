/// What the platform publishes, decoded: targets, routes and limits, as the
/// decisions need them.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/address.h"
#include "common/ids.h"

namespace sassafrasdyke::core {

/// The number by which a target recognises datagrams meant for it; a target
/// that gets another's drops it in silence.
using TargetNumber = common::Id<struct TargetNumberTag, std::uint64_t>;

/// One target as it was last published.
struct PublishedTarget {
  TargetNumber number;
  std::string service;
  std::string domain;  ///< Its failure domain's name.
  common::Endpoint address;
  std::uint32_t slots{1};  ///< Requests it serves at once.
  bool draining{false};    ///< Keeps its flows and takes no new ones.
  /// Of the entry's last change; the view sets it.
  common::Revision revision = {};

  friend bool operator==(const PublishedTarget&,
                         const PublishedTarget&) = default;
};

/// A service that takes a share of a route's new flows.
struct ServiceShare {
  std::string service;
  std::uint32_t weight{1};

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

/// What clients connect to.
struct PublishedRoute {
  common::Endpoint address;
  std::vector<ServiceShare> shares;  ///< Never empty; no weight is 0.
  /// How soon callers want their answers; nothing if it isn't published.
  std::optional<std::chrono::milliseconds> objective = std::nullopt;
  /// Routes of a lower rank are more urgent.
  std::uint32_t rank{0};
};

/// One accepted configuration.
struct PublishedConfiguration {
  std::uint64_t version{0};
  std::vector<PublishedRoute> routes;
};

}  // namespace sassafrasdyke::core
