/*
** stand.c
** Stand-ins for one small deployment, and the judge of a case
**
**   stand CASE TROUBLE DAEMON FOLDER
**
** One process plays the platform (its metadata store, its balancer, the
** operator), the workers and the clients, as the pages describe them, and
** starts the instances as processes of their own. What was sent, answered and
** run is written to FOLDER/record.txt. The exit status is 1 if the rule of
** the case was broken, 0 if it held, 2 if the case could not run.
**
** Each connection has a thread of its own and blocking input and output; one
** mutex guards all data.
*/

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

/* Bounds of the site funkbuch-ost (SYSTEM.md) */
#define APPLY_S 2.0
#define RECOVER_S 12.0
#define HEARTBEAT_S 1.2
#define STORE_ANSWER_MS 4
#define WRITES_PER_S 400
#define LEAD_S 10.0

#define HOST "h.example"
#define MESSAGE_MAX (8 << 20)

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;
static FILE *record;
static double began;
static const char *folder;
static const char *daemon_path;
static int trouble = 1;
static volatile int is_over;

/*
** {==================================================================
** Time and record
** ===================================================================
*/

static double clock_s(void) {
  struct timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* seconds since the start of traffic */
static double now_s(void) {
  return clock_s() - began;
}

static void sleep_s(double s) {
  struct timespec t;
  if (s <= 0)
    return;
  t.tv_sec = (time_t)s;
  t.tv_nsec = (long)((s - (double)t.tv_sec) * 1e9);
  nanosleep(&t, NULL);
}

static void sleep_until(double s) {
  while (now_s() < s)
    sleep_s(s - now_s() < 0.05 ? s - now_s() : 0.05);
}

static void note(const char *format, ...) {
  va_list arguments;
  char line[1024];
  va_start(arguments, format);
  vsnprintf(line, sizeof line, format, arguments);
  va_end(arguments);
  flockfile(record);
  fprintf(record, "%8.3f %s\n", now_s(), line);
  fflush(record);
  funlockfile(record);
}

static void cannot_run(const char *why);

static unsigned long long random_state = 88172645463325252ULL;

static unsigned random_number(void) {
  unsigned n;
  static pthread_mutex_t own = PTHREAD_MUTEX_INITIALIZER;
  pthread_mutex_lock(&own);
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  n = (unsigned)(random_state >> 16);
  pthread_mutex_unlock(&own);
  return n;
}

static double random_share(void) {
  return (double)(random_number() & 0xffffff) / (double)0x1000000;
}

/* }================================================================== */

/*
** {==================================================================
** Sockets and HTTP
** ===================================================================
*/

static void start_thread(void *(*run)(void *), void *data) {
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, 256 << 10);
  pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create(&thread, &attributes, run, data) != 0)
    cannot_run("no thread");
  pthread_attr_destroy(&attributes);
}

static struct sockaddr_in loopback(int port) {
  struct sockaddr_in at;
  memset(&at, 0, sizeof at);
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons((unsigned short)port);
  return at;
}

/* Listens at a port of the loopback address. Returns -1 if that cannot be
** done. */
static int listen_at(int port) {
  struct sockaddr_in at = loopback(port);
  int on = 1;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, (struct sockaddr *)&at, sizeof at) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/* Returns a port at which nobody listens, below those that the kernel gives to
** connections; no two calls return the same one. */
static int free_port(void) {
  static int next;
  int tries;
  if (next == 0)
    next = 10000 + (int)getpid() * 211 % 20000;
  for (tries = 0; tries < 2000; tries++) {
    int port = next++;
    int fd = listen_at(port);
    if (fd >= 0) {
      close(fd);
      return port;
    }
  }
  cannot_run("no free port");
  return 0;
}

/* Connects within a second; -1: it could not. */
static int connect_to(int port) {
  struct sockaddr_in at = loopback(port);
  int on = 1;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(fd, (struct sockaddr *)&at, sizeof at) != 0) {
    close(fd);
    return -1;
  }
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

static int send_all(int fd, const char *bytes, size_t size) {
  while (size > 0) {
    ssize_t n = send(fd, bytes, size, MSG_NOSIGNAL);
    if (n <= 0)
      return 0;
    bytes += n;
    size -= (size_t)n;
  }
  return 1;
}

static int send_text(int fd, const char *format, ...) {
  va_list arguments;
  char *text = NULL;
  int n;
  int done;
  va_start(arguments, format);
  n = vasprintf(&text, format, arguments);
  va_end(arguments);
  done = n >= 0 && send_all(fd, text, (size_t)n);
  free(text);
  return done;
}

/* what was read of a connection and not used yet */
typedef struct Input {
  int fd;
  char *bytes;
  size_t size, room;
} Input;

static void input_init(Input *in, int fd) {
  memset(in, 0, sizeof *in);
  in->fd = fd;
}

static void input_clear(Input *in) {
  free(in->bytes);
  in->bytes = NULL;
}

/* Reads more until 'deadline' (clock_s); 1: there are more bytes, 0: the peer
** has ended, -1: reset or no time left. */
static int read_more(Input *in, double deadline) {
  struct pollfd wait = {in->fd, POLLIN, 0};
  double left = deadline - clock_s();
  ssize_t n;
  if (left <= 0 || poll(&wait, 1, (int)(left * 1000) + 1) <= 0)
    return -1;
  if (in->size + 65536 > in->room) {
    in->room = in->size + 131072;
    in->bytes = realloc(in->bytes, in->room);
  }
  n = recv(in->fd, in->bytes + in->size, 65536, 0);
  if (n > 0)
    in->size += (size_t)n;
  return n > 0 ? 1 : n == 0 ? 0 : -1;
}

static void drop(Input *in, size_t size) {
  memmove(in->bytes, in->bytes + size, in->size - size);
  in->size -= size;
}

typedef struct Message {
  char *head; /* the first line and the fields, ended by NUL */
  char *body;
  size_t size; /* of the body */
  int is_whole;
} Message;

static void message_clear(Message *message) {
  free(message->head);
  free(message->body);
  memset(message, 0, sizeof *message);
}

/* Copies the value of a field to 'out'; 0: there is none. */
static int field(const Message *message, const char *name, char *out,
                 size_t size) {
  const char *line = strstr(message->head, "\r\n");
  size_t length = strlen(name);
  out[0] = '\0';
  while (line != NULL) {
    line += 2;
    if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
      const char *value = line + length + 1;
      const char *end = strstr(value, "\r\n");
      size_t n = end != NULL ? (size_t)(end - value) : strlen(value);
      while (n > 0 && *value == ' ') {
        value++;
        n--;
      }
      if (n >= size)
        n = size - 1;
      memcpy(out, value, n);
      out[n] = '\0';
      return 1;
    }
    line = strstr(line, "\r\n");
  }
  return 0;
}

/* Reads one message with a length, chunks, or (a response) up to the end of
** the connection. Returns 0 if there is no head; Message.is_whole tells
** whether the body is. */
static int read_message(Input *in, Message *out, double deadline) {
  char *end;
  char value[64];
  size_t head;
  memset(out, 0, sizeof *out);
  while (in->size == 0 ||
         (end = memmem(in->bytes, in->size, "\r\n\r\n", 4)) == NULL) {
    if (in->size > MESSAGE_MAX || read_more(in, deadline) <= 0)
      return 0;
  }
  head = (size_t)(end - in->bytes) + 4;
  out->head = strndup(in->bytes, head - 2);
  drop(in, head);
  if (field(out, "Transfer-Encoding", value, sizeof value)) {
    for (;;) {
      size_t n;
      char *line;
      while (in->size == 0 ||
             (line = memmem(in->bytes, in->size, "\r\n", 2)) == NULL) {
        if (read_more(in, deadline) <= 0)
          return 1;
      }
      n = strtoul(in->bytes, NULL, 16);
      head = (size_t)(line - in->bytes) + 2;
      while (in->size < head + n + 2) {
        if (read_more(in, deadline) <= 0)
          return 1;
      }
      out->body = realloc(out->body, out->size + n + 1);
      memcpy(out->body + out->size, in->bytes + head, n);
      out->size += n;
      out->body[out->size] = '\0';
      drop(in, head + n + 2);
      if (n == 0)
        break;
    }
  } else if (field(out, "Content-Length", value, sizeof value)) {
    size_t n = strtoul(value, NULL, 10);
    while (in->size < n) {
      if (read_more(in, deadline) <= 0)
        return 1;
    }
    out->body = malloc(n + 1);
    memcpy(out->body, in->bytes, n);
    out->body[n] = '\0';
    out->size = n;
    drop(in, n);
  }
  out->is_whole = 1;
  return 1;
}

/* }================================================================== */

/*
** {==================================================================
** The platform's metadata store (PROTOCOL.md)
** ===================================================================
*/

typedef struct Change {
  json_int_t revision;
  char *kind;
  int is_gone;
  json_t *object;
  struct Change *next;
} Change;

static json_t *objects; /* kind -> name -> object */
static json_int_t revision = 100;
static Change *first_change, *last_change;
static int store_port;
static double write_times[WRITES_PER_S];
static unsigned next_write;
static unsigned writes, refused_writes, quarantine_writes;

/* All these are called with the lock held. */

static json_t *objects_of(const char *kind) {
  json_t *of = json_object_get(objects, kind);
  if (of == NULL) {
    of = json_object();
    json_object_set_new(objects, kind, of);
  }
  return of;
}

static void add_change(const char *kind, int is_gone, json_t *object) {
  Change *change = calloc(1, sizeof *change);
  change->revision = revision;
  change->kind = strdup(kind);
  change->is_gone = is_gone;
  change->object = json_deep_copy(object);
  if (last_change != NULL)
    last_change->next = change;
  else
    first_change = change;
  last_change = change;
  pthread_cond_broadcast(&store_changed);
}

/* Takes over 'spec'. A write that changes nothing makes no revision. */
static json_t *put_object(const char *kind, const char *name, json_t *spec) {
  json_t *of = objects_of(kind);
  json_t *object = json_object_get(of, name);
  if (object != NULL && json_equal(json_object_get(object, "Spec"), spec)) {
    json_decref(spec);
    return object;
  }
  revision++;
  object = json_pack("{s:{s:s, s:I, s:I, s:[], s:b}, s:o, s:n}", "Metadata",
                     "Name", name, "Rev", revision, "made", revision,
                     "finalizers", "deleting", 0, "Spec", spec, "Status");
  json_object_set_new(of, name, object);
  add_change(kind, 0, object);
  return object;
}

static void remove_object(const char *kind, const char *name) {
  json_t *of = objects_of(kind);
  json_t *object = json_object_get(of, name);
  if (object == NULL)
    return;
  json_incref(object);
  json_object_del(of, name);
  revision++;
  json_object_set_new(json_object_get(object, "Metadata"), "Rev",
                      json_integer(revision));
  add_change(kind, 1, object);
  json_decref(object);
}

static int compare_names(const void *a, const void *b) {
  return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static json_t *list_objects(const char *kind, const char *after) {
  json_t *of = objects_of(kind);
  json_t *items = json_array();
  const char **names = calloc(json_object_size(of) + 1, sizeof *names);
  const char *name;
  json_t *object;
  size_t n = 0;
  size_t i;
  json_object_foreach(of, name, object) names[n++] = name;
  qsort(names, n, sizeof *names, compare_names);
  for (i = 0; i < n; i++) {
    if (strcmp(names[i], after) > 0)
      json_array_append(items, json_object_get(of, names[i]));
  }
  free(names);
  return json_pack("{s:o, s:b, s:I}", "items", items, "more", 0, "at",
                   revision);
}

static json_t *watch_objects(const char *kind, json_int_t since,
                             long wait_ms) {
  json_t *events = json_array();
  struct timespec until;
  const Change *change;
  clock_gettime(CLOCK_MONOTONIC, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000L;
  if (until.tv_nsec >= 1000000000L) {
    until.tv_sec++;
    until.tv_nsec -= 1000000000L;
  }
  for (;;) {
    for (change = first_change; change != NULL; change = change->next) {
      if (change->revision > since && strcmp(change->kind, kind) == 0)
        json_array_append_new(events,
                              json_pack("{s:b, s:O}", "gone", change->is_gone,
                                        "object", change->object));
    }
    if (json_array_size(events) > 0 ||
        pthread_cond_timedwait(&store_changed, &lock, &until) != 0)
      break;
  }
  return json_pack("{s:o, s:I}", "events", events, "at", revision);
}

static int may_write(void) {
  double now = clock_s();
  writes++;
  if (now - write_times[next_write] < 1.0) {
    refused_writes++;
    return 0;
  }
  write_times[next_write] = now;
  next_write = (next_write + 1) % WRITES_PER_S;
  return 1;
}

/* Returns the status, and the body in '*answer'. */
static int store_write(const char *method, const char *kind, const char *name,
                       const char *query, const json_t *sent,
                       json_t **answer) {
  json_t *metadata = json_object_get(sent, "Metadata");
  json_t *spec = json_object_get(sent, "Spec");
  json_t *of = objects_of(kind);
  json_t *known;
  const char *at = query != NULL ? strstr(query, "Rev=") : NULL;
  json_int_t expected = json_integer_value(json_object_get(metadata, "Rev"));
  if (!may_write())
    return 429;
  if (strcmp(method, "POST") == 0)
    name = json_string_value(json_object_get(metadata, "Name"));
  if (name == NULL)
    return 400;
  if (strstr(kind, "quarantine") != NULL)
    quarantine_writes++;
  if (at != NULL)
    expected = atoll(at + 4);
  known = json_object_get(of, name);
  if (strcmp(method, "POST") == 0) {
    *answer = json_incref(
        known != NULL ? known : put_object(kind, name, json_deep_copy(spec)));
    return known != NULL ? 409 : 201;
  }
  if (known == NULL)
    return 404;
  if (expected != 0 &&
      expected != json_integer_value(json_object_get(
                      json_object_get(known, "Metadata"), "Rev"))) {
    *answer = json_incref(known);
    return 409;
  }
  if (strcmp(method, "DELETE") == 0) {
    *answer = json_incref(known);
    remove_object(kind, name);
    return 200;
  }
  *answer = json_incref(put_object(kind, name, json_deep_copy(spec)));
  return 200;
}

static int store_answer(char *method, char *target, const Message *message,
                        json_t **answer) {
  char *query = strchr(target, '?');
  char *kind;
  char *name;
  const char *watch;
  const char *after;
  if (query != NULL)
    *query++ = '\0';
  if (strncmp(target, "/objects/", 9) != 0)
    return 404;
  kind = target + 9;
  name = strchr(kind, '/');
  if (name != NULL)
    *name++ = '\0';
  if (strcmp(method, "GET") != 0) {
    json_t *sent = message->size > 0
                       ? json_loadb(message->body, message->size, 0, NULL)
                       : NULL;
    int status = store_write(method, kind, name, query, sent, answer);
    json_decref(sent);
    return status;
  }
  if (name != NULL) {
    json_t *known = json_object_get(objects_of(kind), name);
    *answer = json_incref(known);
    return known != NULL ? 200 : 404;
  }
  watch = query != NULL ? strstr(query, "watch=") : NULL;
  if (watch != NULL) {
    const char *wait = strstr(query, "WaitMs=");
    *answer = watch_objects(kind, atoll(watch + 6),
                            wait != NULL ? atol(wait + 7) : 0);
    return 200;
  }
  after = query != NULL ? strstr(query, "after=") : NULL;
  *answer = list_objects(kind, after != NULL ? after + 6 : "");
  return 200;
}

static void *serve_store(void *data) {
  int fd = (int)(long)data;
  Input in;
  Message message;
  input_init(&in, fd);
  while (read_message(&in, &message, clock_s() + 300) && message.is_whole) {
    char method[16] = "";
    char target[1024] = "";
    json_t *answer = NULL;
    char *text;
    int status;
    int sent;
    sscanf(message.head, "%15s %1023s", method, target);
    sleep_s(STORE_ANSWER_MS / 1000.0);
    pthread_mutex_lock(&lock);
    status = store_answer(method, target, &message, &answer);
    text = answer != NULL ? json_dumps(answer, JSON_COMPACT) : strdup("{}");
    json_decref(answer);
    pthread_mutex_unlock(&lock);
    sent = send_text(fd,
                     "HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                     "Content-Length: %zu\r\n\r\n%s",
                     status, strlen(text), text);
    free(text);
    message_clear(&message);
    if (!sent)
      break;
  }
  message_clear(&message);
  input_clear(&in);
  close(fd);
  return NULL;
}

static void *accept_store(void *data) {
  int listener = (int)(long)data;
  for (;;) {
    int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
    int on = 1;
    if (fd < 0)
      continue;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    start_thread(serve_store, (void *)(long)fd);
  }
  return NULL;
}

static void start_store(void) {
  pthread_condattr_t attributes;
  int fd;
  pthread_condattr_init(&attributes);
  pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
  pthread_cond_init(&store_changed, &attributes);
  objects = json_object();
  store_port = free_port();
  fd = listen_at(store_port);
  if (fd < 0)
    cannot_run("store: no port");
  start_thread(accept_store, (void *)(long)fd);
}

/* }================================================================== */

/*
** {==================================================================
** Configuration, which the operator writes
** ===================================================================
*/

static json_t *route(const char *name, const char *kind, const char *service,
                     int attempts, int resumable, int timeout, int objective) {
  char prefix[64];
  snprintf(prefix, sizeof prefix, "/%s/", name);
  return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b, "
                   "s:i}",
                   "Name", name, "Host", HOST, "PathPrefix", prefix, "Kind",
                   kind, "TimeoutMs", timeout, "SloMs", objective, "Priority",
                   1, "Service", service, "Attempts", attempts, "Sticky", 1,
                   "Resumable", resumable, "GapTargetMs", 300);
}

static json_t *configuration(int version, int max_body, int timeout) {
  return json_pack(
      "{s:i, s:[o,o,o,o], s:[{s:s, s:s, s:i, s:s, s:b, "
      "s:{s:i, s:i, s:i, s:i, s:b, s:b, s:i, s:i, s:f, s:f, s:[{s:s}]}}, "
      "{s:s, s:s, s:i, s:s, s:b}], s:{s:i, s:i, s:i, s:i}}",
      "Version", version, "Routes",
      route("stream", "stream", "llm", 1, 0, 14000, 900),
      route("resume", "stream", "llm", 2, 1, 14000, 900),
      route("unsafe", "unsafe", "app", 1, 0, timeout, 150),
      route("safe", "safe", "app", 2, 0, timeout, 150), "Services", "Name",
      "llm", "HealthPath", "/healthz", "MaxConns", 370, "Proto", "h1", "Tls",
      0, "Engine", "Slots", 64, "KvTokens", 37745, "KvTokenBytes", 35136,
      "LinkMbps", 1100000, "Moves", 1, "Backups", 1, "Stride", 12, "most", 12,
      "KvHoldS", 0.5, "SwitchS", 6.0, "Models", "Name", "m", "Name", "app",
      "HealthPath", "/healthz", "MaxConns", 110, "Proto", "h1", "Tls", 0,
      "Limits", "MaxHeaderBytes", 16384, "MaxBodyBytes", max_body,
      "HeaderTimeoutMs", 3000, "IdleTimeoutMs", 15000);
}

/* Writes a version; returns when the store has acknowledged it. */
static double put_configuration(int version, int max_body, int timeout) {
  pthread_mutex_lock(&lock);
  put_object("config", "main", configuration(version, max_body, timeout));
  pthread_mutex_unlock(&lock);
  note("the store acknowledges configuration %d (MaxBodyBytes %d, TimeoutMs "
       "%d of the app's routes)",
       version, max_body, timeout);
  return now_s();
}

/* }================================================================== */

/*
** {==================================================================
** Workers
** ===================================================================
*/

#define WORKERS_MAX 32
#define LINKS_MAX 512

typedef struct Worker {
  const char *service, *stage, *zone; /* stage "": a plain service */
  char id[32];
  int port, listener;
  int links[LINKS_MAX]; /* open connections; -1: none */
  int running;
  int is_up;
  unsigned starts;
} Worker;

typedef struct WorkerLink {
  Worker *worker;
  int slot, fd;
  char id[32]; /* of the incarnation */
} WorkerLink;

static Worker workers[WORKERS_MAX];
static int workers_count;
static int stream_events = 68;
static double event_gap = 0.1;
static unsigned runs, prefills;

/* with the lock */
static void write_entry(const Worker *worker) {
  char address[32];
  json_t *spec;
  snprintf(address, sizeof address, "127.0.0.1:%d", worker->port);
  spec = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i}", "Service",
                   worker->service, "Addr", address, "Zone", worker->zone,
                   "Version", "v1", "Slots", worker->stage[0] ? 64 : 6,
                   "State", "ready", "ColdLeftMs", 0, "Seq", 1);
  if (worker->stage[0] != '\0') {
    json_object_set_new(spec, "Stage", json_string(worker->stage));
    json_object_set_new(spec, "Models",
                        json_pack("[{s:s, s:i, s:[]}]", "Name", "m", "Version",
                                  1, "Adapters"));
  }
  put_object("servers", worker->id, spec);
}

static int answer_plain(int fd, const char *request, const char *stamp,
                        int status, const char *more, const char *body) {
  return send_text(fd,
                   "HTTP/1.1 %d x\r\n%s%s%s%s%s%s%sContent-Length: "
                   "%zu\r\n\r\n%s",
                   status, request[0] ? "Request-Id: " : "", request,
                   request[0] ? "\r\n" : "", stamp[0] ? "Server-Stamp: " : "",
                   stamp, stamp[0] ? "\r\n" : "", more, strlen(body), body);
}

static int run_stream(const WorkerLink *link, const char *request,
                      const char *stamp, const Message *message) {
  char last[32];
  int i;
  if (!send_text(link->fd,
                 "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                 "Request-Id: %s\r\nServer-Stamp: %s\r\nWeight-Versions: 1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
                 request, stamp))
    return 0;
  field(message, "Last-Event-Id", last, sizeof last);
  for (i = atoi(last) + 1; i <= stream_events; i++) {
    char event[128];
    int n = snprintf(event, sizeof event, "id: %d\ndata: %s.%d\n\n", i,
                     request, i);
    sleep_s(event_gap);
    if (!send_text(link->fd, "%x\r\n%s\r\n", n, event))
      return 0;
  }
  return send_text(link->fd, "0\r\n\r\n");
}

static int answer_request(const WorkerLink *link, const Message *message) {
  Worker *worker = link->worker;
  char method[16] = "";
  char target[1024] = "";
  char request[300];
  char expected[64];
  char stage[32];
  char stamp[400];
  int done;
  sscanf(message->head, "%15s %1023s", method, target);
  field(message, "Request-Id", request, sizeof request);
  field(message, "Stage", stage, sizeof stage);
  if (strcmp(target, "/report") == 0) {
    char body[256];
    snprintf(body, sizeof body,
             "{\"Stage\":\"%s\",\"Models\":[],\"Busy\":false,\"Seq\":0,"
             "\"Queued\":0,\"Running\":%d,\"KvUsed\":0,\"KvTotal\":37745,"
             "\"KvHandles\":0}",
             worker->stage, worker->running);
    return answer_plain(link->fd, "", "", 200,
                        "Content-Type: application/json\r\n", body);
  }
  if (strcmp(target, "/order") == 0) /* another order is in progress */
    return answer_plain(link->fd, "", "", 409, "", "");
  if (strcmp(method, "DELETE") == 0)
    return answer_plain(link->fd, "", "", 200, "", "");
  if (field(message, "Expect-Instance", expected, sizeof expected) &&
      strcmp(expected, link->id) != 0)
    return answer_plain(link->fd, request, "", 421, "Not-Run: 1\r\n", "");
  if (strcmp(stage, "prefill") == 0 || strcmp(worker->stage, "prefill") == 0) {
    char body[128];
    if (strcmp(worker->stage, "prefill") != 0 || stage[0] == '\0')
      return answer_plain(link->fd, request, "", 421, "Not-Run: 1\r\n", "");
    pthread_mutex_lock(&lock);
    prefills++;
    worker->running++;
    pthread_mutex_unlock(&lock);
    sleep_s(0.1);
    pthread_mutex_lock(&lock);
    worker->running--;
    pthread_mutex_unlock(&lock);
    snprintf(body, sizeof body,
             "{\"KvHandle\":\"%08x%04x\",\"Tokens\":1000,\"Version\":1}",
             random_number(), random_number() & 0xffff);
    return answer_plain(link->fd, request, "", 200,
                        "Content-Type: application/json\r\n", body);
  }
  note("worker %s runs %s %s %s", link->id, request, method, target);
  snprintf(stamp, sizeof stamp, "%s.%s", link->id, request);
  pthread_mutex_lock(&lock);
  runs++;
  worker->running++;
  pthread_mutex_unlock(&lock);
  if (worker->stage[0] != '\0')
    done = run_stream(link, request, stamp, message);
  else {
    char body[900];
    memset(body, 'x', 800);
    body[800] = '\0';
    sleep_s(0.06 + 0.06 * random_share());
    done = answer_plain(link->fd, request, stamp, 200,
                        "Keep-Alive: timeout=5\r\n", body);
  }
  pthread_mutex_lock(&lock);
  worker->running--;
  pthread_mutex_unlock(&lock);
  return done;
}

static void *serve_worker(void *data) {
  WorkerLink *link = data;
  Input in;
  Message message = {0};
  input_init(&in, link->fd);
  while (read_message(&in, &message, clock_s() + 5) && message.is_whole) {
    int done = answer_request(link, &message);
    message_clear(&message);
    if (!done)
      break;
  }
  message_clear(&message);
  input_clear(&in);
  pthread_mutex_lock(&lock);
  if (link->worker->links[link->slot] == link->fd)
    link->worker->links[link->slot] = -1;
  pthread_mutex_unlock(&lock);
  close(link->fd);
  free(link);
  return NULL;
}

static void *accept_worker(void *data) {
  Worker *worker = data;
  int listener = worker->listener;
  for (;;) {
    int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
    WorkerLink *link;
    int slot = 0;
    int on = 1;
    if (fd < 0)
      return NULL; /* it has crashed */
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    pthread_mutex_lock(&lock);
    while (slot < LINKS_MAX && worker->links[slot] >= 0)
      slot++;
    if (!worker->is_up || listener != worker->listener || slot == LINKS_MAX) {
      pthread_mutex_unlock(&lock);
      close(fd);
      continue;
    }
    worker->links[slot] = fd;
    link = calloc(1, sizeof *link);
    link->worker = worker;
    link->slot = slot;
    link->fd = fd;
    memcpy(link->id, worker->id, sizeof link->id);
    pthread_mutex_unlock(&lock);
    start_thread(serve_worker, link);
  }
}

/* A new incarnation with a new id; with the lock. */
static void start_worker(Worker *worker) {
  int i;
  for (i = 0; i < 100; i++) {
    worker->listener = listen_at(worker->port);
    if (worker->listener >= 0)
      break;
    usleep(20000);
  }
  if (worker->listener < 0)
    cannot_run("worker: no port");
  snprintf(worker->id, sizeof worker->id, "i-%08x", random_number());
  worker->is_up = 1;
  worker->starts++;
  write_entry(worker);
  start_thread(accept_worker, worker);
}

static void add_worker(const char *service, const char *stage) {
  static const char *const zones[] = {"wien-a", "wien-b", "linz-c"};
  Worker *worker = &workers[workers_count];
  int i;
  worker->service = service;
  worker->stage = stage;
  worker->zone = zones[workers_count % 3];
  worker->port = free_port();
  workers_count++;
  for (i = 0; i < LINKS_MAX; i++)
    worker->links[i] = -1;
  pthread_mutex_lock(&lock);
  start_worker(worker);
  pthread_mutex_unlock(&lock);
}

typedef struct Crash {
  Worker *worker;
  char id[32];
  double down;
} Crash;

/* The entry goes after three heartbeats of silence. */
static void *after_crash(void *data) {
  Crash *crash = data;
  sleep_s(crash->down);
  pthread_mutex_lock(&lock);
  start_worker(crash->worker);
  note("worker %s starts in the place of %s", crash->worker->id, crash->id);
  pthread_mutex_unlock(&lock);
  sleep_s(3 * HEARTBEAT_S - crash->down);
  pthread_mutex_lock(&lock);
  remove_object("servers", crash->id);
  pthread_mutex_unlock(&lock);
  free(crash);
  return NULL;
}

/* The worker's process ends: its connections are reset. With the lock. */
static void crash_worker(Worker *worker, double down) {
  struct linger reset = {1, 0};
  Crash *crash = calloc(1, sizeof *crash);
  int i;
  worker->is_up = 0;
  shutdown(worker->listener, SHUT_RDWR);
  close(worker->listener);
  worker->listener = -1;
  for (i = 0; i < LINKS_MAX; i++) {
    int fd = worker->links[i];
    if (fd < 0)
      continue;
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    /* the thread's next call fails and closes it, which resets it */
    shutdown(fd, SHUT_RD);
    {
      struct sockaddr none;
      memset(&none, 0, sizeof none);
      none.sa_family = AF_UNSPEC;
      connect(fd, &none, sizeof none); /* resets it at once */
    }
    worker->links[i] = -1;
  }
  crash->worker = worker;
  crash->down = down;
  memcpy(crash->id, worker->id, sizeof crash->id);
  note("worker %s (%s %s) crashes, running %d", worker->id, worker->service,
       worker->stage, worker->running);
  start_thread(after_crash, crash);
}

/* }================================================================== */

/*
** {==================================================================
** Instances and the balancer
** ===================================================================
*/

#define INSTANCES_MAX 9

typedef struct Instance {
  char name[32];
  const char *zone;
  int callers, ready, control, metrics, exchange;
  pid_t pid;
  int misses; /* of the balancer's questions in a row */
} Instance;

static Instance instances[INSTANCES_MAX];
static int instances_count;

static void write_settings(const Instance *instance, char *path, size_t size) {
  FILE *file;
  snprintf(path, size, "%s/%s.yaml", folder, instance->name);
  file = fopen(path, "w");
  if (file == NULL)
    cannot_run("settings");
  fprintf(file,
          "dialect: platform\ninstance: %s\ndata_centre: %s\n"
          "callers: 127.0.0.1:%d\nready: 127.0.0.1:%d\n"
          "control: 127.0.0.1:%d\nmetrics: 127.0.0.1:%d\n"
          "exchange: 127.0.0.1:%d\nplatform: 127.0.0.1:%d\n"
          "peers: [127.0.0.1:%d,127.0.0.1:%d]\n"
          "retry_ratio: 0.2\nretry_slack: 58\nretry_window_s: 10\n"
          "lease_ms: 3000\ncontact_ms: 3000\napply_ms: 2000\nleave_ms: 2000\n"
          "grace_s: 8\nprocessor_share: 0.25\nlink_mbps: 1000.0\n"
          "memory_mb: 110\nmemory_share: 0.25\noverload_control: true\n"
          "log_level: info\n",
          instance->name, instance->zone, instance->callers, instance->ready,
          instance->control, instance->metrics, instance->exchange, store_port,
          instances[0].control, instances[instances_count - 1].control);
  fclose(file);
}

static void start_instance(Instance *instance) {
  char path[512];
  char log[512];
  write_settings(instance, path, sizeof path);
  snprintf(log, sizeof log, "%s/%s.log", folder, instance->name);
  instance->pid = fork();
  if (instance->pid == 0) {
    int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* if this process ends early */
    dup2(fd, 1);
    dup2(fd, 2);
    execl(daemon_path, daemon_path, path, (char *)NULL);
    _exit(127);
  }
  if (instance->pid < 0)
    cannot_run("fork");
}

static int is_ready(const Instance *instance) {
  int fd = connect_to(instance->ready);
  Input in;
  Message message = {0};
  int ready = 0;
  if (fd < 0)
    return 0;
  input_init(&in, fd);
  if (send_text(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
      read_message(&in, &message, clock_s() + 1))
    ready = strncmp(message.head, "HTTP/1.1 200", 12) == 0;
  message_clear(&message);
  input_clear(&in);
  close(fd);
  return ready;
}

static void *balance(void *data) {
  (void)data;
  while (!is_over) {
    int i;
    for (i = 0; i < instances_count; i++)
      instances[i].misses =
          is_ready(&instances[i]) ? 0 : instances[i].misses + 1;
    sleep_s(1);
  }
  return NULL;
}

/* An instance that is in; if fewer than half are, any one. */
static Instance *choose_instance(void) {
  int in = 0;
  int i;
  for (i = 0; i < instances_count; i++)
    in += instances[i].misses < 2;
  for (;;) {
    Instance *one = &instances[random_number() % (unsigned)instances_count];
    if (2 * in < instances_count || one->misses < 2)
      return one;
  }
}

static void start_instances(int count) {
  static const char *const zones[] = {"wien-a", "wien-b", "linz-c"};
  int i;
  instances_count = count;
  for (i = 0; i < count; i++) {
    Instance *one = &instances[i];
    snprintf(one->name, sizeof one->name, "edge-%s-%d", zones[i % 3],
             i / 3 + 1);
    one->zone = zones[i % 3];
    one->callers = free_port();
    one->ready = free_port();
    one->control = free_port();
    one->metrics = free_port();
    one->exchange = free_port();
  }
  for (i = 0; i < count; i++)
    start_instance(&instances[i]);
}

static void end_instances(void) {
  int i;
  for (i = 0; i < instances_count; i++) {
    if (instances[i].pid > 0) {
      kill(instances[i].pid, SIGKILL);
      waitpid(instances[i].pid, NULL, 0);
    }
    instances[i].pid = 0;
  }
}

static void cannot_run(const char *why) {
  fprintf(stderr, "the case could not run: %s\n", why);
  end_instances();
  _exit(2);
}

/* }================================================================== */

/*
** {==================================================================
** Clients
** ===================================================================
*/

typedef struct Sent {
  double at; /* of the first attempt */
  int is_served;
  int last; /* status of the last attempt; 0: none */
} Sent;

#define SENT_MAX 20000
static Sent sent[SENT_MAX];
static int sent_count;

typedef struct Ask {
  Sent *sent;
  char method[8];
  char target[64];
  char fields[400];
  char body[64];
  double deadline_s;
  int is_repeatable;
} Ask;

/* One attempt on a new connection; returns the status, 0: no answer. */
static int attempt(const Ask *ask, double left, double *retry_after) {
  Instance *to = choose_instance();
  char id[32];
  char value[64];
  Input in;
  Message message = {0};
  int status = 0;
  int fd = connect_to(to->callers);
  *retry_after = 0;
  snprintf(id, sizeof id, "%08x%08x", random_number(), random_number());
  note("client sends %s %s %s to %s", id, ask->method, ask->target, to->name);
  if (fd < 0)
    return 0;
  input_init(&in, fd);
  if (send_text(fd,
                "%s %s HTTP/1.1\r\nHost: " HOST "\r\nRequest-Id: %s\r\n%s"
                "Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
                ask->method, ask->target, id, ask->fields, (int)(left * 1000),
                strlen(ask->body), ask->body) &&
      read_message(&in, &message, clock_s() + left)) {
    status = atoi(message.head + 9);
    if (field(&message, "Retry-After", value, sizeof value))
      *retry_after = atof(value);
    if (status == 200 && !message.is_whole)
      status = -200; /* cut in the answer */
    note("client of %s gets %d%s%s%s%.70s", id, status,
         value[0] ? " Retry-After " : "", value[0] ? value : "",
         status != 200 && message.body != NULL ? " " : "",
         status != 200 && message.body != NULL && message.body[0] == '{'
             ? message.body
             : "");
  } else
    note("client of %s gets no answer", id);
  message_clear(&message);
  input_clear(&in);
  close(fd);
  return status;
}

/* A client's request: one retry within its deadline, as PROTOCOL.md says. */
static void *ask_thread(void *data) {
  Ask *ask = data;
  double begin = clock_s();
  int tries;
  for (tries = 0; tries < 2; tries++) {
    double left = ask->deadline_s - (clock_s() - begin);
    double wait;
    int status;
    if (left <= 0.05)
      break;
    status = attempt(ask, left, &wait);
    ask->sent->last = status;
    if (status == 200) {
      ask->sent->is_served = 1;
      break;
    }
    if (status == 400 || status == 401 || status == 404 || status == 413 ||
        status == 431)
      break;
    if (!ask->is_repeatable && status != 503 && status != 429)
      break;
    left = ask->deadline_s - (clock_s() - begin);
    sleep_s(wait < left / 3 ? wait : left / 3);
  }
  free(ask);
  return NULL;
}

static void send_request(const Ask *like) {
  Ask *ask = malloc(sizeof *ask);
  *ask = *like;
  pthread_mutex_lock(&lock);
  if (sent_count == SENT_MAX)
    cannot_run("too many requests");
  ask->sent = &sent[sent_count++];
  ask->sent->at = now_s();
  pthread_mutex_unlock(&lock);
  start_thread(ask_thread, ask);
}

/* Share of the requests sent in this time that were served. */
static double served_share(double from, double until, int *count) {
  int served = 0;
  int i;
  *count = 0;
  for (i = 0; i < sent_count; i++) {
    if (sent[i].at < from || sent[i].at >= until)
      continue;
    (*count)++;
    served += sent[i].is_served;
  }
  return *count > 0 ? (double)served / *count : 0;
}

/* }================================================================== */

static void start_deployment(int count) {
  double until;
  start_instances(count);
  start_thread(balance, NULL);
  until = clock_s() + LEAD_S;
  while (clock_s() < until) {
    int i;
    int status;
    for (i = 0; i < count; i++) {
      if (waitpid(instances[i].pid, &status, WNOHANG) != 0)
        cannot_run("an instance has ended at its start");
    }
    sleep_s(0.1);
  }
  {
    int i;
    for (i = 0; i < count; i++) {
      if (!is_ready(&instances[i]))
        cannot_run("an instance is not ready");
    }
  }
  began = clock_s();
  note("traffic begins");
}

/* The final fault: right after a configuration was acknowledged all processes
** of the system are killed; they start again 'down' seconds later. Returns
** when they are back. */
static double final_fault(double down) {
  put_configuration(2, 4194304, 1300);
  end_instances();
  note("final fault: all processes of the system are killed");
  sleep_s(down);
  {
    int i;
    for (i = 0; i < instances_count; i++)
      start_instance(&instances[i]);
  }
  note("the machines are back");
  return now_s();
}

static int verdict(const char *rule, int is_broken, const char *format, ...) {
  va_list arguments;
  char text[512];
  va_start(arguments, format);
  vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  note("%s %s: %s", rule, is_broken ? "is BROKEN" : "holds", text);
  printf("%s %s: %s\n", rule, is_broken ? "is BROKEN" : "holds", text);
  return is_broken;
}

/* RECOVER as written. Before the final fault a quarter or more was served;
** of what was sent later than RecoverS after the machines were back, less
** than a quarter. */
static int judge_recover(double fault, double back, double end) {
  int before;
  int after;
  double share_before = served_share(0, fault, &before);
  double share_after = served_share(back + RECOVER_S, end, &after);
  if (before < 50 || after < 20)
    cannot_run("too few requests");
  return verdict("RECOVER", share_before >= 0.25 && share_after < 0.25,
                 "served %.3f of %d requests sent before the final fault, "
                 "%.3f of %d sent more than RecoverS after the machines were "
                 "back; the store took %u writes of quarantine objects and "
                 "refused %u of %u writes with 429",
                 share_before, before, share_after, after, quarantine_writes,
                 refused_writes, writes);
}

typedef struct Traffic {
  double until, rate;
  void (*send)(void);
} Traffic;

static void *run_traffic(void *data) {
  const Traffic *traffic = data;
  double next = now_s();
  while (now_s() < traffic->until) {
    traffic->send();
    next += (0.5 + random_share()) / traffic->rate;
    sleep_until(next);
  }
  return NULL;
}

/*
** {==================================================================
** Case "part": all prompts begin with the same part; all engines crash once
** ===================================================================
*/

static void send_prompt(void) {
  Ask ask;
  memset(&ask, 0, sizeof ask);
  strcpy(ask.method, "POST");
  ask.is_repeatable = random_number() % 2;
  snprintf(ask.target, sizeof ask.target, "/%s/%x",
           ask.is_repeatable ? "resume" : "stream", random_number() & 0xfff);
  snprintf(ask.fields, sizeof ask.fields,
           "Model: m\r\nToken-Count: 1000,480\r\n"
           "Prompt-Prefix: 5c1e07a2:200,%08x:800\r\n",
           random_number());
  snprintf(ask.body, sizeof ask.body, "%08x%08x", random_number(),
           random_number());
  ask.deadline_s = 14;
  send_request(&ask);
}

static int case_part(void) {
  Traffic traffic = {56, 3, send_prompt};
  double fault = 28;
  double back = 29;
  int i;
  for (i = 0; i < 8; i++)
    add_worker("llm", "decode");
  for (i = 0; i < 4; i++)
    add_worker("llm", "prefill");
  for (i = 0; i < 3; i++)
    add_worker("app", "");
  start_deployment(9);
  start_thread(run_traffic, &traffic);
  sleep_until(22);
  if (trouble & 1) {
    pthread_mutex_lock(&lock);
    for (i = 0; i < workers_count; i++) {
      if (strcmp(workers[i].service, "llm") == 0)
        crash_worker(&workers[i], 2);
    }
    pthread_mutex_unlock(&lock);
  }
  sleep_until(28);
  if (trouble & 2) {
    fault = now_s();
    back = final_fault(1);
  }
  sleep_until(traffic.until + 9);
  return judge_recover(fault, back, traffic.until);
}

/* }================================================================== */

/*
** {==================================================================
** Case "equal": many clients send the same safe request; 5 of 20 workers crash
** ===================================================================
*/

static void send_equal(void) {
  Ask ask;
  memset(&ask, 0, sizeof ask);
  strcpy(ask.method, "GET");
  strcpy(ask.target, "/safe/2f");
  ask.deadline_s = 2.5;
  ask.is_repeatable = 1;
  if (random_number() % 10 == 0) { /* some others */
    strcpy(ask.method, "POST");
    snprintf(ask.target, sizeof ask.target, "/unsafe/%x", random_number());
    ask.is_repeatable = 0;
  }
  send_request(&ask);
}

/* a quarter of the workers */
#define EQUAL_CRASHES 5

static int case_equal(void) {
  Traffic traffic = {44, 60, send_equal};
  double fault = 20;
  double back = 21;
  int i;
  for (i = 0; i < 20; i++)
    add_worker("app", "");
  start_deployment(9);
  start_thread(run_traffic, &traffic);
  sleep_until(12);
  if (trouble & 1) {
    double limit = now_s() + 5;
    int busy[WORKERS_MAX];
    int count = 0;
    while (count < EQUAL_CRASHES && now_s() < limit) {
      pthread_mutex_lock(&lock);
      count = 0;
      for (i = 0; i < workers_count && count < EQUAL_CRASHES; i++) {
        if (workers[i].running > 0)
          busy[count++] = i;
      }
      if (count == EQUAL_CRASHES) {
        for (i = 0; i < EQUAL_CRASHES; i++)
          crash_worker(&workers[busy[i]], 2);
      }
      pthread_mutex_unlock(&lock);
      usleep(500);
    }
    if (count < EQUAL_CRASHES)
      cannot_run("too few workers are busy");
  }
  sleep_until(20);
  if (trouble & 2) {
    fault = now_s();
    back = final_fault(1);
  }
  sleep_until(traffic.until + 3);
  return judge_recover(fault, back, traffic.until);
}

/* }================================================================== */

/*
** {==================================================================
** Case "limits": a configuration raises MaxBodyBytes; clients keep connections
** ===================================================================
*/

#define KEPT_CLIENTS 30
#define BODY_SMALL 600
#define BODY_LARGE (2 << 20)

typedef struct Kept {
  int fd;
  Input in;
  Instance *to;
  int opened;
} Kept;

/* Sends a request with a body of this size on the kept connection, which is
** opened if there is none. Returns the status. */
static int ask_kept(Kept *kept, size_t size) {
  char id[32];
  char value[64] = "";
  char *body = malloc(size);
  Message message = {0};
  int status = 0;
  if (kept->fd < 0) {
    kept->to = choose_instance();
    kept->fd = connect_to(kept->to->callers);
    input_init(&kept->in, kept->fd);
    kept->opened++;
  }
  memset(body, 'b', size);
  snprintf(id, sizeof id, "%08x%08x", random_number(), random_number());
  note("client sends %s POST /unsafe/2f with %zu bytes to %s on its "
       "connection no. %d",
       id, size, kept->to->name, kept->opened);
  if (kept->fd >= 0 && send_text(kept->fd,
                                 "POST /unsafe/2f HTTP/1.1\r\nHost: " HOST
                                 "\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\n"
                                 "Content-Length: %zu\r\n\r\n",
                                 id, size)) {
    send_all(kept->fd, body, size);
    if (read_message(&kept->in, &message, clock_s() + 2.5)) {
      status = atoi(message.head + 9);
      field(&message, "Connection", value, sizeof value);
    }
  }
  note("client of %s gets %d%s%.70s", id, status,
       status != 200 && message.body != NULL ? " " : "",
       status != 200 && message.body != NULL ? message.body : "");
  if (status == 0 || strcasecmp(value, "close") == 0) {
    close(kept->fd);
    input_clear(&kept->in);
    kept->fd = -1;
  }
  message_clear(&message);
  free(body);
  return status;
}

static int case_limits(void) {
  static Kept kept[KEPT_CLIENTS];
  const int large_limit = 4194304;
  double acknowledged;
  int wrong = 0;
  int sent_all = 0;
  int late = 0;
  int i;
  for (i = 0; i < 3; i++)
    add_worker("app", "");
  start_deployment(9);
  for (i = 0; i < KEPT_CLIENTS; i++) {
    kept[i].fd = -1;
    if (ask_kept(&kept[i], BODY_SMALL) != 200)
      cannot_run("a small request is not served");
    sent_all++;
  }
  sleep_until(4);
  acknowledged = now_s();
  if (trouble & 1)
    acknowledged = put_configuration(3, large_limit, 1200);
  /* the clients go on using their connections, which rest for 4 s at most */
  sleep_until(acknowledged + 2 * APPLY_S);
  for (i = 0; i < KEPT_CLIENTS; i++) {
    int status = ask_kept(&kept[i], BODY_LARGE);
    sent_all++;
    late++;
    wrong += status == 413 || status == 431;
  }
  for (i = 0; i < instances_count; i++) {
    if (!is_ready(&instances[i]))
      cannot_run("an instance was disturbed");
  }
  return verdict(
      "CONFIG", wrong > 5 + sent_all / 500,
      "of %d requests with %d bytes sent %.1f s and more after version 3 was "
      "acknowledged, which allows %d, %d got 413, as only version 1 would",
      late, BODY_LARGE, 2 * APPLY_S, large_limit, wrong);
}

/* }================================================================== */

int main(int argc, char **argv) {
  char path[512];
  int result;
  if (argc != 5) {
    fprintf(stderr, "usage: stand CASE TROUBLE DAEMON FOLDER\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  random_state += (unsigned long long)time(NULL) * 1000003 + getpid();
  trouble = atoi(argv[2]) == 1 ? 3 : atoi(argv[2]) >> 1;
  daemon_path = argv[3];
  folder = getenv("STAND_FOLDER");
  began = clock_s();
  snprintf(path, sizeof path, "%s/record.txt", argv[4]);
  record = fopen(path, "w");
  if (record == NULL || folder == NULL) {
    fprintf(stderr, "no record, or no STAND_FOLDER\n");
    return 2;
  }
  start_store();
  put_configuration(
      1, strcmp(argv[1], "limits") == 0 && trouble != 0 ? 1048576 : 4194304,
      1200);
  if (strcmp(argv[1], "part") == 0)
    result = case_part();
  else if (strcmp(argv[1], "equal") == 0)
    result = case_equal();
  else if (strcmp(argv[1], "limits") == 0)
    result = case_limits();
  else
    result = 2;
  is_over = 1;
  end_instances();
  fflush(NULL);
  _exit(result);
}
