#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "src/kernel/log.h"

int main(int argc, char** argv) {
  // The log would bury what a failing test says.
  cactusward::InitLog("test", cactusward::log_level::kError);
  return Catch::Session().run(argc, argv);
}
