#include "common/socket_address.h"

#include <netinet/in.h>

#include <algorithm>
#include <cstring>
#include <iterator>

namespace sassafrasdyke::common {
namespace {

SocketAddress ToV4(const Endpoint& endpoint) {
  sockaddr_in v4{};
  v4.sin_family = AF_INET;
  v4.sin_addr.s_addr = htonl(endpoint.address.V4());
  v4.sin_port = htons(endpoint.port);
  SocketAddress address;
  std::memcpy(&address.storage, &v4, sizeof(v4));
  address.length = sizeof(v4);
  return address;
}

SocketAddress ToV6(const Endpoint& endpoint) {
  sockaddr_in6 v6{};
  v6.sin6_family = AF_INET6;
  const IpAddress::Bytes& raw = endpoint.address.Raw();
  std::copy(raw.begin(), raw.end(), std::begin(v6.sin6_addr.s6_addr));
  v6.sin6_port = htons(endpoint.port);
  SocketAddress address;
  std::memcpy(&address.storage, &v6, sizeof(v6));
  address.length = sizeof(v6);
  return address;
}

}  // namespace

const sockaddr* SocketAddress::Get() const {
  return reinterpret_cast<const sockaddr*>(&this->storage);
}

int FamilyOf(const Endpoint& endpoint) {
  return endpoint.address.IsV4() ? AF_INET : AF_INET6;
}

SocketAddress ToSocketAddress(const Endpoint& endpoint) {
  return endpoint.address.IsV4() ? ToV4(endpoint) : ToV6(endpoint);
}

std::optional<SocketAddress> ToSocketAddress(const Endpoint& endpoint,
                                             int family) {
  if (family != AF_INET) {
    return ToV6(endpoint);
  }
  if (!endpoint.address.IsV4()) {
    return std::nullopt;
  }
  return ToV4(endpoint);
}

Endpoint FromSocketAddress(const sockaddr_storage& storage) {
  if (storage.ss_family == AF_INET) {
    sockaddr_in v4{};
    std::memcpy(&v4, &storage, sizeof(v4));
    return {IpAddress::FromV4(ntohl(v4.sin_addr.s_addr)), ntohs(v4.sin_port)};
  }
  sockaddr_in6 v6{};
  std::memcpy(&v6, &storage, sizeof(v6));
  IpAddress::Bytes raw{};
  std::copy(std::begin(v6.sin6_addr.s6_addr), std::end(v6.sin6_addr.s6_addr),
            raw.begin());
  return {IpAddress(raw), ntohs(v6.sin6_port)};
}

}  // namespace sassafrasdyke::common
