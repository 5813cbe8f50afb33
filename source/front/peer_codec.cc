#include "front/peer_codec.h"

#include <zlib.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <system_error>
#include <utility>

#include "front/json_array.h"
#include "front/observation_codec.h"

namespace sassafrasdyke::front {
namespace {

using Json = nlohmann::json;

/// Instances of different releases run side by side while a fleet is replaced;
/// what another version says is left out, and such an instance reads the store.
constexpr std::uint64_t kDigestVersion = 2;
constexpr std::uint64_t kCopyVersion = 2;
constexpr std::size_t kMostMentions = 64;
/// Begins the mark that holds the content hash of the sender's view, in hex.
constexpr std::string_view kContentHashMark = "content=";
constexpr int kHex = 16;

Json Optional(const std::optional<std::chrono::milliseconds>& time) {
  return time ? Json(Millis(*time)) : Json(nullptr);
}

Json Write(const core::ViewStatus& mark) {
  return Json::array({mark.complete.value, Optional(mark.age),
                      Optional(mark.store_returned_ago)});
}

bool Read(const Json& json, core::ViewStatus& mark) {
  ArrayReader reader(json, 3);
  mark.complete = {reader.Number()};
  mark.age = reader.OptionalTime();
  mark.store_returned_ago = reader.OptionalTime();
  return reader.Good();
}

Json Write(const core::ItemDelta& delta) {
  Json items = Json::array();
  for (const core::Item& item : delta.items) {
    items.push_back(Json::array({item.key, item.revision.value,
                                 item.value ? Json(*item.value) : Json()}));
  }
  return Json::array(
      {delta.from.value, delta.to.value, delta.whole, std::move(items)});
}

bool Read(const Json& json, core::Item& item) {
  ArrayReader reader(json, 3);
  item.key = reader.Text();
  item.revision = {reader.Number()};
  const Json& value = reader.Next();
  if (value.is_string()) {
    item.value = value.get<std::string>();
  }
  return reader.Good() && (value.is_string() || value.is_null());
}

bool Read(const Json& json, core::ItemDelta& delta) {
  ArrayReader reader(json, 4);
  delta.from = {reader.Number()};
  delta.to = {reader.Number()};
  delta.whole = reader.Flag();
  const Json& items = reader.Next();
  if (!reader.Good() || !items.is_array()) {
    return false;
  }
  delta.items.resize(items.size());
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!Read(items[i], delta.items[i])) {
      return false;
    }
  }
  return true;
}

Json Write(const std::vector<core::PeerMention>& mentions) {
  Json list = Json::array();
  for (const core::PeerMention& mention : mentions) {
    list.push_back(Json::array(
        {mention.peer.ToString(), mention.domain, Millis(mention.heard_ago)}));
  }
  return list;
}

bool Read(const Json& json, std::vector<core::PeerMention>& mentions) {
  if (!json.is_array() || json.size() > kMostMentions) {
    return false;
  }
  for (const Json& element : json) {
    ArrayReader reader(element, 3);
    core::PeerMention mention;
    mention.peer = reader.Address();
    mention.domain = reader.Text();
    mention.heard_ago = reader.Time();
    if (!reader.Good()) {
      return false;
    }
    mentions.push_back(std::move(mention));
  }
  return true;
}

Json Write(const std::vector<common::Endpoint>& members) {
  Json list = Json::array();
  for (const common::Endpoint& member : members) {
    list.push_back(member.ToString());
  }
  return list;
}

bool Read(const Json& json, std::vector<common::Endpoint>& members) {
  if (!json.is_array() || json.size() > kMostMentions) {
    return false;
  }
  ArrayReader reader(json, json.size());
  for (std::size_t i = 0; i < json.size(); ++i) {
    members.push_back(reader.Address());
  }
  return reader.Good();
}

/// Bytes before a part that say how large something is, in network order.
constexpr std::size_t kSizeBytes = 4;
constexpr unsigned kBitsPerByte = 8;
/// Largest view that is unpacked: four times the 7,900 targets of the size to
/// design for. A forged size must not take the memory of the process.
constexpr std::size_t kMostPlainBytes = 16U << 20U;

std::string WithSize(std::size_t size, const std::string& rest) {
  std::string bytes(kSizeBytes, '\0');
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    bytes[kSizeBytes - 1 - i] = static_cast<char>(size >> (kBitsPerByte * i));
  }
  return bytes + rest;
}

std::optional<std::size_t> SizeOf(const std::string& bytes) {
  if (bytes.size() < kSizeBytes) {
    return std::nullopt;
  }
  std::size_t size = 0;
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    size = size << kBitsPerByte | static_cast<std::uint8_t>(bytes[i]);
  }
  return size;
}

Bytef* BytesOf(std::string& text) {
  return reinterpret_cast<Bytef*>(text.data());
}

/// Reads what `EncodeItems` has packed.
std::optional<std::string> Unpack(std::string packed) {
  const auto size = SizeOf(packed);
  if (!size || *size > kMostPlainBytes) {
    return std::nullopt;
  }
  std::string plain(*size, '\0');
  uLongf plain_size = plain.size();
  const int outcome =
      uncompress(BytesOf(plain), &plain_size, BytesOf(packed) + kSizeBytes,
                 packed.size() - kSizeBytes);
  if (outcome != Z_OK || plain_size != plain.size()) {
    return std::nullopt;
  }
  return plain;
}

/// The tree of what `EncodeItems` has packed; a discarded value if it can't be
/// read. Its bytes are gone on return, before anything is made of the tree.
Json ReadPacked(std::string packed) {
  const auto plain = Unpack(std::move(packed));
  return plain ? Json::from_msgpack(*plain, true, false)
               : Json(Json::value_t::discarded);
}

std::string ContentHashMark(std::uint64_t content_hash) {
  std::array<char, kHex> digits{};
  const auto written = std::to_chars(
      digits.data(), digits.data() + digits.size(), content_hash, kHex);
  return std::string(kContentHashMark) +
         std::string(digits.data(), written.ptr);
}

std::optional<std::uint64_t> ReadContentHash(std::string_view mark) {
  mark.remove_prefix(kContentHashMark.size());
  std::uint64_t content_hash = 0;
  const char* const end = mark.data() + mark.size();
  const auto [last, error] =
      std::from_chars(mark.data(), end, content_hash, kHex);
  return error == std::errc() && last == end ? std::optional(content_hash)
                                             : std::nullopt;
}

/// A sender that mentions itself has evacuations in its view. Further mentions
/// of itself have its observations, and the content hash of its view, in place
/// of the domain. Releases that don't know these marks ignore what a sender
/// mentions of itself.
std::vector<core::PeerMention> KnownWithMarks(const core::PeerDigest& digest) {
  std::vector<core::PeerMention> known = digest.known;
  if (!digest.has_evacuations) {
    return known;
  }
  known.push_back({digest.sender, digest.domain, {}});
  if (std::string text = EncodeObservations(digest.observations);
      !text.empty()) {
    known.push_back({digest.sender, std::move(text), {}});
  }
  if (digest.content_hash) {
    known.push_back({digest.sender, ContentHashMark(*digest.content_hash), {}});
  }
  return known;
}

/// Takes the marks out again.
void TakeMarks(core::PeerDigest& digest) {
  std::vector<std::string> marks;
  std::erase_if(digest.known, [&](core::PeerMention& mention) {
    const bool is_mark = mention.peer == digest.sender;
    if (is_mark) {
      marks.push_back(std::move(mention.domain));
    }
    return is_mark;
  });
  digest.has_evacuations = !marks.empty();
  if (!marks.empty() && marks.back().starts_with(kContentHashMark)) {
    digest.content_hash = ReadContentHash(marks.back());
    marks.pop_back();
  }
  if (marks.size() > 1) {
    auto observations = DecodeObservations(marks[1]);
    digest.observations.unreadable = !observations;
    if (observations) {
      digest.observations = std::move(*observations);
    }
  }
}

}  // namespace

std::vector<std::uint8_t> EncodeDigest(const core::PeerDigest& digest) {
  const Json json =
      Json::array({kDigestVersion, digest.sender.ToString(), digest.domain,
                   digest.leaving, digest.wants_answer, Write(digest.view),
                   digest.changes ? Write(*digest.changes) : Json(),
                   Write(KnownWithMarks(digest)), Write(digest.relay_to)});
  return Json::to_msgpack(json);
}

std::optional<core::PeerDigest> DecodeDigest(
    std::span<const std::uint8_t> bytes) {
  const Json json = Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  ArrayReader reader(json, 9);
  if (reader.Number() != kDigestVersion) {
    return std::nullopt;
  }
  core::PeerDigest digest;
  digest.sender = reader.Address();
  digest.domain = reader.Text();
  digest.leaving = reader.Flag();
  digest.wants_answer = reader.Flag();
  const bool view_good = Read(reader.Next(), digest.view);
  const Json& changes = reader.Next();
  if (!changes.is_null() && !Read(changes, digest.changes.emplace())) {
    return std::nullopt;
  }
  const bool known_good = Read(reader.Next(), digest.known);
  const bool pass_on_good = Read(reader.Next(), digest.relay_to);
  if (!reader.Good() || !view_good || !known_good || !pass_on_good) {
    return std::nullopt;
  }
  TakeMarks(digest);
  return digest;
}

std::string EncodeItems(const core::ItemDelta& delta) {
  std::string plain;
  Json::to_msgpack(Write(delta), plain);
  uLongf size = compressBound(plain.size());
  std::string packed(size, '\0');
  compress2(BytesOf(packed), &size, BytesOf(plain), plain.size(), Z_BEST_SPEED);
  packed.resize(size);
  return WithSize(plain.size(), packed);
}

std::string EncodeCopy(const core::ViewStatus& mark, const std::string& items) {
  std::string head;
  Json::to_msgpack(Json::array({kCopyVersion, Write(mark)}), head);
  return WithSize(head.size(), head + items);
}

std::optional<ViewCopy> DecodeCopy(const std::string& bytes) {
  const auto head_size = SizeOf(bytes);
  const std::size_t start = kSizeBytes;
  if (!head_size || *head_size > bytes.size() - start) {
    return std::nullopt;
  }
  const auto head_end =
      bytes.begin() + static_cast<std::ptrdiff_t>(start + *head_size);
  const Json json =
      Json::from_msgpack(bytes.begin() + kSizeBytes, head_end, true, false);
  ArrayReader reader(json, 2);
  ViewCopy copy;
  if (reader.Number() != kCopyVersion || !Read(reader.Next(), copy.mark)) {
    return std::nullopt;
  }
  const Json items = ReadPacked({head_end, bytes.end()});
  if (!Read(items, copy.delta)) {
    return std::nullopt;
  }
  return copy;
}

}  // namespace sassafrasdyke::front
