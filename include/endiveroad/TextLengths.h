#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

/// Learns how many events a text has for each token that was expected of it. Replicas report their speed by events, of
/// which one may hold many tokens.
namespace endiveroad {

class TextLengths {
public:
    /// Complete texts of a model from which on its ratio is used.
    static constexpr size_t minTexts = 8;

    /// A text of the model is complete.
    void add(const std::string& model, double expectedTokens, size_t events);

    /// Events for each expected token; nothing while too few texts are known.
    std::optional<double> eventsPerToken(const std::string& model) const;

private:
    struct Sums {
        size_t texts = 0;
        double tokens = 0;
        double events = 0;
    };

    std::map<std::string, Sums> byModel_;
};

} // namespace endiveroad
