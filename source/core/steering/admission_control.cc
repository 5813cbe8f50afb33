#include "core/steering/admission_control.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// SYNs that a full queue loses before their order is determined anew.
constexpr std::size_t kLastInLine = 64;

std::unique_ptr<SynOrder> NewOrder(bool fair) {
  if (fair) {
    return std::make_unique<FairOrder>();
  }
  return std::make_unique<RankOrder>();
}

}  // namespace

const OverloadPolicy& DefaultOverloadPolicy() {
  static const RefuseHopeless policy;
  return policy;
}

AdmissionControl::AdmissionControl(const RouteTable& routes,
                                   const FlowSteering& steering,
                                   const SharedObservations& shared,
                                   const OverloadPolicy& overload)
    : routes(routes),
      steering(steering),
      fair(shared.fair_admission),
      overload(overload) {}

std::optional<AdmissionGrant> AdmissionControl::Admit(
    const FlowPacket& packet, std::span<const std::uint8_t> bytes,
    milliseconds arrived_at, milliseconds now) {
  if (!packet.flags.syn || packet.flags.ack) {
    // The flow was opened through another instance that got a copy of the SYN.
    // Forwarding the queued SYN now would open it at a second target.
    this->queue.Forget(packet.flow);
    this->copies.Forget(packet.flow);
    return AdmissionGrant{};
  }
  const Route* const route = this->routes.Find(packet.flow.service);
  if (route == nullptr || this->steering.IsHalfOpen(packet.flow)) {
    return AdmissionGrant{};
  }
  // While SYNs are queued, new ones join the queue: the order is decided among
  // all of them.
  if (this->queue.Size() == 0) {
    if (auto grant = this->steering.Limiter().GrantFor(*route, now)) {
      this->copies.Forget(packet.flow);
      return grant;
    }
  }
  // Without fair admission, further SYNs are admitted at once when a flood has
  // filled the queue.
  const bool waits = this->Hold(packet, bytes, arrived_at, now);
  return waits ? std::nullopt : std::make_optional<AdmissionGrant>();
}

bool AdmissionControl::Hold(const FlowPacket& packet,
                            std::span<const std::uint8_t> bytes,
                            milliseconds arrived_at, milliseconds now) {
  const std::uint32_t rank = this->RankOf(packet.flow.service);
  this->refused_by_rank.try_emplace(rank);
  if (!this->fair) {
    return this->queue.Hold(packet, bytes, arrived_at);
  }
  const std::string service =
      this->ServiceOf(this->routes.Find(packet.flow.service));
  this->copies.OnHeld(packet, arrived_at);
  this->LineOf(service).departures.OnQueue(true, now);
  if (this->queue.Hold(packet, bytes, arrived_at)) {
    this->last_in_line.clear();  // Computed for another content.
    return true;
  }
  if (this->MakeRoom(service, rank, now)) {
    this->queue.Hold(packet, bytes, arrived_at);
  } else if (JudgeLastInFullQueue(this->copies.HasAll(packet.flow)).refuse) {
    this->OnRefused({packet.flow, {bytes.begin(), bytes.end()}}, rank);
  }
  return true;
}

bool AdmissionControl::MakeRoom(const std::string& service, std::uint32_t rank,
                                milliseconds now) {
  std::erase_if(this->last_in_line, [this](const SynPlace& place) {
    return !this->queue.Contains(place.flow);
  });
  if (this->last_in_line.empty()) {
    this->queue.Expire(now);
    if (!this->queue.Full()) {
      return true;
    }
    const WaitingRoutes waiting = this->RoutesByService();
    this->last_in_line_of = this->LargestService(waiting);
    auto line =
        this->LineOf(this->last_in_line_of)
            .order->Line(this->queue, waiting.at(this->last_in_line_of), now);
    std::ranges::stable_sort(line, {}, &SynPlace::Ahead);
    const std::size_t count = std::min(line.size(), kLastInLine);
    this->last_in_line.assign(line.end() - static_cast<std::ptrdiff_t>(count),
                              line.end());
  }
  if (this->last_in_line.empty()) {
    return true;
  }
  const SynPlace last = this->last_in_line.back();
  if (this->last_in_line_of == service && last.rank < rank &&
      this->AheadOfNew(service, rank) >= last.Ahead()) {
    return false;
  }
  this->last_in_line.pop_back();
  auto syn = this->queue.Take(last.flow);
  // The client may have sent its next copy through another instance.
  const bool current = syn && syn->superseded_at > now;
  if (current && JudgeLastInFullQueue(this->copies.HasAll(last.flow)).refuse) {
    this->OnRefused(std::move(*syn), last.rank);
  }
  return true;
}

std::optional<ReleasedSyn> AdmissionControl::TakeNext(milliseconds now) {
  if (this->queue.Size() == 0) {
    return std::nullopt;
  }
  for (const auto& [service, waiting] : this->RoutesByService()) {
    std::vector<WaitingRoute> open;
    std::map<common::Endpoint, AdmissionGrant> grants;
    for (const WaitingRoute& waiting_route : waiting) {
      const Route* const route = this->routes.Find(waiting_route.address);
      // FlowSteering refuses the flow of a route that was withdrawn meanwhile.
      auto grant = route == nullptr
                       ? std::make_optional<AdmissionGrant>()
                       : this->steering.Limiter().GrantFor(*route, now);
      if (grant) {
        open.push_back(waiting_route);
        grants.emplace(waiting_route.address, std::move(*grant));
      }
    }
    ServiceLine& line = this->LineOf(service);
    if (auto syn = line.order->TakeNext(this->queue, open, now)) {
      line.departures.OnLeft(now);
      line.departures.OnQueue(this->AnyWaits(waiting), now);
      this->copies.Forget(syn->flow);
      AdmissionGrant grant = std::move(grants.at(syn->flow.service));
      return ReleasedSyn{std::move(*syn), std::move(grant)};
    }
  }
  return std::nullopt;  // None may go, or all have been superseded.
}

std::string AdmissionControl::ServiceOf(const Route* route) const {
  return this->fair && route != nullptr ? MainServiceOf(*route) : std::string();
}

AdmissionControl::ServiceLine& AdmissionControl::LineOf(
    const std::string& service) {
  ServiceLine& line = this->lines[service];
  if (line.order == nullptr) {
    line.order = NewOrder(this->fair);
  }
  return line;
}

AdmissionControl::WaitingRoutes AdmissionControl::RoutesByService() const {
  WaitingRoutes waiting;
  for (const common::Endpoint& address : this->queue.Routes()) {
    const Route* const route = this->routes.Find(address);
    waiting[this->ServiceOf(route)].push_back(
        {address, route == nullptr ? 0 : route->rank,
         route == nullptr ? milliseconds{0} : this->LongestTimelyWait(*route)});
  }
  return waiting;
}

std::size_t AdmissionControl::AheadOfNew(const std::string& service,
                                         std::uint32_t rank) const {
  std::size_t all = 0;
  std::size_t in_rank = 0;
  for (const auto& [address, syns] : this->queue.ByRoute()) {
    const Route* const route = this->routes.Find(address);
    if (this->ServiceOf(route) == service) {
      all += syns.size();
      in_rank += this->RankOf(address) == rank ? syns.size() : 0;
    }
  }
  return SynsAhead(all, in_rank);
}

bool AdmissionControl::AnyWaits(std::span<const WaitingRoute> routes) const {
  return std::ranges::any_of(routes, [this](const WaitingRoute& route) {
    return this->queue.ByRoute().contains(route.address);
  });
}

std::string AdmissionControl::LargestService(
    const WaitingRoutes& waiting) const {
  const auto size = [this](const auto& service) {
    std::size_t syns = 0;
    for (const WaitingRoute& route : service.second) {
      syns += this->queue.ByRoute().at(route.address).size();
    }
    return syns;
  };
  return std::ranges::max_element(waiting, {}, size)->first;
}

void AdmissionControl::OnTick(milliseconds now) {
  this->queue.Expire(now);
  if (!this->fair) {
    return;
  }
  this->copies.Expire(now);
  const WaitingRoutes waiting = this->RoutesByService();
  for (auto& [service, line] : this->lines) {
    line.departures.OnQueue(waiting.contains(service), now);
  }
  for (const auto& [service, routes] : waiting) {
    this->RefuseHopelessSyns(this->LineOf(service), routes, now);
  }
}

// Those behind a refused SYN move up.
void AdmissionControl::RefuseHopelessSyns(
    const ServiceLine& line, const std::vector<WaitingRoute>& routes,
    milliseconds now) {
  const auto leave_per_s = line.departures.PerSecond(now);
  if (!leave_per_s) {
    return;
  }
  std::size_t gone = 0;
  std::size_t gone_in_rank = 0;
  std::uint32_t rank = 0;
  for (const SynPlace& place : line.order->Line(this->queue, routes, now)) {
    if (place.rank != rank) {
      rank = place.rank;
      gone_in_rank = 0;
    }
    const SynOutlook outlook{
        SynsAhead(place.before - gone, place.in_rank - gone_in_rank),
        now - place.first_sent, leave_per_s, this->copies.HasAll(place.flow)};
    if (this->overload.Judge(outlook).refuse) {
      if (auto syn = this->queue.Take(place.flow)) {
        this->OnRefused(std::move(*syn), place.rank);
        ++gone;
        ++gone_in_rank;
      }
    }
  }
}

void AdmissionControl::OnRefused(QueuedSyn syn, std::uint32_t rank) {
  this->copies.Forget(syn.flow);
  ++this->refused_by_rank[rank];
  this->refused.push_back(std::move(syn));
}

void AdmissionControl::OnPause() {
  this->queue.Clear();
  this->copies.Clear();
  this->lines.clear();
  this->last_in_line.clear();
}

std::map<std::uint32_t, std::size_t> AdmissionControl::WaitingByRank() const {
  std::map<std::uint32_t, std::size_t> waiting;
  for (const auto& [rank, refused] : this->refused_by_rank) {
    waiting.emplace(rank, 0);
  }
  for (const auto& [address, syns] : this->queue.ByRoute()) {
    waiting[this->RankOf(address)] += syns.size();
  }
  return waiting;
}

std::uint32_t AdmissionControl::RankOf(const common::Endpoint& address) const {
  const Route* const route = this->routes.Find(address);
  return route == nullptr ? 0 : route->rank;
}

milliseconds AdmissionControl::LongestTimelyWait(const Route& route) const {
  return std::max(ObjectiveOf(route) - this->steering.Pending().AnswerTime(),
                  milliseconds{0});
}

}  // namespace sassafrasdyke::core
