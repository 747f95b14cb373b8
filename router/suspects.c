/*
** suspects.c
** Requests, and parts of prompts, under which endpoints end: holds or defers
** them
**
** What follows of a request holds for each shared part of its prompt too: a
** request is held or deferred if one of its subjects is. A request is held by
** the quarantine (router/quarantine.h) and deferred by
** strikes and suspicions together (router/suspicions.h). suspects_may_dispatch
** is asked before every dispatch for a caller, so a request that becomes held
** while it waits or while its prompt is read is not sent either. A request is
** deferred, too, while every endpoint that could run it has just ended, or may
** have, under it: the list still has them, and a run there would be lost.
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/continuation.h"
#include "router/state.h"

/* The caller of a request that is held for longer is asked to come back on
** another day, when an operator may have lifted the hold. */
#define RETRY_AFTER_MAX (86400 * MP_SEC)
/* An endpoint that crashes on a part of a prompt does so when it begins to
** write an answer; one that has written for this long has not. */
#define WRITING_TIME (1 * MP_SEC)
/* The caller of a request with one of two held parts that a trial will tell
** apart, or of one that waits for a probe, is asked to come back after this.
*/
#define TRIAL_RETRY_AFTER (3 * MP_SEC)

static gboolean is_proved(void *quarantine, guint64 content, guint32 life) {
  return quarantine_has_strike(quarantine, content, life);
}

/* Returns TRUE if a run of the subject went on so lately that a suspected end
** is likely to have other reasons. */
static gboolean was_just_acquitted(const Router *router, guint64 subject,
                                   gint64 now) {
  gint64 at = quarantine_acquitted_at(router->quarantine, subject);
  return at != G_MININT64 && now - at < SUSPICION_LIFETIME;
}

/*
** Returns the time until which the subject is deferred, or 0 if it is not.
** Suspected ends count like strikes for the seconds until they are proved or
** disproved, because otherwise each instance would send the request to one
** more endpoint meanwhile.
*/
static gint64 deferred_until(const Router *router, guint64 subject,
                             gint64 now) {
  gint64 until;
  guint suspected = suspicions_count(router->suspicions, subject, is_proved,
                                     router->quarantine, &until, now);
  guint strikes;
  if (suspected == 0 || was_just_acquitted(router, subject, now))
    return 0;
  strikes = quarantine_event_count(router->quarantine, subject);
  return strikes + suspected >=
                 quarantine_hold_strikes(router->quarantine, subject, now)
             ? until
             : 0;
}

void suspects_list_crashed(const Router *router, const Request *request,
                           EndpointQuery *query, gint64 now) {
  guint known =
      quarantine_list_crashes(router->quarantine, request->content,
                              query->crashed, CRASHED_INCARNATIONS_MAX);
  query->crashed_count =
      known + suspicions_list_lives(router->suspicions, request->content,
                                    query->crashed + known,
                                    CRASHED_INCARNATIONS_MAX - known, now);
}

/*
** Returns the time until which no endpoint can run the request, because each
** one that could has ended, or is suspected to have ended, under it; 0 if one
** can. An incarnation that is still listed after that time has not ended.
*/
static gint64 crashed_everywhere_until(const Router *router,
                                       const Request *request, gint64 now) {
  EndpointQuery query = {0};
  gint64 suspected_until;
  gint64 proved_until;
  gint64 until;
  query.service = request->service->name;
  query.stage = path_run_stage(request);
  query.software = request->software;
  suspects_list_crashed(router, request, &query, now);
  if (!endpoint_table_has_only_crashed(router->endpoints, &query, now))
    return 0;
  suspicions_count(router->suspicions, request->content, is_proved,
                   router->quarantine, &suspected_until, now);
  proved_until = quarantine_learned_at(router->quarantine, request->content);
  if (proved_until != G_MININT64)
    proved_until += SUSPICION_LIFETIME;
  until = MAX(suspected_until, proved_until);
  return until > now ? until : 0;
}

/* Returns TRUE if the request runs as the trial of this held part, and no
** endpoint has ended under the part since it began. */
static gboolean is_on_trial(const Router *router, const Request *request,
                            guint64 part) {
  return request->trial == part &&
         quarantine_strike_count(router->quarantine, part) ==
             request->trial_strikes;
}

/* Returns TRUE if the request runs as a probe, and none of its runs has broken
** off since the probe began. */
static gboolean is_on_probe(const Request *request) {
  return request->is_probe && request->runs == request->probe_runs;
}

/* Returns the time until which the subject keeps the request from being sent,
** and sets '*why'; 0 if it does not. */
static gint64 barred_until(const Router *router, const Request *request,
                           guint64 subject, RefusalKind *why, gint64 now) {
  gint64 until = quarantine_held_until(router->quarantine, subject, now);
  *why = REFUSAL_HELD;
  if (until != 0)
    return until;
  if (!is_on_probe(request) &&
      quarantine_needs_probe(router->quarantine, subject, now))
    return now + TRIAL_RETRY_AFTER;
  *why = REFUSAL_SUSPECTED;
  return deferred_until(router, subject, now);
}

/* Returns the part that keeps the request from being sent, and until when; 0
** if none does. */
static guint64 find_barred_part(const Router *router, const Request *request,
                                gint64 *until, RefusalKind *why, gint64 now) {
  guint64 found = 0;
  guint i;
  for (i = 0; i < request->parts_count; i++) {
    RefusalKind kind;
    gint64 ends = barred_until(router, request, request->parts[i], &kind, now);
    if (ends == 0 || is_on_trial(router, request, request->parts[i]) ||
        (found != 0 && ends <= *until))
      continue;
    found = request->parts[i];
    *until = ends;
    *why = kind;
  }
  return found;
}

/* Returns TRUE if the request is the trial that tells a held part from its
** twin. One instance tries for all, and one request at a time. */
static gboolean begin_trial(Router *router, Request *request, guint64 part,
                            gint64 now) {
  guint held = 0;
  guint i;
  for (i = 0; i < request->parts_count; i++)
    held +=
        quarantine_held_until(router->quarantine, request->parts[i], now) != 0;
  if (held != 1 || request->trial != 0 ||
      !continuation_is_first(router, part) ||
      !quarantine_begin_trial(router->quarantine, part, now))
    return FALSE;
  request->trial = part;
  request->trial_strikes = quarantine_strike_count(router->quarantine, part);
  return TRUE;
}

/* Returns TRUE if the request becomes the probe of this subject, whose hold
** has ended. One instance probes for all: should it end, the next one does,
** once it is missing among the members. */
static gboolean begin_probe(Router *router, Request *request, guint64 subject,
                            gint64 now) {
  if (!quarantine_needs_probe(router->quarantine, subject, now) ||
      !continuation_is_first(router, subject) ||
      !quarantine_begin_probe(router->quarantine, subject, now))
    return FALSE;
  request->is_probe = TRUE;
  request->probe_runs = request->runs;
  return TRUE;
}

/* Returns TRUE if none of the request's parts keeps it from being sent; else
** sets '*why' and Request.come_back. */
static gboolean may_send_parts(Router *router, Request *request,
                               RefusalKind *why, gint64 now) {
  gint64 until = 0;
  guint64 part = find_barred_part(router, request, &until, why, now);
  gboolean has_twin;
  if (part != 0 && begin_probe(router, request, part, now))
    part = find_barred_part(router, request, &until, why, now);
  if (part == 0)
    return TRUE;
  has_twin = *why == REFUSAL_HELD &&
             quarantine_has_twin(router->quarantine, part, request->parts,
                                 request->parts_count);
  if (has_twin && begin_trial(router, request, part, now))
    return TRUE;
  if (has_twin)
    request->come_back = TRIAL_RETRY_AFTER;
  else
    request->come_back = MIN(until - now, RETRY_AFTER_MAX);
  return FALSE;
}

gboolean suspects_may_dispatch(Router *router, Request *request,
                               RefusalKind *why, gint64 now) {
  gint64 until = barred_until(router, request, request->content, why, now);
  if (until != 0 && begin_probe(router, request, request->content, now))
    until = barred_until(router, request, request->content, why, now);
  if (until == 0)
    until = crashed_everywhere_until(router, request, now);
  if (until == 0)
    return may_send_parts(router, request, why, now);
  request->come_back = MIN(until - now, RETRY_AFTER_MAX);
  return FALSE;
}

/* Returns TRUE if the subject is held or deferred. */
static gboolean is_held_or_deferred(const Router *router, guint64 subject,
                                    gint64 now) {
  return quarantine_held_until(router->quarantine, subject, now) != 0 ||
         deferred_until(router, subject, now) != 0;
}

/* Returns a waiting request of which a subject is held or deferred; NULL if
** there is none. */
static Request *find_held_waiting(const Router *router, gint64 now) {
  guint i;
  for (i = 0; i < router->waiting->len; i++) {
    Request *request = router->waiting->pdata[i];
    RefusalKind why;
    gint64 until;
    if (barred_until(router, request, request->content, &why, now) != 0 ||
        find_barred_part(router, request, &until, &why, now) != 0)
      return request;
  }
  return NULL;
}

void suspects_refuse_held(Router *router, gint64 now) {
  Request *request;
  RefusalKind why = REFUSAL_HELD;
  while ((request = find_held_waiting(router, now)) != NULL) {
    if (suspects_may_dispatch(router, request, &why, now))
      continue; /* it is a trial now */
    finish_forbidden(router, request, why, now);
  }
}

/* Returns the kind of a subject, as logs have it. */
static const char *kind_name(guint64 subject) {
  return (subject & QUARANTINE_PART_BIT) != 0 ? "part" : "request";
}

/* Logs that a request is held, if it is. 'from' says where the newest strike
** comes from: "here", "instance" or "store". */
static void log_held(Router *router, guint64 content, const char *from,
                     gint64 now) {
  gint64 until = quarantine_held_until(router->quarantine, content, now);
  guint strikes = quarantine_strike_count(router->quarantine, content);
  gint64 seconds = (until - now) / MP_SEC;
  if (until == 0)
    return;
  router_log(router, MP_LOG_REQUEST_HELD,
             " content=%016" G_GINT64_MODIFIER
             "x kind=%s strikes=%u from=%s for_s=%" G_GINT64_FORMAT,
             content, kind_name(content), strikes, from, seconds);
}

static void note_broken_subject(Router *router, const Endpoint *endpoint,
                                const QuarantineSuspect *suspect, gint64 now) {
  if (!endpoint_is_leaving(endpoint) &&
      !was_just_acquitted(router, suspect->content, now))
    suspicions_add(router->suspicions, suspect->content, endpoint->hash, now);
  crash_watch_run_broken(router->crashes, endpoint, suspect, now);
}

void suspects_note_broken(Router *router, const Request *request,
                          const Endpoint *endpoint, gint64 now) {
  QuarantineSuspect suspect = {request->content,     now,  request->id,
                               request->route->name, NULL, request->open.sent};
  guint i;
  if (request->account != NULL)
    suspect.account = request->account->name;
  note_broken_subject(router, endpoint, &suspect, now);
  for (i = 0; i < request->parts_count; i++) {
    suspect.content = request->parts[i];
    note_broken_subject(router, endpoint, &suspect, now);
  }
}

void suspects_add_strike(Router *router, const QuarantineSuspect *suspect,
                         guint32 life, gint64 now) {
  if (quarantine_add_strike(router->quarantine, suspect, life, now))
    log_held(router, suspect->content, "here", now);
}

/* Logs that a subject is no longer held. */
static void log_lifted(Router *router, guint64 subject) {
  router_log(router, MP_LOG_REQUEST_LIFTED,
             " content=%016" G_GINT64_MODIFIER "x kind=%s", subject,
             kind_name(subject));
}

/* The open run went on. What ended before it was sent is not its doing. */
static void acquit(Router *router, guint64 subject, gint64 sent, gint64 now) {
  if (quarantine_acquit(router->quarantine, subject, sent, now))
    log_lifted(router, subject);
}

static void acquit_parts(Router *router, Request *request, gint64 now) {
  guint i;
  request->is_acquitting = TRUE;
  for (i = 0; i < request->parts_count; i++)
    acquit(router, request->parts[i], request->open.sent, now);
}

void suspects_note_piece(Router *router, Request *request, gint64 now) {
  if (request->run_piece_at == 0)
    request->run_piece_at = now;
  if (!request->is_acquitting && now - request->run_piece_at >= WRITING_TIME)
    acquit_parts(router, request, now);
}

/* The answer of the open run ended with its connection. */
static void note_unproved(Router *router, const Request *request, gint64 now) {
  UnprovedRun run = {0};
  run.life = request->open.life;
  run.sent = request->open.sent;
  run.ended = now;
  run.content = request->content;
  run.parts_count = request->parts_count;
  memcpy(run.parts, request->parts,
         request->parts_count * sizeof *request->parts);
  unproved_runs_add(router->unproved_runs, &run);
}

/* The runs that ended with their connections at this incarnation before it was
** sent what it has answered now were good. */
static void acquit_unproved(Router *router, const OpenDispatch *answered,
                            gint64 now) {
  UnprovedRun run;
  guint i;
  while (unproved_runs_take(router->unproved_runs, answered->life,
                            answered->sent, &run)) {
    acquit(router, run.content, run.sent, now);
    for (i = 0; i < run.parts_count; i++)
      acquit(router, run.parts[i], run.sent, now);
  }
}

void suspects_note_answer(Router *router, const Request *request, gint64 now) {
  suspicions_clear_incarnation(router->suspicions, request->open.life, now);
  acquit_unproved(router, &request->open, now);
}

void suspects_note_success(Router *router, Request *request, RunEnd end,
                           gint64 now) {
  quarantine_run_succeeded(router->quarantine, request->content);
  if (end == RUN_FAILED)
    return;
  if (end == RUN_UNPROVED) {
    note_unproved(router, request, now);
    return;
  }
  acquit(router, request->content, request->open.sent, now);
  acquit_parts(router, request, now);
}

void suspects_attach_parts(Request *request, const CallerRequest *call) {
  guint64 service =
      XXH3_64bits(request->service->name, strlen(request->service->name));
  guint i;
  request->parts_count = call->parts_count;
  for (i = 0; i < call->parts_count; i++)
    request->parts[i] =
        XXH3_64bits_withSeed(&call->parts[i], sizeof call->parts[i], service) |
        QUARANTINE_PART_BIT;
}

/*
** {==================================================================
** Exchange with other instances and the store
** ===================================================================
*/

/* Makes a record of a message's row, which has no texts. */
static void record_from_row(const mp_CrashRow *row, QuarantineRecord *out,
                            gint64 now) {
  const gint64 unit = MP_CRASH_TIME_MS * MP_MS;
  unsigned i;
  out->content = row->request;
  out->count = MIN(row->n, QUARANTINE_STRIKES_MAX);
  for (i = 0; i < out->count; i++) {
    out->crashes[i] = row->crash[i];
    if (row->length[i] == 0)
      continue;
    out->broke_at[i] = now - row->age[i] * unit;
    out->began_at[i] = out->broke_at[i] - row->length[i] * unit;
  }
}

static gboolean receive_acquittals(Router *router, const mp_CrashUpdate *news,
                                   gint64 now) {
  gboolean is_new = FALSE;
  unsigned i;
  for (i = 0; i < news->acquitted_n; i++) {
    const mp_AcquittalRow *row = &news->acquitted[i];
    if (!quarantine_acquit(router->quarantine, row->part,
                           now - row->age_ms * MP_MS, now))
      continue;
    is_new = TRUE;
    log_lifted(router, row->part);
  }
  return is_new;
}

gboolean router_receive_crashes(Router *router, const mp_CrashUpdate *news,
                                gint64 now) {
  gboolean is_new = FALSE;
  unsigned i;
  for (i = 0; i < news->n; i++) {
    QuarantineRecord record = {0};
    record_from_row(&news->row[i], &record, now);
    if (!quarantine_merge(router->quarantine, &record, now))
      continue;
    is_new = TRUE;
    log_held(router, record.content, "instance", now);
  }
  is_new |= receive_acquittals(router, news, now);
  is_new |= suspicions_receive(router->suspicions, news, now);
  if (is_new)
    suspects_refuse_held(router, now);
  return is_new;
}

void router_report_crashes(const Router *router, gboolean all,
                           mp_CrashUpdate *out, gint64 now) {
  quarantine_write_news(router->quarantine, all, out, now);
  suspicions_write(router->suspicions, all, out, now);
}

guint64 router_crash_version(const Router *router) {
  return quarantine_version(router->quarantine) +
         suspicions_version(router->suspicions);
}

void router_apply_quarantine(Router *router, const QuarantineRecord *record,
                             StorePosition position, gint64 now) {
  if (!quarantine_merge_stored(router->quarantine, record, position, now))
    return;
  log_held(router, record->content, "store", now);
  suspects_refuse_held(router, now);
}

void router_remove_quarantine(Router *router, guint64 content, gint64 now) {
  if (is_held_or_deferred(router, content, now))
    log_lifted(router, content);
  quarantine_lift(router->quarantine, content, now);
}

gboolean router_next_quarantine_save(Router *router, QuarantineSave *out,
                                     gint64 now) {
  return quarantine_next_save(router->quarantine, out, now);
}

void router_quarantine_save_failed(Router *router, guint64 content,
                                   gint64 now) {
  quarantine_save_failed(router->quarantine, content, now);
}

void router_quarantine_count(const Router *router, gint64 now, guint *suspects,
                             guint *held) {
  quarantine_count(router->quarantine, now, suspects, held);
}

/* }================================================================== */
