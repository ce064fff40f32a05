#!/usr/bin/env bash
# Mutation test of the soak test: removes one mechanism at a time from a copy of the
# source and expects the soak test, with the given seed, to report a problem that
# matches. Each takes about half a minute; docs/SOAK.md lists the pairs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0
make -C "$root" build >/dev/null

# without WHAT FILE SEARCH REPLACE SEED FAULT PROBLEM [FLAGS]: runs one pair. SEARCH is literal
# text in a file of core/steerer, PROBLEM a pattern that a reported problem must match, FLAGS
# more flags of the soak.
without() {
	local what=$1 file=$2 search=$3 replace=$4 seed=$5 fault=$6 problem=$7 flags=${8:-}
	local copy=$work/copy
	rm -rf "$copy"
	mkdir "$copy"
	(cd "$root" && git ls-files -co --exclude-standard -- '*.go' '*.mod' '*.sum' go.work | tar -cf - -T -) | tar -xf - -C "$copy"
	SEARCH=$search REPLACE=$replace perl -0pi -e 's/\Q$ENV{SEARCH}\E/$ENV{REPLACE}/' "$copy/core/steerer/$file"
	if cmp -s "$root/core/steerer/$file" "$copy/core/steerer/$file"; then
		echo "FAIL $what: '$search' is no longer in $file"
		failed=$((failed + 1))
		return
	fi
	(cd "$copy" && go build -o "$work/program" ./balancer)
	"$root/bin/standin" soak --program "$work/program" --seed "$seed" --only "$fault" --duration 8s --zones 2,2 $flags >"$work/report" 2>&1 || true
	if grep -q "problem: .*$problem" "$work/report"; then
		echo "ok   without $what, seed $seed finds: $(grep -m1 -o "$problem.*" "$work/report")"
		passed=$((passed + 1))
	else
		echo "FAIL $what: seed $seed does not find it: $(head -3 "$work/report")"
		failed=$((failed + 1))
	fi
	if grep -q '^  logs: ' "$work/report"; then
		rm -rf "$(sed -n 's/^  logs: //p' "$work/report")"
	fi
}

without "the target's tag" forwarding.go 'to, ok := s.targets.byTag[p.Tag]' 'to, ok := s.chooseTarget(placement{service: "ledger", hash: key.hash()}), true' 31 reload 'ran [0-9]* times\|after the last fault\|another service\|of a flow'
without "resets of what may run again only" health.go '!f.awaitingResponse && f.queued == nil || !f.route.Kind.retryable()' '!f.awaitingResponse && f.queued == nil' 32 crashTarget 'was reset though it may have run'
without "flows away from draining targets" target_selection.go 'case t.Draining || s.excludedAsMissing(t) ||' 'case s.excludedAsMissing(t) ||' 33 replaceTarget 'drain'
without "reads of later versions" platformread.go 'if s.due(settings, rank,' 'if s.settings == nil && s.due(settings, rank,' 34 publish 'has not put version'
without "orders to evacuate zones" target_selection.go 'case view.evacuated:' 'case false && view.evacuated:' 35 evacuateZone 'its zone was to be evacuated'
without "the age limit of failed checks" health.go 'if t.health.unreachableDeadline.Passed(s.now) {' 'if false {' 39501 cutEvacuatedTarget 'was reset while its target responds' '--cuts --targets 4'

echo "$passed passed, $failed failed"
test "$failed" -eq 0
