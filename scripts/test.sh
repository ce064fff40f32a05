#!/usr/bin/env bash
# test.sh FILE MODULE...: runs all tests of the modules but those that FILE lists as known to
# fail; FILE may be empty. Each line of FILE is an entry:
#
#	TestName: command, seed, what was seen, issue
#	TestName/case: ...
#	core/steerer.TestName: ... (if several packages have a test of that name)
#	name (no test of CI): ... (runs by hand, so that there is nothing to skip)
set -euo pipefail
cd "$(dirname "$0")/.."
file=$1
shift
patterns=("${@/#/./}")
patterns=("${patterns[@]/%//...}")
# skip maps each package with known failures to the pattern for go test -skip.
declare -A skip=()

# listTests prints a line "PACKAGE TEST" for each test of the modules.
listTests() {
	go test -list '^(Test|Fuzz|Example)' "${patterns[@]}" | awk '
		/^(Test|Fuzz|Example)/ { tests[n++] = $1; next }
		$1 == "ok" { for (i = 0; i < n; i++) print $2, tests[i] }
		{ n = 0 }'
}

# skipTest NAME: adds the pattern of one test to skip. The tests are in the variable tests.
skipTest() {
	local name=$1 package="" found
	if [[ $name =~ ^(.+)\.((Test|Fuzz|Example).*)$ ]]; then
		package=${BASH_REMATCH[1]}
		name=${BASH_REMATCH[2]}
	fi
	found=$(awk -v test="${name%%/*}" -v suffix="${package:+/$package}" '
		$2 == test && substr("/" $1, length("/" $1) - length(suffix) + 1) == suffix { print $1 }' <<<"$tests")
	case $(grep -c . <<<"$found" || true) in
	0)
		echo "$file: entry \"$1\" names no test; if it runs by hand, write \"$1 (no test of CI)\"" >&2
		return 1
		;;
	1) ;;
	*)
		echo "$file: entry \"$1\" names a test in several packages: write package.$name, with one of:" $found >&2
		return 1
		;;
	esac
	name=$(sed 's/[][\.|$(){}?+*^]/\\&/g; s|/|$/^|g' <<<"$name")
	skip[$found]=${skip[$found]:+${skip[$found]}|}^$name\$
}

if [ -s "$file" ]; then
	echo "known red, passed over:"
	cat "$file"
	names=$(awk 'NF && !/^[^ ]+ \(no test of CI\)/ { sub(/[:,]+$/, "", $1); print $1 }' "$file")
	if [ -n "$names" ]; then
		tests=$(listTests)
		while read -r name; do
			skipTest "$name"
		done <<<"$names"
	fi
fi

others=()
for package in $(go list "${patterns[@]}"); do
	[ -n "${skip[$package]:-}" ] || others+=("$package")
done
failed=0
go test "${others[@]}" || failed=1
for package in "${!skip[@]}"; do
	go test -skip "${skip[$package]}" "$package" || failed=1
done
exit "$failed"
