#include "core/view/live_view.h"

#include <unordered_set>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// The services that a configuration names, with routes or without.
std::unordered_set<std::string> ServicesOf(
    const PublishedConfiguration& configuration) {
  std::unordered_set<std::string> names;
  for (const PublishedService& service : configuration.services) {
    names.insert(service.name);
  }
  for (const PublishedRoute& route : configuration.routes) {
    for (const ServiceShare& share : route.shares) {
      names.insert(share.service);
    }
  }
  return names;
}

}  // namespace

void LiveView::OnListing(std::vector<Item> items, common::Revision at,
                         std::chrono::milliseconds now) {
  this->ApplyItems(this->items.Replace(std::move(items), at), now, now);
}

void LiveView::OnChanges(ChangeBatch batch, std::chrono::milliseconds now) {
  std::vector<std::string> changed;
  for (Item& item : batch.changes) {
    std::string key = item.key;
    if (this->items.Merge(std::move(item))) {
      changed.push_back(std::move(key));
    }
  }
  this->items.CompleteTo(batch.at);
  this->ApplyItems(changed, now, now);
}

void LiveView::OnPeerItems(
    ItemDelta delta, std::chrono::milliseconds now,
    std::optional<std::chrono::milliseconds> confirmed_ago) {
  const auto published_by =
      now - confirmed_ago.value_or(std::chrono::milliseconds{0});
  this->ApplyItems(this->items.Apply(std::move(delta)), published_by, now);
}

void LiveView::ApplyItems(const std::vector<std::string>& changed,
                          std::chrono::milliseconds published_by,
                          std::chrono::milliseconds now) {
  for (const std::string& key : changed) {
    if (const std::string* const value = this->items.ValueOf(key)) {
      this->ApplyItem(key, *value, published_by, now);
    } else {
      this->ApplyRemoval(key, now);
    }
  }
  this->ReportUnknownRegions();
}

void LiveView::SetRegions(RegionMap regions) {
  this->regions = std::move(regions);
  this->reported_domains.clear();
  this->ReportUnknownRegions();
}

void LiveView::ReportUnknownRegions() {
  if (!this->routes.RestrictsRegions()) {
    return;
  }
  for (const std::string& domain : this->targets.ServingDomains()) {
    if (!this->regions.Knows(domain) &&
        this->reported_domains.insert(domain).second) {
      this->changes.emplace_back(RegionUnknown{domain});
    }
  }
}

// While the store is unreachable, targets can't renew their entries, so the
// entries expire although the targets still serve. If the removals were applied
// at once, new flows would find no target and open ones would be reset until
// the targets have registered again. So they are deferred for the time that
// targets may take to do so.
//
// Evacuations are published by the operator and never expire, so their removal
// always takes effect at once.
void LiveView::ApplyRemoval(const std::string& key,
                            std::chrono::milliseconds now) {
  if (this->LiftEvacuation(key)) {
    return;
  }
  if (this->contact.LapseLikely(now)) {
    this->targets.Remove(key, now, this->contact.RemovalEffectiveAt(now));
  } else {
    this->targets.Remove(key, now, std::nullopt);
  }
}

void LiveView::ApplyItem(const std::string& key, const std::string& value,
                         std::chrono::milliseconds published_by,
                         std::chrono::milliseconds now) {
  const common::Revision revision = this->items.RevisionOf(key);
  auto read = this->publication.ReadItem(key, value);
  if (!read) {
    this->targets.MarkUnreadable(key, now);
    this->changes.push_back(ItemUnreadable{key, read.error()});
    return;
  }
  if (auto* const target = std::get_if<PublishedTarget>(&*read)) {
    target->revision = revision;
    target->cold_until = published_by + target->warmup_left;
    this->targets.Publish(key, *target, now);
    return;
  }
  if (const auto* const evacuation = std::get_if<PublishedEvacuation>(&*read)) {
    this->ApplyEvacuation(key, evacuation->domain, revision);
    return;
  }
  this->ApplyConfiguration(std::get<PublishedConfiguration>(std::move(*read)),
                           now);
}

void LiveView::ApplyEvacuation(const std::string& key,
                               const std::string& domain,
                               common::Revision revision) {
  if (!this->evacuations.try_emplace(key, domain).second) {
    return;  // Published again.
  }
  const std::size_t affected = this->targets.SetEvacuated(domain, true);
  this->changes.emplace_back(
      EvacuationChange{domain, true, affected, revision});
}

bool LiveView::LiftEvacuation(const std::string& key) {
  const auto lifted = this->evacuations.extract(key);
  if (!lifted) {
    return false;
  }
  const std::string& domain = lifted.mapped();
  const std::size_t affected = this->targets.SetEvacuated(domain, false);
  this->changes.emplace_back(EvacuationChange{domain, false, affected, {}});
  return true;
}

void LiveView::ApplyConfiguration(PublishedConfiguration configuration,
                                  std::chrono::milliseconds now) {
  const std::uint64_t version = configuration.version;
  const std::uint64_t before = this->routes.Version();
  std::unordered_set<std::string> services = ServicesOf(configuration);
  const auto outcome = this->routes.Replace(std::move(configuration), now);
  if (outcome == ConfigurationOutcome::kOlder) {
    this->changes.emplace_back(ConfigurationRefused{version, before});
    return;
  }
  this->targets.SetServices(std::move(services), now);
  this->changes.emplace_back(
      ConfigurationInForce{version, this->routes.Size()});
}

void LiveView::OnTick(std::chrono::milliseconds now) {
  if (const auto age = this->contact.Age(now)) {
    this->targets.Expire(now, now - *age);
  }
}

std::vector<ViewChange> LiveView::TakeChanges() {
  for (TargetChange& change : this->targets.TakeChanges()) {
    this->changes.push_back(std::move(change));
  }
  return std::exchange(this->changes, {});
}

}  // namespace sassafrasdyke::core
