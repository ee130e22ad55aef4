#!/usr/bin/env bash
# Builds the binary and runs it in an empty folder.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run build
root=$PWD
empty=$(mktemp -d)
trap 'rm -rf "$empty"' EXIT
cd "$empty"
"$root/dist/ragwortrudder" version
