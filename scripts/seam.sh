#!/bin/bash
# Checks the boundary of platform/: no code outside uses the platform's names,
# and platform/ only translates: it opens no socket, keeps no state, reads no
# clock, waits for nothing and decides nothing. Prints each violation; exits 1 when there are any.
set -u
cd "$(dirname "$0")/.."
wrong=0

# Names of header fields, record fields and kinds that only platform/ may use.
names='Request-Id|Server-Stamp|Prompt-Prefix|Token-Count|Expect-Instance'
names+='|Kv-From|Kv-Backup|Kv-Fetch|Kv-Hold|Not-Run|KvHandle|Deadline-Ms'
names+='|PathPrefix|TimeoutMs|SloMs|GapTargetMs|KvTokens|KvHoldS|ColdLeftMs'
names+='|HealthPath|MaxConns|MaxHeaderBytes|IdleTimeoutMs|WaitMs'
names+='|objects/servers|config/main|kv-handle|/report|SwitchS|ExpectRev'
names+='|Server-Limit|Server-Leaving|Api-Key|ApiKeys|RatePerS|PlainTokens|RevokeMs|QuotaSlack'
if git grep -nE "\"([^\"]*[^-A-Za-z\"])?($names)[^\"]*\"" -- account core http router dialect io wire \
  conf daemon cli include; then
  echo "names of the platform outside platform/ (above)"
  wrong=1
fi

# Calls that a dialect must not make.
acts='socket\(|connect\(|bufferevent|evbuffer|event_(new|add|base)'
acts+='|evhttp|evtimer|gettimeofday|clock_gettime|g_get_monotonic_time'
acts+='|g_timeout|g_rand|sleep\('
if grep -nE "$acts" platform/*.[ch]; then
  echo "platform/ does input or output, or reads a clock (above)"
  wrong=1
fi

# It keeps no state: every static that is not a function must be constant.
if grep -nE '^ *static ' platform/*.c | grep -vE 'const|\('; then
  echo "platform/ keeps state (above)"
  wrong=1
fi
exit $wrong
