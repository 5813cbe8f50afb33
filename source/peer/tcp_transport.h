/// A plain TCP stream.
#pragma once

#include "peer/socket.h"
#include "peer/transport.h"

namespace sassafrasdyke::peer {

/// Bytes as they are.
class TcpTransport final : public Transport {
 public:
  explicit TcpTransport(Socket socket);

  IoResult Read(std::span<char> into) override;
  IoResult Write(std::string_view bytes) override;
  int Descriptor() const override { return this->socket.Descriptor(); }

 private:
  Socket socket;
};

}  // namespace sassafrasdyke::peer
