#include "tests/control/document_workload.h"

#include <algorithm>

namespace curranttrail::tests {

using namespace curranttrail::control;

DocumentWorkload::DocumentWorkload(ControlSimulation& simulation)
    : m_simulation(simulation)
{
}

void DocumentWorkload::start(Micros pause)
{
    m_pause = pause;
    next();
}

void DocumentWorkload::next()
{
    if (!m_running)
        return;
    m_version += 1 + m_simulation.randomBelow(3);
    for (std::uint64_t n = m_simulation.randomBelow(4) == 0 ? 2 : 1; n > 0; --n) {
        const SetDocument document { m_version, "document " + std::to_string(m_version) + " of operator " + std::to_string(n) };
        m_sent[m_version].insert(document.content);
        m_submissions.push_back({ document, false });
        attempt(m_submissions.size() - 1);
    }
    m_simulation.after(m_pause / 2 + Micros { static_cast<Micros::rep>(m_simulation.randomBelow(static_cast<std::uint64_t>(m_pause.count()))) }, [this] { next(); });
}

void DocumentWorkload::attempt(std::size_t number)
{
    if (m_submissions[number].acknowledged)
        return;
    const std::size_t replica = m_simulation.randomBelow(3) == 0 ? m_simulation.randomBelow(m_simulation.size()) : m_simulation.leader().value_or(m_simulation.randomBelow(m_simulation.size()));
    if (m_simulation.isUp(replica)) {
        m_simulation.submit(replica, m_submissions[number].document, [this, number](const CommandResult& result) {
            Submission& submission = m_submissions[number];
            if (result.status == CommandStatus::Invalid)
                m_simulation.fail("a valid document was refused as invalid: " + result.message);
            if (result.status != CommandStatus::Accepted)
                return;
            m_acknowledged += submission.acknowledged ? 0 : 1;
            submission.acknowledged = true;
            if (result.version.value < submission.document.version)
                m_simulation.fail("a document was acknowledged but is not in force");
            m_highest = std::max(m_highest, submission.document.version);
            m_simulation.recordAcceptedDocument(submission.document.version);
        });
    }
    m_simulation.after(Micros { static_cast<Micros::rep>(100'000 + m_simulation.randomBelow(600'000)) }, [this, number] { attempt(number); });
}

bool DocumentWorkload::settled() const
{
    return std::all_of(m_submissions.begin(), m_submissions.end(), [](const Submission& submission) { return submission.acknowledged; });
}

void DocumentWorkload::checkCommittedDocument(std::size_t replica)
{
    const CommittedDocument& held = m_simulation.state(replica).document;
    if (held.version < m_highest)
        m_simulation.fail("an acknowledged document was lost at " + ControlSimulation::nameOf(replica));
    if (held.version == 0)
        return;
    if (!m_sent[held.version].contains(held.content))
        m_simulation.fail("a document was altered at " + ControlSimulation::nameOf(replica));
    if (m_seen.emplace(held.version, held.content).first->second != held.content)
        m_simulation.fail("one document version has two contents");
}

} // namespace curranttrail::tests
