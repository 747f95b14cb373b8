/*
** worker.c
** Stand-in workers: how they answer requests and orders, crash and restart
*/

#include <stdlib.h>
#include <string.h>

#include "standin/store.h"
#include "standin/worker.h"

/* Time from an order until the worker has the other stage. */
#define SWITCH_DURATION_MS 500
/* Pieces of a stream, and the interval before each of them. A plain answer
** comes after one interval. */
#define STREAM_PIECES 12
#define PIECE_INTERVAL_MS 25
/* Additional delay of a plain answer, and of each piece, in mode "slow" unless
** the mode names another one. */
#define SLOW_DELAY_MS 400
/* A request whose target ends so crashes the worker that runs it, this long
** after the start of the request. */
#define CRASH_SUFFIX "crashes"
#define CRASH_DELAY_MS 60
/* A plain request whose target ends with this gets an answer of so many
** bytes more, a stream so many with each piece. */
#define LARGE_SUFFIX "large"
#define LARGE_BYTES (1 << 20)
#define LARGE_PIECE_BYTES (90 << 10)
/* After a crash, the entry is removed, and later the worker restarts. */
#define REMOVAL_DELAY_MS 900
#define RESTART_DELAY_MS 1500

/* An answer that is still being written; its timer takes the next step. */
typedef struct Work {
  Worker *worker;
  struct evhttp_request *request;
  struct event *timer;
  int next_piece; /* number of the next piece, from 1 */
  int has_started;
} Work;

static struct event_base *base;
static GPtrArray *open_work;         /* Work, of all workers */
static GHashTable *kv_handle_owners; /* KV handle -> request id */
static json_t *ledger;
static unsigned last_handle;

static void crash_worker(Worker *worker);

/*
** {==================================================================
** Requests at a worker
** ===================================================================
*/

/* Returns a header field of the request, or NULL. */
static const char *field(struct evhttp_request *request, const char *name) {
  return evhttp_find_header(evhttp_request_get_input_headers(request), name);
}

/* Adds a header field to the answer. */
static void set_field(struct evhttp_request *request, const char *name,
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

/* Adds a row to the ledger; 'what' says how the request was taken. */
static void record_request(const Worker *worker,
                           struct evhttp_request *request, const char *what) {
  const char *id = field(request, "Request-Id");
  const char *resumed = field(request, "Last-Event-Id");
  const char *account = field(request, "Tenant");
  const char *key = field(request, "Api-Key");
  json_array_append_new(
      ledger,
      json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:b, s:s, s:b, s:I, s:I}",
                "id", id != NULL ? id : "", "worker", worker->id, "what", what,
                "method", method_name(request), "path",
                evhttp_request_get_uri(request), "resumed",
                resumed != NULL ? resumed : "", "account",
                account != NULL ? account : "", "key", key != NULL, "rest",
                worker->rest_seconds, "leaving", worker->is_leaving, "born",
                worker->start_unix_ms, "at_ms",
                (json_int_t)(g_get_monotonic_time() / MS)));
}

/* Adds the header fields that every answer of a run request has. */
static void set_common_fields(const Worker *worker,
                              struct evhttp_request *request) {
  set_field(request, "Request-Id", field(request, "Request-Id"));
  set_field(request, "Server-Stamp", worker->id);
  set_field(request, "Keep-Alive", "timeout=5");
}

/* Only routers may set the fields below. Callers of the scenarios send them
** with this value, and no router may pass it on. */
#define FORGED_VALUE "forged"

static int has_forged_field(struct evhttp_request *request) {
  static const char *const names[] = {
      "Deadline-Ms", "Expect-Instance", "Expect-Version", "Stage",
      "Kv-From",     "Kv-Fetch",        "Kv-Backup",      "Kv-Hold",
      "Pin-Ms",      "Request-Urgency", "Tenant"};
  gsize i;
  for (i = 0; i < G_N_ELEMENTS(names); i++) {
    const char *value = field(request, names[i]);
    if (value != NULL && strcmp(value, FORGED_VALUE) == 0)
      return 1;
  }
  return 0;
}

/* Refuses a request and says that it was not run. */
static void refuse_unrun(struct evhttp_request *request, int status) {
  set_field(request, "Not-Run", "1");
  evhttp_send_reply(request, status, NULL, NULL);
}

static void on_work_closed(struct evhttp_connection *connection, void *data);

/* Returns new work, which 'step' carries on whenever its timer fires. */
static Work *work_new(Worker *worker, struct evhttp_request *request,
                      event_callback_fn step) {
  Work *work = g_new0(Work, 1);
  work->worker = worker;
  work->request = request;
  work->timer = event_new(base, -1, EV_PERSIST, step, work);
  g_ptr_array_add(open_work, work);
  evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                on_work_closed, work);
  return work;
}

static void work_free(Work *work) {
  struct evhttp_connection *connection =
      evhttp_request_get_connection(work->request);
  if (connection != NULL)
    evhttp_connection_set_closecb(connection, NULL, NULL);
  g_ptr_array_remove(open_work, work);
  event_free(work->timer);
  g_free(work);
}

/* Drops the work of a caller that has closed its connection. */
static void on_work_closed(struct evhttp_connection *connection, void *data) {
  Work *work = data;
  (void)connection;
  g_ptr_array_remove(open_work, work);
  event_free(work->timer);
  g_free(work);
}

static void schedule_step(Work *work, int ms) {
  struct timeval time = {ms / 1000, ms % 1000 * 1000L};
  event_add(work->timer, &time);
}

/* Frees the work and cuts its connection. */
static void cut_work(Work *work) {
  struct evhttp_request *request = work->request;
  work_free(work);
  serve_cut(request);
}

static int ends_with(const char *text, const char *end) {
  size_t n = strlen(text);
  size_t m = strlen(end);
  return n >= m && strcmp(text + n - m, end) == 0;
}

/* Adds so many bytes. */
static void add_filler(struct evbuffer *body, size_t size) {
  static char filler[LARGE_BYTES];
  memset(filler, 'x', sizeof filler);
  evbuffer_add(body, filler, size);
}

/* Sends the next piece of a stream, or its end. */
static void stream_step(evutil_socket_t fd, short what, void *data) {
  Work *work = data;
  struct evhttp_request *request = work->request;
  struct evbuffer *piece;
  (void)fd;
  (void)what;
  if (!work->has_started) {
    work->has_started = 1;
    set_common_fields(work->worker, request);
    set_field(request, "Content-Type", "text/event-stream");
    evhttp_send_reply_start(request, 200, "OK");
  }
  if (strcmp(work->worker->mode, "cut") == 0 &&
      work->next_piece > STREAM_PIECES / 2) {
    cut_work(work);
    return;
  }
  if (work->next_piece > STREAM_PIECES) {
    work_free(work);
    evhttp_send_reply_end(request);
    return;
  }
  piece = evbuffer_new();
  if (ends_with(evhttp_request_get_uri(request), LARGE_SUFFIX)) {
    evbuffer_add(piece, ": ", 2); /* a comment in the stream of events */
    add_filler(piece, LARGE_PIECE_BYTES);
    evbuffer_add(piece, "\n", 1);
  }
  evbuffer_add_printf(piece, "id: %d\ndata: piece %d of %s\n\n",
                      work->next_piece, work->next_piece,
                      work->worker->software);
  work->next_piece++;
  evhttp_send_reply_chunk(request, piece);
  evbuffer_free(piece);
}

/* Sends a plain answer, all at once. */
static void plain_step(evutil_socket_t fd, short what, void *data) {
  Work *work = data;
  struct evhttp_request *request = work->request;
  struct evbuffer *body;
  (void)fd;
  (void)what;
  if (strcmp(work->worker->mode, "cut") == 0) {
    cut_work(work);
    return;
  }
  set_common_fields(work->worker, request);
  body = evbuffer_new();
  evbuffer_add_printf(body, "answer to %s", field(request, "Request-Id"));
  if (ends_with(evhttp_request_get_uri(request), LARGE_SUFFIX))
    add_filler(body, LARGE_BYTES);
  work_free(work);
  evhttp_send_reply(request, 200, "OK", body);
  evbuffer_free(body);
}

/* Answers a prefill with a new KV handle, which belongs to its request. */
static void on_prefill(Worker *worker, struct evhttp_request *request) {
  char handle[24];
  g_snprintf(handle, sizeof handle, "kv%u", ++last_handle);
  record_request(worker, request, "prefill");
  g_hash_table_replace(kv_handle_owners, g_strdup(handle),
                       g_strdup(field(request, "Request-Id")));
  serve_json(request, 200,
             json_pack("{s:s, s:i, s:i}", "KvHandle", handle, "Tokens", 100,
                       "Version", 1));
}

/*
** Returns whether the KV handle that the request fetches belongs to it; true
** when it fetches none. The handle is used up in either case.
*/
static int owns_kv_handle(struct evhttp_request *request) {
  const char *from = field(request, "Kv-From");
  const char *handle = from != NULL ? strrchr(from, '/') : NULL;
  const char *owner;
  int mine;
  if (handle == NULL)
    return 1;
  owner = g_hash_table_lookup(kv_handle_owners, handle + 1);
  mine = owner != NULL && strcmp(owner, field(request, "Request-Id")) == 0;
  g_hash_table_remove(kv_handle_owners, handle + 1);
  return mine;
}

static void crash_step(evutil_socket_t fd, short what, void *data) {
  Work *work = data;
  Worker *worker = work->worker;
  (void)fd;
  (void)what;
  crash_worker(worker);
}

static void run_request(Worker *worker, struct evhttp_request *request) {
  const char *last = field(request, "Last-Event-Id");
  int slow = strcmp(worker->mode, "slow") == 0 ? worker->slow_ms : 0;
  Work *work;
  record_request(worker, request, "run");
  if (ends_with(evhttp_request_get_uri(request), CRASH_SUFFIX)) {
    schedule_step(work_new(worker, request, crash_step), CRASH_DELAY_MS);
    return;
  }
  if (strcmp(worker->mode, "error") == 0) {
    set_common_fields(worker, request);
    evhttp_send_reply(request, 500, NULL, NULL);
    return;
  }
  if (worker->stage[0] != '\0') {
    work = work_new(worker, request, stream_step);
    work->next_piece = last != NULL ? atoi(last) + 1 : 1;
    schedule_step(work, PIECE_INTERVAL_MS + slow);
    return;
  }
  work = work_new(worker, request, plain_step);
  if (strcmp(worker->mode, "mute") != 0)
    schedule_step(work, PIECE_INTERVAL_MS + slow);
}

/*
** {==================================================================
** Orders
** ===================================================================
*/

static void on_switch_done(evutil_socket_t fd, short what, void *data) {
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
                       worker->next_stage != NULL, "Seq", worker->orders_taken,
                       "born", worker->start_unix_ms));
}

/*
** Returns the status that answers an order: 400 it is incomplete, 412 its
** fence is lower than one before, 409 another order is being carried out or
** the expected number of orders differs, 200 the worker has the stage already,
** 202 it begins to switch.
*/
static int order_status(const Worker *worker, const json_t *order) {
  const json_t *expected = json_object_get(order, "ExpectRev");
  json_int_t fence = json_integer_value(json_object_get(order, "Fence"));
  const char *stage = json_string_value(json_object_get(order, "Stage"));
  if (stage == NULL || fence == 0 ||
      json_string_value(json_object_get(order, "Holder")) == NULL)
    return 400;
  if (fence < worker->highest_fence)
    return 412;
  if (worker->next_stage != NULL ||
      (expected != NULL &&
       json_integer_value(expected) != worker->orders_taken))
    return 409;
  return strcmp(stage, worker->stage) == 0 ? 200 : 202;
}

static void record_order(const Worker *worker, const json_t *order,
                         int status) {
  json_array_append_new(
      ledger, json_pack("{s:s, s:s, s:s, s:O, s:O, s:O, s:i}", "id", "order",
                        "worker", worker->id, "what", "order", "holder",
                        json_object_get(order, "Holder"), "fence",
                        json_object_get(order, "Fence"), "stage",
                        json_object_get(order, "Stage"), "status", status));
}

static void begin_switch(Worker *worker, const json_t *order) {
  struct timeval time = {SWITCH_DURATION_MS / 1000,
                         SWITCH_DURATION_MS % 1000 * 1000L};
  worker->orders_taken++;
  worker->next_stage =
      g_strdup(json_string_value(json_object_get(order, "Stage")));
  if (worker->switch_timer == NULL)
    worker->switch_timer = evtimer_new(base, on_switch_done, worker);
  event_add(worker->switch_timer, &time);
}

static void on_order(Worker *worker, struct evhttp_request *request) {
  json_t *order = serve_body(request);
  json_int_t fence = json_integer_value(json_object_get(order, "Fence"));
  int status = order_status(worker, order);
  if (status != 400)
    record_order(worker, order, status);
  if (status == 202)
    begin_switch(worker, order);
  worker->highest_fence = MAX(worker->highest_fence, fence);
  serve_json(request, status, json_object());
  json_decref(order);
}

/* }================================================================== */

/* Refuses a request and asks the sender for a pause. */
static void refuse_for_rest(const Worker *worker,
                            struct evhttp_request *request) {
  record_request(worker, request, "rest");
  set_field(request, "Retry-After", worker->rest_seconds);
  refuse_unrun(request, 503);
}

static void on_request(struct evhttp_request *request, void *data) {
  Worker *worker = data;
  const char *expected = field(request, "Expect-Instance");
  const char *stage = field(request, "Stage");
  if (worker->advertised_rate[0] != '\0')
    set_field(request, "Server-Limit", worker->advertised_rate);
  if (worker->is_leaving)
    set_field(request, "Server-Leaving", "1");
  if (evhttp_request_get_command(request) == EVHTTP_REQ_DELETE) {
    record_request(worker, request, "release");
    evhttp_send_reply(request, 200, NULL, NULL);
  } else if (strcmp(evhttp_request_get_uri(request), "/report") == 0)
    on_report(worker, request);
  else if (has_forged_field(request)) {
    record_request(worker, request, FORGED_VALUE);
    refuse_unrun(request, 400);
  } else if (expected != NULL && strcmp(expected, worker->id) != 0)
    refuse_unrun(request, 421);
  else if (worker->rest_seconds[0] != '\0')
    refuse_for_rest(worker, request);
  else if (strcmp(evhttp_request_get_uri(request), "/order") == 0)
    on_order(worker, request);
  else if (worker->next_stage != NULL)
    refuse_unrun(request, 503);
  else if (worker->is_gone || strcmp(worker->mode, "shed") == 0)
    refuse_unrun(request, 503);
  else if (field(request, "Request-Id") == NULL)
    refuse_unrun(request, 400);
  else if (stage != NULL && strcmp(stage, "prefill") == 0)
    on_prefill(worker, request);
  else if (!owns_kv_handle(request))
    refuse_unrun(request, 503);
  else
    run_request(worker, request);
}

/* }================================================================== */

void worker_write_entry(const Worker *worker) {
  json_t *spec = json_pack(
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I}", "Version", worker->software,
      "Service", worker->service, "Addr", worker->addr, "Zone", worker->zone,
      "Slots", 8, "State", worker->is_draining ? "draining" : "ready",
      "ColdLeftMs", 0, "born", worker->start_unix_ms);
  if (worker->stage[0] != '\0')
    json_object_set_new(spec, "Stage", json_string(worker->stage));
  store_put_object("servers", worker->id, spec);
}

/*
** {==================================================================
** Crash and restart
** ===================================================================
*/

static json_int_t unix_ms(void) {
  return (json_int_t)(g_get_real_time() / MS);
}

static void set_timer(struct event *timer, int ms) {
  struct timeval time = {ms / 1000, ms % 1000 * 1000L};
  event_add(timer, &time);
}

static void on_removal_timer(evutil_socket_t fd, short what, void *data) {
  const Worker *worker = data;
  (void)fd;
  (void)what;
  store_remove_object("servers", worker->id);
}

static void on_restart_timer(evutil_socket_t fd, short what, void *data) {
  Worker *worker = data;
  (void)fd;
  (void)what;
  worker->start_unix_ms = unix_ms();
  if (worker->next_software != NULL) {
    g_free(worker->software);
    worker->software = worker->next_software;
    worker->next_software = NULL;
  }
  worker->orders_taken = 0;
  worker->highest_fence = 0;
  worker->is_leaving = 0;
  worker->rest_seconds[0] = '\0';
  worker->http = serve_new(base, worker->listen, on_request, worker);
  worker_write_entry(worker);
}

/*
** Ends the worker as if its process ended: it does not listen, and all its
** connections are closed.
*/
static void crash_worker(Worker *worker) {
  guint i = 0;
  if (worker->http == NULL)
    return;
  while (i < open_work->len) {
    Work *work = open_work->pdata[i];
    if (work->worker == worker)
      work_free(work);
    else
      i++;
  }
  evhttp_free(worker->http);
  worker->http = NULL;
  if (worker->removal_timer == NULL) {
    worker->removal_timer = evtimer_new(base, on_removal_timer, worker);
    worker->restart_timer = evtimer_new(base, on_restart_timer, worker);
  }
  set_timer(worker->removal_timer, REMOVAL_DELAY_MS);
  set_timer(worker->restart_timer, RESTART_DELAY_MS);
}

/* }================================================================== */

#define RATE_MODE_PREFIX "rate="
#define REST_MODE_PREFIX "rest="
#define SLOW_MODE_PREFIX "slow="
#define SOFTWARE_MODE_PREFIX "software="

int worker_set_mode(Worker *worker, const char *mode) {
  static const char *const modes[] = {"ok",  "error", "shed",
                                      "cut", "mute",  "slow"};
  gsize i;
  if (strcmp(mode, "draining") == 0 || strcmp(mode, "back") == 0) {
    worker->is_draining = mode[0] == 'd';
    worker->is_gone = 0;
    worker_write_entry(worker);
    return 1;
  }
  if (g_str_has_prefix(mode, RATE_MODE_PREFIX)) {
    g_strlcpy(worker->advertised_rate, mode + strlen(RATE_MODE_PREFIX),
              sizeof worker->advertised_rate);
    return 1;
  }
  if (g_str_has_prefix(mode, SLOW_MODE_PREFIX)) {
    g_strlcpy(worker->mode, "slow", sizeof worker->mode);
    worker->slow_ms = atoi(mode + strlen(SLOW_MODE_PREFIX));
    return 1;
  }
  if (g_str_has_prefix(mode, REST_MODE_PREFIX)) {
    g_strlcpy(worker->rest_seconds, mode + strlen(REST_MODE_PREFIX),
              sizeof worker->rest_seconds);
    return 1;
  }
  if (g_str_has_prefix(mode, SOFTWARE_MODE_PREFIX)) {
    g_free(worker->next_software);
    worker->next_software = g_strdup(mode + strlen(SOFTWARE_MODE_PREFIX));
    crash_worker(worker);
    return 1;
  }
  if (strcmp(mode, "leaving") == 0) {
    worker->is_leaving = 1;
    return 1;
  }
  if (strcmp(mode, "crash") == 0) {
    crash_worker(worker);
    return 1;
  }
  if (strcmp(mode, "gone") == 0) {
    worker->is_gone = 1;
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
      worker->slow_ms = SLOW_DELAY_MS;
      return 1;
    }
  }
  return 0;
}

/* Returns a copy of the text at 'key', or of ""; the caller frees it. */
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
  worker->software = g_strdup("v1");
  g_strlcpy(worker->mode, "ok", sizeof worker->mode);
  worker->listen = serve_address(json, "listen");
  worker->start_unix_ms = unix_ms();
  worker->http = serve_new(base, worker->listen, on_request, worker);
  worker_write_entry(worker);
  return worker;
}

void workers_init(struct event_base *event_base) {
  base = event_base;
  open_work = g_ptr_array_new();
  kv_handle_owners =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  ledger = json_array();
}

json_t *workers_ledger(void) {
  return ledger;
}
