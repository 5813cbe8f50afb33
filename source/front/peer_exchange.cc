#include "front/peer_exchange.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace sassafrasdyke::front {
namespace {

/// Releases whose views lack evacuations answer this path with 404, so that no
/// copy is taken from them; they ask for copies at the other one.
constexpr std::string_view kCopyPath = "/view-with-evacuations?have=";
constexpr std::string_view kFormerCopyPath = "/view?have=";
constexpr std::string_view kFromField = "&from=";
/// A packed copy of 7,900 targets takes 0.2 MB; on the slowest link (10 Mbit/s)
/// three of them at once are 0.5 s.
constexpr std::chrono::milliseconds kPullDeadline{2000};
constexpr std::size_t kMostCopyBytes = 4U << 20U;
/// Copies that are sent at the same time. After a common restart a whole
/// failure domain asks the few that have a view; one that served all of them
/// would fill its link for a minute, and the packets of its clients would wait
/// behind the copies. The others are sent to those who have taken one.
constexpr std::size_t kMostCopies = 3;
/// More unsent bytes than this on a connection mean a copy under way.
constexpr std::size_t kCopyUnderWay = 4096;
/// How long a packed whole view is sent as it is. Packing one of 3,000 targets
/// takes some 15 ms of a core, and in a herd it is asked for many times.
constexpr std::chrono::milliseconds kPackedFor{500};
constexpr std::size_t kMostTakers = 64;
constexpr unsigned kOk = 200;
constexpr unsigned kBusy = 503;

/// The address after "&from="; nothing if there is none.
std::optional<common::Endpoint> FromField(const std::string& path) {
  const std::size_t at = path.find(kFromField);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  return common::Endpoint::Parse(path.substr(at + kFromField.size()));
}

}  // namespace

tl::expected<std::unique_ptr<PeerExchange>, std::string> PeerExchange::Open(
    ev::loop_ref loop, const common::Endpoint& listen, core::PeerSync& sync,
    const core::LiveView& view, const ProcessClock& clock,
    PauseDetector& pauses, ExchangeListener& listener) {
  auto port = PacketPort::Open(listen);
  if (!port) {
    return tl::unexpected(port.error());
  }
  std::unique_ptr<PeerExchange> exchange(new PeerExchange(
      loop, std::move(*port), sync, view, clock, pauses, listener));
  auto server = http::Server::Open(loop, listen, *exchange);
  if (!server) {
    return tl::unexpected(server.error());
  }
  exchange->server = std::move(*server);
  return exchange;
}

PeerExchange::PeerExchange(ev::loop_ref loop, std::unique_ptr<PacketPort> port,
                           core::PeerSync& sync, const core::LiveView& view,
                           const ProcessClock& clock, PauseDetector& pauses,
                           ExchangeListener& listener)
    : sync(sync),
      view(view),
      clock(clock),
      pauses(pauses),
      listener(listener),
      port(std::move(port)),
      connection(loop, *this),
      readable(loop),
      jitter(core::EndpointHash{}(sync.Members().Self().address)) {
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
    this->counts.digest_bytes_sent += bytes.size();
  }
  this->port->Flush();
  if (actions.pull) {
    ++this->counts.pulls;
    this->pulled_from = *actions.pull;
    const common::Revision have = this->sync.PullsAfter();
    this->replaces_view = have < this->view.Items().Complete();
    this->counts.replacements += this->replaces_view ? 1 : 0;
    const std::string path = std::string(kCopyPath) +
                             std::to_string(have.value) +
                             std::string(kFromField) +
                             this->sync.Members().Self().address.ToString();
    this->connection.Get({*actions.pull, path, kPullDeadline, kMostCopyBytes});
  }
}

void PeerExchange::OnDatagrams(ev::io& /*watcher*/, int /*events*/) {
  this->port->Receive(
      [this](std::span<const std::uint8_t> bytes) { this->OnDatagram(bytes); });
}

void PeerExchange::OnDatagram(std::span<const std::uint8_t> bytes) {
  this->pauses.OnWake();
  const auto digest = DecodeDigest(bytes);
  if (!digest) {
    ++this->counts.unreadable;
    return;
  }
  ++this->counts.digests_taken;
  const std::chrono::milliseconds now = this->clock.Now();
  const auto unconfirmed = this->view.Contact().Age(now);
  this->Act(this->sync.OnDigest(*digest, now));
  this->listener.OnPeerItems(digest->sender, false, unconfirmed);
}

void PeerExchange::OnGetOutcome(
    const tl::expected<http::GetAnswer, http::GetFailure>& outcome) {
  this->pauses.OnWake();
  std::string_view what = "taken";
  std::optional<ViewCopy> copy;
  std::optional<common::Endpoint> instead;
  const bool busy = outcome && outcome->status == kBusy;
  if (!outcome) {
    what = Word(outcome.error());
  } else if (outcome->status != kOk) {
    what = "refused";
    instead = common::Endpoint::Parse(outcome->body);
  } else if (copy = DecodeCopy(outcome->body); !copy) {
    what = "unreadable";
  }
  if (!copy) {
    ++this->counts.pull_failures;
    this->listener.OnPull(this->pulled_from, what, this->replaces_view);
    this->Act(busy ? this->sync.OnPullRefused(instead)
                   : this->sync.OnPullFailed(instead));
    return;
  }
  if (copy->mark.age) {
    // It was told before the copy was sent, which may take a while.
    *copy->mark.age += http::TimeSince(outcome->began_at);
  }
  const std::chrono::milliseconds now = this->clock.Now();
  const auto unconfirmed = this->view.Contact().Age(now);
  const common::Endpoint source = this->pulled_from;
  const bool differs = this->replaces_view;
  this->Act(this->sync.OnPulled(std::move(copy->delta), copy->mark, now));
  this->listener.OnPull(source, what, differs);
  this->listener.OnPeerItems(source, true, unconfirmed);
}

http::Response PeerExchange::Answer(const std::string& path) {
  common::Revision have;
  const std::string_view asked =
      path.starts_with(kFormerCopyPath) ? kFormerCopyPath : kCopyPath;
  if (!path.starts_with(asked)) {
    return {404, "text/plain", "no such path\n"};
  }
  const char* const end = path.data() + path.size();
  const auto [last, error] =
      std::from_chars(path.data() + asked.size(), end, have.value);
  if (error != std::errc()) {
    return {400, "text/plain", "have is no number\n"};
  }
  const bool busy = this->server->Sending(kCopyUnderWay) >= kMostCopies;
  if (busy || !this->view.Usable()) {
    ++this->counts.copies_put_off;
    return {kBusy, "text/plain", this->AnyTaker()};
  }
  if (const auto taker = FromField(path)) {
    this->NoteTaker(*taker);
  }
  std::string copy = this->CopySince(have);
  ++this->counts.copies_given;
  this->counts.copy_bytes_given += copy.size();
  return {kOk, "application/msgpack", std::move(copy)};
}

std::string PeerExchange::CopySince(common::Revision have) {
  if (have.value != 0) {
    return EncodeCopy(this->sync.Status(this->clock.Now()),
                      EncodeItems(this->view.Items().Since(have)));
  }
  const PackedView& packed = this->WholeView();
  // Older by the time that it has been kept.
  const std::chrono::milliseconds kept = this->clock.Now() - packed.at;
  core::ViewStatus mark = packed.mark;
  if (mark.age) {
    *mark.age += kept;
  }
  if (mark.store_returned_ago) {
    *mark.store_returned_ago += kept;
  }
  return EncodeCopy(mark, packed.items);
}

const PeerExchange::PackedView& PeerExchange::WholeView() {
  const std::chrono::milliseconds now = this->clock.Now();
  if (!this->whole || now - this->whole->at > kPackedFor) {
    this->whole = PackedView{now, this->sync.Status(now),
                             EncodeItems(this->view.Items().Since({0}))};
  }
  return *this->whole;
}

void PeerExchange::NoteTaker(const common::Endpoint& peer) {
  if (this->takers.size() < kMostTakers) {
    this->takers.push_back(peer);
  } else {
    this->takers[this->jitter.Below(kMostTakers)] = peer;
  }
}

std::string PeerExchange::AnyTaker() {
  if (this->takers.empty()) {
    return {};
  }
  return this->takers[this->jitter.Below(this->takers.size())].ToString();
}

}  // namespace sassafrasdyke::front
