#!/usr/bin/env bash
# Formatter and linter, pinned, in a cache outside the repository.
set -eu
cd "$(dirname "$0")/.."
version=v2.15.0
cache="${XDG_CACHE_HOME:-$HOME/.cache}/tamaracktiller/golangci-lint-$version"
if [ ! -x "$cache/golangci-lint" ]; then
  GOBIN="$cache" go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$version"
fi
"$cache/golangci-lint" fmt --diff
go vet ./...
"$cache/golangci-lint" run ./...
echo "lint passed"
