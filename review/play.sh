#!/usr/bin/env bash
# Plays a case: play.sh NAME FOLDER. The nodes are started with the run command of the deploy file. Exits with 1
# if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ ! -x target/review-standin ] || [ ! -x "${run%% *}" ]; then
	echo "build first: the build command of deploy/service.toml, then review/build.sh"
	exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-standin -case "$name" -run "$run" -record "$folder/record.txt" -trouble=$trouble
