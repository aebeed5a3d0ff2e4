#include <endiveroad/TextLengths.h>

namespace endiveroad {

namespace {

/// Share of the sums that remains with each new text, so that the ratio follows changes over some hundred texts.
constexpr double memory = 0.995;

} // namespace

void TextLengths::add(const std::string& model, double expectedTokens, size_t events)
{
    if (expectedTokens <= 0 || events == 0)
        return;
    Sums& sums = byModel_[model];
    ++sums.texts;
    sums.tokens = memory * sums.tokens + expectedTokens;
    sums.events = memory * sums.events + static_cast<double>(events);
}

std::optional<double> TextLengths::eventsPerToken(const std::string& model) const
{
    const auto found = byModel_.find(model);
    if (found == byModel_.end() || found->second.texts < minTexts)
        return std::nullopt;
    return found->second.events / found->second.tokens;
}

} // namespace endiveroad
