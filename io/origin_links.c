/*
** origin_links.c
** Makes the calls to the store about where streams began
*/

#include <string.h>

#include "io/clock.h"
#include "io/origin_links.h"
#include "io/store_link.h"
#include "router/origin_store.h"

/* how long the store may stay silent: it answers within some milliseconds, a
** slow one within 0.2 s */
#define SAVE_TIMEOUT (1000 * MP_MS)
/* Requests wait 500 ms after their arrival; a list that takes longer helps
** none of them. */
#define LIST_TIMEOUT (500 * MP_MS)

/* size of an object's name with the final NUL */
#define NAME_SIZE 256

struct OriginLinks {
  const Dialect *dialect;
  Router *router;
  Log *log;
  char *instance;
  StoreLink *save;
  StoreLink *list;
  StoreOperation operation; /* of the open or last call on 'save' */
  struct event *timer;
  OriginLinksChanged changed;
  void *data;
};

/* Sets '*out' to the content of an object; FALSE: it has none, or an invalid
** one, which is logged. */
static gboolean read_object(const OriginLinks *links,
                            const StoreObject *object,
                            StreamOriginsRecord *out) {
  GError *error = NULL;
  if (object->gone || object->text == NULL)
    return FALSE;
  if (links->dialect->read_stream_origins(object->text, out, &error))
    return TRUE;
  log_numbered(links->log, MP_LOG_STORE_RECORD_BAD, " name=%s error=\"%s\"",
               object->name, error->message);
  g_error_free(error);
  return FALSE;
}

/* Writes the name of one of this instance's objects to 'out'. */
static void object_name(const OriginLinks *links, guint slice,
                        char out[NAME_SIZE]) {
  g_snprintf(out, NAME_SIZE, "%s-%u", links->instance, slice);
}

/* Returns the number of this instance's object of that name; -1: it is of
** another instance. */
static gint own_slice(const OriginLinks *links, const char *name) {
  char own[NAME_SIZE];
  guint i;
  for (i = 0; i < ORIGIN_SLICES; i++) {
    object_name(links, i, own);
    if (strcmp(name, own) == 0)
      return (gint)i;
  }
  return -1;
}

/*
** {==================================================================
** The objects of this instance
** ===================================================================
*/

static void start_save(OriginLinks *links, OriginsSave *save) {
  char name[NAME_SIZE];
  StoreCall call = {0};
  call.kind = STORE_ORIGINS;
  call.operation = save->operation;
  object_name(links, save->slice, name);
  call.name = name;
  call.position = save->position;
  call.origins = &save->record;
  links->operation = save->operation;
  store_link_call(links->save, &call, SAVE_TIMEOUT);
  stream_origins_record_clear(&save->record);
}

static void on_saved(void *data, const StoreReply *reply,
                     const GError *error) {
  OriginLinks *links = data;
  StreamOriginsRecord record = {0};
  StorePosition position = store_position_none();
  gboolean is_read = FALSE;
  router_observe_era(links->router, reply->at.era, clock_now());
  if (reply->objects != NULL && reply->objects->len > 0) {
    const StoreObject *object = &g_array_index(reply->objects, StoreObject, 0);
    position = object->position;
    if (links->operation == STORE_READ || reply->status == STORE_CONFLICT)
      is_read = read_object(links, object, &record);
  }
  router_origins_saved(links->router, reply->status, position,
                       is_read ? &record : NULL,
                       error != NULL ? error->message : NULL, clock_now());
  if (is_read)
    stream_origins_record_clear(&record);
  links->changed(links->data);
}

/* }================================================================== */

/*
** {==================================================================
** The objects of all instances
** ===================================================================
*/

static void start_list(OriginLinks *links, const char *after) {
  StoreCall call = {0};
  call.kind = STORE_ORIGINS;
  call.operation = STORE_LIST;
  call.after = after;
  store_link_call(links->list, &call, LIST_TIMEOUT);
}

static void on_listed(void *data, const StoreReply *reply,
                      const GError *error) {
  OriginLinks *links = data;
  const StoreObject *last = NULL;
  guint i;
  (void)error;
  router_observe_era(links->router, reply->at.era, clock_now());
  for (i = 0; reply->objects != NULL && i < reply->objects->len; i++) {
    StreamOriginsRecord record = {0};
    last = &g_array_index(reply->objects, StoreObject, i);
    if (!read_object(links, last, &record))
      continue;
    router_origins_listed(links->router, &record, own_slice(links, last->name),
                          clock_now());
    stream_origins_record_clear(&record);
  }
  if (reply->status == STORE_OK && reply->more && last != NULL) {
    start_list(links, last->name);
    return;
  }
  router_origins_list_ended(links->router,
                            reply->status == STORE_OK && !reply->partial,
                            clock_now());
  links->changed(links->data);
}

/* }================================================================== */

/* Starts the timer for the next call that is due later. */
static void start_timer(OriginLinks *links) {
  gint64 next = router_next_origins_time(links->router);
  gint64 wait = next - clock_now();
  struct timeval time;
  if (next == G_MAXINT64) {
    event_del(links->timer);
    return;
  }
  wait = CLAMP(wait, 0, 60 * MP_SEC);
  time.tv_sec = wait / MP_SEC;
  time.tv_usec = wait % MP_SEC;
  event_add(links->timer, &time);
}

void origin_links_poll(OriginLinks *links) {
  OriginsSave save;
  if (!store_link_is_open(links->save) &&
      router_next_origins_save(links->router, &save, clock_now()))
    start_save(links, &save);
  if (!store_link_is_open(links->list) &&
      router_next_origins_list(links->router, clock_now()))
    start_list(links, NULL);
  start_timer(links);
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  origin_links_poll(data);
}

OriginLinks *origin_links_new(struct event_base *base, const Dialect *dialect,
                              mp_Addr store, const char *instance,
                              Router *router, Log *log,
                              OriginLinksChanged changed, void *data) {
  OriginLinks *links = g_new0(OriginLinks, 1);
  links->dialect = dialect;
  links->router = router;
  links->log = log;
  links->instance = g_strdup(instance);
  links->changed = changed;
  links->data = data;
  links->save = store_link_new(base, store, &dialect->store, on_saved, links);
  links->list = store_link_new(base, store, &dialect->store, on_listed, links);
  links->timer = evtimer_new(base, on_timer, links);
  router_use_origin_store(router);
  return links;
}

void origin_links_free(OriginLinks *links) {
  store_link_free(links->save);
  store_link_free(links->list);
  event_free(links->timer);
  g_free(links->instance);
  g_free(links);
}

guint64 origin_links_store_calls(const OriginLinks *links) {
  return store_link_calls(links->save) + store_link_calls(links->list);
}
