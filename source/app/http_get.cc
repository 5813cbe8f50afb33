#include "app/http_get.h"

#include <curl/curl.h>

#include <cstddef>
#include <memory>

namespace sassafrasdyke::app {
namespace {

constexpr long kDeadlineSeconds = 5;  // NOLINT(google-runtime-int)
constexpr long kOk = 200;             // NOLINT(google-runtime-int)

struct CurlCloser {
  void operator()(CURL* curl) const { curl_easy_cleanup(curl); }
};
using CurlHandle = std::unique_ptr<CURL, CurlCloser>;

std::size_t Append(char* data, std::size_t size, std::size_t count,
                   void* context) {
  static_cast<std::string*>(context)->append(data, size * count);
  return size * count;
}

std::string Escape(CURL* curl, const std::string& text) {
  char* const escaped =
      curl_easy_escape(curl, text.c_str(), static_cast<int>(text.size()));
  std::string copy = escaped == nullptr ? "" : escaped;
  curl_free(escaped);
  return copy;
}

}  // namespace

tl::expected<std::string, std::string> HttpGet(const common::Endpoint& server,
                                               const std::string& path,
                                               const QueryArgument& argument) {
  const CurlHandle curl(curl_easy_init());
  if (curl == nullptr) {
    return tl::unexpected(std::string("libcurl can't be used"));
  }
  const std::string url = "http://" + server.ToString() + path + "?" +
                          argument.name + "=" +
                          Escape(curl.get(), argument.value);
  std::string body;
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT, kDeadlineSeconds);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &body);
  if (const CURLcode code = curl_easy_perform(curl.get()); code != CURLE_OK) {
    return tl::unexpected(server.ToString() +
                          " doesn't answer: " + curl_easy_strerror(code));
  }
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  if (status != kOk) {
    return tl::unexpected(server.ToString() + " answers " +
                          std::to_string(status) + ": " + body);
  }
  return body;
}

}  // namespace sassafrasdyke::app
