#!/usr/bin/env bash
# Plays this case; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" && exec ../standin-2/run_case.sh draining-replica .
