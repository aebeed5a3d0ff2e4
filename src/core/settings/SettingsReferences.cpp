#include <endiveroad/SettingsSchema.h>

#include <algorithm>
#include <fmt/format.h>
#include <unordered_map>

namespace endiveroad {

namespace {

/// Checks that names and addresses are unique, that references resolve, and that limits do not contradict each other.
class ReferenceChecker {
public:
    ReferenceChecker(const SettingsValue& tree, const Settings& settings)
        : tree_(tree)
        , settings_(settings)
    {
    }

    std::vector<SettingsFault> run()
    {
        if (const SettingsValue* regions = tree_.find("regions")) {
            for (const auto& [name, region] : regions->members)
                checkRegion(region, "/regions/" + name);
        }
        for (const auto& [name, pool] : settings_.pools)
            checkPool(pool);
        for (const auto& [name, job] : settings_.jobs)
            checkJob(job);
        std::sort(faults_.begin(), faults_.end());
        return std::move(faults_);
    }

private:
    void addFault(const std::string& path, std::string reason)
    {
        // A value that the tree does not set, such as a default, is reported at the position of the nearest node above.
        std::string_view place = path;
        const SettingsValue* value = tree_.at(place);
        while (!value) {
            place = place.substr(0, place.rfind('/'));
            value = tree_.at(place);
        }
        faults_.push_back({ value->position, path, std::move(reason) });
    }

    void checkUnique(
        std::unordered_map<std::string, std::string>& owners, const std::string& name, const std::string& path)
    {
        const auto [first, isNew] = owners.emplace(name, path);
        if (!isNew)
            addFault(path, fmt::format("has the same name or address as {}", first->second));
    }

    void checkUniqueAddress(const SettingsValue& node, const char* key, const std::string& path)
    {
        if (const SettingsValue* address = node.find(key))
            checkUnique(addresses_, address->text, fmt::format("{}/{}", path, key));
    }

    void checkRegion(const SettingsValue& region, const std::string& path)
    {
        forEachChild(region, "entries", path, [&](const std::string& name, const SettingsValue& entry, const auto& at) {
            checkUnique(processes_, name, at);
            checkUniqueAddress(entry, "http", at);
            checkUniqueAddress(entry, "peer", at);
        });
        forEachChild(region, "pools", path, [&](const std::string& name, const SettingsValue& pool, const auto& at) {
            checkUnique(pools_, name, at);
            forEachChild(
                pool, "replicas", at, [&](const std::string& replica, const SettingsValue& node, const auto& in) {
                    checkUnique(processes_, replica, in);
                    checkUniqueAddress(node, "server", in);
                    checkUniqueAddress(node, "peer", in);
                });
        });
        forEachChild(region, "jobs", path,
            [&](const std::string& name, const SettingsValue&, const auto& at) { checkUnique(jobs_, name, at); });
        const SettingsValue* entries = region.find("entries");
        if (region.find("jobs") && !(entries && !entries->members.empty()))
            addFault(path, "declares jobs but no entry that could coordinate them");
    }

    template <typename Visitor>
    static void forEachChild(const SettingsValue& node, const char* key, const std::string& path, Visitor visit)
    {
        const SettingsValue* children = node.find(key);
        if (!children)
            return;
        for (const auto& [name, child] : children->members)
            visit(name, child, fmt::format("{}/{}/{}", path, key, name));
    }

    void checkPool(const PoolDeclaration& pool)
    {
        const std::string path = fmt::format("/regions/{}/pools/{}", pool.region, pool.name);
        if (pool.call.reservedSlots >= pool.call.slots)
            addFault(path + "/call/reservedSlots",
                fmt::format(
                    "is {}; allowed is less than slots, which is {}", pool.call.reservedSlots, pool.call.slots));
        if (pool.call.outcomeRetention < pool.call.timeout)
            addFault(path + "/call/outcomeRetentionMs",
                "is shorter than timeoutMs; an outcome would be forgotten while its "
                "caller may still ask for it");
    }

    void checkJob(const JobDeclaration& job)
    {
        const std::string path = fmt::format("/regions/{}/jobs/{}", job.region, job.name);
        const PoolDeclaration* pool = checkPoolReference(job, path + "/pool", job.pool, PoolKind::Engine, "engine");
        if (job.scoringPool)
            checkPoolReference(job, path + "/scoringPool", *job.scoringPool, PoolKind::Scorer, "scorer");
        if (!pool)
            return;
        if (pool->model != job.model)
            addFault(path + "/model",
                fmt::format("is \"{}\", but pool {} serves \"{}\"; no sample of the job could be "
                            "attributed",
                    job.model, pool->name, pool->model));
        if (pool->replicas.empty())
            addFault(path + "/pool", fmt::format("names pool {}, which has no replicas", pool->name));
    }

    const PoolDeclaration* checkPoolReference(const JobDeclaration& job, const std::string& path,
        const std::string& name, PoolKind kind, std::string_view kindName)
    {
        const auto found = settings_.pools.find(name);
        if (found == settings_.pools.end()) {
            std::vector<std::string_view> known;
            for (const auto& [poolName, pool] : settings_.pools) {
                if (pool.region == job.region && pool.kind == kind)
                    known.push_back(poolName);
            }
            const std::string nearest = nearestName(name, known);
            addFault(path,
                fmt::format("names \"{}\", which is not declared{}", name,
                    nearest.empty() ? std::string() : fmt::format("; did you mean \"{}\"?", nearest)));
            return nullptr;
        }
        if (found->second.kind != kind) {
            addFault(path, fmt::format("names pool {}, whose kind is not {}", name, kindName));
            return nullptr;
        }
        if (found->second.region != job.region) {
            addFault(path,
                fmt::format(
                    "names pool {} of region {}; a job uses pools of its own region", name, found->second.region));
            return nullptr;
        }
        return &found->second;
    }

    const SettingsValue& tree_;
    const Settings& settings_;
    std::unordered_map<std::string, std::string> processes_;
    std::unordered_map<std::string, std::string> pools_;
    std::unordered_map<std::string, std::string> jobs_;
    std::unordered_map<std::string, std::string> addresses_;
    std::vector<SettingsFault> faults_;
};

} // namespace

std::vector<SettingsFault> checkReferences(const SettingsValue& tree, const Settings& settings)
{
    return ReferenceChecker(tree, settings).run();
}

} // namespace endiveroad
