/*
** diff.c
** Prints the differences between two configurations
**
** Lines are compared by their longest common subsequence, whose table takes
** the product of the two lengths; sections are short enough for that.
*/

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "cli/diff.h"

typedef struct Lines {
  gchar **s;
  guint n;
} Lines;

static Lines split_lines(GBytes *b) {
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

/*
** t[i * (b->n + 1) + j] is the length of the longest common subsequence of the
** lines of 'a' from i on and those of 'b' from j on; the caller frees the
** table
*/
static guint *lcs_table(const Lines *a, const Lines *b) {
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

/* prints the lines that differ; a NULL section has no text */
static void print_lines(GBytes *x, GBytes *y) {
  Lines a = split_lines(x);
  Lines b = split_lines(y);
  guint *t = lcs_table(&a, &b);
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

/* the text of the section of this name, the draft's; NULL if there is none */
static GBytes *section_text(const Draft *d, const char *name) {
  unsigned i;
  for (i = 0; i < d->manifest.n; i++) {
    if (strcmp(d->manifest.section[i].name, name) == 0)
      return d->text[i];
  }
  return NULL;
}

static int is_different(GBytes *x, GBytes *y) {
  return x == NULL || y == NULL || !g_bytes_equal(x, y);
}

/* "new", "changed" or "removed"; NULL when the section is the same */
static const char *section_state(const Draft *a, const Draft *b,
                                 const char *name) {
  GBytes *old = section_text(a, name);
  GBytes *new = section_text(b, name);
  if (new == NULL)
    return "removed";
  if (old == NULL)
    return "new";
  return is_different(old, new) ? "changed" : NULL;
}

/* adds a row to 'list' for each section of 'names' that differs; returns their
** number */
static int add_section_states(json_t *list, const Draft *a, const Draft *b,
                              const Draft *names, int only_removed) {
  int n = 0;
  unsigned i;
  for (i = 0; i < names->manifest.n; i++) {
    const char *name = names->manifest.section[i].name;
    const char *s = section_state(a, b, name);
    if (s == NULL || (only_removed && strcmp(s, "removed") != 0))
      continue;
    json_array_append_new(list,
                          json_pack("{s:s, s:s}", "section", name, "is", s));
    n++;
  }
  return n;
}

int diff_json(const Draft *a, const Draft *b) {
  json_t *list = json_array();
  int n = add_section_states(list, a, b, b, 0) +
          add_section_states(list, a, b, a, 1);
  json_t *j = json_pack("{s:I, s:o}", "from", (json_int_t)a->manifest.version,
                        "sections", list);
  json_dumpf(j, stdout, JSON_INDENT(1));
  printf("\n");
  json_decref(j);
  return n;
}

int diff_print(const Draft *a, const Draft *b) {
  int n = 0;
  unsigned i;
  for (i = 0; i < b->manifest.n; i++) {
    const char *name = b->manifest.section[i].name;
    GBytes *old = section_text(a, name);
    if (!is_different(old, b->text[i]))
      continue;
    printf("--- %s (%s)\n", name, old != NULL ? "changed" : "new");
    print_lines(old, b->text[i]);
    n++;
  }
  for (i = 0; i < a->manifest.n; i++) {
    if (section_text(b, a->manifest.section[i].name) != NULL)
      continue;
    printf("--- %s (removed)\n", a->manifest.section[i].name);
    n++;
  }
  return n;
}
