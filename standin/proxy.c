/*
** proxy.c
** A loopback TCP proxy that injects network faults, for scenarios and the soak
**
**   standin-proxy PROXY.json
**
** PROXY.json: {"admin": ADDR, "links": [{"name", "listen", "to"}]}
** Connections to "listen" are forwarded to "to". POST /link {"name": NAME,
** "mode": MODE, "ms": N, "bytes": B} on the admin port sets the mode of a
** link, or of all links when the name is "*"; it answers 400 when the link or
** the mode is unknown. The modes are:
**   pass    forwards bytes
**   delay   forwards bytes N ms later
**   rate    forwards at most B bytes a second in each direction, over all
**           connections of the link, and reads no faster
**   silent  forwards nothing and closes nothing; held bytes follow once the
**           link passes again
**   oneway  forwards only what goes to the server
**   reset   resets all connections, and new ones at once
**   refuse  open connections live on, new ones are refused
**   cut     resets all connections, new ones are refused
**   hang    as silent, and new connections are not made: their first packet
**           gets no reply
*/

#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "standin/serve.h"

typedef enum Mode {
  MODE_PASS,
  MODE_DELAY,
  MODE_SILENT,
  MODE_ONEWAY,
  MODE_RESET,
  MODE_REFUSE,
  MODE_CUT,
  MODE_HANG,
  MODE_RATE
} Mode;

#define LISTEN_BACKLOG 128
/* Connections that fill a queue of length 0, so that it takes no more. */
#define FILLERS 2
/* MODE_RATE: the budget of a direction is refilled this often (ms). */
#define RATE_TICK_MS 20
/* MODE_RATE: receive buffer of a socket, in bytes. The kernel would otherwise
** take in megabytes before a sender notices that the link is slow. With less
** than some segments of loopback (64 KB each), 1 MB took 7 s at any rate. */
#define RATE_RECEIVE_BUFFER (128 << 10)

/* A listening port and where its connections lead. */
typedef struct Link {
  char *name;
  mp_Addr listen;
  mp_Addr to;
  struct evconnlistener *listener; /* NULL while connections are refused */
  int fillers[FILLERS];            /* MODE_HANG: they fill its queue */
  Mode mode;
  int delay_ms;
  /* MODE_RATE: what is read from clients and from servers; else NULL */
  struct bufferevent_rate_limit_group *client_limit, *server_limit;
  GPtrArray *pairs; /* Pair */
} Link;

/* One of the two connections of a pair. */
typedef struct Side {
  struct Pair *pair;
  struct bufferevent *events;
  struct event *timer; /* forwards delayed bytes */
  int has_ended;       /* the peer has closed it */
} Side;

/* A client's connection and the one to the server that goes with it. */
typedef struct Pair {
  Link *link;
  Side client, server;
} Pair;

static struct event_base *base;
static GPtrArray *links;

/*
** {==================================================================
** Connections
** ===================================================================
*/

/* libevent frees a connection in a later turn of the loop, and its limit must
** not be freed before. */
static void side_free_events(const Side *side) {
  bufferevent_remove_from_rate_limit_group(side->events);
  bufferevent_free(side->events);
}

static void pair_free(Pair *pair) {
  g_ptr_array_remove_fast(pair->link->pairs, pair);
  side_free_events(&pair->client);
  side_free_events(&pair->server);
  event_free(pair->client.timer);
  event_free(pair->server.timer);
  g_free(pair);
}

/* Resets both connections and frees the pair. */
static void pair_reset(Pair *pair) {
  struct linger hard = {1, 0};
  setsockopt(bufferevent_getfd(pair->client.events), SOL_SOCKET, SO_LINGER,
             &hard, sizeof hard);
  setsockopt(bufferevent_getfd(pair->server.events), SOL_SOCKET, SO_LINGER,
             &hard, sizeof hard);
  pair_free(pair);
}

static Side *other_side(Side *side) {
  Pair *pair = side->pair;
  return side == &pair->client ? &pair->server : &pair->client;
}

/* Returns whether bytes that come from this side are forwarded. */
static int is_passing(const Side *side) {
  Mode mode = side->pair->link->mode;
  if (mode == MODE_ONEWAY)
    return side == &side->pair->client;
  return mode == MODE_PASS || mode == MODE_DELAY || mode == MODE_REFUSE ||
         mode == MODE_RATE;
}

/*
** Forwards what has arrived on this side. Frees the pair when the side has
** ended and all of it is written already.
*/
static void forward(Side *side) {
  Side *to = other_side(side);
  if (!is_passing(side))
    return;
  bufferevent_write_buffer(to->events, bufferevent_get_input(side->events));
  if (side->has_ended &&
      evbuffer_get_length(bufferevent_get_output(to->events)) == 0)
    pair_free(side->pair);
}

static void on_delay_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  forward(data);
}

static void on_read(struct bufferevent *events, void *data) {
  Side *side = data;
  int ms = side->pair->link->delay_ms;
  struct timeval time = {ms / 1000, ms % 1000 * 1000L};
  (void)events;
  if (side->pair->link->mode != MODE_DELAY)
    forward(side);
  else if (!event_pending(side->timer, EV_TIMEOUT, NULL))
    event_add(side->timer, &time);
}

/* All was written: if the other side has ended before, frees the pair. */
static void on_write(struct bufferevent *events, void *data) {
  Side *side = data;
  (void)events;
  if (other_side(side)->has_ended &&
      evbuffer_get_length(bufferevent_get_output(side->events)) == 0 &&
      evbuffer_get_length(bufferevent_get_input(other_side(side)->events)) ==
          0)
    pair_free(side->pair);
}

static void on_event(struct bufferevent *events, short what, void *data) {
  Side *side = data;
  (void)events;
  if (what & BEV_EVENT_CONNECTED)
    return;
  if (what & BEV_EVENT_ERROR) {
    pair_reset(side->pair);
    return;
  }
  side->has_ended = 1;
  forward(side);
}

/* Has the reads of a side count against a limit. */
static void limit_side(const Side *side,
                       struct bufferevent_rate_limit_group *limit) {
  int size = RATE_RECEIVE_BUFFER;
  setsockopt(bufferevent_getfd(side->events), SOL_SOCKET, SO_RCVBUF, &size,
             sizeof size);
  bufferevent_add_to_rate_limit_group(side->events, limit);
}

/* Has the reads of both sides count against the limits of their link. */
static void limit_pair(const Pair *pair) {
  if (pair->link->mode != MODE_RATE)
    return;
  limit_side(&pair->client, pair->link->client_limit);
  limit_side(&pair->server, pair->link->server_limit);
}

static struct bufferevent_rate_limit_group *new_limit(int rate) {
  struct timeval tick = {0, RATE_TICK_MS * 1000L};
  size_t per_tick = (size_t)MAX(rate * (gint64)RATE_TICK_MS / 1000, 1);
  struct ev_token_bucket_cfg *budget = ev_token_bucket_cfg_new(
      per_tick, per_tick, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
  /* the group keeps a copy */
  struct bufferevent_rate_limit_group *limit =
      bufferevent_rate_limit_group_new(base, budget);
  ev_token_bucket_cfg_free(budget);
  return limit;
}

static void begin_rate(Link *link, int rate) {
  guint i;
  link->client_limit = new_limit(rate);
  link->server_limit = new_limit(rate);
  for (i = 0; i < link->pairs->len; i++)
    limit_pair(link->pairs->pdata[i]);
}

static void end_rate(Link *link) {
  guint i;
  if (link->client_limit == NULL)
    return;
  for (i = 0; i < link->pairs->len; i++) {
    const Pair *pair = link->pairs->pdata[i];
    bufferevent_remove_from_rate_limit_group(pair->client.events);
    bufferevent_remove_from_rate_limit_group(pair->server.events);
  }
  bufferevent_rate_limit_group_free(link->client_limit);
  bufferevent_rate_limit_group_free(link->server_limit);
  link->client_limit = NULL;
  link->server_limit = NULL;
}

/* Sets one side up; 'fd' is its socket, or -1 to connect later. */
static void open_side(Pair *pair, Side *side, evutil_socket_t fd) {
  side->pair = pair;
  side->events = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
  side->timer = evtimer_new(base, on_delay_timer, side);
  bufferevent_setcb(side->events, on_read, on_write, on_event, side);
  bufferevent_enable(side->events, EV_READ | EV_WRITE);
}

static struct sockaddr_in socket_of(mp_Addr address) {
  struct sockaddr_in at = {0};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl((uint32_t)(address >> 16));
  at.sin_port = htons((uint16_t)(address & 0xffff));
  return at;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                      struct sockaddr *address, int size, void *data) {
  Link *link = data;
  Pair *pair = g_new0(Pair, 1);
  struct sockaddr_in to = socket_of(link->to);
  (void)listener;
  (void)address;
  (void)size;
  pair->link = link;
  g_ptr_array_add(link->pairs, pair);
  open_side(pair, &pair->client, fd);
  open_side(pair, &pair->server, -1);
  if (link->mode == MODE_RESET ||
      bufferevent_socket_connect(pair->server.events, (struct sockaddr *)&to,
                                 sizeof to) != 0)
    pair_reset(pair);
  else
    limit_pair(pair);
}

/* }================================================================== */

/*
** {==================================================================
** Administration
** ===================================================================
*/

/* Reads a mode; returns 0 when there is no such mode. */
static int read_mode(const char *text, Mode *out) {
  static const char *const names[] = {"pass",   "delay", "silent",
                                      "oneway", "reset", "refuse",
                                      "cut",    "hang",  "rate"};
  gsize i;
  for (i = 0; text != NULL && i < G_N_ELEMENTS(names); i++) {
    if (strcmp(text, names[i]) == 0) {
      *out = (Mode)i;
      return 1;
    }
  }
  return 0;
}

/* Forwards what a pair holds back. The pair may be freed by it. */
static void forward_held(Link *link, Pair *pair) {
  forward(&pair->client);
  if (g_ptr_array_find(link->pairs, pair, NULL))
    forward(&pair->server);
}

/* Has new connections wait for a reply that does not come: the queue of the
** listener is filled, and nothing is accepted. */
static void begin_hang(Link *link) {
  struct sockaddr_in at = socket_of(link->listen);
  int i;
  evconnlistener_disable(link->listener);
  listen(evconnlistener_get_fd(link->listener), 0);
  for (i = 0; i < FILLERS; i++) {
    link->fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (connect(link->fillers[i], (struct sockaddr *)&at, sizeof at) != 0 &&
        errno != EINPROGRESS)
      fprintf(stderr, "standin-proxy: cannot fill the queue of %s\n",
              link->name);
  }
}

static void end_hang(Link *link) {
  int i;
  for (i = 0; i < FILLERS; i++)
    close(link->fillers[i]);
  listen(evconnlistener_get_fd(link->listener), LISTEN_BACKLOG);
  evconnlistener_enable(link->listener);
}

static void open_listener(Link *link) {
  struct sockaddr_in at = socket_of(link->listen);
  link->listener = evconnlistener_new_bind(
      base, on_accept, link, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      LISTEN_BACKLOG, (struct sockaddr *)&at, sizeof at);
  if (link->listener == NULL) {
    fprintf(stderr, "standin-proxy: cannot listen for link %s\n", link->name);
    exit(2);
  }
}

/* Has new connections accepted, refused or left without a reply, as the mode
** says. */
static void set_listener(Link *link, Mode before, Mode mode) {
  int refuses = mode == MODE_REFUSE || mode == MODE_CUT;
  if (before == MODE_HANG && mode != MODE_HANG)
    end_hang(link);
  if (refuses && link->listener != NULL) {
    evconnlistener_free(link->listener);
    link->listener = NULL;
  }
  if (!refuses && link->listener == NULL)
    open_listener(link);
  if (mode == MODE_HANG && before != MODE_HANG)
    begin_hang(link);
}

/* Sets the mode; goes backwards because pairs may be freed meanwhile. */
static void set_mode(Link *link, Mode mode, int ms, int rate) {
  guint i;
  set_listener(link, link->mode, mode);
  end_rate(link);
  link->mode = mode;
  link->delay_ms = ms;
  if (mode == MODE_RATE)
    begin_rate(link, rate);
  for (i = link->pairs->len; i > 0; i--) {
    Pair *pair = link->pairs->pdata[i - 1];
    if (mode == MODE_RESET || mode == MODE_CUT)
      pair_reset(pair);
    else
      forward_held(link, pair);
  }
}

static void on_admin(struct evhttp_request *request, void *data) {
  json_t *body = serve_body(request);
  const char *name = json_string_value(json_object_get(body, "name"));
  int ms = (int)json_integer_value(json_object_get(body, "ms"));
  int rate = (int)json_integer_value(json_object_get(body, "bytes"));
  int found = 0;
  Mode mode;
  guint i;
  (void)data;
  if (name != NULL &&
      read_mode(json_string_value(json_object_get(body, "mode")), &mode)) {
    for (i = 0; i < links->len; i++) {
      Link *link = links->pdata[i];
      if (strcmp(link->name, name) != 0 && strcmp(name, "*") != 0)
        continue;
      set_mode(link, mode, ms, rate);
      found = 1;
    }
  }
  serve_json(request, found ? 200 : 400, json_object());
  json_decref(body);
}

/* }================================================================== */

/* Opens a link of PROXY.json; exits with 2 when it cannot listen. */
static void open_link(const json_t *json) {
  Link *link = g_new0(Link, 1);
  const char *name = json_string_value(json_object_get(json, "name"));
  link->name = g_strdup(name != NULL ? name : "");
  link->listen = serve_address(json, "listen");
  link->to = serve_address(json, "to");
  link->pairs = g_ptr_array_new();
  g_ptr_array_add(links, link);
  open_listener(link);
}

int main(int argc, char **argv) {
  size_t size;
  char *text;
  json_t *settings;
  json_t *row;
  size_t i;
  if (argc != 2) {
    fprintf(stderr, "usage: standin-proxy PROXY.json\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  text = serve_read_file(argv[1], &size);
  settings = json_loadb(text, size, 0, NULL);
  base = event_base_new();
  links = g_ptr_array_new();
  json_array_foreach(json_object_get(settings, "links"), i, row)
      open_link(row);
  serve_new(base, serve_address(settings, "admin"), on_admin, NULL);
  event_base_dispatch(base);
  return 0;
}
