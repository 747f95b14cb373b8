/*
** store_link.c
** HTTP client for calls to the store or to another instance
*/

#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "http/reader.h"
#include "io/clock.h"
#include "io/store_link.h"
#include "io/sockets.h"

/* size of the largest response body that is accepted, in bytes */
#define MAX_BODY_BYTES (16 << 20)
/* A call may outlast its timeout by the time in which the body received so far
** would arrive at the slowest rate, in bytes a second. The slowest link of an
** instance (10 Mbit/s) carries 80 times as much. */
#define BODY_RATE_MIN (16 << 10)
/* Such a body may be late by this much, so that a pause at its beginning does
** not end the call; bytes that arrive now and then have to earn it. */
#define BODY_LATE_MAX (2 * MP_SEC)
#define BODY_LATE_RATE_MIN 512
/* Longest time by which a call outlasts its timeout: the largest body arrives
** in it at 2.2 Mbit/s. */
#define BODY_TIME_MAX (60 * MP_SEC)
/* a connection fails when sent data stays unacknowledged this long */
#define UNACKED_MS 1500

struct StoreLink {
  struct event_base *base;
  mp_Addr address;
  const StoreCodec *codec;
  StoreLinkReply on_reply;
  void *data;
  struct bufferevent *events; /* NULL: not connected */
  HttpReader *reader;
  struct event *timer;
  gboolean open;      /* a call is open */
  gint64 called_at;   /* begin of the newest call */
  gint64 timeout;     /* of the open call */
  gint64 received_at; /* as store_link_received_at */
  StoreCall call;     /* the newest call, without its texts */
  GString *text;      /* the request, until it is written */
  HttpHead *head;     /* of the response; NULL until it is received */
  GByteArray *body;   /* of the response, as far as it is received */
  guint64 calls;      /* as store_link_calls */
};

/* Closes the connection, if there is one. */
static void disconnect(StoreLink *link) {
  if (link->events != NULL)
    bufferevent_free(link->events);
  http_reader_free(link->reader);
  link->events = NULL;
  link->reader = NULL;
}

/* Resets the state of the open call. */
static void close_call(StoreLink *link) {
  link->open = FALSE;
  event_del(link->timer);
  http_head_free(link->head);
  link->head = NULL;
  g_byte_array_set_size(link->body, 0);
}

static void end_call(StoreLink *link, const StoreReply *reply,
                     const GError *error) {
  close_call(link);
  link->on_reply(link->data, reply, error);
}

/* Closes the connection, and reports the open call as failed. */
static void fail_call(StoreLink *link, const char *why) {
  StoreReply reply = {.status = STORE_FAILED};
  GError *error = g_error_new(MP_ERROR, MP_ERR_STORE, "%s", why);
  disconnect(link);
  if (link->open)
    end_call(link, &reply, error);
  g_error_free(error);
}

static void on_head(void *data, HttpHead *head) {
  StoreLink *link = data;
  http_head_free(link->head);
  link->head = head;
}

static void on_body(void *data, const char *bytes, size_t size) {
  StoreLink *link = data;
  g_byte_array_append(link->body, (const guint8 *)bytes, (guint)size);
}

/* Reports the reply of a call whose response is complete. */
static void finish_call(StoreLink *link) {
  StoreReply reply = {0};
  GError *error = NULL;
  gboolean clean =
      evbuffer_get_length(bufferevent_get_input(link->events)) == 0 &&
      http_reader_keep_alive(link->reader);
  link->codec->read_reply(&link->call, link->head->status,
                          (const char *)link->body->data, link->body->len,
                          &reply, &error);
  if (link->codec->read_era != NULL)
    store_reply_set_era(&reply, link->codec->read_era(link->head));
  if (error == NULL && reply.status == STORE_FAILED)
    g_set_error(&error, MP_ERROR, MP_ERR_STORE,
                "the response has HTTP status %d", link->head->status);
  if (clean)
    http_reader_start_next(link->reader);
  else
    disconnect(link);
  end_call(link, &reply, error);
  store_reply_clear(&reply);
  g_clear_error(&error);
}

/* Returns how much longer than its timeout the call may last, for the part of
** the body that has been received. */
static gint64 extension(const StoreLink *link) {
  gint64 bytes = link->body->len;
  gint64 late = MIN(BODY_LATE_MAX, bytes * MP_SEC / BODY_LATE_RATE_MIN);
  return MIN(late + bytes * MP_SEC / BODY_RATE_MIN, BODY_TIME_MAX);
}

/* Starts the timer for the end of the call, unless more of the body arrives.
 */
static void start_timer(StoreLink *link) {
  gint64 passed = clock_now() - link->called_at;
  gint64 left = link->timeout + extension(link) - passed;
  gint64 wait = CLAMP(left, 0, link->timeout);
  struct timeval time = {wait / MP_SEC, wait % MP_SEC};
  event_add(link->timer, &time);
}

static void on_read(struct bufferevent *events, void *data) {
  StoreLink *link = data;
  struct evbuffer *in = bufferevent_get_input(events);
  guint received = link->body->len;
  if (!link->open) { /* bytes that belong to no call */
    disconnect(link);
    return;
  }
  while (evbuffer_get_length(in) > 0) {
    size_t size = evbuffer_get_contiguous_space(in);
    const char *bytes = (const char *)evbuffer_pullup(in, (ev_ssize_t)size);
    evbuffer_drain(in, http_reader_feed(link->reader, bytes, size));
    if (http_reader_state(link->reader) == HTTP_READER_FAILED) {
      fail_call(link, "the response is not valid HTTP");
      return;
    }
    if (http_reader_state(link->reader) != HTTP_READER_DONE)
      continue;
    if (link->head->status >= 200) {
      finish_call(link);
      return;
    }
    /* after an informational response the call's own follows */
    http_reader_start_next(link->reader);
  }
  if (link->body->len > received) {
    link->received_at = clock_now();
    start_timer(link);
  }
}

static void write_call(StoreLink *link) {
  bufferevent_write(link->events, link->text->str, link->text->len);
  g_string_free(link->text, TRUE);
  link->text = NULL;
}

static void on_event(struct bufferevent *events, short what, void *data) {
  StoreLink *link = data;
  if (what & BEV_EVENT_CONNECTED) {
    socket_set_options(events, UNACKED_MS);
    if (link->text != NULL)
      write_call(link);
    return;
  }
  fail_call(link, "the connection was closed before a response arrived");
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  fail_call(data, "no response arrived in time");
}

static const HttpReaderCallbacks reader_hooks = {on_head, on_body};

static void connect_link(StoreLink *link) {
  link->reader = http_reader_new(HTTP_RESPONSES, &reader_hooks, link);
  http_reader_set_limits(link->reader, 0, MAX_BODY_BYTES);
  link->events = bufferevent_socket_new(
      link->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(link->events, on_read, NULL, on_event, link);
  bufferevent_enable(link->events, EV_READ | EV_WRITE);
  /* on_event or the timer reports a failure here */
  socket_connect(link->events, link->address);
}

static GString *request_text(const StoreLink *link, const StoreCall *call) {
  char *body = NULL;
  HttpHead *head = link->codec->write_call(call, &body);
  GString *text = g_string_new(NULL);
  if (body != NULL)
    http_head_add_number(head, "Content-Length", (gint64)strlen(body));
  http_head_write(head, text);
  if (body != NULL)
    g_string_append(text, body);
  http_head_free(head);
  g_free(body);
  return text;
}

void store_link_call(StoreLink *link, const StoreCall *call, gint64 timeout) {
  gboolean fresh = link->events == NULL;
  g_assert(!link->open);
  link->open = TRUE;
  link->called_at = clock_now();
  link->timeout = timeout;
  link->received_at = 0;
  link->calls++;
  link->call = *call;
  link->call.after = NULL; /* not needed to read the response */
  link->call.name = NULL;
  if (link->text != NULL)
    g_string_free(link->text, TRUE);
  link->text = request_text(link, call);
  start_timer(link);
  if (fresh)
    connect_link(link);
  else
    write_call(link);
}

StoreLink *store_link_new(struct event_base *base, mp_Addr address,
                          const StoreCodec *codec, StoreLinkReply on_reply,
                          void *data) {
  StoreLink *link = g_new0(StoreLink, 1);
  link->base = base;
  link->address = address;
  link->codec = codec;
  link->on_reply = on_reply;
  link->data = data;
  link->timer = evtimer_new(base, on_timer, link);
  link->body = g_byte_array_new();
  return link;
}

void store_link_set_address(StoreLink *link, mp_Addr address) {
  if (link->address == address)
    return;
  disconnect(link);
  link->address = address;
}

void store_link_free(StoreLink *link) {
  disconnect(link);
  event_free(link->timer);
  if (link->text != NULL)
    g_string_free(link->text, TRUE);
  http_head_free(link->head);
  g_byte_array_free(link->body, TRUE);
  g_free(link);
}

gboolean store_link_is_open(const StoreLink *link) {
  return link->open;
}

void store_link_abandon(StoreLink *link) {
  disconnect(link);
  if (link->open)
    close_call(link);
}

guint64 store_link_calls(const StoreLink *link) {
  return link->calls;
}

gint64 store_link_received_at(const StoreLink *link) {
  return link->received_at;
}

gsize store_link_received_bytes(const StoreLink *link) {
  return link->body->len;
}
