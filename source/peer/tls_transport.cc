#include "peer/tls_transport.h"

#include <openssl/err.h>

#include <utility>

namespace sassafrasdyke::peer {

TlsTransport::TlsTransport(Socket socket, SslSession session, TlsRole role)
    : socket(std::move(socket)), session(std::move(session)) {
  SSL_set_fd(this->session.get(), this->socket.Descriptor());
  if (role == TlsRole::kConnects) {
    SSL_set_connect_state(this->session.get());
  } else {
    SSL_set_accept_state(this->session.get());
  }
}

IoResult TlsTransport::Read(std::span<char> into) {
  ERR_clear_error();
  std::size_t bytes = 0;
  const int outcome =
      SSL_read_ex(this->session.get(), into.data(), into.size(), &bytes);
  return this->ResultOf(outcome, bytes);
}

IoResult TlsTransport::Write(std::string_view bytes) {
  ERR_clear_error();
  std::size_t written = 0;
  const int outcome =
      SSL_write_ex(this->session.get(), bytes.data(), bytes.size(), &written);
  return this->ResultOf(outcome, written);
}

IoResult TlsTransport::ResultOf(int outcome, std::size_t bytes) {
  switch (SSL_get_error(this->session.get(), outcome)) {
    case SSL_ERROR_NONE:
      return {IoState::kDone, bytes};
    case SSL_ERROR_WANT_READ:
      return {IoState::kWantsRead, 0};
    case SSL_ERROR_WANT_WRITE:
      return {IoState::kWantsWrite, 0};
    case SSL_ERROR_SSL:
      return {IoState::kRefused, 0};
    default:
      return {IoState::kClosed, 0};
  }
}

}  // namespace sassafrasdyke::peer
