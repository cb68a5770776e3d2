#include <catch2/catch.hpp>

#include "pool/test_pool.h"
