#!/usr/bin/env bash
# Fails when a layer includes a higher one, or when the pure core includes I/O headers.
set -euo pipefail
cd "$(dirname "$0")/../src/masticgap"
status=0
deny() { # deny LAYER PATTERN REASON
  if grep -rnE "$2" "$1"; then
    echo "error: $1 must not include $3" >&2
    status=1
  fi
}
deny state '#include "masticgap/(coordination|protocol|transport)/' "a higher layer"
deny coordination '#include "masticgap/(protocol|transport)/' "a higher layer"
deny protocol '#include "masticgap/transport/' "a higher layer"
for layer in state coordination; do
  deny "$layer" '#include <(boost/(asio|beast)|thread|mutex|sys/|netinet/|random_device)' "I/O or threads"
  deny "$layer" '(system_clock|steady_clock)::now|std::random_device' "a clock or an unseeded engine"
done
exit $status
