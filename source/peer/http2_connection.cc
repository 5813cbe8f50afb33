#include "peer/http2_connection.h"

#include <array>
#include <charconv>
#include <cstdlib>
#include <utility>

namespace sassafrasdyke::peer {
namespace {

constexpr std::size_t kReadSize = 16'384;
/// Reads in a row before other work of the loop gets its turn.
constexpr int kReadsAtOnce = 16;
constexpr std::size_t kOutputSize = 16'384;
constexpr std::uint32_t kHeaderListLimit = 1024;
constexpr std::string_view kAccepted = "200";
constexpr std::string_view kForbidden = "403";
constexpr std::string_view kVersionHeader = "version";

/// 0, which no instance speaks, for what is no number.
ProtocolVersion VersionIn(std::string_view text) {
  ProtocolVersion version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

nghttp2_nv Header(std::string_view name, std::string_view value) {
  // The library takes pointers that aren't const and leaves the bytes alone.
  const auto bytes = [](std::string_view text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

/// What the library calls; forwards to the connection and its handler.
struct Http2Callbacks {
  static Http2Connection& Self(void* user) {
    return *static_cast<Http2Connection*>(user);
  }

  /// Ends the library's work as soon as the connection has ended.
  static int Result(const Http2Connection& connection) {
    return connection.ended ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
  }

  static int OnHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_size,
                      const std::uint8_t* value, std::size_t value_size,
                      std::uint8_t /*flags*/, void* user) {
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    const std::string_view text(reinterpret_cast<const char*>(value),
                                value_size);
    Http2Connection& self = Self(user);
    const bool answer = frame->headers.cat == NGHTTP2_HCAT_RESPONSE;
    if (answer && key == ":status" && text != kAccepted) {
      self.handler.OnAnswer(std::nullopt);
    } else if (answer && key == kVersionHeader) {
      self.handler.OnAnswer(VersionIn(text));
    }
    return Result(self);
  }

  static int OnFrame(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                     void* user) {
    Http2Connection& self = Self(user);
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      self.stream = frame->hd.stream_id;
    }
    self.handler.OnAlive();
    return Result(self);
  }

  static int OnData(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
                    std::int32_t /*stream*/, const std::uint8_t* data,
                    std::size_t size, void* user) {
    Http2Connection& self = Self(user);
    self.handler.OnBody({reinterpret_cast<const char*>(data), size});
    return Result(self);
  }

  static int OnStreamClose(nghttp2_session* /*session*/,
                           std::int32_t /*stream*/, std::uint32_t /*error*/,
                           void* user) {
    Self(user).End(CutReason::kLost);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session* /*session*/, std::int32_t /*stream*/,
                          std::uint8_t* buffer, std::size_t size,
                          std::uint32_t* /*flags*/,
                          nghttp2_data_source* /*source*/, void* user) {
    const std::size_t filled =
        Self(user).handler.NextBody({reinterpret_cast<char*>(buffer), size});
    return filled == 0 ? static_cast<ssize_t>(NGHTTP2_ERR_DEFERRED)
                       : static_cast<ssize_t>(filled);
  }

  /// The accepting end's body: it stays open and empty.
  static ssize_t ReadNothing(nghttp2_session* /*session*/,
                             std::int32_t /*stream*/, std::uint8_t* /*buffer*/,
                             std::size_t /*size*/, std::uint32_t* /*flags*/,
                             nghttp2_data_source* /*source*/, void* /*user*/) {
    return NGHTTP2_ERR_DEFERRED;
  }

  static nghttp2_session* Open(Http2Role role, Http2Connection& connection) {
    nghttp2_session_callbacks* callbacks = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0) {
      std::abort();  // Out of memory.
    }
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              &OnData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           &OnStreamClose);
    nghttp2_session* session = nullptr;
    nghttp2_option* options = nullptr;
    if (nghttp2_option_new(&options) != 0) {
      std::abort();  // Out of memory.
    }
    nghttp2_option_set_no_auto_window_update(options, 1);
    const auto open = role == Http2Role::kConnects
                          ? &nghttp2_session_client_new2
                          : &nghttp2_session_server_new2;
    const int outcome = open(&session, callbacks, &connection, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
    if (outcome != 0) {
      std::abort();  // Out of memory.
    }
    return session;
  }
};

Http2Connection::Http2Connection(ev::loop_ref loop,
                                 std::unique_ptr<Transport> transport,
                                 Http2Role role, Http2Handler& handler,
                                 PeerCounts& counts)
    : transport(std::move(transport)),
      handler(handler),
      counts(counts),
      watcher(loop),
      session(Http2Callbacks::Open(role, *this)) {
  this->watcher.set<Http2Connection, &Http2Connection::OnReady>(this);
  this->SubmitSettings(role);
  if (role == Http2Role::kConnects) {
    this->SubmitRequest();
  }
  this->watcher.start(this->transport->Descriptor(), ev::READ | ev::WRITE);
}

Http2Connection::~Http2Connection() { this->Stop(); }

void Http2Connection::SubmitSettings(Http2Role role) {
  const bool accepts = role == Http2Role::kAccepts;
  const std::array<nghttp2_settings_entry, 2> settings{{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, accepts ? 1U : 0U},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kHeaderListLimit},
  }};
  nghttp2_submit_settings(this->session.get(), NGHTTP2_FLAG_NONE,
                          settings.data(), settings.size());
}

void Http2Connection::SubmitRequest() {
  const std::array<nghttp2_nv, 4> headers{
      Header(":method", "POST"), Header(":scheme", "http"),
      Header(":authority", "peer"), Header(":path", "/messages")};
  nghttp2_data_provider body{};
  body.read_callback = &Http2Callbacks::ReadBody;
  this->stream =
      nghttp2_submit_request(this->session.get(), nullptr, headers.data(),
                             headers.size(), &body, nullptr);
}

void Http2Connection::Answer(std::optional<ProtocolVersion> version) {
  const std::string chosen = std::to_string(version.value_or(0));
  const std::array<nghttp2_nv, 2> headers{
      Header(":status", version ? kAccepted : kForbidden),
      Header(kVersionHeader, chosen)};
  nghttp2_data_provider body{};
  body.read_callback = &Http2Callbacks::ReadNothing;
  nghttp2_submit_response(this->session.get(), this->stream, headers.data(),
                          version ? headers.size() : 1,
                          version ? &body : nullptr);
  this->WatchSocket();
}

void Http2Connection::WakeBody() {
  if (!this->stopped && this->stream > 0) {
    nghttp2_session_resume_data(this->session.get(), this->stream);
    this->WatchSocket();
  }
}

void Http2Connection::Ping() {
  nghttp2_submit_ping(this->session.get(), NGHTTP2_FLAG_NONE, nullptr);
  this->WatchSocket();
}

void Http2Connection::Consume(std::size_t bytes) {
  if (!this->stopped && bytes > 0) {
    nghttp2_session_consume(this->session.get(), this->stream, bytes);
    this->WatchSocket();
  }
}

void Http2Connection::End(CutReason reason) {
  if (!this->ended) {
    this->ended = reason;
  }
  if (!this->stopped) {
    this->watcher.feed_event(ev::READ);
  }
}

void Http2Connection::Stop() {
  this->stopped = true;
  this->watcher.stop();
  this->End(CutReason::kLost);
}

void Http2Connection::OnReady(ev::io& /*watcher*/, int /*events*/) {
  this->read_wants_write = false;
  this->write_wants_read = false;
  this->ReadInput();
  this->WriteOutput();
  if (this->stopped) {
    return;
  }
  if (!this->ended) {
    this->WatchSocket();
    return;
  }
  this->Stop();
  this->handler.OnEnded(*this->ended);
}

void Http2Connection::ReadInput() {
  std::array<char, kReadSize> bytes;  // NOLINT: filled before it is read.
  for (int i = 0; i < kReadsAtOnce && !this->ended; ++i) {
    const IoResult result = this->transport->Read(bytes);
    if (result.state != IoState::kDone) {
      this->read_wants_write = result.state == IoState::kWantsWrite;
      this->EndBy(result.state);
      return;
    }
    this->counts.wire_bytes_received += result.bytes;
    const ssize_t taken = nghttp2_session_mem_recv(
        this->session.get(), reinterpret_cast<std::uint8_t*>(bytes.data()),
        result.bytes);
    if (taken < 0) {
      this->End(CutReason::kProtocol);
    }
  }
  if (!this->ended) {
    // What the transport has decrypted already doesn't show at the socket.
    this->watcher.feed_event(ev::READ);
  }
}

void Http2Connection::WriteOutput() {
  while (!this->ended && this->FillOutput()) {
    const IoResult result = this->transport->Write(this->output);
    if (result.state != IoState::kDone) {
      this->write_wants_read = result.state == IoState::kWantsRead;
      this->EndBy(result.state);
      return;
    }
    this->counts.wire_bytes_sent += result.bytes;
    this->output.erase(0, result.bytes);
  }
}

bool Http2Connection::FillOutput() {
  while (this->output.size() < kOutputSize) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(this->session.get(), &data);
    if (size < 0) {
      this->End(CutReason::kProtocol);
      return false;
    }
    if (size == 0) {
      break;
    }
    this->output.append(reinterpret_cast<const char*>(data),
                        static_cast<std::size_t>(size));
  }
  return !this->output.empty();
}

void Http2Connection::EndBy(IoState state) {
  if (state == IoState::kClosed) {
    this->End(CutReason::kLost);
  } else if (state == IoState::kRefused) {
    this->End(CutReason::kTls);
  }
}

void Http2Connection::WatchSocket() {
  if (this->stopped) {
    return;
  }
  const bool more = !this->output.empty() ||
                    nghttp2_session_want_write(this->session.get()) != 0;
  const bool write =
      (more && !this->write_wants_read) || this->read_wants_write;
  this->watcher.start(this->transport->Descriptor(),
                      write ? ev::READ | ev::WRITE : ev::READ);
}

}  // namespace sassafrasdyke::peer
