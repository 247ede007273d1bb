#!/usr/bin/env bash
# Plays the days of this folder and prints broken rules and scores beside those
# of the last landing (last.tsv).
#
#   BENCH=path/to/fleetbench SITE=path/to/site.toml deploy/days/play.sh [-k] [DAY...]
#
# DAY is a name without `.toml`; without any, all are played. VARY changes the
# site first: three-hosts, unlike, slow-beats, no-keys, two-keyed, dear-calls.
# JOBS days are played at a time (3). -k keeps the results as the last landing.
set -euo pipefail
: "${BENCH:?}" "${SITE:?}"
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
keep=0
if [ "${1:-}" = -k ]; then keep=1 && shift; fi
days=("$@")
[ ${#days[@]} -gt 0 ] || days=($(cd "$here" && ls ./*.toml | sed 's|^\./||; s|\.toml$||'))

# What each variation changes in a site file.
declare -A changes=(
  [three-hosts]='/class = "front"/ s/count = [0-9]+/count = 1/; /class = "front".*kitimat|class = "front".*zone = "west"/d'
  [unlike]='/class = "front"/ { s/cpu_share = [0-9.]+/cpu_share = 0.3/; :a; n; s/cpu_share = [0-9.]+/cpu_share = 0.9/ }'
  [slow-beats]='s/^beat_ms = .*/beat_ms = 2400/; s/^lag_ms = .*/lag_ms = 1600/'
  [no-keys]='s/, sharded = true, warm_s = [0-9.]+//'
  [two-keyed]='/^services = /,/^]/ s/(speeds = \[[0-9., ]+\]) \},/\1, sharded = true, warm_s = 2.0 },/'
  [dear-calls]='s/^cloud_call = .*/cloud_call = 0.5/; s/^cross_zone_gb = .*/cross_zone_gb = 90000.0/'
)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
name=$(basename "$SITE" .toml)
site=$SITE
if [ -n "${VARY:-}" ]; then
  cp "$(dirname "$SITE")"/wire.json "$work"/
  site=$work/$name.toml
  sed -E "${changes[$VARY]:?no such variation}" "$SITE" > "$site"
  name=$name+$VARY
fi

play() {
  "$BENCH" run "$site" "$here/$1.toml" --no-cpu --jobs 1 > "$work/$1.txt" 2>&1 || true
}
for day in "${days[@]}"; do
  while [ "$(jobs -rp | wc -l)" -ge "${JOBS:-3}" ]; do wait -n || true; done
  play "$day" &
done
wait

before() {
  awk -F'\t' -v site="$name" -v day="$1" '$1 == site && $2 == day { print $3 }' "$here/last.tsv" 2> /dev/null || true
}
for day in "${days[@]}"; do
  out=$work/$day.txt
  score=$(awk '$2 ~ /^[0-9]+\/[0-9]+$/ { print $3; exit }' "$out")
  rules=$(grep -oE '\b(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|RECOVER|OWNER|Fault)\b' "$out" | sort -u | tr '\n' ' ' || true)
  printf '%s\t%s\t%s\t%s\n' "$name" "$day" "${score:-none}" "$rules"
  printf '%-28s last %-6s now %-6s %s\n' "$day" "$(before "$day")" "${score:-none}" "$rules" >&2
done > "$work/now.tsv"
if [ "$keep" = 1 ]; then
  touch "$here/last.tsv"
  # Days that were not played now keep what they had.
  sort -t "$(printf '\t')" -k 1,2 -u "$work/now.tsv" "$here/last.tsv" > "$work/last.tsv"
  cp "$work/last.tsv" "$here/last.tsv"
fi
if [ -n "${OUT:-}" ]; then cp "$work"/*.txt "$OUT"/; fi
