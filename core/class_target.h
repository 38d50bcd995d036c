#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>

namespace curranttrail {

// Target that an operator sets for a class of queries. All other parameters are derived from it.
struct ClassTarget {
    ClassName name;
    OwnerName owner;
    CollectionName collection;
    // Fraction of the queries that must be answered within the latency, for example 0.99.
    double percentile = 0.99;
    Micros latency { 100'000 };
    // Minimum fraction of the key space that an answer must cover, from 0 to 1.
    double minimumCoverage = 1.0;
    // False if requests of the class must run at most once.
    bool repeatable = true;
    // The owner's configuration version that last changed this class.
    ConfigurationVersion version;
};

// The classes of one owner at one configuration version.
struct OwnerConfiguration {
    OwnerName owner;
    ConfigurationVersion version;
    std::map<ClassName, ClassTarget> classes;
};

// The configurations of all owners.
using ClassTable = std::map<OwnerName, OwnerConfiguration>;

} // namespace curranttrail
