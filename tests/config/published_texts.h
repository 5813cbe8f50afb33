/// Small valid documents that tests change.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace sassafrasdyke::config {

/// A configuration with two domains, two services and two targets.
inline const std::string kConfiguration = R"({
  "revision": 7,
  "fleet": "lensmoor",
  "hash_seed": 81985529216486895,
  "defaults": {  // Once for all services.
    "fleet":   { "fabric_scope": "domain", "readers_per_domain": 3 },
    "service": { "deviate_by": 3, "copy_after_ms": 1500 }
  },
  "domains":  { "north-1": { "id": 1, "region": "north" },
                "north-2": { "id": 2, "region": "north" } },
  "services": { "diary":    { "id": 2, "address": "192.0.2.10:443" },
                "handover": { "id": 1, "address": "[2001:db8::1]:443" } },
  "targets":  { "diary-01": { "id": 102, "service": "diary",
                  "domain": "north-1", "tunnel": "127.1.1.1:6080",
                  "weight": 100, "state": "draining", "slots": 2,
                  "connections": 2000, "health": "127.1.1.1:8080" },
                "handover-01": { "id": 101, "service": "handover",
                  "domain": "north-2", "tunnel": "127.1.1.2:6080" } },
  "exceptions": [
    { "subject": "services/diary", "set": { "deviate_by": 4 },
      "reason": "Long feeds." },
    { "subject": "targets/handover-01", "set": { "weight": 50 },
      "reason": "Older hardware." } ]
})";

/// An instance list with two instances.
inline const std::string kInstances = R"({
  "revision": 12,
  "instances": {
    "b1": { "id": 2, "domain": 2, "incarnation": 1, "tunnel": "127.0.1.2:6080",
            "control": "127.0.1.2:6081", "state": "leaving" },
    "a1": { "id": 1, "domain": 1, "incarnation": 3, "tunnel": "127.0.1.1:6080",
            "control": "127.0.1.1:6081" } }
})";

/// `text` with `patch` merged into it; null in the patch removes a key.
inline std::string Patched(const std::string& text, const std::string& patch) {
  auto json = nlohmann::json::parse(text, nullptr, true, true);
  json.merge_patch(nlohmann::json::parse(patch));
  return json.dump();
}

}  // namespace sassafrasdyke::config
