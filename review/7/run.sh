#!/usr/bin/env bash
# Case 7: the instance that reads the list of servers stands still for 0.6 s while a server leaves, and the other
# instances go on sending requests to that server until after its end.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the freezes.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
exec "$root/target/review-2/standins-2" reader-freeze "$folder" "$root/target/release/lycheewood-platform"
