#include "core/event_log.h"

#include "core/class_target.h"
#include "core/random.h"

namespace curranttrail {

std::string formatEvent(const LogEvent& event)
{
    std::string text { event.description->name };
    for (const EventField& field : event.fields) {
        text += ' ';
        text += field.name;
        text += '=';
        text += field.value;
    }
    return text;
}

} // namespace curranttrail
