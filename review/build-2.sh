#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. Run it after the build of
# the deploy file; it needs no network.
set -e
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild platform/test/store-standin.ts --bundle \
  --platform=node --target=node20 --format=esm --log-level=warning \
  --outfile=target/review-2/store-standin.mjs
