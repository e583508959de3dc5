#!/usr/bin/env bash
# Starts ROUTERS routers and SIDECARS sidecars of one model as separate processes on loopback, for measurements.
# Usage: examples/fleet.sh ROUTERS SIDECARS DIR ; ends with: kill $(cut -d= -f2 DIR/pids)
set -euo pipefail
routers=$1 sidecars=$2 dir=$3
mkdir -p "$dir"
go build -o "$dir/masticway" ./cmd/masticway
head -c 24 /dev/urandom | base64 >"$dir/fleet.key"
head -c 24 /dev/urandom | base64 >"$dir/admin.token"
instances="" engines=""
for i in $(seq "$routers"); do
	instances+="{\"id\":\"router-$i\",\"role\":\"router\",\"address\":\"127.0.0.1:$((20200 + i))\"},"
done
for i in $(seq "$sidecars"); do
	instances+="{\"id\":\"sidecar-$i\",\"role\":\"sidecar\",\"address\":\"127.0.0.1:$((21000 + i))\",\"models\":[\"draft\"]},"
	engines+="{\"address\":\"127.0.0.1:$((22000 + i))\",\"capacity\":64,\"token_time\":\"10ms\"},"
done
echo "{\"platform_address\":\"127.0.0.1:20000\",\"instances\":[${instances%,}],\"engines\":[${engines%,}]}" >"$dir/emulator.json"
: >"$dir/pids"
launch() {
	"$dir/masticway" "$2" "$dir/$3.json" >"$dir/$3.log" 2>&1 &
	echo "$1=$!" >>"$dir/pids"
}
launch emulator emulate emulator
sleep 0.3
common="\"platform_url\":\"http://127.0.0.1:20000\",\"fleet_key_file\":\"$dir/fleet.key\",\"log_level\":\"warning\""
for i in $(seq "$sidecars"); do
	echo "{\"instance\":\"sidecar-$i\",$common,\"link_address\":\"127.0.0.1:$((21000 + i))\",\"upstream_url\":\"http://127.0.0.1:$((22000 + i))\"}" >"$dir/sidecar-$i.json"
	launch "sidecar-$i" sidecar "sidecar-$i"
done
for i in $(seq "$routers"); do
	echo "{\"instance\":\"router-$i\",$common,\"admin_token_file\":\"$dir/admin.token\",\"caller_address\":\"127.0.0.1:$((20010 + i))\",\"admin_address\":\"127.0.0.1:$((20110 + i))\",\"link_address\":\"127.0.0.1:$((20200 + i))\"}" >"$dir/router-$i.json"
	launch "router-$i" router "router-$i"
done
sleep 1
op="--router http://127.0.0.1:20111 --token-file $dir/admin.token"
"$dir/masticway" budget top-up tailoring 100000000000 $op
"$dir/masticway" catalog put examples/catalog.json $op
"$dir/masticway" contract put examples/contract-tailoring.json $op
sleep 2
