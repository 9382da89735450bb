#!/bin/sh
# Builds the stand-ins and checkers of the cases. The proxy itself is built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && go build -o review/bin/ ./review/standins
