#include "peer/outgoing_link.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "peer/frame_splitter.h"
#include "peer/hello.h"
#include "peer/peer_codec.h"
#include "peer/peer_kinds.h"
#include "peer/socket.h"

namespace sassafrasdyke::peer {

OutgoingLink::OutgoingLink(PeerContext& context, const core::Instance& peer,
                           std::uint64_t seed)
    : context(context),
      peer(peer),
      jitter(seed),
      backoff({context.limits.first_retry, context.limits.longest_retry}),
      queue(context.limits.queue, *this),
      timer(context.loop) {
  this->timer.set<OutgoingLink, &OutgoingLink::OnTimer>(this);
}

void OutgoingLink::Send(QueuedMessage message) {
  this->queue.Push(std::move(message));
  if (this->state == State::kIdle) {
    this->Connect();
  } else if (this->state == State::kUp) {
    this->connection->WakeBody();
  }
}

void OutgoingLink::Stop() {
  this->state = State::kStopped;
  this->timer.stop();
  if (this->connection != nullptr) {
    this->connection->Stop();
  }
}

void OutgoingLink::Connect() {
  ++this->context.counts.connects;
  this->frame = this->HelloFrame();
  this->sent = 0;
  this->state = State::kConnecting;
  std::optional<Socket> socket =
      Socket::Connect(this->context.address, this->peer.control);
  if (!socket) {
    this->End(CutReason::kLost);
    return;
  }
  this->connection = std::make_unique<Http2Connection>(
      this->context.loop,
      this->context.MakeTransport(std::move(*socket), TlsRole::kConnects,
                                  this->peer.control.address),
      Http2Role::kConnects, *this, this->context.counts);
  this->timer.start(Seconds(this->context.limits.connect_deadline));
}

std::string OutgoingLink::HelloFrame() const {
  const Hello hello{this->context.self.versions,
                    this->context.directory.Fleet(), this->context.self.id,
                    this->context.self.incarnation, this->peer.id};
  return Framed(Encode(hello));
}

void OutgoingLink::OnAnswer(std::optional<ProtocolVersion> answer) {
  if (this->state != State::kConnecting) {
    return;
  }
  if (!answer) {
    this->connection->End(CutReason::kRefused);
    return;
  }
  if (!HighestCommon(this->context.self.versions, {*answer, *answer})) {
    this->connection->End(CutReason::kOtherVersion);
    return;
  }
  this->version = answer;
  this->state = State::kUp;
  this->backoff.OnSuccess();
  this->alive = true;
  this->last_message = this->context.Now();
  this->timer.start(Seconds(this->context.limits.ping_interval));
  this->connection->WakeBody();
  this->context.listener.OnPeerLink(this->peer.id, true);
}

void OutgoingLink::OnBody(std::string_view /*bytes*/) {
  // The accepting end has nothing to say on this stream.
  this->connection->End(CutReason::kProtocol);
}

std::size_t OutgoingLink::NextBody(std::span<char> into) {
  std::size_t filled = 0;
  while (filled < into.size() && this->FillFrame()) {
    const std::size_t size =
        std::min(into.size() - filled, this->frame.size() - this->sent);
    std::copy_n(this->frame.data() + this->sent, size, into.data() + filled);
    this->sent += size;
    filled += size;
  }
  return filled;
}

bool OutgoingLink::FillFrame() {
  if (this->sent < this->frame.size()) {
    return true;
  }
  if (this->state != State::kUp) {
    return false;  // Nothing but the hello before the peer has answered.
  }
  const std::optional<QueuedMessage> message = this->NextSpoken();
  if (!message) {
    return false;
  }
  this->frame = Framed(message->bytes);
  this->sent = 0;
  this->last_message = this->context.Now();
  Traffic& traffic = this->context.counts.sent[message->kind];
  ++traffic.messages;
  traffic.bytes += this->frame.size();
  return true;
}

std::optional<QueuedMessage> OutgoingLink::NextSpoken() {
  std::optional<QueuedMessage> message;
  do {
    message = this->queue.Pop(this->context.Now());
  } while (message && FirstVersionOf(message->kind) > *this->version);
  return message;
}

void OutgoingLink::OnEnded(CutReason reason) { this->End(reason); }

void OutgoingLink::End(CutReason reason) {
  const bool was_up = this->state == State::kUp;
  this->version.reset();
  this->connection.reset();
  ++this->context.counts.Cut(reason);
  if (reason == CutReason::kUnused) {
    this->state = State::kIdle;
    this->timer.stop();
  } else {
    this->state = State::kWaiting;
    this->timer.start(Seconds(this->backoff.OnFailure(this->jitter)));
  }
  if (reason != CutReason::kUnused && reason != CutReason::kLost) {
    this->context.listener.OnPeerCut(this->peer.id, this->peer.control.address,
                                     reason);
  }
  if (was_up) {
    this->context.listener.OnPeerLink(this->peer.id, false);
  }
}

void OutgoingLink::OnTimer(ev::timer& /*timer*/, int /*events*/) {
  switch (this->state) {
    case State::kConnecting:
      this->End(CutReason::kSilent);
      break;
    case State::kUp:
      this->OnPingTime();
      break;
    case State::kWaiting:
      if (this->queue.Empty()) {
        this->state = State::kIdle;
      } else {
        this->Connect();
      }
      break;
    case State::kIdle:
    case State::kStopped:
      break;
  }
}

void OutgoingLink::OnPingTime() {
  // A peer that lost its power says no goodbye. Its connection looks well
  // until something is asked of it, and messages would pile up unseen.
  if (!this->alive) {
    this->End(CutReason::kSilent);
    return;
  }
  const std::chrono::milliseconds unused =
      this->context.Now() - this->last_message;
  const bool done = this->queue.Empty() && this->sent == this->frame.size();
  if (done && unused >= this->context.limits.unused_after) {
    this->End(CutReason::kUnused);
    return;
  }
  this->alive = false;
  this->connection->Ping();
  this->timer.start(Seconds(this->context.limits.ping_interval));
}

void OutgoingLink::OnQueueDrop(std::size_t kind, QueueDrop reason) {
  PeerCounts& counts = this->context.counts;
  ++(reason == QueueDrop::kFull ? counts.dropped_full
                                : counts.dropped_old)[kind];
}

}  // namespace sassafrasdyke::peer
