# stack.sh
# Starts and stops a whole deployment on loopback; demo.sh and compare.sh
# source this file.
#   stack_up EXAMPLE ENTRIES BASE_PORT DATA_CENTRE...
#       starts the stand-ins and daemons of examples/EXAMPLE
#   stack_ready ADDRESS   waits up to 10 s until an instance is ready
#   stack_down            stops what stack_up started, deletes STACK_DIR
# Sets STACK_DIR (the folder of settings and logs) and STACK_PLATFORM (the
# platform's address).

BUILD=${BUILD:-build}
STACK_PIDS=

stack_settings() { # entry number, data centre, base port
  cat <<Y
data_centre: $2
callers: 127.0.0.1:$(($3 + 100 + $1))
rpc: 127.0.0.1:$(($3 + $1))
operators: 127.0.0.1:$(($3 + 200 + $1))
platform: $STACK_PLATFORM
peers: [127.0.0.1:$3, 127.0.0.1:$(($3 + 1))]
instance_network: 127.0.0.0/8
log_file: $STACK_DIR/entry-$1.log
log_level: ${STACK_LOG:-info}
Y
}

# Starts an instance and writes its process id to STACK_DIR/entry-N.pid.
stack_entry() { # entry number
  "$BUILD/madderpierd" "$STACK_DIR/entry-$1.yaml" &
  echo $! >"$STACK_DIR/entry-$1.pid"
  STACK_PIDS="$STACK_PIDS $!"
}

stack_up() { # example, entries, base port, data centres...
  local example=$1 n=$2 base=$3 i dcs
  shift 3
  dcs=("$@")
  STACK_DIR=$(mktemp -d)
  STACK_PLATFORM=127.0.0.1:$((base + 399))
  "$BUILD/standin-platform" "$STACK_PLATFORM" \
    "examples/$example/instances.json" &
  STACK_PIDS="$STACK_PIDS $!"
  "$BUILD/standin-engine" "examples/$example/instances.json" &
  STACK_PIDS="$STACK_PIDS $!"
  for ((i = 0; i < n; i++)); do
    stack_settings "$i" "${dcs[$((i % ${#dcs[@]}))]}" "$base" \
      >"$STACK_DIR/entry-$i.yaml"
    stack_entry "$i"
  done
}

stack_ready() { # operators' address
  local i
  for ((i = 0; i < 200; i++)); do
    curl -sf "http://$1/ready" >/dev/null && return 0
    sleep 0.05
  done
  echo "instance at $1 did not become ready" >&2
  return 1
}

stack_down() {
  # shellcheck disable=SC2086
  [ -z "$STACK_PIDS" ] || kill $STACK_PIDS 2>/dev/null
  # shellcheck disable=SC2086
  wait $STACK_PIDS 2>/dev/null
  STACK_PIDS=
  rm -rf "$STACK_DIR"
}
