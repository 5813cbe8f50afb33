/// GET requests and their answers, and what can go wrong between them.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>

#include "http/get_connection.h"
#include "http/scripted_server.h"
#include "http/server.h"
#include "support/run_loop.h"

namespace sassafrasdyke::http {
namespace {

using namespace std::chrono_literals;

/// Remembers the last outcome.
class Recorder final : public GetListener {
 public:
  void OnGetOutcome(
      const tl::expected<GetAnswer, GetFailure>& outcome) override {
    this->outcome = outcome;
    ++this->outcomes;
  }

  std::optional<tl::expected<GetAnswer, GetFailure>> outcome;
  int outcomes{0};
};

/// A connection to a scripted server.
struct Scene {
  Scene() : server(loop), connection(loop, recorder) {}

  /// Runs one request to its outcome.
  const tl::expected<GetAnswer, GetFailure>& Get(
      std::chrono::milliseconds deadline) {
    const int before = this->recorder.outcomes;
    this->connection.Get({this->server.Address(), "/a?b=c", deadline, 100});
    tests::RunUntil(this->loop,
                    [&] { return this->recorder.outcomes > before; });
    return *this->recorder.outcome;
  }

  ev::dynamic_loop loop;
  ScriptedServer server;
  Recorder recorder;
  GetConnection connection;
};

const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";

struct Script {
  std::string name;
  std::string bytes;
  bool close;
  std::optional<GetFailure> failure;
};

std::ostream& operator<<(std::ostream& out, const Script& row) {
  return out << row.name;
}

const Script kScripts[] = {
    {"whole", kHead + "ok", false, std::nullopt},
    {"until the end", "HTTP/1.1 200 OK\r\n\r\nok", true, std::nullopt},
    {"chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
     "\r\n",
     false, std::nullopt},
    {"half", kHead + "o", true, GetFailure::kUnreachable},
    {"nothing", "", true, GetFailure::kUnreachable},
    {"silence", "", false, GetFailure::kTimeout},
    {"half, then silence", kHead + "o", false, GetFailure::kTimeout},
    {"noise", "SSH-2.0\r\n\r\n", false, GetFailure::kMalformed},
    {"too much, headers only", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
     false, GetFailure::kTooLarge},
    {"too much",
     "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x'),
     false, GetFailure::kTooLarge},
};

// Answers come whole, in part or never, and connections fall silent for good.
// Each of these must end in one outcome within the deadline; a reader that
// waited on would never hear of a change again.
BOOST_DATA_TEST_CASE(every_request_has_one_outcome, kScripts, row) {
  Scene scene;
  scene.server.Script({row.bytes, row.close});

  const auto& outcome =
      scene.Get(row.failure == GetFailure::kTimeout ? 50ms : 30s);

  if (row.failure) {
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST(Word(outcome.error()) == Word(*row.failure));
  } else {
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome->body == "ok");
    BOOST_TEST(outcome->status == 200U);
  }
  BOOST_TEST(scene.recorder.outcomes == 1);
}

BOOST_AUTO_TEST_CASE(a_connection_is_used_again) {
  Scene scene;
  scene.server.Script({kHead + "ok"});
  scene.server.Script({kHead + "ok"});

  scene.Get(30s);
  BOOST_TEST(scene.Get(30s).has_value());

  BOOST_TEST(scene.server.Accepted() == 1);
}

// The server closes a kept connection just as the next request leaves. That is
// no outage: the request is sent again on a new connection.
BOOST_AUTO_TEST_CASE(a_kept_connection_that_ended_costs_no_request) {
  Scene scene;
  scene.server.Script({kHead + "ok"});
  scene.server.Script({"", true});
  scene.server.Script({kHead + "ok"});

  scene.Get(30s);
  BOOST_TEST(scene.Get(30s).has_value());

  BOOST_TEST(scene.server.Accepted() == 2);
}

// After a timeout the answer may still come. It must not be taken for the next
// request's, so the connection goes.
BOOST_AUTO_TEST_CASE(a_late_answer_is_not_the_next_ones) {
  Scene scene;
  scene.server.Script({""});
  scene.server.Script({kHead + "ok"});

  BOOST_TEST(!scene.Get(50ms).has_value());
  BOOST_TEST(scene.Get(30s).has_value());

  BOOST_TEST(scene.server.Accepted() == 2);
}

/// Answers with the path.
class Echo final : public Handler {
 public:
  Response Answer(const std::string& path) override {
    return {200, "text/plain", path};
  }
};

BOOST_AUTO_TEST_CASE(the_server_answers_request_after_request) {
  ev::dynamic_loop loop;
  // Port 0 can't be asked for: take one that a closed server had.
  common::Endpoint address;
  { address = ScriptedServer(loop).Address(); }
  Echo echo;
  const auto server = Server::Open(loop, address, echo);
  BOOST_REQUIRE(server.has_value());
  Recorder recorder;
  GetConnection connection(loop, recorder);
  for (int i = 1; i <= 3; ++i) {
    const std::string path = "/request/" + std::to_string(i);
    connection.Get({address, path, 30s, 100});
    tests::RunUntil(loop, [&] { return recorder.outcomes == i; });
    BOOST_REQUIRE(recorder.outcome->has_value());
    BOOST_TEST((*recorder.outcome)->body == path);
  }
}

}  // namespace
}  // namespace sassafrasdyke::http
