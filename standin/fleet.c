/*
** fleet.c
** Stand-in for the users' platform: its store, model workers and plain
** services, in one process
**
**   standin-fleet FLEET.json
**
** FLEET.json: {"store": ADDR, "admin": ADDR, "configuration": {...},
**   "workers": [{"id", "service", "zone", "stage", "listen", "addr"}],
**   "views": [{"listen": ADDR, "addrs": {ADDR: ADDR}}]}
** "listen" is where the worker listens and "addr" what its entry in the store
** says; they differ when a proxy is between. At the port of a view the store
** names other addresses of the workers, so that an instance that uses it can
** be cut off from them alone. The admin port answers:
**   GET  /ledger   what each worker took: id, worker, what, method, path, ...
**   POST /store    {"mode": M}, see store.h; {"mode": "restore", "ms": AGE}
**   POST /worker   {"id", "mode": M}, see worker.h
**   POST /configuration   the next version of the configuration
**   POST /entry    {"kind", "name", "spec"}: writes an entry in the store, in
**                  the place of some other writer; a spec {"raw": TEXT} is
**                  the text of the whole object (store_raw.h)
** They answer 400 when the worker, the mode or the path is unknown.
**
** A request whose target ends in "crashes" crashes each worker that begins to
** run it, with all that runs there. The worker's entry is removed some time
** later, and after that it restarts under the same id with another start time.
*/

#include <signal.h>
#include <stdio.h>

#include "standin/store.h"
#include "standin/worker.h"

static struct event_base *base;
static GPtrArray *workers; /* Worker */
/* Monotonic clock, ms: when the store began to listen. */
static json_int_t store_start_ms;

/*
** {==================================================================
** Administration
** ===================================================================
*/

/* Returns the worker, or NULL when there is none or 'id' is NULL. */
static Worker *find_worker(const char *id) {
  guint i;
  for (i = 0; id != NULL && i < workers->len; i++) {
    Worker *worker = workers->pdata[i];
    if (strcmp(worker->id, id) == 0)
      return worker;
  }
  return NULL;
}

/* The handlers of the admin port return 0 when the body is invalid. */

static int handle_worker_mode(const json_t *body) {
  Worker *worker = find_worker(json_string_value(json_object_get(body, "id")));
  const char *mode = json_string_value(json_object_get(body, "mode"));
  return worker != NULL && mode != NULL && worker_set_mode(worker, mode);
}

static int handle_entry(const json_t *body) {
  const char *kind = json_string_value(json_object_get(body, "kind"));
  const char *name = json_string_value(json_object_get(body, "name"));
  json_t *spec = json_object_get(body, "spec");
  if (kind == NULL || name == NULL || spec == NULL)
    return 0;
  store_put_object(kind, name, json_incref(spec));
  return 1;
}

static int handle_store_fault(const json_t *body) {
  const char *mode = json_string_value(json_object_get(body, "mode"));
  if (g_strcmp0(mode, "restore") == 0) {
    store_restore(json_integer_value(json_object_get(body, "ms")));
    return 1;
  }
  return mode != NULL && store_set_fault(mode);
}

static void on_admin(struct evhttp_request *request, void *data) {
  const char *uri = evhttp_request_get_uri(request);
  json_t *body = serve_body(request);
  int done = 1;
  (void)data;
  if (strcmp(uri, "/ledger") == 0) {
    serve_json(request, 200,
               json_pack("{s:O, s:i, s:I}", "rows", workers_ledger(),
                         "store_calls", (int)store_count_calls(),
                         "store_up_ms", store_start_ms));
    json_decref(body);
    return;
  }
  if (strcmp(uri, "/configuration") == 0)
    store_put_object("config", "main", json_incref(body));
  else if (strcmp(uri, "/store") == 0)
    done = handle_store_fault(body);
  else if (strcmp(uri, "/worker") == 0)
    done = handle_worker_mode(body);
  else if (strcmp(uri, "/entry") == 0)
    done = handle_entry(body);
  else
    done = 0;
  serve_json(request, done ? 200 : 400, json_object());
  json_decref(body);
}

/* }================================================================== */

int main(int argc, char **argv) {
  size_t size;
  char *text;
  json_t *fleet;
  json_t *row;
  size_t i;
  if (argc != 2) {
    fprintf(stderr, "usage: standin-fleet FLEET.json\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  text = serve_read_file(argv[1], &size);
  fleet = json_loadb(text, size, 0, NULL);
  base = event_base_new();
  workers = g_ptr_array_new();
  workers_init(base);
  store_start(base, serve_address(fleet, "store"));
  store_start_ms = (json_int_t)(g_get_monotonic_time() / MS);
  json_array_foreach(json_object_get(fleet, "views"), i, row)
      store_start_view(serve_address(row, "listen"),
                       json_incref(json_object_get(row, "addrs")));
  serve_new(base, serve_address(fleet, "admin"), on_admin, NULL);
  store_put_object("config", "main",
                   json_incref(json_object_get(fleet, "configuration")));
  json_array_foreach(json_object_get(fleet, "workers"), i, row)
      g_ptr_array_add(workers, worker_start(row));
  event_base_dispatch(base);
  return 0;
}
