#!/usr/bin/env bash
# Builds the binary and runs its subcommands in an empty folder, with valid and invalid input.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run build
root=$PWD
binary=$root/dist/ragwortrudder
empty=$(mktemp -d)
daemon=
cleanup() {
  [ -z "$daemon" ] || kill -KILL "$daemon" 2>/dev/null || true
  rm -rf "$empty"
}
trap cleanup EXIT
cd "$empty"

# Runs the binary and fails unless it exits with the code given as the first argument.
expect() {
  local expected=$1 code=0
  shift
  "$binary" "$@" >out.txt 2>err.txt || code=$?
  if [ "$code" -ne "$expected" ]; then
    echo "ragwortrudder $*: exit code $code, expected $expected"
    cat out.txt err.txt
    exit 1
  fi
}

# Fails unless the file contains a line that matches the pattern.
contains() {
  grep -q -- "$2" "$1" || {
    echo "$1 does not contain: $2"
    cat "$1"
    exit 1
  }
}

expect 0 version
contains out.txt '^ragwortrudder [0-9]'
[ ! -s err.txt ] || {
  echo 'version wrote to stderr:'
  cat err.txt
  exit 1
}
for command in serve settings 'settings check' 'settings schema' ticket 'ticket submit' \
  'ticket show' 'ticket list' 'ticket watch' status request key 'key show' story serve-platform version; do
  # Word splitting is intended: each word of a subcommand is a separate argument.
  # shellcheck disable=SC2086
  expect 0 $command --help
  contains out.txt 'Examples:'
done
expect 2
expect 2 no-such-command
expect 2 status --node 127.0.0.1:1
contains err.txt 'RAGWORTRUDDER_KEY'

cat >valid.json <<'JSON'
{
  "node": { "id": "entry-1", "failureDomain": "a" },
  "listen": { "callers": { "port": 0 }, "peers": { "port": 0 } },
  "advertise": { "callers": "127.0.0.1:7100", "peers": "127.0.0.1:7101" },
  "platform": { "url": "http://127.0.0.1:1" },
  "keys": { "peer": "peer-key-for-this-check", "operators": [], "tenants": [] },
  "shutdown": { "graceMs": 1000, "handOverMs": 500 }
}
JSON
sed -e 's/"port": 0 }, "peers"/"port": -5 }, "peers"/' -e 's/peer-key-for-this-check/secret/' \
  valid.json >invalid.json
expect 0 settings check valid.json
expect 3 settings check invalid.json
contains err.txt 'listen.callers.port: found -5; allowed: a whole number from 0 to 65535'
contains err.txt 'keys.peer'
if grep -q secret out.txt err.txt; then
  echo 'settings check printed a key'
  exit 1
fi
expect 3 settings check missing.json
expect 3 serve --settings invalid.json
expect 0 settings schema
contains out.txt '"headerTimeoutMs"'
expect 3 serve-platform
printf '%s\n' '{"time":2,"node":"b","event":"request-refused","request":"q1","cause":"runner-full"}' \
  'not a log line' '{"time":1,"node":"b","event":"attempt-ended","request":"q1","runner":"r7"}' >node.log
expect 0 story q1 node.log
contains out.txt 'request-refused cause=runner-full'
expect 4 story q2 node.log
printf 'a key that is not used' >key.txt
expect 5 status --node 127.0.0.1:1 --key-file key.txt

"$binary" serve --settings valid.json --json >daemon.txt 2>&1 &
daemon=$!
for _ in $(seq 300); do
  ! grep -q listening daemon.txt || break
  sleep 0.1
done
contains daemon.txt listening
kill -TERM "$daemon"
code=0
wait "$daemon" || code=$?
daemon=
if [ "$code" -ne 0 ]; then
  echo "serve ended with exit code $code after SIGTERM"
  cat daemon.txt
  exit 1
fi
contains daemon.txt stopped
echo 'all checks of the binary passed'
