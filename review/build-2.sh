#!/usr/bin/env bash
# The stand-ins of review/6 and later are Python modules: checks that they can be loaded
# with the packages of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -c "import review.rig"
