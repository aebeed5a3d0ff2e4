#include <catch2/catch.hpp>
#include <endiveroad/ItemFault.h>

using namespace endiveroad;

namespace {

BatchItem soundItem()
{
    BatchItem item;
    item.id = "item-1";
    item.path = "/job/1?x=1";
    item.body = "prompt";
    item.scoring = ScoringCall { "score-1", "host", "/score/1", "" };
    return item;
}

std::optional<ItemPart> faultyPart(const BatchItem& item)
{
    const auto fault = itemFault(item);
    return fault ? std::optional(fault->part) : std::nullopt;
}

std::optional<ItemPart> faultyPart(const std::string& name, const std::string& value)
{
    BatchItem item = soundItem();
    item.headers.emplace_back("X-Sound", "1");
    item.headers.emplace_back(name, value);
    return faultyPart(item);
}

} // namespace

// Guards against items that an ordinary client sends and that are refused.
TEST_CASE("an item may have any headers that a request may have, and those of its connection", "[batch]")
{
    CHECK_FALSE(faultyPart(soundItem()));
    const std::vector<std::pair<std::string, std::string>> headers { { "Content-Type", "text/plain" },
        { "hOST", "other:80" }, { "Connection", "keep-alive" }, { "TE", "trailers" }, { "Content-Length", "6" },
        { "X-Empty", "" }, { "X-Note", "gr\xc3\xbc n\tb" }, { "X-Json", R"({"a": [1]})" } };
    for (const auto& [name, value] : headers)
        CHECK_FALSE(faultyPart(name, value));
}

// Guards against an item whose request a server reads as two, or with another body.
TEST_CASE("an item whose text does not fit into a head, or that states another framing, has a fault", "[batch]")
{
    const std::string breaking = "x\r\nX-Forged: 1";
    CHECK(faultyPart("X-Note", breaking) == ItemPart::Header);
    CHECK(faultyPart(breaking, "x") == ItemPart::Header);
    for (const char* name : { "Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING " })
        CHECK(faultyPart(name, "chunked") == ItemPart::Header);
    for (const char* length : { "5", "06", "+6", "6, 6", "", "six" })
        CHECK(faultyPart("content-length", length) == ItemPart::Header);
    for (const std::string& id : { breaking, std::string(), std::string(" x"), std::string("x\0", 2) }) {
        BatchItem item = soundItem();
        item.id = id;
        CHECK(faultyPart(item) == ItemPart::Id);
        item = soundItem();
        item.scoring->id = id;
        CHECK(faultyPart(item) == ItemPart::ScoringId);
    }
    for (const std::string& path :
        { breaking, std::string(), std::string("x"), std::string("/a b"), std::string("/a#b") }) {
        BatchItem item = soundItem();
        item.path = path;
        CHECK(faultyPart(item) == ItemPart::Path);
        item = soundItem();
        item.scoring->path = path;
        CHECK(faultyPart(item) == ItemPart::ScoringPath);
    }
    BatchItem item = soundItem();
    item.scoring->host = "host\r\nX-Forged: 1";
    CHECK(faultyPart(item) == ItemPart::ScoringHost);
}
