/*
** proxy.c
** A loopback proxy that spoils connections, for scenarios and the soak
**
**   standin-proxy PROXY.json
**
** PROXY.json: {"admin": ADDR, "links": [{"name", "listen", "to"}]}
** POST /link {"name": NAME, "mode": MODE, "ms": N} on the admin port:
**   pass    bytes go through
**   delay   bytes go through N ms later
**   silent  nothing goes through, nothing is closed; held bytes follow once
**           the link passes again
**   oneway  only towards the server
**   reset   every connection is reset, and new ones at once
*/

#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "standin/serve.h"

typedef enum Mode {
  MODE_PASS,
  MODE_DELAY,
  MODE_SILENT,
  MODE_ONEWAY,
  MODE_RESET
} Mode;

typedef struct Link {
  char *name;
  mp_Addr to;
  Mode mode;
  int delay_ms;
  GPtrArray *pairs; /* Pair */
} Link;

/* one direction of a connection */
typedef struct Side {
  struct Pair *pair;
  struct bufferevent *events;
  struct event *timer; /* delayed bytes */
  int ended;
} Side;

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

static void pair_free(Pair *pair) {
  g_ptr_array_remove_fast(pair->link->pairs, pair);
  bufferevent_free(pair->client.events);
  bufferevent_free(pair->server.events);
  event_free(pair->client.timer);
  event_free(pair->server.timer);
  g_free(pair);
}

/* both peers see a reset */
static void pair_reset(Pair *pair) {
  struct linger hard = {1, 0};
  setsockopt(bufferevent_getfd(pair->client.events), SOL_SOCKET, SO_LINGER,
             &hard, sizeof hard);
  setsockopt(bufferevent_getfd(pair->server.events), SOL_SOCKET, SO_LINGER,
             &hard, sizeof hard);
  pair_free(pair);
}

static Side *other(Side *side) {
  Pair *pair = side->pair;
  return side == &pair->client ? &pair->server : &pair->client;
}

static int passes(const Side *side) {
  Mode mode = side->pair->link->mode;
  if (mode == MODE_ONEWAY)
    return side == &side->pair->client;
  return mode == MODE_PASS || mode == MODE_DELAY;
}

/* hand on what has come in on this side */
static void hand_on(Side *side) {
  Side *to = other(side);
  if (!passes(side))
    return;
  bufferevent_write_buffer(to->events, bufferevent_get_input(side->events));
  if (side->ended &&
      evbuffer_get_length(bufferevent_get_output(to->events)) == 0)
    pair_free(side->pair);
}

static void on_delay_over(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  hand_on(data);
}

static void on_read(struct bufferevent *events, void *data) {
  Side *side = data;
  int ms = side->pair->link->delay_ms;
  struct timeval time = {ms / 1000, ms % 1000 * 1000L};
  (void)events;
  if (side->pair->link->mode != MODE_DELAY)
    hand_on(side);
  else if (!event_pending(side->timer, EV_TIMEOUT, NULL))
    event_add(side->timer, &time);
}

/* all was written: an end that came before it takes effect now */
static void on_write(struct bufferevent *events, void *data) {
  Side *side = data;
  (void)events;
  if (other(side)->ended &&
      evbuffer_get_length(bufferevent_get_output(side->events)) == 0 &&
      evbuffer_get_length(bufferevent_get_input(other(side)->events)) == 0)
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
  side->ended = 1;
  hand_on(side);
}

static void open_side(Pair *pair, Side *side, evutil_socket_t fd) {
  side->pair = pair;
  side->events = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
  side->timer = evtimer_new(base, on_delay_over, side);
  bufferevent_setcb(side->events, on_read, on_write, on_event, side);
  bufferevent_enable(side->events, EV_READ | EV_WRITE);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                      struct sockaddr *address, int size, void *data) {
  Link *link = data;
  Pair *pair = g_new0(Pair, 1);
  struct sockaddr_in to = {0};
  (void)listener;
  (void)address;
  (void)size;
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl((uint32_t)(link->to >> 16));
  to.sin_port = htons((uint16_t)(link->to & 0xffff));
  pair->link = link;
  g_ptr_array_add(link->pairs, pair);
  open_side(pair, &pair->client, fd);
  open_side(pair, &pair->server, -1);
  if (link->mode == MODE_RESET ||
      bufferevent_socket_connect(pair->server.events, (struct sockaddr *)&to,
                                 sizeof to) != 0)
    pair_reset(pair);
}

/* }================================================================== */

/*
** {==================================================================
** Administration
** ===================================================================
*/

static int read_mode(const char *text, Mode *out) {
  static const char *const names[] = {"pass", "delay", "silent", "oneway",
                                      "reset"};
  gsize i;
  for (i = 0; text != NULL && i < G_N_ELEMENTS(names); i++) {
    if (strcmp(text, names[i]) == 0) {
      *out = (Mode)i;
      return 1;
    }
  }
  return 0;
}

/* hand on what was held back; the row may go, and another take its place */
static void release_pair(Link *link, Pair *pair) {
  hand_on(&pair->client);
  if (g_ptr_array_find(link->pairs, pair, NULL))
    hand_on(&pair->server);
}

static void set_mode(Link *link, Mode mode, int ms) {
  guint i;
  link->mode = mode;
  link->delay_ms = ms;
  for (i = link->pairs->len; i > 0; i--) {
    Pair *pair = link->pairs->pdata[i - 1];
    if (mode == MODE_RESET)
      pair_reset(pair);
    else
      release_pair(link, pair);
  }
}

static void on_admin(struct evhttp_request *request, void *data) {
  json_t *body = serve_body(request);
  const char *name = json_string_value(json_object_get(body, "name"));
  int ms = (int)json_integer_value(json_object_get(body, "ms"));
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
      set_mode(link, mode, ms);
      found = 1;
    }
  }
  serve_json(request, found ? 200 : 400, json_object());
  json_decref(body);
}

/* }================================================================== */

static void open_link(const json_t *json) {
  Link *link = g_new0(Link, 1);
  mp_Addr listen = serve_address(json, "listen");
  struct sockaddr_in at = {0};
  const char *name = json_string_value(json_object_get(json, "name"));
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl((uint32_t)(listen >> 16));
  at.sin_port = htons((uint16_t)(listen & 0xffff));
  link->name = g_strdup(name != NULL ? name : "");
  link->to = serve_address(json, "to");
  link->pairs = g_ptr_array_new();
  g_ptr_array_add(links, link);
  if (evconnlistener_new_bind(base, on_accept, link,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
                              (struct sockaddr *)&at, sizeof at) == NULL) {
    fprintf(stderr, "standin-proxy: cannot bind for %s\n", link->name);
    exit(2);
  }
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
