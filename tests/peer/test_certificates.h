/// Makes an authority and certificates for tests, as PEM files.
#pragma once

#include <filesystem>
#include <string>

#include "config/settings.h"

namespace sassafrasdyke::peer {

/// A folder with one authority and one certificate signed by it.
class TestCertificates {
 public:
  /// Makes new keys and writes the files.
  TestCertificates();
  ~TestCertificates();
  TestCertificates(const TestCertificates&) = delete;
  TestCertificates& operator=(const TestCertificates&) = delete;

  /// The files as the settings name them.
  config::TlsSettings Settings() const;
  /// Writes the files of `other` over these, one after the other.
  void ReplaceBy(const TestCertificates& other) const;

 private:
  std::filesystem::path folder;
};

}  // namespace sassafrasdyke::peer
