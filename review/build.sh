#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin/. The gateway is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./cmd/thymeloft-lab
for each in review/[0-9]; do
	if [ -e "$each/main.go" ]; then
		go build -o "review/bin/case${each##*/}" "./$each"
	fi
done
