/*
** stand-2.h
** What the scripts of the second review share: a stand-in for the platform's
** store, plain workers, instances of madderpierd, clients, and the record
**
** One process with a thread for each connection. Everything is on loopback.
** The messages are those of the platform's pages (PROTOCOL.md); the settings
** are deploy/settings.yaml.in, filled in with the figures of sufra-amman.
*/

#ifndef STAND_2_H
#define STAND_2_H

#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 16384

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record_file;
static char work_dir[32];

static double time_offset; /* of a process that another one started */

/* Seconds since the start of the case. */
static double now_s(void) {
  static double start;
  struct timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  if (start == 0)
    start = (double)t.tv_sec + (double)t.tv_nsec / 1e9;
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9 - start + time_offset;
}

static void sleep_ms(int ms) {
  struct timespec t = {ms / 1000, ms % 1000 * 1000000L};
  nanosleep(&t, NULL);
}

/* Writes a line with the time in seconds to the record. */
__attribute__((format(printf, 1, 2))) static void note(const char *format,
                                                       ...) {
  va_list arguments;
  flockfile(record_file);
  fprintf(record_file, "%8.3f ", now_s());
  va_start(arguments, format);
  vfprintf(record_file, format, arguments);
  va_end(arguments);
  fputc('\n', record_file);
  fflush(record_file);
  funlockfile(record_file);
}

static void start_thread(void *(*run)(void *), void *data) {
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize(&attributes, 256 << 10);
  if (pthread_create(&thread, &attributes, run, data) != 0)
    exit(2);
  pthread_attr_destroy(&attributes);
}

/*
** Sockets
*/

static struct sockaddr_in loopback(int port) {
  struct sockaddr_in at = {0};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons((uint16_t)port);
  return at;
}

/* Listens on a free port, which is written to '*port'. */
static int listen_any(int *port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in at = loopback(0);
  socklen_t size = sizeof at;
  if (bind(fd, (struct sockaddr *)&at, sizeof at) != 0 ||
      listen(fd, 512) != 0 ||
      getsockname(fd, (struct sockaddr *)&at, &size) != 0)
    exit(2);
  *port = ntohs(at.sin_port);
  return fd;
}

static int free_port(void) {
  int port;
  close(listen_any(&port));
  return port;
}

static int connect_to(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in at = loopback(port);
  int on = 1;
  if (connect(fd, (struct sockaddr *)&at, sizeof at) != 0) {
    close(fd);
    return -1;
  }
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

static int write_all(int fd, const char *bytes, size_t size) {
  while (size > 0) {
    ssize_t n = send(fd, bytes, size, MSG_NOSIGNAL);
    if (n <= 0)
      return 0;
    bytes += n;
    size -= (size_t)n;
  }
  return 1;
}

/*
** HTTP: a connection with what was read of it and not used
*/

typedef struct Stream {
  int fd;
  char bytes[HEAD_MAX];
  size_t count;
} Stream;

typedef struct Message {
  char head[HEAD_MAX]; /* with its empty line, NUL-terminated */
  size_t body_size;
  int is_whole;
} Message;

/* Copies the value of a field, or an empty text. */
static const char *field(const Message *message, const char *name,
                         char *out, size_t size) {
  size_t length = strlen(name);
  const char *line = strchr(message->head, '\n');
  out[0] = '\0';
  for (; line != NULL && line[1] != '\r'; line = strchr(line + 1, '\n')) {
    const char *at = line + 1;
    size_t n;
    if (strncasecmp(at, name, length) != 0 || at[length] != ':')
      continue;
    at += length + 1;
    at += strspn(at, " ");
    n = strcspn(at, "\r\n");
    if (n >= size)
      n = size - 1;
    memcpy(out, at, n);
    out[n] = '\0';
    break;
  }
  return out;
}

static int fill(Stream *stream) {
  ssize_t n = recv(stream->fd, stream->bytes + stream->count,
                   sizeof stream->bytes - stream->count, 0);
  if (n <= 0)
    return 0;
  stream->count += (size_t)n;
  return 1;
}

static void use(Stream *stream, size_t size) {
  stream->count -= size;
  memmove(stream->bytes, stream->bytes + size, stream->count);
}

/* Reads 'size' bytes; the first of them are kept in 'out' (NULL: none). */
static int read_bytes(Stream *stream, size_t size, char *out, size_t room) {
  size_t at = 0;
  while (size > 0) {
    size_t n;
    if (stream->count == 0 && !fill(stream))
      return 0;
    n = stream->count < size ? stream->count : size;
    if (out != NULL && at < room)
      memcpy(out + at, stream->bytes, n < room - at ? n : room - at);
    at += n;
    use(stream, n);
    size -= n;
  }
  return 1;
}

/* Reads one line; returns 0 at the end of the stream. */
static int read_line(Stream *stream, char *out, size_t room) {
  for (;;) {
    char *end = memchr(stream->bytes, '\n', stream->count);
    if (end != NULL) {
      size_t n = (size_t)(end - stream->bytes) + 1;
      memcpy(out, stream->bytes, n < room ? n : room - 1);
      out[n < room ? n : room - 1] = '\0';
      use(stream, n);
      return 1;
    }
    if (stream->count == sizeof stream->bytes || !fill(stream))
      return 0;
  }
}

static int read_head(Stream *stream, Message *out) {
  memset(out, 0, sizeof *out);
  for (;;) {
    char *end = memmem(stream->bytes, stream->count, "\r\n\r\n", 4);
    if (end != NULL) {
      size_t n = (size_t)(end - stream->bytes) + 4;
      memcpy(out->head, stream->bytes, n);
      out->head[n < HEAD_MAX ? n : HEAD_MAX - 1] = '\0';
      use(stream, n);
      return 1;
    }
    if (stream->count == sizeof stream->bytes || !fill(stream))
      return 0;
  }
}

/* Reads a body by its length or its chunks; its beginning is kept in 'out'. */
static int read_body(Stream *stream, Message *message, char *out,
                     size_t room) {
  char value[64];
  if (strcasecmp(field(message, "Transfer-Encoding", value, sizeof value),
                 "chunked") == 0) {
    for (;;) {
      char line[128];
      size_t n;
      if (!read_line(stream, line, sizeof line))
        return 0;
      n = strtoul(line, NULL, 16);
      if (n == 0)
        break;
      if (!read_bytes(stream, n, out, message->body_size == 0 ? room : 0) ||
          !read_line(stream, line, sizeof line))
        return 0;
      message->body_size += n;
    }
    for (;;) {
      char line[1024];
      if (!read_line(stream, line, sizeof line))
        return 0;
      if (strcmp(line, "\r\n") == 0)
        break;
    }
  } else {
    message->body_size =
        strtoul(field(message, "Content-Length", value, sizeof value), NULL,
                10);
    if (!read_bytes(stream, message->body_size, out, room))
      return 0;
  }
  message->is_whole = 1;
  return 1;
}

static int write_answer(int fd, int status, const char *fields,
                        const char *body, size_t size) {
  char head[1024];
  int n = snprintf(head, sizeof head,
                   "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n",
                   status, fields, size);
  return write_all(fd, head, (size_t)n) && write_all(fd, body, size);
}

/* Accepts connections for ever and serves each by a thread of its own. */
typedef struct Listener {
  int fd;
  void (*serve)(Stream *stream, void *data);
  void *data;
} Listener;

typedef struct Accepted {
  Listener *listener;
  int fd;
} Accepted;

static void *serve_one(void *data) {
  Accepted *accepted = data;
  Stream *stream = calloc(1, sizeof *stream);
  int on = 1;
  stream->fd = accepted->fd;
  setsockopt(stream->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  accepted->listener->serve(stream, accepted->listener->data);
  close(stream->fd);
  free(stream);
  free(accepted);
  return NULL;
}

static void *accept_all(void *data) {
  Listener *listener = data;
  for (;;) {
    int fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
    Accepted *accepted;
    if (fd < 0)
      continue;
    accepted = malloc(sizeof *accepted);
    accepted->listener = listener;
    accepted->fd = fd;
    start_thread(serve_one, accepted);
  }
  return NULL;
}

static void serve_at(int fd, void (*function)(Stream *, void *), void *data) {
  Listener *listener = malloc(sizeof *listener);
  listener->fd = fd;
  listener->serve = function;
  listener->data = data;
  start_thread(accept_all, listener);
}

static int serve(void (*function)(Stream *, void *), void *data) {
  int port;
  int fd = listen_any(&port);
  serve_at(fd, function, data);
  return port;
}

/*
** The platform's store: objects of any kind; a watch answers with all changes
** after its revision, or with none after WaitMs
*/

#define OBJECTS_MAX 64
#define SPEC_MAX 8192

typedef struct Object {
  char kind[48], name[96], spec[SPEC_MAX];
  long revision;
  int is_gone;
} Object;

static Object objects[OBJECTS_MAX];
static int object_count;
static long store_revision = 100;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static Object *find_object(const char *kind, const char *name) {
  int i;
  for (i = 0; i < object_count; i++) {
    if (strcmp(objects[i].kind, kind) == 0 &&
        strcmp(objects[i].name, name) == 0)
      return &objects[i];
  }
  return NULL;
}

/* Creates or replaces an object; the lock is held. */
static Object *put_object(const char *kind, const char *name,
                          const char *spec) {
  Object *object = find_object(kind, name);
  if (object == NULL) {
    if (object_count == OBJECTS_MAX)
      exit(2);
    object = &objects[object_count++];
    snprintf(object->kind, sizeof object->kind, "%s", kind);
    snprintf(object->name, sizeof object->name, "%s", name);
  }
  snprintf(object->spec, sizeof object->spec, "%s", spec);
  object->revision = ++store_revision;
  object->is_gone = 0;
  pthread_cond_broadcast(&store_changed);
  return object;
}

static void store_put(const char *kind, const char *name, const char *spec) {
  pthread_mutex_lock(&lock);
  put_object(kind, name, spec);
  pthread_mutex_unlock(&lock);
}

__attribute__((unused)) static void store_remove(const char *kind, const char *name) {
  Object *object;
  pthread_mutex_lock(&lock);
  object = find_object(kind, name);
  if (object != NULL) {
    object->revision = ++store_revision;
    object->is_gone = 1;
    pthread_cond_broadcast(&store_changed);
  }
  pthread_mutex_unlock(&lock);
}

static int object_text(const Object *object, char *out, size_t size) {
  return snprintf(out, size,
                  "{\"Metadata\":{\"Name\":\"%s\",\"Rev\":%ld,\"made\":1,"
                  "\"finalizers\":[],\"deleting\":false},\"Spec\":%s,"
                  "\"Status\":null}",
                  object->name, object->revision, object->spec);
}

/* Writes a list, or the events after 'since' (-1: a list). Returns how many. */
static int objects_text(const char *kind, long since, char *out,
                        size_t size) {
  size_t at = (size_t)snprintf(out, size, "{\"%s\":[",
                               since < 0 ? "items" : "events");
  int count = 0;
  int i;
  for (i = 0; i < object_count; i++) {
    if (strcmp(objects[i].kind, kind) != 0 || objects[i].revision <= since ||
        (since < 0 && objects[i].is_gone))
      continue;
    at += (size_t)snprintf(out + at, size - at, "%s%s", count++ > 0 ? "," : "",
                           since < 0              ? ""
                           : objects[i].is_gone ? "{\"gone\":true,\"object\":"
                                                : "{\"gone\":false,\"object\":");
    at += (size_t)object_text(&objects[i], out + at, size - at);
    if (since >= 0)
      at += (size_t)snprintf(out + at, size - at, "}");
  }
  snprintf(out + at, size - at, since < 0 ? "],\"more\":false,\"at\":%ld}"
                                          : "],\"at\":%ld}",
           store_revision);
  return count;
}

/* Copies the JSON value that begins at 'from': an object. */
static void copy_braces(const char *from, char *out, size_t size) {
  size_t i;
  int depth = 0;
  for (i = 0; from[i] != '\0' && i + 1 < size; i++) {
    depth += from[i] == '{';
    depth -= from[i] == '}';
    out[i] = from[i];
    if (depth == 0) {
      i++;
      break;
    }
  }
  out[i] = '\0';
}

static long number_after(const char *text, const char *key) {
  const char *at = strstr(text, key);
  return at != NULL ? strtol(at + strlen(key), NULL, 10) : 0;
}

/* Waits until something of the kind is newer than 'since'. */
static void wait_for_change(const char *kind, long since, long wait_ms,
                            char *out, size_t size) {
  struct timespec until;
  clock_gettime(CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000L;
  if (until.tv_nsec >= 1000000000L) {
    until.tv_sec++;
    until.tv_nsec -= 1000000000L;
  }
  while (objects_text(kind, since, out, size) == 0 &&
         pthread_cond_timedwait(&store_changed, &lock, &until) == 0) {
  }
  objects_text(kind, since, out, size);
}

static int answer_store(const char *method, char *target, const char *body,
                        char *out, size_t size) {
  char *query = strchr(target, '?');
  char *kind = target + strlen("/objects/");
  char *name;
  char spec[SPEC_MAX] = "null";
  Object *object;
  long revision;
  if (query != NULL)
    *query++ = '\0';
  name = strchr(kind, '/');
  if (name != NULL)
    *name++ = '\0';
  if (strcmp(method, "GET") == 0 && name == NULL) {
    if (query != NULL && strstr(query, "watch=") != NULL)
      wait_for_change(kind, number_after(query, "watch="),
                      number_after(query, "WaitMs="), out, size);
    else
      objects_text(kind, -1, out, size);
    return 200;
  }
  if (strstr(body, "\"Spec\":") != NULL)
    copy_braces(strstr(body, "\"Spec\":") + 7, spec, sizeof spec);
  if (strcmp(method, "POST") == 0) {
    static char given[96];
    const char *at = strstr(body, "\"Name\":\"");
    snprintf(given, sizeof given, "%.*s",
             at != NULL ? (int)strcspn(at + 8, "\"") : 0,
             at != NULL ? at + 8 : "");
    object = find_object(kind, given);
    if (object == NULL || object->is_gone) {
      object_text(put_object(kind, given, spec), out, size);
      return 200;
    }
    object_text(object, out, size);
    return 409;
  }
  object = name != NULL ? find_object(kind, name) : NULL;
  snprintf(out, size, "{}");
  if (object == NULL || object->is_gone)
    return 404;
  revision = number_after(body, "\"Rev\":");
  if (strcmp(method, "PUT") == 0 &&
      (revision == 0 || revision == object->revision))
    put_object(kind, name, spec);
  else if (strcmp(method, "PUT") == 0) {
    object_text(object, out, size);
    return 409;
  } else if (strcmp(method, "DELETE") == 0) {
    object->revision = ++store_revision;
    object->is_gone = 1;
    pthread_cond_broadcast(&store_changed);
  }
  object_text(object, out, size);
  return 200;
}

static void serve_store(Stream *stream, void *data) {
  size_t size = (size_t)OBJECTS_MAX * (SPEC_MAX + 512);
  char *out = malloc(size);
  char *body = malloc(64 << 10);
  Message *message = malloc(sizeof *message);
  (void)data;
  while (read_head(stream, message)) {
    char method[16], target[512];
    int status;
    memset(body, 0, 64 << 10);
    if (sscanf(message->head, "%15s %511s", method, target) != 2 ||
        !read_body(stream, message, body, (64 << 10) - 1))
      break;
    sleep_ms(4);
    pthread_mutex_lock(&lock);
    status = answer_store(method, target, body, out, size);
    pthread_mutex_unlock(&lock);
    if (!write_answer(stream->fd, status, "Content-Type: application/json\r\n",
                      out, strlen(out)))
      break;
  }
  free(message);
  free(body);
  free(out);
}

/*
** Instances
*/

typedef struct Instance {
  char name[32], settings[1200], log[1200];
  int callers, ready, control, metrics, exchange;
  volatile pid_t pid;
} Instance;

#define MEMORY_MB 110

static void write_settings(Instance *one, int store, const Instance *all,
                           int count) {
  FILE *file;
  int i;
  snprintf(one->settings, sizeof one->settings, "%s/%s.yaml", work_dir,
           one->name);
  snprintf(one->log, sizeof one->log, "%s/%s.log", work_dir, one->name);
  file = fopen(one->settings, "w");
  if (file == NULL)
    exit(2);
  fprintf(file,
          "dialect: platform\ninstance: %s\ndata_centre: z1\n"
          "callers: 127.0.0.1:%d\nready: 127.0.0.1:%d\n"
          "control: 127.0.0.1:%d\nmetrics: 127.0.0.1:%d\n"
          "exchange: 127.0.0.1:%d\nplatform: 127.0.0.1:%d\npeers: [",
          one->name, one->callers, one->ready, one->control, one->metrics,
          one->exchange, store);
  for (i = 0; i < count && i < 3; i++)
    fprintf(file, "%s127.0.0.1:%d", i > 0 ? "," : "", all[i].control);
  fprintf(file, "]\nretry_ratio: 0.2\nretry_slack: 54\nretry_window_s: 10\n"
                "lease_ms: 3000\ncontact_ms: 3000\napply_ms: 2000\n"
                "leave_ms: 2000\ngrace_s: 8\nprocessor_share: 0.25\n"
                "link_mbps: 1000.0\nmemory_mb: %d\nmemory_share: 0.25\n"
                "overload_control: true\nlog_level: info\n",
          MEMORY_MB);
  fclose(file);
}

static void prepare_instance(Instance *one, int number) {
  snprintf(one->name, sizeof one->name, "edge-z1-%d", number);
  one->callers = free_port();
  one->ready = free_port();
  one->control = free_port();
  one->metrics = free_port();
  one->exchange = free_port();
}

/* The run command of deploy/system.toml, with the settings file's path. */
static void start_instance(Instance *one) {
  pid_t pid = fork();
  if (pid == 0) {
    int fd = open(one->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    execl("target/madderpierd", "madderpierd", one->settings, (char *)NULL);
    _exit(127);
  }
  one->pid = pid;
}

static int is_ready(const Instance *one) {
  static const char ask[] = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
  char answer[16] = "";
  int fd = connect_to(one->ready);
  ssize_t n;
  if (fd < 0)
    return 0;
  n = write_all(fd, ask, strlen(ask)) ? recv(fd, answer, 15, 0) : 0;
  close(fd);
  return n > 12 && strncmp(answer + 9, "200", 3) == 0;
}

static int wait_ready(const Instance *one) {
  int i;
  for (i = 0; i < 200; i++) {
    if (is_ready(one))
      return 1;
    sleep_ms(50);
  }
  return 0;
}

/* Resident memory of a process in MB, as /proc tells it. */
__attribute__((unused)) static double resident_mb(pid_t pid) {
  char path[64];
  long pages = 0;
  FILE *file;
  snprintf(path, sizeof path, "/proc/%d/statm", (int)pid);
  file = fopen(path, "r");
  if (file == NULL)
    return 0;
  if (fscanf(file, "%*d %ld", &pages) != 1)
    pages = 0;
  fclose(file);
  return (double)pages * (double)sysconf(_SC_PAGESIZE) / 1048576;
}

static void stop_instance(Instance *one) {
  if (one->pid <= 0)
    return;
  kill(one->pid, SIGKILL);
  waitpid(one->pid, NULL, 0);
  one->pid = 0;
}

/* Opens the record beside run.sh and a folder for settings and logs. */
static void begin_case(const char *folder) {
  char path[256];
  signal(SIGPIPE, SIG_IGN);
  snprintf(path, sizeof path, "%s/record.txt", folder);
  unlink(path);
  record_file = fopen(path, "a");
  snprintf(work_dir, sizeof work_dir, "/tmp/review-2-XXXXXX");
  if (record_file == NULL || mkdtemp(work_dir) == NULL)
    exit(2);
  now_s();
}

#endif
