#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec timeout -k 2 118 target/review/harness disks "$here"
