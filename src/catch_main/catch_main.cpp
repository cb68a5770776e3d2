// The main function of every Catch2 program, compiled once.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
