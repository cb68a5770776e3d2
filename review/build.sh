#!/bin/sh
# Builds the stand-ins of the scripts into target/, with the packages of the
# deploy file's build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standin review/standin/main.cpp \
  -o target/review-cell -lpthread
