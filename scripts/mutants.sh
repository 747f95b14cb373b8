#!/bin/bash
# Does each test see the fault it is there for? Takes one mechanism out of a
# copy of the sources at a time, and runs the unit tests: they must fail.
# Ends with "N mutants caught, N missed".
#   scripts/mutants.sh [NAME...]
#   scripts/mutants.sh --stale   builds nothing: fails when the text that a row
#                                replaces is not in its file
set -u
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
caught=0
missed=0
stale_only=
# Tests that fail without any mutant; they would seem to catch each.
known_red=$(sed -n 's/^\([A-Za-z0-9_./]*\)[ ,].*/\1/p' KNOWN-RED.txt | paste -sd:)
if [ "${1:-}" = --stale ]; then
  stale_only=yes
  shift
fi

# one mutant: name, what is taken out, file, python replacement old -> new
mutant() {
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
      "$dir/src/build/unit" --gtest_brief=1 --gtest_filter="-$known_red" \
      >"$dir/out.$i" 2>&1 &
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

want() {
  [ ${#only[@]} = 0 ] && return 0
  local o
  for o in "${only[@]}"; do [ "$o" = "$1" ] && return 0; done
  return 1
}

only=("$@")
m() { want "$1" && mutant "$@"; }

m place "0: the place gate" core/place.c \
  'if (strcmp(r->run_in[i], dc) == 0)' 'if (1)'
m orphan "1: the keeper's cancel of orphans" core/keep.c \
  'if (state->now - *first < MP_ORPHAN_GRACE)' 'if (1)'
m cancel "1: the cancel when a caller is gone" core/ending.c \
  'if (a->sent && a->role != MP_ROLE_PLAIN)' 'if (0)'
m home "2: the home's memory of IDs" core/claim.c \
  'if (r != NULL && !state_token_equal(&r->token, &c->token)) {' 'if (0) {'
m settle "2: a new home waits for the holders" core/claim.c \
  'if (!is_home_settled(state, c->id)) {' 'if (0) {'
m announce "2: holders announce to a new home" core/claim.c \
  'if (home == 0 || home == held->home)' 'if (1)'
m index "3: pieces are checked by their number" core/answer.c \
  'if (e->index < r->got) {' 'if (0) {'
m whole "3: an end is checked against the count" core/answer.c \
  'if (e->tokens != r->got) {' 'if (0) {'
m silent "3: a stalled stream is ended" core/answer.c \
  'timer_arm(&state->timers, &r->timer, state->now + MP_STREAM_TIMEOUT,
            on_stall_timeout, r);' ';'
m ran "4: dispatched work may have run" core/work.c \
  'r->ran = MP_RAN_UNKNOWN;
  a->sent = 1;' 'a->sent = 1;'
m notrun "4: a lost call is not taken for one that did not run" core/work.c \
  'return w == CALL_FAILURE_REFUSED || w == CALL_FAILURE_CONNECT;' 'return 1;'
m durable "5: the claim is written before dispatch" core/claim.c \
  'if (c->durable) {' 'if (0) {'
m repeat "5: no retry of what may have run" core/ending.c \
  '(!clean && !r->repeatable) ||' ''
m readback "5: a conflict reads the claims back" core/shard.c \
  'answer_decided(state, s);
  if (s->pending->len > 0)' 'if (s->pending->len > 0)'
m leaving "6: an endpoint says that it is leaving" core/keep.c \
  'if (l->leaving && !e->leaving) {' 'if (0) {'
m drain "7: a drain waits for what is in flight" core/state.c \
  'if (state->requests->len == 0 && cancel_pending_count(state) == 0 &&' 'if ('
m version "8: only a higher version is taken" core/doc.c \
  'if (c->manifest.version <= state->doc[MP_DOC_CONFIG].version) {' 'if (0) {'
m kvgone "3: a prefill of no more use is ended before the next" \
  core/ending.c '  flow_end_attempt(state, r, &r->prefill);
  if (!flow_policy(state)->decode_first' '  if (!flow_policy(state)->decode_first'
m longs "short work does not wait behind long prompts" core/keep.c \
  'return h->role == MP_ROLE_PREFILL && h->tokens >= MP_LONG_PROMPT_MIN;' \
  'return 0;'
m pause "a paused home does not trust what it knew" core/state.c \
  'member_on_pause(state);' ''
# routed requests (router/, http/, platform/)
m r-once "TWICE: no second run of what may not be repeated" router/outcomes.c \
  'return request->repeatable && request->runs < request->route->attempts;' \
  'return 1;'
m r-promise "REFUSED: an open run may be at work" router/finish.c \
  '(request->phase == PHASE_RUN && request->open.number != 0);' '0;'
m r-count "REFUSED: a broken run counts as run" router/outcomes.c \
  '  request->runs++;
  if (endpoint != NULL)' '  if (endpoint != NULL)'
m r-back "CONFIG: never an older version" router/router.c \
  'routes->version <= router->routes->version' '0'
m r-budget "BUDGET: the window's extras" router/retry_budget.c \
  'if (left < 1 || budget->period_taken >= budget->period_quota)' 'if (0)'
m r-young "BUDGET: no slack in a young life" router/retry_budget.c \
  'return now - policy->born < policy->window;' 'return FALSE;'
m r-others "BUDGET: what others spent counts" router/retry_exchange.c \
  'more.extras = counter_growth(' 'more.extras = 0 * counter_growth('
m r-part "BUDGET: no more than an equal part a period" router/retry_budget.c \
  'double share = MAX(left, 0) / sharing;' \
  'double share = MAX(left, 0) + 0 * sharing;'
m r-silent "BUDGET: silent instances keep their slack" router/retry_budget.c \
  'MIN(heard, 1.0)' '1.0'
m r-lease "ONE: another's lease is waited for" router/lease.c \
  'if (!lease->known || now < takeover_allowed_at(lease))' \
  'if (!lease->known)'
m r-lapse "ONE: a lease counts from before the call" router/lease.c \
  'lease->held_until = lease->sent_at' 'lease->held_until = now'
m r-unheard "ONE: a call without an answer gives nothing" router/lease.c \
  'if (wrote && reply->status == STORE_OK && lease->own)' 'if (lease->own)'
m r-margin "ONE: nothing is ordered near the lease's end" router/stages.c \
  '!lease_is_held(&stages->lease, ORDER_MARGIN, now)' '0'
m r-fence "ONE: a newer fence stops all orders" router/stages.c \
  'outcome->status == 412)' 'outcome->status == 1412)'
m r-named "a changing engine gets no work" router/endpoint_choice.c \
  '!endpoint_is_changing_stage(table, endpoint, now);' '1;'
m r-settle "nothing is ordered before the use has settled" router/stages.c \
  'now - average->used_from < SETTLE_TIME' '0'
m r-capped "no more change than a digest names" router/stages.c \
  'CHANGES_MAX - changing' 'CHANGES_MAX + 40 + 0 * changing'
m r-note "reserved room counts until the next digest" router/peer_loads.c \
  'peer->sequence != note->after' '1'
m r-again "an overbooked room is left" router/path.c \
  '!is_overbooked(router, request, endpoint)' '1'
m r-gone "GONE: a hangup cancels the run" router/finish.c \
  'path_close_dispatch(router, request, TRUE);
  admission_leave' 'path_close_dispatch(router, request, FALSE);
  admission_leave'
m r-handle "MIXED: a handle that two engines refused is dropped" router/outcomes.c \
  '(outcome->kind != OUTCOME_NOT_RUN || request->arrivals > 0)' \
  '(outcome->kind != OUTCOME_NOT_RUN)'
m r-resume "ORDER: a resumed stream keeps its first head" router/outcomes.c \
  'if (request->head_sent)
    return;' ''
m r-drain "LOST: a planned stop takes nothing new" router/router.c \
  'if (router->stopping) {' 'if (0) {'
m r-leaving "DRAIN: a leaving endpoint is not chosen" router/endpoint_table.c \
  'return !endpoint->record.ready ||' 'return'
m r-room "a run starts only where there is room" router/endpoint_choice.c \
  '(query->must_fit && !has_room(table, query, endpoint)) ||' ''
m r-late "an overtaken digest changes nothing" router/peer_loads.c \
  'return behind < REORDER_WINDOW;' 'return 0;'
m r-newer "CONFIG: an older revision takes no effect" router/follower.c \
  '  return store_position_is_before(known->position, object->position);' \
  '  return TRUE;'
m r-list "DRAIN: a list forgets what it does not name" \
  router/endpoint_table.c 'if (g_hash_table_contains(names, endpoint->record.id))' \
  'if (1)'
m r-framing "UNASKED: doubtful framing is refused" http/reader.c \
  'return lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0);' \
  'return 0;'
m r-space "UNASKED: a space in the name of a field is refused" http/reader.c \
  "if (memchr(bytes, ' ', size) != NULL)" 'if (0)'
m r-upgrade "DENIED: an offered upgrade is ignored" http/reader.c \
  'parser->upgrade = 0;' ';'
m r-event "ORDER: a partial event is held back" http/events.c \
  'if (empty > 0)' 'if (1)'
m r-own "the system sets its own fields" platform/endpoints.c \
  'http_head_remove(head, platform_reserved_fields[i]);' ';'
m r-silence "LOST: silence ends nothing without another endpoint" router/outcomes.c \
  '!has_other_endpoint(router, request, now) ||' ''
m r-pause "LOST: a run at a sound path is waited for" router/silent_run.c \
  'if (reach_has_connected(reach, endpoint, open->via, now - PATH_SOUND_TIME))' 'if (FALSE)'
m r-hang "a silent run is not waited for without end" router/silent_run.c \
  'silent_since + SOUND_SILENCE_MAX' 'silent_since + 3 * SOUND_SILENCE_MAX'
m r-paid "LOST: a resume is paid before the run is left" router/outcomes.c \
  '!retry_exchange_try_take(router, request->service->name, now))
    return FALSE;' '0)
    return FALSE;'
m r-notrun "REFUSED: 503 alone promises nothing" platform/endpoints.c \
  'out->not_run = out->misdirected ||' \
  'out->not_run = head->status == 503 || out->misdirected ||'
m r-handle "with its prompt read a request waits for room" router/path.c \
  'if (requeue_with_handle(router, request, now) ||' \
  'if ((0 && requeue_with_handle(router, request, now)) ||'
m r-reader "a prompt is read again by its reader" router/path.c \
  'prefill_repeat(router, request, now))
    return;' '0)
    return;'
m r-again "BUDGET: a second reading is charged" router/path.c \
  'if (request->prefills > 0 || !prefill_begin' 'if (!prefill_begin'
m r-failed "a reader that failed is not asked again" router/prefill.c \
  ' || path_is_excluded(request, request->read_by))' ')'
m r-home "a resumed caller's prompt is read at home" router/prefill.c \
  'query.affinity_overrides_load = request->resumes;' \
  'query.affinity_overrides_load = FALSE;'
m n-fresh "relays: one that the store does not answer does not count" \
  router/relay_group.c 'before.fresh += is_fresh(group, relay, now);' \
  'before.fresh += is_heard(relay, now);'
m n-within "relays: their age is bound by what is allowed" \
  router/relay_timing.c 'MAX(bound, REGULAR_WAIT_MIN + SLOW_ANSWER_MAX));' \
  'bound > 0 ? relay_news_age_max(times) : 0);'
m n-often "relays: they ask the store often enough to stay fresh" \
  router/news_source.c 'relay_group_watch_wait(source->group, call->kind, now));' \
  'call->wait);'
m n-standin "relays: none is fresh by the one in its place" \
  router/relay_group.c 'return news_age_from(group, FALSE, now);' \
  'return news_age_from(group, TRUE, now);'
m n-whole "relays: they name what there is to who asks from before a list" \
  router/follower_answer.c \
  'is_same ||
               (!is_first && store_position_is_before(
                                 query->since, follower->removals_unknown_to));' \
  'is_same;'
m n-noroute "router: old news say nothing of a route they lack" \
  router/router.c \
  'return router->news_age_max > 0 &&
         router_news_age(router, now) > router->news_age_max;' \
  'return FALSE;'
m n-lacks "router: one that lacks a change says nothing of a route" \
  router/router.c 'router->news->lags_since != 0)' \
  'router->news->lags_since < 0)'
m n-level "relays: none is fresh by news that it lacks" \
  router/relay_group.c 'if (!holds_all_news(group, relay))' 'if (FALSE)'
m n-again "news: a relay that failed is asked again" router/news_source.c \
  'may answer now. */
  source->must_ask_store = FALSE;' 'may answer now. */'
m n-silent "news: no call is given up while its answer arrives" \
  router/news_source.c 'MAX(source->behind_since, source->progress_at) +' \
  'source->behind_since +'
m n-link "links: no call is given up while its answer arrives" \
  io/store_link.c '    link->received_at = clock_now();
    start_timer(link);' '    link->received_at = clock_now();'
m n-vouch "news: a list that may be stale makes no instance fresh" \
  router/news_source.c 'if (follower->from_stale_list)
    return;' ''
m n-request "news: a list is as old as its request" router/news_source.c \
  'return source->list_asked_at;' 'return now;'
m n-missed "news: who takes over lists what it missed" router/news_source.c \
  'follower_prefer_list(&source->follower);' ''
m n-far "relays: one that is not fresh asks other data centres" \
  router/relay_group.c \
  'return relay_members_next_far(&group->members, out, most);' 'return 0;'
m n-announce "relays: what the store tells a former relay is announced" \
  router/relay_group.c 'if (must_announce(group, kind, now))' 'if (0)'
m n-lapsed "news: catching up reads the present" router/follower.c \
  'return follower->kind == STORE_CONFIGURATION;' \
  'return follower->kind == STORE_LEASES;'
m n-changes "news: changes travel, not whole texts" \
  router/follower_answer.c \
  'if (known->history != NULL && !in_full)' 'if (FALSE)'
m n-base "news: changes of another revision's text take no effect" \
  router/follower.c \
  'store_position_compare(
          g_array_index(object->changes, TextChange, 0).from,
          known->position) != 0)' \
  'FALSE)'
m n-digest "news: a patch proves the text that it makes" \
  router/text_patch.c 'ZSTD_c_checksumFlag, 1' 'ZSTD_c_checksumFlag, 0'
m n-gap "news: a history has no gap" router/text_history.c \
  'count > 0 &&
         store_position_compare(change_at(history->changes, count - 1)->to,
                                from) != 0;' \
  'FALSE;'
m n-full "news: texts are asked for in full when changes do not fit" \
  router/follower.c 'follower->in_full = TRUE;' 'follower->in_full = FALSE;'
m n-pack "news: long answers are compressed" io/news_codec.c \
  'size > SHORT_ANSWER ?' 'FALSE ?'
m p-lost "prefill: an arrival after a lost prompt is paid for" \
  router/prefill.c 'return retry_exchange_has_extra(router, service, now);
  return retry_exchange_try_take(router, service, now);' \
  'return retry_exchange_has_extra(router, service, now);
  return TRUE;'
m p-wait "prefill: a late prompt is not left without a retry to spend" \
  router/prefill.c 'if (!may_send_again(router, request, OUTCOME_BROKEN, now)) {' \
  'if (0) {'
m p-turned "prefill: one that was turned away goes on within the budget" \
  router/prefill.c 'if (kind == OUTCOME_NOT_RUN)
    return retry_exchange_has_extra(router, service, now);' \
  'if (kind == OUTCOME_NOT_RUN)
    return TRUE;'
m n-step "relays: members take over one by one in an outage" \
  router/relay_group.c 'if (relay_group_relays_before(group, now).heard >= wanted)
    return wait;' ''
m n-behind "relays: one that lost the store unknowingly asks another" \
  router/news_source.c '#define STORE_SILENCE_MAX (300 * MP_MS)' \
  '#define STORE_SILENCE_MAX (60 * MP_SEC)'
m n-most "relays: all take over within a second when none is heard" \
  router/relay_group.c 'return MIN(wait, TAKEOVER_WAIT_MAX);' \
  'return 10 * wait;'
m n-back "news: what an older list names does not come back" \
  router/follower.c \
  'return !store_position_is_before(at, known->changed_by) ||' \
  'return TRUE ||'
m n-old "news: an older list takes no effect" router/follower.c \
  'return store_position_is_before(reply->at, follower->known);' \
  'return FALSE;'
m n-gone "news: what is gone is told to others" \
  router/follower_answer.c \
  'if (is_first && known->text == NULL)' 'if (known->text == NULL)'
m n-pause "news: a store that does not answer delays no relay's" \
  router/news_source.c '(source->follower.failures == 0 ||' '(TRUE ||'
m s-far "summaries: other data centres' loads are not summed twice" \
  router/peer_loads.c 'if (peer->zone != 0 || now - peer->received_at' \
  'if (now - peer->received_at'
m s-other "summaries: one relay of a data centre counts" router/peer_loads.c \
  'if (peer == kept || peer->zone != kept->zone)' 'if (TRUE)'
m s-first "summaries: a relay's first totals are no spending" \
  router/retry_exchange.c 'i = 0; before != NULL && i < after' \
  'i = 0; i < after'
m s-anew "summaries: a relay that counts anew spends nothing" \
  router/retry_exchange.c 'return after >= before ? after - before : 0;' \
  'return after >= before ? after - before : after;'
m s-near "summaries: hold what was heard nearby" router/retry_exchange.c \
  'add_counts(&state->budget.near, &more);' ''
m s-late "late loads keep requests at home" router/endpoint_choice.c \
  'return COST_OTHER_ZONE_LATE;' 'return COST_OTHER_ZONE_ENGINE;'
m a-door "accounts: an unknown key is refused" router/accounts.c \
  'account = route_table_find_account(router->routes, digest);' \
  'account = router->routes->accounts->pdata[0];'
m a-two "accounts: two keys are none" router/accounts.c 'if (call->keys == 1)' \
  'if (call->keys >= 1)'
m a-again "accounts: age and key are asked before each run" router/path.c \
  'return accounts_may_dispatch(router, request, why, now) &&' 'return'
m a-read "accounts, holds: and before each reading" router/prefill.c \
  'if (!path_may_dispatch(router, request, &why, now))' 'if (FALSE)'
m a-key "accounts: a key is not passed on" platform/endpoints.c \
  '"Api-Key",' ''
m a-back "accounts: what did not run is given back" router/finish.c \
  'if (is_told_not_run(kind))' 'if (FALSE)'
m p-arrival "proof: a heartbeat counts from when it was sent" \
  router/relay_clock.c \
  'MIN((gint64)beat->sent_us + offset_now(clock, now), now) -' 'now -'
m p-known "proof: changes that are not known prove nothing" \
  router/config_proof.c \
  '!knows_changes_up_to(proof, beat->changed[STORE_CONFIGURATION]) ||' \
  'FALSE ||'
m p-loose "proof: a loose bound is replaced soon" router/relay_clock.c \
  '(clock->is_loose ? RELAY_CLOCK_RETRY_WAIT : RELAY_CLOCK_AGE_MAX)' \
  'RELAY_CLOCK_AGE_MAX'
m p-other "proof: a bound of another clock does not stay" \
  router/relay_clock.c \
  '(gint64)beat->sent_us + offset_now(clock, now) > now ||' 'FALSE ||'
m p-set-back "proof: a clock that was set back is another one" \
  router/relay_clock.c \
  "beat->sent_us + RELAY_CLOCK_SET_BACK_MIN < clock->sent_us" FALSE
m r-outside "streams: two replicas are outside of any one data centre" \
  router/stream_replicas.c "return near < most;" "return TRUE;"
m n-arrival "relays: a list's age counts from when a heartbeat was sent" \
  router/relay_group.c '  return MAX(relay->synced_at, relay->answered_at);' \
  '  return MAX(relay->synced_at, last_answer_time(relay));'
m n-late "relays: a change that ends a long watch does not age the list" \
  router/relay_group.c '  if (!must_stay_young(kind, role))
    return group->times.watch_wait;' '  return group->times.watch_wait;'
m p-stale "proof: an answer counts from its question" router/news_source.c \
  '  return source->asked_at;' '  return now;'
m l-cut "limits: scaled by the share heard" router/shared_totals.c \
  'return MIN((double)sharers->heard / sharers->instances, 1.0);' 'return 1;'
m l-kill "limits: a young instance does not know the level" \
  router/account_limits.c 'pending, is_in_first_window(limits, now)' \
  'pending, FALSE'
m l-wait "limits: an unknown level ends after a time" \
  router/account_limit.c \
  'share >= ACCOUNT_COMPLETE_VIEW_SHARE || now >= limit->known_from' \
  'share >= ACCOUNT_COMPLETE_VIEW_SHARE'
m l-silent "limits: what was spent out of reach is not charged" \
  router/shared_totals.c 'if (!is_known || peer->was_silent)' 'if (!is_known)'
m l-small "limits: small requests pass first" router/account_limit.c \
  'if (cost <= SMALL_REQUEST_SHARE * limit->burst)' 'if (FALSE)'
m k-large "relays: the largest machines" router/relay_members.c \
  'guint64 rank = CAPACITY_MAX - MIN(capacity, CAPACITY_MAX);' \
  'guint64 rank = 0; (void)capacity;'
m g-peak "stages: prompts that stop coming move nothing" router/stages.c \
  'use->prefill_busy = average->prefill_peak;' \
  'use->prefill_busy = average->prefill_busy;'
m d-hang "a plain endpoint that hangs is in doubt" router/path.c \
  'request->suspect_at = now + silence_suspect_after(request);' ''
m q-refused "crash: a connection that stands proves no end" \
  router/crash_watch.c 'if (outcome->kind == OUTCOME_UNREACHABLE &&' 'if ('
m q-silent "crash: silence proves no end" router/crash_watch.c \
  'now - watched->checked_at < REFUSAL_TIME_MAX' 'TRUE'
m q-leaving "crash: one that was leaving ends by plan" router/crash_watch.c \
  'if (endpoint_is_leaving(endpoint))' 'if (FALSE)'
m q-life "crash: of this life" router/crash_watch.c \
  'watched->life == life &&' ''
m q-once "hold: an end counts once" router/quarantine.c \
  'if (find_strike(row, crash) != NULL || !make_room(row))' \
  'if (!make_room(row))'
m q-off "hold: a good run takes a strike off" router/quarantine.c \
  'row->strikes[i].is_off = TRUE;
  if (strike_count(row) == 0)' 'if (strike_count(row) == 0)'
m q-last "hold: three runs are tried at most" router/quarantine.c \
  'return LAST_HOLD_TIME;' 'return FIRST_HOLD_TIME;'
m q-store "hold: what instances know is kept in the store" \
  router/quarantine.c \
  'return has_unstored_strike(row) && is_worth_storing(quarantine, row);' \
  'return FALSE;'
m q-tell "hold: instances tell each other" router/quarantine.c \
  'if (now - row->learned_at >= NEWS_REPEAT_TIME ||
        !(with_received || has_own_strike(row)))' 'if (TRUE)'
m q-door "hold: a held request is not sent" router/suspects.c \
  'if (until == 0)
    return may_send_parts(router, request, why, now);' 'return TRUE;'
m q-choice "crash: a request avoids the endpoints that ended under it" \
  router/endpoint_choice.c \
  'if (skip_crashed && endpoint_has_crashed_under(query, endpoint))' 'if (FALSE)'
m q-nowhere "crash: with all endpoints ended, a request is deferred" \
  router/suspects.c 'until = crashed_everywhere_until(router, request, now);' ''
m q-soon "crash: suspicions are reported at once" router/suspicions.c \
  'suspicions->version++;' ''
m q-disproof "crash: a disproof is told" router/suspicions.c \
  'known->is_disproved = TRUE;
  return TRUE;' 'return FALSE;'
m q-repeat "crash: reports are repeated, whatever the loads do" \
  io/load_exchange.c 'else if (!exchange->has_crash_news)' 'else'
m q-sweep "hold: those that wait are refused at once" router/suspects.c \
  'while ((request = find_held_waiting(router, now)) != NULL)' 'while (FALSE)'
m q-account "hold: an account's request is its own" router/router.c \
  '  if (account != NULL)
    key =' \
  '  if (account == NULL && call == NULL)
    key ='
m v-later "lives: a later one ends what runs" router/lives.c \
  'while ((number = find_open_dispatch(router, id, life)) != 0)' \
  'while (FALSE)'
m v-early "lives: an earlier one changes nothing" router/endpoint_table.c \
  'return ENDPOINT_OUTDATED;' 'return ENDPOINT_SAME;'
m v-hash "lives: told apart in digests" router/endpoint_table.c \
  'seed = (guint64)record->started_unix_ms;' 'seed = 0;'
m v-loads "lives: loads of an earlier one are not the later's" router/path.c \
  'return endpoint_table_get_incarnation(router->endpoints, open->endpoint,
                                        open->life);' \
  'return endpoint_table_get(router->endpoints, open->endpoint);'
m i-item "store: an object that can't be read is known by its name" \
  platform/store.c 'is_whole ? read_content(span) : g_strdup("");' \
  'is_whole ? read_content(span) : g_strdup("");
    if (object.text != NULL && object.text[0] == 0) { out->unreadable_names++; return; }'
m i-stage "store: an unknown stage is none" platform/records.c \
  'else
    return FALSE;
  return TRUE;
}' 'else
    *out = STAGE_DECODE;
  return TRUE;
}'
m n-taking "news: no call begins while a reply is taken" router/follower.c \
  'follower->open || follower->is_handling_reply ?' 'follower->open ?'
m n-seed "news: a seed that knows nothing is no failure of the store" \
  router/news_source.c \
  'if (!source->at_store && !by_relay && !is_answer)' 'if (FALSE)'
m c-boot "clock: suspended time counts" io/clock.c 'CLOCK_BOOTTIME' \
  'CLOCK_MONOTONIC'
m o-first "admission: time counts from the first try" router/admission.c \
  'request->first_attempt_at -= longest - patience;' '{}'
m o-late "admission: late ones take what is left over" router/admission.c \
  'start_by_priority(router, TRUE, now) == 0)' \
  'start_by_priority(router, TRUE, now) != G_MAXUINT)'
m o-told "admission: those in time elsewhere are waited for" \
  router/admission.c 'place + waiting_order_count_peers(router, request, &rank)' \
  'place + 0 * rank.priority'
m o-ends "admission: ends at all instances make room" router/admission.c \
  'router->mean_end_interval / router->near' 'router->mean_end_interval'
m o-usual "admission: what others have tells who came back" \
  router/admission.c 'longest = MIN(longest, route->timeout);' \
  'longest = route->timeout;'
m o-window "patience: what was seen long ago is forgotten" \
  router/patience.c 'if (age < PATIENCE_WINDOW)' 'if (TRUE)'
m o-number "input: a time is bounded before it is converted" \
  platform/quantities.c 'duration < (double)DURATION_MAX' 'TRUE'
m o-beat "input: a heartbeat's clock is bounded" wire/rpc.c \
  '*v <= INT64_MAX / 2' 'TRUE'
m r-peers "rates: what peers send is taken off" router/rate_limits.c \
  'limit->bucket.level -= increase;' \
  '(void)increase;'
m r-share "rates: the share is of those heard" router/rate_limits.c \
  'double rate = effective_rate(limit) * share;' \
  'double rate = effective_rate(limit);'
m r-rivals "rates: what is on its way is met by a chance" router/rate_limits.c \
  'limit->bucket.level / (1 + sharers->competing_requests)' \
  'limit->bucket.level'
m r-newest "rates: the newest answer is right" router/rate_limits.c \
  'return newer_by < 0 ||' \
  'return FALSE ||'
m r-over "rates: one answer among others ends none" router/rate_limits.c \
  'newer_by < RATE_END_DELAY' \
  FALSE
m r-least "rates: none holds for good" router/rate_limits.c \
  'MAX(limit->rate, RATE_MIN)' \
  'limit->rate'
m r-begin "rates: nothing is saved up when one is named" router/rate_limits.c \
  'limit->bucket.level = MIN(limit->bucket.level, 0);' \
  'limit->bucket.level = 50;'
m r-burst "rates: little is saved up" router/rate_limits.c \
  'share + BURST_SECONDS * rate' \
  '60 * rate'
m r-unused "rates: what is returned is not told twice" router/rate_limits.c \
  'limit->refunded++;' \
  ''
m r-sums "rates: sums hold those heard alone" router/rate_limits.c \
  'limit->peers_sent += news->zone == 0 ? increase : 0;' \
  'limit->peers_sent += increase;'
m r-told "rates: that one is over is told for a while" router/rate_limits.c \
  'age > RATE_END_REPORT_TIME' \
  TRUE
m r-choice "rates: choice leaves those out that take no more" router/endpoint_choice.c \
  '        !is_within_limits(table, query, endpoint, now))' \
  '        FALSE)'
m r-counted "rates: a run is counted once" router/prefill.c \
  '    if (request->is_decode_counted)
      rate_limits_refund(router->rates, endpoint->hash);' \
  ''
m r-reserve "rates: a place is counted when it is reserved" router/prefill.c \
  'request->is_decode_counted =
      rate_limits_count_sent(router->rates, decode->hash);' \
  'request->is_decode_counted = FALSE;'
m r-look "rates: who waits looks again" router/shortage.c \
  'router->shortage_recheck_at = now + RECHECK_INTERVAL;' \
  'router->shortage_recheck_at = 0;'
m r-life "rates: a later life has none" router/lives.c \
  '  if (news == ENDPOINT_RESTARTED)
    rates_endpoints_changed(router);' \
  ''
m r-gone "rates: one that is gone has none" router/lives.c \
  '  endpoint_table_remove(router->endpoints, id, now);
  rates_endpoints_changed(router);' \
  '  endpoint_table_remove(router->endpoints, id, now);'
m r-refuse "rates: a shortage is told as one" router/path.c \
  'shortage_record(router, request, now);' \
  ''
m r-silent "rates: a failure without one ends none" io/endpoint_call.c \
  'return status >= 200 && status < 300 && !call->head_info.not_run &&' \
  'return'
m r-number "rates: a plain number" platform/quantities.c \
  'if (integer + fraction == 0 || *end != '"'"'\0'"'"')' \
  'if (integer + fraction == 0)'
m r-once "rates: it stands once" platform/endpoints.c \
  'http_head_count(head, "Server-Limit") == 1' \
  TRUE
m t-sweep "totals: silent peers are forgotten" router/shared_totals.c \
  '    remove_silent_peers(totals, now);' \
  ''
m b-resume "lists: reading goes on behind a broken item" platform/store.c \
  'return read_separable_list(response, out) || read_broken_list(response, out);' \
  'return read_separable_list(response, out);'
m b-swallow "lists: an end that comes too late is seen" platform/broken_list.c \
  '    if (contains_next_item(item, members))
      return FALSE;' \
  '    if (FALSE)
      return FALSE;'
m b-early "lists: an end that comes too early is seen" platform/broken_list.c \
  '  return json_span_is_at_end(items);' \
  '  return TRUE;'
m b-hides "lists: bytes that may hide an object are told" platform/store.c \
  'out->partial = list.may_hide_objects || out->unreadable_names > 0;' \
  'out->partial = FALSE;'
m b-partial "lists: one that may hide objects removes none" router/follower.c \
  'follower->partial |= reply->partial || (reply->more && count == 0);' \
  ''
m b-nameless "lists: one that breaks off without a name removes none" \
  router/follower.c ' || (reply->more && count == 0);' ';'
m b-again "lists: such a one is read again" router/follower.c \
  'follower->relist_at = now + PARTIAL_RELIST_DELAY;' \
  'follower->relist_at = 0;'
m b-around "watches: the events beside a broken one hold" platform/store.c \
  'return read_separable_events(response, out) ||
         read_broken_events(response, out);' \
  'return read_separable_events(response, out);'
m b-hidden "watches: what a broken event hides is looked for" \
  platform/store.c '  out->partial = TRUE;' ''
m b-rate "watches: broken events cost lists at a bounded rate" \
  router/follower.c \
  'follower->relist_at = MAX(now, follower->partial_relist_from);' \
  'follower->relist_at = now;'
m b-watch 'watches: one without a revision has the list read' platform/store.c \
  '    out->status = STORE_HISTORY_GONE;
    return TRUE;' \
  '    out->status = STORE_FAILED;
    return FALSE;'
m v-revision 'lives: the store'"'"'s revision orders them' router/endpoint_table.c \
  'if (!store_position_is_none(record->position) &&
      !store_position_is_none(known->position) &&
      !endpoint_record_is_restored(record, known))' \
  'if (FALSE)'
m v-address "entries: addresses of no machine" platform/records.c \
  'return *out != 0 && is_unicast(*out);' \
  'return *out != 0;'
m v-blank "entries: an address has no blanks" core/text.c \
  's[strspn(s, "0123456789.:")] != '"'"'\0'"'"' ||' \
  ''
m g-round "gate: a caller goes round it" router/path.c \
  'gate_check(endpoint, DISPATCH_RUN, now) != GATE_OPEN)
    return NULL;' \
  'FALSE)
    return NULL;'
m g-door "gate: the door asks again" router/dispatcher.c \
  'if (verdict != GATE_OPEN) {' \
  'if (FALSE) {'
m g-list "gate: a list takes nothing back" router/endpoint_table.c \
  '  record_copy(&endpoint->record, record);' \
  '  record_copy(&endpoint->record, record);
  if (record->ready)
    endpoint->availability.leaving_since = 0;'
m g-ready "leaving: it is no entry of the list" router/availability.c \
  '  known->leaving_since = MAX(now, 1);' \
  ''
m g-success "rest: no success ends it" router/endpoint_table.c \
  '  endpoint->unreachable_streak = 0;' \
  '  endpoint->unreachable_streak = 0;
  endpoint->availability.rest_until = 0;'
m g-doubtful "gate: choice, and the fallback to a doubtful one, ask it" router/endpoint_choice.c \
  'gate_check(endpoint, DISPATCH_RUN,' \
  'gate_check(endpoint, DISPATCH_CHECK,'
m v-choice "streams: they go on at their version only" router/path.c \
  '  query.software = request->software;' \
  '  query.software = 0;'
m v-bind "streams: the first piece binds a stream to its version" \
  router/continuation.c \
  '  if (request->software == 0)
    request->software = request->open.software;' \
  ''
m v-told "streams: other instances are told where one began" \
  router/continuation.c \
  '    send(router, replicas[i], &message);
}

/* Returns the origin of' \
  '    (void)send;
}

/* Returns the origin of'
m v-held "streams: the first piece waits until its origin is written" \
  router/origin_store.c \
  '  if (now < store->no_hold_until) {' \
  '  if (now >= store->no_hold_until) {'
m v-wait "streams: the first piece does not wait for a lost recorder" \
  router/origin_store.c \
  '  if (now < request->hold.until) {' \
  '  if (now >= request->hold.until) {'
m v-ended "streams: what ends is not held any more" router/finish.c \
  '  origin_store_release(router, request);
  router->host.answer' \
  '  router->host.answer'
m v-fresh "streams: a list from before the request decides nothing" \
  router/origin_store.c \
  'request->arrived <= began' \
  '(request->arrived <= began || began > 0)'
m v-whole "streams: a list that is not complete decides nothing" \
  router/origin_store.c \
  '  if (is_complete) {' \
  '  if (is_complete || found != NULL) {'
m v-merge "streams: what another write left in the object is kept" \
  router/origin_recorder.c \
  '  if (record != NULL)
    merge_record' \
  '  if (record != NULL && now == 0)
    merge_record'
m v-acks "streams: an origin is acknowledged once it is written" \
  router/origin_recorder.c \
  'OriginAck, count).change <= change)' \
  'OriginAck, count).change <= change + 1)'
m v-rest "streams: nothing is written while nothing is to be kept" \
  router/origin_recorder.c \
  '             : recorder->is_filled;' \
  '             : TRUE;'
m v-history "streams: a young instance vouches for no version" \
  router/continuation.c \
  'now - continuation->followed_since < lifetime' \
  'now < continuation->followed_since'
m v-gap "streams: a gap in the list may have held another version" \
  router/continuation.c \
  '  if (has_gap)' \
  '  if (before == 0)'
m v-stale "streams: a stale list vouches for no version" \
  router/continuation.c \
  'now - router->store_answered_at > router->news_age_max' \
  'now < router->store_answered_at'
m v-new "streams: none begins at a version that others do not know" \
  router/path.c \
  '  stream_software_restrict(router, &query, request, now);' \
  '  (void)now;'
m v-set-early "stream versions: a young instance creates no set" \
  router/software_set.c \
  'return view->confirmed_at - view->followed_since >= row->keep;' \
  'return row->keep > 0 && view->confirmed_at > 0;'
m v-set-other "stream versions: an instance that saw another does not vouch" \
  router/software_set.c \
  '  return only == row->entries[0].software ? only : 0;' \
  '  return row->entries[0].software + 0 * only;'
m v-set-gap "stream versions: a read before a gap does not count" \
  router/software_set.c \
  '         row->read_at >= view->followed_since;' \
  '         row->read_at > 0;'
m v-set-add "stream versions: a new version is added" \
  router/software_set.c \
  '    add_entry(out, software, FALSE);
    add_change(out, software, SOFTWARE_ADDED);' \
  '    (void)software;'
m v-set-marked "stream versions: a marked version is not allowed" \
  router/software_set.c \
  '    if (!entry->expiring && is_read' \
  '    if (is_read'
m v-set-unmark "stream versions: a version that returns is unmarked" \
  router/software_set.c \
  '    add_entry(out, entry->software, FALSE);
    if (entry->expiring)' \
  '    add_entry(out, entry->software, entry->expiring);
    if (FALSE)'
m v-set-soon "stream versions: a mark stands before a removal" \
  router/software_set.c \
  'now - entry->since >= view->news_age_max + REMOVAL_MARGIN' \
  'now >= entry->since'
m v-set-era "stream versions: a restored store is not trusted" \
  router/software_set.c \
  '    row->restored_at = now;' \
  '    row->restored_at = 0;'
m v-untold "streams: those begun in quiet times are told of later" \
  router/lives.c \
  '  continuation_tick(router, now);' \
  '  (void)now;'
m v-ambiguous "streams: two versions under one attempt are ambiguous" \
  router/stream_origins.c \
  '    known->software = 0;' \
  '    known->software = origin->software;'
m v-account "streams: those of another account are unknown" \
  router/stream_origins.c \
  '  if (account != NULL)' \
  '  if (account == NULL && attempt == NULL)'
m v-stranger "streams: strangers are not believed" router/continuation.c \
  '  if (!is_member(router->continuation, from))
    return;' \
  ''
m v-gone "streams: a version without endpoints is refused at once" \
  router/admission.c \
  '  if (!continuation_is_possible(router, request))
    finish_give_up(router, request, now);
  else if (shortage' \
  '  if (shortage'
m g-inherit "words: a later life has none" router/endpoint_table.c \
  '  if (comparison == ENDPOINT_RESTARTED)
    drop_endpoint(table, endpoint, now);
  else if (comparison == ENDPOINT_SAME)' \
  '  if (comparison == ENDPOINT_RESTARTED)
    comparison = ENDPOINT_SAME;
  if (comparison == ENDPOINT_SAME)'
m g-lapse "words: a lapse of the entry ends none" router/endpoint_table.c \
  '  keep_unlisted(table, endpoint, now);' \
  ''
m g-latest "rest: the latest of several ends holds" router/availability.c \
  '  known->rest_until = MAX(known->rest_until, until);' \
  '  known->rest_until = until;'
m g-margin "rest: the margin of its own clock" router/availability.c \
  '+ REST_CLOCK_MARGIN' \
  ''
m g-most "rest: a very long one is believed for a time" router/availability.c \
  'MIN(time, REST_DURATION_MAX)' \
  'time'
m g-release "rest: one release in it" router/dispatcher.c \
  '    endpoint->availability.has_dispatch_in_rest = TRUE;' \
  ''
m g-spread "rest: callers come back spread" router/shortage.c \
  '(gint64)(spread * (double)MAX(wait, RETRY_SPREAD_MIN))' \
  '0'
m g-atonce "rest: callers of engines hear at once" router/admission.c \
  'else if (shortage_outlasts(router, request,
                             wait_left_max(router, request, now), now))' \
  'else if (FALSE)'
m g-look "rest: who waits looks again" router/shortage.c \
  'router_resting_endpoints(router, now) > 0' \
  'FALSE'
m g-told "leaving: the others are told" router/signals.c \
  '  out->leaving_count = 0;
  if (count' \
  '  out->leaving_count = 0;
  return;
  if (count'
m g-crash "leaving: its end is no crash" router/crash_watch.c \
  'if (endpoint_is_leaving(endpoint))' \
  'if (!endpoint->record.ready)'
m g-502 "answers: no time to come back after an unknown outcome" router/finish.c \
  '&& is_told_not_run(kind)' \
  ''
m g-avoid "rest: it is no endpoint out of reach" router/signals.c \
  '  if (!availability_extend_rest(known, time, now))
    return;' \
  '  endpoint->avoid_until = now + time;
  return;'
m g-setready "leaving: it is no older entry of the list" router/signals.c \
  '  if (!availability_set_leaving(&endpoint->availability, now))
    return FALSE;' \
  '  endpoint->record.ready = FALSE;
  return TRUE;'
m c-blame "parts: they get the strikes of the requests that have them" \
  router/suspects.c \
  '    suspect.content = request->parts[i];
    note_broken_subject(router, endpoint, &suspect, now);' \
  ''
m c-held "parts: a request with a held part is not sent" router/suspects.c \
  '  if (part == 0)
    return TRUE;
  has_twin' \
  '  if (part == 0 || part != 0)
    return TRUE;
  has_twin'
m c-acquit "parts: one on which an endpoint wrote is acquitted" \
  router/suspects.c \
  '    acquit(router, request->parts[i], request->open.sent, now);' \
  '    if (now < 0)
      acquit(router, request->parts[i], request->open.sent, now);'
m c-tell "parts: acquittals are told to the others" router/quarantine.c \
  '    out->acquitted_n++;' \
  ''
m c-explain "parts: a held one explains the strikes of others" \
  router/quarantine.c \
  '      events = MIN(events, event_count(row, other));' \
  '      events = event_count(row, NULL);'
m c-trial "parts: a trial tells twins apart" router/suspects.c \
  '  if (has_twin && begin_trial(router, request, part, now))
    return TRUE;' \
  ''
m c-first "parts: one instance tries for all" router/suspects.c \
  '      !continuation_is_first(router, part) ||' \
  ''
m s-count "suspicions: they count until they are proved" router/suspects.c \
  'return strikes + suspected >=
                 quarantine_hold_strikes(router->quarantine, subject, now)
             ? until
             : 0;' \
  'return 0;'
m s-answered "suspicions: an answer takes them away" router/suspects.c \
  '  suspicions_clear_incarnation(router->suspicions, request->open.life, now);' \
  ''
m s-told "suspicions: the others are told" router/suspicions.c \
  '    out->suspected_n++;' \
  ''
m s-twice "suspicions: an end that is proved counts once" router/suspects.c \
  'return quarantine_has_strike(quarantine, content, life);' \
  'return FALSE;'
m s-life "suspicions: they end by themselves" router/suspicions.c \
  'return now - suspicion->broken_at >= SUSPICION_LIFETIME;' \
  'return FALSE;'
m c-busy "connection limit: a loop that is never idle counts" io/connection_limit.c \
  '  return path_delay >= OVERLOAD_PATH_MIN ||' \
  '  return path_delay >= OVERLOAD_PATH_MIN &&'
m c-path "connection limit: packets that queue count" io/connection_limit.c \
  '  return path_delay >= OVERLOAD_PATH_MIN ||' \
  '  return'
m c-usual "connection limit: at most twice the usual at once" io/connection_limit.c \
  'limit->limit > MAX(most, LIMIT_MIN)' \
  'limit->limit > 1000000'
m c-drain "connection limit: it falls once what it allows is left" io/connection_limit.c \
  '  return under_way <= limit->limit &&
         sample->at' \
  '  return sample->at'
m c-least "connection limit: one in each interval is admitted" io/connection_limit.c \
  '      now - limit->admitted_at < ADMIT_INTERVAL_MAX) {' \
  '      now >= 0) {'
m c-quick "path delay: the shortest connect counts" io/path_delay.c \
  'MIN(delay->least, took)' \
  'MAX(delay->least, took)'
m c-late "links: a late timer gives the peer as long again" io/endpoint_links.c \
  '  if (late < LATE_TIMER_MIN || link->is_extended)' \
  '  if (late >= 0 || link->is_extended)'
m k-settle "proof: a restored store proves nothing at first" router/config_proof.c \
  'at < proof->store_era_heard + CONFIG_PROOF_SETTLE_TIME' 'FALSE'
m k-told "proof: one of an earlier era is not told" router/config_proof.c \
  '  if (proof->at_in_era == 0)
    return CONFIG_PROOF_NONE;
  /* Rounded up, so that no instance is told a later time than the true one. */
  return (guint32)MIN((now - proof->at_in_era)' \
  '  if (proof->at == 0)
    return CONFIG_PROOF_NONE;
  return (guint32)MIN((now - proof->at)'
m t-sending "stop: it waits until all is sent" io/planned_stop.c \
  'work->carried == 0 && work->sending == 0' 'work->carried == 0'
m t-carried "stop: it waits for carried connections" io/planned_stop.c \
  ' && work->carried == 0' ''
m t-most "stop: it ends in time" io/planned_stop.c \
  'now - stop->ended_at < STOP_FLUSH_TIME ? STOP_FLUSHING : STOP_CUTTING' \
  'STOP_FLUSHING'
m t-late "stop: a late loop ends requests too" io/planned_stop.c \
  'if (stop->ended_at == 0) {' \
  'if (stop->ended_at == 0 && now - stop->began_at < stop->most + STOP_FLUSH_TIME) {'
m t-keep "stop: callers that keep connections delay it by 1 s" io/planned_stop.c \
  'now - stop->finished_at < STOP_LINGER_TIME &&' ''
m t-close "stop: it waits until callers have closed" io/planned_stop.c \
  'waits_for_callers(stop, work, now) ? STOP_FINISHING : STOP_DRAINED' \
  'STOP_DRAINED'
m t-ran "stop: what may have run is not told as not run" router/finish.c \
  'else if (may_run)
    finish_refuse(router, request, REFUSAL_OUTCOME_UNKNOWN);
  else
    finish_refuse(router, request, REFUSAL_DRAINING);' \
  'else
    finish_refuse(router, request, REFUSAL_DRAINING);'
m t-queued "stop: queued bytes are not sent" io/front.c \
  'else if (size > 0 || connection->state == CONNECTION_FLUSHING)' \
  'else if (connection->state == CONNECTION_FLUSHING)'
m t-flush "stop: a flushed connection is not closed yet" io/front.c \
  'else if (size > 0 || connection->state == CONNECTION_FLUSHING)' \
  'else if (size > 0)'
m t-linger "stop: a refusal may still be reset" io/front.c \
  '    unsent->lingering++;' '    ;'
m t-unacked "stop: what the kernel holds is not sent yet" io/front.c \
  '  if (size > 0)
    unsent->connections++;' '  if (FALSE)
    unsent->connections++;'
m t-timeout "an answer that is still read is not idle" io/front_connection.c \
  'return connection_unsent(connection) > 0;
  return connection->state' 'return FALSE;
  return connection->state'
m t-acked "an answer that the kernel still sends is not closed" io/front_connection.c \
  'clock_now() < connection->lingers_until &&
         connection_unacknowledged(connection) > 0;' 'FALSE;'
m t-idle "stop: an idle connection may still be sent an answer" \
  io/front_connection.c \
  'if (connection->held_until == 0 && !connection_hold(connection))' \
  'if (connection->held_until == 0)'
m t-held "a held connection is closed" io/front_connection.c \
  'else if (was_acknowledged || clock_now() >= connection->held_until)' \
  'else if (was_acknowledged && clock_now() >= connection->held_until)'
m t-stream "a connection is held after a stream" io/front_connection.c \
  'else if (connection->may_continue && !connection->has_ended) {' \
  'else if (FALSE) {'
m t-limits "limits: a held connection keeps its timeout" io/front_request.c \
  '      connection->held_until == 0)' '      TRUE)'
m t-next "stop: a next request does not reset the answer" io/front_connection.c \
  '    connection->lingers |= http_reader_keep_alive(connection->reader);' ''
m t-unsent "stop: a connection with unsent bytes is not idle" io/front.c \
  'else if (connection_unsent(connection) == 0)' 'else'
m p-search "paths: other instances are asked" router/reach.c \
  '  if (carriers_count(reach->carriers) == 0)
    return FALSE;
  if (via' \
  '  if (carriers_count(reach->carriers) != 0)
    return FALSE;
  if (via'
m p-survey "paths: the other endpoints are checked" router/reach.c \
  '  survey(reach, now);
}' \
  '}'
m p-refused "paths: one refusal proves no end" router/reach.c \
  '  else
    begin_search(reach, endpoint, now);
}' \
  '  else
    deliver(reach, path, OUTCOME_UNREACHABLE, now);
}'
m p-zone "paths: a data centre whose carriers fail comes last" router/carriers.c \
  'if (view->was_asked || (view->has_failed && !view->is_proven))' \
  'if (view->was_asked)'
m p-order "paths: orders go directly" router/gate.c \
  'return state == PATH_INDIRECT && kind != DISPATCH_ORDER &&
         kind != DISPATCH_REPORT;' \
  'return state == PATH_INDIRECT;'
m p-whole "carried: only a complete end is told as one" io/carry_server.c \
  'pass_to_asker(carried, (what & BEV_EVENT_EOF) != 0 && !carried->is_cut);' \
  'pass_to_asker(carried, TRUE);'
m t-entry "stop: what would outlast it is not accepted" router/router.c \
  'if (finish_outlasting(router, request, now))
    return;' ''
m t-start "stop: what waited is checked before it starts" router/admission.c \
  '  if (finish_outlasting(router, request, now))
    return;
' ''
m t-tail "stop: the share of long requests decides" router/run_times.c \
  'share * (double)(left + retry_cost) > (double)retry_cost' 'share > 0.5'
m t-cost "stop: a cut costs the time left" router/run_times.c \
  'share * (double)(left + retry_cost) > (double)retry_cost' 'share > 0'
m t-none "stop: without time left nothing starts" router/run_times.c \
  'return left <= 0 ||' 'return'
m t-few "stop: few durations refuse nobody" router/run_times.c \
  'times->samples < RUN_TIMES_SAMPLES_MIN' 'times->samples < 1'
m t-unseen "stop: a few long requests count" router/run_times.c \
  '#define UNSEEN_DURATIONS 0.5' '#define UNSEEN_DURATIONS 0'
m t-strict "stop: an upper bound decides where others go on" router/stop_choice.c \
  'run_times_share_longer_max(input->durations, input->left);' \
  'run_times_share_longer(input->durations, input->left);'
m t-others "stop: the expected share decides where most stop" router/stop_choice.c \
  'input->others_stopping <= STOPPING_SHARE_MAX * input->others' 'TRUE'
m t-alone "stop: without others a refusal costs the time left" router/stop_choice.c \
  'input->others == 0 ? MAX(cost, input->left) : cost' 'cost'
m t-quick "stop: the bound does not refuse a quick service" router/run_times.c \
  'duration / UNSEEN_RATIO_MAX' '0'
m t-tell "stop: the digest tells of it" router/loads.c \
  'router->stop_ends_at != 0;' '0;'
m t-ends "stop: what ends before it is started" router/finish.c \
  '|| request->expires <= router->stop_ends_at' ''
m t-forget "stop: old durations are forgotten" router/run_times.c \
  'times->weights[i] /= 2;' ';'
m t-whole "stop: durations count from the acceptance" router/router.c \
  '        duration);' '        now - request->open.sent);'
m t-calm "stop: without one nothing is refused" router/finish.c \
  'router->stop_ends_at == 0 ||' ''
m s-kernel "stop: a request in the kernel keeps its connection" io/front.c \
  '  if (connection->head == NULL && connection_has_input(connection))
    return;
' ''
m s-partial "stop: a request that still arrives is refused" io/front.c \
  '  if (connection_is_receiving(connection))
    connection_refuse_for_stop(connection);
  else if' \
  '  if'
m s-late "stop: a late request is refused by its head" io/front_request.c \
  'if (connection->front->is_refusing && connection->head != NULL)' \
  'if (FALSE)'
m s-next "stop: a stream that did not announce its end keeps the connection" \
  io/front_response.c \
  'return (front->is_refusing || intake_is_full(front->intake)) &&
         !connection_has_input(connection);' \
  'return front->is_refusing || intake_is_full(front->intake);'
m s-half "callers: one that ends its side gets its answer" io/front.c \
  'if ((what & BEV_EVENT_EOF) &&' \
  'if (FALSE &&'
m s-both "callers: an end together with a failure closes" io/front.c \
  '      !(what & (BEV_EVENT_ERROR | BEV_EVENT_WRITING)) &&
' ''
m s-silent "callers: no read timeout while the last response is sent" io/front_connection.c \
  '  connection_set_read_timeout(connection, 0); /* only the writing counts now */
' ''
m l-kept "limits: a change binds on kept connections" io/front.c \
  '    connection_adopt_limits(key);' '    ;'
m l-half "limits: a smaller one spares what is half read" io/front_request.c \
  '    raise_limits(connection);
    return;' '    ;'
m l-next "limits: the next request gets those in force" io/front_connection.c \
  '  connection_begin_limits(connection);
  connection_set_read_timeout' '  connection_set_read_timeout'
m l-rest "limits: a shorter timeout prolongs no rest" io/front_connection.c \
  'MIN(connection->read_until, now + wait)' 'now + wait'
m l-began "limits: a longer timeout counts from its beginning" \
  io/front_connection.c 'connection->read_began_at + wait);' 'now + wait);'
m l-count "limits: a body that may grow is counted" io/front_request.c \
  'announced_body(connection) > announced)' 'FALSE)'
m l-kernel "callers: no timeout cuts what lies in the kernel" \
  io/front_connection.c 'return connection->state == CONNECTION_READING &&
         connection_has_input(connection);' 'return FALSE;'
m s-first-bytes "stop: a new connection is not idle" io/intake.c \
  'now - connection->accepted_at < INTAKE_FIRST_BYTES_MAX;' 'now < connection->accepted_at;'
m s-linger "callers: discarding input ends" io/front.c \
  'if (clock_now() >= connection->lingers_until)' 'if (FALSE)'
m s-discard "callers: a request that is discarded is reported" \
  io/front_connection.c '    report_discarded(connection);
    http_head_free' '    http_head_free'
m s-abort "callers: what was sent of a stream that is broken off arrives" \
  io/front.c \
  '  connection->lingers |= http_reader_keep_alive(connection->reader);
  connection_close_when_flushed' \
  '  connection_close_when_flushed'
m s-release "stop: releases under way are counted" io/endpoint_links.c \
  'count += link->call->kind == DISPATCH_RELEASE ? 1 : 0;' \
  'count += link->call == NULL;'
m p-linger "carried: input behind the answer is discarded" io/carry_server.c \
  '    linger(carried);
  else if' \
  '    close_carried(carried);
  else if'
m p-silent "carried: discarding input ends after silence" io/carry_server.c \
  'bufferevent_set_timeouts(carried->asker, &silence, NULL);' \
  '(void)silence;'
m p-longest "carried: discarding input ends" io/carry_server.c \
  'start_timer(carried, LINGER_MAX);' ''
m e-body "endless: a body beyond the buffer is broken" io/endpoint_links.c \
  'call->is_oversized = TRUE;' ';'
m e-event "endless: an event without end breaks its stream" io/endpoint_links.c \
  'event_splitter_pending_size(&call->events) > MAX_EVENT_BYTES' 'FALSE'
m e-scan "endless: the bytes of an event are scanned once" http/events.c \
  'splitter->scanned = pending->len - MIN(pending->len, 2);' ';'
m e-resume "endless: an end that arrives in two parts is found" http/events.c \
  'pending->len - MIN(pending->len, 2)' 'pending->len'
m e-skip "endless: responses that are passed over are counted" io/endpoint_links.c \
  '++call->skipped_count > MAX_SKIPPED_RESPONSES' 'FALSE'
m e-foreign "endless: the bodies that are passed over are bounded" io/endpoint_links.c \
  'call->is_oversized = call->skipped_bytes > MAX_BODY_BYTES;' ';'
m e-verdict "endless: a carrier's verdict is bounded" io/carry_client.c \
  '    if (state == RECORD_BAD ||
        evbuffer_get_length(client->input) > VERDICT_BYTES_MAX)' \
  '    if (state == RECORD_BAD)'
m e-drip "endless: bytes now and then do not extend a call to the store" \
  io/store_link.c 'gint64 wait = CLAMP(left, 0, link->timeout);' \
  'gint64 wait = left * 0 + link->timeout;'
m e-head "endless: only a body counts as received from the store" io/store_link.c \
  'if (link->body->len > received) {' 'if (received + 1 > 0) {'
m e-narrow "endless: a large answer over a narrow link is not given up" \
  io/store_link.c 'link->timeout + extension(link) - passed' \
  'link->timeout - passed'
m e-interim "endless: an interim response of the store is no reply" \
  io/store_link.c 'if (link->head->status >= 200) {' 'if (TRUE) {'
m p-unacked "carried: counted until the asker has acknowledged all" \
  io/carry_server.c \
  'if (is_silent && socket_unacknowledged(bufferevent_getfd(events)) > 0)' \
  'if (FALSE)'
m e-own "endless: a head of the own interface is bounded" io/http.c \
  'evhttp_connection_set_max_headers_size(c->conn, MAX_HEAD_BYTES);' ''
m c-coding "cut: an unknown transfer coding is no message" http/reader.c \
  'return is_chunked && (parser->flags & F_CHUNKED) != 0 &&
         parser->http_major == 1 && parser->http_minor >= 1;' 'return TRUE;'
m c-cr "cut: a CR without LF ends no head" http/reader.c \
  'if (!reader->has_head &&' 'if (FALSE &&'
m c-reset "cut: a reset that writing finds is no end" io/endpoint_links.c \
  'link->is_cut |= socket_may_miss_reset(what);' ''
m c-carried "cut: a reset that writing finds is not told as an end" \
  io/carry_server.c 'carried->is_cut |= socket_may_miss_reset(what);' ''
m c-epipe "cut: a reset behind an orderly end changes nothing" io/sockets.c \
  'EVUTIL_SOCKET_ERROR() != EPIPE' 'TRUE'
m c-own "cut: own interface, an unknown framing is broken" io/http.c \
  'status > 599 || !is_framing_known(req)' 'status > 599'
m c-own-interim "cut: own interface, an interim response is none" io/http.c \
  'status < 200 || status > 599' 'status > 599'
m c-own-status "status: own interface, 600 is none" io/http.c \
  'status > 599 || ' ''
m c-status "status: 000 and 600 are none" http/reader.c \
  'return status >= 100 && status <= 599 && status != 101;' 'return TRUE;'
m c-status-digits "status: three digits" http/reader.c \
  'reader->status_digits != STATUS_DIGITS' 'FALSE'
m c-head-size "heads: a field counts with what stands around it" http/reader.c \
  'size_counted += FIELD_EXTRA_BYTES;' ''
m q-unproved "quarantine: a later answer proves a run" router/suspects.c \
  'acquit_unproved(router, &request->open, now);' ''
m q-earlier "quarantine: an answer to an earlier dispatch proves none" \
  router/unproved_runs.c 'if (run->ended >= sent)' 'if (FALSE)'
m f-stalled "memory: only what stalls gives way" io/flow_input.c \
  'arrival->received < FLOW_QUICK_BYTES' 'TRUE'
m f-helps "memory: none gives way for nothing" io/flow_input.c \
  'return stalled_bytes >= need ? first : -1;' 'return first;'
m f-headroom "memory: the oldest body can grow" io/flow_control.c \
  'return FLOW_BODY_COPIES * (oldest->body_max - oldest->body);' 'return 0;'
m f-reserve "memory: small requests have a reserve" io/flow_control.c \
  'bound += bound / FLOW_RESERVE_SHARE;' ''
m f-alone "memory: one body alone is taken in" io/flow_control.c \
  'if (more > 0 || own_body > SMALL_OWN_BYTES)' 'if (more > 0)'
m c-no-socket "descriptors: no end within http_call" io/http.c \
  'if (c->is_ended || c->is_making)' 'if (c->is_ended)'
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
