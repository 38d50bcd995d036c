#include "tests/control/document_operators.h"

#include <algorithm>

namespace curranttrail::tests {

using namespace curranttrail::control;

DocumentOperators::DocumentOperators(ControlWorld& world)
    : m_world(world)
{
}

void DocumentOperators::start(Micros pause)
{
    m_pause = pause;
    next();
}

void DocumentOperators::next()
{
    if (!m_running)
        return;
    m_version += 1 + m_world.below(3);
    for (std::uint64_t n = m_world.below(4) == 0 ? 2 : 1; n > 0; --n) {
        const SetDocument document { m_version, "document " + std::to_string(m_version) + " of operator " + std::to_string(n) };
        m_sent[m_version].insert(document.content);
        m_orders.push_back({ document, false });
        attempt(m_orders.size() - 1);
    }
    m_world.after(m_pause / 2 + Micros { static_cast<Micros::rep>(m_world.below(static_cast<std::uint64_t>(m_pause.count()))) }, [this] { next(); });
}

void DocumentOperators::attempt(std::size_t number)
{
    if (m_orders[number].acknowledged)
        return;
    const std::size_t replica = m_world.below(3) == 0 ? m_world.below(m_world.size()) : m_world.leader().value_or(m_world.below(m_world.size()));
    if (m_world.isUp(replica)) {
        m_world.submit(replica, m_orders[number].document, [this, number](const CommandResult& result) {
            Order& order = m_orders[number];
            if (result.status == CommandStatus::Invalid)
                m_world.fail("a valid document is called invalid: " + result.message);
            if (result.status != CommandStatus::Accepted)
                return;
            m_acknowledged += order.acknowledged ? 0 : 1;
            order.acknowledged = true;
            if (result.version.value < order.document.version)
                m_world.fail("a document is acknowledged and not in force");
            m_highest = std::max(m_highest, order.document.version);
            m_world.noteAcceptedDocument(order.document.version);
        });
    }
    m_world.after(Micros { static_cast<Micros::rep>(100'000 + m_world.below(600'000)) }, [this, number] { attempt(number); });
}

bool DocumentOperators::settled() const
{
    return std::all_of(m_orders.begin(), m_orders.end(), [](const Order& order) { return order.acknowledged; });
}

void DocumentOperators::checkSurvivor(std::size_t replica)
{
    const HeldDocument& held = m_world.state(replica).document;
    if (held.version < m_highest)
        m_world.fail("an acknowledged document is lost at " + ControlWorld::nameOf(replica));
    if (held.version == 0)
        return;
    if (!m_sent[held.version].contains(held.content))
        m_world.fail("a document was altered at " + ControlWorld::nameOf(replica));
    if (m_seen.emplace(held.version, held.content).first->second != held.content)
        m_world.fail("one version has two contents");
}

} // namespace curranttrail::tests
