/*
** trace.c
** Prints all that happened to one request, from the logs of instances
*/

#include <errno.h>
#include <string.h>

#include <glib.h>

#include "cli/trace.h"

#define LINE_SIZE 4096
/* lines about endpoints are printed from this long before the first line of
** the request until this long after its last */
#define ENDPOINT_LINES_BEFORE (10 * (gint64)G_USEC_PER_SEC)
#define ENDPOINT_LINES_AFTER (5 * (gint64)G_USEC_PER_SEC)

typedef struct Line {
  char *text;   /* the line from its time on */
  char *source; /* name of the file */
  gint64 at;    /* microseconds since 1970, by the clock of its instance */
  guint order;  /* of reading; orders lines of the same time */
} Line;

typedef struct Trace {
  const char *request;
  GPtrArray *lines;          /* Line that names the request */
  GPtrArray *endpoint_lines; /* Line that names an endpoint but no request */
  GHashTable *endpoints;     /* IDs of those that the request was sent to */
} Trace;

static void line_free(gpointer p) {
  Line *line = p;
  g_free(line->text);
  g_free(line->source);
  g_free(line);
}

/* the value of " key=", or NULL; the caller frees it */
static char *field_value(const char *text, const char *key) {
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

/* where the time of a log line begins (2024-01-31T12:00:00.000Z), or NULL */
static const char *find_time(const char *text) {
  const char *at = text;
  for (; *at != '\0'; at++) {
    if (g_ascii_isdigit(at[0]) && strlen(at) > 24 && at[4] == '-' &&
        at[7] == '-' && at[10] == 'T' && at[23] == 'Z')
      return at;
  }
  return NULL;
}

/* the time in microseconds since 1970; 0 when it is malformed */
static gint64 parse_time(const char *text) {
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
  line->at = parse_time(text);
  line->order = order;
  return line;
}

/* keeps the line if it names the request, or an endpoint but no request */
static void add_line(Trace *trace, const char *raw, const char *source) {
  const char *text = find_time(raw);
  char *request;
  char *endpoint;
  guint order = trace->lines->len + trace->endpoint_lines->len;
  if (text == NULL)
    return;
  request = field_value(text, "request");
  endpoint = field_value(text, "endpoint");
  if (request != NULL && strcmp(request, trace->request) == 0) {
    g_ptr_array_add(trace->lines, line_new(text, source, order));
    if (endpoint != NULL)
      g_hash_table_add(trace->endpoints, g_strdup(endpoint));
  } else if (request == NULL && endpoint != NULL)
    g_ptr_array_add(trace->endpoint_lines, line_new(text, source, order));
  g_free(request);
  g_free(endpoint);
}

static gboolean read_file(Trace *trace, const char *name) {
  gboolean standard = strcmp(name, "-") == 0;
  FILE *in = standard ? stdin : fopen(name, "re");
  char raw[LINE_SIZE];
  if (in == NULL) {
    fprintf(stderr, "trace: cannot read '%s': %s; check the path\n", name,
            g_strerror(errno));
    return FALSE;
  }
  while (fgets(raw, sizeof raw, in) != NULL)
    add_line(trace, raw, name);
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

/* the text after the time, which is equal if several instances wrote it */
static const char *text_after_time(const Line *line) {
  const char *space = strchr(line->text, ' ');
  return space != NULL ? space : line->text;
}

/* prints the lines about the endpoints around that time, equal ones once */
static void print_endpoint_lines(const Trace *trace, gint64 first, gint64 last,
                                 FILE *out) {
  GHashTable *printed = g_hash_table_new(g_str_hash, g_str_equal);
  guint i;
  for (i = 0; i < trace->endpoint_lines->len; i++) {
    const Line *line = trace->endpoint_lines->pdata[i];
    char *endpoint = field_value(line->text, "endpoint");
    if (g_hash_table_contains(trace->endpoints, endpoint) &&
        line->at >= first - ENDPOINT_LINES_BEFORE &&
        line->at <= last + ENDPOINT_LINES_AFTER &&
        g_hash_table_add(printed, (gpointer)text_after_time(line)))
      print_line(line, first, out);
    g_free(endpoint);
  }
  g_hash_table_destroy(printed);
}

static void print_trace(const Trace *trace, FILE *out) {
  const Line *first = trace->lines->pdata[0];
  const Line *last = trace->lines->pdata[trace->lines->len - 1];
  guint i;
  for (i = 0; i < trace->lines->len; i++)
    print_line(trace->lines->pdata[i], first->at, out);
  fprintf(out, "events of its endpoints:\n");
  print_endpoint_lines(trace, first->at, last->at, out);
}

int trace_print(const char *request, char *const *files, int count,
                FILE *out) {
  Trace trace = {request, g_ptr_array_new_with_free_func(line_free),
                 g_ptr_array_new_with_free_func(line_free),
                 g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
  int found = 0;
  int i;
  for (i = 0; i < count && found == 0; i++)
    found = read_file(&trace, files[i]) ? 0 : -1;
  if (count == 0)
    read_file(&trace, "-");
  g_ptr_array_sort(trace.lines, by_time);
  g_ptr_array_sort(trace.endpoint_lines, by_time);
  if (found == 0) {
    found = (int)trace.lines->len;
    if (found > 0)
      print_trace(&trace, out);
  }
  g_ptr_array_free(trace.lines, TRUE);
  g_ptr_array_free(trace.endpoint_lines, TRUE);
  g_hash_table_destroy(trace.endpoints);
  return found;
}
