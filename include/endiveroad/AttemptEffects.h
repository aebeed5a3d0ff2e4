#pragma once

#include <endiveroad/Error.h>
#include <string>

/// Whether a request that is tried several times may have taken effect.
namespace endiveroad {

/// True if an error with this code states that the request has not taken effect and never will. Any other error of an
/// attempt that may have reached its receiver leaves the outcome open, also one that arises while its answer is read.
/// StoreUnavailable is a refusal as MetadataStore throws it; StoreClient, which has the settings, makes no such
/// promise.
bool isRefusal(ErrorCode) noexcept;

/// What the failed attempts at one request tell together. A refusal promises that the request has not taken effect and
/// never will, and that holds only if it holds for each attempt: once an attempt may have taken effect, later refusals
/// do not change that.
class AttemptEffects {
public:
    /// Records an attempt that ended with this error.
    void onFailure(const Error&);

    /// Records why nothing could be tried, if no attempt has failed yet.
    void onNothingTried(const std::string& reason);

    /// Why the last attempt failed; empty if none has.
    const std::string& reason() const { return reason_; }

    bool mayHaveTakenEffect() const { return mayHaveTakenEffect_; }

    /// Throws the error that is true of all attempts: OutcomeUnknownError if one may have taken effect, else Refusal.
    template <typename Refusal>
    [[noreturn]] void fail() const
    {
        if (mayHaveTakenEffect_)
            throw OutcomeUnknownError(reason_);
        throw Refusal(reason_);
    }

private:
    bool mayHaveTakenEffect_ = false;
    std::string reason_;
};

} // namespace endiveroad
