/*
** store_view.c
** Views of the store: ports at which it names other addresses of the workers
*/

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>

#include "standin/store_view.h"

/* A port at which the store names other addresses of the workers. */
typedef struct View {
  mp_Addr at;
  json_t *addresses; /* address -> address in this view */
} View;

static GPtrArray *views; /* View */

/* Returns the view through which the request came, or NULL. */
static const View *view_of(struct evhttp_request *request) {
  struct evhttp_connection *connection =
      evhttp_request_get_connection(request);
  struct sockaddr_in at = {0};
  socklen_t size = sizeof at;
  guint i;
  getsockname(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)),
              (struct sockaddr *)&at, &size);
  for (i = 0; views != NULL && i < views->len; i++) {
    const View *view = views->pdata[i];
    if ((uint16_t)(view->at & 0xffff) == ntohs(at.sin_port))
      return view;
  }
  return NULL;
}

/* Replaces, in all objects within 'json', the addresses that the view names
** otherwise. */
static void apply_view(json_t *json, const View *view) {
  const char *key;
  json_t *value;
  size_t i;
  if (json_is_array(json))
    json_array_foreach(json, i, value) apply_view(value, view);
  if (!json_is_object(json))
    return;
  json_object_foreach(json, key, value) {
    json_t *other =
        json_is_string(value) && strcmp(key, "Addr") == 0
            ? json_object_get(view->addresses, json_string_value(value))
            : NULL;
    if (other != NULL)
      json_object_set(json, key, other);
    else
      apply_view(value, view);
  }
}

json_t *store_view_apply(struct evhttp_request *request, json_t *body) {
  const View *view = view_of(request);
  json_t *copy;
  if (view == NULL)
    return body;
  copy = json_deep_copy(body);
  json_decref(body);
  apply_view(copy, view);
  return copy;
}

void store_view_add(mp_Addr at, json_t *addresses) {
  View *view = g_new0(View, 1);
  view->at = at;
  view->addresses = addresses;
  if (views == NULL)
    views = g_ptr_array_new();
  g_ptr_array_add(views, view);
}
