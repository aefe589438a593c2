#!/bin/sh
# The stand-ins are Python and need no build; check that they can be imported with what
# the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps exec python3 -B -c \
  "import review.callers, review.deployment, review.record, review.traffic"
