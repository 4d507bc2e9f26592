#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -f ../out/Case1.class ] || { echo "not built: run review/build.sh" >&2; exit 2; }
timeout -k 5 110 java -Xmx256m -Droot=../.. -cp ../out Case1 record.txt
status=$?
[ $status -le 2 ] && exit $status
exit 2
