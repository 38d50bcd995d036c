#include "tests/control/evacuation_workload.h"

#include <algorithm>

namespace curranttrail::tests {

using namespace curranttrail::control;

EvacuationWorkload::EvacuationWorkload(ControlSimulation& simulation, std::uint64_t seed)
    : m_simulation(simulation)
    , m_random(seed)
{
    for (const char* dataCentre : { "dc-a", "dc-b", "dc-shared", "dc-shared" })
        m_operators.push_back({ { dataCentre, false }, true, 0 });
}

void EvacuationWorkload::start(Micros pause)
{
    m_pause = pause;
    m_running = true;
    for (std::size_t n = 0; n < m_operators.size(); ++n)
        next(n);
}

void EvacuationWorkload::next(std::size_t index)
{
    if (!m_running)
        return;
    Operator& state = m_operators[index];
    if (state.acknowledged) {
        state.order.isEvacuated = !state.order.isEvacuated;
        state.acknowledged = false;
        attempt(index, ++state.number);
    }
    m_simulation.after(m_pause / 2 + randomPause(m_pause), [this, index] { next(index); });
}

void EvacuationWorkload::attempt(std::size_t index, std::uint64_t number)
{
    const Operator& state = m_operators[index];
    if (state.acknowledged || state.number != number)
        return;
    const std::size_t any = m_random() % m_simulation.size();
    const std::size_t replica = m_random() % 3 == 0 ? any : m_simulation.leader().value_or(any);
    if (m_simulation.isUp(replica)) {
        m_simulation.submit(replica, state.order, [this, index, number](const CommandResult& result) {
            Operator& operatorState = m_operators[index];
            if (result.status == CommandStatus::Invalid)
                m_simulation.fail("an evacuation was refused as invalid: " + result.message);
            if (result.status != CommandStatus::Accepted || operatorState.number != number || operatorState.acknowledged)
                return;
            operatorState.acknowledged = true;
            ++m_acknowledged;
        });
    }
    m_simulation.after(Micros { 100'000 } + randomPause(Micros { 600'000 }), [this, index, number] { attempt(index, number); });
}

bool EvacuationWorkload::settled() const
{
    return std::all_of(m_operators.begin(), m_operators.end(), [](const Operator& state) { return state.acknowledged; });
}

void EvacuationWorkload::check(std::size_t replica)
{
    const std::set<DataCentreName>& evacuated = m_simulation.state(replica).evacuatedDataCentres;
    for (const Operator& state : m_operators) {
        const bool isShared = std::any_of(m_operators.begin(), m_operators.end(), [&](const Operator& other) { return &other != &state && other.order.dataCentre == state.order.dataCentre && other.order.isEvacuated != state.order.isEvacuated; });
        if (!isShared && evacuated.contains(state.order.dataCentre) != state.order.isEvacuated)
            m_simulation.fail("an acknowledged order for " + state.order.dataCentre + " was lost at " + ControlSimulation::nameOf(replica));
    }
}

} // namespace curranttrail::tests
