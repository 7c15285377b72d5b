#!/usr/bin/env bash
# Applies each mutation of components/fuzzer/mutations to a copy of the tree and checks that the
# fuzzer catches it, or the tests that the patch names in a first line "Caught by: ARGUMENTS" for
# `cargo test`. Exits with 1 if a mutation is missed, does not apply or does not build.
# Usage: scripts/mutations.sh [SEEDS [NAME]]
# SEEDS is the number of fuzzer scripts per mutation, 400 by default. NAME selects the mutations
# whose name starts with it.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-400}
wanted=${2:-}
root=$PWD
copy=$root/target/mutations/tree
rm -rf "$copy"
mkdir -p "$copy"
git ls-files -z | xargs -0 cp --parents -t "$copy"
cd "$copy"
git init -q .
export CARGO_TARGET_DIR=$root/target/mutations/target
caught=0
missed=0
for patch in "$root"/components/fuzzer/mutations/"$wanted"*.patch; do
  name=$(basename "$patch" .patch)
  git apply "$patch" || { echo "$name: does not apply"; missed=$((missed + 1)); continue; }
  tests=$(sed -n '1s/^Caught by: //p' "$patch")
  if [ -n "$tests" ]; then
    # shellcheck disable=SC2086
    if ! cargo test -q --release --no-run $tests 2>"$root/target/mutations/$name.log"; then
      echo "$name: does not build"
      missed=$((missed + 1))
    elif output=$(cargo test -q --release --no-fail-fast $tests 2>/dev/null); then
      echo "$name: MISSED by its tests"
      missed=$((missed + 1))
    else
      echo "$name: $(grep -m1 '^    can_' <<<"$output" | tr -d ' ') fails"
      caught=$((caught + 1))
    fi
  elif ! cargo build -q --release -p wagtailledge-fuzzer 2>"$root/target/mutations/$name.log"; then
    echo "$name: does not build"
    missed=$((missed + 1))
  elif output=$("$CARGO_TARGET_DIR/release/wagtailledge-fuzzer" --seeds "$seeds"); then
    echo "$name: MISSED by $seeds seeds"
    missed=$((missed + 1))
  else
    echo "$name: $(head -1 <<<"$output")"
    caught=$((caught + 1))
  fi
  git apply -R "$patch"
done
echo "mutations: $caught caught, $missed not caught"
[ "$missed" -eq 0 ]
