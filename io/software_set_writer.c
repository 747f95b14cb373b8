/*
** software_set_writer.c
** Reads and writes the sets of versions at which streams may have begun in the
** store
**
** One call is made at a time. A conditional write that conflicts with another
** instance's returns the object that is stored.
*/

#include "io/clock.h"
#include "io/software_set_writer.h"
#include "io/store_link.h"
#include "router/stream_software.h"

/* how long the store may stay silent: it answers within some milliseconds, a
** slow one within 0.2 s */
#define CALL_TIMEOUT (1000 * MP_MS)

struct SoftwareSetWriter {
  const Dialect *dialect;
  Router *router;
  Log *log;
  StoreLink *link;
  struct event *timer;
  SoftwareSetCall call; /* the newest; 'service' is a copy that is owned */
  char *service;
  void (*on_done)(void *data);
  void *data;
};

static void start_call(SoftwareSetWriter *writer) {
  StoreCall call = {0};
  g_free(writer->service);
  writer->service = g_strdup(writer->call.service);
  writer->call.service = writer->service;
  call.kind = STORE_SOFTWARE;
  call.operation = writer->call.operation;
  call.name = writer->service;
  call.position = writer->call.position;
  call.software_set = &writer->call.record;
  store_link_call(writer->link, &call, CALL_TIMEOUT);
}

void software_set_writer_poll(SoftwareSetWriter *writer) {
  SoftwareSetCall call;
  struct timeval wait;
  gint64 due;
  if (store_link_is_open(writer->link))
    return;
  if (router_next_software_call(writer->router, &call, &due, clock_now())) {
    writer->call = call;
    start_call(writer);
  } else if (due != G_MAXINT64) {
    gint64 left = MAX(due - clock_now(), 0);
    wait.tv_sec = left / MP_SEC;
    wait.tv_usec = left % MP_SEC;
    event_add(writer->timer, &wait);
  }
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  software_set_writer_poll(data);
}

/* Reads the object of a reply; FALSE: there is none that can be used. */
static gboolean read_object(const SoftwareSetWriter *writer,
                            const StoreReply *reply, SoftwareSetReply *out,
                            SoftwareSetRecord *record) {
  const StoreObject *object;
  GError *error = NULL;
  if (reply->objects == NULL || reply->objects->len == 0)
    return FALSE;
  object = &g_array_index(reply->objects, StoreObject, 0);
  out->position = object->position;
  if (object->gone || object->text == NULL)
    return FALSE;
  if (writer->dialect->read_software_set(object->text, record, &error))
    return TRUE;
  log_numbered(writer->log, MP_LOG_STORE_RECORD_BAD, " name=%s error=\"%s\"",
               object->name, error->message);
  g_error_free(error);
  return FALSE;
}

static void on_reply(void *data, const StoreReply *reply,
                     const GError *error) {
  SoftwareSetWriter *writer = data;
  SoftwareSetReply taken = {0};
  SoftwareSetRecord record = {0};
  (void)error;
  taken.status = reply->status;
  if (read_object(writer, reply, &taken, &record))
    taken.record = &record;
  router_software_reply(writer->router, &writer->call, &taken, reply->at.era,
                        clock_now());
  writer->on_done(writer->data);
}

SoftwareSetWriter *software_set_writer_new(struct event_base *base,
                                           const Dialect *dialect,
                                           mp_Addr store, Router *router,
                                           Log *log, void (*on_done)(void *),
                                           void *data) {
  SoftwareSetWriter *writer = g_new0(SoftwareSetWriter, 1);
  writer->dialect = dialect;
  writer->router = router;
  writer->log = log;
  writer->on_done = on_done;
  writer->data = data;
  writer->link =
      store_link_new(base, store, &dialect->store, on_reply, writer);
  writer->timer = evtimer_new(base, on_timer, writer);
  return writer;
}

void software_set_writer_free(SoftwareSetWriter *writer) {
  store_link_free(writer->link);
  event_free(writer->timer);
  g_free(writer->service);
  g_free(writer);
}

guint64 software_set_writer_store_calls(const SoftwareSetWriter *writer) {
  return store_link_calls(writer->link);
}
