#!/bin/sh
# rwfront on real sockets with organisations and keys: single requests, queries,
# queries left to a larger daemon, and parts left to another data centre.  Guards
# against requests without a valid key that are served, against keys that reach
# targets or logs, against targets that are told another organisation or none, and
# against a revoked key that is still served.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

SHARDS=8
# When a revoked key must be refused everywhere.
REVOCATION_S=5

# Prints the configuration of VERSION with the list of organisations.
config() {
	list=$(seq -f '"shard%g"' 0 $((SHARDS - 1)) | paste -sd, -)
	cat <<END
{"version":$1,"routes":[
{"name":"all","hostname":"site.example","prefix":"/all/","type":"safe",
 "timeoutMs":1500,"targetLatencyMs":150,"priority":1,"maxAttempts":2,"topK":20,
 "minShardShare":0.75,"gather":[$list]},
{"name":"safe","hostname":"site.example","prefix":"/safe/","type":"safe",
 "timeoutMs":2000,"targetLatencyMs":300,"priority":2,"maxAttempts":2,
 "service":"one"},
{"name":"open","hostname":"site.example","prefix":"/open/","type":"safe",
 "timeoutMs":2000,"targetLatencyMs":300,"priority":2,"maxAttempts":2,
 "service":"one","public":true}],
"services":[],"tenants":[$2]}
END
}
ALPHA='{"name":"alpha","apiKeys":["key-alpha-1","key-alpha-2"],"priority":1}'
ALPHA_LESS='{"name":"alpha","apiKeys":["key-alpha-1"],"priority":1}'
BETA='{"name":"beta","apiKeys":["key-beta"],"priority":2}'

# Sends request ID for PATH to daemon N with the headers after it, and prints the
# status.
call() {
	id=$1 path=$2 n=$3
	shift 3
	curl -s -m 9 -o "$DIR/body" -D "$DIR/head" -w '%{http_code}' "$@" \
	    -H 'Host: site.example' -H "X-Redwingfork-Request-Id: $id" \
	    -H 'X-Redwingfork-Deadline-Ms: 1500' "http://$NET.$n:8104$path"
}
bearer() { echo "Authorization: Bearer $1"; }

start_site --shards $SHARDS --singles 4
# 1 and 3 are large, 2 leaves queries to 1; 3 is in the other data centre.
start_front 1 1
start_front 2 0.1
start_front 3 1 dc-b
for n in 1 2 3; do await "daemon $n is ready" ready $n; done
control PUT /item/op/config "$(config 2 "$ALPHA,$BETA")" >/dev/null
refused() { [ "$(call "no-$(date +%N)" /safe/x "$1")" = 401 ]; }
for n in 1 2 3; do await "daemon $n asks for keys" refused $n; done

ADMITTED=$(control GET /organisation/)
expect "an unknown key" "$(call k-1 /safe/x 1 -H "$(bearer nobody)")" 401
expect "another scheme" "$(call k-2 /safe/x 1 -H 'Authorization: Basic eA==')" 401
expect "an empty key" "$(call k-3 /safe/x 1 -H 'Authorization: Bearer ')" 401
expect "two keys" "$(call k-4 /safe/x 1 -H "$(bearer key-beta)" \
    -H "$(bearer key-beta)")" 401
expect "a key of 8 KB" "$(call k-5 /safe/x 1 \
    -H "$(bearer "$(head -c 8000 /dev/zero | tr '\0' k)")")" 401
expect "a query without a key" "$(call k-6 /all/x 2)" 401
expect "an organisation that a caller names" \
    "$(call k-7 /safe/x 1 -H 'X-Redwingfork-Tenant: alpha' \
    -H 'X-Rwf-Organisation: alpha')" 401
expect "a public route" "$(call p-1 /open/x 1 -H 'X-Redwingfork-Tenant: alpha')" 200
expect "requests in the name of none" "$(control GET /organisation/)" \
    $((ADMITTED + 1))
expect "requests in the name of alpha" "$(control GET /organisation/alpha)" 0

expect "a valid key" "$(call a-1 /safe/x 1 -H "$(bearer key-alpha-2)" \
    -H 'X-Redwingfork-Tenant: beta')" 200
expect "its organisation" "$(control GET /organisation/alpha)" 1
for n in 1 2 3; do
	before=$(control GET /organisation/beta)
	expect "a query at daemon $n" \
	    "$(call "q-$n" /all/x "$n" -H "$(bearer key-beta)")" 200
	expect "its missing parts" "$(missing)" 0
	[ "$(control GET /organisation/beta)" -ge $((before + SHARDS)) ] ||
	    fail "parts were sent in the name of another organisation"
done
relayed() { lines q-2 | grep -q 'at=peer-'; }
await "daemon 2 left its query to a larger one" relayed

# Most shards have targets in the other data centre only.
for i in 0 1 2 3 4 5; do control POST /searcher/s$i-0/stop; done
sleep 4
before=$(control GET /organisation/beta)
for i in 1 2 3 4; do
	expect "a query over two data centres" \
	    "$(call "d-$i" /all/x 1 -H "$(bearer key-beta)")" 200
done
[ "$(metric 3 rwf_subqueries_served_total)" -gt 0 ] ||
    fail "no parts were left to a delegate"
[ "$(control GET /organisation/beta)" -ge $((before + 4 * SHARDS - 4)) ] ||
    fail "a delegate sent parts in the name of another organisation"
expect "requests in the name of none" "$(control GET /organisation/)" \
    $((ADMITTED + 1))
expect "requests with a key at targets" "$(control GET /keys)" 0

# A revoked key, also on a connection that is kept.
(
	for i in $(seq 60); do
		printf 'url = "http://%s.1:8104/safe/x"\n' "$NET"
		printf 'header = "Host: site.example"\n'
		printf 'header = "X-Redwingfork-Request-Id: kept-%s"\n' "$i"
		printf 'header = "%s"\n' "$(bearer key-alpha-2)"
		printf 'output = "/dev/null"\nwrite-out = "%%{http_code}\\n"\n'
		[ "$i" -eq 60 ] || echo next
	done
) >"$DIR/kept.curl"
curl -s -m 30 --rate 10/s -K "$DIR/kept.curl" >"$DIR/kept" &
LOAD=$!
PIDS="$PIDS $LOAD"
sleep 1
control PUT /item/op/config "$(config 3 "$ALPHA_LESS,$BETA")" >/dev/null
sleep $REVOCATION_S
for n in 1 2 3; do
	expect "a revoked key at daemon $n" \
	    "$(call "r-$n" /safe/x "$n" -H "$(bearer key-alpha-2)")" 401
	expect "another key of the organisation at daemon $n" \
	    "$(call "s-$n" /safe/x "$n" -H "$(bearer key-alpha-1)")" 200
done
wait $LOAD
expect "the last answer on a kept connection" "$(tail -n 1 "$DIR/kept")" 401
grep -q 200 "$DIR/kept" || fail "no request was served before"

# A configuration that cannot be right does not replace the one in force.
control PUT /item/op/config "$(config 4 "$ALPHA_LESS,$ALPHA_LESS")" >/dev/null
refused_config() { grep -q 'config: refused: .*name of another organisation' "$DIR/vm-1.log"; }
await "an organisation that stands twice is refused" refused_config
expect "the version in force stays" \
    "$(call t-1 /safe/x 1 -H "$(bearer key-alpha-1)")" 200

# Keys are neither in logs nor in what the admin port says.
for n in 1 2 3; do
	for path in /metrics /held; do
		curl -s -m 2 "http://$NET.$n:8108$path" >>"$DIR/admin"
	done
done
expect "keys in logs and answers" \
    "$(cat "$DIR"/vm-*.log "$DIR/admin" | grep -c -e key-alpha -e key-beta)" 0
expect "requests with a key at targets" "$(control GET /keys)" 0
