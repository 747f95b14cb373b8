/*
** endpoint_links.c
** Connections to endpoints, on bufferevents and http_parser
**
** The gateway (gateway.h) calls endpoints by this file, the node (node.h) by
** endpoints.c. This file keeps connections for reuse and so cannot use evhttp:
** evhttp takes bytes that are left over from one response for the response to
** the next request (docs/design/style.md). endpoints.c can, because each of
** its calls has a connection of its own.
*/

#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "http/events.h"
#include "http/reader.h"
#include "io/clock.h"
#include "io/carry_client.h"
#include "io/endpoint_call.h"
#include "io/endpoint_links.h"
#include "io/link_pool.h"
#include "io/sockets.h"

/* how long an idle connection is kept when its endpoint names no limit */
#define DEFAULT_IDLE_TIMEOUT (800 * MP_MS)
/* an idle connection is closed this long before its endpoint would close it */
#define IDLE_MARGIN (600 * MP_MS)
/* a connection fails when sent data stays unacknowledged this long */
#define UNACKED_MS 2500
/* bytes of a response body that are buffered; a longer response is broken */
#define MAX_BODY_BYTES (8 << 20)
/* bytes of an unfinished event that are held back; a stream with a longer one
** is broken. Events carry a few tokens each, and the memory of an instance
** (88 MB) has to hold one such event for each stream. */
#define MAX_EVENT_BYTES (1 << 20)
/* Responses that may precede the one to the call: informational ones, which
** come every few seconds at most, and those to other requests. With more, the
** response is broken. */
#define MAX_SKIPPED_RESPONSES 1000
/* longest wait for the response to a control call, which is a release, a
** report or an order (endpoint_call_is_control) */
#define CONTROL_TIMEOUT (1 * MP_SEC)

/* share of the time for a connection that a carrier may take to make it, so
** that its verdict arrives in time */
#define CARRY_TIMEOUT_SHARE 0.75
/* A timer that runs this much late was held up by the event loop. */
#define LATE_TIMER_MIN (10 * MP_MS)

struct EndpointLinks {
  struct event_base *base;
  const Dialect *dialect;
  EndpointLinksHooks hooks;
  LinkPool *pool;       /* of Link */
  GHashTable *calls;    /* dispatch -> Link that carries it */
  GHashTable *runs;     /* request -> Link that carries its RUN dispatch */
  GHashTable *links;    /* set of Link, which it owns */
  guint64 opened;       /* connections begun since the start */
  gint64 write_timeout; /* endpoint_links_limit_writing; 0: none */
};

/* one connection to an endpoint */
typedef struct Link {
  EndpointLinks *links;
  char *endpoint;
  struct bufferevent *events;
  struct event *timer; /* timeout of connecting, idling, or a control call */
  gint64 timer_due;
  gint64 began_at;      /* when the connection was begun */
  gboolean is_reached;  /* the peer, which may be a carrier, has accepted it */
  gboolean is_extended; /* the timer was late and runs once more */
  HttpReader *reader;
  gboolean is_connected;
  gboolean is_paused;   /* endpoint_links_pause: the response is not read on */
  gboolean is_ended;    /* the peer has ended or reset the connection: what it
                        ** has sent is read in any case */
  gboolean is_cut;      /* writing may have found a reset: the end of the
                        ** stream does not complete a response */
  gboolean must_close;  /* it is closed after its call */
  gint64 idle_limit;    /* us after which the endpoint closes an idle
                        ** connection, as it says; 0: it has not said */
  CarryClient *carry;   /* NULL: the connection is direct */
  gint64 carry_timeout; /* us that the carrier may take to connect */
  EndpointCall *call;   /* NULL while the connection is idle */
  const char *end;      /* what ended the connection, as logs have it
                        ** (Outcome.connection_end); NULL: it is open */
} Link;

/*
** {==================================================================
** Lifetime of a connection
** ===================================================================
*/

static void link_free(gpointer p) {
  Link *link = p;
  bufferevent_free(link->events);
  event_free(link->timer);
  http_reader_free(link->reader);
  carry_client_free(link->carry);
  endpoint_call_free(link->call);
  g_free(link->endpoint);
  g_free(link);
}

/* Closes the connection and frees it. */
static void close_link(Link *link) {
  EndpointLinks *links = link->links;
  link_pool_closed(links->pool, link->endpoint, link);
  g_hash_table_remove(links->links, link);
}

/* Takes the link's call out of the tables. */
static void unlist_call(Link *link) {
  EndpointLinks *links = link->links;
  const EndpointCall *call = link->call;
  g_hash_table_remove(links->calls, &call->dispatch);
  if (g_hash_table_lookup(links->runs, &call->request) == link)
    g_hash_table_remove(links->runs, &call->request);
}

/* Closes the connection, and forgets its call if it has one. */
static void close_and_forget(Link *link) {
  if (link->call != NULL)
    unlist_call(link);
  close_link(link);
}

/* Reads the connection again, beginning with what was left in its buffer. */
static void resume_link(Link *link) {
  link->is_paused = FALSE;
  bufferevent_enable(link->events, EV_READ);
  bufferevent_trigger(link->events, EV_READ,
                      BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

static void start_timer(Link *link, gint64 wait) {
  struct timeval time = {wait / MP_SEC, wait % MP_SEC};
  link->timer_due = clock_now() + wait;
  link->is_extended = FALSE;
  event_add(link->timer, &time);
}

/*
** When the event loop lags, a timer may run before the events that came in its
** time are handled. Such a timeout says nothing about the peer, which gets as
** long again as the loop was late. Returns FALSE if the timer was not late, or
** runs for the second time.
*/
static gboolean extend_late_timer(Link *link) {
  gint64 late = clock_now() - link->timer_due;
  if (late < LATE_TIMER_MIN || link->is_extended)
    return FALSE;
  start_timer(link, late);
  link->is_extended = TRUE;
  return TRUE;
}

/* What the endpoint has sent and is not read yet. */
static struct evbuffer *input_of(const Link *link) {
  return link->carry != NULL ? link->carry->input
                             : bufferevent_get_input(link->events);
}

/*
** Ends the call. The connection is idle until the next call, and is closed
** after 'limit' microseconds without one.
*/
static void make_idle(Link *link, gint64 limit) {
  EndpointLinks *links = link->links;
  unlist_call(link);
  endpoint_call_free(link->call);
  link->call = NULL;
  if (link->is_paused)
    resume_link(link);
  link_pool_put_idle(links->pool, link->endpoint, link);
  start_timer(link, limit);
}

/* Ends the call, and keeps the connection if it can be used again. */
static void make_idle_or_close(Link *link) {
  const EndpointLinksHooks *hooks = &link->links->hooks;
  gint64 limit = DEFAULT_IDLE_TIMEOUT;
  gboolean keep =
      !link->must_close && hooks->keeps(hooks->data, link->endpoint) &&
      http_reader_state(link->reader) == HTTP_READER_DONE &&
      http_reader_keep_alive(link->reader) &&
      evbuffer_get_length(input_of(link)) == 0 &&
      evbuffer_get_length(bufferevent_get_output(link->events)) == 0;
  if (link->idle_limit > 0)
    limit = MAX(link->idle_limit - IDLE_MARGIN, 100 * MP_MS);
  if (!keep) {
    close_and_forget(link);
    return;
  }
  http_reader_start_next(link->reader);
  make_idle(link, limit);
}

/* }================================================================== */

/*
** {==================================================================
** Outcomes
** ===================================================================
*/

/*
** Reports an outcome. Returns FALSE when the receiver has cancelled the call,
** which frees the link.
*/
static gboolean report_outcome(Link *link, Outcome *outcome) {
  EndpointLinks *links = link->links;
  guint64 dispatch = link->call->dispatch;
  outcome->dispatch = dispatch;
  outcome->was_kept = link->call->on_kept;
  links->hooks.outcome(links->hooks.data, outcome);
  return g_hash_table_lookup(links->calls, &dispatch) == link;
}

/* Closes a connection without a whole response, and reports the outcome. */
static void fail_call(Link *link, OutcomeKind kind) {
  Outcome outcome = {0};
  EndpointLinks *links = link->links;
  EndpointCall *call = link->call;
  g_assert(call != NULL);
  outcome.kind = kind;
  outcome.dispatch = call->dispatch;
  outcome.was_kept = call->on_kept;
  outcome.framing = endpoint_call_framing(call);
  outcome.connection_end = link->end != NULL ? link->end : "open";
  outcome.carrier_failed = kind == OUTCOME_UNREACHABLE &&
                           link->carry != NULL &&
                           !carry_client_endpoint_refused(link->carry);
  unlist_call(link);
  link->call = NULL;
  close_link(link);
  if (call->kind != DISPATCH_RELEASE)
    links->hooks.outcome(links->hooks.data, &outcome);
  endpoint_call_free(call);
}

/* Reports the outcome of a whole response, and ends the call. */
static void finish_call(Link *link) {
  EndpointCall *call = link->call;
  EndpointResult result;
  if (call->kind == DISPATCH_RELEASE) {
    make_idle_or_close(link);
    return;
  }
  endpoint_call_result(call, link->links->dialect, &result);
  if (result.outcome.kind == OUTCOME_BROKEN)
    result.outcome.connection_end = link->end != NULL ? link->end : "open";
  if (result.outcome.kind == OUTCOME_BROKEN || result.outcome.misdirected)
    link->must_close = TRUE;
  link->idle_limit = call->head_info.idle_limit;
  if (report_outcome(link, &result.outcome))
    make_idle_or_close(link);
  endpoint_result_clear(&result);
}

/* }================================================================== */

/*
** {==================================================================
** Reading
** ===================================================================
*/

/*
** Reports what the head of the response tells about the endpoint, unless the
** response is another request's or another endpoint's.
*/
static void report_signals(const Link *link) {
  const EndpointLinksHooks *hooks = &link->links->hooks;
  const EndpointCall *call = link->call;
  EndpointSignals signals = call->head_info.signals;
  if (call->is_foreign || call->head_info.misdirected)
    return;
  signals.served = endpoint_call_has_served(call);
  hooks->signals(hooks->data, link->endpoint, call->life, &signals);
}

static void on_head(void *data, HttpHead *head) {
  Link *link = data;
  EndpointCall *call = link->call;
  endpoint_call_set_head(call, link->links->dialect, head);
  if (call->is_foreign)
    link->must_close = TRUE;
  report_signals(link);
}

static void on_body(void *data, const char *bytes, size_t size) {
  Link *link = data;
  EndpointCall *call = link->call;
  if (call->is_foreign) {
    call->skipped_bytes += size;
    call->is_oversized = call->skipped_bytes > MAX_BODY_BYTES;
  } else if (size > MAX_BODY_BYTES - call->body->len)
    call->is_oversized = TRUE;
  else
    g_byte_array_append(call->body, (const guint8 *)bytes, (guint)size);
}

/*
** Forwards the head and the whole events received so far. Returns FALSE when
** the link has been freed by that.
*/
static gboolean report_stream(Link *link) {
  EndpointCall *call = link->call;
  EndpointResponse answer = {call->head, NULL, 0};
  Outcome outcome = {0};
  GString *whole;
  char *id = NULL;
  gboolean alive = TRUE;
  outcome.payload = &answer;
  outcome.status = call->head->status;
  outcome.framing = endpoint_call_framing(call);
  if (!call->is_head_sent) {
    call->is_head_sent = TRUE;
    outcome.kind = OUTCOME_STREAM_HEAD;
    if (!report_outcome(link, &outcome))
      return FALSE;
  }
  if (call->body->len == 0)
    return TRUE;
  whole = g_string_new(NULL);
  event_splitter_feed(&call->events, (const char *)call->body->data,
                      call->body->len, whole, &id);
  g_byte_array_set_size(call->body, 0);
  if (whole->len > 0) {
    call->has_event = TRUE;
    answer.bytes = whole->str;
    answer.size = whole->len;
    outcome.kind = OUTCOME_STREAM_PIECE;
    outcome.event = id;
    alive = report_outcome(link, &outcome);
  }
  g_string_free(whole, TRUE);
  g_free(id);
  if (!alive)
    return FALSE;
  if (event_splitter_pending_size(&call->events) > MAX_EVENT_BYTES) {
    fail_call(link, OUTCOME_BROKEN);
    return FALSE;
  }
  return TRUE;
}

/*
** Handles what the reader has parsed so far. Returns FALSE when the call has
** ended, after which the link may have been freed.
*/
static gboolean handle_parsed(Link *link) {
  HttpReaderState state = http_reader_state(link->reader);
  EndpointCall *call = link->call;
  g_assert(call != NULL);
  if (state == HTTP_READER_FAILED || call->is_oversized ||
      (state == HTTP_READER_DONE && call->head == NULL)) {
    fail_call(link, OUTCOME_BROKEN);
    return FALSE;
  }
  if (call->head != NULL && call->is_stream && !report_stream(link))
    return FALSE;
  if (state != HTTP_READER_DONE)
    return TRUE;
  /* after an informational or another request's response, its own follows */
  if (call->head->status < 200 || call->is_foreign) {
    if (++call->skipped_count > MAX_SKIPPED_RESPONSES) {
      fail_call(link, OUTCOME_BROKEN);
      return FALSE;
    }
    http_reader_start_next(link->reader);
    return TRUE;
  }
  finish_call(link);
  return FALSE;
}

static void read_response(Link *link) {
  struct evbuffer *in = input_of(link);
  while (!link->is_paused && evbuffer_get_length(in) > 0) {
    size_t size = evbuffer_get_contiguous_space(in);
    const char *bytes = (const char *)evbuffer_pullup(in, (ev_ssize_t)size);
    size_t used = http_reader_feed(link->reader, bytes, size);
    evbuffer_drain(in, used);
    if (!handle_parsed(link))
      return;
  }
}

/* }================================================================== */

/*
** {==================================================================
** Connection events
** ===================================================================
*/

static void write_call(Link *link) {
  EndpointCall *call = link->call;
  event_del(link->timer);
  if (link->carry != NULL)
    carry_client_write(link->events, call->request_id, call->message);
  else
    bufferevent_write_buffer(link->events, call->message);
  evbuffer_free(call->message);
  call->message = NULL;
  if (endpoint_call_is_control(call))
    start_timer(link, CONTROL_TIMEOUT);
}

/* The peer closed the connection, which ends a response without a length. */
static void on_eof(Link *link) {
  EndpointLinks *links = link->links;
  guint64 dispatch = link->call->dispatch;
  read_response(link);
  if (g_hash_table_lookup(links->calls, &dispatch) != link)
    return;
  http_reader_handle_eof(link->reader);
  link->must_close = TRUE;
  if (http_reader_state(link->reader) != HTTP_READER_DONE)
    fail_call(link, OUTCOME_BROKEN);
  else
    handle_parsed(link);
}

/*
** Ends a check of whether the endpoint accepts connections. The next dispatch
** may use this connection.
*/
static void finish_check(Link *link) {
  Outcome outcome = {0};
  outcome.kind = OUTCOME_ANSWER;
  if (report_outcome(link, &outcome))
    make_idle(link, DEFAULT_IDLE_TIMEOUT);
}

/*
** The connection to the endpoint has been made, by this instance or by the
** carrier: nothing was written to the endpoint before. A request whose
** caller's deadline has passed meanwhile, as the process stood still, is not
** sent; the router ends it by its timer, which cancels the call.
*/
static void begin_call(Link *link) {
  link->is_connected = TRUE;
  if (link->call->kind == DISPATCH_CHECK)
    finish_check(link);
  else if (!endpoint_call_is_late(link->call, clock_now()))
    write_call(link);
}

/* The carrier has answered the call for a connection to the endpoint. */
static void handle_verdict(Link *link) {
  const CarryClient *carry = link->carry;
  if (carry->state == CARRY_OPEN || carry->state == CARRY_ENDED)
    begin_call(link);
  else if (carry->state != CARRY_WAITING)
    fail_call(link, OUTCOME_UNREACHABLE);
}

/* Handles what has arrived on a connection of a carrier. */
static void read_carried(Link *link) {
  CarryClient *carry = link->carry;
  if (link->is_paused)
    return; /* the end of the stream is handled after the resumption too */
  carry_client_read(carry, link->events);
  if (carry_client_is_leaving(carry))
    link->must_close = TRUE;
  if (link->call == NULL) {
    if (link->must_close || carry->state != CARRY_OPEN ||
        evbuffer_get_length(carry->input) > 0)
      close_and_forget(link);
  } else if (!link->is_connected)
    handle_verdict(link);
  else if (carry->state == CARRY_ENDED) {
    link->is_ended = TRUE;
    link->end = "orderly";
    on_eof(link);
  } else if (carry->state == CARRY_FAILED)
    fail_call(link, OUTCOME_BROKEN);
  else
    read_response(link);
}

static void on_read(struct bufferevent *events, void *data) {
  Link *link = data;
  if (link->carry != NULL)
    read_carried(link);
  else if (link->call != NULL)
    read_response(link);
  else if (evbuffer_get_length(bufferevent_get_input(events)) > 0)
    close_and_forget(link); /* bytes without a request */
}

/*
** Ends a pause because the connection has ended. What a carrier has sent is
** handled here; what an endpoint has sent is read by the caller. Returns FALSE
** when the call has ended by that.
*/
static gboolean end_pause(Link *link) {
  EndpointLinks *links = link->links;
  guint64 dispatch = link->call->dispatch;
  gboolean was_paused = link->is_paused;
  link->is_ended = TRUE;
  link->is_paused = FALSE;
  if (was_paused && link->carry != NULL)
    read_carried(link);
  return g_hash_table_lookup(links->calls, &dispatch) == link;
}

/* The connection was made, or given up. */
static void report_connect(Link *link) {
  const EndpointLinksHooks *hooks = &link->links->hooks;
  link->is_reached = TRUE;
  if (hooks->connected != NULL)
    hooks->connected(hooks->data, clock_now() - link->began_at);
}

/* Notes what ended the connection. A carrier tells the end of the endpoint's
** stream by a record: without one, the endpoint or the carrier has failed. */
static void note_end(Link *link, short what) {
  if (what & BEV_EVENT_CONNECTED)
    return;
  if (link->carry != NULL)
    link->end = "carrier";
  else if (link->end == NULL || !link->is_cut)
    link->end = socket_end_name(what);
  link->is_cut |= socket_may_miss_reset(what);
}

static void on_event(struct bufferevent *events, short what, void *data) {
  Link *link = data;
  note_end(link, what);
  if (what & BEV_EVENT_CONNECTED) {
    report_connect(link);
    socket_set_options(events, UNACKED_MS);
    if (link->carry != NULL) {
      socket_set_keepalive(events);
      carry_client_call(events, link->call->life, link->carry_timeout);
    } else
      begin_call(link);
    return;
  }
  if (link->call == NULL) {
    close_and_forget(link);
    return;
  }
  if (!link->is_connected) {
    fail_call(link, OUTCOME_UNREACHABLE);
    return;
  }
  if ((what & BEV_EVENT_WRITING) &&
      ((what & BEV_EVENT_ERROR) || link->call->head != NULL)) {
    /* A response that began before the whole request was sent is still read.
    ** Writing has failed, or timed out after the head of a response. */
    link->must_close = TRUE;
    bufferevent_disable(events, EV_WRITE);
    if (!link->is_paused)
      bufferevent_enable(events, EV_READ);
    return;
  }
  if (!end_pause(link))
    return;
  if ((what & BEV_EVENT_EOF) && link->carry == NULL && !link->is_cut)
    on_eof(link);
  else { /* a carrier tells the end of a whole stream before it closes */
    EndpointLinks *links = link->links;
    guint64 dispatch = link->call->dispatch;
    read_response(link); /* what was received before the reset */
    if (g_hash_table_lookup(links->calls, &dispatch) == link)
      fail_call(link, OUTCOME_BROKEN);
  }
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  Link *link = data;
  (void)fd;
  (void)what;
  if (link->call == NULL)
    close_and_forget(link); /* idle for too long */
  else if (!extend_late_timer(link)) {
    if (!link->is_reached)
      report_connect(link);
    link->end = "timeout";
    fail_call(link, link->is_connected ? OUTCOME_BROKEN : OUTCOME_UNREACHABLE);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Sending
** ===================================================================
*/

static const HttpReaderCallbacks reader_hooks = {on_head, on_body};

static void limit_writing(const Link *link) {
  gint64 wait = link->links->write_timeout;
  struct timeval time = {wait / MP_SEC, wait % MP_SEC};
  if (wait > 0)
    bufferevent_set_timeouts(link->events, NULL, &time);
}

static Link *link_new(EndpointLinks *links, const Dispatch *dispatch) {
  Link *link = g_new0(Link, 1);
  link->links = links;
  link->endpoint = g_strdup(dispatch->endpoint);
  link->reader = http_reader_new(HTTP_RESPONSES, &reader_hooks, link);
  link->timer = evtimer_new(links->base, on_timer, link);
  link->events = bufferevent_socket_new(
      links->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(link->events, on_read, NULL, on_event, link);
  limit_writing(link);
  bufferevent_enable(link->events, EV_READ | EV_WRITE);
  g_hash_table_add(links->links, link);
  link_pool_opened(links->pool, link->endpoint);
  return link;
}

static void connect_link(Link *link, const Dispatch *dispatch) {
  mp_Addr to = dispatch->via != 0 ? dispatch->via : dispatch->address;
  link->links->opened++;
  link->began_at = clock_now();
  start_timer(link, dispatch->connect_timeout);
  if (dispatch->via != 0) {
    link->carry = carry_client_new();
    link->carry_timeout =
        (gint64)(CARRY_TIMEOUT_SHARE * (double)dispatch->connect_timeout);
  }
  if (!socket_connect(link->events, to))
    start_timer(link, 0); /* the failure is reported from the event loop */
}

/*
** Returns an idle connection for the dispatch, or NULL. One that does not lead
** to the endpoint as the dispatch does, directly or through a carrier, is
** closed: the path has changed since it was made.
*/
static Link *take_idle_link(EndpointLinks *links, const Dispatch *dispatch) {
  gboolean is_carried = dispatch->via != 0;
  Link *link;
  while ((link = link_pool_take_idle(links->pool, dispatch->endpoint)) !=
         NULL) {
    if ((link->carry != NULL) == is_carried) {
      event_del(link->timer);
      return link;
    }
    close_link(link);
  }
  return NULL;
}

static void set_call(Link *link, EndpointCall *call) {
  link->call = call;
  g_hash_table_insert(link->links->calls, &call->dispatch, link);
  if (call->kind == DISPATCH_RUN)
    g_hash_table_replace(link->links->runs, &call->request, link);
}

/*
** A check always opens a new connection, even if one is idle: an old one may
** have been cut without a sign of it.
*/
static void send_check(EndpointLinks *links, const Dispatch *dispatch) {
  Link *link = link_new(links, dispatch);
  set_call(link, endpoint_call_new(dispatch));
  connect_link(link, dispatch);
}

void endpoint_links_send(EndpointLinks *links, const Dispatch *dispatch,
                         const HttpHead *caller, GByteArray *body) {
  EndpointCall *call;
  Link *link;
  CallerHead read;
  if (dispatch->kind == DISPATCH_CHECK) {
    send_check(links, dispatch);
    return;
  }
  call = endpoint_call_new(dispatch);
  link = take_idle_link(links, dispatch);
  call->message =
      endpoint_call_message(links->dialect, dispatch, caller, body);
  if (caller != NULL && links->dialect->read_caller(caller, &read, NULL)) {
    call->request_id = g_strdup(read.request.id);
    caller_head_clear(&read);
  }
  if (link == NULL)
    link = link_new(links, dispatch);
  call->on_kept = link->is_connected;
  set_call(link, call);
  if (caller != NULL && g_ascii_strcasecmp(caller->method, "HEAD") == 0)
    http_reader_expect_no_body(link->reader);
  if (link->is_connected)
    write_call(link);
  else
    connect_link(link, dispatch);
}

void endpoint_links_cancel(EndpointLinks *links, guint64 dispatch) {
  Link *link = g_hash_table_lookup(links->calls, &dispatch);
  if (link != NULL)
    close_and_forget(link);
}

void endpoint_links_pause(EndpointLinks *links, guint64 request,
                          gboolean pauses) {
  Link *link = g_hash_table_lookup(links->runs, &request);
  if (link == NULL || link->is_ended || link->is_paused == pauses)
    return;
  if (!pauses) {
    resume_link(link);
    return;
  }
  link->is_paused = TRUE;
  bufferevent_disable(link->events, EV_READ);
}

/* }================================================================== */

EndpointLinks *endpoint_links_new(struct event_base *base,
                                  const Dialect *dialect,
                                  const EndpointLinksHooks *hooks) {
  EndpointLinks *links = g_new0(EndpointLinks, 1);
  LinkPoolHooks pool = {hooks->data, hooks->counted};
  links->base = base;
  links->dialect = dialect;
  links->hooks = *hooks;
  links->pool = link_pool_new(&pool);
  links->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
  links->runs = g_hash_table_new(g_int64_hash, g_int64_equal);
  links->links = g_hash_table_new_full(NULL, NULL, link_free, NULL);
  return links;
}

void endpoint_links_free(EndpointLinks *links) {
  g_hash_table_destroy(links->links);
  g_hash_table_destroy(links->calls);
  g_hash_table_destroy(links->runs);
  link_pool_free(links->pool);
  g_free(links);
}

void endpoint_links_limit_writing(EndpointLinks *links, gint64 timeout) {
  links->write_timeout = timeout;
}

void endpoint_links_trim(EndpointLinks *links) {
  const EndpointLinksHooks *hooks = &links->hooks;
  GPtrArray *endpoints = link_pool_idle_endpoints(links->pool);
  guint i;
  for (i = 0; i < endpoints->len; i++) {
    char *endpoint = g_strdup(endpoints->pdata[i]);
    Link *link;
    while ((link = link_pool_longest_idle(links->pool, endpoint)) != NULL &&
           !hooks->keeps(hooks->data, endpoint))
      close_and_forget(link);
    g_free(endpoint);
  }
  g_ptr_array_free(endpoints, TRUE);
}

guint endpoint_links_open_releases(const EndpointLinks *links) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init(&iterator, links->calls);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Link *link = value;
    count += link->call->kind == DISPATCH_RELEASE ? 1 : 0;
  }
  return count;
}

unsigned endpoint_links_idle_count(const EndpointLinks *links) {
  return link_pool_idle_count(links->pool);
}

guint64 endpoint_links_opened_count(const EndpointLinks *links) {
  return links->opened;
}
