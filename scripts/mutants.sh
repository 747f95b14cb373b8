#!/bin/bash
# Checks that the unit tests detect the faults they guard against: takes one
# mechanism at a time out of a copy of the sources and runs the unit tests,
# which must fail.
# Ends with "N mutants caught, N missed".
#   scripts/mutants.sh [NAME...]
#   scripts/mutants.sh --stale   builds nothing; fails when a row is stale: the
#                                text that it replaces is not in its file
set -u
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
caught=0
missed=0
stale_only=
if [ "${1:-}" = --stale ]; then
  stale_only=yes
  shift
fi

# Builds and tests one mutant.
mutant() { # name, what is taken out, file, old text, new text
  local name=$1 what=$2 file=$3 old=$4 new=$5
  if [ -n "$stale_only" ]; then
    printf '%s\0' "$name" "$file" "$old" "$new" >>"$dir/rows"
    return
  fi
  rm -rf "$dir/src"
  mkdir "$dir/src"
  cp -r include account core conf wire io daemon cli standin test makefile http router \
    dialect platform "$dir/src"
  python3 - "$dir/src/$file" "$old" "$new" <<'P' || { echo "$name: STALE"; missed=$((missed + 1)); return; }
import sys
path, old, new = sys.argv[1:]
s = open(path).read()
if old not in s:
    sys.exit(1)
open(path, "w").write(s.replace(old, new))
P
  if ! make -s -C "$dir/src" -j8 build/unit WARN=-w WARNXX=-w \
    >"$dir/log" 2>&1; then
    echo "$name: DOES NOT BUILD"
    tail -5 "$dir/log"
    missed=$((missed + 1))
    return
  fi
  rm -f "$dir"/out.*
  for i in 0 1 2 3 4 5 6 7; do
    GTEST_TOTAL_SHARDS=8 GTEST_SHARD_INDEX=$i timeout 300 \
      "$dir/src/build/unit" --gtest_brief=1 >"$dir/out.$i" 2>&1 &
  done
  wait
  local n
  n=$(cat "$dir"/out.* | grep -ciE ': Failure$|assertion failed')
  if [ "$n" -gt 0 ]; then
    caught=$((caught + 1))
    printf '%-14s caught, %5d failures: %s\n' "$name" "$n" "$what"
    cat "$dir"/out.* | grep -oE '[0-8]: [a-z][^0-9<]*' | sed 's/ *$//' |
      sort | uniq -c | sort -rn | head -3
  else
    missed=$((missed + 1))
    printf '%-14s MISSED: %s\n' "$name" "$what"
  fi
}

is_wanted() { # name
  [ ${#only[@]} = 0 ] && return 0
  local o
  for o in "${only[@]}"; do [ "$o" = "$1" ] && return 0; done
  return 1
}

only=("$@")
m() { is_wanted "$1" && mutant "$@"; }

m place "0: requests run only in the data centres that rules allow" core/place.c \
  'if (strcmp(r->run_in[i], dc) == 0)' 'if (1)'
m orphan "1: the keeper cancels orphaned work only after a grace period" core/keep.c \
  'if (state->now - *first < MP_ORPHAN_GRACE)' 'if (1)'
m cancel "1: work is cancelled when its caller has gone" core/ending.c \
  'if (a->sent && a->role != MP_ROLE_PLAIN)' 'if (0)'
m home "2: the home rejects an ID that another request holds" core/claim.c \
  'if (r != NULL && !state_token_equal(&r->token, &c->token)) {' 'if (0) {'
m settle "2: a new home waits for announcements of the holders" core/claim.c \
  'if (!is_home_settled(state, c->id)) {' 'if (0) {'
m announce "2: holders announce their IDs to a new home" core/claim.c \
  'if (home == 0 || home == held->home)' 'if (1)'
m index "3: pieces with a lower index are dropped" core/answer.c \
  'if (e->index < r->got) {' 'if (0) {'
m whole "3: the end of an answer is checked against the count of tokens" core/answer.c \
  'if (e->tokens != r->got) {' 'if (0) {'
m silent "3: a stalled stream is ended" core/answer.c \
  'timer_arm(&state->timers, &r->timer, state->now + MP_STREAM_TIMEOUT,
            on_stall_timeout, r);' ';'
m ran "4: work that was dispatched is reported as possibly run" core/work.c \
  'r->ran = MP_RAN_UNKNOWN;
  a->sent = 1;' 'a->sent = 1;'
m notrun "4: a lost call is not treated as one that did not run" core/work.c \
  'return w == CALL_FAILURE_REFUSED || w == CALL_FAILURE_CONNECT;' 'return 1;'
m durable "5: the claim is written before the dispatch" core/claim.c \
  'if (c->durable) {' 'if (0) {'
m repeat "5: what may have run is not retried unless it is repeatable" core/ending.c \
  '(!clean && !r->repeatable) ||' ''
m readback "5: after a conflict the claims are read again" core/shard.c \
  'answer_decided(state, s);
  if (s->pending->len > 0)' 'if (s->pending->len > 0)'
m leaving "6: an endpoint that reports that it is leaving is recognised" core/keep.c \
  'if (l->leaving && !e->leaving) {' 'if (0) {'
m drain "7: a drain waits for requests in flight" core/state.c \
  'if (state->requests->len == 0 && cancel_pending_count(state) == 0 &&' 'if ('
m version "8: only a higher version of the configuration is accepted" core/doc.c \
  'if (c->manifest.version <= state->doc[MP_DOC_CONFIG].version) {' 'if (0) {'
m kvgone "3: a prefill that is not needed is ended before the next" \
  core/ending.c '  flow_end_attempt(state, r, &r->prefill);
  if (!flow_policy(state)->decode_first' '  if (!flow_policy(state)->decode_first'
m longs "long prompts are recognised, so short work does not wait behind them" core/keep.c \
  'return h->role == MP_ROLE_PREFILL && h->tokens >= MP_LONG_PROMPT_MIN;' \
  'return 0;'
m pause "a home that was paused does not trust its older knowledge" core/state.c \
  'member_on_pause(state);' ''
# routed requests (router/, http/, platform/)
m r-once "TWICE: a request that is not repeatable does not run twice" router/outcomes.c \
  'return request->repeatable && request->runs < request->route->attempts;' \
  'return 1;'
m r-promise "REFUSED: an open run counts as possibly run" router/finish.c \
  '(request->phase == PHASE_RUN && request->open.number != 0);' '0;'
m r-count "REFUSED: a broken run counts as run" router/outcomes.c \
  '  request->runs++;
  if (endpoint != NULL)' '  if (endpoint != NULL)'
m r-back "CONFIG: an older version is not accepted" router/router.c \
  'routes->version <= router->routes->version' '0'
m r-budget "BUDGET: extra attempts are limited by the window" router/retry_budget.c \
  'if (left < 1 || budget->period_taken >= budget->period_quota)' 'if (0)'
m r-young "BUDGET: an instance younger than the window has no slack" router/retry_budget.c \
  'return now - policy->born < policy->window;' 'return FALSE;'
m r-others "BUDGET: extra attempts of other instances count" router/retry_exchange.c \
  'more.extras = counter_growth(' 'more.extras = 0 * counter_growth('
m r-part "BUDGET: an instance spends at most an equal share in a period" router/retry_budget.c \
  'double share = MAX(left, 0) / sharing;' \
  'double share = MAX(left, 0) + 0 * sharing;'
m r-silent "rates: a failed answer without a rate does not end the rate" io/endpoint_call.c \
  'return status >= 200 && status < 300 && !call->head_info.not_run &&' \
  'return'
m r-lease "ONE: a lease of another instance is waited for" router/lease.c \
  'if (!lease->known || now < takeover_allowed_at(lease))' \
  'if (!lease->known)'
m r-lapse "ONE: a lease counts from the start of the call" router/lease.c \
  'lease->held_until = lease->sent_at' 'lease->held_until = now'
m r-unheard "ONE: a call without an answer gives no lease" router/lease.c \
  'if (wrote && reply->status == STORE_OK && lease->own)' 'if (lease->own)'
m r-margin "ONE: no order is sent near the end of the lease" router/stages.c \
  '!lease_is_held(&stages->lease, ORDER_MARGIN, now)' '0'
m r-fence "ONE: an order refused for a newer fence stops all orders" router/stages.c \
  'outcome->status == 412)' 'outcome->status == 1412)'
m r-named "an engine that changes its stage gets no work" router/endpoint_table.c \
  '!endpoint_is_changing_stage(table, endpoint, now);' '1;'
m r-settle "no order is sent before the measured use has settled" router/stages.c \
  'now - average->used_from < SETTLE_TIME' '0'
m r-capped "no more engines change than a digest can name" router/stages.c \
  'CHANGES_MAX - changing' 'CHANGES_MAX + 40 + 0 * changing'
m r-note "reserved capacity counts until the next digest" router/peer_loads.c \
  'peer->sequence != note->after' '1'
m r-again "a request leaves an endpoint that is overbooked" router/path.c \
  '!is_overbooked(router, request, endpoint)' '1'
m r-gone "GONE: the run is cancelled when the caller hangs up" router/finish.c \
  'path_close_dispatch(router, request, TRUE);
  admission_leave' 'path_close_dispatch(router, request, FALSE);
  admission_leave'
m r-handle "MIXED: a KV handle that two engines refused is dropped" router/outcomes.c \
  '(outcome->kind != OUTCOME_NOT_RUN || request->arrivals > 0)' \
  '(outcome->kind != OUTCOME_NOT_RUN)'
m r-resume "ORDER: a resumed stream sends no second header" router/outcomes.c \
  'if (request->head_sent)
    return;' ''
m r-drain "LOST: an instance that is stopping accepts no new request" router/router.c \
  'if (router->stopping) {' 'if (0) {'
m r-leaving "DRAIN: an endpoint that is not ready is not chosen" router/endpoint_table.c \
  'return !endpoint->record.ready ||' 'return'
m r-room "a run starts only where there is capacity" router/endpoint_table.c \
  '(query->must_fit && !has_room(table, query, endpoint)) ||' ''
m r-late "a digest that arrives out of order changes nothing" router/peer_loads.c \
  'return behind < REORDER_WINDOW;' 'return 0;'
m r-newer "CONFIG: an older revision has no effect" router/follower.c \
  '  return store_position_is_before(known->position, object->position);' \
  '  return TRUE;'
m r-list "DRAIN: a list removes the endpoints that it does not name" \
  router/endpoint_table.c 'if (g_hash_table_contains(names, endpoint->record.id))' \
  'if (1)'
m r-framing "UNASKED: ambiguous framing is refused" http/reader.c \
  'return lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0);' \
  'return 0;'
m r-event "ORDER: a partial event is not sent" http/events.c \
  'if (empty > 0)' 'if (1)'
m r-own "reserved fields of the caller are removed" platform/endpoints.c \
  'http_head_remove(head, platform_reserved_fields[i]);' ';'
m r-silence "LOST: a silent run is not ended when no other endpoint exists" router/outcomes.c \
  '!has_other_endpoint(router, request, now) ||' ''
m r-paid "LOST: a resume is charged to the budget before the run is left" router/outcomes.c \
  '!retry_exchange_try_take(router, request->service->name, now))
    return FALSE;' '0)
    return FALSE;'
m r-notrun "REFUSED: 503 alone does not mean that the request did not run" platform/endpoints.c \
  'out->not_run = out->misdirected ||' \
  'out->not_run = head->status == 503 || out->misdirected ||'
m r-handle "a request whose prompt is read waits for capacity" router/path.c \
  'if (requeue_with_handle(router, request, now) ||' \
  'if ((0 && requeue_with_handle(router, request, now)) ||'
m r-reader "a prompt is read again by the same engine" router/path.c \
  'prefill_repeat(router, request, now))
    return;' '0)
    return;'
m r-again "BUDGET: a second prefill is charged" router/path.c \
  'if (request->prefills > 0 || !prefill_begin' 'if (!prefill_begin'
m r-failed "an engine whose prefill failed is not asked again" router/prefill.c \
  ' || path_is_excluded(request, request->read_by))' ')'
m r-home "the prompt of a resumed request goes to its preferred engine" router/prefill.c \
  'query.affinity_overrides_load = request->resumes;' \
  'query.affinity_overrides_load = FALSE;'
m n-fresh "relays: a relay that gets no answers from the store does not count as fresh" \
  router/relay_group.c 'before.fresh += is_fresh(group, relay, now);' \
  'before.fresh += is_heard(relay, now);'
m n-within "relays: the age of their news is bounded by the setting" \
  router/relay_group.c 'MAX(bound, WATCH_WAIT_MIN + SLOW_ANSWER_MAX));' \
  'bound > 0 ? relay_news_age_max(times) : 0);'
m n-often "relays: they ask the store often enough to stay fresh" \
  router/news_source.c 'relay_group_watch_wait(source->group, call->kind, now));' \
  'call->wait);'
m n-standin "relays: a relay is not fresh through the news of its substitute" \
  router/relay_group.c 'return news_age_from(group, FALSE, now);' \
  'return news_age_from(group, TRUE, now);'
m n-whole "relays: a member that lacks removals gets the names of all objects" \
  router/follower.c \
  'is_same ||
               (!is_first && store_position_is_before(
                                 query->since, follower->removals_unknown_to));' \
  'is_same;'
m n-noroute "router: a route that is missing in old news is not reported as unknown" \
  router/router.c \
  'return router->news_age_max > 0 &&
         news_age(router, now) > router->news_age_max;' \
  'return FALSE;'
m n-lacks "router: an instance that lacks a change does not report unknown routes" \
  router/router.c 'router->news->lags_since != 0)' \
  'router->news->lags_since < 0)'
m n-level "relays: a relay that lacks news is not fresh" \
  router/relay_group.c 'if (!holds_all_news(group, relay))' 'if (FALSE)'
m n-again "news: a relay that failed is asked again" router/news_source.c \
  'may answer now. */
  source->must_ask_store = FALSE;' 'may answer now. */'
m n-silent "news: a call does not time out while its answer arrives" \
  router/news_source.c 'MAX(source->behind_since, source->progress_at) +' \
  'source->behind_since +'
m n-link "links: a call does not time out while its answer arrives" \
  io/store_link.c '  link->received_at = clock_now();
  start_timer(link);' '  link->received_at = clock_now();'
m n-lapsed "news: after a failure the configuration is listed, not watched" router/follower.c \
  'return follower->kind == STORE_CONFIGURATION;' \
  'return follower->kind == STORE_LEASES;'
m n-changes "news: changes are sent instead of whole texts" router/follower.c \
  'if (known->history != NULL && !in_full)' 'if (FALSE)'
m n-base "news: changes to the text of another revision have no effect" \
  router/follower.c \
  'store_position_compare(
          g_array_index(object->changes, TextChange, 0).from,
          known->position) != 0)' \
  'FALSE)'
m n-digest "news: a patch carries the checksum of its result" \
  router/text_patch.c 'ZSTD_c_checksumFlag, 1' 'ZSTD_c_checksumFlag, 0'
m n-gap "news: a history has no gap" router/text_history.c \
  'count > 0 &&
         store_position_compare(change_at(history->changes, count - 1)->to,
                                from) != 0;' \
  'FALSE;'
m n-full "news: whole texts are requested when changes do not apply" \
  router/follower.c 'follower->in_full = TRUE;' 'follower->in_full = FALSE;'
m n-pack "news: long answers are compressed" io/news_codec.c \
  'size > SHORT_ANSWER ?' 'FALSE ?'
m p-lost "prefill: an arrival after a lost prompt is charged to the budget" \
  router/prefill.c 'return retry_exchange_has_extra(router, service, now);
  return retry_exchange_try_take(router, service, now);' \
  'return retry_exchange_has_extra(router, service, now);
  return TRUE;'
m p-wait "prefill: a late prompt is not abandoned without budget for a retry" \
  router/prefill.c 'if (!may_send_again(router, request, OUTCOME_BROKEN, now)) {' \
  'if (0) {'
m p-turned "prefill: a refused prompt is sent again only within the budget" \
  router/prefill.c 'if (kind == OUTCOME_NOT_RUN)
    return retry_exchange_has_extra(router, service, now);' \
  'if (kind == OUTCOME_NOT_RUN)
    return TRUE;'
m n-step "relays: members take over one by one in an outage" \
  router/relay_group.c 'if (relay_group_relays_before(group, now).heard >= wanted)
    return wait;' ''
m n-behind "relays: a relay whose store is silent asks another relay soon" \
  router/news_source.c '#define STORE_SILENCE_MAX (300 * MP_MS)' \
  '#define STORE_SILENCE_MAX (60 * MP_SEC)'
m n-most "relays: all members take over within a second when no relay is heard" \
  router/relay_group.c 'return MIN(wait, TAKEOVER_WAIT_MAX);' \
  'return 10 * wait;'
m n-back "news: an older list does not restore a removed object" \
  router/follower.c \
  'return !store_position_is_before(at, known->changed_by) ||' \
  'return TRUE ||'
m n-old "news: an older list has no effect" router/follower.c \
  'return store_position_is_before(reply->at, follower->known);' \
  'return FALSE;'
m n-gone "news: removals are sent to other instances" router/follower.c \
  'if (is_first && known->text == NULL)' 'if (known->text == NULL)'
m n-pause "news: failures of the store do not delay calls to relays" \
  router/news_source.c '(source->follower.failures == 0 ||' '(TRUE ||'
m s-far "summaries: loads of other data centres are not added twice" \
  router/peer_loads.c 'if (peer->zone != 0 || now - peer->received_at' \
  'if (now - peer->received_at'
m s-other "summaries: only one relay of a data centre counts" router/peer_loads.c \
  'if (peer == kept || peer->zone != kept->zone)' 'if (TRUE)'
m s-first "summaries: the first totals of a relay count as no spending" \
  router/retry_exchange.c 'i = 0; before != NULL && i < after' \
  'i = 0; i < after'
m s-anew "summaries: a counter that was reset counts as no spending" \
  router/retry_exchange.c 'return after >= before ? after - before : 0;' \
  'return after >= before ? after - before : after;'
m s-near "summaries: they contain what nearby instances reported" router/retry_exchange.c \
  'add_counts(&state->budget.near, &more);' ''
m s-late "with outdated loads requests stay in their data centre" router/endpoint_table.c \
  'return COST_OTHER_ZONE_LATE;' 'return COST_OTHER_ZONE_ENGINE;'
m a-door "accounts: an unknown key is refused" router/accounts.c \
  'account = route_table_find_account(router->routes, digest);' \
  'account = router->routes->accounts->pdata[0];'
m a-two "accounts: a request with two keys counts as without a key" router/accounts.c 'if (call->keys == 1)' \
  'if (call->keys >= 1)'
m a-again "accounts: age of the news and key are checked before each run" router/path.c \
  'return accounts_may_dispatch(router, request, why, now) &&' 'return'
m a-read "accounts, holds: age, key and holds are checked before each prefill" router/prefill.c \
  'if (!path_may_dispatch(router, request, &why, now))' 'if (FALSE)'
m a-key "accounts: a key is not passed on" platform/endpoints.c \
  '"Api-Key",' ''
m a-back "accounts: a request that did not run is refunded" router/finish.c \
  'if (is_told_not_run(kind))' 'if (FALSE)'
m p-arrival "proof: a heartbeat counts from the time when it was sent" \
  router/config_proof.c \
  'at = (gint64)beat->sent_us + clock->offset_min -' 'at = now -'
m p-known "proof: changes that the instance does not know prove nothing" \
  router/config_proof.c \
  '!knows_changes_up_to(proof, beat->changed[STORE_CONFIGURATION]))' 'FALSE)'
m p-stale "proof: an answer counts from the time when it was requested" router/news_source.c \
  'gint64 at = source->asked_at;' 'gint64 at = now;'
m l-cut "limits: they are scaled by the share of instances that are heard" router/shared_totals.c \
  'return MIN((double)sharers->heard / sharers->instances, 1.0);' 'return 1;'
m l-kill "limits: the level is unknown in the first window of an instance" \
  router/account_limits.c 'limit->is_unknown = is_in_first_window(limits, now);' \
  'limit->is_unknown = FALSE;'
m l-silent "limits: what a peer spent while it was silent is not charged" \
  router/shared_totals.c 'if (!is_known || peer->was_silent)' 'if (!is_known)'
m l-small "limits: small requests have priority" router/account_limits.c \
  'if (cost <= SMALL_REQUEST_SHARE * limit->burst)' 'if (FALSE)'
m k-large "relays: instances with the largest capacity are chosen" router/relay_group.c \
  'guint64 rank = CAPACITY_MAX - MIN(capacity, CAPACITY_MAX);' \
  'guint64 rank = 0; (void)capacity;'
m g-peak "stages: engines are not moved when prompts pause" router/stages.c \
  'use->prefill_busy = average->prefill_peak;' \
  'use->prefill_busy = average->prefill_busy;'
m d-hang "a plain endpoint that hangs becomes suspect" router/path.c \
  'request->suspect_at = now + silence_suspect_after(request);' ''
m q-refused "crash: a check that connects proves no crash" \
  router/crash_watch.c 'if (outcome->kind == OUTCOME_UNREACHABLE &&' 'if ('
m q-silent "crash: a check that fails late proves no crash" router/crash_watch.c \
  'now - watched->checked_at < REFUSAL_TIME_MAX' 'TRUE'
m q-leaving "crash: the end of a leaving worker is no crash" router/crash_watch.c \
  'if (endpoint_is_leaving(endpoint))' 'if (FALSE)'
m q-life "crash: a crash counts for one incarnation" router/crash_watch.c \
  'watched->life == life &&' ''
m q-once "hold: a crash counts once" router/quarantine.c \
  'if (find_strike(row, crash) != NULL || !make_room(row))' \
  'if (!make_room(row))'
m q-off "hold: a successful run removes a strike" router/quarantine.c \
  'row->strikes[i].is_off = TRUE;
  if (strike_count(row) == 0)' 'if (strike_count(row) == 0)'
m q-last "hold: a request with the maximum of strikes is held for ever" router/quarantine.c \
  'if (strikes >= QUARANTINE_STRIKES_MAX)
    return G_MAXINT64;
  for' 'for'
m q-store "hold: strikes are written to the store" \
  router/quarantine.c \
  'return strike_count(row) >= STORED_STRIKES_MIN && has_unstored_strike(row);' 'return FALSE;'
m q-tell "hold: instances send strikes to each other" router/quarantine.c \
  'if (now - row->learned_at >= NEWS_REPEAT_TIME ||
        !(with_received || has_own_strike(row)))' 'if (TRUE)'
m q-door "hold: a held request is not dispatched" router/suspects.c \
  'if (until == 0)
    return TRUE;' 'return TRUE;'
m q-sweep "hold: waiting requests that become held are refused at once" router/suspects.c \
  'while ((request = find_held_waiting(router, now)) != NULL)' 'while (FALSE)'
m q-account "hold: a hold applies to one client account" router/router.c \
  'if (account == NULL)
    return call->content;' 'return call->content;'
m v-later "incarnations: a later one ends the runs of an earlier one" router/lives.c \
  'while ((number = find_open_dispatch(router, id, life)) != 0)' \
  'while (FALSE)'
m v-early "incarnations: an earlier one changes nothing" router/endpoint_table.c \
  'return ENDPOINT_OUTDATED;' 'return ENDPOINT_SAME;'
m v-hash "incarnations: they differ in digests" router/endpoint_table.c \
  'seed = (guint64)record->started_unix_ms;' 'seed = 0;'
m v-loads "incarnations: loads of an earlier one do not apply to a later one" router/path.c \
  'return endpoint_table_get_incarnation(router->endpoints, open->endpoint,
                                        open->life);' \
  'return endpoint_table_get(router->endpoints, open->endpoint);'
m i-item "store: an unreadable object is known by its name" \
  platform/store.c 'is_whole ? read_content(span) : g_strdup("");' \
  'is_whole ? read_content(span) : g_strdup("");
    if (object.text != NULL && object.text[0] == 0) { out->unreadable_names++; return; }'
m i-stage "store: an unknown stage is invalid" platform/records.c \
  'else
    return FALSE;
  return TRUE;
}' 'else
    *out = STAGE_DECODE;
  return TRUE;
}'
m n-taking "news: no call begins while a reply is handled" router/follower.c \
  'follower->open || follower->is_handling_reply ?' 'follower->open ?'
m n-seed "news: an instance without news does not count as a failure of the store" \
  router/news_source.c \
  'if (!source->at_store && !by_relay && !is_answer)' 'if (FALSE)'
m c-boot "clock: suspended time counts" io/clock.c 'CLOCK_BOOTTIME' \
  'CLOCK_MONOTONIC'
m o-first "admission: waiting time counts from the first attempt of the caller" router/admission.c \
  'request->first_attempt_at -= longest - patience;' '{}'
m o-late "admission: late requests start only if all in time have room" router/admission.c \
  'start_some(router, TRUE, now) == 0)' \
  'start_some(router, TRUE, now) != G_MAXUINT)'
m o-told "admission: requests in time at other instances come first" \
  router/admission.c 'place + peer_loads_waiting_in_time(router->endpoints->peers)' \
  'place'
m o-ends "admission: ends of requests at nearby instances free capacity" router/admission.c \
  'router->mean_end_interval / router->near' 'router->mean_end_interval'
m o-usual "admission: a caller with all the time of its route is no retry" \
  router/admission.c 'longest = MIN(longest, route->timeout);' \
  'longest = route->timeout;'
m o-window "patience: old observations expire" \
  router/patience.c 'if (age < PATIENCE_WINDOW)' 'if (TRUE)'
m o-number "input: a duration is bounded before it is converted" \
  platform/quantities.c 'duration < (double)DURATION_MAX' 'TRUE'
m o-beat "input: the clock of a heartbeat is bounded" wire/rpc.c \
  '*v <= INT64_MAX / 2' 'TRUE'
m r-peers "rates: requests that peers send are deducted" router/rate_limits.c \
  'limit->bucket.level -= increase;' \
  '(void)increase;'
m r-share "rates: the rate is shared among the instances that are heard" router/rate_limits.c \
  'double rate = effective_rate(limit) * share;' \
  'double rate = effective_rate(limit);'
m r-rivals "rates: competing requests of other instances reduce what is available" router/rate_limits.c \
  'limit->bucket.level / (1 + sharers->competing_requests)' \
  'limit->bucket.level'
m r-newest "rates: the newest answer determines the rate" router/rate_limits.c \
  'return newer_by < 0 ||' \
  'return FALSE ||'
m r-over "rates: one answer without a rate does not end it" router/rate_limits.c \
  'newer_by < RATE_END_DELAY' \
  FALSE
m r-least "rates: a rate of 0 does not block an endpoint for ever" router/rate_limits.c \
  'MAX(limit->rate, RATE_MIN)' \
  'limit->rate'
m r-begin "rates: a new rate begins without saved tokens" router/rate_limits.c \
  'limit->bucket.level = MIN(limit->bucket.level, 0);' \
  'limit->bucket.level = 50;'
m r-burst "rates: the burst is small" router/rate_limits.c \
  'share + BURST_SECONDS * rate' \
  '60 * rate'
m r-unused "rates: refunds are not reported twice" router/rate_limits.c \
  'limit->refunded++;' \
  ''
m r-sums "rates: sums contain only instances of the same data centre" router/rate_limits.c \
  'limit->peers_sent += news->zone == 0 ? increase : 0;' \
  'limit->peers_sent += increase;'
m r-told "rates: the end of a rate is reported for some time" router/rate_limits.c \
  'age > RATE_END_REPORT_TIME' \
  TRUE
m r-choice "rates: endpoints at their rate are not chosen" router/endpoint_table.c \
  '        !is_within_limits(table, query, endpoint, now))' \
  '        FALSE)'
m r-counted "rates: a run is counted once" router/prefill.c \
  '    if (request->is_decode_counted)
      rate_limits_refund(router->rates, endpoint->hash);' \
  ''
m r-reserve "rates: a run is counted when its place is reserved" router/prefill.c \
  'request->is_decode_counted =
      rate_limits_count_sent(router->rates, decode->hash);' \
  'request->is_decode_counted = FALSE;'
m r-look "rates: waiting requests are checked again" router/shortage.c \
  'router->shortage_recheck_at = now + RECHECK_INTERVAL;' \
  'router->shortage_recheck_at = 0;'
m r-life "rates: a later incarnation has no rate" router/lives.c \
  '  if (news == ENDPOINT_RESTARTED)
    rates_endpoints_changed(router);' \
  ''
m r-gone "rates: a removed endpoint has no rate" router/lives.c \
  '  endpoint_table_remove(router->endpoints, id, now);
  rates_endpoints_changed(router);' \
  '  endpoint_table_remove(router->endpoints, id, now);'
m r-refuse "rates: a shortage is recorded" router/path.c \
  'shortage_record(router, request, now);' \
  ''
m r-silent "rates: a failed answer without a rate does not end the rate" io/endpoint_call.c \
  'return status >= 200 && status < 300 && !call->head_info.not_run &&' \
  'return'
m r-number "rates: the rate must be a plain number" platform/quantities.c \
  'if (integer + fraction == 0 || *end != '"'"'\0'"'"')' \
  'if (integer + fraction == 0)'
m r-once "rates: the field must occur once" platform/endpoints.c \
  'http_head_count(head, "Server-Limit") == 1' \
  TRUE
m t-sweep "totals: silent peers are removed" router/shared_totals.c \
  '    remove_silent_peers(totals, now);' \
  ''
m b-resume "lists: reading continues after a broken item" platform/store.c \
  'return read_separable_list(response, out) || read_broken_list(response, out);' \
  'return read_separable_list(response, out);'
m b-swallow "lists: an item that contains the next one is detected" platform/broken_list.c \
  '    if (contains_next_item(item))
      return FALSE;' \
  '    if (FALSE)
      return FALSE;'
m b-early "lists: bytes after the end of a list are detected" platform/broken_list.c \
  '  return json_span_is_at_end(items);' \
  '  return TRUE;'
m b-hides "lists: unreadable bytes that may contain an object are reported" platform/store.c \
  'out->partial = list.may_hide_objects || out->unreadable_names > 0;' \
  'out->partial = FALSE;'
m b-partial "lists: a partial list removes no objects" router/follower.c \
  'follower->partial |= reply->partial;' \
  ''
m b-again "lists: a partial list is read again" router/follower.c \
  'follower->relist_at = now + PARTIAL_RELIST_DELAY;' \
  'follower->relist_at = 0;'
m b-watch "watches: after an unreadable answer the list is read" platform/store.c \
  '    out->status = STORE_HISTORY_GONE;
    return TRUE;' \
  '    out->status = STORE_FAILED;
    return FALSE;'
m v-revision "incarnations: revisions of the store order them" router/endpoint_table.c \
  'if (!store_position_is_none(record->position) &&
      !store_position_is_none(known->position) &&
      !endpoint_record_is_restored(record, known))' \
  'if (FALSE)'
m v-address "entries: an address that is not unicast is invalid" platform/records.c \
  'return *out != 0 && is_unicast(*out);' \
  'return *out != 0;'
m v-blank "entries: an address with blanks is invalid" core/text.c \
  's[strspn(s, "0123456789.:")] != '"'"'\0'"'"' ||' \
  ''
m g-round "gate: it is checked for the reserved decode engine" router/path.c \
  'gate_check(endpoint, DISPATCH_RUN, now) != GATE_OPEN)
    return NULL;' \
  'FALSE)
    return NULL;'
m g-door "gate: it is checked again at the dispatch" router/dispatcher.c \
  'if (verdict != GATE_OPEN) {' \
  'if (FALSE) {'
m g-list "gate: a list does not revoke what an endpoint reported" router/endpoint_table.c \
  '  record_copy(&endpoint->record, record);' \
  '  record_copy(&endpoint->record, record);
  if (record->ready)
    endpoint->availability.leaving_since = 0;'
m g-ready "leaving: it is recorded apart from the entry of the list" router/availability.c \
  '  known->leaving_since = MAX(now, 1);' \
  ''
m g-success "rest: a success does not end it" router/endpoint_table.c \
  '  endpoint->unreachable_streak = 0;' \
  '  endpoint->unreachable_streak = 0;
  endpoint->availability.rest_until = 0;'
m g-doubtful "gate: the choice and its fallback to a doubtful endpoint check it for a run" router/endpoint_table.c \
  'gate_check(endpoint, DISPATCH_RUN,' \
  'gate_check(endpoint, DISPATCH_CHECK,'
m g-inherit "reports: a later incarnation does not inherit them" router/endpoint_table.c \
  '  if (comparison == ENDPOINT_RESTARTED)
    drop_endpoint(table, endpoint);
  else if (comparison == ENDPOINT_SAME)' \
  '  if (comparison == ENDPOINT_RESTARTED)
    comparison = ENDPOINT_SAME;
  if (comparison == ENDPOINT_SAME)'
m g-lapse "reports: they outlast a temporary removal of the entry" router/endpoint_table.c \
  '  keep_unlisted(table, endpoint, now);' \
  ''
m g-latest "rest: the latest of several ends applies" router/availability.c \
  '  known->rest_until = MAX(known->rest_until, until);' \
  '  known->rest_until = until;'
m g-margin "rest: a margin allows for the endpoint's own clock" router/availability.c \
  '+ REST_CLOCK_MARGIN' \
  ''
m g-most "rest: its duration is bounded" router/availability.c \
  'MIN(time, REST_DURATION_MAX)' \
  'time'
m g-release "rest: only one dispatch is allowed during it" router/dispatcher.c \
  '    endpoint->availability.has_dispatch_in_rest = TRUE;' \
  ''
m g-spread "rest: retry times of callers are spread" router/shortage.c \
  '(gint64)(spread * (double)MAX(wait, RETRY_SPREAD_MIN))' \
  '0'
m g-atonce "rest: callers are refused at once when it outlasts their wait" router/admission.c \
  'if (shortage_outlasts(router, request, wait_left_max(request, now), now)) {' \
  'if (FALSE) {'
m g-look "rest: waiting requests are checked again" router/shortage.c \
  'router_resting_endpoints(router, now) > 0' \
  'FALSE'
m g-told "leaving: other instances are told" router/signals.c \
  '  out->leaving_count = 0;
  if (count' \
  '  out->leaving_count = 0;
  return;
  if (count'
m g-crash "leaving: the end of a leaving worker is no crash, whatever its entry says" router/crash_watch.c \
  'if (endpoint_is_leaving(endpoint))' \
  'if (!endpoint->record.ready)'
m g-502 "answers: an unknown outcome carries no Retry-After" router/finish.c \
  '&& is_told_not_run(kind)' \
  ''
m g-avoid "rest: a resting endpoint is not treated as unreachable" router/signals.c \
  '  if (!availability_extend_rest(known, time, now))
    return;' \
  '  endpoint->avoid_until = now + time;
  return;'
m g-setready "leaving: a report does not change the entry of the list" router/signals.c \
  '  if (!availability_set_leaving(&endpoint->availability, now))
    return FALSE;' \
  '  endpoint->record.ready = FALSE;
  return TRUE;'
m s-count "suspicions: they count before they are proved" router/suspects.c \
  'return strikes + suspected >= QUARANTINE_HOLD_STRIKES ? until : 0;' \
  'return 0;'
m s-answered "suspicions: an answer clears them" router/suspects.c \
  '  suspicions_clear_life(router->suspicions, request->open.life, now);' \
  ''
m s-told "suspicions: other instances are told" router/suspicions.c \
  '    out->suspected_n++;' \
  ''
m s-twice "suspicions: a proved crash is not counted as a suspicion too" router/suspects.c \
  'return quarantine_has_strike(quarantine, content, life);' \
  'return FALSE;'
m s-life "suspicions: they expire" router/suspicions.c \
  'return now - suspicion->broken_at >= SUSPICION_LIFETIME;' \
  'return FALSE;'
if [ -n "$stale_only" ]; then
  python3 - "$dir/rows" <<'P'
import sys
fields = open(sys.argv[1]).read().split("\0")[:-1]
rows = list(zip(*[iter(fields)] * 4))
stale = [r for r in rows if r[2] == r[3] or r[2] not in open(r[1]).read()]
for name, path, _, _ in stale:
    print(f"{name}: STALE in {path}")
print(f"{len(rows) - len(stale)} mutants in place, {len(stale)} stale")
sys.exit(bool(stale) or not rows)
P
  exit
fi
echo "$caught mutants caught, $missed missed"
[ $missed = 0 ]
