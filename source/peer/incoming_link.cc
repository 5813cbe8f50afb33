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
      deadline(context.loop) {
  this->deadline.set<IncomingLink, &IncomingLink::OnDeadline>(this);
  this->deadline.start(Seconds(context.limits.hello_deadline));
  this->connection = std::make_unique<Http2Connection>(
      context.loop,
      context.MakeTransport(std::move(accepted.socket), TlsRole::kAccepts),
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
  this->connection->Stop();
}

void IncomingLink::OnAnswer(bool /*accepted*/) {}

std::size_t IncomingLink::NextBody(std::span<char> /*into*/) { return 0; }

void IncomingLink::OnAlive() {
  if (this->state == State::kAdmitted) {
    this->deadline.start(Seconds(this->context.limits.silent_after));
  }
}

void IncomingLink::OnBody(std::string_view bytes) {
  if (this->state != State::kWaiting && this->state != State::kAdmitted) {
    return;
  }
  this->splitter.Append(bytes);
  while (const std::optional<std::string> frame = this->splitter.Next()) {
    this->OnFrame(*frame);
  }
  const bool reading =
      this->state == State::kWaiting || this->state == State::kAdmitted;
  if (reading && this->splitter.TooLong()) {
    this->connection->End(CutReason::kTooLong);
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
    this->connection->End(CutReason::kMalformed);
    return;
  }
  if (const std::optional<CutReason> reason =
          this->context.directory.Judge(*said, this->source)) {
    this->Refuse(*reason);
    return;
  }
  this->hello = *said;
  this->state = State::kAdmitted;
  this->splitter.SetLimit(kMessageLimit);
  this->deadline.start(Seconds(this->context.limits.silent_after));
  this->connection->Answer(true);
  this->owner.OnAdmitted(this->id);
}

void IncomingLink::OnMessage(const std::string& frame) {
  const tl::expected<core::PeerMessage, CodecFault> message =
      DecodeMessage(frame);
  if (!message) {
    this->connection->End(CutReason::kMalformed);
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
  this->connection->Answer(false);
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
