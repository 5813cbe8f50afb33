#include "rig/load/balancer_variant.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

#include "common/hash.h"
#include "core/steering/admission_control.h"
#include "core/steering/flow_steering.h"
#include "rig/load/shared_parts.h"

namespace sassafrasdyke::rig {
namespace {

using std::chrono::milliseconds;

/// Longer than any play, so that nothing is forgotten for its age.
constexpr milliseconds kFlowLife{60'000};

/// The section `load` of the template in deploy/.
constexpr config::FrontLoadSettings kDeployed{
    .share_load = true,
    .locality = config::LocalityMode::kProportional,
    .eject_targets = true};

/// A variant's name on the command line and in output.
struct VariantName {
  PolicyVariant variant;
  std::string_view name;
  std::string_view word;
};
constexpr VariantName kNames[] = {
    {PolicyVariant::kThisVersion, "this-version", "this version"},
    {PolicyVariant::kVersionBefore, "version-before", "version before"},
    {PolicyVariant::kNoAdmission, "no-admission", "no admission"},
    {PolicyVariant::kHash, "hash", "hash"},
    {PolicyVariant::kNoSharedLoad, "no-shared-load", "no shared load"},
    {PolicyVariant::kNoLocality, "no-locality", "no locality"},
    {PolicyVariant::kNoEjection, "no-ejection", "no ejection"},
    {PolicyVariant::kFairAdmission, "fair-admission", "fair admission"},
    {PolicyVariant::kHeadroom, "headroom", "headroom"}};

/// This version with part of its parts, with or without its admission.
class FrontVariant final : public BalancerVariant {
 public:
  FrontVariant(const ModelPlace& place, const core::Publication& publication,
               const config::FrontLoadSettings& settings, bool holds_back)
      : holds_back(holds_back),
        view(publication, kFlowLife),
        shared(settings, place, this->view),
        steering(place.domain,
                 {this->view.Routes(), this->view.Targets(),
                  this->view.Contact(), this->view.Regions()},
                 {}, 0, this->shared.Observations()),
        admission(this->view.Routes(), this->steering,
                  this->shared.Observations()) {}

  void OnItems(core::ChangeBatch batch, milliseconds now) override {
    this->view.Contact().OnAnswer(now);
    this->view.OnChanges(std::move(batch), now);
  }

  std::vector<Forwarded> OnPacket(const core::FlowPacket& packet,
                                  milliseconds now) override {
    std::vector<Forwarded> out;
    if (!this->holds_back) {
      this->Steer(packet, {}, now, out);
      return out;
    }
    const auto bytes = BytesOf(packet);
    if (const auto grant = this->admission.Admit(packet, bytes, now, now)) {
      this->Steer(packet, *grant, now, out);
    }
    this->Release(now, out);
    return out;
  }

  std::vector<Forwarded> OnTick(milliseconds now) override {
    std::vector<Forwarded> out;
    this->view.Contact().OnAnswer(now);
    this->view.OnTick(now);
    this->shared.OnTick(this->steering.Watch(), now);
    this->steering.OnTick(now);
    this->admission.OnTick(now);
    this->Release(now, out);
    return out;
  }

  std::vector<std::uint32_t> TakeProbes(milliseconds now) override {
    std::vector<std::uint32_t> words;
    for (const core::TargetIndex target :
         this->steering.Watch().TakeProbes(now)) {
      if (this->view.Targets().Has(target)) {
        words.push_back(this->view.Targets().At(target).word.value);
      }
    }
    return words;
  }

  std::vector<Forwarded> OnProbed(std::uint32_t word, bool answered,
                                  milliseconds started,
                                  milliseconds now) override {
    std::vector<Forwarded> resets;
    const auto target = this->view.Targets().IndexOf({word});
    const auto outcome =
        answered ? core::ProbeOutcome::kAnswered : core::ProbeOutcome::kSilent;
    if (target &&
        this->steering.Watch().OnProbed(*target, outcome, started, now)) {
      for (const core::FlowPacket& packet :
           this->steering.TakeEndedFlows(*target, now)) {
        resets.push_back({packet, 0});
      }
    }
    return resets;
  }

  void AppendObservations(core::PeerObservations& observations,
                          milliseconds now) override {
    this->shared.Append(observations, now);
  }

  void OnObservations(const common::Endpoint& sender, const std::string& domain,
                      const core::PeerObservations& observations,
                      milliseconds now) override {
    this->shared.OnObservations(sender, domain, observations, now);
  }

 private:
  /// All that a held SYN is sent on with.
  static std::array<std::uint8_t, 1> BytesOf(const core::FlowPacket& packet) {
    return {static_cast<std::uint8_t>(packet.repeats)};
  }

  void Steer(const core::FlowPacket& packet, const core::AdmissionGrant& grant,
             milliseconds now, std::vector<Forwarded>& out) {
    const core::SteeringAction action =
        this->steering.OnPacket(packet, now, grant);
    if (const auto* sent = std::get_if<core::SendToTarget>(&action)) {
      out.push_back({packet, this->view.Targets().At(sent->target).word.value});
    } else if (std::holds_alternative<core::Refuse>(action)) {
      out.push_back({packet, 0});
    }
  }

  void Release(milliseconds now, std::vector<Forwarded>& out) {
    while (const auto released = this->admission.TakeNext(now)) {
      core::FlowPacket syn;
      syn.flow = released->syn.flow;
      syn.flags.syn = true;
      syn.repeats = released->syn.bytes.front();
      this->Steer(syn, released->grant, now, out);
    }
    for (const core::QueuedSyn& refused : this->admission.TakeRefused()) {
      core::FlowPacket syn;
      syn.flow = refused.flow;
      out.push_back({syn, 0});
    }
  }

  const bool holds_back;
  core::LiveView view;
  SharedParts shared;
  core::FlowSteering steering;
  core::AdmissionControl admission;
};

/// A hash over the own domain's serving targets, all targets when it has none.
/// A repeated SYN goes to another of them.
class HashVariant final : public BalancerVariant {
 public:
  HashVariant(std::string domain, const core::Publication& publication)
      : domain(std::move(domain)), view(publication, kFlowLife) {}

  void OnItems(core::ChangeBatch batch, milliseconds now) override {
    this->view.Contact().OnAnswer(now);
    this->view.OnChanges(std::move(batch), now);
  }

  std::vector<Forwarded> OnPacket(const core::FlowPacket& packet,
                                  milliseconds /*now*/) override {
    if (!packet.flags.syn) {
      return {{packet, packet.word.value}};
    }
    const core::Route* const route =
        this->view.Routes().Find(packet.flow.service);
    if (route == nullptr) {
      return {};
    }
    const std::string& service = route->shares.front().service;
    const core::ServingTargets& serving =
        this->view.Targets().ServingByDomain(service);
    const auto local = serving.find(this->domain);
    const std::vector<core::TargetIndex> options =
        local != serving.end() ? local->second
                               : this->view.Targets().Serving(service);
    if (options.empty()) {
      return {{packet, 0}};
    }
    const std::uint64_t hash = common::HashNumbers(
        common::FingerprintOf(packet.flow, 0).value, packet.repeats, 0);
    const core::TargetIndex chosen = options[hash % options.size()];
    return {{packet, this->view.Targets().At(chosen).word.value}};
  }

  std::vector<Forwarded> OnTick(milliseconds now) override {
    this->view.Contact().OnAnswer(now);
    this->view.OnTick(now);
    return {};
  }

 private:
  const std::string domain;
  core::LiveView view;
};

}  // namespace

std::string_view Word(PolicyVariant variant) {
  const auto* const found =
      std::ranges::find(kNames, variant, &VariantName::variant);
  return found == std::end(kNames) ? "unknown" : found->word;
}

std::optional<PolicyVariant> VariantOf(std::string_view name) {
  const auto* const found = std::ranges::find(kNames, name, &VariantName::name);
  return found == std::end(kNames) ? std::nullopt
                                   : std::make_optional(found->variant);
}

std::string VariantNames() {
  std::string names;
  for (const VariantName& known : kNames) {
    names += (names.empty() ? "" : ",") + std::string(known.name);
  }
  return names;
}

config::FrontLoadSettings LoadSettingsOf(PolicyVariant variant) {
  config::FrontLoadSettings settings = kDeployed;
  switch (variant) {
    case PolicyVariant::kThisVersion:
      break;
    case PolicyVariant::kVersionBefore:
    case PolicyVariant::kNoAdmission:
    case PolicyVariant::kHash:
      return {};
    case PolicyVariant::kNoSharedLoad:
      settings.share_load = false;
      break;
    case PolicyVariant::kNoLocality:
      settings.locality = config::LocalityMode::kLocal;
      break;
    case PolicyVariant::kNoEjection:
      settings.eject_targets = false;
      break;
    case PolicyVariant::kFairAdmission:
      settings.fair_admission = true;
      break;
    case PolicyVariant::kHeadroom:
      settings.locality = config::LocalityMode::kHeadroom;
      break;
  }
  return settings;
}

std::string ModelPublication::ListPath(std::string_view /*after*/) const {
  return {};
}

std::string ModelPublication::WatchPath(common::Revision /*after*/,
                                        milliseconds /*wait*/) const {
  return {};
}

core::StoreStatus ModelPublication::StatusOf(unsigned /*http_status*/) const {
  return core::StoreStatus::kRefused;
}

tl::expected<core::ListPage, core::ItemFault> ModelPublication::ReadPage(
    const std::string& /*body*/) const {
  return tl::unexpected(core::ItemFault("the model has no pages"));
}

tl::expected<core::ChangeBatch, core::ItemFault> ModelPublication::ReadChanges(
    const std::string& /*body*/) const {
  return tl::unexpected(core::ItemFault("the model has no watches"));
}

tl::expected<core::PublishedItem, core::ItemFault> ModelPublication::ReadItem(
    const std::string& /*key*/, const std::string& value) const {
  return this->items.at(std::stoul(value));
}

std::string ModelPublication::Add(core::PublishedItem item) {
  this->items.push_back(std::move(item));
  return std::to_string(this->items.size() - 1);
}

std::unique_ptr<BalancerVariant> MakeBalancer(
    PolicyVariant variant, const ModelPlace& place,
    const core::Publication& publication) {
  if (variant == PolicyVariant::kHash) {
    return std::make_unique<HashVariant>(place.domain, publication);
  }
  return std::make_unique<FrontVariant>(place, publication,
                                        LoadSettingsOf(variant),
                                        variant != PolicyVariant::kNoAdmission);
}

}  // namespace sassafrasdyke::rig
