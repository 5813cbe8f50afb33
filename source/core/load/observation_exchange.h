/// Observations of load and target health that instances add to their digests.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/address.h"
#include "core/load/load_report.h"
#include "core/view/published.h"

namespace sassafrasdyke::core {

/// What one instance has observed of a target. Counts are over the last
/// seconds.
struct TargetObservation {
  TargetNumber target;
  std::uint32_t requests{0};
  std::uint32_t failures{0};
  /// Answers whose time at the target is known.
  std::uint32_t answers{0};
  /// Mean of these times, queueing included; 0 without any.
  std::chrono::milliseconds mean_time{0};
  bool silent{false};  ///< Confirmed by probes.
  /// Share of new flows that the sender gives it, decided from the counts of
  /// several instances: 0 when it is ejected, below 1 when it is slow.
  double weight{1.0};
  /// Time since the sender last confirmed the weight; 0 while it is healthy.
  std::chrono::milliseconds age{0};

  friend bool operator==(const TargetObservation&,
                         const TargetObservation&) = default;
};

/// Maximum number of targets in a digest.
inline constexpr std::size_t kMaxTargetObservations = 8;

/// When any instance of a domain was last heard.
struct DomainContact {
  std::string domain;
  std::chrono::milliseconds heard_ago{0};

  friend bool operator==(const DomainContact&, const DomainContact&) = default;
};

/// The observations in one digest.
struct PeerObservations {
  /// The sender's monotonic time, which shows the order of its digests.
  std::chrono::milliseconds sent_at{0};
  /// A part was there but could not be decoded; all others are empty.
  bool unreadable{false};
  std::optional<LoadReport> own;  ///< Of the sender alone.
  /// Domains that the sender has heard, directly or through others.
  std::vector<DomainContact> heard;
  std::vector<DomainReport> domains;  ///< The sender's domain first.
  std::vector<TargetObservation> targets;

  bool Empty() const {
    return !this->own && this->heard.empty() && this->domains.empty() &&
           this->targets.empty();
  }
  friend bool operator==(const PeerObservations&,
                         const PeerObservations&) = default;
};

/// Which instances should get a digest at once.
enum class UrgentReceivers : std::uint8_t {
  kReaders,  ///< The readers of the own domain, who hear most.
  kDomain,   ///< The instances of the own domain, some 30 of them.
};

/// Adds observations to digests and takes those of peers. Times are monotonic.
class ObservationExchange {
 public:
  virtual ~ObservationExchange() = default;

  /// Adds this instance's part to `observations`.
  virtual void Append(PeerObservations& observations,
                      std::chrono::milliseconds now) = 0;
  /// A digest has arrived from `sender`, an instance of `domain`; without
  /// observations if it carries changes. It may arrive late, twice or not at
  /// all.
  virtual void OnObservations(const common::Endpoint& sender,
                              const std::string& domain,
                              const PeerObservations& observations,
                              std::chrono::milliseconds now) = 0;
};

}  // namespace sassafrasdyke::core
