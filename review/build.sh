#!/bin/sh
# Prepares the stand-ins that the scripts start. They are Python modules of this
# repository and need only target/deps, which the deploy file's build makes.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import standins.lineplatform, review.deployment"
