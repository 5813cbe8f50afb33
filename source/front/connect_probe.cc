#include "front/connect_probe.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace sassafrasdyke::front {
namespace {

/// A machine that lives takes a connection within one round trip: 8 ms between
/// failure domains, and some more when the link or this process is busy.
constexpr double kDeadlineSeconds = 0.2;
/// A control that answers within half of that shows that the own link and this
/// process leave time enough for an answer.
constexpr double kQuickSeconds = 0.1;
/// Trials at the same time; a whole failure domain may fall silent at once.
constexpr std::size_t kMostTrials = 64;

int ErrorOf(const http::StreamSocket& socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(socket.Descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

core::ProbeOutcome OutcomeOf(const http::StreamSocket& socket) {
  const int error = ErrorOf(socket);
  if (error == 0) {
    return core::ProbeOutcome::kAnswered;
  }
  return error == ECONNREFUSED ? core::ProbeOutcome::kRefused
                               : core::ProbeOutcome::kUnclear;
}

}  // namespace

void ConnectProber::Start(const ProbeOrder& order,
                          std::chrono::milliseconds now) {
  if (this->trials.contains(order.target) ||
      this->trials.size() >= kMostTrials) {
    return;
  }
  auto socket = http::StreamSocket::Connect(order.address);
  if (!socket) {
    return;  // No descriptor or no way there: that says nothing of the target.
  }
  auto trial =
      std::make_unique<Trial>(*this, order.target, std::move(*socket), now);
  if (order.control) {
    trial->StartControl(*order.control);
  }
  this->trials.emplace(order.target, std::move(trial));
}

ConnectProber::Trial::Trial(ConnectProber& prober, core::TargetIndex target,
                            http::StreamSocket socket,
                            std::chrono::milliseconds now)
    : prober(prober),
      target(target),
      started_at(now),
      loop_started_at(prober.loop.now()),
      socket(std::move(socket)),
      ready(prober.loop),
      control_ready(prober.loop),
      deadline(prober.loop) {
  this->ready.set<Trial, &Trial::OnReady>(this);
  this->ready.start(this->socket.Descriptor(), ev::WRITE);
  this->control_ready.set<Trial, &Trial::OnControlReady>(this);
  this->deadline.set<Trial, &Trial::OnDeadline>(this);
  this->deadline.start(kDeadlineSeconds);
}

void ConnectProber::Trial::StartControl(const common::Endpoint& address) {
  if (auto socket = http::StreamSocket::Connect(address)) {
    this->control = std::move(*socket);
    this->control_ready.start(this->control.Descriptor(), ev::WRITE);
  }
}

void ConnectProber::Trial::OnControlReady(ev::io& /*watcher*/, int /*events*/) {
  this->control_ready.stop();
  const ev::tstamp took = this->prober.loop.now() - this->loop_started_at;
  this->control_quick = took <= kQuickSeconds && ErrorOf(this->control) == 0;
}

void ConnectProber::Trial::OnReady(ev::io& /*watcher*/, int /*events*/) {
  this->prober.End(*this, OutcomeOf(this->socket));
}

// After the process stood still, its timers run before the sockets are looked
// at; an answer that has long been there must not count as silence.
void ConnectProber::Trial::OnDeadline(ev::timer& /*watcher*/, int /*events*/) {
  pollfd state{this->socket.Descriptor(), POLLOUT, 0};
  if (poll(&state, 1, 0) > 0) {
    this->prober.End(*this, OutcomeOf(this->socket));
    return;
  }
  this->prober.End(*this, this->control_quick ? core::ProbeOutcome::kSilent
                                              : core::ProbeOutcome::kUnclear);
}

void ConnectProber::End(const Trial& trial, core::ProbeOutcome outcome) {
  const ProbeResult result{trial.target, outcome, trial.started_at};
  this->trials.erase(result.target);
  this->listener.OnProbeEnded(result);
}

}  // namespace sassafrasdyke::front
