#include <endiveroad/Rendezvous.h>

#include <algorithm>
#include <xxhash.h>

namespace endiveroad {

uint64_t rendezvousWeight(std::string_view key, std::string_view name)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), XXH3_64bits(key.data(), key.size()));
}

std::vector<std::string> rendezvousOwners(std::string_view key, const std::vector<std::string>& names, size_t count)
{
    std::vector<std::pair<uint64_t, const std::string*>> weighted;
    weighted.reserve(names.size());
    for (const std::string& name : names)
        weighted.emplace_back(rendezvousWeight(key, name), &name);
    const size_t taken = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<ptrdiff_t>(taken), weighted.end(),
        [](const auto& a, const auto& b) { return a.first != b.first ? a.first > b.first : *a.second < *b.second; });
    std::vector<std::string> owners;
    for (size_t i = 0; i < taken; ++i)
        owners.push_back(*weighted[i].second);
    return owners;
}

} // namespace endiveroad
