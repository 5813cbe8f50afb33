#include "peer/incoming_link.h"

#include <optional>
#include <utility>

#include "peer/peer_codec.h"

namespace sassafrasdyke::peer {

IncomingLink::IncomingLink(PeerContext& context, IncomingLinkOwner& owner,
                           IncomingLinkId id, AcceptedSocket accepted)
    : context(context),
      owner(owner),
      id(id),
      source(accepted.source),
      splitter(kHelloLimit),
      limiter(context.limits.receive),
      deadline(context.loop),
      receive_again(context.loop) {
  this->receive_again.set<IncomingLink, &IncomingLink::OnReceiveAgain>(this);
  this->deadline.set<IncomingLink, &IncomingLink::OnDeadline>(this);
  this->deadline.start(Seconds(context.limits.hello_deadline));
  this->connection = std::make_unique<Http2Connection>(
      context.loop,
      context.MakeTransport(std::move(accepted.socket), TlsRole::kAccepts,
                            accepted.source),
      Http2Role::kAccepts, *this, context.counts);
}

void IncomingLink::Stop(CutReason reason) {
  if (this->state == State::kStopped) {
    return;
  }
  if (this->state != State::kRefused) {
    this->Count(reason);
  }
  this->state = State::kStopped;
  this->deadline.stop();
  this->receive_again.stop();
  this->connection->Stop();
}

void IncomingLink::OnAnswer(std::optional<ProtocolVersion> /*version*/) {}

std::size_t IncomingLink::NextBody(std::span<char> /*into*/) { return 0; }

void IncomingLink::OnAlive() {
  if (this->state == State::kAdmitted) {
    this->deadline.start(Seconds(this->context.limits.silent_after));
  }
}

void IncomingLink::OnBody(std::string_view bytes) {
  if (!this->Reading()) {
    return;
  }
  this->splitter.Append(bytes);
  this->unconsumed += bytes.size();
  if (!this->next) {
    this->TakeFrames();
  }
}

bool IncomingLink::Reading() const {
  return this->state == State::kWaiting || this->state == State::kAdmitted;
}

void IncomingLink::TakeFrames() {
  while (this->Reading() && (this->next = this->splitter.Next())) {
    if (!this->MayTake(*this->next)) {
      return;
    }
    this->OnFrame(*std::exchange(this->next, std::nullopt));
  }
  if (this->Reading() && this->splitter.TooLong()) {
    this->Break(CutReason::kTooLong);
  }
  this->connection->Consume(std::exchange(this->unconsumed, 0));
}

bool IncomingLink::MayTake(const std::string& frame) {
  if (this->state != State::kAdmitted) {
    return true;
  }
  const std::optional<ReceiveLimit> spent =
      this->limiter.Take(frame.size() + kFrameHeader, this->context.Now());
  if (!spent) {
    return true;
  }
  // A peer whose own limits have failed would take this instance's processor
  // time, and its heartbeats to others would come late: the overload spreads.
  // To drop the excess would lose copies of exceptions without their sender
  // knowing until its deadline, and it would send them again into the same
  // overload. So the rest waits at the sender, in its bounded queue.
  if (!this->receive_again.is_active()) {
    ++this->context.counts.paused[static_cast<std::size_t>(*spent)];
    const ev::tstamp pause = Seconds(this->context.limits.receive_again);
    this->receive_again.start(pause, pause);
  }
  return false;
}

void IncomingLink::OnReceiveAgain(ev::timer& /*timer*/, int /*events*/) {
  if (this->MayTake(*this->next)) {
    this->receive_again.stop();
    this->OnFrame(*std::exchange(this->next, std::nullopt));
    this->TakeFrames();
  }
}

void IncomingLink::OnFrame(const std::string& frame) {
  if (this->state == State::kWaiting) {
    this->OnHello(frame);
  } else if (this->state == State::kAdmitted) {
    this->OnMessage(frame);
  }
}

void IncomingLink::OnHello(const std::string& frame) {
  const tl::expected<Hello, CodecFault> said = DecodeHello(frame);
  if (!said) {
    this->Break(CutReason::kMalformed);
    return;
  }
  if (const std::optional<CutReason> reason =
          this->context.directory.Judge(*said, this->source)) {
    this->Refuse(*reason);
    return;
  }
  this->hello = *said;
  this->version = HighestCommon(said->versions, this->context.self.versions);
  this->state = State::kAdmitted;
  this->splitter.SetLimit(kMessageLimit);
  this->deadline.start(Seconds(this->context.limits.silent_after));
  this->connection->Answer(this->version);
  this->owner.OnAdmitted(this->id);
}

void IncomingLink::OnMessage(const std::string& frame) {
  const tl::expected<core::PeerMessage, CodecFault> message =
      DecodeMessage(frame);
  if (!message) {
    this->Break(CutReason::kMalformed);
    return;
  }
  Traffic& traffic = this->context.counts.received[message->index()];
  ++traffic.messages;
  traffic.bytes += frame.size() + kFrameHeader;
  this->context.listener.OnPeerMessage(this->hello.from, *message);
}

void IncomingLink::Refuse(CutReason reason) {
  this->Count(reason);
  this->state = State::kRefused;
  // The other end reads the answer and closes; the deadline holds if not.
  this->connection->Answer(std::nullopt);
}

void IncomingLink::Break(CutReason reason) {
  // The connection ends only in the next turn of the loop. Until then more of
  // what came with the malformed frame would be believed, though the peer has
  // lost its place in the stream or speaks another tongue.
  this->state = State::kBroken;
  this->connection->End(reason);
}

void IncomingLink::OnEnded(CutReason reason) {
  this->Stop(reason);
  this->owner.OnIncomingEnded(this->id);
}

void IncomingLink::OnDeadline(ev::timer& /*timer*/, int /*events*/) {
  this->Stop(this->state == State::kAdmitted ? CutReason::kSilent
                                             : CutReason::kNoHello);
  this->owner.OnIncomingEnded(this->id);
}

void IncomingLink::Count(CutReason reason) {
  ++this->context.counts.Cut(reason);
  const bool ordinary =
      reason == CutReason::kLost || reason == CutReason::kReplaced;
  if (!ordinary) {
    this->context.listener.OnPeerCut(this->hello.from, this->source, reason);
  }
}

}  // namespace sassafrasdyke::peer
