/*
** load.c
** The load tool: open-loop arrivals against entry instances, every answer
** verified, the engines' ledgers read afterwards, one report
**
**   load --mix FILE --list INSTANCES.json --rate R --seconds S
**        [--seed N] [--entries N] [--label TEXT] [--json FILE]
**
** Arrivals do not wait for answers. Exit code 1 when a promise was broken.
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

/* a class's requests and what became of them */
typedef struct Tally {
  unsigned sent, ended, good, wrong, silent, hung;
  unsigned spare; /* second copies that were refused: as it should be */
  GArray *first;  /* double, ms */
  GArray *gap;
} Tally;

typedef struct Args {
  const char *mix, *list, *label, *json;
  double rate;
  unsigned seconds, entries, settle;
  uint64_t seed;
} Args;

static struct event_base *base;
static Args args = {
    .rate = 10, .seconds = 10, .settle = 3, .seed = 1, .label = "run"};
static Mix *mix;
static GArray *entries;   /* mp_Addr of the callers' side */
static GArray *endpoints; /* mp_Addr */
static GArray *operators; /* mp_Addr */
static GArray *results;   /* Result */
static Tally *tally;
static GRand *rnd;
static unsigned open_, sent;
static mp_Time started;
static struct event *arrival;
static uint64_t engine_prefill, engine_prefill_cached;
static uint64_t counters[64];

/*
** {==================================================================
** Addresses
** ===================================================================
*/

static void addaddr(GArray *a, const json_t *row, const char *key) {
  mp_Addr at = mp_addr_parse(json_string_value(json_object_get(row, key)));
  if (at != 0)
    g_array_append_val(a, at);
}

static void readlist(const char *path) {
  json_t *j = json_load_file(path, 0, NULL);
  const json_t *rows = json_object_get(j, "instances");
  size_t i;
  for (i = 0; i < json_array_size(rows); i++) {
    const json_t *row = json_array_get(rows, i);
    const char *kind = json_string_value(json_object_get(row, "kind"));
    if (kind != NULL && strcmp(kind, "entry") == 0) {
      addaddr(entries, row, "callers");
      addaddr(operators, row, "operators");
    } else
      addaddr(endpoints, row, "address");
  }
  json_decref(j);
  if (args.entries > 0 && args.entries < entries->len) {
    g_array_set_size(entries, args.entries);
    g_array_set_size(operators, args.entries);
  }
  if (entries->len > 0)
    return;
  fprintf(stderr, "%s: no entry instance there\n", path);
  exit(2);
}

/* }================================================================== */

/*
** {==================================================================
** Arrivals
** ===================================================================
*/

static int percent(uint32_t p) {
  return (uint32_t)g_rand_int_range(rnd, 0, 100) < p;
}

static int ingood(const MixClass *c, const Result *r) {
  return r->ended && !r->wrong && r->first_ms <= c->first_ms &&
         (c->token_ms == 0 || r->gap_ms <= c->token_ms);
}

static void done(void *ud, Result *r) {
  Tally *t = &tally[r->class_no];
  (void)ud;
  open_--;
  t->ended += r->ended;
  t->wrong += r->wrong;
  t->silent += r->silent;
  t->hung += r->hung;
  t->spare += strcmp(r->kind, "duplicate_request") == 0;
  t->good += ingood(&mix->classes[r->class_no], r);
  if (r->ended) {
    g_array_append_val(t->first, r->first_ms);
    g_array_append_val(t->gap, r->gap_ms);
  }
  g_array_append_val(results, *r);
}

static unsigned pickclass(void) {
  uint32_t all = 0;
  uint32_t at;
  unsigned i;
  for (i = 0; i < mix->classes_count; i++)
    all += mix->classes[i].weight;
  at = (uint32_t)g_rand_int_range(rnd, 0, (gint32)all);
  for (i = 0; at >= mix->classes[i].weight; i++)
    at -= mix->classes[i].weight;
  return i;
}

static mp_Addr anyentry(void) {
  gint32 i = g_rand_int_range(rnd, 0, (gint32)entries->len);
  return g_array_index(entries, mp_Addr, i);
}

static void sendone(unsigned k, uint64_t seed, const char *key, int hangup) {
  open_++;
  sent++;
  tally[k].sent++;
  caller_start(base, anyentry(), &mix->classes[k], k, seed, key, hangup, done,
               NULL);
}

static void arrive(void) {
  unsigned k = pickclass();
  const MixClass *c = &mix->classes[k];
  uint64_t seed = args.seed << 32 | sent;
  char key[48];
  int keyed = percent(c->keyed);
  g_snprintf(key, sizeof key, "load-%u-%" G_GUINT64_FORMAT,
             (unsigned)(started & 0xffffff), (guint64)seed);
  if (keyed && percent(c->again))
    sendone(k, seed, key, 0); /* and once more, below */
  sendone(k, seed, keyed ? key : NULL, percent(c->hangup));
}

static double ratenow(void) {
  double t = (double)(g_get_monotonic_time() - started) / MP_SEC;
  double in;
  if (mix->burst_every_s == 0)
    return args.rate;
  in = fmod(t, mix->burst_every_s) / mix->burst_every_s;
  if (in < 0.1)
    return args.rate * mix->burst_factor;
  return args.rate * (1 - 0.1 * mix->burst_factor) / 0.9;
}

static void onarrival(evutil_socket_t fd, short what, void *arg) {
  static mp_Time next;
  (void)fd;
  (void)what;
  (void)arg;
  if (next == 0)
    next = started;
  /* open loop: what is due is sent, however late the loop is */
  while (next <= g_get_monotonic_time()) {
    if (next - started > (mp_Time)args.seconds * MP_SEC)
      return;
    arrive();
    next +=
        (mp_Time)(-log(1 - g_rand_double(rnd)) / MAX(ratenow(), 0.1) * MP_SEC);
  }
  {
    mp_Time wait = next - g_get_monotonic_time();
    struct timeval t = {wait / MP_SEC, wait % MP_SEC};
    if (wait < 0)
      t.tv_sec = t.tv_usec = 0;
    event_add(arrival, &t);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Afterwards: ledgers and counters
** ===================================================================
*/

typedef struct Get {
  GString *text;
  int done;
} Get;

static void getdata(void *ud, const char *s, size_t n) {
  g_string_append_len(((Get *)ud)->text, s, (gssize)n);
}

static void getend(void *ud, HttpEnd end, int status) {
  (void)end;
  (void)status;
  ((Get *)ud)->done = 1;
}

static GString *get(mp_Addr at, const char *path) {
  static const HttpHooks hooks = {NULL, getdata, getend};
  Get g = {g_string_new(NULL), 0};
  HttpCall *c =
      http_call(base, at, EVHTTP_REQ_GET, path, NULL, NULL, 0, &hooks, &g);
  while (c != NULL && !g.done)
    event_base_loop(base, EVLOOP_ONCE);
  return g.text;
}

/* which of our requests ran what: id without attempt -> Runs */
typedef struct Runs {
  unsigned prefills, decodes, plains, decoded;
  uint32_t tokens; /* prompt tokens computed for it */
} Runs;

static Runs *runsof(GHashTable *t, const char *id) {
  char base_[64];
  Runs *r;
  g_strlcpy(base_, id, sizeof base_);
  if (strchr(base_, '.') != NULL)
    *strchr(base_, '.') = '\0';
  r = g_hash_table_lookup(t, base_);
  if (r == NULL) {
    r = g_new0(Runs, 1);
    g_hash_table_insert(t, g_strdup(base_), r);
  }
  return r;
}

static void ledgerline(GHashTable *t, const char *line) {
  json_t *j = json_loads(line, 0, NULL);
  const char *id = json_string_value(json_object_get(j, "id"));
  const char *op = json_string_value(json_object_get(j, "op"));
  const char *out = json_string_value(json_object_get(j, "outcome"));
  uint32_t tokens = (uint32_t)json_integer_value(json_object_get(j, "tokens"));
  uint32_t cached = (uint32_t)json_integer_value(json_object_get(j, "cached"));
  if (id != NULL && op != NULL && out != NULL) {
    Runs *r = runsof(t, id);
    if (strcmp(op, "prefill") == 0) {
      r->prefills++;
      r->tokens += tokens - MIN(tokens, cached);
      engine_prefill += tokens - MIN(tokens, cached);
      engine_prefill_cached += cached;
    }
    if (strcmp(op, "decode") == 0) {
      r->decodes++;
      r->decoded += strcmp(out, "done") == 0;
    }
    r->plains += strcmp(op, "plain") == 0;
  }
  json_decref(j);
}

static GHashTable *readledgers(void) {
  GHashTable *t =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  guint i;
  for (i = 0; i < endpoints->len; i++) {
    GString *s = get(g_array_index(endpoints, mp_Addr, i), "/ledger");
    gchar **lines = g_strsplit(s->str, "\n", -1);
    guint k;
    for (k = 0; lines[k] != NULL; k++) {
      if (lines[k][0] == '{')
        ledgerline(t, lines[k]);
    }
    g_strfreev(lines);
    g_string_free(s, TRUE);
  }
  return t;
}

static void readcounters(void) {
  guint i;
  int k;
  for (i = 0; i < operators->len; i++) {
    GString *s = get(g_array_index(operators, mp_Addr, i), "/metrics");
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

/* engine memory that is still held when all callers are gone */
static unsigned heldnow(void) {
  unsigned n = 0;
  guint i;
  for (i = 0; i < endpoints->len; i++) {
    GString *s = get(g_array_index(endpoints, mp_Addr, i), "/holds");
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

typedef struct Sums {
  unsigned sent, ended, good, wrong, silent, hung, spare, twice;
  unsigned ranthough, held;
  double wasted; /* share of computed prompt tokens that no answer used */
} Sums;

static int bydouble(gconstpointer a, gconstpointer b) {
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static double p95(GArray *a) {
  if (a->len == 0)
    return 0;
  g_array_sort(a, bydouble);
  return g_array_index(a, double, (guint)(a->len * 0.95));
}

/* promises, over all results and ledgers */
static Sums judge(GHashTable *runs) {
  Sums s = {0};
  GHashTable *keys =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  uint64_t used = 0;
  guint i;
  for (i = 0; i < results->len; i++) {
    const Result *r = &g_array_index(results, Result, i);
    char id[64];
    const Runs *run;
    g_strlcpy(id, r->id, sizeof id);
    if (strchr(id, '.') != NULL)
      *strchr(id, '.') = '\0';
    run = g_hash_table_lookup(runs, id);
    s.sent++;
    s.ended += r->ended;
    s.wrong += r->wrong;
    s.silent += r->silent;
    s.hung += r->hung;
    s.spare += strcmp(r->kind, "duplicate_request") == 0;
    s.good += ingood(&mix->classes[r->class_no], r);
    if (r->ended && r->key[0] != '\0' &&
        !g_hash_table_add(keys, g_strdup(r->key)))
      s.twice++;
    if (r->kind[0] != '\0' && r->ran == MP_RAN_NO && run != NULL)
      s.ranthough++;
    if (run != NULL && (r->ended || r->hung))
      used += run->tokens / MAX(run->prefills, 1);
  }
  s.wasted =
      engine_prefill > 0 ? 1 - (double)used / (double)engine_prefill : 0;
  s.wasted = MAX(s.wasted, 0);
  s.held = heldnow();
  g_hash_table_destroy(keys);
  return s;
}

static json_t *kinds(void) {
  json_t *j = json_object();
  guint i;
  for (i = 0; i < results->len; i++) {
    const Result *r = &g_array_index(results, Result, i);
    const char *k = r->kind[0] != '\0' ? r->kind : NULL;
    json_int_t n;
    if (k == NULL)
      continue;
    n = json_integer_value(json_object_get(j, k));
    json_object_set_new(j, k, json_integer(n + 1));
  }
  return j;
}

/* of those who wanted one answer and waited for it: share in target */
static double goodput(unsigned good, unsigned n, unsigned hung,
                      unsigned spare) {
  unsigned of = n - hung - spare;
  return of > 0 ? (double)good / of : 0;
}

static json_t *classreport(unsigned i) {
  Tally *t = &tally[i];
  return json_pack("{s:i, s:i, s:i, s:f, s:f, s:f}", "sent", (int)t->sent,
                   "ended", (int)t->ended, "good", (int)t->good, "goodput",
                   t->sent > 0 ? (double)t->good / t->sent : 0, "p95_first_ms",
                   p95(t->first), "p95_gap_ms", p95(t->gap));
}

static json_t *report(const Sums *s) {
  json_t *classes = json_object();
  json_t *cnt = json_object();
  unsigned i;
  for (i = 0; i < mix->classes_count; i++)
    json_object_set_new(classes, mix->classes[i].class_name, classreport(i));
  for (i = 0; i < MP_C_COUNT; i++)
    json_object_set_new(cnt, mp_counter_name((mp_Counter)i),
                        json_integer((json_int_t)counters[i]));
  return json_pack(
      "{s:s, s:I, s:f, s:i, s:i, s:i, s:f, s:f, s:f, s:{s:i, s:i, s:i, s:i, "
      "s:i}, s:o, s:o, s:o}",
      "label", args.label, "seed", (json_int_t)args.seed, "rate", args.rate,
      "sent", (int)s->sent, "ended", (int)s->ended, "good", (int)s->good,
      "goodput", goodput(s->good, s->sent, s->hung, s->spare), "good_per_s",
      (double)s->good / MAX(args.seconds, 1), "wasted_prefill", s->wasted,
      "broken", "wrong", (int)s->wrong, "answered_twice", (int)s->twice,
      "ran_though_told_not", (int)s->ranthough, "held_after", (int)s->held,
      "silent", (int)s->silent, "refusals", kinds(), "classes", classes,
      "counters", cnt);
}

static void print(const Sums *s) {
  unsigned i;
  printf("%-18s seed %-3" G_GUINT64_FORMAT
         " sent %-5u ended %-5u goodput %.3f (%.1f/s) wasted prefill %.4f "
         "broken %u silent %u\n",
         args.label, (guint64)args.seed, s->sent, s->ended,
         goodput(s->good, s->sent, s->hung, s->spare),
         (double)s->good / MAX(args.seconds, 1), s->wasted,
         s->wrong + s->twice + s->ranthough + s->held, s->silent);
  for (i = 0; i < mix->classes_count; i++) {
    Tally *t = &tally[i];
    printf("  %-18s sent %-5u good %.3f p95 first %7.0f ms gap %5.1f ms\n",
           mix->classes[i].class_name, t->sent,
           goodput(t->good, t->sent, t->hung, t->spare), p95(t->first),
           p95(t->gap));
  }
}

/* }================================================================== */

static const struct argp_option options[] = {
    {"mix", 'm', "FILE", 0, "The classes and their shares", 0},
    {"list", 'l', "FILE", 0, "The instance list", 0},
    {"rate", 'r', "N", 0, "Requests a second", 0},
    {"seconds", 's', "N", 0, "How long", 0},
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

static void drive(void) {
  struct timeval t = {0, 0};
  unsigned i;
  tally = g_new0(Tally, mix->classes_count);
  for (i = 0; i < mix->classes_count; i++) {
    tally[i].first = g_array_new(FALSE, FALSE, sizeof(double));
    tally[i].gap = g_array_new(FALSE, FALSE, sizeof(double));
  }
  started = g_get_monotonic_time();
  arrival = evtimer_new(base, onarrival, NULL);
  event_add(arrival, &t);
  while (open_ > 0 || event_pending(arrival, EV_TIMEOUT, NULL))
    event_base_loop(base, EVLOOP_ONCE);
}

/* what a dead instance held is freed when its leases are over */
static void settle(void) {
  struct timeval t = {(time_t)args.settle, 0};
  event_base_loopexit(base, &t);
  event_base_dispatch(base);
}

int main(int argc, char **argv) {
  static const struct argp argp = {options, parse, NULL, NULL,
                                   NULL,    NULL,  NULL};
  GHashTable *runs;
  Sums s;
  argp_parse(&argp, argc, argv, 0, NULL, NULL);
  base = event_base_new();
  entries = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  endpoints = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  operators = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  results = g_array_new(FALSE, FALSE, sizeof(Result));
  rnd = g_rand_new_with_seed((guint32)args.seed);
  mix = mix_read(args.mix);
  readlist(args.list);
  drive();
  settle();
  runs = readledgers();
  readcounters();
  s = judge(runs);
  print(&s);
  if (args.json != NULL) {
    FILE *f = fopen(args.json, "ae");
    json_t *j = report(&s);
    if (f != NULL) {
      json_dumpf(j, f, JSON_COMPACT | JSON_REAL_PRECISION(6));
      fputc('\n', f);
      fclose(f);
    }
    json_decref(j);
  }
  g_hash_table_destroy(runs);
  return s.wrong + s.twice + s.ranthough + s.held > 0;
}
