#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")" || exit 2
folder=$(pwd)
root=$(cd ../.. && pwd)
[ -x "$root/target/review/rig" ] || { echo "run review/build.sh first"; exit 2; }
exec "$root/target/review/rig" handover "$root" "$folder"
