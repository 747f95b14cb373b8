/*
** news_cost.c
** What one changed route costs an instance in processor time and bytes, by the
** number of routes there are
**
**   news_cost ROUTES...
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "router/text_patch.h"

/* each figure is the mean of so many runs */
#define RUNS 50

/* a configuration in which 'changed' has another time-out, as the store lists
** it; g_free it */
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

static void read_list(const char *text, StoreReply *out) {
  StoreCall call = {.operation = STORE_LIST};
  platform_read_store_reply(&call, 200, text, strlen(text), out, NULL);
}

static const char *content(const StoreReply *reply) {
  return g_array_index(reply->objects, StoreObject, 0).text;
}

static double milliseconds_since(gint64 began) {
  return (double)(g_get_monotonic_time() - began) / RUNS / MP_MS;
}

static double time_list(const char *text) {
  gint64 began = g_get_monotonic_time();
  int i;
  for (i = 0; i < RUNS; i++) {
    StoreReply reply;
    read_list(text, &reply);
    store_reply_clear(&reply);
  }
  return milliseconds_since(began);
}

static double time_configuration(const char *text, const RouteTable *older) {
  gint64 began = g_get_monotonic_time();
  int i;
  for (i = 0; i < RUNS; i++)
    route_table_unref(platform_read_configuration(text, older, NULL));
  return milliseconds_since(began);
}

static double time_patch(const char *from, const char *to) {
  gint64 began = g_get_monotonic_time();
  int i;
  for (i = 0; i < RUNS; i++)
    g_bytes_unref(text_patch_new(from, to));
  return milliseconds_since(began);
}

static double time_apply(const char *from, GBytes *patch) {
  gint64 began = g_get_monotonic_time();
  int i;
  for (i = 0; i < RUNS; i++)
    g_free(text_patch_apply(from, g_bytes_get_data(patch, NULL),
                            g_bytes_get_size(patch)));
  return milliseconds_since(began);
}

static void measure(guint routes) {
  char *older_list = list_text(routes, routes);
  char *newer_list = list_text(routes, routes / 2);
  StoreReply older;
  StoreReply newer;
  RouteTable *table;
  GBytes *patch;
  GBytes *packed;
  read_list(older_list, &older);
  read_list(newer_list, &newer);
  table = platform_read_configuration(content(&older), NULL, NULL);
  patch = text_patch_new(content(&older), content(&newer));
  packed = text_patch_new("", content(&newer));
  printf("| %u | %zu | %zu | %zu | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
         routes, strlen(content(&newer)), g_bytes_get_size(packed),
         g_bytes_get_size(patch), time_list(newer_list),
         time_patch(content(&older), content(&newer)),
         time_apply(content(&older), patch),
         time_configuration(content(&newer), table),
         time_configuration(content(&newer), NULL));
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
    measure((guint)strtoul(argv[i], NULL, 10));
  return 0;
}
