/*
** load.c
** The load tool: sends open-loop arrivals to entry instances, verifies every
** answer, reads the ledgers of the engines afterwards and writes one report
**
**   load --mix FILE --list INSTANCES.json --rate R --seconds S
**        [--seed N] [--entries N] [--label TEXT] [--json FILE]
**
** Open loop means that arrivals do not wait for answers. The exit code is 1
** when the router broke a guarantee: an answer was wrong, a key was answered
** twice, a request ran although its error said that it had not, or an engine
** still holds KV cache at the end. It is 2 when a file cannot be used.
*/

#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bench/load.h"
#include "conf/conf.h"
#include "io/http.h"

/* The requests of one class, by outcome. */
typedef struct ClassTotals {
  unsigned sent, completed, good, wrong, silent, hung_up; /* as in Result */
  unsigned rejected_duplicates; /* second copies, correctly rejected */
  GArray *first_token_ms;       /* double, ms; complete answers only */
  GArray *token_gap_ms;         /* likewise */
} ClassTotals;

typedef struct Arguments {
  const char *mix, *list, *label, *json;
  double rate;
  unsigned seconds; /* duration of the arrivals */
  unsigned entries; /* use only the first ones; 0: all */
  unsigned settle;  /* seconds from the last answer to reading the ledgers */
  uint64_t seed;
} Arguments;

static struct event_base *base;
static Arguments args = {
    .rate = 10, .seconds = 10, .settle = 3, .seed = 1, .label = "run"};
static Mix *mix;
static GArray *entries;           /* mp_Addr of the callers' port */
static GArray *endpoints;         /* mp_Addr */
static GArray *operators;         /* mp_Addr of the operators' port */
static GArray *results;           /* Result */
static ClassTotals *class_totals; /* one element for each class of the mix */
static GRand *random_source;
static unsigned open_requests, sent_requests;
static mp_Time start_us; /* monotonic clock, us */
static struct event *arrival_timer;
/* Prompt tokens of all prefills, from the ledgers. */
static uint64_t computed_prompt_tokens, cached_prompt_tokens;
static uint64_t counters[64]; /* by mp_Counter, summed over the entries */

/*
** {==================================================================
** Addresses
** ===================================================================
*/

static void append_address(GArray *a, const json_t *row, const char *key) {
  mp_Addr at = mp_addr_parse(json_string_value(json_object_get(row, key)));
  if (at != 0)
    g_array_append_val(a, at);
}

/* Fills the lists of addresses; exits with 2 when no entry is listed. */
static void read_instance_list(const char *path) {
  json_t *j = json_load_file(path, 0, NULL);
  const json_t *rows = json_object_get(j, "instances");
  size_t i;
  for (i = 0; i < json_array_size(rows); i++) {
    const json_t *row = json_array_get(rows, i);
    const char *kind = json_string_value(json_object_get(row, "kind"));
    if (kind != NULL && strcmp(kind, "entry") == 0) {
      append_address(entries, row, "callers");
      append_address(operators, row, "operators");
    } else
      append_address(endpoints, row, "address");
  }
  json_decref(j);
  if (args.entries > 0 && args.entries < entries->len) {
    g_array_set_size(entries, args.entries);
    g_array_set_size(operators, args.entries);
  }
  if (entries->len > 0)
    return;
  fprintf(stderr, "%s: the list names no entry instance\n", path);
  exit(2);
}

/* }================================================================== */

/*
** {==================================================================
** Arrivals
** ===================================================================
*/

/* Returns whether an event of 'p' percent probability occurs. */
static int draw_percent(uint32_t p) {
  return (uint32_t)g_rand_int_range(random_source, 0, 100) < p;
}

/* Returns whether the answer was complete, right and in both targets. */
static int meets_targets(const MixClass *c, const Result *r) {
  return r->is_complete && !r->is_wrong &&
         r->first_token_ms <= c->first_token_max_ms &&
         (c->token_interval_max_ms == 0 ||
          r->token_gap_ms <= c->token_interval_max_ms);
}

static void record_result(void *ud, Result *r) {
  ClassTotals *t = &class_totals[r->class_index];
  (void)ud;
  open_requests--;
  t->completed += r->is_complete;
  t->wrong += r->is_wrong;
  t->silent += r->is_silent;
  t->hung_up += r->has_hung_up;
  t->rejected_duplicates += strcmp(r->error_kind, "duplicate_request") == 0;
  t->good += meets_targets(&mix->classes[r->class_index], r);
  if (r->is_complete) {
    g_array_append_val(t->first_token_ms, r->first_token_ms);
    g_array_append_val(t->token_gap_ms, r->token_gap_ms);
  }
  g_array_append_val(results, *r);
}

/* Returns a random index of a class, by weight. */
static unsigned draw_class(void) {
  uint32_t all = 0;
  uint32_t at;
  unsigned i;
  for (i = 0; i < mix->classes_count; i++)
    all += mix->classes[i].weight;
  at = (uint32_t)g_rand_int_range(random_source, 0, (gint32)all);
  for (i = 0; at >= mix->classes[i].weight; i++)
    at -= mix->classes[i].weight;
  return i;
}

static mp_Addr draw_entry(void) {
  gint32 i = g_rand_int_range(random_source, 0, (gint32)entries->len);
  return g_array_index(entries, mp_Addr, i);
}

static void start_request(unsigned k, uint64_t seed, const char *key,
                          int hangs_up) {
  open_requests++;
  sent_requests++;
  class_totals[k].sent++;
  caller_start(base, draw_entry(), &mix->classes[k], k, seed, key, hangs_up,
               record_result, NULL);
}

/* Sends the request of one arrival, or the two copies of a duplicate. */
static void start_arrival(void) {
  unsigned k = draw_class();
  const MixClass *c = &mix->classes[k];
  uint64_t seed = args.seed << 32 | sent_requests;
  char key[48];
  int keyed = draw_percent(c->keyed_percent);
  g_snprintf(key, sizeof key, "load-%u-%" G_GUINT64_FORMAT,
             (unsigned)(start_us & 0xffffff), (guint64)seed);
  if (keyed && draw_percent(c->duplicate_percent))
    start_request(k, seed, key, 0); /* the other copy follows */
  start_request(k, seed, keyed ? key : NULL, draw_percent(c->hangup_percent));
}

/*
** Returns the present rate in requests per second. With bursts it is
** 'burst_factor' times the mean in the first tenth of each period, and lower
** in the rest, so that the mean over a period is the rate asked for.
*/
static double current_rate(void) {
  double t = (double)(g_get_monotonic_time() - start_us) / MP_SEC;
  double in;
  if (mix->burst_every_s == 0)
    return args.rate;
  in = fmod(t, mix->burst_every_s) / mix->burst_every_s;
  if (in < 0.1)
    return args.rate * mix->burst_factor;
  return args.rate * (1 - 0.1 * mix->burst_factor) / 0.9;
}

/*
** Sends the arrivals that are due and sets the timer for the next one. The
** intervals are exponential; the last arrival is at most 'seconds' after the
** start.
*/
static void on_arrival_timer(evutil_socket_t fd, short what, void *arg) {
  static mp_Time next;
  (void)fd;
  (void)what;
  (void)arg;
  if (next == 0)
    next = start_us;
  /* Open loop: every arrival that is due is sent, however late this is. */
  while (next <= g_get_monotonic_time()) {
    if (next - start_us > (mp_Time)args.seconds * MP_SEC)
      return;
    start_arrival();
    next += (mp_Time)(-log(1 - g_rand_double(random_source)) /
                      MAX(current_rate(), 0.1) * MP_SEC);
  }
  {
    mp_Time wait = next - g_get_monotonic_time();
    struct timeval t = {wait / MP_SEC, wait % MP_SEC};
    if (wait < 0)
      t.tv_sec = t.tv_usec = 0;
    event_add(arrival_timer, &t);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Ledgers of the engines and counters of the router
** ===================================================================
*/

/* The body of a response to GET, and whether the call has ended. */
typedef struct Fetch {
  GString *text;
  int is_done;
} Fetch;

static void append_body(void *ud, const char *s, size_t n) {
  g_string_append_len(((Fetch *)ud)->text, s, (gssize)n);
}

static void mark_done(void *ud, HttpEnd end, int status) {
  (void)end;
  (void)status;
  ((Fetch *)ud)->is_done = 1;
}

/*
** Returns the body that a GET answers, which the caller frees; what arrived
** before a failure, and an empty text when the call cannot be made.
*/
static GString *fetch(mp_Addr at, const char *path) {
  static const HttpHooks hooks = {NULL, append_body, mark_done};
  Fetch g = {g_string_new(NULL), 0};
  HttpCall *c =
      http_call(base, at, EVHTTP_REQ_GET, path, NULL, NULL, 0, &hooks, &g);
  while (c != NULL && !g.is_done)
    event_base_loop(base, EVLOOP_ONCE);
  return g.text;
}

/* The work that the engines did for one request, over all its attempts. */
typedef struct EngineRuns {
  unsigned prefills, decodes, plain_calls, completed_decodes;
  uint32_t computed_tokens; /* prompt tokens computed, without cached ones */
} EngineRuns;

/*
** Returns the runs of the request 'id', which are created when missing. The
** table maps an id without its attempt (".N" at the end) to EngineRuns that
** the table owns.
*/
static EngineRuns *runs_of_request(GHashTable *t, const char *id) {
  char request_id[64];
  EngineRuns *r;
  g_strlcpy(request_id, id, sizeof request_id);
  if (strchr(request_id, '.') != NULL)
    *strchr(request_id, '.') = '\0';
  r = g_hash_table_lookup(t, request_id);
  if (r == NULL) {
    r = g_new0(EngineRuns, 1);
    g_hash_table_insert(t, g_strdup(request_id), r);
  }
  return r;
}

/* Adds a line of an engine's ledger, a JSON object, to the table. */
static void add_ledger_line(GHashTable *t, const char *line) {
  json_t *j = json_loads(line, 0, NULL);
  const char *id = json_string_value(json_object_get(j, "id"));
  const char *op = json_string_value(json_object_get(j, "op"));
  const char *out = json_string_value(json_object_get(j, "outcome"));
  uint32_t tokens = (uint32_t)json_integer_value(json_object_get(j, "tokens"));
  uint32_t cached = (uint32_t)json_integer_value(json_object_get(j, "cached"));
  if (id != NULL && op != NULL && out != NULL) {
    EngineRuns *r = runs_of_request(t, id);
    if (strcmp(op, "prefill") == 0) {
      r->prefills++;
      r->computed_tokens += tokens - MIN(tokens, cached);
      computed_prompt_tokens += tokens - MIN(tokens, cached);
      cached_prompt_tokens += cached;
    }
    if (strcmp(op, "decode") == 0) {
      r->decodes++;
      r->completed_decodes += strcmp(out, "done") == 0;
    }
    r->plain_calls += strcmp(op, "plain") == 0;
  }
  json_decref(j);
}

/* Returns the runs by request id; the caller destroys the table. */
static GHashTable *read_ledgers(void) {
  GHashTable *t =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  guint i;
  for (i = 0; i < endpoints->len; i++) {
    GString *s = fetch(g_array_index(endpoints, mp_Addr, i), "/ledger");
    gchar **lines = g_strsplit(s->str, "\n", -1);
    guint k;
    for (k = 0; lines[k] != NULL; k++) {
      if (lines[k][0] == '{')
        add_ledger_line(t, lines[k]);
    }
    g_strfreev(lines);
    g_string_free(s, TRUE);
  }
  return t;
}

/* Adds up the counters that the entries report at /metrics. */
static void read_counters(void) {
  guint i;
  int k;
  for (i = 0; i < operators->len; i++) {
    GString *s = fetch(g_array_index(operators, mp_Addr, i), "/metrics");
    for (k = 0; k < MP_C_COUNT; k++) {
      gchar *name =
          g_strdup_printf("madderpier_%s ", mp_counter_name((mp_Counter)k));
      const char *at = strstr(s->str, name);
      if (at != NULL)
        counters[k] += g_ascii_strtoull(at + strlen(name), NULL, 10);
      g_free(name);
    }
    g_string_free(s, TRUE);
  }
}

/* Returns how many KV caches the engines still hold. */
static unsigned count_kv_holds(void) {
  unsigned n = 0;
  guint i;
  for (i = 0; i < endpoints->len; i++) {
    GString *s = fetch(g_array_index(endpoints, mp_Addr, i), "/holds");
    json_t *j = json_loads(s->str, 0, NULL);
    n += (unsigned)json_array_size(json_object_get(j, "holds"));
    json_decref(j);
    g_string_free(s, TRUE);
  }
  return n;
}

/* }================================================================== */

/*
** {==================================================================
** The report
** ===================================================================
*/

typedef struct Totals {
  unsigned sent, completed, good, wrong, silent, hung_up; /* as in Result */
  unsigned rejected_duplicates; /* second copies, correctly rejected */
  unsigned answered_twice; /* complete answers to a key already answered */
  unsigned ran_despite_no; /* an error said "not run", and an engine ran it */
  unsigned kv_holds;       /* KV caches still held after all requests ended */
  double wasted_share; /* computed prompt tokens that no answer used, 0..1 */
} Totals;

static int compare_doubles(gconstpointer a, gconstpointer b) {
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

/* Sorts 'a' and returns its 95th percentile; 0 when it is empty. */
static double p95(GArray *a) {
  if (a->len == 0)
    return 0;
  g_array_sort(a, compare_doubles);
  return g_array_index(a, double, (guint)(a->len * 0.95));
}

/*
** Returns the totals over all results, with the broken guarantees. A prompt's
** computed tokens count as used once, at their mean over the prefills of the
** request, when the answer was complete or the caller hung up.
*/
static Totals check_guarantees(GHashTable *runs) {
  Totals s = {0};
  GHashTable *keys =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  uint64_t used = 0;
  guint i;
  for (i = 0; i < results->len; i++) {
    const Result *r = &g_array_index(results, Result, i);
    char id[64];
    const EngineRuns *run;
    g_strlcpy(id, r->request_id, sizeof id);
    if (strchr(id, '.') != NULL)
      *strchr(id, '.') = '\0';
    run = g_hash_table_lookup(runs, id);
    s.sent++;
    s.completed += r->is_complete;
    s.wrong += r->is_wrong;
    s.silent += r->is_silent;
    s.hung_up += r->has_hung_up;
    s.rejected_duplicates += strcmp(r->error_kind, "duplicate_request") == 0;
    s.good += meets_targets(&mix->classes[r->class_index], r);
    if (r->is_complete && r->idempotency_key[0] != '\0' &&
        !g_hash_table_add(keys, g_strdup(r->idempotency_key)))
      s.answered_twice++;
    if (r->error_kind[0] != '\0' && r->ran == MP_RAN_NO && run != NULL)
      s.ran_despite_no++;
    if (run != NULL && (r->is_complete || r->has_hung_up))
      used += run->computed_tokens / MAX(run->prefills, 1);
  }
  s.wasted_share = computed_prompt_tokens > 0
                       ? 1 - (double)used / (double)computed_prompt_tokens
                       : 0;
  s.wasted_share = MAX(s.wasted_share, 0);
  s.kv_holds = count_kv_holds();
  g_hash_table_destroy(keys);
  return s;
}

/* Returns an object: error kind -> number of requests. */
static json_t *count_error_kinds(void) {
  json_t *j = json_object();
  guint i;
  for (i = 0; i < results->len; i++) {
    const Result *r = &g_array_index(results, Result, i);
    const char *k = r->error_kind[0] != '\0' ? r->error_kind : NULL;
    json_int_t n;
    if (k == NULL)
      continue;
    n = json_integer_value(json_object_get(j, k));
    json_object_set_new(j, k, json_integer(n + 1));
  }
  return j;
}

/*
** Returns the share of good requests among those that did not hang up and
** were not rejected as duplicates; 0 when there are none.
*/
static double goodput(unsigned good, unsigned n, unsigned hung_up,
                      unsigned rejected_duplicates) {
  unsigned of = n - hung_up - rejected_duplicates;
  return of > 0 ? (double)good / of : 0;
}

static json_t *class_report(unsigned i) {
  ClassTotals *t = &class_totals[i];
  return json_pack("{s:i, s:i, s:i, s:f, s:f, s:f}", "sent", (int)t->sent,
                   "ended", (int)t->completed, "good", (int)t->good, "goodput",
                   t->sent > 0 ? (double)t->good / t->sent : 0, "p95_first_ms",
                   p95(t->first_token_ms), "p95_gap_ms", p95(t->token_gap_ms));
}

/* Returns the report, as one JSON object; the caller frees it. */
static json_t *make_report(const Totals *s) {
  json_t *classes = json_object();
  json_t *cnt = json_object();
  unsigned i;
  for (i = 0; i < mix->classes_count; i++)
    json_object_set_new(classes, mix->classes[i].class_name, class_report(i));
  for (i = 0; i < MP_C_COUNT; i++)
    json_object_set_new(cnt, mp_counter_name((mp_Counter)i),
                        json_integer((json_int_t)counters[i]));
  return json_pack(
      "{s:s, s:I, s:f, s:i, s:i, s:i, s:f, s:f, s:f, s:{s:i, s:i, s:i, s:i, "
      "s:i}, s:o, s:o, s:o}",
      "label", args.label, "seed", (json_int_t)args.seed, "rate", args.rate,
      "sent", (int)s->sent, "ended", (int)s->completed, "good", (int)s->good,
      "goodput", goodput(s->good, s->sent, s->hung_up, s->rejected_duplicates),
      "good_per_s", (double)s->good / MAX(args.seconds, 1), "wasted_prefill",
      s->wasted_share, "broken", "wrong", (int)s->wrong, "answered_twice",
      (int)s->answered_twice, "ran_though_told_not", (int)s->ran_despite_no,
      "held_after", (int)s->kv_holds, "silent", (int)s->silent, "refusals",
      count_error_kinds(), "classes", classes, "counters", cnt);
}

static void print_totals(const Totals *s) {
  unsigned i;
  printf("%-18s seed %-3" G_GUINT64_FORMAT
         " sent %-5u ended %-5u goodput %.3f (%.1f/s) wasted prefill %.4f "
         "broken %u silent %u\n",
         args.label, (guint64)args.seed, s->sent, s->completed,
         goodput(s->good, s->sent, s->hung_up, s->rejected_duplicates),
         (double)s->good / MAX(args.seconds, 1), s->wasted_share,
         s->wrong + s->answered_twice + s->ran_despite_no + s->kv_holds,
         s->silent);
  for (i = 0; i < mix->classes_count; i++) {
    ClassTotals *t = &class_totals[i];
    printf("  %-18s sent %-5u good %.3f p95 first %7.0f ms gap %5.1f ms\n",
           mix->classes[i].class_name, t->sent,
           goodput(t->good, t->sent, t->hung_up, t->rejected_duplicates),
           p95(t->first_token_ms), p95(t->token_gap_ms));
  }
}

/* }================================================================== */

static const struct argp_option options[] = {
    {"mix", 'm', "FILE", 0, "The classes and their shares", 0},
    {"list", 'l', "FILE", 0, "The instance list", 0},
    {"rate", 'r', "N", 0, "Requests a second", 0},
    {"seconds", 's', "N", 0, "Duration of the arrivals", 0},
    {"seed", 'e', "N", 0, "Seed", 0},
    {"entries", 'n', "N", 0, "Use only the first N entry instances", 0},
    {"settle", 'w', "N", 0, "Seconds before the ledgers are read", 0},
    {"label", 'L', "TEXT", 0, "Name of the run", 0},
    {"json", 'j', "FILE", 0, "Append the report as one line of JSON", 0},
    {0}};

static error_t parse(int key, char *arg, struct argp_state *state) {
  switch (key) {
  case 'm':
    args.mix = arg;
    return 0;
  case 'l':
    args.list = arg;
    return 0;
  case 'r':
    args.rate = g_ascii_strtod(arg, NULL);
    return 0;
  case 's':
    args.seconds = (unsigned)g_ascii_strtoull(arg, NULL, 10);
    return 0;
  case 'e':
    args.seed = g_ascii_strtoull(arg, NULL, 10);
    return 0;
  case 'n':
    args.entries = (unsigned)g_ascii_strtoull(arg, NULL, 10);
    return 0;
  case 'w':
    args.settle = (unsigned)g_ascii_strtoull(arg, NULL, 10);
    return 0;
  case 'L':
    args.label = arg;
    return 0;
  case 'j':
    args.json = arg;
    return 0;
  case ARGP_KEY_END:
    if (args.mix == NULL || args.list == NULL || args.rate <= 0)
      argp_usage(state);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

/* Runs the event loop until all arrivals were sent and have ended. */
static void send_all(void) {
  struct timeval t = {0, 0};
  unsigned i;
  class_totals = g_new0(ClassTotals, mix->classes_count);
  for (i = 0; i < mix->classes_count; i++) {
    class_totals[i].first_token_ms = g_array_new(FALSE, FALSE, sizeof(double));
    class_totals[i].token_gap_ms = g_array_new(FALSE, FALSE, sizeof(double));
  }
  start_us = g_get_monotonic_time();
  arrival_timer = evtimer_new(base, on_arrival_timer, NULL);
  event_add(arrival_timer, &t);
  while (open_requests > 0 || event_pending(arrival_timer, EV_TIMEOUT, NULL))
    event_base_loop(base, EVLOOP_ONCE);
}

/*
** Waits before the ledgers are read, because what a dead instance held is
** freed only when its leases expire.
*/
static void wait_until_settled(void) {
  struct timeval t = {(time_t)args.settle, 0};
  event_base_loopexit(base, &t);
  event_base_dispatch(base);
}

int main(int argc, char **argv) {
  static const struct argp argp = {options, parse, NULL, NULL,
                                   NULL,    NULL,  NULL};
  GHashTable *runs;
  Totals s;
  argp_parse(&argp, argc, argv, 0, NULL, NULL);
  base = event_base_new();
  entries = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  endpoints = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  operators = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  results = g_array_new(FALSE, FALSE, sizeof(Result));
  random_source = g_rand_new_with_seed((guint32)args.seed);
  mix = mix_read(args.mix);
  read_instance_list(args.list);
  send_all();
  wait_until_settled();
  runs = read_ledgers();
  read_counters();
  s = check_guarantees(runs);
  print_totals(&s);
  if (args.json != NULL) {
    FILE *f = fopen(args.json, "ae");
    json_t *j = make_report(&s);
    if (f != NULL) {
      json_dumpf(j, f, JSON_COMPACT | JSON_REAL_PRECISION(6));
      fputc('\n', f);
      fclose(f);
    }
    json_decref(j);
  }
  g_hash_table_destroy(runs);
  return s.wrong + s.answered_twice + s.ran_despite_no + s.kv_holds > 0;
}
