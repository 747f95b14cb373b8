/*
** scenario.c
** Runs one scenario: a Lua script over real processes on loopback
**
**   scenario BUILD-FOLDER SCRIPT.lua
**
** Gives the script a few primitives; test/scenario/lib/world.lua makes the
** verbs of it. Everything that was started is ended when the script ends.
** Exit code 0 when it ran through.
*/

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <event2/event.h>
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>

#include "test/kept.h"
#include "io/http.h"

#define MAXPROCS 128
#define MAXWORDS 32

typedef struct Call {
  HttpCall *http;
  GString *body;
  GString *headers;
  int status;
  int done;
  HttpEnd end;
} Call;

static struct event_base *base;
static pid_t procs[MAXPROCS];
static int nprocs;

/*
** {==================================================================
** Processes
** ===================================================================
*/

/* spawn(out-file, program, argument...) -> pid */
static int l_spawn(lua_State *L) {
  const char *out = luaL_checkstring(L, 1);
  int n = lua_gettop(L) - 1;
  char *argv[MAXWORDS + 1];
  posix_spawn_file_actions_t fa;
  pid_t pid;
  int i;
  luaL_argcheck(L, n > 0 && n <= MAXWORDS && nprocs < MAXPROCS, 2,
                "too many words or processes");
  for (i = 0; i < n; i++)
    argv[i] = (char *)luaL_checkstring(L, i + 2);
  argv[n] = NULL;
  posix_spawn_file_actions_init(&fa);
  posix_spawn_file_actions_addopen(&fa, 1, out, O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  posix_spawn_file_actions_adddup2(&fa, 1, 2);
  /* a process that inherits a caller's socket keeps the connection open after
  ** the caller has closed it */
  posix_spawn_file_actions_addclosefrom_np(&fa, 3);
  if (posix_spawn(&pid, argv[0], &fa, NULL, argv, environ) != 0)
    return luaL_error(L, "cannot start %s", argv[0]);
  posix_spawn_file_actions_destroy(&fa);
  procs[nprocs++] = pid;
  lua_pushinteger(L, pid);
  return 1;
}

static int l_signal(lua_State *L) {
  lua_pushboolean(L, kill((pid_t)luaL_checkinteger(L, 1),
                          (int)luaL_checkinteger(L, 2)) == 0);
  return 1;
}

static void forget(pid_t pid) {
  int i;
  for (i = 0; i < nprocs; i++) {
    if (procs[i] == pid)
      procs[i] = procs[--nprocs];
  }
}

/* reap(pid) -> exit code, or nil while it runs; a signal counts as -N */
static int l_reap(lua_State *L) {
  pid_t pid = (pid_t)luaL_checkinteger(L, 1);
  int st;
  if (waitpid(pid, &st, WNOHANG) != pid)
    return 0;
  forget(pid);
  lua_pushinteger(L, WIFEXITED(st) ? WEXITSTATUS(st) : -WTERMSIG(st));
  return 1;
}

static void endall(void) {
  int i;
  for (i = 0; i < nprocs; i++) {
    kill(procs[i], SIGCONT);
    kill(procs[i], SIGKILL);
    waitpid(procs[i], NULL, 0);
  }
  nprocs = 0;
}

/* }================================================================== */

/*
** {==================================================================
** Network
** ===================================================================
*/

static int bindable(int type, uint16_t port) {
  struct sockaddr_in sa = {0};
  int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  int ok;
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  sa.sin_port = htons(port);
  ok = fd >= 0 && bind(fd, (struct sockaddr *)&sa, sizeof sa) == 0;
  close(fd);
  return ok;
}

/* ports from which freeport gives: a block for each process, below the
** range from which connections get theirs. Two runs of closing_matrix.lua,
** which needs more than 100, collided in neighbouring blocks of 100. */
#define FIRST_PORT 10240
#define BLOCKS 100
#define BLOCK_SIZE 200

/* Takes a block for this process alone, until it ends: the abstract address of
** a local socket, which is bound here and never closed, is the lock. Returns
** 0 if another process has the block. */
static int lock_block(unsigned block) {
  struct sockaddr_un address = {0};
  int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int length;
  address.sun_family = AF_UNIX;
  length = snprintf(address.sun_path + 1, sizeof address.sun_path - 1,
                    "madderpier-scenario-ports-%u", block);
  length += (int)offsetof(struct sockaddr_un, sun_path) + 1;
  if (fd >= 0 && bind(fd, (struct sockaddr *)&address, (socklen_t)length) == 0)
    return 1;
  close(fd);
  return 0;
}

/* Returns a block that no process has yet, this one included; BLOCKS if there
** is none. */
static unsigned take_block(void) {
  unsigned first = (unsigned)getpid() % BLOCKS;
  unsigned i;
  for (i = 0; i < BLOCKS; i++)
    if (lock_block((first + i) % BLOCKS))
      return (first + i) % BLOCKS;
  return BLOCKS;
}

/*
** freeport() -> a port that nobody uses now, for TCP and UDP, and that was
** not given before. One out of the range of connections could be taken by
** one of those between this look and the process that binds it; scripts
** that run side by side give from blocks of their own.
*/
static int l_freeport(lua_State *L) {
  static unsigned given = BLOCK_SIZE; /* ports of 'block' */
  static unsigned block;
  for (;;) {
    uint16_t port;
    if (given == BLOCK_SIZE) {
      block = take_block();
      given = 0;
    }
    if (block == BLOCKS)
      return luaL_error(L, "no free port");
    port = (uint16_t)(FIRST_PORT + block * BLOCK_SIZE + given++);
    if (!bindable(SOCK_STREAM, port) || !bindable(SOCK_DGRAM, port))
      continue;
    lua_pushinteger(L, port);
    return 1;
  }
}

static struct sockaddr_in loopback(lua_State *L, int arg) {
  struct sockaddr_in sa = {0};
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  sa.sin_port = htons((uint16_t)luaL_checkinteger(L, arg));
  return sa;
}

/* datagram(port, bytes) */
static int l_datagram(lua_State *L) {
  struct sockaddr_in sa = loopback(L, 1);
  size_t n;
  const char *s = luaL_checklstring(L, 2, &n);
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  (void)sendto(fd, s, n, 0, (struct sockaddr *)&sa, sizeof sa);
  close(fd);
  return 0;
}

/*
** raw(port, bytes [, milliseconds]) -> all that comes back until the other
** side closes, or nothing came for that long
*/
static int l_raw(lua_State *L) {
  struct sockaddr_in sa = loopback(L, 1);
  size_t n;
  const char *s = luaL_checklstring(L, 2, &n);
  int ms = (int)luaL_optinteger(L, 3, 3000);
  struct timeval t = {ms / 1000, (suseconds_t)(ms % 1000) * 1000};
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  luaL_Buffer b;
  char in[4096];
  ssize_t k;
  luaL_buffinit(L, &b);
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
  if (connect(fd, (struct sockaddr *)&sa, sizeof sa) == 0) {
    (void)send(fd, s, n, MSG_NOSIGNAL);
    while ((k = recv(fd, in, sizeof in, 0)) > 0)
      luaL_addlstring(&b, in, (size_t)k);
  }
  close(fd);
  luaL_pushresult(&b);
  return 1;
}

static void onhead(void *ud, int status, struct evkeyvalq *h) {
  Call *c = ud;
  struct evkeyval *kv;
  c->status = status;
  TAILQ_FOREACH(kv, h, next)
  g_string_append_printf(c->headers, "%s: %s\n", kv->key, kv->value);
}

static void ondata(void *ud, const char *s, size_t n) {
  g_string_append_len(((Call *)ud)->body, s, (gssize)n);
}

static void onend(void *ud, HttpEnd end, int status) {
  Call *c = ud;
  c->http = NULL;
  c->done = 1;
  c->end = end;
  c->status = end == HTTP_END_OK ? status : c->status;
}

static enum evhttp_cmd_type method_of(const char *name) {
  if (strcmp(name, "GET") == 0)
    return EVHTTP_REQ_GET;
  if (strcmp(name, "PUT") == 0)
    return EVHTTP_REQ_PUT;
  return strcmp(name, "DELETE") == 0 ? EVHTTP_REQ_DELETE : EVHTTP_REQ_POST;
}

/* http(method, port, path, {header = value}, body) -> call */
static int l_http(lua_State *L) {
  static const HttpHooks hooks = {onhead, ondata, onend};
  const char *method = luaL_checkstring(L, 1);
  mp_Addr to =
      (mp_Addr)INADDR_LOOPBACK << 16 | (uint16_t)luaL_checkinteger(L, 2);
  const char *path = luaL_checkstring(L, 3);
  size_t n = 0;
  const char *body = luaL_optlstring(L, 5, "", &n);
  HttpHeader h[16] = {{NULL, NULL}};
  int k = 0;
  Call *c = lua_newuserdatauv(L, sizeof *c, 0);
  memset(c, 0, sizeof *c);
  luaL_setmetatable(L, "call");
  c->body = g_string_new(NULL);
  c->headers = g_string_new(NULL);
  if (lua_istable(L, 4)) {
    lua_pushnil(L);
    while (lua_next(L, 4) != 0 && k < 15) {
      h[k].name = lua_tostring(L, -2);
      h[k].value = lua_tostring(L, -1);
      h[++k].name = NULL;
      lua_pop(L, 1);
    }
  }
  c->http =
      http_call(base, to, method_of(method), path, h, body, n, &hooks, c);
  if (c->http == NULL)
    c->done = 1;
  return 1;
}

/* call:get() -> done, status, body, headers, ended well */
static int c_get(lua_State *L) {
  const Call *c = luaL_checkudata(L, 1, "call");
  lua_pushboolean(L, c->done);
  lua_pushinteger(L, c->status);
  lua_pushlstring(L, c->body->str, c->body->len);
  lua_pushlstring(L, c->headers->str, c->headers->len);
  lua_pushboolean(L, c->done && c->end == HTTP_END_OK);
  return 5;
}

/* call:hangup() */
static int c_hangup(lua_State *L) {
  Call *c = luaL_checkudata(L, 1, "call");
  if (c->http != NULL)
    http_abort(c->http);
  c->http = NULL;
  c->done = 1;
  return 0;
}

static int c_gc(lua_State *L) {
  Call *c = luaL_checkudata(L, 1, "call");
  c_hangup(L);
  g_string_free(c->body, TRUE);
  g_string_free(c->headers, TRUE);
  return 0;
}

/* pump(milliseconds): let calls go on */
static int l_pump(lua_State *L) {
  lua_Integer ms = luaL_checkinteger(L, 1);
  struct timeval t = {ms / 1000, (ms % 1000) * 1000};
  event_base_loopexit(base, &t);
  event_base_dispatch(base);
  return 0;
}

/* now(): milliseconds of a steady clock */
static int l_now(lua_State *L) {
  lua_pushinteger(L, g_get_monotonic_time() / 1000);
  return 1;
}

/* }================================================================== */

static int l_mkdir(lua_State *L) {
  lua_pushboolean(L, mkdir(luaL_checkstring(L, 1), 0700) == 0);
  return 1;
}

/* open_files(pid) -> the number of descriptors that the process has open */
static int l_open_files(lua_State *L) {
  char path[32];
  GDir *dir;
  lua_Integer count = 0;
  g_snprintf(path, sizeof path, "/proc/%d/fd", (int)luaL_checkinteger(L, 1));
  dir = g_dir_open(path, 0, NULL);
  while (dir != NULL && g_dir_read_name(dir) != NULL)
    count++;
  if (dir != NULL)
    g_dir_close(dir);
  lua_pushinteger(L, count);
  return 1;
}

static const luaL_Reg primitives[] = {{"spawn", l_spawn},
                                      {"signal", l_signal},
                                      {"reap", l_reap},
                                      {"freeport", l_freeport},
                                      {"datagram", l_datagram},
                                      {"raw", l_raw},
                                      {"http", l_http},
                                      {"pump", l_pump},
                                      {"now", l_now},
                                      {"mkdir", l_mkdir},
                                      {"open_files", l_open_files},
                                      {NULL, NULL}};

static const luaL_Reg callmethods[] = {
    {"get", c_get}, {"hangup", c_hangup}, {NULL, NULL}};

static void library(lua_State *L, const char *build, const char *dir) {
  luaL_openlibs(L);
  luaL_newmetatable(L, "call");
  luaL_newlib(L, callmethods);
  lua_setfield(L, -2, "__index");
  lua_pushcfunction(L, c_gc);
  lua_setfield(L, -2, "__gc");
  lua_pop(L, 1);
  luaL_newlib(L, primitives);
  kept_open(L, base);
  lua_pushstring(L, build);
  lua_setfield(L, -2, "build");
  lua_pushstring(L, dir);
  lua_setfield(L, -2, "dir");
  lua_setglobal(L, "sys");
}

int main(int argc, char **argv) {
  char dir[] = "/tmp/scenario-XXXXXX";
  lua_State *L;
  int code = 0;
  if (argc != 3 || mkdtemp(dir) == NULL) {
    fprintf(stderr, "usage: scenario BUILD-FOLDER SCRIPT.lua\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  base = event_base_new();
  L = luaL_newstate();
  library(L, argv[1], dir);
  if (luaL_dofile(L, "test/scenario/lib/world.lua") != LUA_OK ||
      luaL_dofile(L, argv[2]) != LUA_OK) {
    fprintf(stderr, "%s\n", lua_tostring(L, -1));
    code = 1;
  }
  lua_close(L);
  endall();
  event_base_loop(base, EVLOOP_NONBLOCK);
  event_base_free(base);
  printf("%s: %s (logs in %s)\n", argv[2], code == 0 ? "passed" : "FAILED",
         dir);
  return code;
}
