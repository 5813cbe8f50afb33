#include "core/roster/delta_parts.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "core/roster/peer_digest.h"

namespace sassafrasdyke::core {
namespace {

/// Above this a copy is cheaper: compression reduces its items to a fifth.
constexpr std::size_t kMaxParts = 8;

std::size_t SizeOf(const Item& item) {
  constexpr std::size_t kOverhead = 16;
  return item.key.size() + (item.value ? item.value->size() : 0) + kOverhead;
}

std::size_t SizeOf(const std::vector<Item>& items) {
  std::size_t size = 0;
  for (const Item& item : items) {
    size += SizeOf(item);
  }
  return size;
}

/// Moves the items of the lowest revision out of `items`, which are sorted by
/// descending revision. All items that a listing lacks are removed at the same
/// revision, so changes of one revision must stay in one part.
std::vector<Item> TakeLowest(std::vector<Item>& items) {
  std::vector<Item> lowest;
  const common::Revision revision = items.back().revision;
  while (!items.empty() && items.back().revision == revision) {
    lowest.push_back(std::move(items.back()));
    items.pop_back();
  }
  return lowest;
}

}  // namespace

std::vector<ItemDelta> PartsSince(const ItemStore& items,
                                  common::Revision have) {
  if (have.value == 0 || have >= items.Complete()) {
    return {};
  }
  ItemDelta all = items.Since(have);
  // An item of a later page of a listing may be newer than the listing. A part
  // that ended there would claim changes that are unknown here.
  std::erase_if(all.items,
                [&](const Item& item) { return item.revision > all.to; });
  if (all.whole || SizeOf(all.items) > kMaxParts * kMaxInlineBytes) {
    return {};
  }
  std::ranges::sort(all.items, std::ranges::greater{}, &Item::revision);
  std::vector<ItemDelta> parts{{all.from, all.to, false, {}}};
  std::size_t size = 0;
  while (!all.items.empty()) {
    std::vector<Item> next = TakeLowest(all.items);
    const std::size_t next_size = SizeOf(next);
    if (next_size > kMaxInlineBytes) {
      return {};
    }
    if (size + next_size > kMaxInlineBytes) {
      const common::Revision cut = parts.back().items.back().revision;
      parts.back().to = cut;
      parts.push_back({cut, all.to, false, {}});
      size = 0;
    }
    size += next_size;
    std::ranges::move(next, std::back_inserter(parts.back().items));
  }
  return parts;
}

}  // namespace sassafrasdyke::core
