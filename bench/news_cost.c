/*
** news_cost.c
** Measures what one changed route costs an instance, in processor time and
** bytes, for configurations of several sizes
**
**   news_cost ROUTES...
**
** Prints a row for each number of routes: the size of the configuration in
** bytes, alone, packed and as a patch of its predecessor, and the time in ms
** to read the store's list, to make and to apply the patch, and to read the
** configuration with and without its predecessor at hand.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "router/text_patch.h"

/* Each time is the mean of this many runs. */
#define RUNS_PER_FIGURE 50

/*
** Returns a list as the store answers it, with one configuration in which the
** route of index 'changed' has another timeout. The caller frees it with
** g_free. No route differs when 'changed' is not less than 'routes'.
*/
static char *list_text(guint routes, guint changed) {
  GString *text = g_string_new("{\"items\":[{\"Metadata\":{\"Name\":\"main\","
                               "\"Rev\":7},\"Spec\":{\"Version\":3,"
                               "\"Routes\":[");
  guint i;
  for (i = 0; i < routes; i++)
    g_string_append_printf(
        text,
        "%s{\"Name\":\"r%08x\",\"Host\":\"h%05x.example\",\"PathPrefix\":"
        "\"/p%06x/\",\"Kind\":\"safe\",\"Service\":\"app\",\"Attempts\":2,"
        "\"TimeoutMs\":%d,\"SloMs\":300,\"Priority\":1}",
        i > 0 ? "," : "", i * 2654435761u, i % 37 * 7919, i * 104729,
        i == changed ? 4001 : 4000);
  g_string_append(text, "],\"Services\":[{\"Name\":\"app\"}]}}],"
                        "\"more\":false,\"at\":9}");
  return g_string_free(text, FALSE);
}

/* Reads a list as the platform module does; the caller clears 'out'. */
static void parse_list(const char *text, StoreReply *out) {
  StoreCall call = {.operation = STORE_LIST};
  platform_read_store_reply(&call, 200, text, strlen(text), out, NULL);
}

/* Returns the text of the first object, which 'reply' owns. */
static const char *object_text(const StoreReply *reply) {
  return g_array_index(reply->objects, StoreObject, 0).text;
}

/* Returns the mean time of a run, in ms, when the runs began at 'began'. */
static double mean_ms_since(gint64 began) {
  return (double)(g_get_monotonic_time() - began) / RUNS_PER_FIGURE / MP_MS;
}

/* The functions time_* return the mean time of the operation, in ms. */

static double time_list(const char *text) {
  gint64 began = g_get_monotonic_time();
  int i;
  for (i = 0; i < RUNS_PER_FIGURE; i++) {
    StoreReply reply;
    parse_list(text, &reply);
    store_reply_clear(&reply);
  }
  return mean_ms_since(began);
}

static double time_configuration(const char *text, const RouteTable *older) {
  gint64 began = g_get_monotonic_time();
  int i;
  for (i = 0; i < RUNS_PER_FIGURE; i++)
    route_table_unref(platform_read_configuration(text, older, NULL));
  return mean_ms_since(began);
}

static double time_patch(const char *from, const char *to) {
  gint64 began = g_get_monotonic_time();
  int i;
  for (i = 0; i < RUNS_PER_FIGURE; i++)
    g_bytes_unref(text_patch_new(from, to));
  return mean_ms_since(began);
}

static double time_apply(const char *from, GBytes *patch) {
  gint64 began = g_get_monotonic_time();
  int i;
  for (i = 0; i < RUNS_PER_FIGURE; i++)
    g_free(text_patch_apply(from, g_bytes_get_data(patch, NULL),
                            g_bytes_get_size(patch)));
  return mean_ms_since(began);
}

/* Prints the row of a configuration with so many routes. */
static void print_costs(guint routes) {
  char *older_list = list_text(routes, routes);
  char *newer_list = list_text(routes, routes / 2);
  StoreReply older;
  StoreReply newer;
  RouteTable *table;
  GBytes *patch;
  GBytes *packed;
  parse_list(older_list, &older);
  parse_list(newer_list, &newer);
  table = platform_read_configuration(object_text(&older), NULL, NULL);
  patch = text_patch_new(object_text(&older), object_text(&newer));
  packed = text_patch_new("", object_text(&newer));
  printf("| %u | %zu | %zu | %zu | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
         routes, strlen(object_text(&newer)), g_bytes_get_size(packed),
         g_bytes_get_size(patch), time_list(newer_list),
         time_patch(object_text(&older), object_text(&newer)),
         time_apply(object_text(&older), patch),
         time_configuration(object_text(&newer), table),
         time_configuration(object_text(&newer), NULL));
  g_bytes_unref(patch);
  g_bytes_unref(packed);
  route_table_unref(table);
  store_reply_clear(&older);
  store_reply_clear(&newer);
  g_free(older_list);
  g_free(newer_list);
}

int main(int argc, char **argv) {
  int i;
  puts("| routes | bytes | packed | patch | list, ms | make patch, ms | "
       "apply, ms | read, ms | read alone, ms |");
  for (i = 1; i < argc; i++)
    print_costs((guint)strtoul(argv[i], NULL, 10));
  return 0;
}
