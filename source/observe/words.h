/// The words for core values that logs and explanations share.
#pragma once

#include <string>
#include <string_view>

#include "common/ids.h"
#include "core/configuration.h"
#include "core/fleet_view.h"
#include "core/messages.h"

namespace sassafrasdyke::observe {

std::string_view Word(core::DocumentKind kind);
std::string_view Word(core::InstanceUse use);
std::string_view Word(core::Lease lease);
std::string_view Word(core::TargetState state);

/// The name of a service, or nothing when the configuration lacks it.
std::string_view NameOf(common::ServiceId service,
                        const core::Configuration* configuration);

/// 16 hexadecimal digits, as logs write hashes.
std::string Hex(std::uint64_t value);

}  // namespace sassafrasdyke::observe
