/*
** signals.c
** What endpoints tell about themselves with their answers
*/

#include <string.h>

#include "router/state.h"

/* unknown fields that are logged in the life of an instance, and bytes of each
 */
#define UNKNOWN_MOST 32
#define UNKNOWN_LENGTH 40

/* 'said_by': an answer, or another instance */
static void log_leaving(Router *router, const Endpoint *endpoint,
                        const char *said_by) {
  router_log(router, MP_LOG_EP_SAYS_LEAVING,
             " endpoint=%s said_by=%s listed=%s open=%u", endpoint->record.id,
             said_by, endpoint->record.ready ? "ready" : "draining",
             endpoint_open_count(router->endpoints, endpoint));
}

/* TRUE: it was not known */
static gboolean note_leaving(Router *router, Endpoint *endpoint,
                             const char *said_by, gint64 now) {
  if (!availability_set_leaving(&endpoint->availability, now))
    return FALSE;
  log_leaving(router, endpoint, said_by);
  return TRUE;
}

static void note_rest(Router *router, Endpoint *endpoint, gint64 time,
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

/* once for a life: an endpoint that sends one sends it with each answer */
static void note_unreadable(Router *router, Endpoint *endpoint,
                            const EndpointSignals *signals) {
  router_count(router, SIGNALS_BAD);
  if (endpoint->availability.is_logged)
    return;
  endpoint->availability.is_logged = TRUE;
  router_log(router, MP_LOG_EP_SIGNAL_BAD, " endpoint=%s leaving=%d rest=%d",
             endpoint->record.id, signals->leaving == SIGNAL_UNREADABLE,
             signals->rest == SIGNAL_UNREADABLE);
}

/* once for a service: it shows that endpoints say something that is not read
** (platform/fields.h) */
static void note_unknown(Router *router, const Endpoint *endpoint,
                         const char *field) {
  char *key = g_strdup_printf("%s %.*s", endpoint->record.service,
                              UNKNOWN_LENGTH, field);
  router_count(router, FIELDS_UNKNOWN);
  if (g_hash_table_size(router->unknown_fields) >= UNKNOWN_MOST ||
      g_hash_table_contains(router->unknown_fields, key)) {
    g_free(key);
    return;
  }
  g_hash_table_add(router->unknown_fields, key);
  router_log(router, MP_LOG_EP_FIELD_UNKNOWN,
             " endpoint=%s service=%s field=%.*s", endpoint->record.id,
             endpoint->record.service, UNKNOWN_LENGTH, field);
}

void router_endpoint_signals(Router *router, const char *id, guint32 life,
                             const EndpointSignals *signals, gint64 now) {
  Endpoint *endpoint =
      endpoint_table_get_incarnation(router->endpoints, id, life);
  if (endpoint == NULL)
    return; /* that life is over */
  if (signals->leaving == SIGNAL_GIVEN &&
      note_leaving(router, endpoint, "answer", now))
    router->load_version++; /* the others should know at once */
  if (signals->rest == SIGNAL_GIVEN)
    note_rest(router, endpoint, signals->rest_time, now);
  if (signals->leaving == SIGNAL_UNREADABLE ||
      signals->rest == SIGNAL_UNREADABLE)
    note_unreadable(router, endpoint, signals);
  if (signals->unknown != NULL)
    note_unknown(router, endpoint, signals->unknown);
  rates_apply_signal(router, endpoint, signals, now);
}

/*
** {==================================================================
** What instances tell each other
** ===================================================================
*/

/* a digest names as many as it holds; if there are more, others in each span
** of this length, which is the time between two digests */
#define TURN (500 * MP_MS)

/* others learn it from the list once that says so; a life that is not known by
** its start can't be told from a later one */
static gboolean is_news(const Endpoint *endpoint) {
  return endpoint->availability.leaving_since != 0 && endpoint->record.ready &&
         endpoint->record.started_unix_ms != 0;
}

static guint count_news(const Router *router) {
  const GPtrArray *all = router->endpoints->all;
  guint count = 0;
  guint i;
  for (i = 0; i < all->len; i++)
    count += is_news(all->pdata[i]);
  return count;
}

void signals_write_digest(const Router *router, mp_LoadDigest *out,
                          gint64 now) {
  const GPtrArray *all = router->endpoints->all;
  guint count = count_news(router);
  guint first = 0;
  guint place = 0;
  guint i;
  out->leaving_count = 0;
  if (count > MP_LOAD_DIGEST_LEAVING)
    first = (guint)(now / TURN * MP_LOAD_DIGEST_LEAVING % count);
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (!is_news(endpoint))
      continue;
    if ((place + count - first) % count < MP_LOAD_DIGEST_LEAVING)
      out->leaving[out->leaving_count++] = endpoint->hash;
    place++;
  }
}

static gboolean names(const mp_LoadDigest *digest, guint32 hash) {
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
    if (endpoint->record.started_unix_ms != 0 && names(digest, endpoint->hash))
      note_leaving(router, endpoint, "instance", now);
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
