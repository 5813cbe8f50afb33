/// Published texts for the tests of the program.
#pragma once

namespace sassafrasdyke::app {

/// One service with two targets in one failure domain.
inline constexpr const char* kConfigurationText = R"({
  "revision": 7,
  "fleet": "lensmoor",
  "hash_seed": 42,
  "defaults": { "fleet": { "fabric_scope": "fleet" } },
  "domains": { "north-1": { "id": 1, "region": "north" } },
  "services": { "diary": { "id": 1, "address": "192.0.2.10:443" } },
  "targets": {
    "diary-01": { "id": 101, "service": "diary", "domain": "north-1",
                  "tunnel": "127.0.0.1:6101" },
    "diary-02": { "id": 102, "service": "diary", "domain": "north-1",
                  "tunnel": "127.0.0.1:6102", "state": "draining" } },
  "exceptions": [
    { "subject": "services/diary", "set": { "deviate_by": 4 },
      "reason": "short rentals" } ]
})";

/// Two instances of one failure domain.
inline constexpr const char* kInstancesText = R"({
  "revision": 3,
  "instances": {
    "a1": { "id": 1, "domain": 1, "incarnation": 1,
            "tunnel": "127.0.0.1:6201", "control": "127.0.0.1:6202",
            "state": "live" },
    "a2": { "id": 2, "domain": 1, "incarnation": 1,
            "tunnel": "127.0.0.1:6203", "control": "127.0.0.1:6204",
            "state": "live" } }
})";

/// The settings of instance 1.
inline constexpr const char* kSettingsText = R"({
  // Comments are allowed.
  "instance": 1, "domain": 1,
  "tunnel": { "listen": "127.0.0.1:6201" },
  "control": { "listen": "127.0.0.1:6202" },
  "metrics": { "listen": "127.0.0.1:9101" },
  "platform": { "url": "http://127.0.0.1:8500" },
  "fabric": { "return": "127.0.0.1:6000" }
})";

}  // namespace sassafrasdyke::app
