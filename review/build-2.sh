#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start, into out/review-2. The gateway itself is built as
# deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review-2
go build -o out/review-2/ ./cmd/thymeloft-lab
for case in review/[4-6]/main.go; do
	[ -e "$case" ] || continue
	number="$(basename "$(dirname "$case")")"
	go build -o "out/review-2/case-$number" "./review/$number"
done
