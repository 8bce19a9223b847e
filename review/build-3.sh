#!/usr/bin/env bash
# Builds the programs of the cases review/11 to review/15, with their stand-ins,
# into target/review-3/. Needs g++ alone. Build the program of the deploy file
# before: the cases start it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. review/common-3/*.cc "$source" \
    -o "target/review-3/$(basename "$source" .cc)" &
done
for job in $(jobs -p); do wait "$job"; done
