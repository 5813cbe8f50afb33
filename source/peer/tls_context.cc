#include "peer/tls_context.h"

#include <openssl/err.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <csignal>
#include <utility>

namespace sassafrasdyke::peer {
namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

std::string FileFault(const std::string& file) {
  const char* const reason = ERR_reason_error_string(ERR_peek_last_error());
  ERR_clear_error();
  return file + ": " + (reason == nullptr ? "can't be used" : reason);
}

}  // namespace

TlsContext::TlsContext(const config::TlsSettings& settings)
    : settings(settings) {}

tl::expected<std::unique_ptr<TlsContext>, std::string> TlsContext::Open(
    const config::TlsSettings& settings) {
  // The library writes to sockets without a flag that spares us the signal; a
  // peer that closes its end would end this process.
  std::signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<TlsContext> opened(new TlsContext(settings));
  opened->stamps = opened->CurrentStamps();
  tl::expected<Context, std::string> loaded = Load(settings);
  if (!loaded) {
    return tl::unexpected(loaded.error());
  }
  opened->context = std::move(*loaded);
  return opened;
}

SslSession TlsContext::NewSession(const common::IpAddress& peer) {
  this->ReloadIfChanged();
  SslSession session(SSL_new(this->context.get()));
  // With the authority's word alone, the key of any instance is good for the
  // address of every other: who steals one and takes over an address is
  // believed as the instance that is published there, and nothing would show.
  const bool tied = session != nullptr &&
                    X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(session.get()),
                                                  peer.ToString().c_str()) == 1;
  return tied ? std::move(session) : nullptr;
}

tl::expected<TlsContext::Context, std::string> TlsContext::Load(
    const config::TlsSettings& settings) {
  Context context(SSL_CTX_new(TLS_method()));
  SSL_CTX* const raw = context.get();
  SSL_CTX_set_min_proto_version(raw, TLS1_2_VERSION);
  SSL_CTX_set_verify(raw, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT,
                     nullptr);
  SSL_CTX_set_mode(raw, SSL_MODE_ENABLE_PARTIAL_WRITE |
                            SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER |
                            SSL_MODE_RELEASE_BUFFERS);
  // A resumed session skips the certificates, also those read meanwhile.
  SSL_CTX_set_session_cache_mode(raw, SSL_SESS_CACHE_OFF);
  SSL_CTX_set_options(raw, SSL_OP_NO_TICKET);
  if (SSL_CTX_use_certificate_chain_file(raw, settings.certificate.c_str()) !=
      1) {
    return tl::unexpected(FileFault(settings.certificate));
  }
  if (SSL_CTX_use_PrivateKey_file(raw, settings.key.c_str(),
                                  SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(raw) != 1) {
    return tl::unexpected(FileFault(settings.key));
  }
  if (SSL_CTX_load_verify_file(raw, settings.authority.c_str()) != 1) {
    return tl::unexpected(FileFault(settings.authority));
  }
  return context;
}

TlsContext::FileStamp TlsContext::StampOf(const std::string& file) {
  struct stat status {};
  if (stat(file.c_str(), &status) != 0) {
    return {};
  }
  return {
      status.st_ino,
      status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec,
      status.st_size};
}

TlsContext::FileStamps TlsContext::CurrentStamps() const {
  return {StampOf(this->settings.certificate), StampOf(this->settings.key),
          StampOf(this->settings.authority)};
}

void TlsContext::ReloadIfChanged() {
  const FileStamps current = this->CurrentStamps();
  if (current == this->stamps) {
    return;
  }
  // The files change one after the other, so the first reading may meet a
  // certificate and a key that don't fit. What was read before stays in use,
  // and the next change of a file leads to another try.
  this->stamps = current;
  tl::expected<Context, std::string> loaded = Load(this->settings);
  if (!loaded) {
    ++this->reload_failures;
    return;
  }
  this->context = std::move(*loaded);
}

}  // namespace sassafrasdyke::peer
