#pragma once

#include "JobHistory.h"
#include "io/Tasks.h"

#include <fmt/format.h>

/// A coordinator process of a JobHistory, with its simulated protocol, store client and view of the other coordinators.
namespace endiveroad::io::test {

inline std::string nameOf(size_t process)
{
    return fmt::format("c{}", process);
}

/// Protocol in which a job's body is its number of items, and a page of results has one line "item=text" for each.
class LineProtocol : public BatchProtocol {
public:
    BatchJobSpec decodeJob(const std::string& id, const std::string& host, const std::string& route,
        const std::string& body) const override
    {
        BatchJobSpec spec;
        spec.id = id;
        spec.host = host;
        spec.route = route;
        spec.model = "model";
        const int items = std::stoi(body);
        for (int i = 0; i < items; ++i) {
            BatchItem item;
            item.id = fmt::format("{}-{}", id, i);
            item.path = "/job/" + item.id;
            spec.items.push_back(std::move(item));
        }
        return spec;
    }

    void requireSendable(const BatchJobSpec&) const override { }

    std::string encodeResults(const std::vector<BatchResult>& listed, size_t first, size_t) const override
    {
        std::string page;
        for (size_t i = first; i < listed.size(); ++i)
            page += listed[i].item + "=" + listed[i].text + "\n";
        return page;
    }
};

inline const LineProtocol lineProtocol;

inline std::shared_ptr<const Directory> makeDirectory()
{
    Directory directory;
    directory.routing.emplace();
    RouteDeclaration route;
    route.name = "job";
    route.host = "h";
    route.pathPrefix = "/job/";
    route.kind = TrafficKind::BatchJobs;
    directory.routing->routes.push_back(route);
    return std::make_shared<const Directory>(std::move(directory));
}

/// Which other coordinators one coordinator believes to be alive. This can be wrong.
class JobHistory::View : public CoordinatorView {
public:
    View(JobHistory& history, std::string name)
        : history_(history)
        , name_(std::move(name))
    {
    }

    bool isAlive(const std::string& other) const override { return history_.canSee(name_, other); }

    std::vector<std::string> aliveCoordinators() const override
    {
        std::vector<std::string> names;
        for (size_t i = 0; i < coordinators; ++i) {
            if (isAlive(nameOf(i)))
                names.push_back(nameOf(i));
        }
        return names;
    }

    bool isHeardByAll() const override { return history_.isHeardByAll(name_); }

    void announceOwner(const OwnedJob& owned) override { history_.announce(owned); }

private:
    JobHistory& history_;
    std::string name_;
};

class JobHistory::Worker : public JobWorker {
public:
    void onJob(const OwnedJobPtr&) override { }
    void cacheTexts(const OwnedJob&) override { }
    void cancelRuns(const OwnedJob&) override { }
};

struct JobHistory::Process {
    Process(JobHistory& history, std::string name)
        : view(history, name)
        , store(history.contents_, history.random_, history.faultPercent_,
              [&history](Instant at, std::function<void()> action) { history.scheduleAt(at, std::move(action)); })
        , context(std::make_unique<asio::io_context>())
        , owner(*context, name, lineProtocol, store, view, makeDirectory, std::chrono::minutes(10))
    {
        owner.setWorker(worker);
        spawn(context->get_executor(), [this] { return owner.runListing(); });
    }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    /// Destroys the coroutines before the members that they refer to.
    ~Process() { context.reset(); }

    View view;
    Worker worker;
    UnreliableStore store;
    std::unique_ptr<asio::io_context> context;
    BatchOwner owner;
    bool isPaused = false;
};

struct JobHistory::Job {
    size_t items = 0;
    /// A caller was told that the job is accepted.
    bool isAccepted = false;
    /// A caller has asked for the end of the job.
    bool isEndAsked = false;
    /// A caller was told that the job has ended.
    bool isEndAnswered = false;
    /// Number of results that callers have read, by the time of the answer.
    std::map<Instant, size_t> read;
    /// Lines of all results seen in the store so far, by position.
    std::vector<std::string> results;
};

} // namespace endiveroad::io::test
