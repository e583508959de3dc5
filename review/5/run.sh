#!/bin/sh
# Exits with 1 if requests were answered 402 although the prepaid tokens cover them, with 0 if not, and with 2 if the case could not run.
# TROUBLE=0: no client asks for the largest number of output tokens.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/masticway ] && [ -x target/review-2/stage ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec target/review-2/stage unlimited "$folder/record.txt"
