#!/bin/sh
# Builds the scripts of the cases, with the stand-ins that they start, into target/review.
set -e
cd "$(dirname "$0")/.."
for main in review/*/main.ts; do
  name=$(basename "$(dirname "$main")")
  npx --no-install esbuild "$main" --bundle --platform=node --format=esm --target=node20 \
    --external:dtrace-provider --log-level=warning --outfile="target/review/$name.mjs" \
    --banner:js="import{createRequire as R}from'node:module';const require=R(import.meta.url);"
done
