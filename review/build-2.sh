#!/usr/bin/env bash
# Builds every stand-in that a case of the second review starts. The programs themselves are built as in the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/second ./review/second
