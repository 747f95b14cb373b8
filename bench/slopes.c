/*
** slopes.c
** What a node spends, measured on real cores in one process
**
**   slopes [NODES CENTRES WORKERS RATE [TOKENS]]
**
** Without arguments: a table over growing sizes, up to the letter's. Each
** line runs NODES cores in virtual time between stand-ins that answer at
** once, first idle, then with RATE requests a second, then through one
** change of configuration. Bytes are those of the encoded datagrams with
** their UDP and IP headers; processor time is that of mp_feed and
*mp_next_effect
** alone; memory is what the allocator handed out for the cores. HTTP and
** the kernel are not in it (docs/CAPACITY.md adds them, measured apart).
*/

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/slopes.h"
#include "conf/conf.h"
#include "wire/rpc.h"

#define SETTLE (6 * MP_SEC)
#define IDLE (20 * MP_SEC)
#define LOADED (4 * MP_SEC)

/*
** {==================================================================
** Measuring
** ===================================================================
*/

typedef struct Sum {
  double bytes, msgs, cpu, store, writes; /* of all nodes */
  double most;                            /* bytes of the busiest */
  double mostcpu;
} Sum;

static void zero(Run *R) {
  unsigned i;
  for (i = 0; i < R->nodes; i++) {
    Node *N = &R->node[i];
    N->bytes = N->msgs = N->store = N->writes = 0;
    N->cpu = 0;
  }
  R->answered = R->refused = 0;
  memset(R->kindmsgs, 0, sizeof R->kindmsgs);
  memset(R->kindbytes, 0, sizeof R->kindbytes);
}

static Sum sum(const Run *R) {
  Sum s = {0};
  unsigned i;
  for (i = 0; i < R->nodes; i++) {
    const Node *N = &R->node[i];
    s.bytes += (double)N->bytes;
    s.msgs += (double)N->msgs;
    s.cpu += N->cpu;
    s.store += (double)N->store;
    s.writes += (double)N->writes;
    s.most = MAX(s.most, (double)N->bytes);
    s.mostcpu = MAX(s.mostcpu, N->cpu);
  }
  return s;
}

static void show(const Run *R, const char *what, const Sum *s,
                 double seconds) {
  double n = R->nodes;
  printf("  %-8s per node and second: %6.0f B (busiest %6.0f), %5.1f "
         "messages, %6.3f%% of a core (busiest %6.3f%%); platform %6.1f "
         "calls/s\n",
         what, s->bytes / n / seconds, s->most / seconds,
         s->msgs / n / seconds, 100 * s->cpu / n / seconds,
         100 * s->mostcpu / seconds, s->store / seconds);
}

static void showkinds(const Run *R) {
  static const char *const names[] = {
      "",        "probe", "probe via", "reserve", "grant", "renew",
      "release", "claim", "settle",    "quota",   "fetch", "digest"};
  double seconds = (double)LOADED / MP_SEC * R->nodes;
  int i;
  printf("  sent     per node and second:");
  for (i = 1; i < MP_MSG_LAST; i++) {
    if (R->kindmsgs[i] > 0)
      printf(" %s %.1f (%.0f B)", names[i], (double)R->kindmsgs[i] / seconds,
             (double)R->kindbytes[i] / seconds);
  }
  printf("\n");
  for (i = 1; i < MP_ERR_COUNT; i++) {
    if (R->errors[i] > 0)
      printf("  refused  %s: %" G_GUINT64_FORMAT "\n",
             mp_error_name((mp_Error)i), (guint64)R->errors[i]);
  }
}

static void change(Run *R, double idle) {
  double spent;
  mp_Time begun;
  unsigned i;
  unsigned behind;
  Sum s;
  zero(R);
  slopes_publish_config(R, 2);
  slopes_answer_watches(R);
  begun = R->now;
  do {
    slopes_run_until(R, R->now + 10 * MP_MS);
    behind = 0;
    for (i = 0; i < R->nodes; i++) {
      mp_Status st;
      mp_status(R->node[i].M, &st);
      behind += st.config_version < 2;
    }
  } while (behind > 0 && R->now - begun < 60 * MP_SEC);
  s = sum(R);
  spent = idle * (double)(R->now - begun) / MP_SEC;
  printf("  change   of a section of %zu bytes: everywhere after %.2f s (%u "
         "behind); %.0f B a node, busiest %.0f B, less the idle traffic\n",
         strlen(R->section[1]), (double)(R->now - begun) / MP_SEC, behind,
         MAX(0, s.bytes / R->nodes - spent), MAX(0, s.most - spent));
}

static void measure(unsigned nodes, unsigned centres, unsigned workers,
                    double rate, uint32_t tokens) {
  Run R = {0};
  Sum s;
  size_t before_;
  unsigned i;
  R.nodes = nodes;
  R.centres = centres;
  R.workers = workers;
  R.rate = rate;
  R.tokens = tokens;
  R.now = 10 * MP_SEC;
  R.heap = g_ptr_array_new();
  R.watches = g_ptr_array_new();
  R.node = g_new0(Node, nodes);
  R.gone = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  R.list = slopes_make_instance_list(&R);
  slopes_publish_config(&R, 1);
  before_ = mallinfo2().uordblks;
  slopes_start_cores(&R);
  slopes_run_until(&R, R.now + SETTLE);
  printf("%u nodes, %u data centres, %u workers: list %zu bytes\n", nodes,
         centres, workers, strlen(R.list));
  printf("  memory   of a core, idle: %.0f KB\n",
         (double)(mallinfo2().uordblks - before_) / nodes / 1024);
  zero(&R);
  slopes_run_until(&R, R.now + IDLE);
  s = sum(&R);
  show(&R, "idle", &s, (double)IDLE / MP_SEC);
  change(&R, s.bytes / nodes / ((double)IDLE / MP_SEC));
  zero(&R);
  slopes_schedule(&R, slopes_new_event(&R, R.now, SCHEDULED_REQUEST, 0));
  slopes_run_until(&R, R.now + LOADED);
  s = sum(&R);
  show(&R, "loaded", &s, (double)LOADED / MP_SEC);
  printf("  request  at %.0f/s of %u tokens: %.1f messages and %.0f bytes "
         "each, %.0f us; %.2f us a token; answered %" G_GUINT64_FORMAT
         " refused %" G_GUINT64_FORMAT "\n",
         rate, tokens, s.msgs / (rate * LOADED / MP_SEC),
         s.bytes / 2 / (rate * LOADED / MP_SEC),
         s.cpu * 1e6 / (rate * LOADED / MP_SEC),
         s.cpu * 1e6 / (rate * LOADED / MP_SEC) / tokens, (guint64)R.answered,
         (guint64)R.refused);
  showkinds(&R);
  printf("  memory   of a core, loaded: %.0f KB\n",
         (double)(mallinfo2().uordblks - before_) / nodes / 1024);
  fflush(stdout);
  for (i = 0; i < nodes; i++)
    mp_free(R.node[i].M);
  while (R.heap->len > 0) {
    Due *d = slopes_take_event(&R);
    g_free(d->msg);
    g_free(d->text);
    g_free(d);
  }
  g_ptr_array_unref(R.heap);
  g_hash_table_destroy(R.gone);
  g_free(R.node);
  g_free(R.list);
  g_free(R.manifest);
  g_free(R.section[0]);
  g_free(R.section[1]);
  g_ptr_array_set_free_func(R.watches, g_free);
  g_ptr_array_unref(R.watches);
}

/* }================================================================== */

static double number(const char *s) {
  return g_ascii_strtod(s, NULL);
}

int main(int argc, char **argv) {
  if (argc >= 5) {
    measure((unsigned)number(argv[1]), (unsigned)number(argv[2]),
            (unsigned)number(argv[3]), number(argv[4]),
            argc > 5 ? (uint32_t)number(argv[5]) : 40);
    return 0;
  }
  measure(9, 3, 12, 50, 40);
  measure(41, 1, 77, 250, 40);
  measure(82, 2, 154, 500, 40);
  measure(205, 5, 385, 1250, 40);
  measure(410, 10, 770, 2500, 40);
  measure(410, 10, 770, 2500, 80);
  return 0;
}
