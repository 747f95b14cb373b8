/*
** log.c
** The logger
*/

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "io/log.h"

/* limit of lines in one second of the wall clock that have the same event
** number and a level below "warn" */
#define LINES_PER_SECOND 100
/* bytes of buffered output above which further lines are dropped */
#define MAX_PENDING (256 << 10)
/* size of the buffer for the fields of one line, in bytes */
#define MAX_FIELDS 512

/* the lines of one event number in one second of the wall clock */
typedef struct Quota {
  int number;
  time_t second;
  unsigned lines;    /* all of them, those left out included */
  unsigned left_out; /* those that exceeded LINES_PER_SECOND */
} Quota;

struct Log {
  int fd;
  char *path;
  mp_Level least;        /* lines below this level are discarded */
  GString *pending;      /* output that is not written yet; see MAX_PENDING */
  GHashTable *quotas;    /* event number -> Quota */
  guint64 left_out;      /* as log_left_out */
  guint64 lost;          /* as log_lost */
  guint64 lost_reported; /* the part of 'lost' that a line has reported */
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

/*
** {==================================================================
** Non-blocking writes
** ===================================================================
*/

/*
** Makes a pipe or socket non-blocking, because a write would otherwise wait
** for its reader. Files of other kinds are left as they are.
*/
static void set_nonblocking(int fd) {
  struct stat st;
  int flags;
  if (fstat(fd, &st) != 0 || !(S_ISFIFO(st.st_mode) || S_ISSOCK(st.st_mode)))
    return;
  flags = fcntl(fd, F_GETFL);
  if (flags >= 0)
    fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

static int open_log(const char *path) {
  int fd = STDOUT_FILENO;
  if (path != NULL)
    fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (fd >= 0)
    set_nonblocking(fd);
  return fd;
}

/* Writes as much of the buffered output as is possible without blocking. */
static void write_pending(Log *l) {
  while (l->pending->len > 0) {
    ssize_t n = write(l->fd, l->pending->str, l->pending->len);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return;
    g_string_erase(l->pending, 0, n);
  }
}

/* Replaces control characters from this position of the buffer on: names that
** other writers choose must not begin a line of their own. */
static void replace_control_characters(GString *buffer, gsize from) {
  gsize i;
  for (i = from; i < buffer->len; i++) {
    if (g_ascii_iscntrl(buffer->str[i]))
      buffer->str[i] = '?';
  }
}

/* Formats a line into the buffer. */
static void append_line(Log *l, const struct timespec *now, int no,
                        mp_Level level, const char *text, const char *fields) {
  struct tm tm;
  char when[32];
  gsize start = l->pending->len;
  gmtime_r(&now->tv_sec, &tm);
  strftime(when, sizeof when, "%Y-%m-%dT%H:%M:%S", &tm);
  g_string_append_printf(l->pending, "%s.%03ldZ %s E%d msg=\"%s\"%s", when,
                         now->tv_nsec / 1000000, levels[level], no, text,
                         fields);
  replace_control_characters(l->pending, start);
  g_string_append_c(l->pending, '\n');
}

/* Writes a line, or drops it when too much output is buffered. */
static void write_line(Log *l, const struct timespec *now, int no,
                       mp_Level level, const char *text, const char *fields) {
  char count[48];
  write_pending(l);
  if (l->pending->len > MAX_PENDING) {
    l->lost++;
    return;
  }
  if (l->lost > l->lost_reported) {
    g_snprintf(count, sizeof count, " count=%" G_GUINT64_FORMAT,
               l->lost - l->lost_reported);
    l->lost_reported = l->lost;
    append_line(l, now, MP_LOG_LINES_LOST, MP_WARN,
                mp_event_text(MP_LOG_LINES_LOST), count);
  }
  append_line(l, now, no, level, text, fields);
  write_pending(l);
}

/* }================================================================== */

/*
** {==================================================================
** Bounded volume
** ===================================================================
*/

static Quota *find_or_add_quota(Log *l, int no) {
  Quota *quota = g_hash_table_lookup(l->quotas, GINT_TO_POINTER(no));
  if (quota == NULL) {
    quota = g_new0(Quota, 1);
    quota->number = no;
    g_hash_table_insert(l->quotas, GINT_TO_POINTER(no), quota);
  }
  return quota;
}

/* Starts a new second, after reporting what the previous one left out. */
static void start_second(Log *l, Quota *quota, const struct timespec *now) {
  char fields[64];
  if (quota->left_out > 0) {
    g_snprintf(fields, sizeof fields, " number=E%d count=%u", quota->number,
               quota->left_out);
    write_line(l, now, MP_LOG_LINES_LEFT_OUT, MP_INFO,
               mp_event_text(MP_LOG_LINES_LEFT_OUT), fields);
  }
  quota->second = now->tv_sec;
  quota->lines = 0;
  quota->left_out = 0;
}

/* Counts a line. Returns 1 when it may be written, 0 when it is left out. */
static int count_against_quota(Log *l, int no, const struct timespec *now) {
  Quota *quota = find_or_add_quota(l, no);
  if (quota->second != now->tv_sec)
    start_second(l, quota, now);
  if (quota->lines++ < LINES_PER_SECOND)
    return 1;
  quota->left_out++;
  l->left_out++;
  return 0;
}

/* }================================================================== */

Log *log_new(const char *path, mp_Level least, GError **err) {
  int fd = open_log(path);
  Log *l;
  if (fd < 0) {
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "log: cannot open '%s': %s; choose a writable path", path,
                g_strerror(errno));
    return NULL;
  }
  l = g_new0(Log, 1);
  l->fd = fd;
  l->path = g_strdup(path);
  l->least = least;
  l->pending = g_string_new(NULL);
  l->quotas = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return l;
}

void log_reopen(Log *l) {
  int fd;
  if (l->path == NULL)
    return;
  fd = open_log(l->path);
  if (fd < 0)
    return; /* keep the old file rather than none */
  close(l->fd);
  l->fd = fd;
}

void log_event(Log *l, int no, mp_Level level, const char *text,
               const char *fields) {
  struct timespec now;
  if (level < l->least)
    return;
  clock_gettime(CLOCK_REALTIME, &now);
  if (level < MP_WARN && !count_against_quota(l, no, &now))
    return;
  write_line(l, &now, no, level, text, fields);
}

void log_numbered(Log *l, mp_EventNo number, const char *format, ...) {
  char fields[MAX_FIELDS];
  va_list arguments;
  va_start(arguments, format);
  g_vsnprintf(fields, sizeof fields, format, arguments);
  va_end(arguments);
  log_event(l, (int)number, mp_event_level(number), mp_event_text(number),
            fields);
}

guint64 log_left_out(const Log *l) {
  return l->left_out;
}

guint64 log_lost(const Log *l) {
  return l->lost;
}

void log_free(Log *l) {
  write_pending(l);
  if (l->path != NULL)
    close(l->fd);
  g_string_free(l->pending, TRUE);
  g_hash_table_destroy(l->quotas);
  g_free(l->path);
  g_free(l);
}
