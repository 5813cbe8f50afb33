#include "clients/http_client.h"

#include <cstdlib>
#include <optional>
#include <utility>

namespace sassafrasdyke::clients {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
/// Connections kept open for further requests.
constexpr int kKeptConnections = 16;

/// libcurl asks for this once, before anything else of it is used.
bool InitialiseLibrary() {
  static const bool done = curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK;
  return done;
}

}  // namespace

HttpClient::HttpClient(ev::loop_ref loop) : loop(loop), timer(loop) {
  if (!InitialiseLibrary()) {
    std::abort();  // Without its library the process can't read anything.
  }
  this->multi.reset(curl_multi_init());
  this->timer.set<HttpClient, &HttpClient::OnTimeout>(this);
  CURLM* const handle = this->multi.get();
  curl_multi_setopt(handle, CURLMOPT_SOCKETFUNCTION, &OnSocketChange);
  curl_multi_setopt(handle, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(handle, CURLMOPT_TIMERFUNCTION, &OnTimerChange);
  curl_multi_setopt(handle, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(handle, CURLMOPT_MAXCONNECTS, kKeptConnections);
}

HttpClient::~HttpClient() {
  for (auto& [id, transfer] : this->transfers) {
    curl_multi_remove_handle(this->multi.get(), transfer.easy.get());
  }
  this->transfers.clear();
  // Closing kept connections calls back for their sockets.
  this->multi.reset();
}

HttpRequestId HttpClient::Get(const HttpRequest& request,
                              HttpListener& listener) {
  const HttpRequestId id{++this->last_id};
  Transfer& transfer = this->transfers[id];
  transfer.listener = &listener;
  transfer.max_body = request.max_body;
  transfer.easy.reset(curl_easy_init());
  this->SetUp(transfer, id, request);
  curl_multi_add_handle(this->multi.get(), transfer.easy.get());
  return id;
}

void HttpClient::SetUp(Transfer& transfer, HttpRequestId id,
                       const HttpRequest& request) {
  CURL* const easy = transfer.easy.get();
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  // A proxy from the environment would stand between us and the platform.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<curl_off_t>(request.deadline.count()));
  curl_easy_setopt(easy, CURLOPT_MAXFILESIZE_LARGE,
                   static_cast<curl_off_t>(request.max_body));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  // The id travels as a number in the library's pointer.
  curl_easy_setopt(easy, CURLOPT_PRIVATE,
                   reinterpret_cast<void*>(id.value));  // NOLINT
}

void HttpClient::Cancel(HttpRequestId request) {
  const auto found = this->transfers.find(request);
  if (found == this->transfers.end()) {
    return;
  }
  curl_multi_remove_handle(this->multi.get(), found->second.easy.get());
  this->transfers.erase(found);
}

int HttpClient::OnSocketChange(CURL* /*easy*/, curl_socket_t socket, int what,
                               void* client, void* /*unused*/) {
  static_cast<HttpClient*>(client)->Watch(socket, what);
  return 0;
}

void HttpClient::Watch(curl_socket_t socket, int what) {
  if (what == CURL_POLL_REMOVE) {
    this->sockets.erase(socket);
    return;
  }
  const auto [place, added] = this->sockets.try_emplace(socket, this->loop);
  ev::io& watcher = place->second;
  if (added) {
    watcher.set<HttpClient, &HttpClient::OnSocketReady>(this);
  }
  int events = 0;
  if ((what & CURL_POLL_IN) != 0) {
    events |= ev::READ;
  }
  if ((what & CURL_POLL_OUT) != 0) {
    events |= ev::WRITE;
  }
  watcher.start(socket, events);
}

int HttpClient::OnTimerChange(CURLM* /*multi*/,
                              long timeout_ms,  // NOLINT(google-runtime-int)
                              void* client) {
  ev::timer& timer = static_cast<HttpClient*>(client)->timer;
  timer.stop();
  if (timeout_ms >= 0) {
    timer.start(static_cast<double>(timeout_ms) / kMillisecondsPerSecond);
  }
  return 0;
}

std::size_t HttpClient::OnBody(char* data, std::size_t size, std::size_t count,
                               void* transfer) {
  auto& receiver = *static_cast<Transfer*>(transfer);
  const std::size_t bytes = size * count;
  // A platform gone wrong may answer without end; keeping it all would take
  // the memory that flows need, and the kernel would end the process.
  if (receiver.body.size() + bytes > receiver.max_body) {
    receiver.too_large = true;
    return 0;
  }
  receiver.body.append(data, bytes);
  return bytes;
}

void HttpClient::OnSocketReady(ev::io& watcher, int events) {
  int action = 0;
  if ((events & ev::READ) != 0) {
    action |= CURL_CSELECT_IN;
  }
  if ((events & ev::WRITE) != 0) {
    action |= CURL_CSELECT_OUT;
  }
  this->Act(watcher.fd, action);
}

void HttpClient::OnTimeout(ev::timer& /*watcher*/, int /*events*/) {
  this->Act(CURL_SOCKET_TIMEOUT, 0);
}

void HttpClient::Act(curl_socket_t socket, int action) {
  int running = 0;
  curl_multi_socket_action(this->multi.get(), socket, action, &running);
  this->Deliver();
}

void HttpClient::Deliver() {
  int left = 0;
  while (const CURLMsg* message =
             curl_multi_info_read(this->multi.get(), &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    char* number = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &number);
    const HttpRequestId id{reinterpret_cast<std::uint64_t>(number)};  // NOLINT
    curl_multi_remove_handle(this->multi.get(), message->easy_handle);
    auto node = this->transfers.extract(id);
    Transfer& transfer = node.mapped();
    transfer.listener->OnHttpOutcome(id, OutcomeOf(transfer, code));
  }
}

tl::expected<HttpAnswer, HttpFailure> HttpClient::OutcomeOf(Transfer& transfer,
                                                            CURLcode code) {
  if (transfer.too_large || code == CURLE_FILESIZE_EXCEEDED) {
    return tl::unexpected(HttpFailure::kTooLarge);
  }
  if (code == CURLE_OPERATION_TIMEDOUT) {
    return tl::unexpected(HttpFailure::kTimeout);
  }
  if (code != CURLE_OK) {
    return tl::unexpected(HttpFailure::kUnreachable);
  }
  HttpAnswer answer;
  curl_easy_getinfo(transfer.easy.get(), CURLINFO_RESPONSE_CODE,
                    &answer.status);
  answer.body = std::move(transfer.body);
  return answer;
}

}  // namespace sassafrasdyke::clients
