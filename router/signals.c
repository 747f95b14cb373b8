/*
** signals.c
** Signals: what endpoints say about themselves in the heads of their answers
**
** An endpoint may say that it is leaving or wants a rest (kept in its
** Availability) or name a rate (handed on to rates.c). That an endpoint is
** leaving is also passed on to the other instances, with load digests.
*/

#include <string.h>

#include "router/state.h"

/* An instance logs this many different unknown fields during its life. */
#define UNKNOWN_FIELDS_MAX 32
/* bytes of an unknown field's name that are logged */
#define UNKNOWN_FIELD_LENGTH 40

/* 'said_by' is "answer" or "instance": how this instance learned it. */
static void log_leaving(Router *router, const Endpoint *endpoint,
                        const char *said_by) {
  router_log(router, MP_LOG_EP_SAYS_LEAVING,
             " endpoint=%s said_by=%s listed=%s open=%u", endpoint->record.id,
             said_by, endpoint->record.ready ? "ready" : "draining",
             endpoint_open_count(router->endpoints, endpoint));
}

/* Returns TRUE if it was not known yet that the endpoint is leaving. */
static gboolean mark_leaving(Router *router, Endpoint *endpoint,
                             const char *said_by, gint64 now) {
  if (!availability_set_leaving(&endpoint->availability, now))
    return FALSE;
  log_leaving(router, endpoint, said_by);
  return TRUE;
}

/* The endpoint asked this instance to send nothing for 'time' microseconds. */
static void start_rest(Router *router, Endpoint *endpoint, gint64 time,
                       gint64 now) {
  Availability *known = &endpoint->availability;
  if (!availability_extend_rest(known, time, now))
    return;
  router_log(router, MP_LOG_EP_REST,
             " endpoint=%s asked_ms=%d rest_ms=%d open=%u",
             endpoint->record.id, (int)(MIN(time, REST_DURATION_MAX) / MP_MS),
             (int)(availability_rest_remaining(known, now) / MP_MS),
             endpoint_open_count(router->endpoints, endpoint));
}

/* Counts unreadable signals, and logs the first one in a life of the endpoint,
** because an endpoint that sends one sends it with each answer. */
static void report_unreadable(Router *router, Endpoint *endpoint,
                              const EndpointSignals *signals) {
  router_count(router, SIGNALS_BAD);
  if (endpoint->availability.is_logged)
    return;
  endpoint->availability.is_logged = TRUE;
  router_log(router, MP_LOG_EP_SIGNAL_BAD, " endpoint=%s leaving=%d rest=%d",
             endpoint->record.id, signals->leaving == SIGNAL_UNREADABLE,
             signals->rest == SIGNAL_UNREADABLE);
}

/* Counts unknown fields, and logs each one once for a service. That shows the
** operators that endpoints say something that this version doesn't read
** (platform/fields.h).
*/
static void report_unknown_field(Router *router, const Endpoint *endpoint,
                                 const char *field) {
  char *key = g_strdup_printf("%s %.*s", endpoint->record.service,
                              UNKNOWN_FIELD_LENGTH, field);
  router_count(router, FIELDS_UNKNOWN);
  if (g_hash_table_size(router->unknown_fields) >= UNKNOWN_FIELDS_MAX ||
      g_hash_table_contains(router->unknown_fields, key)) {
    g_free(key);
    return;
  }
  g_hash_table_add(router->unknown_fields, key);
  router_log(router, MP_LOG_EP_FIELD_UNKNOWN,
             " endpoint=%s service=%s field=%.*s", endpoint->record.id,
             endpoint->record.service, UNKNOWN_FIELD_LENGTH, field);
}

void router_endpoint_signals(Router *router, const char *id, guint32 life,
                             const EndpointSignals *signals, gint64 now) {
  Endpoint *endpoint =
      endpoint_table_get_incarnation(router->endpoints, id, life);
  if (endpoint == NULL)
    return; /* the answer comes from a life of the endpoint that has ended */
  if (signals->leaving == SIGNAL_GIVEN &&
      mark_leaving(router, endpoint, "answer", now))
    router->load_version++; /* the host sends the next digest soon */
  if (signals->rest == SIGNAL_GIVEN)
    start_rest(router, endpoint, signals->rest_time, now);
  if (signals->leaving == SIGNAL_UNREADABLE ||
      signals->rest == SIGNAL_UNREADABLE)
    report_unreadable(router, endpoint, signals);
  if (signals->unknown != NULL)
    report_unknown_field(router, endpoint, signals->unknown);
  rates_apply_signal(router, endpoint, signals, now);
}

/*
** {==================================================================
** Leaving endpoints in load digests
** ===================================================================
*/

/* A digest names at most MP_LOAD_DIGEST_LEAVING endpoints. If more are
** leaving,
** the digests of each span of this length name the next ones in turn; it is
** the longest time between two digests. */
#define ROTATION_INTERVAL (500 * MP_MS)

/*
** Returns TRUE if the other instances have to be told that the endpoint is
** leaving. Once the platform's list says so, they learn it from there. An
** endpoint whose start time is unknown is left out, because its life can't be
** distinguished from a later one.
*/
static gboolean must_report_leaving(const Endpoint *endpoint) {
  return endpoint->availability.leaving_since != 0 && endpoint->record.ready &&
         endpoint->record.started_unix_ms != 0;
}

static guint count_to_report(const Router *router) {
  const GPtrArray *all = router->endpoints->all;
  guint count = 0;
  guint i;
  for (i = 0; i < all->len; i++)
    count += must_report_leaving(all->pdata[i]);
  return count;
}

void signals_write_digest(const Router *router, mp_LoadDigest *out,
                          gint64 now) {
  const GPtrArray *all = router->endpoints->all;
  guint count = count_to_report(router);
  guint first = 0;
  guint place = 0;
  guint i;
  out->leaving_count = 0;
  if (count > MP_LOAD_DIGEST_LEAVING)
    first = (guint)(now / ROTATION_INTERVAL * MP_LOAD_DIGEST_LEAVING % count);
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (!must_report_leaving(endpoint))
      continue;
    if ((place + count - first) % count < MP_LOAD_DIGEST_LEAVING)
      out->leaving[out->leaving_count++] = endpoint->hash;
    place++;
  }
}

static gboolean names_as_leaving(const mp_LoadDigest *digest, guint32 hash) {
  guint i;
  for (i = 0; i < digest->leaving_count; i++) {
    if (digest->leaving[i] == hash)
      return TRUE;
  }
  return FALSE;
}

void signals_read_digest(Router *router, const mp_LoadDigest *digest,
                         gint64 now) {
  const GPtrArray *all = router->endpoints->all;
  guint i;
  for (i = 0; digest->leaving_count > 0 && i < all->len; i++) {
    Endpoint *endpoint = all->pdata[i];
    if (endpoint->record.started_unix_ms != 0 &&
        names_as_leaving(digest, endpoint->hash))
      mark_leaving(router, endpoint, "instance", now);
  }
}

/* }================================================================== */

guint router_leaving_endpoints(const Router *router) {
  const GPtrArray *all = router->endpoints->all;
  guint count = 0;
  guint i;
  for (i = 0; i < all->len; i++)
    count +=
        ((const Endpoint *)all->pdata[i])->availability.leaving_since != 0;
  return count;
}

guint router_resting_endpoints(const Router *router, gint64 now) {
  const GPtrArray *all = router->endpoints->all;
  guint count = 0;
  guint i;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    count += availability_rest_remaining(&endpoint->availability, now) > 0;
  }
  return count;
}
