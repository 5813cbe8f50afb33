#include "front/front_process.h"

#include <ev++.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <utility>

#include "common/hash.h"
#include "core/roster/peer_sync.h"
#include "core/steering/flow_steering.h"
#include "core/view/live_view.h"
#include "front/connect_probe.h"
#include "front/early_packets.h"
#include "front/front_log.h"
#include "front/front_metrics.h"
#include "front/line_log.h"
#include "front/packet_port.h"
#include "front/peer_exchange.h"
#include "front/stop_watch.h"
#include "front/store_reader.h"
#include "http/server.h"

namespace sassafrasdyke::front {
namespace {

using std::chrono::milliseconds;

/// How often timers of the core run.
constexpr milliseconds kTick{100};
/// The loop wakes at every tick; a gap this long means that the process stood
/// still. Ordinary delays of a machine whose quota is used up stay under 100
/// ms.
constexpr milliseconds kLongestGap{300};

/// How often the settings' file is looked at: one call each.
constexpr milliseconds kSettingsCheck{2000};

ev::tstamp Seconds(milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

/// Monotonic, and goes on while the machine is suspended.
milliseconds BootTime() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

/// Varies what instances would else do at the same moment.
std::uint64_t SeedOf(const config::FrontSettings& settings) {
  return common::HashBytes(settings.instance.data(), settings.instance.size(),
                           static_cast<std::uint64_t>(BootTime().count()));
}

/// The seeds at the port where peers listen, which is the same everywhere.
std::vector<common::Endpoint> PeersOf(const config::FrontSettings& settings) {
  std::vector<common::Endpoint> peers;
  for (const common::Endpoint& seed : settings.seeds) {
    peers.push_back({seed.address, settings.listen.peers.port});
  }
  return peers;
}

/// Answers the routers' checks.
class ReadinessHandler final : public http::Handler {
 public:
  explicit ReadinessHandler(std::function<bool()> ready)
      : ready(std::move(ready)) {}

  http::Response Answer(const std::string& /*path*/) override {
    return {this->ready() ? 200U : 503U, "text/plain", ""};
  }

 private:
  std::function<bool()> ready;
};

/// Answers scrapers.
class MetricsHandler final : public http::Handler {
 public:
  explicit MetricsHandler(std::function<std::string()> text)
      : text(std::move(text)) {}

  http::Response Answer(const std::string& path) override {
    if (path != "/metrics") {
      return {404, "text/plain", "only /metrics is here\n"};
    }
    return {200, "text/plain; version=0.0.4", this->text()};
  }

 private:
  std::function<std::string()> text;
};

/// The whole instance.
class FrontProcess final : private StoreListener,
                           private ExchangeListener,
                           private ProbeListener,
                           private ProcessClock {
 public:
  FrontProcess(const config::FrontSettings& settings,
               const FrontAdapter& adapter)
      : settings(settings),
        adapter(adapter),
        started_at(BootTime()),
        lines(this->loop, STDOUT_FILENO,
              {{"instance", settings.instance}, {"domain", settings.domain}}),
        log(this->lines),
        view(adapter.publication, settings.times.flow_life),
        steering(settings.domain, {this->view.Routes(), this->view.Targets(),
                                   this->view.Contact()}),
        stop(settings.times.grace),
        sync({settings.listen.peers, settings.domain}, PeersOf(settings),
             this->view, core::SyncLimits{}, SeedOf(settings)),
        reader(this->loop, settings.store, adapter.publication, StoreLimits{},
               SeedOf(settings), *this),
        prober(this->loop, *this),
        readiness([this] { return this->Ready(); }),
        metrics_handler([this] { return this->metrics.Text(this->State()); }),
        packets_ready(this->loop),
        tick(this->loop),
        term(this->loop),
        hup(this->loop) {}

  tl::expected<void, std::string> Run();

 private:
  milliseconds Now() const override { return BootTime() - this->started_at; }
  bool Ready() const { return this->view.Usable() && !this->stop.Stopping(); }

  FrontState State() const;
  tl::expected<void, std::string> Open();
  void NotePause();
  void OnPackets(ev::io& watcher, int events);
  void OnPacket(std::span<const std::uint8_t> bytes);
  void TakeEarlyPackets();
  void Act(const core::FlowPacket& packet, const core::SteeringAction& action,
           std::span<const std::uint8_t> bytes);
  void LogDecision(const core::FlowPacket& packet,
                   const core::SteeringAction& action);
  void OnTick(ev::timer& watcher, int events);
  void OnTerm(ev::sig& watcher, int signal);
  void OnHup(ev::sig& watcher, int signal);
  void ReadSettingsAgain();
  void LogViewChanges(core::ViewSource source);
  /// Starts or stops the own reading of the store, as the exchange decides.
  void ChooseReading();

  void StartProbes();
  void OnTargetChange(const core::TargetChange& change);
  /// Tells the clients whose flows are at a target that has ended.
  void ResetFlowsOf(core::TargetIndex target, core::RefusalReason reason);
  void OnProbeEnded(const ProbeResult& result) override;
  void OnPeerNews() override;
  void OnPull(const common::Endpoint& peer, std::string_view what) override;

  void OnStoreListing(const std::vector<core::Item>& items,
                      common::Revision at) override;
  void OnStoreChanges(const core::ChangeBatch& batch) override;
  void OnStoreFailure(std::string_view what) override;
  void OnStoreAnswer();

  const config::FrontSettings& settings;
  const FrontAdapter& adapter;
  const milliseconds started_at;
  ev::default_loop loop;
  LineLog lines;
  FrontLog log;
  core::LiveView view;
  core::FlowSteering steering;
  StopWatch stop;
  EarlyPackets early;
  core::PeerSync sync;
  StoreReader reader;
  std::unique_ptr<PeerExchange> exchange;
  ConnectProber prober;
  ReadinessHandler readiness;
  std::unique_ptr<http::Server> readiness_server;
  FrontMetrics metrics;
  MetricsHandler metrics_handler;
  std::unique_ptr<http::Server> metrics_server;
  std::unique_ptr<PacketPort> port;
  ev::io packets_ready;
  ev::timer tick;
  ev::sig term;
  ev::sig hup;
  milliseconds awake_at{0};  ///< When the loop last did anything.
  bool old_packets{false};   ///< The socket holds packets from before a pause.
  milliseconds settings_checked_at{0};
  bool was_usable{false};
  bool store_answered{false};
  bool reading{false};
};

FrontState FrontProcess::State() const {
  FrontState state;
  state.port = this->port->Counts();
  state.store = this->reader.Counts();
  state.exchange = this->exchange->Counts();
  state.lines_written = this->lines.Written();
  state.lines_left_out = this->lines.LeftOut();
  state.configuration = this->view.Routes().Version();
  state.revision = this->view.Items().Complete().value;
  state.view_age = this->view.Contact().Age(this->Now());
  state.targets_serving = this->view.Targets().ServingCount();
  state.routes = this->view.Routes().Size();
  state.members = this->sync.Members().Size();
  state.openings = this->steering.Openings();
  state.remembered_flows = this->steering.RememberedFlows();
  state.reads_store = this->reading;
  state.ready = this->Ready();
  return state;
}

tl::expected<void, std::string> FrontProcess::Open() {
  auto opened = PacketPort::Open(this->settings.listen.packets);
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  this->port = std::move(*opened);
  auto server = http::Server::Open(this->loop, this->settings.listen.readiness,
                                   this->readiness);
  if (!server) {
    return tl::unexpected(server.error());
  }
  this->readiness_server = std::move(*server);
  auto scraped = http::Server::Open(this->loop, this->settings.listen.metrics,
                                    this->metrics_handler);
  if (!scraped) {
    return tl::unexpected(scraped.error());
  }
  this->metrics_server = std::move(*scraped);
  auto exchange = PeerExchange::Open(this->loop, this->settings.listen.peers,
                                     this->sync, this->view, *this, *this);
  if (!exchange) {
    return tl::unexpected(exchange.error());
  }
  this->exchange = std::move(*exchange);
  return {};
}

tl::expected<void, std::string> FrontProcess::Run() {
  if (auto opened = this->Open(); !opened) {
    return opened;
  }
  this->log.OnNote("started", {{"version", SASSAFRASDYKE_VERSION}},
                   this->Now());
  this->ChooseReading();
  this->exchange->Act(this->sync.OnStart(this->Now()));
  this->packets_ready.set<FrontProcess, &FrontProcess::OnPackets>(this);
  this->packets_ready.start(this->port->Descriptor(), ev::READ);
  this->tick.set<FrontProcess, &FrontProcess::OnTick>(this);
  this->tick.start(Seconds(kTick), Seconds(kTick));
  this->term.set<FrontProcess, &FrontProcess::OnTerm>(this);
  this->term.start(SIGTERM);
  this->hup.set<FrontProcess, &FrontProcess::OnHup>(this);
  this->hup.start(SIGHUP);
  this->loop.run(0);
  return {};
}

// A process that stood still finds packets in its socket that their clients
// have long repeated through other instances. An old SYN among them would be
// placed a second time, at another target, whose answer draws the client's
// later packets away from where its flow is open. So after a pause no SYN is
// taken until the socket has been empty; packets of open flows name their
// target and do no harm.
void FrontProcess::NotePause() {
  const milliseconds now = this->Now();
  const milliseconds gap = now - this->awake_at;
  this->awake_at = now;
  if (gap <= kLongestGap) {
    return;
  }
  this->old_packets = true;
  this->metrics.OnPause();
  this->steering.OnPause(now);
  this->log.OnNote("paused", {{"for_ms", gap.count()}}, now);
}

void FrontProcess::OnPackets(ev::io& /*watcher*/, int /*events*/) {
  this->NotePause();
  const auto started = std::chrono::steady_clock::now();
  const auto take = [this](std::span<const std::uint8_t> bytes) {
    this->OnPacket(bytes);
  };
  const std::size_t taken = this->port->Receive(take);
  this->old_packets = this->old_packets && taken == PacketPort::kBatch;
  if (taken > 0) {
    this->port->Flush();
    this->metrics.OnBatch(std::chrono::steady_clock::now() - started);
    this->StartProbes();
    this->stop.OnPacket(this->Now());
  }
}

void FrontProcess::OnPacket(std::span<const std::uint8_t> bytes) {
  if (!this->view.Usable()) {
    this->early.Keep(bytes, this->Now());
    return;
  }
  const auto packet = this->adapter.packets.Read(bytes);
  if (!packet) {
    return;
  }
  const bool outdated = this->old_packets && packet->flags.syn;
  const core::SteeringAction action =
      outdated ? core::StaySilent{core::SilenceReason::kOutdated}
               : this->steering.OnPacket(*packet, this->Now());
  this->Act(*packet, action, bytes);
  this->LogDecision(*packet, action);
}

void FrontProcess::TakeEarlyPackets() {
  for (const EarlyPackets::Bytes& bytes : this->early.Take(this->Now())) {
    this->OnPacket(bytes);
  }
  this->port->Flush();
}

void FrontProcess::Act(const core::FlowPacket& packet,
                       const core::SteeringAction& action,
                       std::span<const std::uint8_t> bytes) {
  if (const auto* sent = std::get_if<core::SendToTarget>(&action)) {
    const core::TargetEntry& target = this->view.Targets().At(sent->target);
    const std::size_t size = this->adapter.packets.WriteForTarget(
        bytes, target.published.number, target.word, this->port->NextBuffer());
    this->port->Queue(size, target.published.address);
  } else if (std::holds_alternative<core::Refuse>(action)) {
    const std::size_t size =
        this->adapter.packets.WriteReset(packet, this->port->NextBuffer());
    // Clients take packets at the port where instances take theirs.
    this->port->Queue(
        size, {packet.flow.caller.address, this->settings.listen.packets.port});
  }
}

void FrontProcess::LogDecision(const core::FlowPacket& packet,
                               const core::SteeringAction& action) {
  this->metrics.OnDecision(action);
  const auto* const sent = std::get_if<core::SendToTarget>(&action);
  if (sent != nullptr && sent->reason == core::SteeringReason::kCarried) {
    return;
  }
  const milliseconds now = this->Now();
  if (const auto age = this->view.Contact().Age(now)) {
    this->metrics.OnViewUsed(*age);
  }
  const core::TargetEntry* const target =
      sent == nullptr ? nullptr : &this->view.Targets().At(sent->target);
  this->log.OnDecision(
      packet, action, target,
      {this->view.Routes().Version(), this->view.Items().Complete(),
       this->view.Contact().Age(now)},
      now);
}

void FrontProcess::OnTick(ev::timer& /*watcher*/, int /*events*/) {
  this->NotePause();
  const milliseconds now = this->Now();
  this->view.OnTick(now);
  this->LogViewChanges(core::ViewSource::kStore);
  for (const core::TargetIndex target : this->view.Targets().TakeForgotten()) {
    this->steering.Forget(target);
  }
  this->steering.OnTick(now);
  this->StartProbes();
  this->exchange->Act(this->sync.OnTick(now));
  // The platform may write the file anew without a signal.
  if (now - this->settings_checked_at >= kSettingsCheck) {
    this->settings_checked_at = now;
    if (this->adapter.settings_changed()) {
      this->ReadSettingsAgain();
    }
  }
  this->ChooseReading();
  if (const auto end = this->stop.Ends(now)) {
    this->log.OnNote("stopped", {{"why", Word(*end)}}, now);
    this->loop.break_loop(ev::ALL);
  }
  this->lines.OnTick(now);
}

void FrontProcess::OnTerm(ev::sig& /*watcher*/, int /*signal*/) {
  const milliseconds now = this->Now();
  this->stop.OnStop(now);
  this->sync.OnLeave();
  this->log.OnNote("stopping", {}, now);
}

void FrontProcess::OnHup(ev::sig& /*watcher*/, int /*signal*/) {
  this->ReadSettingsAgain();
}

void FrontProcess::ReadSettingsAgain() {
  const auto read = this->adapter.read_settings();
  if (!read) {
    this->log.OnNote("settings-refused",
                     {{"path", read.error().front().path},
                      {"why", read.error().front().what}},
                     this->Now());
    return;
  }
  this->reader.SetStore(read->store);
  this->sync.SetSeeds(PeersOf(*read));
  this->log.OnNote("settings-read", {{"store", read->store.ToString()}},
                   this->Now());
}

void FrontProcess::OnStoreListing(const std::vector<core::Item>& items,
                                  common::Revision at) {
  this->OnStoreAnswer();
  const common::Revision before = this->view.Items().Complete();
  const auto started = std::chrono::steady_clock::now();
  this->view.OnListing(items, at, this->Now());
  this->metrics.OnApplied(std::chrono::steady_clock::now() - started);
  this->LogViewChanges(core::ViewSource::kStore);
  this->exchange->Act(this->sync.OnStoreNews(before, this->Now()));
}

void FrontProcess::OnStoreChanges(const core::ChangeBatch& batch) {
  this->OnStoreAnswer();
  const common::Revision before = this->view.Items().Complete();
  const auto started = std::chrono::steady_clock::now();
  this->view.OnChanges(batch, this->Now());
  this->metrics.OnApplied(std::chrono::steady_clock::now() - started);
  this->LogViewChanges(core::ViewSource::kStore);
  this->exchange->Act(this->sync.OnStoreNews(before, this->Now()));
}

void FrontProcess::OnStoreAnswer() {
  const milliseconds now = this->Now();
  this->view.Contact().OnAnswer(now);
  if (!this->reading) {
    this->view.Contact().OnIdle();  // The last call of a reading that ended.
  }
  if (!std::exchange(this->store_answered, true)) {
    this->log.OnNote("store-regained", {}, now);
  }
}

void FrontProcess::OnStoreFailure(std::string_view what) {
  if (!this->reading) {
    return;  // The last call of a reading that ended says nothing new.
  }
  this->view.Contact().OnFailure();
  if (std::exchange(this->store_answered, false)) {
    this->log.OnNote("store-lost", {{"why", what}}, this->Now());
  }
}

void FrontProcess::ChooseReading() {
  const bool reads = this->sync.ShouldRead(this->Now());
  if (reads == this->reading) {
    return;
  }
  this->reading = reads;
  if (reads) {
    this->reader.HasRevision(this->view.Items().Complete());
  } else {
    this->view.Contact().OnIdle();
  }
  this->reader.SetActive(reads);
  this->log.OnNote(reads ? "reads-store" : "follows-readers",
                   {{"members", this->sync.Members().Size()}}, this->Now());
}

void FrontProcess::StartProbes() {
  const milliseconds now = this->Now();
  for (const core::TargetIndex target :
       this->steering.Watch().TakeProbes(now)) {
    if (!this->view.Targets().Has(target)) {
      continue;
    }
    const core::TargetEntry& entry = this->view.Targets().At(target);
    const bool ended = entry.phase == core::TargetPhase::kGone &&
                       this->steering.Watch().Silent(target);
    if (!ended) {
      this->prober.Start(target, entry.published.address, now);
    }
  }
}

void FrontProcess::OnTargetChange(const core::TargetChange& change) {
  if (change.phase != core::TargetPhase::kGone) {
    return;
  }
  if (change.replaced) {
    this->ResetFlowsOf(change.target, core::RefusalReason::kTargetGone);
  } else {
    this->steering.Watch().OnUnpublished(change.target);
  }
}

void FrontProcess::ResetFlowsOf(core::TargetIndex target,
                                core::RefusalReason reason) {
  const core::SteeringAction action = core::Refuse{reason};
  for (const core::FlowPacket& packet : this->steering.TakeFlowsOf(target)) {
    this->Act(packet, action, {});
    this->LogDecision(packet, action);
  }
  this->port->Flush();
}

void FrontProcess::OnProbeEnded(const ProbeResult& result) {
  const milliseconds now = this->Now();
  this->metrics.OnProbe(result.outcome);
  const bool silent_now = this->steering.Watch().OnProbed(
      result.target, result.outcome, result.started_at, now);
  if (silent_now) {
    this->ResetFlowsOf(result.target, core::RefusalReason::kTargetSilent);
  }
  if (result.outcome != core::ProbeOutcome::kAnswered &&
      this->view.Targets().Has(result.target)) {
    this->log.OnProbe(this->view.Targets().At(result.target).name,
                      result.outcome, silent_now, now);
  }
}

void FrontProcess::OnPeerNews() {
  this->LogViewChanges(core::ViewSource::kPeer);
}

void FrontProcess::OnPull(const common::Endpoint& peer, std::string_view what) {
  this->lines.Write(LineKind::kPeer, "copy",
                    {{"peer", peer.ToString()},
                     {"outcome", what},
                     {"revision", this->view.Items().Complete().value}},
                    this->Now());
}

void FrontProcess::LogViewChanges(core::ViewSource source) {
  const milliseconds now = this->Now();
  for (const core::ViewChange& change : this->view.TakeChanges()) {
    this->log.OnViewChange(change, source, this->view.Items().Complete(), now);
    if (const auto* target = std::get_if<core::TargetChange>(&change)) {
      this->OnTargetChange(*target);
    }
  }
  if (this->view.Usable() && !std::exchange(this->was_usable, true)) {
    this->log.OnNote("ready",
                     {{"configuration", this->view.Routes().Version()},
                      {"targets", this->view.Targets().ServingCount()},
                      {"early_packets", this->early.Size()}},
                     now);
    this->TakeEarlyPackets();
  }
}

}  // namespace

tl::expected<void, std::string> RunFront(const config::FrontSettings& settings,
                                         const FrontAdapter& adapter) {
  FrontProcess process(settings, adapter);
  return process.Run();
}

}  // namespace sassafrasdyke::front
