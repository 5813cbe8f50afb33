#include "peer/test_certificates.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include <cstdio>
#include <memory>

namespace sassafrasdyke::peer {
namespace {

constexpr long kYear = 365L * 24 * 3600;  // NOLINT(google-runtime-int)
constexpr int kVersion3 = 2;

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;
using File = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

Key MakeKey() { return {EVP_EC_gen("P-256"), &EVP_PKEY_free}; }

void SetName(X509_NAME* name, const char* text) {
  X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>(text), -1,
                             -1, 0);
}

/// A certificate for `key`, signed by `signer`.
Certificate MakeCertificate(EVP_PKEY* key, const char* subject,
                            EVP_PKEY* signer, const char* issuer, bool ca,
                            const char* addresses) {
  Certificate certificate(X509_new(), &X509_free);
  X509* const raw = certificate.get();
  X509_set_version(raw, kVersion3);
  ASN1_INTEGER_set(X509_get_serialNumber(raw), 1);
  X509_gmtime_adj(X509_getm_notBefore(raw), -kYear);
  X509_gmtime_adj(X509_getm_notAfter(raw), kYear);
  SetName(X509_get_subject_name(raw), subject);
  SetName(X509_get_issuer_name(raw), issuer);
  X509_set_pubkey(raw, key);
  X509_EXTENSION* const constraint =
      X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints,
                          ca ? "critical,CA:TRUE" : "critical,CA:FALSE");
  X509_add_ext(raw, constraint, -1);
  X509_EXTENSION_free(constraint);
  if (addresses != nullptr) {
    X509_EXTENSION* const names =
        X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, addresses);
    X509_add_ext(raw, names, -1);
    X509_EXTENSION_free(names);
  }
  X509_sign(raw, signer, EVP_sha256());
  return certificate;
}

void WriteCertificate(const std::filesystem::path& path, X509* certificate) {
  const File file(std::fopen(path.c_str(), "w"), &std::fclose);
  PEM_write_X509(file.get(), certificate);
}

void WriteKey(const std::filesystem::path& path, EVP_PKEY* key) {
  const File file(std::fopen(path.c_str(), "w"), &std::fclose);
  PEM_write_PrivateKey(file.get(), key, nullptr, nullptr, 0, nullptr, nullptr);
}

Key ReadKey(const std::filesystem::path& path) {
  const File file(std::fopen(path.c_str(), "r"), &std::fclose);
  return {PEM_read_PrivateKey(file.get(), nullptr, nullptr, nullptr),
          &EVP_PKEY_free};
}

std::filesystem::path MakeFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "certificates-XXXXXX").string();
  return mkdtemp(name.data());
}

}  // namespace

TestCertificates::TestCertificates(const char* addresses)
    : folder(MakeFolder()) {
  const Key key = MakeKey();
  const Certificate authority = MakeCertificate(
      key.get(), "authority", key.get(), "authority", true, nullptr);
  WriteCertificate(this->folder / "authority", authority.get());
  WriteKey(this->folder / "authority-key", key.get());
  this->WriteCertificateOf(addresses);
}

TestCertificates::TestCertificates(const TestCertificates& issuer,
                                   const char* addresses)
    : folder(MakeFolder()) {
  for (const char* const name : {"authority", "authority-key"}) {
    std::filesystem::copy_file(issuer.folder / name, this->folder / name);
  }
  this->WriteCertificateOf(addresses);
}

void TestCertificates::WriteCertificateOf(const char* addresses) {
  const Key authority_key = ReadKey(this->folder / "authority-key");
  const Key key = MakeKey();
  const Certificate certificate =
      MakeCertificate(key.get(), "instance", authority_key.get(), "authority",
                      false, addresses);
  WriteCertificate(this->folder / "certificate", certificate.get());
  WriteKey(this->folder / "key", key.get());
}

TestCertificates::~TestCertificates() {
  std::filesystem::remove_all(this->folder);
}

config::TlsSettings TestCertificates::Settings() const {
  return {this->folder / "certificate", this->folder / "key",
          this->folder / "authority"};
}

void TestCertificates::ReplaceBy(const TestCertificates& other) const {
  for (const char* const name : {"certificate", "key", "authority"}) {
    std::filesystem::copy_file(
        other.folder / name, this->folder / name,
        std::filesystem::copy_options::overwrite_existing);
  }
}

}  // namespace sassafrasdyke::peer
