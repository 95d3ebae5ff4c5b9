#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the second review into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
common=(review/lab-2/lab.cc platform/testing/platform_store.cc
  heatherlatch/base/endpoint.cc)
for source in review/lab-2/case_*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++17 -O1 -I. "$source" "${common[@]}" -o "review/bin/$name" -pthread
done
