#pragma once

#include "core/event_log.h"

#include <string>
#include <vector>

namespace curranttrail {

// The events of one folder.
struct EventGroup {
    std::string_view folder;
    std::uint16_t first = 0;
    std::vector<const EventDescription*> events;
};

// Returns all events, ordered by number.
std::vector<EventGroup> eventCatalogue();

// Returns the catalogue as the Markdown text of docs/EVENTS.md.
std::string eventCatalogueMarkdown();

} // namespace curranttrail
