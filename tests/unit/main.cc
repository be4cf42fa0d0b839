#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "src/kernel/allocator.h"
#include "src/kernel/log.h"

int main(int argc, char** argv) {
  // As in the daemon, whose memory some tests bound.
  cactusward::ReturnLargeBuffers();
  // Log errors only, so that the output of a failing test is not lost among log
  // lines.
  cactusward::InitLog("test", cactusward::log_level::kError);
  return Catch::Session().run(argc, argv);
}
