/*
** origin_store.c
** Origins of streams in the store, which outlives all instances
*/

#include <string.h>

#include "router/continuation.h"
#include "router/origin_store.h"
#include "router/stream_replicas.h"

/* A first piece is held back for this long at most: callers take a piece as
** late that reaches them 120 ms after it was made. */
#define RECORD_WAIT (80 * MP_MS)
/* A recorder that has not acknowledged after this time is not used for
** AVOID_TIME. It covers one write under way, the pause and the next write. */
#define ACK_WAIT (45 * MP_MS)
#define AVOID_TIME (1 * MP_SEC)
/* Nothing is held for this long after the store did not answer in time. */
#define NO_HOLD_TIME (1 * MP_SEC)
/* time between the ends and beginnings of two lists */
#define LIST_INTERVAL (50 * MP_MS)

struct OriginStore {
  OriginSlices *slices;
  mp_Addr avoided;      /* a recorder that did not acknowledge in time */
  gint64 avoided_until; /* is not used until then */
  gint64 no_hold_until; /* nothing is held until then */
  guint32 last_number;  /* of the newest STREAM_RECORD */
  StreamOrigins *found; /* what the open list has named; NULL: none is open */
  gint64 list_began;    /* when the open list began */
  gint64 next_list_at;
  gboolean is_failing; /* the last write failed */
};

void router_use_origin_store(Router *router) {
  router->origin_store = g_new0(OriginStore, 1);
  router->origin_store->slices = origin_slices_new();
  /* replies to what an earlier life sent may still come */
  router->origin_store->last_number = g_rand_int(router->random);
}

void origin_store_free(OriginStore *store) {
  if (store == NULL)
    return;
  origin_slices_free(store->slices);
  if (store->found != NULL)
    stream_origins_free(store->found);
  g_free(store);
}

void origin_store_expire(Router *router, gint64 now) {
  if (router->origin_store != NULL)
    origin_slices_expire(router->origin_store->slices, now);
}

void origin_store_restored(Router *router) {
  if (router->origin_store != NULL)
    origin_slices_store_restored(router->origin_store->slices);
}

/*
** {==================================================================
** The recorder of the data centre
** ===================================================================
*/

static mp_Addr choose_recorder(const Router *router, gint64 now) {
  const OriginStore *store = router->origin_store;
  return stream_replicas_recorder(
      continuation_members(router->continuation), router->self,
      g_str_hash(router->endpoints->zone),
      now < store->avoided_until ? store->avoided : 0);
}

/* }================================================================== */

/*
** {==================================================================
** First pieces that are held back
** ===================================================================
*/

gint64 origin_store_hold_timer(const PieceHold *hold) {
  return hold->repeat_at != 0 ? MIN(hold->repeat_at, hold->until)
                              : hold->until;
}

static void release(Router *router, Request *request, gint64 now) {
  router_count(router, PIECES_HELD);
  router->counters[ROUTER_COUNT_PIECES_HELD_MS] +=
      (guint64)(now - request->hold.since) / MP_MS;
  request->hold.since = 0;
  router->host.hold(router->host.data, request->number, FALSE);
}

void origin_store_release(Router *router, Request *request) {
  if (request->hold.since != 0)
    release(router, request, request->hold.since);
}

/* Returns the request whose piece is held until this number is answered; NULL:
** there is none any more. */
static Request *find_held(const Router *router, guint32 number) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Request *request = value;
    if (request->hold.since != 0 && request->hold.number == number)
      return request;
  }
  return NULL;
}

static void repeat_record(Router *router, Request *request, gint64 now);

/* A recorder has answered. */
static void handle_recorded(Router *router, mp_Addr from, guint32 number,
                            gboolean is_written, gint64 now) {
  Request *request = find_held(router, number);
  if (is_written)
    router_count(router, ORIGINS_RECORDED);
  if (request == NULL || (!is_written && from != request->hold.recorder))
    return;
  if (!is_written && request->hold.repeat_at != 0) {
    repeat_record(router, request, now); /* the store may answer another one */
    return;
  }
  if (!is_written)
    router->origin_store->no_hold_until = now + NO_HOLD_TIME;
  release(router, request, now);
}

/* Adds an origin at the recorder here, and answers if its state is known. */
static void record_here(Router *router, const StreamOrigin *origin,
                        OriginAck ack, gint64 now) {
  RecordState state =
      origin_slices_add(router->origin_store->slices, origin, ack, now);
  mp_Msg message;
  if (state == RECORD_PENDING || ack.number == 0)
    return;
  if (ack.to == router->self) {
    handle_recorded(router, router->self, ack.number, state == RECORD_WRITTEN,
                    now);
    return;
  }
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_STREAM_RECORDED;
  message.u.recorded.number = ack.number;
  message.u.recorded.is_written = state == RECORD_WRITTEN;
  router->host.message(router->host.data, ack.to, &message);
}

/* Sends the origin to this recorder; 'number' 0: no reply is wanted. */
static void send_record(Router *router, mp_Addr recorder,
                        const StreamOrigin *origin, guint32 number,
                        gint64 now) {
  mp_Msg message;
  if (recorder == router->self) {
    OriginAck ack = {router->self, number, 0};
    record_here(router, origin, ack, now);
    return;
  }
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_STREAM_RECORD;
  message.u.record.number = number;
  message.u.record.origin = stream_origin_row(origin, now);
  router->host.message(router->host.data, recorder, &message);
}

/* Returns a number that is not 0. */
static guint32 next_number(OriginStore *store) {
  if (++store->last_number == 0)
    store->last_number = 1;
  return store->last_number;
}

void origin_store_record(Router *router, const StreamOrigin *origin,
                         gint64 now) {
  if (router->origin_store != NULL)
    send_record(router, choose_recorder(router, now), origin, 0, now);
}

void origin_store_record_first(Router *router, Request *request,
                               const StreamOrigin *origin, gint64 now) {
  OriginStore *store = router->origin_store;
  PieceHold *hold = &request->hold;
  if (store == NULL)
    return;
  if (now < store->no_hold_until) {
    origin_store_record(router, origin, now);
    return;
  }
  hold->number = next_number(store);
  hold->recorder = choose_recorder(router, now);
  hold->since = now;
  hold->until = now + RECORD_WAIT;
  hold->repeat_at = now + ACK_WAIT;
  router->host.hold(router->host.data, request->number, TRUE);
  send_record(router, hold->recorder, origin, hold->number, now);
}

/* Asks the next recorder. */
static void repeat_record(Router *router, Request *request, gint64 now) {
  OriginStore *store = router->origin_store;
  const StreamOrigin *origin =
      continuation_find(router, &request->stream, now);
  store->avoided = request->hold.recorder;
  store->avoided_until = now + AVOID_TIME;
  request->hold.repeat_at = 0;
  if (origin == NULL)
    return;
  request->hold.recorder = choose_recorder(router, now);
  send_record(router, request->hold.recorder, origin, request->hold.number,
              now);
}

void origin_store_handle_hold_timer(Router *router, Request *request,
                                    gint64 now) {
  if (now < request->hold.until) {
    repeat_record(router, request, now);
    return;
  }
  router_count(router, RECORDS_MISSED);
  router->origin_store->no_hold_until = now + NO_HOLD_TIME;
  release(router, request, now);
}

void origin_store_handle_message(Router *router, mp_Addr from,
                                 const mp_Msg *message, gint64 now) {
  if (message->kind == MP_MSG_STREAM_RECORD) {
    const mp_StreamRecord *record = &message->u.record;
    StreamOrigin origin = stream_origin_received(&record->origin, from, now);
    OriginAck ack = {from, record->number, 0};
    record_here(router, &origin, ack, now);
  } else if (message->kind == MP_MSG_STREAM_RECORDED) {
    handle_recorded(router, from, message->u.recorded.number,
                    message->u.recorded.is_written != 0, now);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Calls to the store
** ===================================================================
*/

gboolean router_next_origins_save(Router *router, OriginsSave *out,
                                  gint64 now) {
  OriginStore *store = router->origin_store;
  return store != NULL && origin_slices_next_call(store->slices, out, now);
}

/* Logs the first failure of a row, and the first success after it. */
static void log_state(Router *router, gboolean is_failing, const char *error) {
  OriginStore *store = router->origin_store;
  if (is_failing && !store->is_failing)
    router_log(router, MP_LOG_ORIGINS_NOT_KEPT, " error=\"%s\"",
               error != NULL ? error : "no answer");
  else if (!is_failing && store->is_failing)
    router_log(router, MP_LOG_ORIGINS_KEPT, "%s", "");
  store->is_failing = is_failing;
}

/* Answers those who sent what was written, or could not be. */
static void send_acks(Router *router, const GArray *acks, gboolean is_written,
                      gint64 now) {
  mp_Msg message;
  guint i;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_STREAM_RECORDED;
  message.u.recorded.is_written = is_written;
  for (i = 0; i < acks->len; i++) {
    const OriginAck *ack = &g_array_index(acks, OriginAck, i);
    message.u.recorded.number = ack->number;
    if (ack->to == router->self)
      handle_recorded(router, router->self, ack->number, is_written, now);
    else
      router->host.message(router->host.data, ack->to, &message);
  }
}

void router_origins_saved(Router *router, StoreStatus status,
                          StorePosition position,
                          const StreamOriginsRecord *record, const char *error,
                          gint64 now) {
  gboolean is_written;
  GArray *acks =
      origin_slices_handle_reply(router->origin_store->slices, status,
                                 position, record, &is_written, now);
  log_state(router, status == STORE_FAILED, error);
  send_acks(router, acks, is_written, now);
  g_array_free(acks, TRUE);
}

/* Returns a request that a list which begins at 'began' decides; NULL: there
** is none. */
static Request *find_waiting(const Router *router, gint64 began) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Request *request = value;
    if (request->phase == PHASE_ORIGIN && request->query.asks_store &&
        !request->query.is_listed && request->arrived <= began)
      return request;
  }
  return NULL;
}

gboolean router_next_origins_list(Router *router, gint64 now) {
  OriginStore *store = router->origin_store;
  if (store == NULL || store->found != NULL || now < store->next_list_at ||
      find_waiting(router, now) == NULL)
    return FALSE;
  store->found = stream_origins_new();
  store->list_began = now;
  router_count(router, ORIGIN_LISTS);
  return TRUE;
}

gint64 router_next_origins_time(const Router *router) {
  const OriginStore *store = router->origin_store;
  gint64 next;
  if (store == NULL)
    return G_MAXINT64;
  next = origin_slices_next_time(store->slices);
  if (store->found == NULL && find_waiting(router, G_MAXINT64) != NULL)
    next = MIN(next, store->next_list_at);
  return next;
}

void router_origins_listed(Router *router, const StreamOriginsRecord *record,
                           gint own_slice, gint64 now) {
  guint i;
  if (own_slice >= 0 && record->origins->len > 0)
    origin_slices_note_filled(router->origin_store->slices, (guint)own_slice);
  for (i = 0; i < record->origins->len; i++) {
    const StoredOrigin *stored =
        &g_array_index(record->origins, StoredOrigin, i);
    StreamOrigin origin = {0};
    origin.key = stored->key;
    origin.software = stored->software;
    origin.service = stored->service;
    origin.account = stored->account;
    origin.began = now; /* how long ago is not known */
    origin.expires = now + MIN(stored->left_ms, STREAM_LEFT_MS_MAX) * MP_MS;
    origin.told_by = ORIGIN_TOLD_BY_STORE;
    stream_origins_add(router->origin_store->found, &origin, now);
  }
}

static void keep_found(gpointer data, const StreamOrigin *origin, gint64 now) {
  continuation_keep_stored(data, origin, now);
}

void router_origins_list_ended(Router *router, gboolean is_complete,
                               gint64 now) {
  OriginStore *store = router->origin_store;
  StreamOrigins *found = store->found;
  Request *request;
  store->found = NULL;
  store->next_list_at = now + LIST_INTERVAL;
  if (is_complete) {
    stream_origins_each(found, keep_found, router, now);
    while ((request = find_waiting(router, store->list_began)) != NULL)
      continuation_handle_stored(router, request, found, now);
    admission_start_waiting_requests(router, now);
  }
  stream_origins_free(found);
}

/* }================================================================== */
