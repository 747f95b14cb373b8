/*
** caller_bounds.c
** Bounds what callers of the product's own interface hold
*/

#include "io/caller_bounds.h"
#include "io/caller_errors.h"
#include "io/clock.h"
#include "io/sockets.h"

/* What libevhtp takes for a field beside its name and its value (bytes). */
#define FIELD_BYTES 160
/* How often requests that arrive are reviewed. */
#define REVIEW_INTERVAL FLOW_QUICK_TIME

struct CallerBounds {
  CallerBoundsOptions options;
  Log *log; /* may be NULL */
  FlowControl *flow;
  GQueue all;           /* of CallerHold, not owned */
  struct event *review; /* pending while there are connections */
  struct event *ending; /* frees the connections that are ending */
};

/*
** {==================================================================
** Ends of connections
** ===================================================================
*/

static mp_Addr peer_of(const CallerHold *hold) {
  return socket_peer(hold->connection->sock);
}

/* Ends the connection from the event loop: this may run in a callback of
** libevhtp, and frees what it holds soon. */
static void end_connection(CallerHold *hold) {
  struct timeval now = {0, 0};
  hold->is_ending = TRUE;
  event_add(hold->bounds->ending, &now);
}

static void on_ending(evutil_socket_t fd, short what, void *data) {
  const CallerBounds *bounds = data;
  GList *link = bounds->all.head;
  (void)fd;
  (void)what;
  while (link != NULL) {
    CallerHold *hold = link->data;
    link = link->next;
    if (hold->is_ending)
      evhtp_connection_free(hold->connection); /* removes the hold */
  }
}

static void report_refusal(const CallerHold *hold, guint64 bytes, guint64 used,
                           gboolean gave_way) {
  char caller[24];
  mp_addr_text(peer_of(hold), caller);
  log_numbered(hold->bounds->log, MP_LOG_INPUT_REFUSED,
               " request=- caller=%s bytes=%" G_GUINT64_FORMAT
               " used=%" G_GUINT64_FORMAT " gave_way=%d",
               caller, bytes, used, gave_way);
}

/* FlowHooks.give_way */
static void on_give_way(void *data, gpointer owner, guint64 used) {
  CallerHold *hold = owner;
  (void)data;
  report_refusal(hold, hold->head, used, TRUE);
  caller_send_before_close(hold->connection, MP_ERR_OVERLOAD,
                           "callers hold too much, and the request stalled");
  end_connection(hold);
}

/* }================================================================== */

/*
** {==================================================================
** Memory
** ===================================================================
*/

static gboolean has_room(const CallerHold *hold, guint64 more) {
  FlowControl *flow = hold->bounds->flow;
  if (flow_make_room(flow, hold->flow, more, clock_now()))
    return TRUE;
  report_refusal(hold, hold->head, flow_used(flow), FALSE);
  return FALSE;
}

gboolean caller_hold_field(CallerHold *hold, const evhtp_header_t *field) {
  hold->head += FIELD_BYTES + field->klen + field->vlen;
  hold->fields++;
  if (hold->flow == NULL)
    return TRUE;
  flow_begin_arrival(hold->flow, clock_now());
  flow_arrived(hold->flow, field->klen + field->vlen);
  flow_set_input(hold->bounds->flow, hold->flow, hold->head);
  return has_room(hold, 0);
}

gboolean caller_hold_body(CallerHold *hold, guint64 size, guint64 more) {
  if (hold->flow == NULL)
    return TRUE;
  flow_arrived(hold->flow, more);
  flow_set_body(hold->bounds->flow, hold->flow, size, FALSE);
  return has_room(hold, 0);
}

void caller_hold_whole(CallerHold *hold) {
  hold->is_open = TRUE;
  hold->began_at = 0;
  if (hold->flow != NULL)
    flow_end_arrival(hold->flow);
}

void caller_hold_clear(CallerHold *hold) {
  hold->head = 0;
  hold->fields = 0;
  hold->began_at = 0;
  hold->rests_since = clock_now();
  hold->is_open = FALSE;
  if (hold->flow == NULL)
    return;
  flow_end_arrival(hold->flow);
  flow_set_input(hold->bounds->flow, hold->flow, 0);
  flow_set_body(hold->bounds->flow, hold->flow, 0, FALSE);
}

/* }================================================================== */

/*
** {==================================================================
** Time
** ===================================================================
*/

static gboolean is_arriving(const CallerHold *hold) {
  return !hold->is_open && hold->connection->request != NULL;
}

/* The timeouts of the connection begin anew with each byte. */
static void review_hold(CallerHold *hold, mp_Time now) {
  if (hold->is_ending || !is_arriving(hold))
    return;
  if (hold->began_at == 0)
    hold->began_at = now;
  if (now - hold->began_at < hold->bounds->options.request_time ||
      socket_has_input(hold->connection->sock))
    return;
  caller_send_before_close(hold->connection, MP_ERR_TIMEOUT, NULL);
  end_connection(hold);
}

static void start_review(const CallerBounds *bounds) {
  struct timeval time = {0, REVIEW_INTERVAL};
  if (!event_pending(bounds->review, EV_TIMEOUT, NULL))
    event_add(bounds->review, &time);
}

static void on_review(evutil_socket_t fd, short what, void *data) {
  CallerBounds *bounds = data;
  mp_Time now = clock_now();
  GList *link;
  (void)fd;
  (void)what;
  if (bounds->flow != NULL)
    flow_tick(bounds->flow, now);
  for (link = bounds->all.head; link != NULL; link = link->next)
    review_hold(link->data, now);
  if (bounds->all.length > 0)
    start_review(bounds);
}

/* }================================================================== */

/*
** {==================================================================
** Connections
** ===================================================================
*/

/* Is the connection missed less than 'other'? One that rests is, then one
** whose request has stalled; among equals, the longer one. */
static gboolean is_less_missed(const CallerHold *hold,
                               const CallerHold *other) {
  gboolean rests = !is_arriving(hold);
  if (other == NULL)
    return TRUE;
  if (rests != !is_arriving(other))
    return rests;
  return rests ? hold->rests_since < other->rests_since
               : hold->began_at < other->began_at;
}

static gboolean may_be_closed(const CallerHold *hold, mp_Time now) {
  if (hold->is_open || hold->is_ending)
    return FALSE;
  if (!is_arriving(hold))
    return !socket_has_input(hold->connection->sock);
  return hold->began_at != 0 && now - hold->began_at >= FLOW_QUICK_TIME;
}

gboolean caller_bounds_make_place(CallerBounds *bounds, guint others) {
  mp_Time now = clock_now();
  CallerHold *found = NULL;
  char caller[24];
  GList *link;
  if (bounds->options.connections == 0 ||
      bounds->all.length + others < bounds->options.connections)
    return TRUE;
  for (link = bounds->all.head; link != NULL; link = link->next) {
    if (is_less_missed(link->data, found) && may_be_closed(link->data, now))
      found = link->data;
  }
  if (found == NULL)
    return FALSE;
  mp_addr_text(peer_of(found), caller);
  log_numbered(bounds->log, MP_LOG_PLACE_TAKEN,
               " caller=%s state=%s connections=%u", caller,
               is_arriving(found) ? "stalled" : "resting", bounds->all.length);
  evhtp_connection_free(found->connection);
  return TRUE;
}

void caller_bounds_add(CallerBounds *bounds, CallerHold *hold,
                       evhtp_connection_t *connection) {
  hold->bounds = bounds;
  hold->connection = connection;
  hold->rests_since = clock_now();
  hold->link.data = hold;
  if (bounds->flow != NULL)
    hold->flow = flow_add(bounds->flow, hold);
  g_queue_push_tail_link(&bounds->all, &hold->link);
  start_review(bounds);
}

void caller_bounds_remove(CallerHold *hold) {
  CallerBounds *bounds = hold->bounds;
  if (bounds == NULL)
    return;
  caller_hold_clear(hold);
  if (hold->flow != NULL)
    flow_remove(bounds->flow, hold->flow);
  g_queue_unlink(&bounds->all, &hold->link);
  hold->bounds = NULL;
}

/* }================================================================== */

CallerBounds *caller_bounds_new(struct event_base *base,
                                const CallerBoundsOptions *options, Log *log) {
  CallerBounds *bounds = g_new0(CallerBounds, 1);
  FlowLimits limits = flow_limits(options->memory);
  /* answers are not counted here, so nothing is paused or aborted */
  FlowHooks hooks = {bounds, NULL, NULL, NULL, on_give_way};
  bounds->options = *options;
  bounds->log = log;
  bounds->review = evtimer_new(base, on_review, bounds);
  bounds->ending = evtimer_new(base, on_ending, bounds);
  if (options->memory > 0)
    bounds->flow = flow_control_new(&limits, &hooks, bounds);
  return bounds;
}

void caller_bounds_free(CallerBounds *bounds) {
  event_free(bounds->review);
  event_free(bounds->ending);
  if (bounds->flow != NULL)
    flow_control_free(bounds->flow);
  g_free(bounds);
}
