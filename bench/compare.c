/*
** compare.c
** Compares runs of the load tool
**
**   compare REPORTS.jsonl [PLOT.svg]
**
** Groups the reports by label; prints means, spread (least to most over the
** seeds) and the ratio to the first label. The plot shows goodput and
** wasted prefill side by side, as an operator would look at them.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "madderpier.h"

#define MAXARMS 32

typedef struct Stat {
  double sum, least, most;
  unsigned n;
} Stat;

typedef struct Arm {
  char label[64];
  Stat good, wasted, short_first;
  int broken;
  unsigned silent;
} Arm;

static Arm arms[MAXARMS];
static int narms;

static void add(Stat *s, double v) {
  s->least = s->n == 0 || v < s->least ? v : s->least;
  s->most = s->n == 0 || v > s->most ? v : s->most;
  s->sum += v;
  s->n++;
}

static double mean(const Stat *s) {
  return s->n > 0 ? s->sum / s->n : 0;
}

static Arm *armof(const char *label) {
  int i;
  for (i = 0; i < narms; i++) {
    if (strcmp(arms[i].label, label) == 0)
      return &arms[i];
  }
  if (narms == MAXARMS)
    return NULL;
  g_strlcpy(arms[narms].label, label, sizeof arms[narms].label);
  return &arms[narms++];
}

/* p95 of the first token of the class that comes first in the mix */
static double shortfirst(const json_t *j) {
  const char *k;
  json_t *v;
  double worst = 0;
  json_object_foreach(json_object_get(j, "classes"), k, v) {
    double p = json_number_value(json_object_get(v, "p95_first_ms"));
    if (strcmp(k, "lookup") == 0 || strcmp(k, "spoilage-flag") == 0)
      worst = p;
  }
  return worst;
}

static void take(const json_t *j) {
  const char *label = json_string_value(json_object_get(j, "label"));
  const json_t *broken = json_object_get(j, "broken");
  Arm *a = label != NULL ? armof(label) : NULL;
  const char *k;
  json_t *v;
  if (a == NULL)
    return;
  add(&a->good, json_number_value(json_object_get(j, "goodput")));
  add(&a->wasted, json_number_value(json_object_get(j, "wasted_prefill")));
  add(&a->short_first, shortfirst(j));
  json_object_foreach((json_t *)broken, k, v) {
    if (strcmp(k, "silent") == 0)
      a->silent += (unsigned)json_integer_value(v);
    else
      a->broken += (int)json_integer_value(v);
  }
}

static void print(void) {
  int i;
  printf("%-22s %4s  %-24s %-26s %-20s %s\n", "arm", "runs", "goodput (ratio)",
         "wasted prefill", "short p95 first ms", "broken silent");
  for (i = 0; i < narms; i++) {
    const Arm *a = &arms[i];
    double base = mean(&arms[0].good);
    printf("%-22s %4u  %.3f %.3f-%.3f (%.2f)  %.4f %.4f-%.4f      "
           "%5.0f %4.0f-%-5.0f     %d %u\n",
           a->label, a->good.n, mean(&a->good), a->good.least, a->good.most,
           base > 0 ? mean(&a->good) / base : 0, mean(&a->wasted),
           a->wasted.least, a->wasted.most, mean(&a->short_first),
           a->short_first.least, a->short_first.most, a->broken, a->silent);
  }
}

/*
** {==================================================================
** The plot
** ===================================================================
*/

#define ROW 26
#define LEFT 180
#define WIDE 240

static void bar(FILE *f, int x, int y, const Stat *s, double most,
                const char *colour) {
  double w = most > 0 ? mean(s) / most * WIDE : 0;
  double a = most > 0 ? s->least / most * WIDE : 0;
  double b = most > 0 ? s->most / most * WIDE : 0;
  fprintf(f,
          "<rect x='%d' y='%d' width='%.1f' height='14' fill='%s'/>\n"
          "<line x1='%.1f' x2='%.1f' y1='%d' y2='%d' stroke='black'/>\n"
          "<text x='%.1f' y='%d'>%.4f</text>\n",
          x, y, w, colour, x + a, x + b, y + 7, y + 7, x + MAX(w, b) + 6,
          y + 11, mean(s));
}

static int plot(const char *path) {
  FILE *f = fopen(path, "we");
  double most = 0;
  int i;
  if (f == NULL)
    return 0;
  for (i = 0; i < narms; i++)
    most = MAX(most, arms[i].wasted.most);
  fprintf(f,
          "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
          "font-family='sans-serif' font-size='11'>\n"
          "<rect width='100%%' height='100%%' fill='white'/>\n"
          "<text x='%d' y='18'>goodput (share in both targets)</text>\n"
          "<text x='%d' y='18'>wasted prefill (share of tokens)</text>\n",
          LEFT + 2 * (WIDE + 80), 40 + ROW * narms, LEFT, LEFT + WIDE + 80);
  for (i = 0; i < narms; i++) {
    int y = 30 + ROW * i;
    fprintf(f, "<text x='8' y='%d'>%s</text>\n", y + 11, arms[i].label);
    bar(f, LEFT, y, &arms[i].good, 1, "#3b7dd8");
    bar(f, LEFT + WIDE + 80, y, &arms[i].wasted, most, "#d8783b");
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
    take(j);
    json_decref(j);
  }
  fclose(f);
  print();
  return argc > 2 && !plot(argv[2]) ? 2 : 0;
}
