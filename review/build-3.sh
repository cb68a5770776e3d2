#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start, into
# target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -j6
