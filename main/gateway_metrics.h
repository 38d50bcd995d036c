#pragma once

#include "routing/router.h"

#include <string>

namespace curranttrail {

// Returns the router's metrics in the text format of Prometheus.
std::string routerMetricsText(const routing::Router& router);

} // namespace curranttrail
