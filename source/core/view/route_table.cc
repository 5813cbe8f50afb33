#include "core/view/route_table.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// For routes that publish no objective. A caller that is answered within this
/// time doesn't retransmit its SYN.
constexpr std::chrono::milliseconds kDefaultObjective{200};

bool Contains(const std::vector<ServiceShare>& shares,
              std::string_view service) {
  return std::ranges::any_of(shares, [service](const ServiceShare& share) {
    return share.service == service;
  });
}

/// Records the services that `before` uses and `after` no longer does.
void AddFormerServices(const Route& before, Route& after,
                       std::chrono::milliseconds now,
                       std::chrono::milliseconds flow_life) {
  for (const auto& [service, until] : before.former) {
    if (until > now && !Contains(after.shares, service)) {
      after.former.emplace_back(service, until);
    }
  }
  for (const ServiceShare& share : before.shares) {
    if (!Contains(after.shares, share.service)) {
      after.former.emplace_back(share.service, now + flow_life);
    }
  }
}

}  // namespace

bool Route::Uses(std::string_view service) const {
  return Contains(this->shares, service);
}

bool Route::MayUse(std::string_view service,
                   std::chrono::milliseconds now) const {
  if (this->Uses(service)) {
    return true;
  }
  return std::ranges::any_of(this->former, [&](const auto& former) {
    return former.first == service && former.second > now;
  });
}

std::chrono::milliseconds ObjectiveOf(const Route& route) {
  return route.objective.value_or(kDefaultObjective);
}

const std::string& MainServiceOf(const Route& route) {
  return std::ranges::max_element(route.shares, {}, &ServiceShare::weight)
      ->service;
}

ConfigurationOutcome RouteTable::Replace(PublishedConfiguration configuration,
                                         std::chrono::milliseconds now) {
  if (configuration.version <= this->version) {
    return ConfigurationOutcome::kOlder;
  }
  std::unordered_map<common::Endpoint, Route, EndpointHash> next;
  next.reserve(configuration.routes.size());
  bool restricts = false;
  for (PublishedRoute& published : configuration.routes) {
    Route& route = next[published.address];
    route.shares = std::move(published.shares);
    route.objective = published.objective;
    route.rank = published.rank;
    route.allowed_regions = std::move(published.allowed_regions);
    restricts = restricts || !route.allowed_regions.empty();
    route.total_weight = 0;
    for (const ServiceShare& share : route.shares) {
      route.total_weight += share.weight;
    }
    if (const Route* before = this->Find(published.address);
        before != nullptr) {
      AddFormerServices(*before, route, now, this->flow_life);
    }
  }
  for (const auto& [address, route] : this->routes) {
    if (!next.contains(address)) {
      this->withdrawn[address] = now + this->flow_life;
    }
  }
  this->routes = std::move(next);
  std::erase_if(this->withdrawn, [&](const auto& entry) {
    return entry.second <= now || this->routes.contains(entry.first);
  });
  this->warmup_rates.clear();
  for (const PublishedService& service : configuration.services) {
    if (service.warmup_rate) {
      this->warmup_rates.emplace(service.name, *service.warmup_rate);
    }
  }
  this->restricts_regions = restricts;
  this->version = configuration.version;
  return ConfigurationOutcome::kInForce;
}

std::optional<double> RouteTable::WarmupRate(const std::string& service) const {
  const auto found = this->warmup_rates.find(service);
  return found == this->warmup_rates.end() ? std::nullopt
                                           : std::make_optional(found->second);
}

std::optional<std::chrono::milliseconds> RouteTable::WithdrawnFor(
    const common::Endpoint& address, std::chrono::milliseconds now) const {
  const auto found = this->withdrawn.find(address);
  if (found == this->withdrawn.end() || found->second <= now) {
    return std::nullopt;
  }
  return this->flow_life - (found->second - now);
}

const Route* RouteTable::Find(const common::Endpoint& address) const {
  const auto found = this->routes.find(address);
  return found == this->routes.end() ? nullptr : &found->second;
}

}  // namespace sassafrasdyke::core
