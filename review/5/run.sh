#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
CASE_DIR=review/5 GATEWAY=target/release/lacewingstiled exec target/review/stand poison
