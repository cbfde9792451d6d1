#!/usr/bin/env bash
# Scores the deployments of the regression runs one after the other.
#
# Usage: FLEETBENCH=PROGRAM SITES=DIRECTORY tools/measure/regression.sh REASON [OPTION...]
# FLEETBENCH is the users' bench, SITES the directory of their deployments; REASON
# goes into the journal. Options such as --quick are passed on.
set -euo pipefail
cd "$(dirname "$0")/../.."
reason=${1:?give the reason for the runs}
shift
jobs=$(($(nproc) / 2))
for site in further/ironhearth-hq further-grown/ironhearth-hq-grown grown/glsro-launchlog-grown grown/erv-retornos-grown large/glsro-launchlog-large; do
  "$FLEETBENCH" score "$SITES/$site.toml" --jobs "$jobs" --why "$reason" "$@"
done
