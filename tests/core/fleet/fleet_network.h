/// A simulated network: the fleets of several instances in one process, joined
/// by links that delay, lose, duplicate or block messages, and a simulated
/// platform.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "core/fleet/fleet.h"
#include "core/fleet/jitter.h"
#include "core/fleet/sample_documents.h"

namespace sassafrasdyke::core {

/// Delay, loss and duplication of messages. A lost message is never resent,
/// which is stricter than TCP, where it only arrives late.
struct LinkShape {
  std::chrono::milliseconds delay_inside{1};   ///< Within a failure domain.
  std::chrono::milliseconds delay_between{4};  ///< Between failure domains.
  unsigned loss_inside_percent{0};
  unsigned loss_between_percent{0};
  unsigned repeat_percent{0};
};

/// When a revision of the configuration came into force on an instance.
struct InForce {
  std::uint64_t revision{0};
  std::chrono::milliseconds at{0};
};

/// One instance as the network sees it.
struct RunningFleet {
  SampleInstance identity;
  std::unique_ptr<Fleet> fleet;
  std::optional<FleetView> view;  ///< The last one published.
  std::shared_ptr<const Configuration> configuration;
  std::vector<InForce> in_force;  ///< Oldest first.
  std::vector<FleetDecision> decisions;
  std::vector<TargetHealthChange> health;
  bool running{true};
  bool paused{false};
  bool platform_cut{false};
  std::uint64_t bytes_sent{0};
  std::uint64_t messages_sent{0};
  std::chrono::nanoseconds cpu{0};
  /// When it started; the fleet's times count from here.
  std::chrono::milliseconds started{0};
  std::uint64_t run{0};  ///< Number of this process, in order of starts.
  bool watch_open{false};
  std::uint64_t watch{0};  ///< Number of the current watch of this process.
  /// Messages that earlier processes of this instance dropped.
  std::uint64_t dropped_before{0};
};

/// Messages that the instance's budgets dropped, over all its processes.
std::uint64_t DroppedOf(const RunningFleet& fleet);

/// Reads the processor time used so far.
using CpuClock = std::chrono::nanoseconds (*)();

/// Returns the bytes that a message takes on the wire.
using MessageSizer = std::size_t (*)(const PeerMessage&);

/// Runs fleets in simulated time. The order of events depends only on the seed.
class FleetNetwork {
 public:
  explicit FleetNetwork(std::uint64_t seed, LinkShape shape = {});

  /// Starts an instance at the current time.
  void Start(const SampleInstance& identity);
  /// Publishes the list and a configuration of `targets` targets, starts all
  /// listed instances and runs until the fleet has settled.
  void StartAll(const std::vector<SampleInstance>& instances,
                std::uint32_t targets);
  void Kill(std::uint32_t id);
  void Pause(std::uint32_t id) { this->fleets.at(id).paused = true; }
  void Resume(std::uint32_t id);

  /// Blocks messages in one direction, or in both, until `Heal`.
  void CutOneWay(std::uint32_t from, std::uint32_t to);
  void Cut(std::uint32_t left, std::uint32_t right);
  void CutDomains(std::uint32_t left, std::uint32_t right);
  void Heal();

  void Publish(const Document& document);
  void SetPlatformUp(bool up) { this->platform_up = up; }

  void RunFor(std::chrono::milliseconds time);

  /// Injects a message as if `from` had sent it to `to`.
  void Inject(std::uint32_t from, std::uint32_t to, const PeerMessage& message);

  /// Calls one instance's fleet and sends the resulting messages.
  using FleetCall =
      std::function<void(Fleet&, std::chrono::milliseconds, FleetOutbox&)>;
  void Call(std::uint32_t id, const FleetCall& call);

  RunningFleet& Of(std::uint32_t id) { return this->fleets.at(id); }
  std::map<std::uint32_t, RunningFleet>& All() { return this->fleets; }
  std::chrono::milliseconds Now() const { return this->now; }
  std::uint64_t PlatformReads() const { return this->platform_reads; }
  SampleReader& Reader() { return *this->reader; }
  void MeasureCpu(CpuClock clock) { this->clock = clock; }
  /// Counts sent bytes with `sizer` in place of the core's estimate.
  void MeasureBytes(MessageSizer sizer) { this->sizer = sizer; }

  /// The use of `about` in the view of `observer`.
  InstanceUse UseOf(std::uint32_t observer, std::uint32_t about) const;
  /// True when every running instance's view has `use` for `about`.
  bool AllSee(std::uint32_t about, InstanceUse use) const;
  /// True when `revision` of the configuration is in force on every running
  /// instance.
  bool InForceEverywhere(std::uint64_t revision) const;

 private:
  enum class EventKind { kTick, kMessage, kPlatformAnswer };
  struct Event {
    std::chrono::milliseconds at{0};
    std::uint64_t order{0};
    EventKind kind{EventKind::kTick};
    std::uint32_t to{0};
    std::uint32_t from{0};
    std::uint64_t run{0};  ///< Number of this process, in order of starts.
    std::uint64_t watch{0};
    std::shared_ptr<const PeerMessage> message;
    bool reached{true};
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const;
  };

  void Push(Event event);
  void Handle(const Event& event);
  void Deliver(RunningFleet& fleet, const Event& event, FleetOutbox& outbox);
  void Collect(RunningFleet& fleet, FleetOutbox& outbox);
  void SendOne(RunningFleet& fleet, const OutgoingMessage& message);
  void OpenWatch(RunningFleet& fleet);
  void AnswerWatch(RunningFleet& fleet, const Event& event,
                   FleetOutbox& outbox);
  void WakeWatchers();
  bool HasNews(const RunningFleet& fleet) const;
  bool Lost(const RunningFleet& from, const RunningFleet& to);

  std::unique_ptr<SampleReader> reader;
  std::uint64_t seed;
  Jitter random;
  LinkShape shape;
  std::map<std::uint32_t, RunningFleet> fleets;
  std::priority_queue<Event, std::vector<Event>, Later> events;
  /// Events that arrived for a paused instance, as in its socket buffers and
  /// timers.
  std::map<std::uint32_t, std::vector<Event>> waiting;
  std::set<std::pair<std::uint32_t, std::uint32_t>> cuts;
  std::set<std::pair<std::uint32_t, std::uint32_t>> domain_cuts;
  std::map<DocumentKind, Document> published;
  bool platform_up{true};
  std::uint64_t platform_reads{0};
  std::uint64_t next_order{0};
  std::uint64_t runs{0};
  std::chrono::milliseconds now{0};
  CpuClock clock{nullptr};
  MessageSizer sizer{nullptr};
};

}  // namespace sassafrasdyke::core
