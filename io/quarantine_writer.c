/*
** quarantine_writer.c
** Keeps in the store what this instance saw of requests that end endpoints
**
** One write at a time. A conditional write that meets another instance's gets
** what stands there, which is merged before the next try.
*/

#include "io/clock.h"
#include "io/quarantine_writer.h"
#include "io/store_link.h"

/* the store answers within some milliseconds, a slow one within 0.2 s */
#define CALL_PATIENCE (1000 * MP_MS)
/* digits of an object's name */
#define NAME_SIZE 17

struct QuarantineWriter {
  const Dialect *dialect;
  Router *router;
  Log *log;
  StoreLink *link;
  struct event *timer;
  guint64 content;        /* of the call that is out */
  StorePosition position; /* at which it replaces or removes the object */
  gboolean removing;      /* it removes the object */
};

static void start_call(QuarantineWriter *writer, const QuarantineSave *save) {
  StoreCall call = {0};
  char name[NAME_SIZE];
  g_snprintf(name, sizeof name, "%016" G_GINT64_MODIFIER "x",
             save->record.content);
  writer->content = save->record.content;
  writer->removing = save->remove;
  writer->position = save->position;
  call.kind = STORE_QUARANTINE;
  call.name = name;
  call.position = save->position;
  call.quarantine = &save->record;
  call.operation = save->remove                             ? STORE_REMOVE
                   : store_position_is_none(save->position) ? STORE_CREATE
                                                            : STORE_REPLACE;
  store_link_call(writer->link, &call, CALL_PATIENCE);
}

void quarantine_writer_poll(QuarantineWriter *writer) {
  QuarantineSave save;
  if (!store_link_is_open(writer->link) &&
      router_next_quarantine_save(writer->router, &save, clock_now()))
    start_call(writer, &save);
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  quarantine_writer_poll(data);
}

/* what stands in the store, as a write was answered */
static void take_object(QuarantineWriter *writer, const StoreObject *object) {
  QuarantineRecord record = {0};
  GError *error = NULL;
  if (object->gone) {
    router_remove_quarantine(writer->router, writer->content, clock_now());
    return;
  }
  if (writer->dialect->read_quarantine(object->name, object->text, &record,
                                       &error)) {
    router_apply_quarantine(writer->router, &record, object->position,
                            clock_now());
    return;
  }
  log_numbered(writer->log, MP_LOG_STORE_RECORD_BAD, " name=%s error=\"%s\"",
               object->name, error->message);
  g_error_free(error);
}

/* what a restored store lacks nobody removed */
static gboolean was_removed(const QuarantineWriter *writer,
                            const StoreReply *reply) {
  return reply->at.era == writer->position.era;
}

static void on_reply(void *data, const StoreReply *reply,
                     const GError *error) {
  QuarantineWriter *writer = data;
  struct timeval soon = {0, 0};
  guint i;
  router_observe_era(writer->router, reply->at.era, clock_now());
  for (i = 0; reply->objects != NULL && i < reply->objects->len; i++)
    take_object(writer, &g_array_index(reply->objects, StoreObject, i));
  if ((reply->status == STORE_NOT_FOUND && was_removed(writer, reply)) ||
      (reply->status == STORE_OK && writer->removing))
    router_remove_quarantine(writer->router, writer->content, clock_now());
  else if (reply->status != STORE_OK) {
    router_quarantine_save_failed(writer->router, writer->content,
                                  clock_now());
    log_numbered(writer->log, MP_LOG_NOT_KEPT,
                 " content=%016" G_GINT64_MODIFIER "x error=\"%s\"",
                 writer->content,
                 error != NULL ? error->message : "written meanwhile");
  }
  event_add(writer->timer, &soon); /* not from within the reply */
}

QuarantineWriter *quarantine_writer_new(struct event_base *base,
                                        const Dialect *dialect, mp_Addr store,
                                        Router *router, Log *log) {
  QuarantineWriter *writer = g_new0(QuarantineWriter, 1);
  writer->dialect = dialect;
  writer->router = router;
  writer->log = log;
  writer->link =
      store_link_new(base, store, &dialect->store, on_reply, writer);
  writer->timer = evtimer_new(base, on_timer, writer);
  return writer;
}

void quarantine_writer_free(QuarantineWriter *writer) {
  store_link_free(writer->link);
  event_free(writer->timer);
  g_free(writer);
}

guint64 quarantine_writer_store_calls(const QuarantineWriter *writer) {
  return store_link_calls(writer->link);
}
