#include "app/data_task.h"

#include <utility>
#include <variant>

namespace sassafrasdyke::app {
namespace {

/// Copies waiting for the data task; each is a few kilobytes at most.
constexpr std::size_t kMailCapacity = 4096;
/// Batches taken before the loop looks at its mail again.
constexpr int kBatchesAWake = 8;

ev::tstamp SecondsOf(std::chrono::milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

DataTask::DataTask(Parts parts)
    : parts(std::move(parts)),
      readable(this->loop),
      timer(this->loop),
      mail(this->loop, kMailCapacity,
           [this](DataMessage message) { this->Take(std::move(message)); }),
      handler(this->parts.self, *this->parts.balancer,
              this->parts.fabric_return) {
  this->readable.set<DataTask, &DataTask::OnReadable>(this);
  this->timer.set<DataTask, &DataTask::OnTimer>(this);
}

DataTask::~DataTask() { this->Stop(); }

void DataTask::Start() {
  this->pause.OnWake(this->parts.clock.Now());
  this->readable.start(this->parts.socket->Descriptor(), ev::READ);
  this->timer.start(SecondsOf(kTick), SecondsOf(kTick));
  this->thread = std::thread([this] { this->loop.run(); });
}

void DataTask::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  this->mail.Post(StopTask{});
  this->thread.join();
}

void DataTask::OnReadable(ev::io&, int) {
  for (int taken = 0; taken < kBatchesAWake; ++taken) {
    const auto batch = this->parts.socket->Receive();
    if (batch.empty()) {
      return;
    }
    // The time is read after the packets are here: a pause between the two
    // would otherwise go unnoticed until the batch is forwarded.
    const std::chrono::milliseconds now = this->parts.clock.Now();
    this->CheckPause(now);
    if (this->holding) {
      // Taken before the pause or after it, nobody can tell any more; a
      // caller's TCP sends again what is lost here.
      this->handler.DropLate(batch.size());
      return;
    }
    this->HandleBatch(batch, now);
    if (batch.size() < datapath::kBatch) {
      return;
    }
  }
}

void DataTask::CheckPause(std::chrono::milliseconds now) {
  if (!this->pause.OnWake(now) || this->holding) {
    return;
  }
  // While this process stood still others may have taken over its partitions.
  // Acting on the old belief, it would place flows that the new owner places
  // elsewhere: callers would see resets after a machine's move. So the control
  // task checks the lease first, and packets wait in the kernel's queue.
  ++this->pauses;
  this->holding = true;
  this->readable.stop();
  this->parts.to_control(PauseNoticed{});
}

void DataTask::HandleBatch(std::span<const datapath::IncomingDatagram> batch,
                           std::chrono::milliseconds now) {
  this->last_packet = now;
  this->parts.socket->Send(this->handler.Handle(batch, now, this->outbox));
  this->Flush();
}

void DataTask::OnTimer(ev::timer&, int) {
  const std::chrono::milliseconds now = this->parts.clock.Now();
  this->CheckPause(now);
  if (!this->holding) {
    this->parts.balancer->OnTick(now, this->outbox);
    this->Flush();
  }
  this->Report();
}

void DataTask::Take(DataMessage message) {
  std::visit([this](const auto& one) { this->Apply(one); }, message);
}

void DataTask::Apply(const ConfigurationInForce& message) {
  this->configuration = message.configuration;
  this->parts.balancer->OnConfiguration(message.configuration,
                                        this->parts.clock.Now(), this->outbox);
  this->Flush();
}

void DataTask::Apply(const core::FleetView& view) {
  this->handler.OnFleetView(view);
  this->parts.balancer->OnFleetView(view, this->parts.clock.Now(),
                                    this->outbox);
  this->Flush();
}

void DataTask::Apply(const PeerWord& word) {
  this->parts.balancer->OnPeerMessage(word.from, word.message,
                                      this->parts.clock.Now(), this->outbox);
  this->Flush();
}

void DataTask::Apply(const PauseChecked&) {
  if (!std::exchange(this->holding, false)) {
    return;
  }
  const std::chrono::milliseconds now = this->parts.clock.Now();
  this->pause.OnWake(now);
  this->parts.balancer->OnTick(now, this->outbox);
  this->Flush();
  this->readable.start();
}

void DataTask::Apply(const StopTask&) { this->loop.break_loop(ev::ALL); }

void DataTask::Flush() {
  for (core::OutgoingMessage& message : this->outbox.messages) {
    this->parts.to_control(std::move(message));
  }
  this->outbox.messages.clear();
  const auto time = std::chrono::system_clock::now();
  std::vector<observe::LogEvent> events;
  events.reserve(this->outbox.decisions.size());
  for (const core::Decision& decision : this->outbox.decisions) {
    events.push_back({time, this->configuration, decision});
  }
  this->outbox.decisions.clear();
  this->parts.log.Post(std::move(events));
}

void DataTask::Report() {
  this->parts.to_control(DataReport{.status = this->parts.balancer->Status(),
                                    .packets = this->handler.Counters(),
                                    .socket = this->parts.socket->Counters(),
                                    .last_packet = this->last_packet,
                                    .cpu = ThreadCpuTime(),
                                    .pauses = this->pauses});
}

}  // namespace sassafrasdyke::app
