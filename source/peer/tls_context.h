/// The certificates of mutual TLS between instances, read again when their
/// files change.
#pragma once

#include <openssl/ssl.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "common/address.h"
#include "config/settings.h"

namespace sassafrasdyke::peer {

/// Frees a session of the library.
struct SslDeleter {
  void operator()(SSL* ssl) const { SSL_free(ssl); }
};
using SslSession = std::unique_ptr<SSL, SslDeleter>;

/// Makes sessions with the newest certificates that could be read.
class TlsContext {
 public:
  /// Reads the three files; the text says which one can't be used.
  static tl::expected<std::unique_ptr<TlsContext>, std::string> Open(
      const config::TlsSettings& settings);

  /// A session that verifies the other end's certificate against the
  /// authority, and that it names `peer`, the other end's published control
  /// address, as an IP address among its subject alternative names. Reads the
  /// files again first if they have changed; null if the library fails.
  SslSession NewSession(const common::IpAddress& peer);

  /// Times that changed files could not be used; the certificates read before
  /// stay in use.
  std::uint64_t ReloadFailures() const { return this->reload_failures; }

 private:
  struct ContextDeleter {
    void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
  };
  using Context = std::unique_ptr<SSL_CTX, ContextDeleter>;

  /// Tells one content of a file from the next.
  struct FileStamp {
    std::uint64_t inode{0};
    std::int64_t modified_ns{0};
    std::int64_t size{0};

    friend bool operator==(const FileStamp&, const FileStamp&) = default;
  };
  using FileStamps = std::array<FileStamp, 3>;

  explicit TlsContext(const config::TlsSettings& settings);

  static tl::expected<Context, std::string> Load(
      const config::TlsSettings& settings);
  static FileStamp StampOf(const std::string& file);
  FileStamps CurrentStamps() const;
  void ReloadIfChanged();

  config::TlsSettings settings;
  Context context;
  FileStamps stamps;
  std::uint64_t reload_failures{0};
};

}  // namespace sassafrasdyke::peer
