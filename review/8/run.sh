#!/bin/sh
# Plays case 8 and writes record.txt beside this file; see claim.txt. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-2/stand2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2/stand2 services "$folder"
