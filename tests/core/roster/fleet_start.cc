#include "core/roster/fleet_start.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kStep = 5ms;
constexpr milliseconds kTick = 100ms;
constexpr milliseconds kKnownWithin = 6s;
constexpr milliseconds kDuration = 10s;
constexpr milliseconds kStartSpread = 300ms;
constexpr milliseconds kDelayWithinDomain = 1ms;
constexpr milliseconds kDelayBetweenDomains = 4ms;
constexpr milliseconds kStallTimeout = 500ms;
constexpr milliseconds kWatchTime = 1500ms;

constexpr double kStoreBytesPerStep = 125e6 * 0.005;  // 1,000 Mbit/s.
constexpr double kLinkBytesPerStep = 2.5e6 * 0.005;   // 20 Mbit/s.
constexpr std::array<double, 3> kPageBytes{453e3, 163e3, 1e3};
constexpr double kWatchAnswerBytes = 100;
constexpr double kSmallPageBytes = 20e3;
constexpr double kCopyBytes = 92e3;
constexpr double kSmallCopyBytes = 4e3;
constexpr std::size_t kMaxCopies = 3;
constexpr std::size_t kSeeds = 3;
constexpr std::uint32_t kFirstAddress = 0x0A000001;
constexpr std::uint64_t kRevision = 100;

common::Endpoint AddressOf(std::size_t id) {
  return {
      common::IpAddress::FromV4(kFirstAddress + static_cast<std::uint32_t>(id)),
      7720};
}

}  // namespace

FleetStartModel::FleetStartModel(const FleetStart& start)
    : start(start), jitter(start.seed) {
  this->store.Merge({"configuration", {kRevision}, "1 198.18.0.1:443=diary"});
  this->store.CompleteTo({kRevision});
  std::vector<common::Endpoint> seeds;
  for (std::size_t i = 0; i < kSeeds; ++i) {
    // Seeds that are down have addresses that no instance uses.
    const bool down = i < start.seeds_down;
    seeds.push_back(AddressOf(down ? start.instances + i : i));
  }
  for (NodeId id = 0; id < start.instances; ++id) {
    const std::uint64_t seed = start.seed * 1000 + id;
    auto node = std::make_unique<Node>(this->publication, seed);
    const std::size_t domain = id % start.domains;
    node->sync = std::make_unique<PeerSync>(
        RosterSelf{AddressOf(id), "domain-" + std::to_string(domain)}, seeds,
        node->view, SyncLimitsFor(PropagationScale(kKnownWithin)), seed);
    node->starts_at = this->jitter.UpTo(kStartSpread);
    node->refused =
        domain < start.refused_domains || this->Chance(start.instances_refused);
    this->nodes.push_back(std::move(node));
  }
}

FleetStartOutcome FleetStartModel::Run() {
  while (this->now < kDuration) {
    this->now += kStep;
    this->Step();
  }
  FleetStartOutcome outcome{milliseconds{0}, this->store_calls,
                            this->refused_calls};
  for (const auto& node : this->nodes) {
    if (!node->usable_at) {
      outcome.slowest.reset();
      return outcome;
    }
    outcome.slowest =
        std::max(*outcome.slowest, *node->usable_at - node->starts_at);
  }
  return outcome;
}

void FleetStartModel::Step() {
  this->Deliver();
  this->AdvanceTransfers();
  for (NodeId id = 0; id < this->nodes.size(); ++id) {
    Node& node = *this->nodes[id];
    if (!node.started && node.starts_at <= this->now) {
      this->Start(id);
    }
    if (!node.started) {
      continue;
    }
    if (this->now - node.starts_at >= SyncLimits().probe_after &&
        !std::exchange(node.reading_checked, true)) {
      this->ChooseReading(node);
    }
    if (node.ticks_at <= this->now) {
      node.ticks_at = this->now + kTick;
      this->Dispatch(id, node.sync->OnTick(this->now - node.starts_at));
      this->ChooseReading(node);
    }
    this->Read(id);
    if (node.copy && node.copy->bytes.bytes <= 0 &&
        node.copy->bytes.starts_at <= this->now) {
      this->FinishCopy(id);
    }
  }
}

void FleetStartModel::Start(NodeId id) {
  Node& node = *this->nodes[id];
  node.started = true;
  node.ticks_at = this->now + kTick;
  this->ChooseReading(node);
  this->Dispatch(id, node.sync->OnStart(this->now - node.starts_at));
}

void FleetStartModel::Dispatch(NodeId from, SyncActions actions) {
  for (DigestOut& out : actions.digests) {
    const NodeId to = this->IdOf(out.to);
    if (to < this->nodes.size()) {
      const Time at = this->now + this->DelayBetween(from, to);
      this->in_flight.push_back({at, std::move(out)});
    }
  }
  if (actions.pull) {
    this->Pull(from, this->IdOf(*actions.pull));
  }
}

void FleetStartModel::Deliver() {
  std::vector<Message> due;
  std::vector<Message> later;
  for (Message& message : this->in_flight) {
    (message.at <= this->now ? due : later).push_back(std::move(message));
  }
  this->in_flight = std::move(later);
  for (const Message& message : due) {
    const NodeId to = this->IdOf(message.out.to);
    Node& node = *this->nodes[to];
    if (!node.started) {
      continue;
    }
    this->Dispatch(to, node.sync->OnDigest(message.out.digest,
                                           this->now - node.starts_at));
    this->ChooseReading(node);
    this->NoteUsable(to);
  }
}

void FleetStartModel::ChooseReading(Node& node) {
  const StoreReading wanted = node.sync->Reading(this->now - node.starts_at);
  if (wanted == node.reading) {
    return;
  }
  node.reading = wanted;
  node.retries =
      Backoff(wanted == StoreReading::kSubstitute ? BackoffLimits{400ms, 3000ms}
                                                  : BackoffLimits{50ms, 400ms});
  node.calls_at = this->now;
}

void FleetStartModel::Read(NodeId id) {
  Node& node = *this->nodes[id];
  if (node.call) {
    const Transfer& page = node.call->page;
    if (page.bytes <= 0 && page.starts_at <= this->now) {
      this->OnPage(id);
    } else if (node.call->stalls_at <= this->now) {
      this->OnCallFailed(node);
    }
    return;
  }
  if (node.reading == StoreReading::kNone || node.calls_at > this->now) {
    return;
  }
  ++this->store_calls;
  const bool probe_too_large =
      node.reading == StoreReading::kProbe && this->start.large_view;
  if (node.refused || probe_too_large || this->StoreIsAway()) {
    this->refused_calls += this->StoreIsAway() ? 1 : 0;
    this->OnCallFailed(node);
    return;
  }
  // An instance with a view watches; there are no changes to report.
  double bytes = kWatchAnswerBytes;
  if (!node.view.Usable()) {
    bytes =
        this->start.large_view ? kPageBytes.at(node.pages) : kSmallPageBytes;
  }
  const Time waits = node.view.Usable() ? kWatchTime : 0ms;
  const Time first_byte = this->now + waits + this->start.store_latency;
  node.call = Call{{first_byte, bytes, this->Chance(this->start.answers_lost)},
                   this->now + waits + kStallTimeout};
}

bool FleetStartModel::StoreIsAway() const {
  const Time since = this->now - this->start.store_away_from;
  return since >= 0ms && since < this->start.store_away_for;
}

void FleetStartModel::OnCallFailed(Node& node) {
  node.call.reset();
  node.view.Contact().OnFailure();
  node.sync->OnStoreFailure(this->now - node.starts_at);
  this->ChooseReading(node);
  node.calls_at = this->now + node.retries.OnFailure(node.jitter);
}

void FleetStartModel::OnPage(NodeId id) {
  Node& node = *this->nodes[id];
  const Time uptime = this->now - node.starts_at;
  node.call.reset();
  node.retries.OnSuccess();
  node.calls_at = this->now;
  const common::Revision before = node.view.Items().Complete();
  if (!node.view.Usable()) {
    ++node.pages;
    if (this->start.large_view && node.pages < kPageBytes.size()) {
      return;
    }
    node.view.OnPeerItems(this->store.Since({0}), uptime);
  }
  node.view.Contact().OnAnswer(uptime);
  this->Dispatch(id, node.sync->OnStoreRead(before, uptime));
  this->NoteUsable(id);
}

void FleetStartModel::Pull(NodeId receiver, NodeId source_id) {
  Node& node = *this->nodes[receiver];
  CopyTransfer copy;
  copy.from = source_id;
  copy.bytes.starts_at =
      this->now + 2 * this->DelayBetween(receiver, source_id);
  Node& source = *this->nodes[source_id];
  const auto active_copies =
      std::ranges::count_if(this->nodes, [&](const auto& one) {
        return one->copy && one->copy->from == source_id && !one->copy->refused;
      });
  copy.refused = !source.view.Usable() ||
                 static_cast<std::size_t>(active_copies) >= kMaxCopies;
  if (!copy.refused) {
    copy.bytes.bytes = this->start.large_view ? kCopyBytes : kSmallCopyBytes;
    copy.delta = source.view.Items().Since({0});
    copy.status = source.sync->Status(this->now - source.starts_at);
    source.receivers.push_back(receiver);
  }
  node.copy = std::move(copy);
}

// The bandwidth of each link is divided equally among its active transfers. A
// transfer advances at the lower of the rates at its two ends.
void FleetStartModel::AdvanceTransfers() {
  const auto is_active = [this](const Transfer& transfer) {
    return transfer.starts_at <= this->now && transfer.bytes > 0 &&
           !transfer.lost;
  };
  double from_store = 0;
  std::vector<double> into(this->nodes.size());
  std::vector<double> out_of(this->nodes.size());
  for (NodeId id = 0; id < this->nodes.size(); ++id) {
    const Node& node = *this->nodes[id];
    if (node.call && is_active(node.call->page)) {
      ++from_store;
      ++into[id];
    }
    if (node.copy && is_active(node.copy->bytes)) {
      ++into[id];
      ++out_of[node.copy->from];
    }
  }
  for (NodeId id = 0; id < this->nodes.size(); ++id) {
    Node& node = *this->nodes[id];
    const double in = into[id] == 0 ? 0 : kLinkBytesPerStep / into[id];
    if (node.call && is_active(node.call->page)) {
      node.call->page.bytes -= std::min(kStoreBytesPerStep / from_store, in);
      node.call->stalls_at = this->now + kStallTimeout;
    }
    if (node.copy && is_active(node.copy->bytes)) {
      node.copy->bytes.bytes -=
          std::min(kLinkBytesPerStep / out_of[node.copy->from], in);
    }
  }
}

void FleetStartModel::FinishCopy(NodeId id) {
  Node& node = *this->nodes[id];
  CopyTransfer copy = std::move(*std::exchange(node.copy, std::nullopt));
  if (!copy.refused) {
    const Time uptime = this->now - node.starts_at;
    this->Dispatch(
        id, node.sync->OnPulled(std::move(copy.delta), copy.status, uptime));
    this->NoteUsable(id);
    return;
  }
  const std::vector<NodeId>& receivers = this->nodes[copy.from]->receivers;
  std::optional<common::Endpoint> instead;
  if (!receivers.empty()) {
    instead = AddressOf(receivers[this->jitter.Below(receivers.size())]);
  }
  this->Dispatch(id, node.sync->OnPullRefused(instead));
}

void FleetStartModel::NoteUsable(NodeId id) {
  Node& node = *this->nodes[id];
  if (node.view.Usable() && !node.usable_at) {
    node.usable_at = this->now;
    node.call.reset();
    this->ChooseReading(node);
  }
}

FleetStartModel::Time FleetStartModel::DelayBetween(NodeId one,
                                                    NodeId other) const {
  const std::size_t domains = this->start.domains;
  return one % domains == other % domains ? kDelayWithinDomain
                                          : kDelayBetweenDomains;
}

FleetStartModel::NodeId FleetStartModel::IdOf(
    const common::Endpoint& address) const {
  return address.address.V4() - kFirstAddress;
}

bool FleetStartModel::Chance(double probability) {
  constexpr std::uint64_t kSteps = 1'000'000;
  return static_cast<double>(this->jitter.Below(kSteps)) < probability * kSteps;
}

}  // namespace sassafrasdyke::core
