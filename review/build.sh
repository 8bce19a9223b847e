#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. -pthread)
g++ "${flags[@]}" -c review/standin/standin.cc -o target/review/standin.o
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/standin.o -o "target/review/case$number"
done
