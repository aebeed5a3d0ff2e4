#pragma once

#include "io/hosted/JobStore.h"
#include "io/hosted/OwnedJob.h"

/// Saves texts of unfinished items in the store, so that the loss of agent and owner at once does not cost them.
namespace endiveroad::io {

class TextSaver {
public:
    /// Time between two looks for texts that have grown.
    static constexpr Duration saveInterval = std::chrono::milliseconds(1500);

    TextSaver(asio::io_context&, JobStore&, const JobTable&);

    asio::awaitable<void> run();

private:
    /// A save that fails is not repeated: the next one holds more.
    asio::awaitable<void> save(OwnedJobPtr, std::vector<SavedText>);

    asio::io_context& context_;
    JobStore& store_;
    const JobTable& jobs_;
};

} // namespace endiveroad::io
