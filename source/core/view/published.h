/// The decoded form of what the platform publishes: targets, routes and their
/// limits, and evacuations.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/address.h"
#include "common/ids.h"

namespace sassafrasdyke::core {

/// Identifies a target in the datagrams sent to it. A target silently drops a
/// datagram that carries another target's number.
using TargetNumber = common::Id<struct TargetNumberTag, std::uint64_t>;

/// One target as it was last published.
struct PublishedTarget {
  TargetNumber number;
  std::string service;
  std::string domain;  ///< The name of its failure domain.
  common::Endpoint address;
  std::uint32_t slots{1};  ///< Requests that it serves concurrently.
  bool draining{false};    ///< Keeps its flows but accepts no new ones.
  /// How long after the entry's publication the target stays cold: it has just
  /// started and bears fewer requests.
  std::chrono::milliseconds warmup_left{0};
  /// When it started: Unix time by its own clock; nothing if not published.
  std::optional<std::chrono::milliseconds> started_at = std::nullopt;
  /// Counts its writes since it started.
  std::uint64_t sequence{0};
  /// Of the entry's last change. Set by LiveView.
  common::Revision revision = {};
  /// When the target is warm, on this instance's monotonic clock. Set by
  /// LiveView; never too early.
  std::chrono::milliseconds cold_until{0};

  friend bool operator==(const PublishedTarget&,
                         const PublishedTarget&) = default;
};

/// A service that receives a share of a route's new flows.
struct ServiceShare {
  std::string service;
  std::uint32_t weight{1};

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

/// An address that clients connect to, and the services behind it.
struct PublishedRoute {
  common::Endpoint address;
  std::vector<ServiceShare> shares;  ///< Never empty; no weight is 0.
  /// Target response time; nothing if none is published.
  std::optional<std::chrono::milliseconds> objective = std::nullopt;
  /// Priority: routes of a lower rank are more urgent.
  std::uint32_t rank{0};
  /// Regions whose targets may get its flows; empty: all of them.
  std::vector<std::string> allowed_regions = {};
};

/// A service that a configuration names.
struct PublishedService {
  std::string name;
  /// New flows that a cold target bears, per second and from all instances
  /// together; nothing if no limit is published.
  std::optional<double> warmup_rate = std::nullopt;
};

/// One configuration that the platform has accepted.
struct PublishedConfiguration {
  std::uint64_t version{0};
  std::vector<PublishedRoute> routes;
  std::vector<PublishedService> services = {};
};

/// The operator's request that a failure domain's targets get no new flows. In
/// force as long as it is published.
struct PublishedEvacuation {
  std::string domain;
};

}  // namespace sassafrasdyke::core
