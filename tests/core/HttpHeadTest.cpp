#include <algorithm>
#include <catch2/catch.hpp>
#include <endiveroad/HttpHead.h>
#include <random>

using namespace endiveroad;

namespace {

const std::string letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";

/// All bytes for which the predicate holds for a text of that byte between two letters.
template <typename Predicate>
std::string bytesAllowed(const std::string& start, Predicate predicate)
{
    std::string allowed;
    for (int byte = 0; byte < 256; ++byte) {
        const char character = static_cast<char>(byte);
        if (predicate(start + character + "z"))
            allowed += character;
    }
    return allowed;
}

std::string sorted(std::string text)
{
    std::sort(text.begin(), text.end(),
        [](char a, char b) { return static_cast<unsigned char>(a) < static_cast<unsigned char>(b); });
    return text;
}

std::string bytesFrom(int first, int end)
{
    std::string bytes;
    for (int byte = first; byte < end; ++byte)
        bytes += static_cast<char>(byte);
    return bytes;
}

std::optional<std::string> faultOf(const HeaderFields& headers, const std::string& method = "POST",
    const std::string& target = "/x", size_t bodyBytes = 1)
{
    return requestHeadFault({ method, target, headers, bodyBytes });
}

/// A reader that takes each of CR, LF and CRLF for the end of a line, as some servers do.
std::vector<std::string> lenientLines(const std::string& head)
{
    std::vector<std::string> lines(1);
    for (size_t i = 0; i < head.size(); ++i) {
        if (head[i] == '\r' && i + 1 < head.size() && head[i + 1] == '\n')
            ++i;
        const bool isEnd = head[i] == '\r' || head[i] == '\n';
        if (isEnd)
            lines.emplace_back();
        else
            lines.back() += head[i];
    }
    return lines;
}

} // namespace

// Guards against a byte that ends a line, a name or a target and is let through.
TEST_CASE("each byte is allowed in a name, a value, a target and a host as the grammar says", "[http]")
{
    CHECK(bytesAllowed("a", isToken) == sorted(letters + "!#$%&'*+-.^_`|~"));
    CHECK(bytesAllowed("a", isFieldValue) == "\t" + bytesFrom(' ', 0x7f) + bytesFrom(0x80, 0x100));
    std::string target = bytesFrom('!', 0x7f);
    std::erase(target, '#');
    CHECK(bytesAllowed("/", isOriginForm) == target);
    CHECK(bytesAllowed("a", isHost) == sorted(letters + "-._~%!$&'()*+;=:[]"));
    CHECK_FALSE(isToken(""));
    CHECK(isFieldValue(""));
    for (const char* value : { " a", "a ", "\ta", "a\t", " " })
        CHECK_FALSE(isFieldValue(value));
    for (const char* text : { "", "*", "x", "http://a/x", "//a b" })
        CHECK_FALSE(isOriginForm(text));
    CHECK_FALSE(isHost(""));
}

// Guards against heads that a server reads as two requests, or with another framing, target or host.
TEST_CASE("a head that would not be read as it was meant has a fault", "[http]")
{
    CHECK_FALSE(faultOf({}));
    CHECK_FALSE(faultOf({ { "Host", "a:80" }, { "X-Empty", "" }, { "x-a", "gr\xc3\xbc n" }, { "x-a", "2" } }));
    CHECK_FALSE(faultOf({}, "TRACE", "/x", 0));
    CHECK_FALSE(faultOf({}, "PURGE", "/x?y=[1]|{2}", 0));
    for (const HeaderFields& headers : std::vector<HeaderFields> { { { "a", "x\r\nb: y" } }, { { "a", "x\ny" } },
             { { "a", "x\ry" } }, { { "a", std::string("x\0y", 3) } }, { { "a", "x\x7f" } }, { { "a: x\r\nb", "y" } },
             { { "", "x" } }, { { "a b", "x" } }, { { "a ", "x" } }, { { " a", "x" } }, { { "a:", "x" } },
             { { "Transfer-Encoding", "chunked" } }, { { "transfer-ENCODING", "chunked, x" } },
             { { "Transfer-Encoding ", "chunked" } }, { { "Content-Length", "1" } }, { { "content-length", "0" } },
             { { "Host", "a" }, { "host", "a" } }, { { "Host", "a b" } }, { { "Host", "a/b" } }, { { "Host", "" } },
             { { "Host", "a,b" } }, { { std::string(maxHeaderNameBytes + 1, 'a'), "x" } },
             { { "a", std::string(maxHeaderValueBytes + 1, 'x') } } }) {
        INFO(headers.front().first << ": " << headers.front().second);
        CHECK(faultOf(headers));
    }
    for (const char* method : { "", "GET x", "GET\r\n", "G\tT", "G:T" })
        CHECK(faultOf({}, method));
    for (const char* target : { "", "x", "/x y", "/x\r\ny", "/x#y", "/\x85", "http://a/x", "*" })
        CHECK(faultOf({}, "GET", target));
    CHECK(faultOf({}, "TRACE", "/x", 1));
}

TEST_CASE("the head of an answer has a fault if it states a framing or could end early", "[http]")
{
    CHECK_FALSE(answerHeadFault({ { "Content-Type", "text/plain" }, { "Retry-After", "0.5" } }));
    for (const HeaderFields& headers : std::vector<HeaderFields> {
             { { "Retry-After", "1\r\nX: y" } }, { { "Transfer-Encoding", "gzip, chunked" } }, { { "a b", "x" } } })
        CHECK(answerHeadFault(headers));
}

// Guards against text that a lenient reader takes for another line, whatever its bytes are.
TEST_CASE("a head without a fault has as many lines as headers, with the same names", "[http]")
{
    std::mt19937 random(62);
    const auto withRandomByte = [&random](std::string text) {
        const bool isChanged = random() % 8 == 0;
        if (isChanged)
            text.insert(
                text.begin() + static_cast<ptrdiff_t>(random() % (text.size() + 1)), static_cast<char>(random()));
        return text;
    };
    int accepted = 0;
    int refused = 0;
    for (int play = 0; play < 20'000; ++play) {
        const std::string target = withRandomByte("/a?b=c");
        const HeaderFields headers { { withRandomByte("X-A"), withRandomByte("v w") }, { withRandomByte("X-B"), "2" } };
        if (faultOf(headers, "POST", target)) {
            ++refused;
            continue;
        }
        ++accepted;
        std::string head = "POST " + target + " HTTP/1.1";
        for (const auto& [name, value] : headers)
            head += "\r\n" + name + ": " + value;
        const std::vector<std::string> lines = lenientLines(head);
        REQUIRE(lines.size() == headers.size() + 1);
        REQUIRE(std::count(lines[0].begin(), lines[0].end(), ' ') == 2);
        for (size_t i = 0; i < headers.size(); ++i)
            REQUIRE(lines[i + 1].substr(0, lines[i + 1].find(':')) == headers[i].first);
    }
    CHECK(accepted > 1000);
    CHECK(refused > 1000);
}
