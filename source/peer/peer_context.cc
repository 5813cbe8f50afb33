#include "peer/peer_context.h"

#include <utility>

#include "peer/tcp_transport.h"

namespace sassafrasdyke::peer {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;

}  // namespace

std::unique_ptr<Transport> PeerContext::MakeTransport(
    Socket socket, TlsRole role, const common::IpAddress& peer) {
  if (this->tls == nullptr) {
    return std::make_unique<TcpTransport>(std::move(socket));
  }
  SslSession session = this->tls->NewSession(peer);
  this->counts.tls_reload_failures = this->tls->ReloadFailures();
  return std::make_unique<TlsTransport>(std::move(socket), std::move(session),
                                        role);
}

ev::tstamp Seconds(std::chrono::milliseconds time) {
  return static_cast<double>(time.count()) / kMillisecondsPerSecond;
}

}  // namespace sassafrasdyke::peer
