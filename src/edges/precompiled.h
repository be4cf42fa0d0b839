// Precompiled header of the daemon's library: headers that are slow to compile.
#ifndef CACTUSWARD_SRC_EDGES_PRECOMPILED_H_
#define CACTUSWARD_SRC_EDGES_PRECOMPILED_H_

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#endif  // CACTUSWARD_SRC_EDGES_PRECOMPILED_H_
