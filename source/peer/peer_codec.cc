#include "peer/peer_codec.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <msgpack.hpp>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "peer/message_fields.h"

namespace sassafrasdyke::peer {
namespace {

constexpr std::size_t kItemsLimit = 65'536;
constexpr std::size_t kDepthLimit = 8;
/// A hundred years: sums of two such times can't overflow.
constexpr std::uint64_t kLongestTimeMs = 3'155'760'000'000;
constexpr std::uint32_t kEnvelopeItems = 2;

using Packer = msgpack::packer<msgpack::sbuffer>;

void Pack(Packer& packer, bool value) { packer.pack(value); }
void Pack(Packer& packer, std::uint32_t value) { packer.pack(value); }
void Pack(Packer& packer, std::uint64_t value) { packer.pack(value); }
void Pack(Packer& packer, const std::string& value) { packer.pack(value); }

template <typename Enum>
requires std::is_enum_v<Enum>
void Pack(Packer& packer, Enum value) {
  packer.pack(static_cast<std::underlying_type_t<Enum>>(value));
}

template <typename Tag, typename Rep>
void Pack(Packer& packer, const common::Id<Tag, Rep>& id) {
  packer.pack(id.value);
}

/// A negative time travels as none.
void Pack(Packer& packer, std::chrono::milliseconds time) {
  packer.pack(static_cast<std::uint64_t>(
      std::max(time, std::chrono::milliseconds{0}).count()));
}

template <typename Item>
void Pack(Packer& packer, const std::vector<Item>& items);

/// Packs a struct whose fields are listed.
template <typename Struct>
requires std::is_class_v<Struct>
void Pack(Packer& packer, const Struct& value) {
  auto visit = [&packer](const auto&... fields) {
    packer.pack_array(sizeof...(fields));
    (Pack(packer, fields), ...);
    return true;
  };
  VisitFields(value, visit);
}

template <typename Item>
void Pack(Packer& packer, const std::vector<Item>& items) {
  packer.pack_array(static_cast<std::uint32_t>(items.size()));
  for (const Item& item : items) {
    Pack(packer, item);
  }
}

bool Unpack(const msgpack::object& object, bool& value) {
  if (object.type != msgpack::type::BOOLEAN) {
    return false;
  }
  value = object.via.boolean;
  return true;
}

template <typename Number>
requires std::is_unsigned_v<Number>
bool Unpack(const msgpack::object& object, Number& value) {
  if (object.type != msgpack::type::POSITIVE_INTEGER ||
      object.via.u64 > std::numeric_limits<Number>::max()) {
    return false;
  }
  value = static_cast<Number>(object.via.u64);
  return true;
}

bool Unpack(const msgpack::object& object, std::string& value) {
  if (object.type != msgpack::type::STR) {
    return false;
  }
  value.assign(object.via.str.ptr, object.via.str.size);
  return true;
}

template <typename Enum>
requires std::is_enum_v<Enum>
bool Unpack(const msgpack::object& object, Enum& value) {
  std::underlying_type_t<Enum> number = 0;
  if (!Unpack(object, number) || number > kGreatest<Enum>) {
    return false;
  }
  value = static_cast<Enum>(number);
  return true;
}

template <typename Tag, typename Rep>
bool Unpack(const msgpack::object& object, common::Id<Tag, Rep>& id) {
  return Unpack(object, id.value);
}

bool Unpack(const msgpack::object& object, std::chrono::milliseconds& time) {
  std::uint64_t count = 0;
  if (!Unpack(object, count) || count > kLongestTimeMs) {
    return false;
  }
  time = std::chrono::milliseconds{static_cast<std::int64_t>(count)};
  return true;
}

template <typename Item>
bool Unpack(const msgpack::object& object, std::vector<Item>& items);

/// Unpacks a struct whose fields are listed; exactly these must be there.
template <typename Struct>
requires std::is_class_v<Struct>
bool Unpack(const msgpack::object& object, Struct& value) {
  auto visit = [&object](auto&... fields) {
    if (object.type != msgpack::type::ARRAY ||
        object.via.array.size != sizeof...(fields)) {
      return false;
    }
    const msgpack::object* next = object.via.array.ptr;
    return (Unpack(*next++, fields) && ...);
  };
  return VisitFields(value, visit);
}

template <typename Item>
bool Unpack(const msgpack::object& object, std::vector<Item>& items) {
  if (object.type != msgpack::type::ARRAY) {
    return false;
  }
  items.resize(object.via.array.size);
  const msgpack::object* next = object.via.array.ptr;
  for (Item& item : items) {
    if (!Unpack(*next++, item)) {
      return false;
    }
  }
  return true;
}

std::string Taken(const msgpack::sbuffer& buffer) {
  return {buffer.data(), buffer.size()};
}

/// Parses `bytes` as one object with nothing after it.
tl::expected<msgpack::object_handle, CodecFault> Parse(std::string_view bytes,
                                                       std::size_t limit) {
  if (bytes.size() > limit) {
    return tl::unexpected(CodecFault::kTooLong);
  }
  // Without bounds a few bytes that announce four thousand million items make
  // the library ask for memory that the instance doesn't have, and it ends.
  const msgpack::unpack_limit bounds(kItemsLimit, 0, bytes.size(), 0, 0,
                                     kDepthLimit);
  try {
    std::size_t read = 0;
    msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), read, nullptr, nullptr, bounds);
    if (read != bytes.size()) {
      return tl::unexpected(CodecFault::kTrailing);
    }
    return handle;
  } catch (const msgpack::unpack_error&) {
    return tl::unexpected(CodecFault::kMalformed);
  }
}

using MessageResult = tl::expected<core::PeerMessage, CodecFault>;

template <std::size_t kKind>
MessageResult UnpackKind(const msgpack::object& fields) {
  std::variant_alternative_t<kKind, core::PeerMessage> message;
  if (!Unpack(fields, message)) {
    return tl::unexpected(CodecFault::kWrongFields);
  }
  return message;
}

using KindUnpacker = MessageResult (*)(const msgpack::object&);

template <std::size_t... kKinds>
constexpr std::array<KindUnpacker, sizeof...(kKinds)> MakeUnpackers(
    std::index_sequence<kKinds...> /*kinds*/) {
  return {&UnpackKind<kKinds>...};
}

constexpr auto kUnpackers = MakeUnpackers(
    std::make_index_sequence<std::variant_size_v<core::PeerMessage>>());

}  // namespace

std::string_view Word(CodecFault fault) {
  switch (fault) {
    case CodecFault::kTooLong:
      return "too-long";
    case CodecFault::kMalformed:
      return "malformed";
    case CodecFault::kTrailing:
      return "trailing-bytes";
    case CodecFault::kUnknownKind:
      return "unknown-kind";
    case CodecFault::kWrongFields:
      break;
  }
  return "wrong-fields";
}

std::string Encode(const core::PeerMessage& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kEnvelopeItems);
  packer.pack(static_cast<std::uint64_t>(message.index()));
  std::visit([&packer](const auto& value) { Pack(packer, value); }, message);
  return Taken(buffer);
}

std::string Encode(const Hello& hello) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  Pack(packer, hello);
  return Taken(buffer);
}

tl::expected<core::PeerMessage, CodecFault> DecodeMessage(
    std::string_view bytes) {
  const auto handle = Parse(bytes, kMessageLimit);
  if (!handle) {
    return tl::unexpected(handle.error());
  }
  const msgpack::object& envelope = handle->get();
  if (envelope.type != msgpack::type::ARRAY ||
      envelope.via.array.size != kEnvelopeItems) {
    return tl::unexpected(CodecFault::kWrongFields);
  }
  std::uint64_t kind = 0;
  if (!Unpack(envelope.via.array.ptr[0], kind)) {
    return tl::unexpected(CodecFault::kWrongFields);
  }
  if (kind >= kUnpackers.size()) {
    return tl::unexpected(CodecFault::kUnknownKind);
  }
  return kUnpackers[kind](envelope.via.array.ptr[1]);
}

tl::expected<Hello, CodecFault> DecodeHello(std::string_view bytes) {
  const auto handle = Parse(bytes, kHelloLimit);
  if (!handle) {
    return tl::unexpected(handle.error());
  }
  Hello hello;
  if (!Unpack(handle->get(), hello)) {
    return tl::unexpected(CodecFault::kWrongFields);
  }
  return hello;
}

}  // namespace sassafrasdyke::peer
