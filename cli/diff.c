/*
** diff.c
** Differences between two configurations
** Lines by longest common subsequence; sections are short.
*/

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "cli/diff.h"

typedef struct Lines {
  gchar **s;
  guint n;
} Lines;

static Lines split(GBytes *b) {
  Lines l;
  gsize n = 0;
  const char *s = b != NULL ? g_bytes_get_data(b, &n) : "";
  gchar *copy = g_strndup(s, n);
  g_strchomp(copy);
  l.s = g_strsplit(copy, "\n", -1);
  l.n = g_strv_length(l.s);
  g_free(copy);
  return l;
}

/* lengths of common subsequences of the tails from (i, j) */
static guint *table(const Lines *a, const Lines *b) {
  guint w = b->n + 1;
  guint *t = g_new0(guint, (gsize)(a->n + 1) * w);
  guint i;
  guint j;
  for (i = a->n; i-- > 0;) {
    for (j = b->n; j-- > 0;) {
      guint *at = &t[i * w + j];
      if (strcmp(a->s[i], b->s[j]) == 0)
        *at = t[(i + 1) * w + j + 1] + 1;
      else
        *at = MAX(t[(i + 1) * w + j], t[i * w + j + 1]);
    }
  }
  return t;
}

static void lines(GBytes *x, GBytes *y) {
  Lines a = split(x);
  Lines b = split(y);
  guint *t = table(&a, &b);
  guint w = b.n + 1;
  guint i = 0;
  guint j = 0;
  while (i < a.n || j < b.n) {
    if (i < a.n && j < b.n && strcmp(a.s[i], b.s[j]) == 0) {
      i++;
      j++;
    } else if (j < b.n && (i == a.n || t[i * w + j + 1] >= t[(i + 1) * w + j]))
      printf("+%s\n", b.s[j++]);
    else
      printf("-%s\n", a.s[i++]);
  }
  g_free(t);
  g_strfreev(a.s);
  g_strfreev(b.s);
}

static GBytes *textof(const Draft *d, const char *name) {
  unsigned i;
  for (i = 0; i < d->man.n; i++) {
    if (strcmp(d->man.section[i].name, name) == 0)
      return d->text[i];
  }
  return NULL;
}

static int differs(GBytes *x, GBytes *y) {
  return x == NULL || y == NULL || !g_bytes_equal(x, y);
}

/* "new", "changed" or "removed"; NULL when the section is the same */
static const char *state(const Draft *a, const Draft *b, const char *name) {
  GBytes *old = textof(a, name);
  GBytes *new = textof(b, name);
  if (new == NULL)
    return "removed";
  if (old == NULL)
    return "new";
  return differs(old, new) ? "changed" : NULL;
}

static int addstates(json_t *list, const Draft *a, const Draft *b,
                     const Draft *names, int onlygone) {
  int n = 0;
  unsigned i;
  for (i = 0; i < names->man.n; i++) {
    const char *name = names->man.section[i].name;
    const char *s = state(a, b, name);
    if (s == NULL || (onlygone && strcmp(s, "removed") != 0))
      continue;
    json_array_append_new(list,
                          json_pack("{s:s, s:s}", "section", name, "is", s));
    n++;
  }
  return n;
}

int diff_json(const Draft *a, const Draft *b) {
  json_t *list = json_array();
  int n = addstates(list, a, b, b, 0) + addstates(list, a, b, a, 1);
  json_t *j = json_pack("{s:I, s:o}", "from", (json_int_t)a->man.version,
                        "sections", list);
  json_dumpf(j, stdout, JSON_INDENT(1));
  printf("\n");
  json_decref(j);
  return n;
}

int diff_print(const Draft *a, const Draft *b) {
  int n = 0;
  unsigned i;
  for (i = 0; i < b->man.n; i++) {
    const char *name = b->man.section[i].name;
    GBytes *old = textof(a, name);
    if (!differs(old, b->text[i]))
      continue;
    printf("--- %s (%s)\n", name, old != NULL ? "changed" : "new");
    lines(old, b->text[i]);
    n++;
  }
  for (i = 0; i < a->man.n; i++) {
    if (textof(b, a->man.section[i].name) != NULL)
      continue;
    printf("--- %s (removed)\n", a->man.section[i].name);
    n++;
  }
  return n;
}
