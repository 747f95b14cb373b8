/*
** flow_control.c
** Flow control for slow callers
*/

#include "io/flow_control.h"

/* The high-water mark is the bound divided by this, so that as many slow
** callers fit into it, but HIGH_MIN to HIGH_MAX bytes. */
#define HIGH_SHARE 64
/* A smaller mark would pause an answer for each piece of some kilobytes. */
#define HIGH_MIN (32 << 10)
/* A larger mark does not help: it is what a caller at 4 Mbit/s reads in the
** time for which an endpoint can be held back without notice (500 ms). */
#define HIGH_MAX (256 << 10)
/* The low-water mark is below the high one by a quarter of it. So a caller
** that reads 32 KB/s or more resumes its endpoint within FLOW_HELD_MAX, unless
** the marks are lowered meanwhile (TIGHT_SHARE). */
#define LOW_GAP_SHARE 4
/* Above three quarters of the bound, both marks are divided by this. */
#define TIGHT_SHARE 4

/* What a small request holds at the most. */
#define SMALL_OWN_BYTES ((guint64)FLOW_BODY_COPIES * FLOW_SMALL_BYTES)

struct FlowConnection {
  FlowReader reader; /* 'read' is set for a decision */
  gpointer owner;
  guint64 request;      /* 0: none */
  guint64 read_last;    /* bytes read in the last whole window */
  guint64 read_now;     /* and in the present one */
  guint64 body;         /* bytes of its request's body */
  guint64 body_max;     /* that a body of unknown size may have; 0: it is known
                        ** or there is none */
  guint64 input;        /* flow_set_input */
  FlowArrival arrival;  /* 'bytes' and 'received' are set for a decision */
  guint64 arrived_last; /* bytes that arrived in the last whole window */
  guint64 arrived_now;  /* and in the present one */
  guint index;          /* in FlowControl.connections */
  gboolean is_aborted;  /* its bytes are not counted any more */
};

struct FlowControl {
  FlowLimits limits;
  FlowHooks hooks;
  void *owner_data;       /* of FlowHooks.abort */
  GPtrArray *connections; /* of FlowConnection, which it owns */
  guint64 total;          /* unread bytes of those that are not aborted */
  guint64 bodies;         /* sum of their bodies */
  guint64 input;          /* sum of their input */
  gboolean is_making_room;
  guint paused;
  gint64 window_at; /* when the present window began */
  guint64 aborts[FLOW_REASON_COUNT];
};

/*
** {==================================================================
** Decisions
** ===================================================================
*/

const char *flow_reason_name(FlowReason reason) {
  static const char *const names[FLOW_REASON_COUNT] = {"bound", "held",
                                                       "slow"};
  return names[reason];
}

FlowLimits flow_limits(guint64 bound) {
  FlowLimits limits = {0};
  if (bound == 0)
    return limits;
  limits.bound = bound;
  limits.high = CLAMP(bound / HIGH_SHARE, HIGH_MIN, HIGH_MAX);
  limits.low = limits.high - limits.high / LOW_GAP_SHARE;
  return limits;
}

gboolean flow_pauses(const FlowLimits *limits, const FlowReader *reader,
                     guint64 total) {
  guint64 mark = reader->paused_since != 0 ? limits->low : limits->high;
  if (total > limits->bound / 4 * 3)
    mark /= TIGHT_SHARE;
  return reader->unread > mark;
}

gboolean flow_is_quick(const FlowReader *reader, gint64 now) {
  return reader->unread == 0 || now - reader->unread_since < FLOW_QUICK_TIME ||
         reader->read >= FLOW_QUICK_BYTES;
}

gboolean flow_takes_body(const FlowLimits *limits, guint64 held,
                         guint64 bodies, guint64 size) {
  return bodies == 0 || held + FLOW_BODY_COPIES * size <= limits->bound;
}

/* Returns TRUE if the connection is over a limit of time. Sets the reason,
** which has no meaning otherwise. */
static gboolean is_overdue(const FlowReader *reader, gint64 now,
                           FlowReason *reason) {
  gint64 age = now - reader->unread_since;
  if (reader->paused_since != 0 &&
      now - reader->paused_since >= FLOW_HELD_MAX) {
    *reason = FLOW_HELD;
    return TRUE;
  }
  *reason = FLOW_SLOW;
  return age >= FLOW_SLOW_MAX &&
         reader->delivered < (guint64)age / G_USEC_PER_SEC * FLOW_SLOW_RATE;
}

/* Returns TRUE if 'a' is aborted before 'b' when the bound is exceeded. */
static gboolean goes_before(const FlowReader *a, const FlowReader *b) {
  if (a->priority != b->priority)
    return a->priority > b->priority;
  return a->unread > b->unread;
}

int flow_choose(const FlowLimits *limits, const FlowReader *const *readers,
                guint count, guint64 total, gint64 now, FlowReason *reason) {
  int worst = -1;
  guint i;
  for (i = 0; i < count; i++) {
    const FlowReader *reader = readers[i];
    if (flow_is_quick(reader, now))
      continue;
    if (is_overdue(reader, now, reason))
      return (int)i;
    if (worst < 0 || goes_before(reader, readers[worst]))
      worst = (int)i;
  }
  *reason = FLOW_BOUND;
  return total > limits->bound ? worst : -1;
}

/* }================================================================== */

/*
** {==================================================================
** Pauses and aborted connections
** ===================================================================
*/

/* Stops counting the bytes of a connection, and its pause. */
static void discount(FlowControl *flow, FlowConnection *connection) {
  flow->total -= connection->reader.unread;
  connection->reader.unread = 0;
  if (connection->reader.paused_since != 0)
    flow->paused--;
  connection->reader.paused_since = 0;
}

static void abort_connection(FlowControl *flow, FlowConnection *connection,
                             FlowReason reason) {
  const FlowHooks *hooks = &flow->hooks;
  FlowReader reader = connection->reader;
  guint64 total = flow_used(flow);
  connection->is_aborted = TRUE;
  flow->aborts[reason]++;
  discount(flow, connection);
  hooks->abort(flow->owner_data, connection->owner, connection->request,
               reason, &reader, total);
}

/* Aborts connections until none has to be. */
static void apply_limits(FlowControl *flow, gint64 now) {
  guint count = flow->connections->len;
  const FlowReader **readers = g_new(const FlowReader *, count);
  FlowReason reason;
  int index;
  guint i;
  for (i = 0; i < count; i++) {
    FlowConnection *connection = flow->connections->pdata[i];
    connection->reader.read = MAX(connection->read_last, connection->read_now);
    readers[i] = &connection->reader;
  }
  while ((index = flow_choose(&flow->limits, readers, count, flow_used(flow),
                              now, &reason)) >= 0)
    abort_connection(flow, flow->connections->pdata[index], reason);
  g_free(readers);
}

/* Sets what decisions need, of all connections but 'except', in the order of
** FlowControl.connections. The caller frees the array. */
static const FlowArrival **collect_arrivals(FlowControl *flow,
                                            const FlowConnection *except) {
  guint count = flow->connections->len;
  const FlowArrival **arrivals = g_new(const FlowArrival *, count);
  static const FlowArrival none = {0};
  guint i;
  for (i = 0; i < count; i++) {
    FlowConnection *one = flow->connections->pdata[i];
    FlowArrival *arrival = &one->arrival;
    /* a request that is whole has its body, and the next one arrives */
    gboolean is_whole = one->request != 0;
    arrival->bytes =
        one->input + (is_whole ? 0 : FLOW_BODY_COPIES * one->body);
    arrival->received = MAX(one->arrived_last, one->arrived_now);
    arrivals[i] = one == except ? &none : arrival;
  }
  return arrivals;
}

/* Lets a request that arrives give way. Returns the bytes that it frees. */
static guint64 give_way(FlowControl *flow, FlowConnection *connection) {
  const FlowHooks *hooks = &flow->hooks;
  guint64 used = flow_used(flow);
  guint64 bytes = connection->arrival.bytes;
  flow_end_arrival(connection);
  flow_set_input(flow, connection, 0);
  if (connection->request == 0)
    flow_set_body(flow, connection, 0, FALSE);
  hooks->give_way(flow->owner_data, connection->owner, used);
  return bytes;
}

/* Lets requests that arrive on other connections give way until 'need' bytes
** are free. Returns FALSE, and none gives way, if that cannot be reached. */
static gboolean make_room(FlowControl *flow, const FlowConnection *asker,
                          guint64 need, gint64 now) {
  guint count = flow->connections->len;
  const FlowArrival **arrivals;
  guint64 freed = 0;
  int index = 0;
  if (flow->hooks.give_way == NULL || flow->is_making_room)
    return FALSE;
  flow->is_making_room = TRUE;
  arrivals = collect_arrivals(flow, asker);
  while (freed < need && (index = flow_arrival_choose(arrivals, count,
                                                      need - freed, now)) >= 0)
    freed += give_way(flow, flow->connections->pdata[index]);
  g_free(arrivals);
  flow->is_making_room = FALSE;
  return freed >= need;
}

/* Pauses or resumes a connection as its unread bytes require. */
static void update_pause(FlowControl *flow, FlowConnection *connection,
                         gint64 now) {
  const FlowHooks *hooks = &flow->hooks;
  FlowReader *reader = &connection->reader;
  gboolean was_paused = reader->paused_since != 0;
  gboolean pauses = connection->request != 0 &&
                    flow_pauses(&flow->limits, reader, flow_used(flow));
  if (pauses && !was_paused) {
    reader->paused_since = now;
    flow->paused++;
  } else if (!pauses && was_paused) {
    reader->paused_since = 0;
    flow->paused--;
  }
  if (pauses || was_paused)
    hooks->pause(hooks->data, connection->request, pauses);
}

/* }================================================================== */

FlowControl *flow_control_new(const FlowLimits *limits, const FlowHooks *hooks,
                              void *owner_data) {
  FlowControl *flow = g_new0(FlowControl, 1);
  flow->limits = *limits;
  flow->hooks = *hooks;
  flow->owner_data = owner_data;
  flow->connections = g_ptr_array_new_with_free_func(g_free);
  return flow;
}

void flow_control_free(FlowControl *flow) {
  g_assert(flow->connections->len == 0);
  g_ptr_array_free(flow->connections, TRUE);
  g_free(flow);
}

FlowConnection *flow_add(FlowControl *flow, gpointer owner) {
  FlowConnection *connection = g_new0(FlowConnection, 1);
  connection->owner = owner;
  connection->index = flow->connections->len;
  g_ptr_array_add(flow->connections, connection);
  return connection;
}

void flow_remove(FlowControl *flow, FlowConnection *connection) {
  guint index = connection->index;
  FlowConnection *last = flow->connections->pdata[flow->connections->len - 1];
  discount(flow, connection);
  flow->bodies -= connection->body;
  flow->input -= connection->input;
  last->index = index;
  g_ptr_array_remove_index_fast(flow->connections, index);
}

void flow_set_request(FlowControl *flow, FlowConnection *connection,
                      guint64 request, guint priority) {
  if (connection->reader.paused_since != 0) {
    flow->hooks.pause(flow->hooks.data, connection->request, FALSE);
    connection->reader.paused_since = 0;
    flow->paused--;
  }
  connection->request = request;
  connection->reader.priority = priority;
}

void flow_wrote(FlowControl *flow, FlowConnection *connection, guint64 size,
                gint64 now) {
  FlowReader *reader = &connection->reader;
  if (connection->is_aborted || size == 0)
    return;
  if (reader->unread == 0) {
    reader->unread_since = now;
    reader->delivered = 0;
  }
  reader->unread += size;
  flow->total += size;
  if (flow_used(flow) > flow->limits.bound && !flow->is_making_room &&
      !make_room(flow, NULL, flow_used(flow) - flow->limits.bound, now))
    apply_limits(flow, now);
  if (!connection->is_aborted)
    update_pause(flow, connection, now);
}

void flow_read(FlowControl *flow, FlowConnection *connection, guint64 size,
               gint64 now) {
  FlowReader *reader = &connection->reader;
  if (connection->is_aborted || size == 0)
    return;
  size = MIN(size, reader->unread);
  reader->unread -= size;
  flow->total -= size;
  reader->delivered += size;
  connection->read_now += size;
  if (reader->paused_since != 0)
    update_pause(flow, connection, now);
}

static void set_body(FlowControl *flow, FlowConnection *connection,
                     guint64 size, guint64 size_max) {
  flow->bodies += size - connection->body;
  connection->body = size;
  connection->body_max = size_max;
}

/* Would a body of this size fit, with so many bytes left free beside it? */
static gboolean body_fits(const FlowControl *flow,
                          const FlowConnection *connection, guint64 size,
                          guint64 headroom) {
  guint64 own = FLOW_BODY_COPIES * connection->body;
  return flow_takes_body(&flow->limits, flow_used(flow) - own + headroom,
                         flow->bodies - connection->body, size);
}

gboolean flow_set_body(FlowControl *flow, FlowConnection *connection,
                       guint64 size, gboolean must_fit) {
  if (must_fit && !body_fits(flow, connection, size, 0))
    return FALSE;
  set_body(flow, connection, size, 0);
  return TRUE;
}

/* Returns the body of unknown size that began first. */
static const FlowConnection *oldest_growing(const FlowControl *flow) {
  const FlowConnection *oldest = NULL;
  guint i;
  for (i = 0; i < flow->connections->len; i++) {
    const FlowConnection *one = flow->connections->pdata[i];
    if (one->body_max > one->body && one->arrival.since != 0 &&
        (oldest == NULL || one->arrival.since < oldest->arrival.since))
      oldest = one;
  }
  return oldest;
}

/* Returns the bytes that others must leave for the oldest growing body. */
static guint64 headroom_beside(const FlowControl *flow,
                               const FlowConnection *connection) {
  const FlowConnection *oldest = oldest_growing(flow);
  if (oldest == NULL || oldest == connection)
    return 0;
  return FLOW_BODY_COPIES * (oldest->body_max - oldest->body);
}

gboolean flow_grow_body(FlowControl *flow, FlowConnection *connection,
                        guint64 size, guint64 size_max, gint64 now) {
  guint64 reserved = connection->body;
  guint64 wanted;
  guint64 headroom;
  if (size <= reserved)
    return TRUE;
  if (size <= FLOW_SMALL_BYTES) {
    set_body(flow, connection, size, size_max);
    return TRUE;
  }
  connection->body_max = size_max;
  wanted = MIN(2 * MAX(size, reserved), MAX(size, size_max));
  headroom = headroom_beside(flow, connection);
  if (!body_fits(flow, connection, wanted, headroom) &&
      !(flow_make_room(flow, connection, FLOW_BODY_COPIES * wanted + headroom,
                       now) &&
        body_fits(flow, connection, wanted, headroom)))
    return FALSE;
  set_body(flow, connection, wanted, size_max);
  return TRUE;
}

void flow_set_input(FlowControl *flow, FlowConnection *connection,
                    guint64 size) {
  flow->input += size - connection->input;
  connection->input = size;
}

void flow_begin_arrival(FlowConnection *connection, gint64 now) {
  if (connection->arrival.since != 0)
    return;
  connection->arrival.since = now;
  connection->arrived_last = 0;
  connection->arrived_now = 0;
}

void flow_arrived(FlowConnection *connection, guint64 size) {
  connection->arrived_now += size;
}

void flow_set_waiting(FlowConnection *connection, gboolean is_waiting) {
  connection->arrival.is_waiting = is_waiting;
}

void flow_end_arrival(FlowConnection *connection) {
  connection->arrival.since = 0;
  connection->arrival.is_waiting = FALSE;
}

gboolean flow_make_room(FlowControl *flow, const FlowConnection *connection,
                        guint64 more, gint64 now) {
  guint64 own_body = FLOW_BODY_COPIES * connection->body;
  guint64 own = connection->input + MAX(own_body, more);
  guint64 bound = flow->limits.bound;
  guint64 used = flow_used(flow) + more;
  /* memory was reserved for a large body, and 'more' is in place of it */
  if (more > 0 || own_body > SMALL_OWN_BYTES)
    used -= own_body;
  if (own <= SMALL_OWN_BYTES)
    bound += bound / FLOW_RESERVE_SHARE;
  return used <= bound || make_room(flow, connection, used - bound, now);
}

gboolean flow_is_aborted(const FlowConnection *connection) {
  return connection->is_aborted;
}

/* Begins a new window for the rate at which callers read. */
static void begin_window(FlowControl *flow, gint64 now) {
  guint i;
  flow->window_at = now;
  for (i = 0; i < flow->connections->len; i++) {
    FlowConnection *connection = flow->connections->pdata[i];
    connection->read_last = connection->read_now;
    connection->read_now = 0;
    connection->arrived_last = connection->arrived_now;
    connection->arrived_now = 0;
  }
}

/* Resumes what the bytes of all connections paused, and reports the rest. */
static void review_pauses(FlowControl *flow, gint64 now) {
  const FlowHooks *hooks = &flow->hooks;
  guint i;
  for (i = 0; i < flow->connections->len; i++) {
    FlowConnection *connection = flow->connections->pdata[i];
    if (connection->reader.paused_since == 0)
      continue;
    hooks->paused(hooks->data, connection->request, now);
    update_pause(flow, connection, now);
  }
}

void flow_tick(FlowControl *flow, gint64 now) {
  if (flow->total > 0)
    apply_limits(flow, now);
  if (now - flow->window_at >= FLOW_QUICK_TIME)
    begin_window(flow, now);
  if (flow->paused > 0)
    review_pauses(flow, now);
}

guint64 flow_total(const FlowControl *flow) {
  return flow->total;
}

guint64 flow_held(const FlowControl *flow) {
  return flow->total + FLOW_BODY_COPIES * flow->bodies;
}

guint64 flow_used(const FlowControl *flow) {
  return flow_held(flow) + flow->input +
         (guint64)flow->connections->len * FLOW_CONNECTION_BYTES;
}

guint flow_paused(const FlowControl *flow) {
  return flow->paused;
}

guint64 flow_aborts(const FlowControl *flow, FlowReason reason) {
  return flow->aborts[reason];
}
