/*
** settings.c
** The settings file of one instance, read by schema (libcyaml)
*/

#include <stdio.h>
#include <string.h>

#include <cyaml/cyaml.h>

#include "daemon/settings.h"

#define DEFAULT_BODY (1 << 20)
#define DEFAULT_HEADERS 64
#define DEFAULT_TIMEOUT 10
#define DEFAULT_RETRY_WINDOW 10
#define LEAST_LEASE 2000 /* a round of orders must fit into it */
/* a watch of the store, a heartbeat and the margin for the store's own delay
** must fit into it */
#define LEAST_REVOKE 2000
#define DEFAULT_LIMIT_WINDOW 8
#define DEFAULT_WATCH_WAIT 1800
/* the slack for a watch's answer (io/directory.c), a new connection and its
** first answer; milliseconds */
#define WATCH_MARGIN 1200
#define WATCH_LEAST 500
/* without a bound in the settings: the tightest of the deployments planned
** for; and what a change needs to be told by another relay; milliseconds */
#define DEFAULT_NEWS_WITHIN 2000
#define LEAST_NEWS_WITHIN 1500
#define DEFAULT_DRAIN_LEAST 2800
/* a drain ends so long before the kill, milliseconds */
#define GRACE_MARGIN 400
#define DEFAULT_DRAIN_MOST 7400

#define STR(k, f) \
  CYAML_FIELD_STRING_PTR(k, CYAML_FLAG_POINTER, Settings, f, 1, 255)
#define OPTSTR(k, f)                                                  \
  CYAML_FIELD_STRING_PTR(k, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
                         Settings, f, 1, 255)
#define OPTUINT(k, f) CYAML_FIELD_UINT(k, CYAML_FLAG_OPTIONAL, Settings, f)

static const cyaml_schema_value_t address = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, 64)};

static const cyaml_schema_field_t fields[] = {
    OPTSTR("dialect", dialect),
    STR("data_centre", data_centre),
    STR("callers", callers),
    OPTSTR("rpc", rpc),
    OPTSTR("operators", operators),
    STR("platform", platform),
    OPTSTR("instance", instance),
    OPTSTR("ready", ready),
    OPTSTR("control", control),
    OPTSTR("metrics", metrics),
    OPTSTR("exchange", exchange),
    CYAML_FIELD_FLOAT("retry_ratio", CYAML_FLAG_OPTIONAL, Settings,
                      retry_ratio),
    OPTUINT("retry_slack", retry_slack),
    OPTUINT("retry_window_s", retry_window_s),
    OPTUINT("watch_wait_ms", watch_wait_ms),
    OPTUINT("lease_ms", lease_ms),
    CYAML_FIELD_FLOAT("processor_share", CYAML_FLAG_OPTIONAL, Settings,
                      processor_share),
    CYAML_FIELD_FLOAT("link_mbps", CYAML_FLAG_OPTIONAL, Settings, link_mbps),
    OPTUINT("revoke_ms", revoke_ms),
    CYAML_FIELD_FLOAT("limit_over", CYAML_FLAG_OPTIONAL, Settings, limit_over),
    OPTUINT("limit_slack", limit_slack),
    OPTUINT("limit_window_s", limit_window_s),
    OPTUINT("contact_ms", contact_ms),
    OPTUINT("apply_ms", apply_ms),
    OPTUINT("leave_ms", leave_ms),
    OPTUINT("drain_least_ms", drain_least_ms),
    OPTUINT("drain_most_ms", drain_most_ms),
    OPTUINT("grace_s", grace_s),
    CYAML_FIELD_SEQUENCE("peers", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         Settings, peers, &address, 0, 64),
    OPTSTR("instance_network", instance_network),
    OPTSTR("log_file", log_file),
    OPTSTR("log_level", log_level),
    OPTUINT("max_body_bytes", max_body_bytes),
    OPTUINT("max_headers", max_headers),
    OPTUINT("caller_timeout_s", caller_timeout_s),
    CYAML_FIELD_END};

static const cyaml_schema_value_t schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, Settings, fields)};

static gboolean bad(GError **err, const char *path, const char *key,
                    const char *what) {
  g_set_error(err, MP_ERROR, MP_ERR_SETTINGS, "%s: %s: %s", path, key, what);
  return FALSE;
}

static gboolean isaddress(GError **err, const char *path, const char *key,
                          const char *v) {
  if (v != NULL && mp_addr_parse(v) != 0)
    return TRUE;
  return bad(err, path, key,
             "write an IPv4 address and a port, as 10.0.0.1:7000");
}

int settings_network(const char *s, uint32_t *net, uint32_t *mask) {
  gchar **parts = g_strsplit(s, "/", 2);
  gchar *addr = g_strdup_printf("%s:1", parts[0] != NULL ? parts[0] : "");
  mp_Addr a = mp_addr_parse(addr);
  guint64 bits = 0;
  int ok = a != 0 && parts[1] != NULL &&
           g_ascii_string_to_unsigned(parts[1], 10, 1, 32, &bits, NULL);
  if (ok) {
    *net = (uint32_t)(a >> 16);
    *mask = (uint32_t)(0xffffffffULL << (32 - bits));
  }
  g_free(addr);
  g_strfreev(parts);
  return ok;
}

SettingsDialect settings_dialect(const Settings *s) {
  return s->dialect != NULL && strcmp(s->dialect, "platform") == 0
             ? DIALECT_PLATFORM
             : DIALECT_OWN;
}

static gboolean check_dialect(const Settings *s, const char *path,
                              GError **err) {
  if (s->dialect != NULL && strcmp(s->dialect, "platform") != 0 &&
      strcmp(s->dialect, "own") != 0)
    return bad(err, path, "dialect", "use own or platform");
  if (settings_dialect(s) == DIALECT_OWN)
    return isaddress(err, path, "rpc", s->rpc) &&
           isaddress(err, path, "operators", s->operators);
  if (s->instance == NULL)
    return bad(err, path, "instance", "give the instance a name");
  if (s->retry_ratio < 0 || s->retry_ratio > 1)
    return bad(err, path, "retry_ratio", "use a number from 0 to 1");
  if (s->processor_share < 0 || s->link_mbps < 0)
    return bad(err, path, "processor_share, link_mbps",
               "use numbers of 0 or more");
  if (s->limit_over < 0 || s->limit_over > 1)
    return bad(err, path, "limit_over", "use a number from 0 to 1");
  if (s->revoke_ms > 0 && s->revoke_ms < LEAST_REVOKE)
    return bad(err, path, "revoke_ms", "use 2000 or more, or leave it out");
  if ((s->apply_ms > 0 && s->apply_ms < LEAST_NEWS_WITHIN) ||
      (s->leave_ms > 0 && s->leave_ms < LEAST_NEWS_WITHIN))
    return bad(err, path, "apply_ms, leave_ms",
               "use 1500 or more, or leave them out");
  if (s->lease_ms > 0 && s->lease_ms < LEAST_LEASE)
    return bad(err, path, "lease_ms", "use 2000 or more, or leave it out");
  if (s->control != NULL && !isaddress(err, path, "control", s->control))
    return FALSE;
  if (s->metrics != NULL && !isaddress(err, path, "metrics", s->metrics))
    return FALSE;
  return isaddress(err, path, "ready", s->ready) &&
         isaddress(err, path, "exchange", s->exchange);
}

static gboolean check(const Settings *s, const char *path, GError **err) {
  uint32_t net;
  uint32_t mask;
  unsigned i;
  if (!isaddress(err, path, "callers", s->callers) ||
      !isaddress(err, path, "platform", s->platform) ||
      !check_dialect(s, path, err))
    return FALSE;
  for (i = 0; i < s->peers_count; i++) {
    if (!isaddress(err, path, "peers", s->peers[i]))
      return FALSE;
  }
  if (s->instance_network != NULL &&
      !settings_network(s->instance_network, &net, &mask))
    return bad(err, path, "instance_network",
               "write a network, as 10.0.0.0/16");
  if (strlen(s->data_centre) > MP_NAME_MAX)
    return bad(err, path, "data_centre", "use at most 63 bytes");
  return TRUE;
}

/*
** A silent store may swallow a watch just before it comes back, and a change
** may be made at once: the watch must be given up, and another one be
** answered, before the platform counts this instance as in touch again.
*/
static uint32_t longest_watch(const Settings *s) {
  if (s->contact_ms == 0)
    return DEFAULT_WATCH_WAIT;
  return MAX(s->contact_ms, WATCH_MARGIN + WATCH_LEAST) - WATCH_MARGIN;
}

static void defaults(Settings *s) {
  if (s->max_body_bytes == 0)
    s->max_body_bytes = DEFAULT_BODY;
  if (s->max_headers == 0)
    s->max_headers = DEFAULT_HEADERS;
  if (s->caller_timeout_s == 0)
    s->caller_timeout_s = DEFAULT_TIMEOUT;
  if (s->retry_window_s == 0)
    s->retry_window_s = DEFAULT_RETRY_WINDOW;
  if (s->limit_window_s == 0)
    s->limit_window_s = DEFAULT_LIMIT_WINDOW;
  if (s->watch_wait_ms == 0)
    s->watch_wait_ms = longest_watch(s);
  if (s->apply_ms == 0)
    s->apply_ms = DEFAULT_NEWS_WITHIN;
  if (s->leave_ms == 0)
    s->leave_ms = DEFAULT_NEWS_WITHIN;
  if (s->drain_least_ms == 0)
    s->drain_least_ms = DEFAULT_DRAIN_LEAST;
  if (s->drain_most_ms == 0)
    s->drain_most_ms =
        s->grace_s > 0 ? s->grace_s * 1000 - GRACE_MARGIN : DEFAULT_DRAIN_MOST;
}

/* libcyaml's own words, with the line, as one text */
static void hear(cyaml_log_t level, void *ctx, const char *fmt, va_list args) {
  GString *g = ctx;
  gchar *s;
  if (level < CYAML_LOG_ERROR)
    return;
  s = g_strdup_vprintf(fmt, args);
  g_strchomp(s);
  g_string_append_printf(g, "%s%s", g->len > 0 ? "; " : "", s);
  g_free(s);
}

static cyaml_config_t reader(GString *said) {
  cyaml_config_t c = {0};
  c.log_fn = hear;
  c.log_ctx = said;
  c.log_level = CYAML_LOG_ERROR;
  c.mem_fn = cyaml_mem;
  c.flags = CYAML_CFG_NO_ALIAS;
  return c;
}

Settings *settings_read(const char *path, GError **err) {
  GString *said = g_string_new(NULL);
  cyaml_config_t rd = reader(said);
  Settings *s = NULL;
  cyaml_err_t e =
      cyaml_load_file(path, &rd, &schema, (cyaml_data_t **)&s, NULL);
  if (e != CYAML_OK) {
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "%s: %s; see docs/SETTINGS.md for the keys", path,
                said->len > 0 ? said->str : cyaml_strerror(e));
    s = NULL;
  } else if (s == NULL) { /* a file without a document is no error of YAML */
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "%s: the file is empty; see docs/SETTINGS.md for the keys",
                path);
  } else if (!check(s, path, err)) {
    settings_free(s);
    s = NULL;
  } else
    defaults(s);
  g_string_free(said, TRUE);
  return s;
}

void settings_free(Settings *s) {
  cyaml_config_t rd = {0};
  rd.mem_fn = cyaml_mem;
  cyaml_free(&rd, &schema, s, 0);
}
