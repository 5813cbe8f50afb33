#include "core/steering/target_choice.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::uint64_t kShareSalt = 0x7368617265ULL;

/// A failure domain with less than this part of its fair share of a service's
/// usable targets sends some new flows elsewhere. Few targets can't be shared
/// evenly: a domain with one of four among three has three quarters of its
/// share, and keeps its flows.
constexpr double kFewLocal = 0.6;

constexpr std::uint64_t kSpillSalt = 0x7370696C6CULL;

/// Uniform in [0, 1), from the flow alone: a repeated SYN falls alike.
double UniformOf(common::Fingerprint flow) {
  constexpr unsigned kDroppedBits = 11;
  constexpr double kUnit = 1.0 / 9007199254740992.0;  // 2^-53
  const std::uint64_t hash = common::HashNumbers(flow.value, 0, kSpillSalt);
  return static_cast<double>(hash >> kDroppedBits) * kUnit;
}

/// The position of the service that the flow's hash falls to. The same on
/// every instance, so that a repeated SYN stays with its service.
std::size_t ShareOf(const Route& route, common::Fingerprint flow) {
  const std::uint64_t hash = common::HashNumbers(flow.value, 0, kShareSalt);
  std::uint64_t left = hash % std::max<std::uint64_t>(route.total_weight, 1);
  for (std::size_t i = 0; i < route.shares.size(); ++i) {
    if (left < route.shares[i].weight) {
      return i;
    }
    left -= route.shares[i].weight;
  }
  return 0;
}

/// Usable targets of a service, as one failure domain sees them.
struct LocalShare {
  std::size_t local;
  std::size_t remote;
  std::size_t domains;
};

/// The domain's part of its fair share of the targets.
double PartOf(const LocalShare& share) {
  const double fair = static_cast<double>(share.local + share.remote) /
                      static_cast<double>(share.domains);
  return static_cast<double>(share.local) / fair;
}

// A failure domain that has lost most of its targets would send the load of the
// whole domain to the one that is left, which sheds, while targets elsewhere
// idle. Clients are as many in each domain, so the part of the new flows beyond
// the domain's share of the targets goes to others.
bool Spills(const LocalShare& share, common::Fingerprint flow) {
  if (share.remote == 0) {
    return false;
  }
  const double part = PartOf(share);
  return part < kFewLocal && UniformOf(flow) >= part;
}

}  // namespace

std::optional<Choice> TargetChoice::Choose(const ChoiceQuery& query) const {
  const std::size_t first = ShareOf(query.route, query.flow);
  const std::size_t count = query.route.shares.size();
  // The route allows any of its services; a flow whose own share has nobody
  // left is better served by another than refused.
  for (std::size_t i = 0; i < count; ++i) {
    const ServiceShare& share = query.route.shares[(first + i) % count];
    if (const auto choice = this->ChooseOf(share.service, query)) {
      return choice;
    }
  }
  return std::nullopt;
}

bool TargetChoice::Usable(TargetIndex index, const ChoiceQuery& query) const {
  return query.except != index && !this->watch.Suspected(index, query.now);
}

std::optional<Choice> TargetChoice::ChooseOf(const std::string& service,
                                             const ChoiceQuery& query) const {
  const ServingTargets& serving = this->targets.ServingByDomain(service);
  std::vector<TargetIndex> local;
  std::size_t remote_serving = 0;
  const std::string& preferred = query.instead ? *query.instead : this->domain;
  for (const auto& [domain, indexes] : serving) {
    if (domain != preferred) {
      remote_serving += indexes.size();
      continue;
    }
    std::ranges::copy_if(
        indexes, std::back_inserter(local),
        [&](TargetIndex index) { return this->Usable(index, query); });
  }
  if (!local.empty() && query.instead) {
    return Choice{this->NextInTurn(local, query), SteeringReason::kRelieved};
  }
  // Most flows end here, without a look at the targets of other domains: fewer
  // of those are usable than serve, so the domain's part is no smaller.
  const LocalShare at_least{local.size(), remote_serving, serving.size()};
  if (!local.empty() && PartOf(at_least) >= kFewLocal) {
    return Choice{this->NextInTurn(local, query), SteeringReason::kLocal};
  }
  return this->ChooseOfAll(service, local, query);
}

std::optional<Choice> TargetChoice::ChooseOfAll(
    const std::string& service, const std::vector<TargetIndex>& local,
    const ChoiceQuery& query) const {
  std::vector<TargetIndex> remote;
  std::vector<TargetIndex> suspected;
  const ServingTargets& serving = this->targets.ServingByDomain(service);
  const std::string& preferred = query.instead ? *query.instead : this->domain;
  for (const auto& [domain, indexes] : serving) {
    const bool is_local = domain == preferred;
    for (const TargetIndex index : indexes) {
      if (!this->Usable(index, query)) {
        suspected.push_back(index);
      } else if (!is_local) {
        remote.push_back(index);
      }
    }
  }
  // While few targets are enough, flows would only have a longer way elsewhere.
  // Where the way counts for little they spill anyway: by the time that answers
  // show a queue, hundreds may wait in it.
  const LocalShare share{local.size(), remote.size(), serving.size()};
  const bool stays = !Spills(share, query.flow) ||
                     this->answer_times.WayOutweighsWork(service, query.now);
  if (!local.empty() && stays) {
    return Choice{this->NextInTurn(local, query), SteeringReason::kLocal};
  }
  if (!remote.empty()) {
    return Choice{this->NextInTurn(remote, query), SteeringReason::kSpilled};
  }
  if (!suspected.empty()) {
    return Choice{this->LeastSuspected(suspected), SteeringReason::kSuspected};
  }
  return std::nullopt;
}

TargetIndex TargetChoice::NextInTurn(const std::vector<TargetIndex>& options,
                                     const ChoiceQuery& query) const {
  TargetIndex best = options.front();
  std::size_t least_waiting = 0;
  double least = 0;
  std::uint64_t least_hash = 0;
  for (const TargetIndex index : options) {
    const PublishedTarget& target = this->targets.At(index).published;
    const double turn = this->turns.TurnOf(index, target.service);
    const std::size_t waiting = this->pending.UnansweredAt(index);
    // Equal ones are taken by the flow's hash: instances that start together
    // would otherwise all begin with the same target.
    const std::uint64_t hash =
        common::HashNumbers(query.flow.value, target.number.value, kShareSalt);
    const bool first = index == options.front();
    if (first || std::tie(waiting, turn, hash) <
                     std::tie(least_waiting, least, least_hash)) {
      best = index;
      least_waiting = waiting;
      least = turn;
      least_hash = hash;
    }
  }
  return best;
}

void TargetChoice::OnPlaced(TargetIndex target) {
  const PublishedTarget& placed = this->targets.At(target).published;
  this->turns.OnPlaced(target, placed.service, placed.slots);
}

TargetIndex TargetChoice::LeastSuspected(
    const std::vector<TargetIndex>& options) const {
  // The one whose failure is longest ago is the likeliest to be back.
  return *std::min_element(
      options.begin(), options.end(), [this](TargetIndex a, TargetIndex b) {
        return this->watch.LastMissed(a) < this->watch.LastMissed(b);
      });
}

}  // namespace sassafrasdyke::core
