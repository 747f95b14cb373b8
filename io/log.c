/*
** log.c
** The logger
*/

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "io/log.h"

struct Log {
  FILE *f;
  char *path;
  mp_Level least;
};

static const char *const levels[] = {"debug", "info", "warn", "fault"};

int log_level(const char *s, mp_Level *out) {
  size_t i;
  for (i = 0; i < G_N_ELEMENTS(levels); i++) {
    if (strcmp(s, levels[i]) == 0) {
      *out = (mp_Level)i;
      return 1;
    }
  }
  return 0;
}

static FILE *openlog(const char *path) {
  FILE *f = path != NULL ? fopen(path, "ae") : stderr;
  if (f != NULL)
    setvbuf(f, NULL, _IOLBF, 0);
  return f;
}

Log *log_new(const char *path, mp_Level least, GError **err) {
  FILE *f = openlog(path);
  Log *l;
  if (f == NULL) {
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "log: cannot open '%s': %s; choose a writable path", path,
                g_strerror(errno));
    return NULL;
  }
  l = g_new0(Log, 1);
  l->f = f;
  l->path = g_strdup(path);
  l->least = least;
  return l;
}

void log_reopen(Log *l) {
  FILE *f;
  if (l->path == NULL)
    return;
  f = openlog(l->path);
  if (f == NULL)
    return; /* better the old file than none */
  fclose(l->f);
  l->f = f;
}

void log_event(Log *l, int no, mp_Level level, const char *text,
               const char *fields) {
  struct timespec t;
  struct tm tm;
  char when[32];
  if (level < l->least)
    return;
  clock_gettime(CLOCK_REALTIME, &t);
  gmtime_r(&t.tv_sec, &tm);
  strftime(when, sizeof when, "%Y-%m-%dT%H:%M:%S", &tm);
  fprintf(l->f, "%s.%03ldZ %s E%d msg=\"%s\"%s\n", when, t.tv_nsec / 1000000,
          levels[level], no, text, fields);
}

void log_free(Log *l) {
  if (l->path != NULL)
    fclose(l->f);
  g_free(l->path);
  g_free(l);
}
