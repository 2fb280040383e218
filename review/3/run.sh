#!/usr/bin/env bash
# Exit code 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0: without the disruption.
set -- review.zone.LostZone
. "$(dirname "$0")/../lib/run"
