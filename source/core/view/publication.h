/// Interface of the adapter for a platform's store. It builds request paths and
/// decodes responses, and makes no decisions.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "core/view/item_store.h"
#include "core/view/published.h"

namespace sassafrasdyke::core {

/// One page of a listing. The pages of a listing don't form a snapshot.
struct ListPage {
  std::vector<Item> items;
  common::Revision at;   ///< The store's revision when it answered.
  std::string last_key;  ///< The next page starts after this key.
  bool more{false};      ///< There is a next page.
};

/// Changes in the order of their revisions.
struct ChangeBatch {
  std::vector<Item> changes;
  common::Revision at;  ///< Every change up to here has been delivered.
};

/// The meaning of a response's HTTP status.
enum class StoreStatus {
  kServed,
  kHistoryGone,  ///< The requested changes were compacted; list again.
  kRefused,      ///< The call wasn't served; retry later.
};

/// Why a response or an item can't be decoded, as text for the log.
using ItemFault = std::string;

/// A decoded item.
using PublishedItem =
    std::variant<PublishedConfiguration, PublishedTarget, PublishedEvacuation>;

/// Request paths and response formats of the platform's store.
class Publication {
 public:
  virtual ~Publication() = default;

  /// The path of a request for one page of the listing. `after`: the `last_key`
  /// of the previous page; empty for the first page.
  virtual std::string ListPath(std::string_view after) const = 0;
  /// The path of a long poll that returns when there are changes after revision
  /// `after`, and at the latest after `wait`.
  virtual std::string WatchPath(common::Revision after,
                                std::chrono::milliseconds wait) const = 0;
  virtual StoreStatus StatusOf(unsigned http_status) const = 0;
  virtual tl::expected<ListPage, ItemFault> ReadPage(
      const std::string& body) const = 0;
  virtual tl::expected<ChangeBatch, ItemFault> ReadChanges(
      const std::string& body) const = 0;
  /// Decodes one item. Faults are expected: other programs may write malformed
  /// items or items of unknown kinds.
  virtual tl::expected<PublishedItem, ItemFault> ReadItem(
      const std::string& key, const std::string& value) const = 0;
};

}  // namespace sassafrasdyke::core
