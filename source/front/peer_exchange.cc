#include "front/peer_exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace sassafrasdyke::front {
namespace {

constexpr std::string_view kCopyPath = "/view?have=";
/// A copy of 7,900 targets takes 2 MB; on the slowest link (10 Mbit/s) that is
/// 1.6 s.
constexpr std::chrono::milliseconds kPullDeadline{2000};
constexpr std::size_t kMostCopyBytes = 8U << 20U;
constexpr unsigned kOk = 200;

}  // namespace

tl::expected<std::unique_ptr<PeerExchange>, std::string> PeerExchange::Open(
    ev::loop_ref loop, const common::Endpoint& listen, core::PeerSync& sync,
    const core::LiveView& view, const ProcessClock& clock,
    ExchangeListener& listener) {
  auto port = PacketPort::Open(listen);
  if (!port) {
    return tl::unexpected(port.error());
  }
  std::unique_ptr<PeerExchange> exchange(
      new PeerExchange(loop, std::move(*port), sync, view, clock, listener));
  auto server = http::Server::Open(loop, listen, *exchange);
  if (!server) {
    return tl::unexpected(server.error());
  }
  exchange->server = std::move(*server);
  return exchange;
}

PeerExchange::PeerExchange(ev::loop_ref loop, std::unique_ptr<PacketPort> port,
                           core::PeerSync& sync, const core::LiveView& view,
                           const ProcessClock& clock,
                           ExchangeListener& listener)
    : sync(sync),
      view(view),
      clock(clock),
      listener(listener),
      port(std::move(port)),
      connection(loop, *this),
      readable(loop) {
  this->readable.set<PeerExchange, &PeerExchange::OnDatagrams>(this);
  this->readable.start(this->port->Descriptor(), ev::READ);
}

void PeerExchange::Act(const core::SyncActions& actions) {
  for (const core::DigestOut& out : actions.digests) {
    const std::vector<std::uint8_t> bytes = EncodeDigest(out.digest);
    const std::span<std::uint8_t> buffer = this->port->NextBuffer();
    if (bytes.size() > buffer.size()) {
      ++this->counts.too_long;
      continue;
    }
    std::ranges::copy(bytes, buffer.begin());
    this->port->Queue(bytes.size(), out.to);
    ++this->counts.digests_sent;
  }
  this->port->Flush();
  if (actions.pull) {
    ++this->counts.pulls;
    this->pulled_from = *actions.pull;
    const std::string have =
        std::to_string(this->view.Items().Complete().value);
    this->connection.Get({*actions.pull, std::string(kCopyPath) + have,
                          kPullDeadline, kMostCopyBytes});
  }
}

void PeerExchange::OnDatagrams(ev::io& /*watcher*/, int /*events*/) {
  this->port->Receive(
      [this](std::span<const std::uint8_t> bytes) { this->OnDatagram(bytes); });
}

void PeerExchange::OnDatagram(std::span<const std::uint8_t> bytes) {
  const auto digest = DecodeDigest(bytes);
  if (!digest) {
    ++this->counts.unreadable;
    return;
  }
  ++this->counts.digests_taken;
  this->Act(this->sync.OnDigest(*digest, this->clock.Now()));
  this->listener.OnPeerNews();
}

void PeerExchange::OnGetOutcome(
    const tl::expected<http::GetAnswer, http::GetFailure>& outcome) {
  std::string_view what = "taken";
  std::optional<ViewCopy> copy;
  if (!outcome) {
    what = Word(outcome.error());
  } else if (outcome->status != kOk) {
    what = "refused";
  } else if (copy = DecodeCopy(outcome->body); !copy) {
    what = "unreadable";
  }
  if (!copy) {
    ++this->counts.pull_failures;
    this->sync.OnPullFailed();
    this->listener.OnPull(this->pulled_from, what);
    return;
  }
  this->Act(this->sync.OnPulled(copy->delta, copy->mark, this->clock.Now()));
  this->listener.OnPull(this->pulled_from, what);
  this->listener.OnPeerNews();
}

http::Response PeerExchange::Answer(const std::string& path) {
  common::Revision have;
  if (!path.starts_with(kCopyPath)) {
    return {404, "text/plain", "no such path\n"};
  }
  const char* const end = path.data() + path.size();
  const auto [last, error] =
      std::from_chars(path.data() + kCopyPath.size(), end, have.value);
  if (error != std::errc() || last != end) {
    return {400, "text/plain", "have is no number\n"};
  }
  if (!this->view.Usable()) {
    return {503, "text/plain", "no view yet\n"};
  }
  ++this->counts.copies_given;
  return {200, "application/msgpack",
          EncodeCopy({this->sync.Mark(this->clock.Now()),
                      this->view.Items().Since(have)})};
}

}  // namespace sassafrasdyke::front
