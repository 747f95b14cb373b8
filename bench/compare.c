/*
** compare.c
** Compares the reports of several runs of the load tool
**
**   compare REPORTS.jsonl [PLOT.svg]
**
** The reports are grouped by label. For each label the table shows means,
** the range (least to most over the runs) and the ratio of the mean goodput
** to that of the first label. The plot shows goodput and wasted prefill side
** by side, as an operator would look at them.
** The exit code is 2 when a file cannot be opened.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "madderpier.h"

/* Reports with further labels are ignored. */
#define LABELS_MAX 32

/* A statistic over the runs of a label. */
typedef struct Stat {
  double sum, least, most;
  unsigned n;
} Stat;

/* The runs that have the same label. */
typedef struct Group {
  char label[64];
  Stat goodput;        /* goodput, 0..1 */
  Stat wasted_prefill; /* share of prefilled tokens, 0..1 */
  Stat first_token_ms; /* p95 of the class with short prompts, ms */
  int broken;          /* broken guarantees, summed over the runs */
  unsigned silent;     /* requests that ended without answer or error */
} Group;

static Group groups[LABELS_MAX];
static int groups_count;

static void stat_add(Stat *s, double v) {
  s->least = s->n == 0 || v < s->least ? v : s->least;
  s->most = s->n == 0 || v > s->most ? v : s->most;
  s->sum += v;
  s->n++;
}

static double stat_mean(const Stat *s) {
  return s->n > 0 ? s->sum / s->n : 0;
}

/* Returns the group of 'label', added when missing; NULL: no room. */
static Group *find_group(const char *label) {
  int i;
  for (i = 0; i < groups_count; i++) {
    if (strcmp(groups[i].label, label) == 0)
      return &groups[i];
  }
  if (groups_count == LABELS_MAX)
    return NULL;
  g_strlcpy(groups[groups_count].label, label,
            sizeof groups[groups_count].label);
  return &groups[groups_count++];
}

/*
** Returns the p95 of the time to the first token, in ms, of the class with
** short prompts: "lookup" or "spoilage-flag", which come first in the mixes
** of bench/mixes/. Returns 0 when the report has neither.
*/
static double first_token_p95(const json_t *j) {
  const char *k;
  json_t *v;
  double p95 = 0;
  json_object_foreach(json_object_get(j, "classes"), k, v) {
    double p = json_number_value(json_object_get(v, "p95_first_ms"));
    if (strcmp(k, "lookup") == 0 || strcmp(k, "spoilage-flag") == 0)
      p95 = p;
  }
  return p95;
}

/* Adds a report to the group of its label. */
static void add_report(const json_t *j) {
  const char *label = json_string_value(json_object_get(j, "label"));
  const json_t *broken = json_object_get(j, "broken");
  Group *a = label != NULL ? find_group(label) : NULL;
  const char *k;
  json_t *v;
  if (a == NULL)
    return;
  stat_add(&a->goodput, json_number_value(json_object_get(j, "goodput")));
  stat_add(&a->wasted_prefill,
           json_number_value(json_object_get(j, "wasted_prefill")));
  stat_add(&a->first_token_ms, first_token_p95(j));
  json_object_foreach((json_t *)broken, k, v) {
    if (strcmp(k, "silent") == 0)
      a->silent += (unsigned)json_integer_value(v);
    else
      a->broken += (int)json_integer_value(v);
  }
}

static void print_table(void) {
  int i;
  printf("%-22s %4s  %-24s %-26s %-20s %s\n", "arm", "runs", "goodput (ratio)",
         "wasted prefill", "short p95 first ms", "broken silent");
  for (i = 0; i < groups_count; i++) {
    const Group *a = &groups[i];
    double base = stat_mean(&groups[0].goodput);
    printf("%-22s %4u  %.3f %.3f-%.3f (%.2f)  %.4f %.4f-%.4f      "
           "%5.0f %4.0f-%-5.0f     %d %u\n",
           a->label, a->goodput.n, stat_mean(&a->goodput), a->goodput.least,
           a->goodput.most, base > 0 ? stat_mean(&a->goodput) / base : 0,
           stat_mean(&a->wasted_prefill), a->wasted_prefill.least,
           a->wasted_prefill.most, stat_mean(&a->first_token_ms),
           a->first_token_ms.least, a->first_token_ms.most, a->broken,
           a->silent);
  }
}

/*
** {==================================================================
** The plot
** ===================================================================
*/

/* Sizes in pixels. */
#define ROW_HEIGHT 26
#define LABEL_WIDTH 180   /* of the column of labels */
#define BAR_WIDTH_MAX 240 /* of a bar at the greatest value */

/* Draws a mean as a bar, with a line for the range; 'most' is the scale. */
static void draw_bar(FILE *f, int x, int y, const Stat *s, double most,
                     const char *colour) {
  double w = most > 0 ? stat_mean(s) / most * BAR_WIDTH_MAX : 0;
  double a = most > 0 ? s->least / most * BAR_WIDTH_MAX : 0;
  double b = most > 0 ? s->most / most * BAR_WIDTH_MAX : 0;
  fprintf(f,
          "<rect x='%d' y='%d' width='%.1f' height='14' fill='%s'/>\n"
          "<line x1='%.1f' x2='%.1f' y1='%d' y2='%d' stroke='black'/>\n"
          "<text x='%.1f' y='%d'>%.4f</text>\n",
          x, y, w, colour, x + a, x + b, y + 7, y + 7, x + MAX(w, b) + 6,
          y + 11, stat_mean(s));
}

/* Writes the plot as SVG; returns 0 when the file cannot be opened. */
static int write_plot(const char *path) {
  FILE *f = fopen(path, "we");
  double most = 0;
  int i;
  if (f == NULL)
    return 0;
  for (i = 0; i < groups_count; i++)
    most = MAX(most, groups[i].wasted_prefill.most);
  fprintf(f,
          "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
          "font-family='sans-serif' font-size='11'>\n"
          "<rect width='100%%' height='100%%' fill='white'/>\n"
          "<text x='%d' y='18'>goodput (share in both targets)</text>\n"
          "<text x='%d' y='18'>wasted prefill (share of tokens)</text>\n",
          LABEL_WIDTH + 2 * (BAR_WIDTH_MAX + 80),
          40 + ROW_HEIGHT * groups_count, LABEL_WIDTH,
          LABEL_WIDTH + BAR_WIDTH_MAX + 80);
  for (i = 0; i < groups_count; i++) {
    int y = 30 + ROW_HEIGHT * i;
    fprintf(f, "<text x='8' y='%d'>%s</text>\n", y + 11, groups[i].label);
    draw_bar(f, LABEL_WIDTH, y, &groups[i].goodput, 1, "#3b7dd8");
    draw_bar(f, LABEL_WIDTH + BAR_WIDTH_MAX + 80, y, &groups[i].wasted_prefill,
             most, "#d8783b");
  }
  fprintf(f, "</svg>\n");
  fclose(f);
  return 1;
}

/* }================================================================== */

int main(int argc, char **argv) {
  FILE *f = argc > 1 ? fopen(argv[1], "re") : NULL;
  json_t *j;
  if (f == NULL) {
    fprintf(stderr, "usage: compare REPORTS.jsonl [PLOT.svg]\n");
    return 2;
  }
  while ((j = json_loadf(f, JSON_DISABLE_EOF_CHECK, NULL)) != NULL) {
    add_report(j);
    json_decref(j);
  }
  fclose(f);
  print_table();
  return argc > 2 && !write_plot(argv[2]) ? 2 : 0;
}
