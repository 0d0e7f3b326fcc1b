#!/usr/bin/env bash
# Runs all tests and prints the findings of the bench in KNOWN-RED.txt. The tests that
# it names, or parts of tests as TEST/PART, are skipped, printed and counted; a test that
# does not exist fails. The package crowd starts processes that must not run beside other load, so it
# runs after the others.
set -eu
cd "$(dirname "$0")/.."
skip=""
count=0
if [ -s KNOWN-RED.txt ]; then
  while read -r test package rest; do
    case "$test" in
      '') continue ;;
      '#'*) echo "$test $package $rest"; continue ;;
    esac
    top="${test%%/*}"
    if ! go test -list "^${top}\$" "$package" | grep -qx "$top"; then
      echo "KNOWN-RED.txt names $test in $package, which does not exist" >&2
      exit 1
    fi
    echo "known red, not run: $test $package $rest"
    count=$((count + 1))
    skip="${skip:+$skip|}^${test//\//\$/^}\$"
  done <KNOWN-RED.txt
fi
crowd=./internal/process/crowd
mapfile -t others < <(go list ./... | grep -v "/${crowd#./}\$")
go test ${skip:+-skip "$skip"} "$@" "${others[@]}"
# The cache does not know the program that the tests of crowd build and start.
go test -count=1 ${skip:+-skip "$skip"} "$@" "$crowd"
echo "$count known red"
