#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2, with the
# compiler of the project.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
gcc -std=c11 -O2 -Wall -Wextra -pthread -o target/review-2/flow-2 review/flow-2.c
