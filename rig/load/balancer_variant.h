/// The policies that the load model compares, each as one instance.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/front_settings.h"
#include "core/load/observation_exchange.h"
#include "core/steering/flow_packet.h"
#include "core/view/live_view.h"

namespace sassafrasdyke::rig {

/// A policy.
enum class PolicyVariant : std::uint8_t {
  kThisVersion,
  kNoAdmission,  ///< The version before, but new flows are opened as they come.
  kHash,         ///< A hash over the own domain's targets, and nothing else.
  kVersionBefore,  ///< Without all parts of docs/design/hard-load.md.
  // This version without one part:
  kNoSharedLoad,
  kNoLocality,
  kNoEjection,
  // This version with the part that the template leaves off:
  kFairAdmission,
  // This version with the other locality policy:
  kHeadroom,
};

/// Name of the variant in output.
std::string_view Word(PolicyVariant variant);
/// The variant of a name on the command line, which has no spaces.
std::optional<PolicyVariant> VariantOf(std::string_view name);
/// All names, separated by commas.
std::string VariantNames();
/// The parts that the variant switches on.
config::FrontLoadSettings LoadSettingsOf(PolicyVariant variant);

/// What became of a packet. A packet that is dropped or held has none.
struct Forwarded {
  core::FlowPacket packet;
  std::uint32_t word{0};  ///< Of the target; 0 when the client is reset.
};

/// Gives back the items that the model added; there is no text to read.
class ModelPublication final : public core::Publication {
 public:
  std::string ListPath(std::string_view after) const override;
  std::string WatchPath(common::Revision after,
                        std::chrono::milliseconds wait) const override;
  core::StoreStatus StatusOf(unsigned http_status) const override;
  tl::expected<core::ListPage, core::ItemFault> ReadPage(
      const std::string& body) const override;
  tl::expected<core::ChangeBatch, core::ItemFault> ReadChanges(
      const std::string& body) const override;
  tl::expected<core::PublishedItem, core::ItemFault> ReadItem(
      const std::string& key, const std::string& value) const override;

  /// The value by which `ReadItem` finds the item again.
  std::string Add(core::PublishedItem item);

 private:
  std::vector<core::PublishedItem> items;
};

/// One instance of a policy. Times are since the start of the play.
class BalancerVariant {
 public:
  virtual ~BalancerVariant() = default;

  virtual void OnItems(core::ChangeBatch batch,
                       std::chrono::milliseconds now) = 0;
  virtual std::vector<Forwarded> OnPacket(const core::FlowPacket& packet,
                                          std::chrono::milliseconds now) = 0;
  /// Ten times a second.
  virtual std::vector<Forwarded> OnTick(std::chrono::milliseconds now) = 0;

  /// Words of the targets that the instance probes now.
  virtual std::vector<std::uint32_t> TakeProbes(
      std::chrono::milliseconds /*now*/) {
    return {};
  }
  /// Returns resets of the flows of a target that has turned out silent.
  virtual std::vector<Forwarded> OnProbed(std::uint32_t /*word*/,
                                          bool /*answered*/,
                                          std::chrono::milliseconds /*started*/,
                                          std::chrono::milliseconds /*now*/) {
    return {};
  }

  /// Adds what a digest of this instance carries.
  virtual void AppendObservations(core::PeerObservations& /*observations*/,
                                  std::chrono::milliseconds /*now*/) {}
  virtual void OnObservations(const common::Endpoint& /*sender*/,
                              const std::string& /*domain*/,
                              const core::PeerObservations& /*observations*/,
                              std::chrono::milliseconds /*now*/) {}
};

/// An instance's place in the fleet.
struct ModelPlace {
  std::string domain;
  std::size_t domain_instances{1};  ///< By its roster, itself included.
  std::size_t instances{1};         ///< Of the whole fleet.
  std::uint64_t seed{0};            ///< Differs between instances.
};

/// `publication` must outlive the instance.
std::unique_ptr<BalancerVariant> MakeBalancer(
    PolicyVariant variant, const ModelPlace& place,
    const core::Publication& publication);

}  // namespace sassafrasdyke::rig
