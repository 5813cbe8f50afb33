/// How the platform's store is asked and its answers are read. The adapter of
/// a platform implements this; it translates and decides nothing.
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

/// A part of a listing. The parts of one listing aren't a snapshot.
struct ListPage {
  std::vector<Item> items;
  common::Revision at;   ///< The store's revision when it answered.
  std::string last_key;  ///< Where the next part starts.
  bool more{false};      ///< There is a next part.
};

/// Changes, in order.
struct ChangeBatch {
  std::vector<Item> changes;
  common::Revision at;  ///< Every change up to here has been told.
};

/// What an answer's status means.
enum class StoreStatus {
  kServed,
  kHistoryGone,  ///< The changes asked for are no longer known; list anew.
  kRefused,      ///< Nothing was done; ask later.
};

/// Why an item can't be used; a sentence for a person.
using ItemFault = std::string;

/// An item of the store, read.
using PublishedItem = std::variant<PublishedConfiguration, PublishedTarget>;

/// The platform's store, as text.
class Publication {
 public:
  virtual ~Publication() = default;

  /// The path of a call that lists what is published; `after` is the
  /// `last_key` of the page before, or empty.
  virtual std::string ListPath(std::string_view after) const = 0;
  /// The path of a call that answers once there are changes after `after`, or
  /// after `wait`.
  virtual std::string WatchPath(common::Revision after,
                                std::chrono::milliseconds wait) const = 0;
  virtual StoreStatus StatusOf(unsigned http_status) const = 0;
  virtual tl::expected<ListPage, ItemFault> ReadPage(
      const std::string& body) const = 0;
  virtual tl::expected<ChangeBatch, ItemFault> ReadChanges(
      const std::string& body) const = 0;
  /// Reads one item. The fault of an item that other writers have left, or
  /// that isn't of a known kind, is an ordinary outcome.
  virtual tl::expected<PublishedItem, ItemFault> ReadItem(
      const std::string& key, const std::string& value) const = 0;
};

}  // namespace sassafrasdyke::core
