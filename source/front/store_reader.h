/// Reads the platform's store: lists what is published, then watches for
/// changes, and lists anew when the history is gone or an answer with changes
/// can't be taken.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/address.h"
#include "core/fleet/backoff.h"
#include "core/fleet/jitter.h"
#include "core/roster/peer_sync.h"
#include "core/roster/propagation_scale.h"
#include "core/view/publication.h"
#include "http/get_connection.h"

namespace sassafrasdyke::front {

/// Times and sizes of reading the store.
struct StoreLimits {
  /// How long the store may hold a watch when nothing is new. A connection may
  /// fall silent for good; this and `slack` bound how long that goes unnoticed,
  /// and both together must stay under the time in which a change must be in
  /// force (3 s) less a second for listing anew.
  std::chrono::milliseconds wait{1500};
  /// How much longer the answer to a watch may take, or how long a page of a
  /// listing may stall, before the connection counts as lost.
  std::chrono::milliseconds slack{500};
  /// How long a page of a listing may take in total. Hundreds of instances that
  /// find no peers may list at once and share the store's link.
  std::chrono::milliseconds page_deadline{10'000};
  /// Bounds of the wait after a failure.
  std::chrono::milliseconds first_retry{50};
  std::chrono::milliseconds longest_retry{400};
  /// The same for a substitute. While the store is away every instance becomes
  /// one; asking as often as the readers, who tell the others once it is back,
  /// they would only use up its rate.
  std::chrono::milliseconds longest_substitute_retry{3000};
  /// Usual time from an answer with changes to the next watch, half as much to
  /// half as much again. Changes come in groups (a target that starts is
  /// published several times a second); the store keeps them meanwhile, and one
  /// call brings them all. The two readers of a failure domain vary it apart,
  /// so that the domain rarely waits for the longest. Less than `wait`.
  std::chrono::milliseconds pace{800};
  /// Greatest answer to a probe, in bytes. If 810 instances probe at once, the
  /// answers total 53 MB, which the store's link carries in less than 0.5 s.
  std::size_t max_probe_answer{64U << 10U};
  /// Greatest answer, in bytes: a page of 1 MB in base64, with its fields.
  std::size_t max_answer{2U << 20U};
};

/// The limits at a pace.
StoreLimits StoreLimitsFor(const core::PropagationScale& pace);

/// How long to wait after failures.
core::BackoffLimits RetriesFor(const StoreLimits& limits,
                               core::StoreReading reading);

/// Takes what the store says. `age`: the time since an answer began to arrive,
/// of a listing the one to its first page. The store may have changed since.
class StoreListener {
 public:
  virtual ~StoreListener() = default;

  virtual void OnStoreListing(std::vector<core::Item> items,
                              common::Revision at,
                              std::chrono::milliseconds age) = 0;
  virtual void OnStoreChanges(core::ChangeBatch batch,
                              std::chrono::milliseconds age) = 0;
  /// A call failed; `what` is the log's word for how.
  virtual void OnStoreFailure(std::string_view what) = 0;
  /// The changes since the known revision can't be had, so all items are
  /// listed; `why` is the log's word for the reason.
  virtual void OnStoreListsAnew(std::string_view why) = 0;
};

/// Counts since the process started.
struct StoreCounts {
  std::uint64_t calls{0};
  std::uint64_t failures{0};
  std::uint64_t listings{0};  ///< Complete ones.
};

/// One reader.
class StoreReader final : private http::GetListener {
 public:
  /// References must outlive the reader; `seed` varies jitter only.
  StoreReader(ev::loop_ref loop, const common::Endpoint& store,
              const core::Publication& publication, const StoreLimits& limits,
              std::uint64_t seed, StoreListener& listener);

  /// Reads, or lets a call that runs end and makes no more. The same value
  /// twice changes nothing.
  void SetReading(core::StoreReading reading);
  /// Reads from another address from now on.
  void SetStore(const common::Endpoint& store);
  /// Everything up to `revision` is known from elsewhere; the next watch
  /// starts there. Cancels a listing in progress unless it is newer.
  void HasRevision(common::Revision revision);
  const StoreCounts& Counts() const { return this->counts; }

 private:
  /// Whether calls watch for changes; they list before.
  bool Watches() const {
    return this->known.value != 0 && this->listed_at.value == 0;
  }
  void OnTimer(ev::timer& timer, int events);
  void OnGetOutcome(
      const tl::expected<http::GetAnswer, http::GetFailure>& outcome) override;
  void OnServed(const http::GetAnswer& answer);
  void OnPage(const http::GetAnswer& answer);
  void OnChanges(const http::GetAnswer& answer);
  void OnFailure(std::string_view what);
  /// An answer can't be taken, and would be no other if it were asked for
  /// again.
  void OnUntaken(std::string_view what);
  /// Forgets the listing so far, and what is known.
  void ListAnew();
  void CallAfter(std::chrono::milliseconds wait);

  common::Endpoint store;
  const core::Publication& publication;
  const StoreLimits limits;
  StoreListener& listener;
  core::Jitter jitter;
  core::Backoff backoff;
  http::GetConnection connection;
  ev::timer timer;
  StoreCounts counts;
  core::StoreReading reading{core::StoreReading::kNone};
  /// The pause before the next watch.
  std::chrono::milliseconds paused{0};
  /// Where the next watch starts; 0: list first.
  common::Revision known;
  std::vector<core::Item> listed;  ///< Pages so far of the running listing.
  common::Revision listed_at;      ///< Revision of the first page.
  /// When the first page began to arrive.
  std::chrono::steady_clock::time_point listing_began_at;
  std::string list_after;
};

}  // namespace sassafrasdyke::front
