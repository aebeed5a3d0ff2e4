#include "io/hosted/TextSaver.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"

#include <endiveroad/Error.h>

namespace endiveroad::io {

TextSaver::TextSaver(asio::io_context& context, JobStore& store, const JobTable& jobs)
    : context_(context)
    , store_(store)
    , jobs_(jobs)
{
}

asio::awaitable<void> TextSaver::run()
{
    while (true) {
        co_await sleepFor(saveInterval);
        const JobTable jobs = jobs_;
        for (const auto& [id, owned] : jobs) {
            if (owned->isSaving || owned->isLost || owned->job.isEnded())
                continue;
            std::vector<SavedText> texts = owned->saved.due(owned->job, now());
            if (!texts.empty())
                spawn(context_.get_executor(),
                    [this, owned = owned, texts = std::move(texts)] { return save(owned, texts); });
        }
    }
}

asio::awaitable<void> TextSaver::save(OwnedJobPtr owned, std::vector<SavedText> texts)
{
    owned->isSaving = true;
    try {
        // Whether the job has another owner shows when results are listed.
        if (co_await store_.saveTexts(owned->id(), owned->job.revision(), texts) == AppendOutcome::Appended)
            owned->saved.onSaved(texts);
    } catch (const Error& error) {
        log(Event::ListingDelayed, { { "job", owned->id() }, { "what", "texts" }, { "reason", error.what() } });
    }
    owned->isSaving = false;
}

} // namespace endiveroad::io
