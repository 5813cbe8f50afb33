#include "peer/peer_links.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "peer/peer_codec.h"

namespace sassafrasdyke::peer {
namespace {

/// Connections taken in a row before other work of the loop gets its turn.
constexpr int kAcceptsAtOnce = 32;
/// Pause after the system refused to hand over a waiting connection.
constexpr ev::tstamp kAcceptPause = 0.1;

}  // namespace

tl::expected<std::unique_ptr<PeerLinks>, PeerOpenFault> PeerLinks::Open(
    ev::loop_ref loop, const PeerIdentity& self,
    const config::ControlSettings& settings, const PeerLimits& limits,
    std::uint64_t seed, PeerListener& listener, const PeerClock& clock) {
  std::unique_ptr<TlsContext> tls;
  if (settings.tls) {
    auto opened = TlsContext::Open(*settings.tls);
    if (!opened) {
      return tl::unexpected(PeerOpenFault{opened.error()});
    }
    tls = std::move(*opened);
  }
  std::optional<Socket> socket = Socket::Listen(settings.listen);
  if (!socket) {
    return tl::unexpected(PeerOpenFault{"can't listen for peers at " +
                                        settings.listen.ToString()});
  }
  PeerContext context{
      loop,           self,     settings.listen.address,
      limits,         listener, InstanceDirectory(self.id, self.versions),
      std::move(tls), seed,     clock};
  return std::unique_ptr<PeerLinks>(
      new PeerLinks(std::move(context), std::move(*socket)));
}

PeerLinks::PeerLinks(PeerContext context, Socket socket)
    : context(std::move(context)),
      socket(std::move(socket)),
      acceptor(this->context.loop),
      accept_again(this->context.loop),
      sweep(this->context.loop) {
  this->acceptor.set<PeerLinks, &PeerLinks::OnAcceptable>(this);
  this->acceptor.start(this->socket.Descriptor(), ev::READ);
  this->accept_again.set<PeerLinks, &PeerLinks::OnAcceptAgain>(this);
  this->sweep.set<PeerLinks, &PeerLinks::OnSweep>(this);
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::SetInstances(const core::InstanceList& list,
                             const std::string& fleet) {
  this->context.directory.Set(list, fleet);
  this->RetireUnlisted();
}

void PeerLinks::Send(common::InstanceId to, const core::PeerMessage& message) {
  const core::Instance* const peer = this->context.directory.Find(to);
  const bool reachable = peer != nullptr && to != this->context.self.id &&
                         !this->context.directory.Fleet().empty();
  if (!reachable) {
    ++this->context.counts.dropped_unlisted[message.index()];
    return;
  }
  QueuedMessage queued{message.index(), Encode(message), this->context.Now()};
  if (queued.bytes.size() > kMessageLimit) {
    ++this->context.counts.dropped_full[message.index()];
    return;
  }
  std::unique_ptr<OutgoingLink>& link = this->outgoing[to];
  if (link == nullptr) {
    link = std::make_unique<OutgoingLink>(this->context, *peer,
                                          this->context.seed + to.value);
  }
  link->Send(std::move(queued));
}

std::optional<ProtocolVersion> PeerLinks::VersionTo(
    common::InstanceId peer) const {
  const auto found = this->outgoing.find(peer);
  return found == this->outgoing.end() ? std::nullopt
                                       : found->second->Version();
}

std::optional<ProtocolVersion> PeerLinks::VersionFrom(
    common::InstanceId peer) const {
  const auto found = std::find_if(
      this->incoming.begin(), this->incoming.end(),
      [peer](const auto& entry) { return entry.second->Peer() == peer; });
  return found == this->incoming.end() ? std::nullopt
                                       : found->second->Version();
}

void PeerLinks::OnAcceptable(ev::io& /*watcher*/, int /*events*/) {
  for (int i = 0; i < kAcceptsAtOnce; ++i) {
    std::optional<AcceptedSocket> accepted = Accept(this->socket);
    if (!accepted) {
      if (i == 0) {
        this->PauseAccepting();
      }
      return;
    }
    ++this->context.counts.accepts;
    if (!this->MayEnter(accepted->source)) {
      continue;
    }
    const IncomingLinkId id{++this->last_link};
    this->incoming.emplace(
        id, std::make_unique<IncomingLink>(this->context, *this, id,
                                           std::move(*accepted)));
  }
}

void PeerLinks::PauseAccepting() {
  // Without descriptors left the connection stays waiting and the loop is
  // woken for it without end: one would see a whole core in use while the
  // heartbeats of the streams that are open come late.
  this->acceptor.stop();
  this->accept_again.start(kAcceptPause);
}

void PeerLinks::OnAcceptAgain(ev::timer& /*timer*/, int /*events*/) {
  this->acceptor.start();
}

bool PeerLinks::MayEnter(const common::IpAddress& source) {
  std::optional<CutReason> reason;
  if (!this->context.directory.Lists(source)) {
    reason = CutReason::kNotListed;
  } else if (this->Waiting() >= this->context.limits.waiting) {
    reason = CutReason::kTooMany;
  }
  if (reason) {
    ++this->context.counts.Cut(*reason);
    this->context.listener.OnPeerCut({}, source, *reason);
  }
  return !reason;
}

std::size_t PeerLinks::Waiting() const {
  return static_cast<std::size_t>(std::count_if(
      this->incoming.begin(), this->incoming.end(),
      [](const auto& entry) { return entry.second->Peer().value == 0; }));
}

void PeerLinks::OnAdmitted(IncomingLinkId link) {
  // A peer that connects again has lost the connection before, also if this
  // end hasn't noticed.
  const common::InstanceId peer = this->incoming.at(link)->Peer();
  const auto older =
      std::find_if(this->incoming.begin(), this->incoming.end(),
                   [link, peer](const auto& entry) {
                     return entry.first != link && entry.second->Peer() == peer;
                   });
  if (older != this->incoming.end()) {
    older->second->Stop(CutReason::kReplaced);
    this->OnIncomingEnded(older->first);
  }
}

void PeerLinks::OnIncomingEnded(IncomingLinkId link) {
  auto node = this->incoming.extract(link);
  if (!node.empty()) {
    this->Retire(std::move(node.mapped()));
  }
}

bool PeerLinks::StillListed(const core::Instance& peer) const {
  const core::Instance* const now = this->context.directory.Find(peer.id);
  return now != nullptr && now->control == peer.control &&
         now->incarnation == peer.incarnation;
}

bool PeerLinks::StillListed(const IncomingLink& link) const {
  if (link.Peer().value == 0) {
    return this->context.directory.Lists(link.Source());
  }
  const core::Instance* const now = this->context.directory.Find(link.Peer());
  return now != nullptr && now->control.address == link.Source() &&
         link.PeerIncarnation().value >= now->incarnation.value;
}

void PeerLinks::RetireUnlisted() {
  for (auto entry = this->outgoing.begin(); entry != this->outgoing.end();) {
    if (this->StillListed(entry->second->Peer())) {
      ++entry;
      continue;
    }
    std::unique_ptr<OutgoingLink> link = std::move(entry->second);
    entry = this->outgoing.erase(entry);
    this->Retire(std::move(link));
  }
  for (auto entry = this->incoming.begin(); entry != this->incoming.end();) {
    if (this->StillListed(*entry->second)) {
      ++entry;
      continue;
    }
    std::unique_ptr<IncomingLink> link = std::move(entry->second);
    entry = this->incoming.erase(entry);
    link->Stop(CutReason::kUnlisted);
    this->Retire(std::move(link));
  }
}

void PeerLinks::Retire(std::unique_ptr<OutgoingLink> link) {
  link->Stop();
  ++this->context.counts.Cut(CutReason::kUnlisted);
  this->retired_outgoing.push_back(std::move(link));
  this->sweep.start(0);
}

void PeerLinks::Retire(std::unique_ptr<IncomingLink> link) {
  this->retired_incoming.push_back(std::move(link));
  this->sweep.start(0);
}

void PeerLinks::OnSweep(ev::timer& /*timer*/, int /*events*/) {
  this->retired_outgoing.clear();
  this->retired_incoming.clear();
}

}  // namespace sassafrasdyke::peer
