/// Fetches a full copy of the view from another instance: selects the source,
/// follows redirects, retries refused requests and limits both. At most one
/// copy is pending at a time.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "common/address.h"
#include "common/ids.h"

namespace sassafrasdyke::core {

/// How far the copy of another instance's view has come.
enum class CopyState : std::uint8_t {
  kNone,     ///< None is needed, as far as this instance knows.
  kRunning,  ///< A request is in progress.
  kWaiting,  ///< The source was busy; the request will be repeated.
};

/// The log's word for a state.
std::string_view Word(CopyState state);

/// State of the pending copy. When a method returns an address, the caller must
/// send a request there and report its outcome.
class CopyPull {
 public:
  /// Redirects to `self` are ignored.
  explicit CopyPull(const common::Endpoint& self) : self(self) {}

  /// Requests the changes up to `revision` from `source`.
  common::Endpoint Start(const common::Endpoint& source,
                         common::Revision revision,
                         std::chrono::milliseconds now) {
    return this->Start({source, revision, now});
  }
  /// Requests a full copy from `source`, in place of a wrong view.
  common::Endpoint StartFull(const common::Endpoint& source,
                             std::chrono::milliseconds now) {
    return this->Start({.source = source, .started_at = now, .full = true});
  }
  /// The request failed. `instead`: the redirect target, if any. Returns
  /// nothing if the copy is abandoned.
  std::optional<common::Endpoint> OnFailed(
      const std::optional<common::Endpoint>& instead);
  /// The source is busy serving other copies. If this returns nothing and the
  /// copy is still `Pending`, `Retry` asks the source again.
  std::optional<common::Endpoint> OnRefused(
      const std::optional<common::Endpoint>& instead);
  /// Repeats a refused request, unless the own view, at revision `have`, has
  /// caught up meanwhile. Called ten times a second.
  std::optional<common::Endpoint> Retry(common::Revision have);
  /// The copy has arrived.
  void OnPulled();

  /// Whether a request is in progress.
  bool Running() const { return this->running; }
  /// Whether a request is in progress or will be retried.
  bool Pending() const { return this->copy.has_value(); }
  /// Whether the pending copy is a full one.
  bool Full() const { return this->copy && this->copy->full; }
  CopyState State() const {
    if (this->running) {
      return CopyState::kRunning;
    }
    return this->copy ? CopyState::kWaiting : CopyState::kNone;
  }
  /// Whether a copy has been pending for less than `time`.
  bool PendingForLessThan(std::chrono::milliseconds time,
                          std::chrono::milliseconds now) const {
    return this->copy && now - this->copy->started_at < time;
  }

 private:
  struct Copy {
    common::Endpoint source;
    common::Revision revision = {};  ///< Of the source's view.
    std::chrono::milliseconds started_at{0};
    unsigned refusals{0};
    bool full{false};
  };
  common::Endpoint Start(const Copy& copy);
  std::optional<common::Endpoint> FollowRedirect(
      const std::optional<common::Endpoint>& instead);

  common::Endpoint self;
  std::optional<Copy> copy;
  bool running{false};
  unsigned redirects{0};  ///< Consecutive.
};

}  // namespace sassafrasdyke::core
