/// Makes an authority and certificates for tests, as PEM files.
#pragma once

#include <filesystem>
#include <string>

#include "config/settings.h"

namespace sassafrasdyke::peer {

/// A folder with one authority and one certificate signed by it.
class TestCertificates {
 public:
  /// Makes new keys and writes the files; the certificate names `addresses`.
  explicit TestCertificates(const char* addresses = kAddresses);
  /// The same, with the authority of `issuer`.
  TestCertificates(const TestCertificates& issuer, const char* addresses);
  ~TestCertificates();
  TestCertificates(const TestCertificates&) = delete;
  TestCertificates& operator=(const TestCertificates&) = delete;

  /// Where the instances of the tests listen, as the library reads it.
  static constexpr const char* kAddresses = "IP:127.0.1.1,IP:127.0.1.2";

  /// The files as the settings name them.
  config::TlsSettings Settings() const;
  /// Writes the files of `other` over these, one after the other.
  void ReplaceBy(const TestCertificates& other) const;

 private:
  void WriteCertificateOf(const char* addresses);

  std::filesystem::path folder;
};

}  // namespace sassafrasdyke::peer
