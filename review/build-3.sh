#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. All are Python and
# run in the process of a script; this loads them with the dependencies of the deploy
# file's build, which has to be done before.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import review.small_fleet, standins.platform_store, ebonybend.platform.run'
