/*
** trace.c
** One request's story, from logs
*/

#include <errno.h>
#include <string.h>

#include <glib.h>

#include "cli/trace.h"

#define LINE_SIZE 4096
/* news of endpoints are printed from and to so long around the story */
#define STATES_BEFORE (10 * (gint64)G_USEC_PER_SEC)
#define STATES_AFTER (5 * (gint64)G_USEC_PER_SEC)

typedef struct Line {
  char *text;   /* from the time on */
  char *source; /* the file's name */
  gint64 at;    /* microseconds of the day's clock */
  guint order;  /* tells lines of the same time apart */
} Line;

typedef struct Story {
  const char *request;
  GPtrArray *lines;      /* Line about the request */
  GPtrArray *states;     /* Line about an endpoint's state */
  GHashTable *endpoints; /* ids that the request met */
} Story;

static void line_free(gpointer p) {
  Line *line = p;
  g_free(line->text);
  g_free(line->source);
  g_free(line);
}

/* the value of " key=", or NULL; the caller frees it */
static char *field(const char *text, const char *key) {
  char *pattern = g_strdup_printf(" %s=", key);
  const char *at = strstr(text, pattern);
  char *value = NULL;
  if (at != NULL) {
    at += strlen(pattern);
    value = g_strndup(at, strcspn(at, " \n"));
  }
  g_free(pattern);
  return value;
}

/* where the time of a log line begins, or NULL */
static const char *time_in(const char *text) {
  const char *at = text;
  for (; *at != '\0'; at++) {
    if (g_ascii_isdigit(at[0]) && strlen(at) > 24 && at[4] == '-' &&
        at[7] == '-' && at[10] == 'T' && at[23] == 'Z')
      return at;
  }
  return NULL;
}

static gint64 read_time(const char *text) {
  char *iso = g_strndup(text, 24);
  GDateTime *time = g_date_time_new_from_iso8601(iso, NULL);
  gint64 at = 0;
  if (time != NULL) {
    at = g_date_time_to_unix(time) * G_USEC_PER_SEC +
         g_date_time_get_microsecond(time);
    g_date_time_unref(time);
  }
  g_free(iso);
  return at;
}

static Line *line_new(const char *text, const char *source, guint order) {
  Line *line = g_new0(Line, 1);
  line->text = g_strchomp(g_strdup(text));
  line->source = g_strdup(source);
  line->at = read_time(text);
  line->order = order;
  return line;
}

static void take(Story *story, const char *raw, const char *source) {
  const char *text = time_in(raw);
  char *request;
  char *endpoint;
  guint order = story->lines->len + story->states->len;
  if (text == NULL)
    return;
  request = field(text, "request");
  endpoint = field(text, "endpoint");
  if (request != NULL && strcmp(request, story->request) == 0) {
    g_ptr_array_add(story->lines, line_new(text, source, order));
    if (endpoint != NULL)
      g_hash_table_add(story->endpoints, g_strdup(endpoint));
  } else if (request == NULL && endpoint != NULL)
    g_ptr_array_add(story->states, line_new(text, source, order));
  g_free(request);
  g_free(endpoint);
}

static gboolean read_file(Story *story, const char *name) {
  gboolean standard = strcmp(name, "-") == 0;
  FILE *in = standard ? stdin : fopen(name, "re");
  char raw[LINE_SIZE];
  if (in == NULL) {
    fprintf(stderr, "trace: cannot read '%s': %s; check the path\n", name,
            g_strerror(errno));
    return FALSE;
  }
  while (fgets(raw, sizeof raw, in) != NULL)
    take(story, raw, name);
  if (!standard)
    fclose(in);
  return TRUE;
}

static gint by_time(gconstpointer a, gconstpointer b) {
  const Line *x = *(const Line *const *)a;
  const Line *y = *(const Line *const *)b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static void print_line(const Line *line, gint64 origin, FILE *out) {
  fprintf(out, "%+9.3f ms  %s  %s\n", (double)(line->at - origin) / 1000,
          line->source, line->text);
}

/* its text without the time, which tells equal news of instances apart */
static const char *news_of(const Line *line) {
  const char *space = strchr(line->text, ' ');
  return space != NULL ? space : line->text;
}

/* what was said of the endpoints around that time, each piece once */
static void print_states(const Story *story, gint64 first, gint64 last,
                         FILE *out) {
  GHashTable *told = g_hash_table_new(g_str_hash, g_str_equal);
  guint i;
  for (i = 0; i < story->states->len; i++) {
    const Line *line = story->states->pdata[i];
    char *endpoint = field(line->text, "endpoint");
    if (g_hash_table_contains(story->endpoints, endpoint) &&
        line->at >= first - STATES_BEFORE && line->at <= last + STATES_AFTER &&
        g_hash_table_add(told, (gpointer)news_of(line)))
      print_line(line, first, out);
    g_free(endpoint);
  }
  g_hash_table_destroy(told);
}

static void print(const Story *story, FILE *out) {
  const Line *first = story->lines->pdata[0];
  const Line *last = story->lines->pdata[story->lines->len - 1];
  guint i;
  for (i = 0; i < story->lines->len; i++)
    print_line(story->lines->pdata[i], first->at, out);
  fprintf(out, "endpoints that it met:\n");
  print_states(story, first->at, last->at, out);
}

int trace_print(const char *request, char *const *files, int count,
                FILE *out) {
  Story story = {request, g_ptr_array_new_with_free_func(line_free),
                 g_ptr_array_new_with_free_func(line_free),
                 g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
  int found = 0;
  int i;
  for (i = 0; i < count && found == 0; i++)
    found = read_file(&story, files[i]) ? 0 : -1;
  if (count == 0)
    read_file(&story, "-");
  g_ptr_array_sort(story.lines, by_time);
  g_ptr_array_sort(story.states, by_time);
  if (found == 0) {
    found = (int)story.lines->len;
    if (found > 0)
      print(&story, out);
  }
  g_ptr_array_free(story.lines, TRUE);
  g_ptr_array_free(story.states, TRUE);
  g_hash_table_destroy(story.endpoints);
  return found;
}
