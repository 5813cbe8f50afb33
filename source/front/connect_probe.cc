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
/// Trials at the same time; a whole failure domain may fall silent at once.
constexpr std::size_t kMostTrials = 64;

}  // namespace

void ConnectProber::Start(core::TargetIndex target,
                          const common::Endpoint& address,
                          std::chrono::milliseconds now) {
  if (this->trials.contains(target) || this->trials.size() >= kMostTrials) {
    return;
  }
  auto socket = http::StreamSocket::Connect(address);
  if (!socket) {
    return;  // No descriptor or no way there: that says nothing of the target.
  }
  this->trials.emplace(
      target, std::make_unique<Trial>(*this, target, std::move(*socket), now));
}

ConnectProber::Trial::Trial(ConnectProber& prober, core::TargetIndex target,
                            http::StreamSocket socket,
                            std::chrono::milliseconds now)
    : prober(prober),
      target(target),
      started_at(now),
      socket(std::move(socket)),
      ready(prober.loop),
      deadline(prober.loop) {
  this->ready.set<Trial, &Trial::OnReady>(this);
  this->ready.start(this->socket.Descriptor(), ev::WRITE);
  this->deadline.set<Trial, &Trial::OnDeadline>(this);
  this->deadline.start(kDeadlineSeconds);
}

void ConnectProber::Trial::OnReady(ev::io& /*watcher*/, int /*events*/) {
  this->prober.End(*this, this->Judge());
}

// After the process stood still, its timers run before the sockets are looked
// at; an answer that has long been there must not count as silence.
void ConnectProber::Trial::OnDeadline(ev::timer& /*watcher*/, int /*events*/) {
  pollfd state{this->socket.Descriptor(), POLLOUT, 0};
  const bool answered = poll(&state, 1, 0) > 0;
  this->prober.End(*this,
                   answered ? this->Judge() : core::ProbeOutcome::kSilent);
}

core::ProbeOutcome ConnectProber::Trial::Judge() const {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(this->socket.Descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error == 0) {
    return core::ProbeOutcome::kAnswered;
  }
  return error == ECONNREFUSED ? core::ProbeOutcome::kRefused
                               : core::ProbeOutcome::kSilent;
}

void ConnectProber::End(const Trial& trial, core::ProbeOutcome outcome) {
  const ProbeResult result{trial.target, outcome, trial.started_at};
  this->trials.erase(result.target);
  this->listener.OnProbeEnded(result);
}

}  // namespace sassafrasdyke::front
