#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Rendezvous (highest random weight) hashing: all processes that know the same names pick the same owners for a key,
/// and removing a name reassigns only the keys that it owned.
namespace endiveroad {

/// Weight of a name for a key; the name with the highest weight owns the key.
uint64_t rendezvousWeight(std::string_view key, std::string_view name);

/// Up to count names by descending weight for the key; names of equal weight in alphabetical order.
std::vector<std::string> rendezvousOwners(std::string_view key, const std::vector<std::string>& names, size_t count);

} // namespace endiveroad
