#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10, and the programs of
# what was seen besides (review/seen-2/, no cases), into target/review-2/. They
# need a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
for part in net standins; do
  g++ "${flags[@]}" -c "review/common-2/$part.cc" -o "$out/$part.o" &
done
wait
for case in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$case")")
  # Cases of an earlier review have a build script of their own.
  [ "$number" -ge 6 ] || continue
  g++ "${flags[@]}" "$case" "$out/net.o" "$out/standins.o" -o "$out/case-$number" &
done
for seen in review/seen-2/*/case.cc; do
  name=$(basename "$(dirname "$seen")")
  g++ "${flags[@]}" "$seen" "$out/net.o" "$out/standins.o" -o "$out/seen-$name" &
done
wait
for case in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$case")")
  [ "$number" -lt 6 ] || [ -x "$out/case-$number" ]
done
