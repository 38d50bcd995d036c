#include "main/event_catalogue.h"

#include "control/events.h"
#include "main/control_events.h"
#include "main/events.h"
#include "main/feed_events.h"
#include "membership/events.h"
#include "query/events.h"
#include "routing/events.h"
#include "storage/events.h"
#include "transport/events.h"
#include "usage/events.h"

#include <fmt/format.h>

namespace curranttrail {

namespace {

    template <typename Table>
    EventGroup group(std::string_view folder, std::uint16_t first, const Table& table)
    {
        return { folder, first, { table.begin(), table.end() } };
    }

} // namespace

std::vector<EventGroup> eventCatalogue()
{
    return {
        group("core and main", 1000, kMainEvents),
        group("control daemon", 1100, kControlDaemonEvents),
        group("gateway and coordinator", 1200, kFeedEvents),
        group("query and policy", 2000, query::kEventCatalogue),
        group("control", 3000, control::kControlEvents),
        group("membership", 4000, membership::events::kCatalogue),
        group("usage", 5000, usage::events::kCatalogue),
        group("storage", 6000, storage::kStorageEvents),
        group("transport", 7000, transport::kTransportEvents),
        group("routing", 8000, routing::kRoutingEvents),
    };
}

std::string eventCatalogueMarkdown()
{
    std::string text = "# Events\n\nEvery line of the log carries the number and the name of its event. Written from the tables in `*/events.h`;\n"
                       "`CURRANTTRAIL_UPDATE=1 ./build/release/test_main --run_test=EventCatalogue` rewrites this page.\n";
    for (const EventGroup& group : eventCatalogue()) {
        text += fmt::format("\n## {} ({} to {})\n\n| number | name | severity | meaning |\n|---|---|---|---|\n", group.folder, group.first, group.first / 1000 * 1000 + 999);
        for (const EventDescription* event : group.events)
            text += fmt::format("| {} | `{}` | {} | {} |\n", event->number, event->name, nameOf(kSeverityNames, event->severity), event->meaning);
    }
    return text;
}

} // namespace curranttrail
