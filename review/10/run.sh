#!/usr/bin/env bash
# Case 10 of the review: see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, with 0 if
# it held, with 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in bin/linenloom review/bin/second; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2
		exit 2
	fi
done
exec review/bin/second -case descriptors -record review/10/record.txt
