#include "core/settings/SettingsParser.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace endiveroad {

namespace {

/// Input iterator that counts the characters that the parser has read.
class CountingIterator {
public:
    using iterator_category = std::input_iterator_tag; // NOLINT(readability-identifier-naming)
    using value_type = char; // NOLINT(readability-identifier-naming)
    using difference_type = std::ptrdiff_t; // NOLINT(readability-identifier-naming)
    using pointer = const char*; // NOLINT(readability-identifier-naming)
    using reference = const char&; // NOLINT(readability-identifier-naming)

    CountingIterator(const char* position, size_t* offset)
        : position_(position)
        , offset_(offset)
    {
    }

    reference operator*() const { return *position_; }

    CountingIterator& operator++()
    {
        ++position_;
        ++*offset_;
        return *this;
    }

    bool operator==(const CountingIterator& other) const { return position_ == other.position_; }

private:
    const char* position_;
    size_t* offset_;
};

} // namespace

SettingsParser::SettingsParser(std::string_view text, const std::string& file, std::vector<SettingsFault>& faults)
    : text_(text)
    , file_(file)
    , faults_(faults)
{
    currentPosition_ = { file_, 1, 1 };
}

SettingsValue SettingsParser::parse()
{
    const char* begin = text_.data();
    const CountingIterator first(begin, &offset_);
    const CountingIterator last(begin + text_.size(), &offset_);
    Json::sax_parse(first, last, this, Json::input_format_t::json, true, true);
    return std::move(root_);
}

SourcePosition SettingsParser::positionAt(size_t offset)
{
    const size_t end = std::min(offset, text_.size());
    for (; scannedOffset_ < end; ++scannedOffset_) {
        if (text_[scannedOffset_] == '\n') {
            ++line_;
            lineStart_ = scannedOffset_ + 1;
        }
    }
    return { file_, line_, static_cast<uint32_t>(std::max(end, lineStart_) - lineStart_ + 1) };
}

size_t SettingsParser::stringStart() const
{
    size_t start = offset_ < 2 ? 0 : offset_ - 2;
    while (start > 0) {
        size_t backslashes = 0;
        while (backslashes < start && text_[start - 1 - backslashes] == '\\')
            ++backslashes;
        if (text_[start] == '"' && backslashes % 2 == 0)
            break;
        --start;
    }
    return start;
}

std::string SettingsParser::path() const
{
    return pathNames_.empty() ? std::string() : fmt::format("/{}", fmt::join(pathNames_, "/"));
}

bool SettingsParser::add(SettingsValue value)
{
    value.position = currentPosition_;
    if (openContainers_.empty()) {
        root_ = std::move(value);
        hasRoot_ = true;
        return true;
    }
    SettingsValue& parent = *openContainers_.back();
    if (parent.kind == SettingsValueKind::Array)
        currentKey_ = fmt::format("{:06}", parent.members.size());
    const auto [position, isNew] = parent.members.emplace(currentKey_, value);
    if (!isNew) {
        faults_.push_back({ currentPosition_, path() + "/" + currentKey_,
            fmt::format("is already set at {}", position->second.position.text()) });
        position->second = std::move(value);
    }
    return true;
}

bool SettingsParser::beginContainer(SettingsValueKind kind)
{
    if (openContainers_.size() >= maxSettingsDepth) {
        faults_.push_back(
            { currentPosition_, path(), fmt::format("is nested deeper than {} levels", maxSettingsDepth) });
        return false;
    }
    SettingsValue value;
    value.kind = kind;
    add(std::move(value));
    if (openContainers_.empty()) {
        openContainers_.push_back(&root_);
        return true;
    }
    openContainers_.push_back(&openContainers_.back()->members.at(currentKey_));
    pathNames_.push_back(currentKey_);
    return true;
}

bool SettingsParser::endContainer()
{
    openContainers_.pop_back();
    if (!pathNames_.empty())
        pathNames_.pop_back();
    return true;
}

bool SettingsParser::null()
{
    SettingsValue value;
    value.kind = SettingsValueKind::Null;
    return add(std::move(value));
}

bool SettingsParser::boolean(bool flag)
{
    SettingsValue value;
    value.kind = SettingsValueKind::Boolean;
    value.boolean = flag;
    return add(std::move(value));
}

bool SettingsParser::number_integer(Json::number_integer_t number)
{
    SettingsValue value;
    value.kind = SettingsValueKind::Integer;
    value.integer = number;
    value.number = static_cast<double>(number);
    return add(std::move(value));
}

bool SettingsParser::number_unsigned(Json::number_unsigned_t number)
{
    if (number <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))
        return number_integer(static_cast<int64_t>(number));
    return number_float(static_cast<double>(number), {});
}

bool SettingsParser::number_float(Json::number_float_t number, const std::string&)
{
    SettingsValue value;
    value.kind = SettingsValueKind::Number;
    value.number = number;
    return add(std::move(value));
}

bool SettingsParser::string(std::string& text)
{
    SettingsValue value;
    value.kind = SettingsValueKind::Text;
    value.text = std::move(text);
    return add(std::move(value));
}

bool SettingsParser::binary(Json::binary_t&)
{
    return false;
}

bool SettingsParser::key(std::string& name)
{
    currentKey_ = std::move(name);
    currentPosition_ = positionAt(stringStart());
    return true;
}

bool SettingsParser::start_object(size_t)
{
    return beginContainer(SettingsValueKind::Object);
}

bool SettingsParser::end_object()
{
    return endContainer();
}

bool SettingsParser::start_array(size_t)
{
    return beginContainer(SettingsValueKind::Array);
}

bool SettingsParser::end_array()
{
    return endContainer();
}

bool SettingsParser::parse_error(size_t offset, const std::string& token, const Json::exception& error)
{
    const std::string_view what = error.what();
    const size_t detail = what.rfind(": ");
    const std::string_view reason = detail == std::string_view::npos ? what : what.substr(detail + 2);
    faults_.push_back({ positionAt(offset > 0 ? offset - 1 : 0), path(),
        fmt::format("is not valid JSON with comments near \"{}\": {}", token, reason) });
    return false;
}

} // namespace endiveroad
