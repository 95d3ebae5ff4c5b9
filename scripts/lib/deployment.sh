# Starts a small deployment on loopback for the demo and for measurements.
# Usage: source it, call deployment_start, and deployment_stop at the end.
#
# Two regions, four availability zones, six entry hosts; stand-ins for the
# platform and for the backend servers. Ports 18000 to 18999 are used.

DEPLOYMENT_PLATFORM=127.0.0.1:18000
DEPLOYMENT_BACKEND_CONTROL=127.0.0.1:18001
# name region zone, in the order of the hosts' ports
DEPLOYMENT_HOSTS=(
  "entry-1 utara utara-a" "entry-2 utara utara-a"
  "entry-3 utara utara-b" "entry-4 utara utara-b"
  "entry-5 selatan selatan-a" "entry-6 selatan selatan-b")

# Ports of host number $1 (from 1).
caller_port() { echo $((18100 + $1)); }
admin_port() { echo $((18200 + $1)); }
peer_port() { echo $((18300 + $1)); }

# Prints the servers of a service as YAML.
# usage: write_servers NAME FIRST_PORT COUNT ZONE...
write_servers() {
  local name=$1 port=$2 count=$3
  shift 3
  local zones=("$@") i
  for ((i = 0; i < count; i++)); do
    echo "      - {name: $name-$((i + 1)), zone: ${zones[i * ${#zones[@]} / count]}," \
      "endpoint: \"127.0.0.1:$((port + i))\"}"
  done
}

# Prints the object set, with the zones in $DEPLOYMENT_ZONES_OUT out of service.
write_objects() {
  local zone state
  echo "regions: [{name: utara}, {name: selatan}]"
  echo "zones:"
  for zone in utara-a utara-b selatan-a selatan-b; do
    state=true
    [[ " ${DEPLOYMENT_ZONES_OUT:-} " == *" $zone "* ]] && state=false
    echo "  - {name: $zone, region: ${zone%-*}, in_service: $state}"
  done
  cat <<EOF
services:
  - name: tally-reads
    slots_per_server: 3
    connections_per_server: 260
    servers:
$(write_servers tally 18400 ${DEPLOYMENT_TALLY_SERVERS:-8} utara-a utara-b selatan-a selatan-b)
  - name: ledger-adjustments
    slots_per_server: 3
    connections_per_server: 260
    servers:
$(write_servers ledger 18500 4 utara-a utara-b)
  - name: catalogue-downloads
    work_class: heavy
    slots_per_server: 3
    connections_per_server: 260
    servers:
$(write_servers catalogue 18600 4 utara-a utara-b selatan-a selatan-b)
routes:
  - {name: tally, path_prefix: /tally, methods: [GET], service: tally-reads,
     idempotent: true, deadline: 2s}
  - {name: adjustments, path_prefix: /adjustments, methods: [POST],
     service: ledger-adjustments, home_regions: [utara], deadline: 5s}
  - {name: catalogues, path_prefix: /catalogues, methods: [GET],
     service: catalogue-downloads, idempotent: true, deadline: 2m}
organisations:
  - {name: shops, weight: 3}
  - {name: auditors}
limits:
  resend_window: ${DEPLOYMENT_RESEND_WINDOW:-2s}
EOF
}

write_host_list() {
  local i name region zone separator=""
  echo '{"hosts": ['
  for ((i = 1; i <= ${#DEPLOYMENT_HOSTS[@]}; i++)); do
    read -r name region zone <<<"${DEPLOYMENT_HOSTS[i - 1]}"
    echo "$separator{\"name\": \"$name\", \"region\": \"$region\", \"zone\": \"$zone\"," \
      "\"peer_endpoint\": \"127.0.0.1:$(peer_port $i)\", \"state\": \"live\"}"
    separator=","
  done
  echo '], "servers": []}'
}

write_fleet() {
  cat <<EOF
control_port: 18001
groups:
  - {name: tally, count: ${DEPLOYMENT_TALLY_SERVERS:-8}, first_port: 18400, slots: 3,
     service_mean_ms: ${DEPLOYMENT_TALLY_MS:-8}, tail_share: ${DEPLOYMENT_TALLY_TAIL:-0.02}}
  - {name: ledger, count: 4, first_port: 18500, slots: 3, service_mean_ms: 8}
  - {name: catalogue, count: 4, first_port: 18600, slots: 3, service_mean_ms: 8,
     answer_bytes: 2000000}
EOF
}

write_host_settings() {
  local number=$1 name region zone
  read -r name region zone <<<"${DEPLOYMENT_HOSTS[number - 1]}"
  cat <<EOF
name: $name
region: $region
zone: $zone
caller_listen: "127.0.0.1:$(caller_port "$number")"
admin_listen: "127.0.0.1:$(admin_port "$number")"
peer_listen: "127.0.0.1:$(peer_port "$number")"
platform: "$DEPLOYMENT_PLATFORM"
peer_keys: ["key-of-the-local-deployment"]
log_path: "$DEPLOYMENT_DIR/$name.log"
log_routine_lines_per_second: ${DEPLOYMENT_LOG_LINES:-200}
stop_wait: 30s
EOF
}

# Starts program $2... in the background, with its output in the file $1.out.
start_program() {
  local name=$1
  shift
  "$@" >"$DEPLOYMENT_DIR/$name.out" 2>&1 &
  DEPLOYMENT_PIDS+=($!)
}

start_host() {
  local number=$1
  write_host_settings "$number" >"$DEPLOYMENT_DIR/entry-$number.yaml"
  start_program "entry-$number" build/bin/heatherlatch-entry \
    --settings "$DEPLOYMENT_DIR/entry-$number.yaml"
  DEPLOYMENT_HOST_PIDS[number]=$!
}

# Waits until every host is ready, up to 30 s for each.
wait_until_ready() {
  local i tries
  for ((i = 1; i <= ${#DEPLOYMENT_HOSTS[@]}; i++)); do
    for ((tries = 0; tries < 300; tries++)); do
      curl -sf -o /dev/null "http://127.0.0.1:$(caller_port $i)/heatherlatch/v1/ready" && break
      sleep 0.1
    done
  done
}

deployment_start() {
  DEPLOYMENT_DIR=$(mktemp -d)
  DEPLOYMENT_PIDS=()
  DEPLOYMENT_HOST_PIDS=()
  write_objects >"$DEPLOYMENT_DIR/objects.yaml"
  write_host_list >"$DEPLOYMENT_DIR/hosts.json"
  write_fleet >"$DEPLOYMENT_DIR/fleet.yaml"
  start_program backend build/bin/standin-backend \
    --fleet "$DEPLOYMENT_DIR/fleet.yaml"
  start_program platform build/bin/standin-platform --port 18000 \
    --configuration "$DEPLOYMENT_DIR/objects.yaml" \
    --hosts "$DEPLOYMENT_DIR/hosts.json"
  local i
  for ((i = 1; i <= ${#DEPLOYMENT_HOSTS[@]}; i++)); do start_host $i; done
  wait_until_ready
}

# Publishes the object set again, with the present values of DEPLOYMENT_*.
deployment_publish() {
  write_objects | curl -sf -o /dev/null --data-binary @- \
    "http://$DEPLOYMENT_PLATFORM/standin/configuration"
}

# Stops every process gracefully, entry hosts first.
# @return 0 if every entry host stopped with exit code 0
deployment_stop() {
  local status=0 pid i
  for ((i = ${#DEPLOYMENT_PIDS[@]} - 1; i >= 2; i--)); do
    kill -TERM "${DEPLOYMENT_PIDS[i]}" 2>/dev/null || true
  done
  for ((i = ${#DEPLOYMENT_PIDS[@]} - 1; i >= 2; i--)); do
    wait "${DEPLOYMENT_PIDS[i]}" || status=1
  done
  for pid in "${DEPLOYMENT_PIDS[@]:0:2}"; do
    kill -TERM "$pid" 2>/dev/null || true
    wait "$pid" || true
  done
  return $status
}
