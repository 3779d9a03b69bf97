#!/bin/sh
# rwfctl check against the configuration in force at two daemons.  Guards
# against a document that the tool accepts and the daemons refuse, a version in
# force that is not the one compared with, keys that leave a daemon, and wrong
# exit statuses.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

# Writes a configuration to FILE: VERSION RATE KEY...
write_config() {
	version=$1
	rate=$2
	shift 2
	keys=$(printf '"%s",' "$@")
	cat <<EOF
{"version":$version,
 "routes":[{"name":"safe","hostname":"site.example","prefix":"/safe/",
   "type":"safe","timeoutMs":2000,"targetLatencyMs":300,"service":"one"}],
 "services":[{"name":"one","maxConnections":200}],
 "tenants":[{"name":"alpha","apiKeys":[${keys%,}],"ratePerS":$rate}]}
EOF
}

# Runs rwfctl check OPTION... FILE; its output is in $DIR/out.
check() {
	timeout 20 $BIN/rwfctl check "$@" >"$DIR/out" 2>&1
	status=$?
	! grep -q 'secret' "$DIR/out" || fail "a key is printed"
	echo $status
}

in_force() {
	curl -s -m 2 "http://$NET.$1:8108/config" | grep -q "\"version\":$2,"
}

start_site
for n in 1 2; do
	start_front $n 1
	eval "VM$n=$PID"
done
for n in 1 2; do
	await "daemon $n is ready" ready $n
done

# Files alone.
expect "a file that is missing" "$(check "$DIR/none.json")" 2
echo 'target a slots=0 # x' >"$DIR/rules"
expect "rules with an error" "$(check "$DIR/rules")" 2
echo 'target a # x' >"$DIR/rules"
expect "rules" "$(check "$DIR/rules")" 0
expect "rules on standard input" "$(check - <"$DIR/rules")" 0
expect "JSON on standard input" "$(echo '{"version":1}' | check --json -)" 2
grep -q '"path": "routes"' "$DIR/out" || fail "JSON: $(cat "$DIR/out")"
DAEMONS=$NET.1:8108,$NET.2:8108

write_config 2 50 secret-1 secret-2 >"$DIR/two.json"
write_config 3 20 secret-2 secret-3 >"$DIR/three.json"
sed 's/"timeoutMs":2000/"timeoutMs":0/; s/"ratePerS":20/"ratePerS":-1/' \
    "$DIR/three.json" >"$DIR/bad.json"
control PUT /item/op/config "$(cat "$DIR/two.json")" >/dev/null
for n in 1 2; do
	await "version 2 is in force at daemon $n" in_force $n 2
	curl -s -m 2 "http://$NET.$n:8108/config" >"$DIR/config.$n"
	! grep -q 'secret\|apiKeys' "$DIR/config.$n" || fail "a key leaves a daemon"
	grep -q 'rwfKeyDigests' "$DIR/config.$n" || fail "no digests"
done

expect "the version in force" "$(check -d "$DAEMONS" "$DIR/two.json")" 0
grep -q 'compared with version 2, which 2 of 2 daemons have: 0 changes' \
    "$DIR/out" || fail "the version in force differs: $(cat "$DIR/out")"

expect "a new version" "$(check --strict -d "$DAEMONS" "$DIR/three.json")" 0
for line in 'change: version: changed from 2 to 3' \
    'effect: tenants\[0\].ratePerS: quota of "alpha" lowered from 50 to 20' \
    'effect: tenants\[0\].apiKeys: key f7e7c36e of organisation "alpha" is re' \
    'which 2 of 2 daemons have: 4 changes'; do
	grep -q "$line" "$DIR/out" || fail "no '$line' in: $(cat "$DIR/out")"
done

expect "errors" "$(check -d "$DAEMONS" "$DIR/bad.json")" 2
message=$(sed -n 's/.*:[0-9]*: error: //p' "$DIR/out" | head -n 1)
control PUT /item/op/config "$(cat "$DIR/bad.json")" >/dev/null
refused() { grep -q 'refused: .*reason="'"$1"'"' "$DIR/vm-1.log"; }
pattern=$(echo "$message" | sed 's/[][]/\\&/g')
await "the daemon refuses it with '$message'" refused "$pattern"
in_force 1 2 || fail "the version in force changed"
expect "beside a refused version" "$(check -d "$DAEMONS" "$DIR/three.json")" 0
grep -q 'version 2, which 2 of 2 daemons have: 4 changes' "$DIR/out" ||
    fail "the version in force is not compared: $(cat "$DIR/out")"

control PUT /item/op/config "$(cat "$DIR/three.json")" >/dev/null
for n in 1 2; do
	await "version 3 is in force at daemon $n" in_force $n 3
done
expect "an old version" "$(check --strict -d "$DAEMONS" "$DIR/two.json")" 1
kill "$VM2"
wait "$VM2"
expect "one daemon" "$(check --strict -d "$DAEMONS" "$DIR/three.json")" 0
grep -q 'which 1 of 2 daemons have' "$DIR/out" || fail "$(cat "$DIR/out")"
kill "$VM1"
wait "$VM1"
expect "no daemon" "$(check -t 500 -d "$DAEMONS" "$DIR/three.json")" 3
