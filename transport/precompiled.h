#pragma once

// Precompiled header with the headers that are expensive to compile.
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>
