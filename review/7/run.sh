#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and of review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/build/elmbay" ] && [ -x "$root/build/review-2/slow_writer" ] || { echo "not built" >&2; exit 2; }
"$root/build/review-2/slow_writer" "$root" "$folder"
code=$?
[ $code -le 1 ] || code=2
exit $code
