/*
** front_places.c
** Bounds the number of callers' connections
*/

#include "io/clock.h"
#include "io/front_places.h"
#include "io/sockets.h"

/* Descriptors for listeners, the log, the store and other instances. */
#define DESCRIPTORS_RESERVED 64
/* Part of the machine's memory that the kernel may hold for callers: what has
** arrived and is not read counts there, and a loop that lags reads late. */
#define KERNEL_SHARE 2
/* So many connections are allowed in any case. */
#define PLACES_MIN 16

guint front_places(guint descriptors, guint64 memory) {
  guint free_for_pairs = descriptors > DESCRIPTORS_RESERVED
                             ? descriptors - DESCRIPTORS_RESERVED
                             : 0;
  guint64 places = free_for_pairs / 2;
  if (memory > 0)
    places = MIN(places, memory / KERNEL_SHARE / RECEIVE_BYTES_MAX);
  return (guint)MAX(places, PLACES_MIN);
}

/* The connections that may be closed, those that are least missed first. */
typedef enum PlaceKind {
  PLACE_RESTING,   /* waits for a request */
  PLACE_LINGERING, /* its last response was sent */
  PLACE_STALLED,   /* its request does not become whole */
  PLACE_KEPT       /* is not closed */
} PlaceKind;

static PlaceKind place_kind(const Connection *connection, gint64 now) {
  HttpReaderState state = http_reader_state(connection->reader);
  if (connection->state == CONNECTION_LINGERING)
    return PLACE_LINGERING;
  if (connection->state != CONNECTION_READING ||
      connection_unsent(connection) > 0)
    return PLACE_KEPT;
  if (state == HTTP_READER_IDLE)
    return PLACE_RESTING;
  return now - connection->began_at >= FLOW_QUICK_TIME ? PLACE_STALLED
                                                       : PLACE_KEPT;
}

/* Has the caller sent what is not read, or not acknowledged what it was sent?
** These ask the kernel. */
static gboolean is_under_way(const Connection *connection) {
  return connection_has_input(connection) ||
         connection_unacknowledged(connection) > 0;
}

/* Returns the connection that is least missed, NULL if none may be closed:
** the longest in its state, of the first kind of which there is one. */
static Connection *least_missed(const Front *front, PlaceKind *kind) {
  gint64 now = clock_now();
  Connection *found = NULL;
  GHashTableIter iterator;
  gpointer key;
  *kind = PLACE_KEPT;
  g_hash_table_iter_init(&iterator, front->connections);
  while (g_hash_table_iter_next(&iterator, &key, NULL)) {
    Connection *one = key;
    PlaceKind its_kind = place_kind(one, now);
    if (its_kind > *kind || its_kind == PLACE_KEPT ||
        (its_kind == *kind && one->read_began_at >= found->read_began_at))
      continue;
    if (its_kind == PLACE_RESTING && is_under_way(one))
      continue;
    found = one;
    *kind = its_kind;
  }
  return found;
}

static void report(const Front *front, const Connection *closed,
                   PlaceKind kind) {
  static const char *const names[] = {"resting", "lingering", "stalled"};
  char caller[24];
  if (front->log == NULL)
    return;
  mp_addr_text(socket_peer(bufferevent_getfd(closed->events)), caller);
  log_numbered(front->log, MP_LOG_PLACE_TAKEN,
               " caller=%s state=%s connections=%u", caller, names[kind],
               g_hash_table_size(front->connections));
}

gboolean front_make_place(Front *front) {
  PlaceKind kind;
  Connection *connection;
  if (front->places == 0 ||
      g_hash_table_size(front->connections) < front->places)
    return TRUE;
  connection = least_missed(front, &kind);
  if (connection == NULL)
    return FALSE;
  report(front, connection, kind);
  front->places_taken++;
  connection_close(connection, CLOSE_FINISHED);
  return TRUE;
}
