# Sourced by the run.sh of a case: runs the driver of case $1 and ends what it may have left.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
for needed in target/release/ebonyspur-edge target/release/stand-in target/review/release/review-stand; do
  [ -x "$needed" ] || { echo "not built: $needed" >&2; exit 2; }
done
# TROUBLE=0 leaves out the disruption.
export TROUBLE=${TROUBLE:-1}
set -m
timeout --kill-after=1 115 target/review/release/review-stand "$1" "$here/record.txt" &
group=$!
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
wait "$group"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
