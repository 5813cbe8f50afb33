#include "app/control_task.h"

#include <csignal>
#include <string>
#include <utility>
#include <variant>

#include "app/metrics_publisher.h"
#include "app/probe_plan.h"
#include "common/hash.h"

namespace sassafrasdyke::app {
namespace {

/// Messages of the data task that wait here.
constexpr std::size_t kMailCapacity = 4096;
/// Lines on cut streams from one publication to the next.
constexpr int kMostCutsNoted = 10;
/// Ticks from one publication of metrics to the next.
constexpr int kTicksAPublication = 10;

ev::tstamp SecondsOf(std::chrono::milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

/// Differs between instances and between lives; varies jitter only.
std::uint64_t SeedOf(const core::SelfIdentity& self) {
  return common::HashNumbers(self.id.value, self.incarnation.value, 0);
}

}  // namespace

ControlTask::ControlTask(const Parts& parts)
    : parts(parts),
      driver(core::MakeFleet(parts.self, this->documents, SeedOf(parts.self)),
             parts.clock, parts.log, this->Sinks()),
      platform(this->loop, parts.settings.platform.url, {}, SeedOf(parts.self),
               *this),
      prober(this->loop, {}, SeedOf(parts.self), *this),
      mail(this->loop, kMailCapacity,
           [this](ControlMessage message) { this->Take(std::move(message)); }),
      timer(this->loop),
      terminate(this->loop),
      interrupt(this->loop) {
  this->timer.set<ControlTask, &ControlTask::OnTimer>(this);
  this->terminate.set<ControlTask, &ControlTask::OnSignal>(this);
  this->interrupt.set<ControlTask, &ControlTask::OnSignal>(this);
}

ControlTask::~ControlTask() = default;

tl::expected<void, std::string> ControlTask::OpenPeers() {
  auto opened = peer::PeerLinks::Open(
      this->loop, {this->parts.self.id, this->parts.self.incarnation},
      this->parts.settings.control, {}, SeedOf(this->parts.self), *this);
  if (!opened) {
    return tl::unexpected(opened.error().what);
  }
  this->peers = std::move(*opened);
  return {};
}

void ControlTask::Run(Mailbox<DataMessage>& data) {
  this->data = &data;
  this->timer.start(0, SecondsOf(kTick));
  this->terminate.start(SIGTERM);
  this->interrupt.start(SIGINT);
  this->Note({.event = "started", .detail = {}});
  this->loop.run();
  this->Publish();
}

FleetSinks ControlTask::Sinks() {
  return {
      .to_data =
          [this](DataMessage message) { this->data->Post(std::move(message)); },
      .to_peer =
          [this](const core::OutgoingMessage& message) {
            this->peers->Send(message.to, message.message);
          },
      .on_change = [this] { this->OnChange(); }};
}

void ControlTask::OnChange() {
  this->SteerPeers();
  if (const auto& configuration = this->driver.InForce()) {
    this->prober.SetTargets(PlanProbes(*configuration, this->driver.View()));
  }
  this->parts.board.Publish(this->driver.State());
}

void ControlTask::OnTimer(ev::timer&, int) {
  this->driver.OnTick();
  this->SteerPlatform();
  this->SteerPeers();
  this->EndIfLeft();
  if (++this->ticks % kTicksAPublication == 0) {
    this->Publish();
  }
}

void ControlTask::OnSignal(ev::sig& signal, int) {
  this->Note({.event = "signalled",
              .detail = "signal " + std::to_string(signal.signum)});
  this->Leave();
}

void ControlTask::Leave() {
  // A second signal comes from an impatient operator or a supervisor's script.
  // Obeyed, it would cut flows that are being handed over.
  if (this->leave.Leaving()) {
    return;
  }
  this->leave.OnLeave(this->parts.clock.Now());
  this->driver.OnLeave();
  this->Note({.event = "leaving", .detail = {}});
}

void ControlTask::EndIfLeft() {
  const auto& configuration = this->driver.InForce();
  const core::FleetPolicy policy =
      configuration == nullptr ? core::FleetPolicy{} : configuration->policy;
  // Without a configuration nothing was ever forwarded or owned.
  const LeaveProgress progress{.handed_over = this->report.status.handed_over ||
                                              configuration == nullptr,
                               .last_packet = this->report.last_packet};
  const auto end = this->leave.Ends(progress, policy, this->parts.clock.Now());
  if (!end) {
    return;
  }
  this->Note({.event = "left",
              .detail = *end == LeaveEnd::kQuiet ? "handed over and quiet"
                                                 : "the deadline passed"});
  this->loop.break_loop(ev::ALL);
}

void ControlTask::OnPlatformDocument(const core::Document& document) {
  this->driver.OnPlatformDocument(document);
  this->SteerPlatform();
}

void ControlTask::OnPlatformRefused(core::DocumentKind kind,
                                    const core::DocumentFaults& faults) {
  this->driver.OnPlatformRefused(kind, faults);
}

void ControlTask::OnPlatformAnswer(core::DocumentKind /*kind*/, bool reached) {
  this->driver.OnPlatformAnswer(reached);
}

void ControlTask::OnTargetProbed(common::TargetId target,
                                 core::TargetHealth health) {
  this->driver.OnTargetProbed(target, health);
}

void ControlTask::SteerPlatform() {
  const core::FleetStatus status = this->driver.Core().Status();
  this->platform.HasRevision(core::DocumentKind::kConfiguration,
                             status.configuration.revision);
  this->platform.HasRevision(core::DocumentKind::kInstances,
                             status.instances.revision);
  this->platform.Watch(this->driver.Core().WatchesPlatform());
}

void ControlTask::SteerPeers() {
  const core::InstanceList& list = this->driver.Core().Instances();
  const auto& configuration = this->driver.InForce();
  if (configuration == nullptr || list.revision == this->peers_follow) {
    return;
  }
  this->peers_follow = list.revision;
  this->peers->SetInstances(list, configuration->fleet);
}

void ControlTask::OnPeerMessage(common::InstanceId from,
                                const core::PeerMessage& message) {
  const bool for_flows = std::visit(
      []<typename Message>(const Message& /*message*/) {
        return core::kIsFlowMessage<Message>;
      },
      message);
  if (for_flows) {
    this->data->Offer(PeerWord{from, message});
  } else {
    this->driver.OnPeerMessage(from, message);
  }
}

void ControlTask::OnPeerLink(common::InstanceId to, bool up) {
  this->Note({.channel = observe::LogChannel::kPeer,
              .event = up ? "connected" : "disconnected",
              .detail = "instance " + std::to_string(to.value)});
}

void ControlTask::OnPeerCut(common::InstanceId peer,
                            const common::IpAddress& from,
                            peer::CutReason reason) {
  // Anyone who can reach the port makes such lines. Unbounded, they would fill
  // the log's queue, and the lines on flows would be lost; the metric counts
  // all of them.
  if (++this->cuts_noted > kMostCutsNoted) {
    return;
  }
  this->Note({.channel = observe::LogChannel::kPeer,
              .level = config::LogLevel::kWarn,
              .event = "cut",
              .detail = "instance " + std::to_string(peer.value) + " at " +
                        from.ToString() + ": " + std::string(Word(reason))});
}

void ControlTask::Take(ControlMessage message) {
  std::visit([this](const auto& one) { this->Apply(one); }, message);
}

void ControlTask::Apply(const PauseNoticed&) {
  this->Note({.level = config::LogLevel::kWarn,
              .event = "paused",
              .detail = "the process stood still; its lease is checked first"});
  this->driver.OnPauseNoticed();
}

void ControlTask::Apply(const core::OutgoingMessage& message) {
  this->peers->Send(message.to, message.message);
}

void ControlTask::Apply(const DataReport& newest) { this->report = newest; }

void ControlTask::Publish() {
  this->cuts_noted = 0;
  observe::Metrics& metrics = this->parts.metrics;
  observe::ControlState state = this->driver.State();
  PublishData(metrics, this->report);
  PublishFleet(metrics, state.status, state.view);
  PublishLog(metrics, this->parts.log);
  PublishPeers(metrics, this->peers->Counts());
  PublishProbes(metrics, this->prober.Counts());
  this->PublishPlatform(core::DocumentKind::kConfiguration);
  this->PublishPlatform(core::DocumentKind::kInstances);
  metrics.SetTotal(observe::metrics::kMailDropped, this->mail.Dropped(),
                   "control");
  metrics.SetTotal(observe::metrics::kMailDropped, this->data->Dropped(),
                   "data");
  metrics.SetTotal(observe::metrics::kTaskCpu,
                   static_cast<std::uint64_t>(ThreadCpuTime().count()),
                   "control");
  this->parts.board.Publish(std::move(state));
  this->parts.board.Publish(observe::DataState{this->report.status});
}

void ControlTask::PublishPlatform(core::DocumentKind kind) {
  PublishReads(this->parts.metrics, kind, this->platform.Counts(kind));
}

void ControlTask::Note(observe::ProcessNote note) {
  this->parts.log.Post({std::chrono::system_clock::now(),
                        this->driver.InForce(), std::move(note)});
}

}  // namespace sassafrasdyke::app
