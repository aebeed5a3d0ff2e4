#include <endiveroad/JobOwners.h>

namespace endiveroad {

void JobOwners::update(const std::string& job, const std::string& owner, int64_t revision)
{
    const auto known = owners_.find(job);
    if (known != owners_.end()) {
        if (revision >= known->second.revision)
            known->second = { owner, revision };
        return;
    }
    if (owners_.size() >= maxJobs)
        owners_.clear();
    owners_.emplace(job, Owner { owner, revision });
}

const std::string& JobOwners::owner(const std::string& job) const
{
    static const std::string none;
    const auto known = owners_.find(job);
    return known == owners_.end() ? none : known->second.name;
}

void JobOwners::forgetOwner(const std::string& job)
{
    const auto known = owners_.find(job);
    if (known != owners_.end())
        known->second.name.clear();
}

} // namespace endiveroad
