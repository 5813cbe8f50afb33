/// Streams between instances under mutual TLS.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <ostream>
#include <string>

#include "peer/peer_fixture.h"
#include "peer/test_certificates.h"
#include "peer/tls_context.h"

namespace sassafrasdyke::peer {
namespace {

using namespace std::chrono_literals;

/// Two instances with certificates of their own.
struct TlsPair : PeerFixture {
  TestInstance* one{nullptr};
  TestInstance* two{nullptr};

  TlsPair(const TestCertificates& first, const TestCertificates* second) {
    this->limits.first_retry = 1ms;
    this->limits.longest_retry = 5ms;
    this->tls = first.Settings();
    this->one = &this->Open(1);
    this->tls.reset();
    if (second != nullptr) {
      this->tls = second->Settings();
    }
    this->two = &this->Open(2);
    const core::InstanceList list = ListOf({this->one, this->two});
    this->one->links->SetInstances(list, kFleet);
    this->two->links->SetInstances(list, kFleet);
  }

  bool Delivers(PeerLinks& from, std::uint32_t to, const Recorder& recorder) {
    from.Send({to}, core::Heartbeat{});
    return this->RunUntil([&recorder] { return !recorder.messages.empty(); });
  }
};

BOOST_AUTO_TEST_CASE(instances_of_one_authority_talk_both_ways) {
  const TestCertificates certificates;
  TlsPair pair(certificates, &certificates);

  BOOST_TEST(pair.Delivers(*pair.one->links, 2, pair.two->recorder));
  BOOST_TEST(pair.Delivers(*pair.two->links, 1, pair.one->recorder));
  core::DocumentCopy copy;
  copy.document.entries.push_back({"defaults", std::string(1U << 20U, 'x')});
  pair.one->links->Send({2}, copy);
  BOOST_TEST(pair.RunUntil(
      [&pair] { return pair.two->recorder.messages.size() == 2; }));
}

// Somebody runs a process at a listed address, with a certificate that the
// fleet's authority didn't sign. It must not be believed, in either direction.
BOOST_AUTO_TEST_CASE(another_authority_is_refused) {
  const TestCertificates ours;
  const TestCertificates theirs;
  TlsPair pair(ours, &theirs);
  pair.one->links->Send({2}, core::Heartbeat{});
  pair.two->links->Send({1}, core::Heartbeat{});

  BOOST_TEST(pair.RunUntil([&pair] {
    return pair.one->links->Counts().Cut(CutReason::kTls) >= 2 &&
           pair.two->links->Counts().Cut(CutReason::kTls) >= 2;
  }));
  BOOST_TEST(pair.one->recorder.messages.empty());
  BOOST_TEST(pair.two->recorder.messages.empty());
}

struct Misplaced {
  std::string name;
  const char* addresses;
};

std::ostream& operator<<(std::ostream& out, const Misplaced& row) {
  return out << row.name;
}

const Misplaced kMisplaced[] = {
    {"another instance's address", "IP:127.0.1.1"},
    {"a name that reads like the address", "DNS:127.0.1.2"},
    {"no address", nullptr},
};

// The key of one instance was stolen, or its files were copied to another. The
// authority did sign the certificate, but for another address: whoever holds it
// must not be believed as the instance that is published here.
BOOST_DATA_TEST_CASE(a_certificate_for_another_address_is_refused, kMisplaced,
                     row) {
  const TestCertificates ours;
  const TestCertificates misplaced(ours, row.addresses);
  TlsPair pair(ours, &misplaced);
  pair.one->links->Send({2}, core::Heartbeat{});
  pair.two->links->Send({1}, core::Heartbeat{});

  BOOST_TEST(pair.RunUntil(
      [&pair] { return pair.one->links->Counts().Cut(CutReason::kTls) >= 2; }));
  BOOST_TEST(pair.one->recorder.messages.empty());
  BOOST_TEST(pair.two->recorder.messages.empty());
  BOOST_TEST(pair.one->recorder.ups == 0);
}

// One instance was started without certificates. The others must not fall back
// to plain TCP for it.
BOOST_AUTO_TEST_CASE(plain_tcp_is_refused) {
  const TestCertificates ours;
  TlsPair pair(ours, nullptr);
  pair.two->links->Send({1}, core::Heartbeat{});

  BOOST_TEST(pair.RunUntil(
      [&pair] { return pair.one->links->Counts().Cut(CutReason::kTls) >= 1; }));
  BOOST_TEST(pair.one->recorder.messages.empty());
}

// The authority is replaced while instances run. Each must take the new files
// by itself: restarting hundreds of instances before the old certificates end
// is what an operator would forget.
BOOST_AUTO_TEST_CASE(changed_files_are_read_again) {
  const TestCertificates ours;
  const TestCertificates theirs;
  TlsPair pair(ours, &theirs);
  pair.one->links->Send({2}, core::Heartbeat{});
  BOOST_TEST(pair.RunUntil(
      [&pair] { return pair.one->links->Counts().Cut(CutReason::kTls) >= 1; }));

  ours.ReplaceBy(theirs);

  BOOST_TEST(pair.Delivers(*pair.one->links, 2, pair.two->recorder));
}

// The files are replaced one after the other, or by broken ones. What was read
// before must stay in use, else every stream of the fleet ends at once.
BOOST_AUTO_TEST_CASE(broken_files_leave_the_old_ones_in_use) {
  const TestCertificates certificates;
  const auto context = TlsContext::Open(certificates.Settings());
  BOOST_REQUIRE(context.has_value());
  std::ofstream(certificates.Settings().certificate) << "broken";

  const auto peer = common::IpAddress::Parse("127.0.1.2").value();
  BOOST_TEST((context.value()->NewSession(peer) != nullptr));
  BOOST_TEST((context.value()->NewSession(peer) != nullptr));

  BOOST_TEST(context.value()->ReloadFailures() == 1U);
}

BOOST_AUTO_TEST_CASE(says_which_file_can_not_be_used) {
  const TestCertificates certificates;
  config::TlsSettings settings = certificates.Settings();
  settings.authority = "no-such-file";

  const auto context = TlsContext::Open(settings);

  BOOST_REQUIRE(!context.has_value());
  BOOST_TEST(context.error().find("no-such-file") != std::string::npos);
}

}  // namespace
}  // namespace sassafrasdyke::peer
