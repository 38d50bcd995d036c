#pragma once

#include "tests/control/control_simulation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace curranttrail::tests {

// Simulates operators that evacuate data centres and withdraw that in turn, each resending an order to random replicas until it is
// acknowledged. Two operators share one data centre, the others have one of their own. Checks that acknowledged orders are in force.
class EvacuationWorkload {
public:
    explicit EvacuationWorkload(ControlSimulation& simulation, std::uint64_t seed = 1);

    // Gives orders at random intervals until stop() is called.
    void start(Micros pause);
    void stop() { m_running = false; }
    // True once every order is acknowledged.
    bool settled() const;
    // Checks that what was acknowledged last is in force at a replica. To be called once all is settled.
    void check(std::size_t replica);
    std::size_t acknowledged() const { return m_acknowledged; }

private:
    struct Operator {
        control::SetEvacuation order;
        bool acknowledged = true;
        std::uint64_t number = 0;
    };

    void next(std::size_t index);
    void attempt(std::size_t index, std::uint64_t number);
    Micros randomPause(Micros maximum) { return Micros { static_cast<Micros::rep>(m_random() % static_cast<std::uint64_t>(maximum.count())) }; }

    ControlSimulation& m_simulation;
    Random m_random;
    std::vector<Operator> m_operators;
    bool m_running = true;
    Micros m_pause { 0 };
    std::size_t m_acknowledged = 0;
};

} // namespace curranttrail::tests
