#include "observe/flow_explanation.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <span>
#include <utility>

#include "core/placement/service_directory.h"
#include "core/placement/subset_map.h"
#include "core/placement/target_set.h"
#include "observe/words.h"

namespace sassafrasdyke::observe {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view kArrow = "->";

void Append(std::vector<RankedTarget>& to, const core::TargetSet& targets,
            std::span<const core::TargetSlot> slots, TargetRank rank) {
  for (const core::TargetSlot slot : slots) {
    to.push_back({targets.At(slot).target, rank});
  }
}

std::string WhyOwner(const FlowExplanation& explanation) {
  if (explanation.owners.owner.value == 0) {
    return "no instance is listed that may own partitions";
  }
  if (explanation.owners.adopted) {
    return "no instance of the home domain may own, so this domain stands in";
  }
  return "first in the rendezvous order of the home domain's instances";
}

std::string WhyTarget(const RankedTarget& ranked) {
  if (ranked.target.state == core::TargetState::kDraining) {
    return "draining: keeps its flows and takes no new ones";
  }
  switch (ranked.rank) {
    case TargetRank::kSubset:
      return "of the partition's subset, by weighted rendezvous order";
    case TargetRank::kReserve:
      return "of the home domain, when much of the subset can't serve";
    case TargetRank::kSpill:
      return "of another domain, when none of the home domain can serve";
  }
  return "";
}

/// Who remembers the flow besides the packets themselves.
Json KnownBy(const FlowExplanation& explanation) {
  if (explanation.owners.owner.value == 0) {
    return Json::array();
  }
  const auto age = explanation.service.policy.copy_after;
  return {{{"instance", explanation.owners.owner.value},
           {"what", "the record of the flow"}},
          {{"instance", explanation.owners.standby.value},
           {"what",
            "a copy, if the flow is away from its partition's fallback "
            "and older than " +
                std::to_string(age.count()) + " ms"}}};
}

Json TargetJson(const RankedTarget& ranked) {
  return {{"target", ranked.target.id.value},
          {"domain", ranked.target.domain.value},
          {"tunnel", ranked.target.tunnel.ToString()},
          {"weight", ranked.target.weight},
          {"state", Word(ranked.target.state)},
          {"rank", Word(ranked.rank)},
          {"why", WhyTarget(ranked)}};
}

/// The exceptions that shaped this service or one of its targets.
Json ExceptionsFor(const FlowExplanation& explanation,
                   const core::Configuration& configuration) {
  const std::string subject = "services/" + explanation.service.name;
  Json exceptions = Json::array();
  for (const core::ConfigurationException& exception :
       configuration.exceptions) {
    if (exception.subject == subject) {
      exceptions.push_back({{"subject", exception.subject},
                            {"keys", exception.keys},
                            {"reason", exception.reason}});
    }
  }
  return exceptions;
}

}  // namespace

std::string_view Word(TargetRank rank) {
  switch (rank) {
    case TargetRank::kSubset:
      return "subset";
    case TargetRank::kReserve:
      return "reserve";
    case TargetRank::kSpill:
      return "spill";
  }
  return "unknown";
}

std::optional<common::FlowKey> ParseFlow(std::string_view text) {
  const std::size_t arrow = text.find(kArrow);
  if (arrow == std::string_view::npos) {
    return std::nullopt;
  }
  const auto caller = common::Endpoint::Parse(text.substr(0, arrow));
  const auto service =
      common::Endpoint::Parse(text.substr(arrow + kArrow.size()));
  if (!caller || !service) {
    return std::nullopt;
  }
  return common::FlowKey{*caller, *service};
}

tl::expected<FlowExplanation, std::string> ExplainFlow(
    const common::FlowKey& flow,
    const std::shared_ptr<const core::Configuration>& configuration,
    const core::FleetView& view) {
  const core::ServiceDirectory directory(configuration);
  const auto service = directory.Find(flow.service);
  if (!service) {
    return tl::unexpected("no service has the address " +
                          flow.service.ToString() +
                          "; its packets are dropped");
  }
  core::TargetSet targets;
  targets.OnConfiguration(*configuration, std::chrono::milliseconds{0});
  const core::SubsetMap subsets(*configuration, directory, targets,
                                view.domain);
  const core::OwnerMap owners(subsets, directory.PartitionCount(), view);
  const common::Fingerprint fingerprint =
      common::FingerprintOf(flow, configuration->hash_seed);
  const core::PartitionIndex partition =
      directory.PartitionOf(*service, fingerprint);
  const core::PartitionSubset subset = subsets.At(partition);

  FlowExplanation explanation;
  explanation.flow = flow;
  explanation.fingerprint = fingerprint;
  explanation.service = directory.At(*service);
  explanation.partition = directory.KeyOf(partition);
  explanation.home = subset.home;
  explanation.owners = owners.At(partition);
  std::vector<RankedTarget>& ranked = explanation.targets;
  Append(ranked, targets, subset.subset, TargetRank::kSubset);
  Append(ranked, targets, subset.reserve, TargetRank::kReserve);
  Append(ranked, targets, subset.spill, TargetRank::kSpill);
  return explanation;
}

std::string WriteExplanation(const FlowExplanation& explanation,
                             const core::Configuration& configuration,
                             const core::FleetView& view) {
  Json targets = Json::array();
  for (const RankedTarget& ranked : explanation.targets) {
    targets.push_back(TargetJson(ranked));
  }
  const Json json = {
      {"flow", explanation.flow.ToString()},
      {"fingerprint", Hex(explanation.fingerprint.value)},
      {"revision", configuration.revision.value},
      {"service", explanation.service.name},
      {"placement", explanation.service.policy.placement},
      {"partition", explanation.partition.partition.value},
      {"home_domain", explanation.home.value},
      {"owner", explanation.owners.owner.value},
      {"owner_why", WhyOwner(explanation)},
      {"standby", explanation.owners.standby.value},
      {"standby_why", "second in that order: inherits when the owner goes"},
      {"known_by", KnownBy(explanation)},
      {"lease", Word(view.lease)},
      {"targets", std::move(targets)},
      {"exceptions", ExceptionsFor(explanation, configuration)}};
  constexpr int kIndent = 2;
  return json.dump(kIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace sassafrasdyke::observe
