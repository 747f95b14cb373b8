/*
** slopes.c
** Measures what a node costs, with real cores in one process
**
**   slopes [NODES CENTRES WORKERS RATE [TOKENS]]
**
** Without arguments, it measures growing fleets, up to the largest one that
** the router is built for: 410 nodes, 10 data centres and 770 workers.
** Each measurement runs NODES cores in virtual time between stand-ins that
** answer after fixed delays: first idle, then through one change of the
** configuration, then with RATE requests per second.
** Bytes are those of the encoded datagrams with their UDP and IP headers, in
** and out; processor time is that of mp_feed and mp_next_effect alone; memory
** is what the allocator handed out for the cores. HTTP and the kernel are not
** included (docs/CAPACITY.md adds them, measured separately).
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

/* Durations of the phases, in virtual time. */
#define SETTLE_TIME (6 * MP_SEC) /* after the start; not measured */
#define IDLE_TIME (20 * MP_SEC)
#define LOADED_TIME (4 * MP_SEC)

/*
** {==================================================================
** Measurement
** ===================================================================
*/

/* The counters of Node, summed over all nodes. */
typedef struct Totals {
  double bytes, messages, cpu_seconds, store_calls, store_writes;
  double busiest_bytes;       /* bytes of the node that has most of them */
  double busiest_cpu_seconds; /* seconds of the node that has most of them */
} Totals;

static void reset_counters(Simulation *R) {
  unsigned i;
  for (i = 0; i < R->nodes; i++) {
    Node *N = &R->node[i];
    N->bytes = N->messages = N->store_calls = N->store_writes = 0;
    N->cpu_seconds = 0;
  }
  R->answered = R->refused = 0;
  memset(R->sent_messages_by_kind, 0, sizeof R->sent_messages_by_kind);
  memset(R->sent_bytes_by_kind, 0, sizeof R->sent_bytes_by_kind);
}

static Totals sum_counters(const Simulation *R) {
  Totals s = {0};
  unsigned i;
  for (i = 0; i < R->nodes; i++) {
    const Node *N = &R->node[i];
    s.bytes += (double)N->bytes;
    s.messages += (double)N->messages;
    s.cpu_seconds += N->cpu_seconds;
    s.store_calls += (double)N->store_calls;
    s.store_writes += (double)N->store_writes;
    s.busiest_bytes = MAX(s.busiest_bytes, (double)N->bytes);
    s.busiest_cpu_seconds = MAX(s.busiest_cpu_seconds, N->cpu_seconds);
  }
  return s;
}

/* Prints a line of costs; 'what' names the phase, of so many seconds. */
static void print_costs(const Simulation *R, const char *what, const Totals *s,
                        double seconds) {
  double n = R->nodes;
  printf("  %-8s per node and second: %6.0f B (busiest %6.0f), %5.1f "
         "messages, %6.3f%% of a core (busiest %6.3f%%); platform %6.1f "
         "calls/s\n",
         what, s->bytes / n / seconds, s->busiest_bytes / seconds,
         s->messages / n / seconds, 100 * s->cpu_seconds / n / seconds,
         100 * s->busiest_cpu_seconds / seconds, s->store_calls / seconds);
}

/* Prints messages and bytes by kind, and refused requests by error. */
static void print_messages_by_kind(const Simulation *R) {
  static const char *const names[] = {
      "",        "probe", "probe via", "reserve", "grant", "renew",
      "release", "claim", "settle",    "quota",   "fetch", "digest"};
  double seconds = (double)LOADED_TIME / MP_SEC * R->nodes;
  int i;
  printf("  sent     per node and second:");
  for (i = 1; i < MP_MSG_LAST; i++) {
    if (R->sent_messages_by_kind[i] > 0)
      printf(" %s %.1f (%.0f B)", names[i],
             (double)R->sent_messages_by_kind[i] / seconds,
             (double)R->sent_bytes_by_kind[i] / seconds);
  }
  printf("\n");
  for (i = 1; i < MP_ERR_COUNT; i++) {
    if (R->errors_by_kind[i] > 0)
      printf("  refused  %s: %" G_GUINT64_FORMAT "\n",
             mp_error_name((mp_Error)i), (guint64)R->errors_by_kind[i]);
  }
}

/*
** Publishes a new version of the configuration and runs until all nodes have
** it, for at most 60 s of virtual time. Prints the bytes that it took, less
** the traffic of an idle node, which is 'idle_bytes_per_s'.
*/
static void measure_config_change(Simulation *R, double idle_bytes_per_s) {
  double idle_bytes;
  mp_Time start;
  unsigned i;
  unsigned nodes_behind;
  Totals s;
  reset_counters(R);
  slopes_publish_config(R, 2);
  slopes_answer_watches(R);
  start = R->now;
  do {
    slopes_run_until(R, R->now + 10 * MP_MS);
    nodes_behind = 0;
    for (i = 0; i < R->nodes; i++) {
      mp_Status st;
      mp_status(R->node[i].core, &st);
      nodes_behind += st.config_version < 2;
    }
  } while (nodes_behind > 0 && R->now - start < 60 * MP_SEC);
  s = sum_counters(R);
  idle_bytes = idle_bytes_per_s * (double)(R->now - start) / MP_SEC;
  printf("  change   of a section of %zu bytes: everywhere after %.2f s (%u "
         "behind); %.0f B a node, busiest %.0f B, less the idle traffic\n",
         strlen(R->section[1]), (double)(R->now - start) / MP_SEC,
         nodes_behind, MAX(0, s.bytes / R->nodes - idle_bytes),
         MAX(0, s.busiest_bytes - idle_bytes));
}

/* Runs a fleet through all phases, prints the costs and frees it. */
static void measure_fleet(unsigned nodes, unsigned data_centres,
                          unsigned workers, double rate, uint32_t tokens) {
  Simulation R = {0};
  Totals s;
  size_t bytes_before;
  unsigned i;
  R.nodes = nodes;
  R.data_centres = data_centres;
  R.workers = workers;
  R.rate = rate;
  R.answer_tokens = tokens;
  R.now = 10 * MP_SEC;
  R.queue = g_ptr_array_new();
  R.watches = g_ptr_array_new();
  R.node = g_new0(Node, nodes);
  R.aborted_calls =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  R.instance_list = slopes_make_instance_list(&R);
  slopes_publish_config(&R, 1);
  bytes_before = mallinfo2().uordblks;
  slopes_start_cores(&R);
  slopes_run_until(&R, R.now + SETTLE_TIME);
  printf("%u nodes, %u data centres, %u workers: list %zu bytes\n", nodes,
         data_centres, workers, strlen(R.instance_list));
  printf("  memory   of a core, idle: %.0f KB\n",
         (double)(mallinfo2().uordblks - bytes_before) / nodes / 1024);
  reset_counters(&R);
  slopes_run_until(&R, R.now + IDLE_TIME);
  s = sum_counters(&R);
  print_costs(&R, "idle", &s, (double)IDLE_TIME / MP_SEC);
  measure_config_change(&R, s.bytes / nodes / ((double)IDLE_TIME / MP_SEC));
  reset_counters(&R);
  slopes_schedule(&R, slopes_new_event(&R, R.now, SCHEDULED_REQUEST, 0));
  slopes_run_until(&R, R.now + LOADED_TIME);
  s = sum_counters(&R);
  print_costs(&R, "loaded", &s, (double)LOADED_TIME / MP_SEC);
  printf("  request  at %.0f/s of %u tokens: %.1f messages and %.0f bytes "
         "each, %.0f us; %.2f us a token; answered %" G_GUINT64_FORMAT
         " refused %" G_GUINT64_FORMAT "\n",
         rate, tokens, s.messages / (rate * LOADED_TIME / MP_SEC),
         s.bytes / 2 / (rate * LOADED_TIME / MP_SEC),
         s.cpu_seconds * 1e6 / (rate * LOADED_TIME / MP_SEC),
         s.cpu_seconds * 1e6 / (rate * LOADED_TIME / MP_SEC) / tokens,
         (guint64)R.answered, (guint64)R.refused);
  print_messages_by_kind(&R);
  printf("  memory   of a core, loaded: %.0f KB\n",
         (double)(mallinfo2().uordblks - bytes_before) / nodes / 1024);
  fflush(stdout);
  for (i = 0; i < nodes; i++)
    mp_free(R.node[i].core);
  while (R.queue->len > 0) {
    ScheduledEvent *d = slopes_take_event(&R);
    g_free(d->msg);
    g_free(d->text);
    g_free(d);
  }
  g_ptr_array_unref(R.queue);
  g_hash_table_destroy(R.aborted_calls);
  g_free(R.node);
  g_free(R.instance_list);
  g_free(R.manifest);
  g_free(R.section[0]);
  g_free(R.section[1]);
  g_ptr_array_set_free_func(R.watches, g_free);
  g_ptr_array_unref(R.watches);
}

/* }================================================================== */

static double parse_number(const char *s) {
  return g_ascii_strtod(s, NULL);
}

int main(int argc, char **argv) {
  if (argc >= 5) {
    measure_fleet((unsigned)parse_number(argv[1]),
                  (unsigned)parse_number(argv[2]),
                  (unsigned)parse_number(argv[3]), parse_number(argv[4]),
                  argc > 5 ? (uint32_t)parse_number(argv[5]) : 40);
    return 0;
  }
  measure_fleet(9, 3, 12, 50, 40);
  measure_fleet(41, 1, 77, 250, 40);
  measure_fleet(82, 2, 154, 500, 40);
  measure_fleet(205, 5, 385, 1250, 40);
  measure_fleet(410, 10, 770, 2500, 40);
  measure_fleet(410, 10, 770, 2500, 80);
  return 0;
}
