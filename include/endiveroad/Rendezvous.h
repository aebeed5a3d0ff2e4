#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Rendezvous (highest random weight) hashing: every process that knows the same names picks the same owners, and a
/// name that leaves moves only its own keys.
namespace endiveroad {

/// Weight of a name for a key; the name with the highest weight owns the key.
uint64_t rendezvousWeight(std::string_view key, std::string_view name);

/// Up to count names in descending weight for the key; equal weights go by name.
std::vector<std::string> rendezvousOwners(std::string_view key, const std::vector<std::string>& names, size_t count);

} // namespace endiveroad
