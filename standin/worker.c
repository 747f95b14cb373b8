/*
** worker.c
** Stand-in workers: how they take requests and orders, end, and come back
*/

#include <stdlib.h>
#include <string.h>

#include "standin/store.h"
#include "standin/worker.h"

/* time that an engine takes to change its stage */
#define SWITCH_MS 500
/* pieces of a stream, and the pause between them */
#define PIECES 12
#define PAUSE_MS 25
#define SLOW_MS 400
/* the end of the target of a request that ends who runs it, and when it does
 */
#define CRASHES "crashes"
#define CRASH_MS 60
/* a worker that ended leaves the list after this, and is back after that */
#define LAPSE_MS 900
#define RETURN_MS 1500

/* one answer that is still being written */
typedef struct Work {
  Worker *worker;
  struct evhttp_request *request;
  struct event *timer;
  int next;
  int started;
} Work;

static struct event_base *base;
static GPtrArray *working;  /* Work */
static GHashTable *handles; /* KV handle -> request id */
static json_t *ledger;
static unsigned last_handle;

static void crash(Worker *worker);

/*
** {==================================================================
** Requests at a worker
** ===================================================================
*/

static const char *header(struct evhttp_request *request, const char *name) {
  return evhttp_find_header(evhttp_request_get_input_headers(request), name);
}

static void set(struct evhttp_request *request, const char *name,
                const char *value) {
  evhttp_add_header(evhttp_request_get_output_headers(request), name, value);
}

static const char *method_name(struct evhttp_request *request) {
  switch (evhttp_request_get_command(request)) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  default:
    return "POST";
  }
}

static void note(const Worker *worker, struct evhttp_request *request,
                 const char *what) {
  const char *id = header(request, "Request-Id");
  const char *resumed = header(request, "Last-Event-Id");
  const char *account = header(request, "Tenant");
  const char *key = header(request, "Api-Key");
  json_array_append_new(
      ledger,
      json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:b, s:s, s:b, s:I, s:I}",
                "id", id != NULL ? id : "", "worker", worker->id, "what", what,
                "method", method_name(request), "path",
                evhttp_request_get_uri(request), "resumed",
                resumed != NULL ? resumed : "", "account",
                account != NULL ? account : "", "key", key != NULL, "rest",
                worker->rest, "leaving", worker->leaving, "born", worker->born,
                "at_ms", (json_int_t)(g_get_monotonic_time() / MS)));
}

/* the answer's fields that every worker sends */
static void sign(const Worker *worker, struct evhttp_request *request) {
  set(request, "Request-Id", header(request, "Request-Id"));
  set(request, "Server-Stamp", worker->id);
  set(request, "Keep-Alive", "timeout=5");
}

/* Fields that only the system may set. Scenarios' callers send them with
** the value FORGED; no router may hand such a value on. */
#define FORGED "forged"

static int has_forged_field(struct evhttp_request *request) {
  static const char *const names[] = {
      "Deadline-Ms", "Expect-Instance", "Expect-Version", "Stage",
      "Kv-From",     "Kv-Fetch",        "Kv-Backup",      "Kv-Hold",
      "Pin-Ms",      "Request-Urgency", "Tenant"};
  gsize i;
  for (i = 0; i < G_N_ELEMENTS(names); i++) {
    const char *value = header(request, names[i]);
    if (value != NULL && strcmp(value, FORGED) == 0)
      return 1;
  }
  return 0;
}

static void not_run(struct evhttp_request *request, int status) {
  set(request, "Not-Run", "1");
  evhttp_send_reply(request, status, NULL, NULL);
}

static void on_work_closed(struct evhttp_connection *connection, void *data);

static Work *work_new(Worker *worker, struct evhttp_request *request,
                      event_callback_fn step) {
  Work *work = g_new0(Work, 1);
  work->worker = worker;
  work->request = request;
  work->timer = event_new(base, -1, EV_PERSIST, step, work);
  g_ptr_array_add(working, work);
  evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                on_work_closed, work);
  return work;
}

static void work_free(Work *work) {
  struct evhttp_connection *connection =
      evhttp_request_get_connection(work->request);
  if (connection != NULL)
    evhttp_connection_set_closecb(connection, NULL, NULL);
  g_ptr_array_remove(working, work);
  event_free(work->timer);
  g_free(work);
}

/* the caller is gone: drop the work */
static void on_work_closed(struct evhttp_connection *connection, void *data) {
  Work *work = data;
  (void)connection;
  g_ptr_array_remove(working, work);
  event_free(work->timer);
  g_free(work);
}

static void schedule(Work *work, int ms) {
  struct timeval time = {ms / 1000, ms % 1000 * 1000L};
  event_add(work->timer, &time);
}

/* close the connection in the middle */
static void cut(Work *work) {
  struct evhttp_request *request = work->request;
  work_free(work);
  serve_cut(request);
}

static void stream_step(evutil_socket_t fd, short what, void *data) {
  Work *work = data;
  struct evhttp_request *request = work->request;
  struct evbuffer *piece;
  (void)fd;
  (void)what;
  if (!work->started) {
    work->started = 1;
    sign(work->worker, request);
    set(request, "Content-Type", "text/event-stream");
    evhttp_send_reply_start(request, 200, "OK");
  }
  if (strcmp(work->worker->mode, "cut") == 0 && work->next > PIECES / 2) {
    cut(work);
    return;
  }
  if (work->next > PIECES) {
    work_free(work);
    evhttp_send_reply_end(request);
    return;
  }
  piece = evbuffer_new();
  evbuffer_add_printf(piece, "id: %d\ndata: piece %d\n\n", work->next,
                      work->next);
  work->next++;
  evhttp_send_reply_chunk(request, piece);
  evbuffer_free(piece);
}

static void plain_step(evutil_socket_t fd, short what, void *data) {
  Work *work = data;
  struct evhttp_request *request = work->request;
  struct evbuffer *body;
  (void)fd;
  (void)what;
  if (strcmp(work->worker->mode, "cut") == 0) {
    cut(work);
    return;
  }
  sign(work->worker, request);
  body = evbuffer_new();
  evbuffer_add_printf(body, "answer to %s", header(request, "Request-Id"));
  work_free(work);
  evhttp_send_reply(request, 200, "OK", body);
  evbuffer_free(body);
}

static void on_prefill(Worker *worker, struct evhttp_request *request) {
  char handle[24];
  g_snprintf(handle, sizeof handle, "kv%u", ++last_handle);
  note(worker, request, "prefill");
  g_hash_table_replace(handles, g_strdup(handle),
                       g_strdup(header(request, "Request-Id")));
  serve_json(request, 200,
             json_pack("{s:s, s:i, s:i}", "KvHandle", handle, "Tokens", 100,
                       "Version", 1));
}

/* does the request fetch a handle, and is it its own? */
static int takes_handle(struct evhttp_request *request) {
  const char *from = header(request, "Kv-From");
  const char *handle = from != NULL ? strrchr(from, '/') : NULL;
  const char *owner;
  int mine;
  if (handle == NULL)
    return 1;
  owner = g_hash_table_lookup(handles, handle + 1);
  mine = owner != NULL && strcmp(owner, header(request, "Request-Id")) == 0;
  g_hash_table_remove(handles, handle + 1);
  return mine;
}

static int ends_with(const char *text, const char *end) {
  size_t n = strlen(text);
  size_t m = strlen(end);
  return n >= m && strcmp(text + n - m, end) == 0;
}

static void crash_step(evutil_socket_t fd, short what, void *data) {
  Work *work = data;
  Worker *worker = work->worker;
  (void)fd;
  (void)what;
  crash(worker);
}

static void run(Worker *worker, struct evhttp_request *request) {
  const char *last = header(request, "Last-Event-Id");
  int slow = strcmp(worker->mode, "slow") == 0 ? SLOW_MS : 0;
  Work *work;
  note(worker, request, "run");
  if (ends_with(evhttp_request_get_uri(request), CRASHES)) {
    schedule(work_new(worker, request, crash_step), CRASH_MS);
    return;
  }
  if (strcmp(worker->mode, "error") == 0) {
    sign(worker, request);
    evhttp_send_reply(request, 500, NULL, NULL);
    return;
  }
  if (worker->stage[0] != '\0') {
    work = work_new(worker, request, stream_step);
    work->next = last != NULL ? atoi(last) + 1 : 1;
    schedule(work, PAUSE_MS + slow);
    return;
  }
  work = work_new(worker, request, plain_step);
  if (strcmp(worker->mode, "mute") != 0)
    schedule(work, PAUSE_MS + slow);
}

/*
** {==================================================================
** Orders
** ===================================================================
*/

static void on_switched(evutil_socket_t fd, short what, void *data) {
  Worker *worker = data;
  (void)fd;
  (void)what;
  g_free(worker->stage);
  worker->stage = worker->next_stage;
  worker->next_stage = NULL;
  worker_write_entry(worker);
}

static void on_report(const Worker *worker, struct evhttp_request *request) {
  serve_json(request, 200,
             json_pack("{s:s, s:b, s:I, s:I}", "Stage", worker->stage, "Busy",
                       worker->next_stage != NULL, "Seq", worker->sequence,
                       "born", worker->born));
}

static int order_status(const Worker *worker, const json_t *order) {
  const json_t *expected = json_object_get(order, "ExpectRev");
  json_int_t fence = json_integer_value(json_object_get(order, "Fence"));
  const char *stage = json_string_value(json_object_get(order, "Stage"));
  if (stage == NULL || fence == 0 ||
      json_string_value(json_object_get(order, "Holder")) == NULL)
    return 400;
  if (fence < worker->fence)
    return 412;
  if (worker->next_stage != NULL ||
      (expected != NULL && json_integer_value(expected) != worker->sequence))
    return 409;
  return strcmp(stage, worker->stage) == 0 ? 200 : 202;
}

static void note_order(const Worker *worker, const json_t *order, int status) {
  json_array_append_new(
      ledger, json_pack("{s:s, s:s, s:s, s:O, s:O, s:O, s:i}", "id", "order",
                        "worker", worker->id, "what", "order", "holder",
                        json_object_get(order, "Holder"), "fence",
                        json_object_get(order, "Fence"), "stage",
                        json_object_get(order, "Stage"), "status", status));
}

static void begin_switch(Worker *worker, const json_t *order) {
  struct timeval time = {SWITCH_MS / 1000, SWITCH_MS % 1000 * 1000L};
  worker->sequence++;
  worker->next_stage =
      g_strdup(json_string_value(json_object_get(order, "Stage")));
  if (worker->switching == NULL)
    worker->switching = evtimer_new(base, on_switched, worker);
  event_add(worker->switching, &time);
}

static void on_order(Worker *worker, struct evhttp_request *request) {
  json_t *order = serve_body(request);
  json_int_t fence = json_integer_value(json_object_get(order, "Fence"));
  int status = order_status(worker, order);
  if (status != 400)
    note_order(worker, order, status);
  if (status == 202)
    begin_switch(worker, order);
  worker->fence = MAX(worker->fence, fence);
  serve_json(request, status, json_object());
  json_decref(order);
}

/* }================================================================== */

/* it turns the request away and asks the sender for rest */
static void ask_for_rest(const Worker *worker,
                         struct evhttp_request *request) {
  note(worker, request, "rest");
  set(request, "Retry-After", worker->rest);
  not_run(request, 503);
}

static void on_request(struct evhttp_request *request, void *data) {
  Worker *worker = data;
  const char *expected = header(request, "Expect-Instance");
  const char *stage = header(request, "Stage");
  if (worker->rate[0] != '\0')
    set(request, "Server-Limit", worker->rate);
  if (worker->leaving)
    set(request, "Server-Leaving", "1");
  if (evhttp_request_get_command(request) == EVHTTP_REQ_DELETE) {
    note(worker, request, "release");
    evhttp_send_reply(request, 200, NULL, NULL);
  } else if (strcmp(evhttp_request_get_uri(request), "/report") == 0)
    on_report(worker, request);
  else if (has_forged_field(request)) {
    note(worker, request, FORGED);
    not_run(request, 400);
  } else if (expected != NULL && strcmp(expected, worker->id) != 0)
    not_run(request, 421);
  else if (worker->rest[0] != '\0')
    ask_for_rest(worker, request);
  else if (strcmp(evhttp_request_get_uri(request), "/order") == 0)
    on_order(worker, request);
  else if (worker->next_stage != NULL)
    not_run(request, 503);
  else if (worker->gone || strcmp(worker->mode, "shed") == 0)
    not_run(request, 503);
  else if (header(request, "Request-Id") == NULL)
    not_run(request, 400);
  else if (stage != NULL && strcmp(stage, "prefill") == 0)
    on_prefill(worker, request);
  else if (!takes_handle(request))
    not_run(request, 503);
  else
    run(worker, request);
}

/* }================================================================== */

void worker_write_entry(const Worker *worker) {
  json_t *spec =
      json_pack("{s:s, s:s, s:s, s:i, s:s, s:i, s:I}", "Service",
                worker->service, "Addr", worker->addr, "Zone", worker->zone,
                "Slots", 8, "State", worker->draining ? "draining" : "ready",
                "ColdLeftMs", 0, "born", worker->born);
  if (worker->stage[0] != '\0')
    json_object_set_new(spec, "Stage", json_string(worker->stage));
  store_put_object("servers", worker->id, spec);
}

/*
** {==================================================================
** A worker ends, and comes back
** ===================================================================
*/

static json_int_t unix_ms(void) {
  return (json_int_t)(g_get_real_time() / MS);
}

static void after(struct event *timer, int ms) {
  struct timeval time = {ms / 1000, ms % 1000 * 1000L};
  event_add(timer, &time);
}

static void on_lapse(evutil_socket_t fd, short what, void *data) {
  const Worker *worker = data;
  (void)fd;
  (void)what;
  store_remove_object("servers", worker->id);
}

static void on_comeback(evutil_socket_t fd, short what, void *data) {
  Worker *worker = data;
  (void)fd;
  (void)what;
  worker->born = unix_ms();
  worker->sequence = 0;
  worker->fence = 0;
  worker->leaving = 0;
  worker->rest[0] = '\0';
  worker->http = serve_new(base, worker->listen, on_request, worker);
  worker_write_entry(worker);
}

/* the process ends: nothing listens any more, all connections close */
static void crash(Worker *worker) {
  guint i = 0;
  if (worker->http == NULL)
    return;
  while (i < working->len) {
    Work *work = working->pdata[i];
    if (work->worker == worker)
      work_free(work);
    else
      i++;
  }
  evhttp_free(worker->http);
  worker->http = NULL;
  if (worker->lapse == NULL) {
    worker->lapse = evtimer_new(base, on_lapse, worker);
    worker->comeback = evtimer_new(base, on_comeback, worker);
  }
  after(worker->lapse, LAPSE_MS);
  after(worker->comeback, RETURN_MS);
}

/* }================================================================== */

#define RATE_MODE "rate="
#define REST_MODE "rest="

/* "rate=3.5": its answers name this rate; "rate=": none. "rest=3": it turns
** all away and asks for rest; "rest=": it takes them. "leaving": its answers
** say so, and the list does not */
int worker_set_mode(Worker *worker, const char *mode) {
  static const char *const modes[] = {"ok",  "error", "shed",
                                      "cut", "mute",  "slow"};
  gsize i;
  if (strcmp(mode, "draining") == 0 || strcmp(mode, "back") == 0) {
    worker->draining = mode[0] == 'd';
    worker->gone = 0;
    worker_write_entry(worker);
    return 1;
  }
  if (g_str_has_prefix(mode, RATE_MODE)) {
    g_strlcpy(worker->rate, mode + strlen(RATE_MODE), sizeof worker->rate);
    return 1;
  }
  if (g_str_has_prefix(mode, REST_MODE)) {
    g_strlcpy(worker->rest, mode + strlen(REST_MODE), sizeof worker->rest);
    return 1;
  }
  if (strcmp(mode, "leaving") == 0) {
    worker->leaving = 1;
    return 1;
  }
  if (strcmp(mode, "crash") == 0) {
    crash(worker);
    return 1;
  }
  if (strcmp(mode, "gone") == 0) {
    worker->gone = 1;
    store_remove_object("servers", worker->id);
    return 1;
  }
  if (strcmp(mode, "prefill") == 0 || strcmp(mode, "decode") == 0) {
    g_free(worker->stage);
    worker->stage = g_strdup(mode);
    worker_write_entry(worker);
    return 1;
  }
  for (i = 0; i < G_N_ELEMENTS(modes); i++) {
    if (strcmp(mode, modes[i]) == 0) {
      g_strlcpy(worker->mode, mode, sizeof worker->mode);
      return 1;
    }
  }
  return 0;
}

static char *text_of(const json_t *json, const char *key) {
  const char *text = json_string_value(json_object_get(json, key));
  return g_strdup(text != NULL ? text : "");
}

Worker *worker_start(const json_t *json) {
  Worker *worker = g_new0(Worker, 1);
  worker->id = text_of(json, "id");
  worker->service = text_of(json, "service");
  worker->zone = text_of(json, "zone");
  worker->stage = text_of(json, "stage");
  worker->addr = text_of(json, "addr");
  g_strlcpy(worker->mode, "ok", sizeof worker->mode);
  worker->listen = serve_address(json, "listen");
  worker->born = unix_ms();
  worker->http = serve_new(base, worker->listen, on_request, worker);
  worker_write_entry(worker);
  return worker;
}

void workers_init(struct event_base *event_base) {
  base = event_base;
  working = g_ptr_array_new();
  handles = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  ledger = json_array();
}

json_t *workers_ledger(void) {
  return ledger;
}
