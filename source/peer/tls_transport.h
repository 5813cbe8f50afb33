/// A TCP stream under mutual TLS.
#pragma once

#include "peer/socket.h"
#include "peer/tls_context.h"
#include "peer/transport.h"

namespace sassafrasdyke::peer {

/// Which end starts the handshake.
enum class TlsRole { kConnects, kAccepts };

/// Shakes hands with the first read or write.
class TlsTransport final : public Transport {
 public:
  TlsTransport(Socket socket, SslSession session, TlsRole role);

  IoResult Read(std::span<char> into) override;
  IoResult Write(std::string_view bytes) override;
  int Descriptor() const override { return this->socket.Descriptor(); }

 private:
  IoResult ResultOf(int outcome, std::size_t bytes);

  Socket socket;
  SslSession session;
};

}  // namespace sassafrasdyke::peer
