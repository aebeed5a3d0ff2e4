#include "Http.h"
#include "Roles.h"
#include "RunRole.h"

#include <fmt/format.h>

namespace standin {

namespace {

using Clock = std::chrono::steady_clock;

/// Counts calls in the present second against a limit.
class Rate {
public:
    explicit Rate(int perSecond)
        : perSecond_(perSecond)
    {
    }

    bool take()
    {
        const auto now = Clock::now();
        if (now - windowStart_ > std::chrono::seconds(1)) {
            windowStart_ = now;
            used_ = 0;
        }
        return ++used_ <= perSecond_;
    }

private:
    int perSecond_;
    int used_ = 0;
    Clock::time_point windowStart_ {};
};

/// The JSON form of etcd v3: range, put, deleterange, txn, watch, lease grant, keepalive and revoke. Keys and values
/// stay base64 throughout. Values are held to one megabyte.
class KeyValue {
public:
    explicit KeyValue(const cxxopts::ParseResult& options)
        : writes_(options["writes-per-second"].as<int>())
        , reads_(options["reads-per-second"].as<int>())
    {
    }

    asio::awaitable<void> handle(Request& request, Connection& connection)
    {
        const std::string target(request.target());
        const Json body = request.body().empty() ? Json::object() : Json::parse(request.body());
        if (target == "/fault")
            co_return co_await setFault(body, connection);
        if (target == "/stats")
            co_return co_await connection.answer(200, statsJson());
        ++calls_;
        if (Clock::now() < outageUntil_) {
            connection.mustClose = true;
            co_await pause(Milliseconds(hangs_ ? 60000 : 0));
            co_return co_await connection.answer(503, "{}");
        }
        if (slow_.count() > 0)
            co_await pause(slow_);
        expireLeases();
        if (target == "/v3/watch")
            co_return co_await watch(body.at("create_request"), connection);
        const bool isWrite = target == "/v3/kv/txn" || target == "/v3/kv/put" || target == "/v3/kv/deleterange";
        if (!(isWrite ? writes_ : reads_).take())
            co_return co_await connection.answer(429, R"({"error":"too many requests","code":8})");
        const std::string answer = apply(target, body);
        writeCount_ += isWrite ? 1 : 0;
        if (isWrite && loseAnswers_ > 0) {
            --loseAnswers_;
            connection.mustClose = true;
            co_return;
        }
        co_await connection.answer(answer.empty() ? 400 : 200, answer);
    }

private:
    struct Value {
        std::string value;
        int64_t createRevision = 0;
        int64_t modRevision = 0;
        int64_t version = 0;
        int64_t lease = 0;
    };

    asio::awaitable<void> setFault(Json fault, Connection& connection)
    {
        if (fault.contains("outageMs"))
            outageUntil_ = Clock::now() + Milliseconds(fault["outageMs"].get<int64_t>());
        hangs_ = fault.value("hangs", hangs_);
        slow_ = Milliseconds(fault.value("slowMs", slow_.count()));
        loseAnswers_ = fault.value("loseAnswers", loseAnswers_);
        co_await connection.answer(200, "{}");
    }

    Json header() const { return { { "revision", std::to_string(revision_) } }; }

    std::string statsJson() const
    {
        return Json { { "calls", calls_ }, { "writes", writeCount_ }, { "watches", watching_ } }.dump();
    }

    std::string eventLine(const std::string& key, const Value& value) const
    {
        const Json event { { "type", "PUT" }, { "kv", toJson(key, value) } };
        const Json result { { "header", header() }, { "events", Json::array({ event }) } };
        return Json { { "result", result } }.dump() + "\n";
    }

    static Json toJson(const std::string& key, const Value& value)
    {
        return { { "key", key }, { "value", value.value }, { "create_revision", std::to_string(value.createRevision) },
            { "mod_revision", std::to_string(value.modRevision) }, { "version", std::to_string(value.version) } };
    }

    std::string apply(const std::string& target, const Json& body)
    {
        if (target == "/v3/kv/range")
            return range(body).dump();
        if (target == "/v3/kv/put")
            return put(body).dump();
        if (target == "/v3/kv/deleterange")
            return remove(body).dump();
        if (target == "/v3/kv/txn")
            return transact(body).dump();
        if (target == "/v3/lease/grant") {
            const int64_t id = ++nextLease_;
            const int64_t seconds = integer(body, "TTL");
            leases_[id] = { std::chrono::seconds(seconds), Clock::now() + std::chrono::seconds(seconds) };
            return Json {
                { "header", header() }, { "ID", std::to_string(id) }, { "TTL", std::to_string(seconds) }
            }.dump();
        }
        if (target == "/v3/lease/keepalive") {
            const auto found = leases_.find(integer(body, "ID"));
            if (found != leases_.end())
                found->second.second = Clock::now() + found->second.first;
            const std::string seconds = found == leases_.end() ? "0" : std::to_string(found->second.first.count());
            return Json { { "result", { { "ID", body.at("ID") }, { "TTL", seconds } } } }.dump();
        }
        return {};
    }

    static int64_t integer(const Json& object, const char* key)
    {
        if (!object.contains(key))
            return 0;
        return object[key].is_string() ? std::stoll(object[key].get<std::string>()) : object[key].get<int64_t>();
    }

    Json range(const Json& body) const
    {
        const std::string key = body.at("key").get<std::string>();
        Json values = Json::array();
        const auto found = values_.find(key);
        if (found != values_.end())
            values.push_back(toJson(key, found->second));
        return { { "header", header() }, { "kvs", values }, { "count", std::to_string(values.size()) } };
    }

    Json put(const Json& body)
    {
        const std::string key = body.at("key").get<std::string>();
        Value& value = values_[key];
        value.value = body.at("value").get<std::string>();
        value.modRevision = ++revision_;
        value.createRevision = value.createRevision == 0 ? revision_ : value.createRevision;
        value.lease = integer(body, "lease");
        ++value.version;
        return { { "header", header() } };
    }

    Json remove(const Json& body)
    {
        const size_t removed = values_.erase(body.at("key").get<std::string>());
        revision_ += removed > 0 ? 1 : 0;
        return { { "header", header() }, { "deleted", std::to_string(removed) } };
    }

    bool holds(const Json& compare) const
    {
        const auto found = values_.find(compare.at("key").get<std::string>());
        const Value value = found == values_.end() ? Value {} : found->second;
        const std::string target = compare.value("target", "MOD");
        if (target == "VALUE")
            return value.value == compare.at("value").get<std::string>();
        if (target == "CREATE")
            return value.createRevision == integer(compare, "create_revision");
        if (target == "VERSION")
            return value.version == integer(compare, "version");
        return value.modRevision == integer(compare, "mod_revision");
    }

    Json transact(const Json& body)
    {
        const Json compares = body.value("compare", Json::array());
        const bool isHeld = std::all_of(compares.begin(), compares.end(), [&](const Json& c) { return holds(c); });
        Json responses = Json::array();
        for (const Json& operation : body.value(isHeld ? "success" : "failure", Json::array())) {
            if (operation.contains("request_put"))
                responses.push_back({ { "response_put", put(operation["request_put"]) } });
            else if (operation.contains("request_range"))
                responses.push_back({ { "response_range", range(operation["request_range"]) } });
            else if (operation.contains("request_delete_range"))
                responses.push_back({ { "response_delete_range", remove(operation["request_delete_range"]) } });
        }
        return { { "header", header() }, { "succeeded", isHeld }, { "responses", responses } };
    }

    void expireLeases()
    {
        std::erase_if(leases_, [&](const auto& lease) {
            if (lease.second.second > Clock::now())
                return false;
            std::erase_if(values_, [&](const auto& value) { return value.second.lease == lease.first; });
            return true;
        });
    }

    asio::awaitable<void> watch(Json request, Connection& connection)
    {
        const std::string key = request.at("key").get<std::string>();
        int64_t seen = std::max<int64_t>(integer(request, "start_revision") - 1, 0);
        ++watching_;
        co_await connection.beginStream("application/json");
        bool isConnected = co_await connection.sendPiece("{\"result\":{\"created\":true}}\n");
        while (isConnected && Clock::now() >= outageUntil_) {
            const auto found = values_.find(key);
            if (found != values_.end() && found->second.modRevision > seen) {
                seen = found->second.modRevision;
                isConnected = co_await connection.sendPiece(eventLine(key, found->second));
            }
            co_await pause(Milliseconds(10));
        }
        --watching_;
        connection.mustClose = true;
    }

    Rate writes_;
    Rate reads_;
    std::map<std::string, Value> values_;
    std::map<int64_t, std::pair<std::chrono::seconds, Clock::time_point>> leases_;
    int64_t revision_ = 0;
    int64_t nextLease_ = 0;
    Clock::time_point outageUntil_ {};
    Milliseconds slow_ { 0 };
    bool hangs_ = false;
    int loseAnswers_ = 0;
    int64_t calls_ = 0;
    int64_t writeCount_ = 0;
    int64_t watching_ = 0;
};

} // namespace

int runKeyValue(const cxxopts::ParseResult& options)
{
    return serveRole<KeyValue>(options);
}

} // namespace standin
