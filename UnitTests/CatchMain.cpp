// The one Catch main that every test program links.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char **argv) {
  // A failed check would be lost among the log lines of all passing tests.
  el::Loggers::reconfigureAllLoggers(
      el::Level::Info, el::ConfigurationType::ToStandardOutput, "false");
  return Catch::Session().run(argc, argv);
}
