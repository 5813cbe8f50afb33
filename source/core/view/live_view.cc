#include "core/view/live_view.h"

#include <utility>

namespace sassafrasdyke::core {

void LiveView::OnListing(const std::vector<Item>& items, common::Revision at,
                         std::chrono::milliseconds now) {
  this->Take(this->items.Replace(items, at), now);
}

void LiveView::OnChanges(const ChangeBatch& batch,
                         std::chrono::milliseconds now) {
  std::vector<Item> changed;
  for (const Item& item : batch.changes) {
    if (this->items.Merge(item)) {
      changed.push_back(item);
    }
  }
  this->items.CompleteTo(batch.at);
  this->Take(changed, now);
}

void LiveView::OnPeerItems(const ItemDelta& delta,
                           std::chrono::milliseconds now) {
  this->Take(this->items.Apply(delta), now);
}

void LiveView::Take(const std::vector<Item>& changed,
                    std::chrono::milliseconds now) {
  for (const Item& item : changed) {
    if (item.value) {
      this->TakeItem(item, now);
    } else {
      this->TakeRemoval(item, now);
    }
  }
}

// While the store is away, targets can't renew their entries, and they lapse
// though the targets serve. Believing that at once would leave new flows with
// nobody to go to, and reset open ones, until the targets have registered
// again. The removals count once the time that they may take has passed.
void LiveView::TakeRemoval(const Item& item, std::chrono::milliseconds now) {
  if (this->contact.LapseLikely(now)) {
    this->targets.Remove(item.key, now, this->contact.RemovalDue(now));
  } else {
    this->targets.Remove(item.key, now, std::nullopt);
  }
}

void LiveView::TakeItem(const Item& item, std::chrono::milliseconds now) {
  const auto read = this->publication.ReadItem(item.key, *item.value);
  if (!read) {
    this->targets.MarkUnreadable(item.key);
    this->changes.push_back(ItemUnreadable{item.key, read.error()});
    return;
  }
  if (const auto* target = std::get_if<PublishedTarget>(&*read)) {
    this->targets.Publish(item.key, *target, now);
    return;
  }
  this->TakeConfiguration(std::get<PublishedConfiguration>(*read), now);
}

void LiveView::TakeConfiguration(const PublishedConfiguration& configuration,
                                 std::chrono::milliseconds now) {
  const std::uint64_t before = this->routes.Version();
  const auto outcome = this->routes.Replace(configuration, now);
  if (outcome == ConfigurationOutcome::kOlder) {
    this->changes.push_back(
        ConfigurationRefused{configuration.version, before});
    return;
  }
  this->changes.push_back(
      ConfigurationInForce{configuration.version, this->routes.Size()});
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
