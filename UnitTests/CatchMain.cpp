// The one Catch main that every test program links.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
