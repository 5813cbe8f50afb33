/// The sockets of the exchange between instances: digests as datagrams, whole
/// copies over HTTP.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "core/roster/peer_sync.h"
#include "front/packet_port.h"
#include "front/pause_detector.h"
#include "front/peer_codec.h"
#include "front/process_clock.h"
#include "http/get_connection.h"
#include "http/server.h"

namespace sassafrasdyke::front {

/// Takes what the exchange did to the view.
class ExchangeListener {
 public:
  virtual ~ExchangeListener() = default;
  /// Items may have come from `peer`, in a digest or, if `copy`, in a copy. The
  /// view before them had last been confirmed `unconfirmed` ago.
  virtual void OnPeerItems(
      const common::Endpoint& peer, bool copy,
      std::optional<std::chrono::milliseconds> unconfirmed) = 0;
  /// A copy was asked for, and how that ended; `what` is the log's word.
  /// `differs`: a full copy, as the own view differed from those of peers.
  virtual void OnPull(const common::Endpoint& peer, std::string_view what,
                      bool differs) = 0;
};

/// Counts since the process started.
struct ExchangeCounts {
  std::uint64_t digests_sent{0};
  std::uint64_t digest_bytes_sent{0};
  std::uint64_t digests_taken{0};
  std::uint64_t unreadable{0};
  std::uint64_t too_long{0};  ///< Digests that no datagram holds.
  std::uint64_t pulls{0};
  std::uint64_t pull_failures{0};
  std::uint64_t replacements{0};  ///< Full copies asked for by a wrong view.
  std::uint64_t copies_given{0};
  std::uint64_t copy_bytes_given{0};
  std::uint64_t copies_put_off{0};  ///< Askers that were sent to another.
};

/// Carries out what `PeerSync` decides.
class PeerExchange final : private http::GetListener, private http::Handler {
 public:
  /// Opens both sockets at `listen`. All references must outlive the exchange.
  static tl::expected<std::unique_ptr<PeerExchange>, std::string> Open(
      ev::loop_ref loop, const common::Endpoint& listen, core::PeerSync& sync,
      const core::LiveView& view, const ProcessClock& clock,
      PauseDetector& pauses, ExchangeListener& listener);

  /// Sends digests and starts a pull.
  void Act(const core::SyncActions& actions);
  const ExchangeCounts& Counts() const { return this->counts; }

 private:
  PeerExchange(ev::loop_ref loop, std::unique_ptr<PacketPort> port,
               core::PeerSync& sync, const core::LiveView& view,
               const ProcessClock& clock, PauseDetector& pauses,
               ExchangeListener& listener);

  void OnDatagrams(ev::io& watcher, int events);
  void OnDatagram(std::span<const std::uint8_t> bytes);
  void OnGetOutcome(
      const tl::expected<http::GetAnswer, http::GetFailure>& outcome) override;
  http::Response Answer(const std::string& path) override;
  /// The packed changes after `have`, or the whole view.
  std::string CopySince(common::Revision have);
  /// Who has lately taken a copy here, and may be asked instead.
  std::string AnyTaker();
  void NoteTaker(const common::Endpoint& peer);

  /// A whole view as it was sent last.
  struct PackedView {
    std::chrono::milliseconds at{0};
    core::ViewStatus mark;
    std::string items;
  };
  const PackedView& WholeView();

  core::PeerSync& sync;
  const core::LiveView& view;
  const ProcessClock& clock;
  PauseDetector& pauses;
  ExchangeListener& listener;
  std::unique_ptr<PacketPort> port;
  std::unique_ptr<http::Server> server;
  http::GetConnection connection;
  common::Endpoint pulled_from;
  bool replaces_view{false};  ///< The running pull.
  ev::io readable;
  ExchangeCounts counts;
  std::optional<PackedView> whole;
  std::vector<common::Endpoint> takers;
  core::Jitter jitter;
};

}  // namespace sassafrasdyke::front
