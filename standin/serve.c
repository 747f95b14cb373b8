/*
** serve.c
** Small helpers for the HTTP servers of the stand-ins
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>

#include "standin/serve.h"

struct evhttp *serve_new(struct event_base *base, mp_Addr at,
                         void (*cb)(struct evhttp_request *, void *),
                         void *arg) {
  struct evhttp *h = evhttp_new(base);
  char host[24];
  mp_addr_text(at, host);
  *strchr(host, ':') = '\0';
  if (evhttp_bind_socket(h, host, (uint16_t)(at & 0xffff)) != 0) {
    fprintf(stderr, "cannot bind %s:%u\n", host, (unsigned)(at & 0xffff));
    exit(2);
  }
  evhttp_set_max_body_size(h, 16 << 20);
  evhttp_set_gencb(h, cb, arg);
  return h;
}

void serve_json(struct evhttp_request *r, int status, json_t *j) {
  struct evbuffer *b = evbuffer_new();
  char *s = json_dumps(j, JSON_COMPACT);
  evhttp_add_header(evhttp_request_get_output_headers(r), "Content-Type",
                    "application/json");
  evbuffer_add_printf(b, "%s\n", s);
  evhttp_send_reply(r, status, NULL, b);
  evbuffer_free(b);
  free(s);
  json_decref(j);
}

void serve_cut(struct evhttp_request *r) {
  struct evhttp_connection *c = evhttp_request_get_connection(r);
  struct bufferevent *b = evhttp_connection_get_bufferevent(c);
  shutdown(bufferevent_getfd(b), SHUT_RDWR);
}

json_t *serve_body(struct evhttp_request *r) {
  struct evbuffer *b = evhttp_request_get_input_buffer(r);
  size_t n = evbuffer_get_length(b);
  if (n == 0)
    return NULL;
  return json_loadb((const char *)evbuffer_pullup(b, -1), n, 0, NULL);
}

int64_t serve_query_number(struct evhttp_request *r, const char *key,
                           int64_t other) {
  struct evkeyvalq q;
  const char *v;
  const char *s = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(r));
  int64_t n = other;
  if (s == NULL || evhttp_parse_query_str(s, &q) != 0)
    return other;
  v = evhttp_find_header(&q, key);
  if (v != NULL)
    n = g_ascii_strtoll(v, NULL, 10);
  evhttp_clear_headers(&q);
  return n;
}

char *serve_read_file(const char *path, size_t *n) {
  gchar *s = NULL;
  gsize len = 0;
  GError *err = NULL;
  if (!g_file_get_contents(path, &s, &len, &err)) {
    fprintf(stderr, "%s\n", err->message);
    exit(2);
  }
  *n = len;
  return s;
}

mp_Addr serve_address(const json_t *json, const char *key) {
  const char *text = json_string_value(json_object_get(json, key));
  return text != NULL ? mp_addr_parse(text) : 0;
}
