#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
g++ -std=c++17 -O1 -pthread -I. -o review/bin/stage review/stage/*.cc
