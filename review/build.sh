#!/bin/sh
# Builds the stand-ins of the cases, with what the module has already.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
	if [ -d "review/$n" ] && ls "review/$n"/*.go >/dev/null 2>&1; then
		go build -o "review/bin/case$n" "./review/$n"
	fi
done
