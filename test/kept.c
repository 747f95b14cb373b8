/*
** kept.c
** Kept connections of callers, for Lua
*/

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <lauxlib.h>

#include "http/reader.h"
#include "test/kept.h"

static struct event_base *base;

typedef struct Kept {
  struct bufferevent *events; /* NULL once closed */
  HttpReader *reader;
  HttpHead *head;
  GString *body;
  int waiting;  /* a request is out */
  int has_next; /* and the one after it: its answer stays unread */
  int done;     /* its answer ended, or the connection */
  int whole;
  int ended;         /* by the server */
  size_t read_until; /* bytes of the body; 0: no limit */
  unsigned answers;  /* whole ones */
  int first_status;  /* of the first whole one */
  size_t first_size;
} Kept;

static void on_head(void *data, HttpHead *head) {
  Kept *kept = data;
  http_head_free(kept->head);
  kept->head = head;
}

static void on_body(void *data, const char *bytes, size_t size) {
  Kept *kept = data;
  g_string_append_len(kept->body, bytes, (gssize)size);
  if (kept->read_until > 0 && kept->body->len >= kept->read_until)
    bufferevent_disable(kept->events, EV_READ);
}

static void answer_ended(Kept *kept, int whole) {
  kept->waiting = 0;
  kept->done = 1;
  kept->whole = whole;
  if (whole && kept->answers++ == 0) {
    kept->first_status = kept->head != NULL ? kept->head->status : 0;
    kept->first_size = kept->body->len;
  }
}

static void on_read(struct bufferevent *events, void *data) {
  Kept *kept = data;
  struct evbuffer *in = bufferevent_get_input(events);
  while (evbuffer_get_length(in) > 0 && (kept->waiting || !kept->has_next)) {
    size_t size = evbuffer_get_contiguous_space(in);
    const char *bytes = (const char *)evbuffer_pullup(in, (ev_ssize_t)size);
    evbuffer_drain(in, http_reader_feed(kept->reader, bytes, size));
    if (http_reader_state(kept->reader) == HTTP_READER_DONE) {
      if (!http_reader_keep_alive(kept->reader))
        kept->ended = 1;
      http_reader_start_next(kept->reader);
      answer_ended(kept, 1);
    } else if (http_reader_state(kept->reader) == HTTP_READER_FAILED) {
      kept->ended = 1;
      answer_ended(kept, 0);
      return;
    }
  }
}

static void on_event(struct bufferevent *events, short what, void *data) {
  Kept *kept = data;
  (void)events;
  if (what & BEV_EVENT_CONNECTED)
    return;
  kept->ended = 1;
  if (kept->waiting)
    answer_ended(kept, 0);
}

static Kept *check(lua_State *L) {
  return luaL_checkudata(L, 1, "kept");
}

static const HttpReaderCallbacks hooks = {on_head, on_body};

static int l_connect(lua_State *L) {
  struct sockaddr_in at = {0};
  Kept *kept = lua_newuserdata(L, sizeof *kept);
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons((uint16_t)luaL_checkinteger(L, 1));
  memset(kept, 0, sizeof *kept);
  kept->body = g_string_new(NULL);
  kept->reader = http_reader_new(HTTP_RESPONSES, &hooks, kept);
  kept->events = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(kept->events, on_read, NULL, on_event, kept);
  bufferevent_enable(kept->events, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(kept->events, (struct sockaddr *)&at,
                                 sizeof at) != 0)
    kept->ended = 1;
  luaL_setmetatable(L, "kept");
  return 1;
}

static void write_fields(lua_State *L, int table, GString *text) {
  lua_pushnil(L);
  while (lua_next(L, table) != 0) {
    g_string_append_printf(text, "%s: %s\r\n", lua_tostring(L, -2),
                           lua_tostring(L, -1));
    lua_pop(L, 1);
  }
}

static int k_send(lua_State *L) {
  Kept *kept = check(L);
  size_t size;
  const char *body = luaL_optlstring(L, 5, "", &size);
  GString *text = g_string_new(NULL);
  luaL_argcheck(L, !kept->waiting, 1, "a request is out already");
  kept->done = 0;
  kept->whole = 0;
  g_string_truncate(kept->body, 0);
  http_head_free(kept->head);
  kept->head = NULL;
  if (kept->ended || kept->events == NULL) {
    answer_ended(kept, 0);
    g_string_free(text, TRUE);
    return 0;
  }
  kept->waiting = 1;
  g_string_append_printf(text, "%s %s HTTP/1.1\r\n", luaL_checkstring(L, 2),
                         luaL_checkstring(L, 3));
  write_fields(L, 4, text);
  if (size > 0)
    g_string_append_printf(text, "Content-Length: %zu\r\n", size);
  g_string_append(text, "\r\n");
  g_string_append_len(text, body, (gssize)size);
  bufferevent_write(kept->events, text->str, text->len);
  g_string_free(text, TRUE);
  return 0;
}

/* Sends bytes although the answer to the last request has not come. */
static int k_send_more(lua_State *L) {
  Kept *kept = check(L);
  size_t size;
  const char *bytes = luaL_checklstring(L, 2, &size);
  if (kept->events != NULL)
    bufferevent_write(kept->events, bytes, size);
  return 0;
}

/* Sends the next request before the answer to the last one has been read. */
static int k_send_next(lua_State *L) {
  Kept *kept = check(L);
  luaL_argcheck(L, kept->waiting && !kept->has_next, 1,
                "one request must be out");
  kept->has_next = 1;
  return k_send_more(L);
}

/* Reads the answer to that request from now on. */
static int k_read_next(lua_State *L) {
  Kept *kept = check(L);
  luaL_argcheck(L, kept->done && kept->has_next, 1,
                "no next request, or the answer before it has not ended");
  kept->has_next = 0;
  kept->waiting = 1;
  kept->done = 0;
  kept->whole = 0;
  g_string_truncate(kept->body, 0);
  http_head_free(kept->head);
  kept->head = NULL;
  if (kept->events != NULL)
    on_read(kept->events, kept);
  if (kept->waiting && (kept->ended || kept->events == NULL))
    answer_ended(kept, 0);
  return 0;
}

static void push_head(lua_State *L, const Kept *kept) {
  guint i;
  lua_newtable(L);
  for (i = 0; kept->head != NULL && i < kept->head->fields->len; i++) {
    const HttpField *field = &g_array_index(kept->head->fields, HttpField, i);
    char *name = g_ascii_strdown(field->name, -1);
    lua_pushstring(L, field->value);
    lua_setfield(L, -2, name);
    g_free(name);
  }
}

static int k_get(lua_State *L) {
  const Kept *kept = check(L);
  lua_pushboolean(L, kept->done);
  lua_pushinteger(L, kept->head != NULL ? kept->head->status : 0);
  lua_pushlstring(L, kept->body->str, kept->body->len);
  push_head(L, kept);
  lua_pushboolean(L, kept->whole);
  return 5;
}

static int k_done(lua_State *L) {
  lua_pushboolean(L, check(L)->done);
  return 1;
}

static int k_alive(lua_State *L) {
  const Kept *kept = check(L);
  lua_pushboolean(L, kept->events != NULL && !kept->ended);
  return 1;
}

static int k_stop_reading(lua_State *L) {
  const Kept *kept = check(L);
  if (kept->events != NULL)
    bufferevent_disable(kept->events, EV_READ);
  return 0;
}

static int k_read_until(lua_State *L) {
  check(L)->read_until = (size_t)luaL_checkinteger(L, 2);
  return 0;
}

static int k_size(lua_State *L) {
  lua_pushinteger(L, (lua_Integer)check(L)->body->len);
  return 1;
}

static int k_end_sending(lua_State *L) {
  const Kept *kept = check(L);
  if (kept->events != NULL)
    shutdown(bufferevent_getfd(kept->events), SHUT_WR);
  return 0;
}

static int k_answers(lua_State *L) {
  const Kept *kept = check(L);
  lua_pushinteger(L, kept->answers);
  lua_pushinteger(L, kept->first_status);
  lua_pushinteger(L, (lua_Integer)kept->first_size);
  return 3;
}

static int k_resume_reading(lua_State *L) {
  Kept *kept = check(L);
  kept->read_until = 0;
  if (kept->events != NULL)
    bufferevent_enable(kept->events, EV_READ);
  return 0;
}

static void close_now(Kept *kept) {
  if (kept->events != NULL)
    bufferevent_free(kept->events);
  kept->events = NULL;
  if (kept->waiting)
    answer_ended(kept, 0);
}

static int k_close(lua_State *L) {
  close_now(check(L));
  return 0;
}

static int k_gc(lua_State *L) {
  Kept *kept = check(L);
  close_now(kept);
  http_reader_free(kept->reader);
  http_head_free(kept->head);
  g_string_free(kept->body, TRUE);
  return 0;
}

void kept_open(lua_State *L, struct event_base *event_base) {
  static const luaL_Reg methods[] = {{"send", k_send},
                                     {"send_more", k_send_more},
                                     {"send_next", k_send_next},
                                     {"read_next", k_read_next},
                                     {"get", k_get},
                                     {"done", k_done},
                                     {"stop_reading", k_stop_reading},
                                     {"resume_reading", k_resume_reading},
                                     {"read_until", k_read_until},
                                     {"size", k_size},
                                     {"end_sending", k_end_sending},
                                     {"answers", k_answers},
                                     {"alive", k_alive},
                                     {"close", k_close},
                                     {NULL, NULL}};
  base = event_base;
  luaL_newmetatable(L, "kept");
  luaL_newlib(L, methods);
  lua_setfield(L, -2, "__index");
  lua_pushcfunction(L, k_gc);
  lua_setfield(L, -2, "__gc");
  lua_pop(L, 1);
  lua_pushcfunction(L, l_connect);
  lua_setfield(L, -2, "connect");
}
