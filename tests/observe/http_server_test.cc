/// The HTTP port, read as an operator reads it.
#include "observe/http_server.h"

#include <curl/curl.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace sassafrasdyke::observe {
namespace {

class EchoHandler final : public HttpHandler {
 public:
  HttpResponse Answer(const HttpRequest& request) override {
    if (request.path != "/explain") {
      return {.status = 404, .content_type = "text/plain", .body = "no\n"};
    }
    return {.body = request.flow.value_or("none")};
  }
};

std::size_t Append(char* data, std::size_t size, std::size_t count,
                   void* context) {
  static_cast<std::string*>(context)->append(data, size * count);
  return size * count;
}

struct Answer {
  long status{0};  // NOLINT(google-runtime-int): libcurl's type
  std::string body;
};

Answer Get(std::uint16_t port, const std::string& path,
           const char* method = "GET") {
  Answer answer;
  CURL* const curl = curl_easy_init();
  const std::string url = "http://127.0.0.1:" + std::to_string(port) + path;
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.body);
  BOOST_REQUIRE(curl_easy_perform(curl) == CURLE_OK);
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.status);
  curl_easy_cleanup(curl);
  return answer;
}

std::unique_ptr<HttpServer> Open(HttpHandler& handler) {
  auto server =
      HttpServer::Open(*common::Endpoint::Parse("127.0.0.1:0"), handler);
  BOOST_REQUIRE(server.has_value());
  return std::move(*server);
}

BOOST_AUTO_TEST_CASE(passes_path_and_flow_to_the_handler) {
  EchoHandler handler;
  const auto server = Open(handler);

  const Answer answer = Get(server->Port(), "/explain?flow=a-%3Eb");

  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body == "a->b");
  BOOST_TEST(Get(server->Port(), "/other").status == 404);
}

// Operators never steer one instance by hand: nothing can be written here.
BOOST_AUTO_TEST_CASE(answers_only_get) {
  EchoHandler handler;
  const auto server = Open(handler);

  BOOST_TEST(Get(server->Port(), "/explain", "POST").status == 405);
  BOOST_TEST(Get(server->Port(), "/explain", "DELETE").status == 405);
}

BOOST_AUTO_TEST_CASE(a_port_in_use_is_an_error) {
  EchoHandler handler;
  const auto server = Open(handler);
  const common::Endpoint taken{common::IpAddress::FromV4(0x7F000001),
                               server->Port()};

  const auto second = HttpServer::Open(taken, handler);

  BOOST_TEST(!second.has_value());
}

}  // namespace
}  // namespace sassafrasdyke::observe
