/*
** settings.c
** Reads the settings file of one instance by a schema (libcyaml), checks it
** and sets the defaults
*/

#include <stdio.h>
#include <string.h>

#include <cyaml/cyaml.h>

#include "daemon/settings.h"

#define DEFAULT_BODY_BYTES (1 << 20)
#define DEFAULT_HEADERS 64
#define DEFAULT_CALLER_TIMEOUT_S 10
#define DEFAULT_REQUEST_TIMEOUT_S 30
#define DEFAULT_RETRY_WINDOW_S 10
#define LEASE_MIN_MS 2000 /* a round of orders must fit into the lease */
/* a watch of the store, a heartbeat and the margin for the store's own delay
** must fit into revoke_ms */
#define REVOKE_MIN_MS 2000
#define DEFAULT_LIMIT_WINDOW_S 8
/* memory_share: more would leave too little for everything else; less than
** 1 MB would abort connections of a few callers that are merely slow */
#define MEMORY_SHARE_MAX 0.5
#define MEMORY_BOUND_MIN_MB 1
/* fewer descriptors or connections would not serve a handful of callers */
#define DESCRIPTORS_MIN 128
#define CONNECTIONS_MIN 16
#define DEFAULT_WATCH_WAIT_MS 1800
/* time that a watch may answer late (io/directory.c), and time for a new
** connection and its first answer */
#define WATCH_MARGIN_MS 1200
#define WATCH_WAIT_MIN_MS 500
/* apply_ms and leave_ms: the default is the tightest bound of the planned
** deployments; the least is the time that a change needs to arrive through
** another relay */
#define DEFAULT_PROPAGATION_MS 2000
#define PROPAGATION_MIN_MS 1500
#define DEFAULT_DRAIN_LEAST_MS 2800
/* a drain ends this long before the kill that follows grace_s */
#define GRACE_MARGIN_MS 400
#define DEFAULT_DRAIN_MOST_MS 7400

#define STR(k, f) \
  CYAML_FIELD_STRING_PTR(k, CYAML_FLAG_POINTER, Settings, f, 1, 255)
#define OPTSTR(k, f)                                                  \
  CYAML_FIELD_STRING_PTR(k, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
                         Settings, f, 1, 255)
#define OPTUINT(k, f) CYAML_FIELD_UINT(k, CYAML_FLAG_OPTIONAL, Settings, f)

static const cyaml_schema_value_t address_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, 64)};

static const cyaml_schema_field_t settings_fields[] = {
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
    CYAML_FIELD_BOOL("overload_control", CYAML_FLAG_OPTIONAL, Settings,
                     overload_control),
    OPTUINT("max_descriptors", max_descriptors),
    OPTUINT("max_connections", max_connections),
    OPTUINT("request_timeout_s", request_timeout_s),
    OPTUINT("memory_mb", memory_mb),
    CYAML_FIELD_FLOAT("memory_share", CYAML_FLAG_OPTIONAL, Settings,
                      memory_share),
    OPTUINT("contact_ms", contact_ms),
    OPTUINT("apply_ms", apply_ms),
    OPTUINT("leave_ms", leave_ms),
    OPTUINT("drain_least_ms", drain_least_ms),
    OPTUINT("drain_most_ms", drain_most_ms),
    OPTUINT("grace_s", grace_s),
    CYAML_FIELD_SEQUENCE("peers", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         Settings, peers, &address_schema, 0, 64),
    OPTSTR("instance_network", instance_network),
    OPTSTR("log_file", log_file),
    OPTSTR("log_level", log_level),
    OPTUINT("max_body_bytes", max_body_bytes),
    OPTUINT("max_headers", max_headers),
    OPTUINT("caller_timeout_s", caller_timeout_s),
    CYAML_FIELD_END};

static const cyaml_schema_value_t settings_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, Settings, settings_fields)};

/* sets the error for a key and returns FALSE */
static gboolean settings_error(GError **err, const char *path, const char *key,
                               const char *what) {
  g_set_error(err, MP_ERROR, MP_ERR_SETTINGS, "%s: %s: %s", path, key, what);
  return FALSE;
}

static gboolean check_address(GError **err, const char *path, const char *key,
                              const char *v) {
  if (v != NULL && mp_addr_parse(v) != 0)
    return TRUE;
  return settings_error(err, path, key,
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

/* The rest of the memory is for requests, connections and the router. */
static gboolean check_memory(const Settings *s, const char *path,
                             GError **err) {
  if (!(s->memory_share >= 0 && s->memory_share <= MEMORY_SHARE_MAX))
    return settings_error(err, path, "memory_share",
                          "use a number from 0 to 0.5");
  if (s->memory_share > 0 &&
      s->memory_share * s->memory_mb < MEMORY_BOUND_MIN_MB)
    return settings_error(err, path, "memory_mb, memory_share",
                          "give the machine's memory, and a share of at "
                          "least 1 MB of it, or leave memory_share out");
  return TRUE;
}

static gboolean check_dialect(const Settings *s, const char *path,
                              GError **err) {
  if (s->dialect != NULL && strcmp(s->dialect, "platform") != 0 &&
      strcmp(s->dialect, "own") != 0)
    return settings_error(err, path, "dialect", "use own or platform");
  if (settings_dialect(s) == DIALECT_OWN)
    return check_address(err, path, "rpc", s->rpc) &&
           check_address(err, path, "operators", s->operators);
  if (s->instance == NULL)
    return settings_error(err, path, "instance", "give the instance a name");
  if (s->retry_ratio < 0 || s->retry_ratio > 1)
    return settings_error(err, path, "retry_ratio",
                          "use a number from 0 to 1");
  if (s->processor_share < 0 || s->link_mbps < 0)
    return settings_error(err, path, "processor_share, link_mbps",
                          "use numbers of 0 or more");
  if (s->limit_over < 0 || s->limit_over > 1)
    return settings_error(err, path, "limit_over", "use a number from 0 to 1");
  if (s->revoke_ms > 0 && s->revoke_ms < REVOKE_MIN_MS)
    return settings_error(err, path, "revoke_ms",
                          "use 2000 or more, or leave it out");
  if ((s->apply_ms > 0 && s->apply_ms < PROPAGATION_MIN_MS) ||
      (s->leave_ms > 0 && s->leave_ms < PROPAGATION_MIN_MS))
    return settings_error(err, path, "apply_ms, leave_ms",
                          "use 1500 or more, or leave them out");
  if (s->lease_ms > 0 && s->lease_ms < LEASE_MIN_MS)
    return settings_error(err, path, "lease_ms",
                          "use 2000 or more, or leave it out");
  if (s->control != NULL && !check_address(err, path, "control", s->control))
    return FALSE;
  if (s->metrics != NULL && !check_address(err, path, "metrics", s->metrics))
    return FALSE;
  return check_address(err, path, "ready", s->ready) &&
         check_address(err, path, "exchange", s->exchange);
}

static gboolean check_settings(const Settings *s, const char *path,
                               GError **err) {
  uint32_t net;
  uint32_t mask;
  unsigned i;
  if (s->max_descriptors > 0 && s->max_descriptors < DESCRIPTORS_MIN)
    return settings_error(err, path, "max_descriptors",
                          "use 128 or more, or leave it out");
  if (s->max_connections > 0 && s->max_connections < CONNECTIONS_MIN)
    return settings_error(err, path, "max_connections",
                          "use 16 or more, or leave it out");
  if (!check_memory(s, path, err))
    return FALSE;
  if (!check_address(err, path, "callers", s->callers) ||
      !check_address(err, path, "platform", s->platform) ||
      !check_dialect(s, path, err))
    return FALSE;
  for (i = 0; i < s->peers_count; i++) {
    if (!check_address(err, path, "peers", s->peers[i]))
      return FALSE;
  }
  if (s->instance_network != NULL &&
      !settings_network(s->instance_network, &net, &mask))
    return settings_error(err, path, "instance_network",
                          "write a network, as 10.0.0.0/16");
  if (strlen(s->data_centre) > MP_NAME_MAX)
    return settings_error(err, path, "data_centre", "use at most 63 bytes");
  return TRUE;
}

/*
** The default of watch_wait_ms. A store that is cut off may lose a watch just
** before it can be reached again, and a change may be made at once. So the
** watch must time out, and another one be answered, before the platform counts
** this instance as in contact again, contact_ms later.
*/
static uint32_t default_watch_wait_ms(const Settings *s) {
  if (s->contact_ms == 0)
    return DEFAULT_WATCH_WAIT_MS;
  return MAX(s->contact_ms, WATCH_MARGIN_MS + WATCH_WAIT_MIN_MS) -
         WATCH_MARGIN_MS;
}

static void set_defaults(Settings *s) {
  if (s->max_body_bytes == 0)
    s->max_body_bytes = DEFAULT_BODY_BYTES;
  if (s->max_headers == 0)
    s->max_headers = DEFAULT_HEADERS;
  if (s->caller_timeout_s == 0)
    s->caller_timeout_s = DEFAULT_CALLER_TIMEOUT_S;
  if (s->request_timeout_s == 0)
    s->request_timeout_s = DEFAULT_REQUEST_TIMEOUT_S;
  if (s->retry_window_s == 0)
    s->retry_window_s = DEFAULT_RETRY_WINDOW_S;
  if (s->limit_window_s == 0)
    s->limit_window_s = DEFAULT_LIMIT_WINDOW_S;
  if (s->watch_wait_ms == 0)
    s->watch_wait_ms = default_watch_wait_ms(s);
  if (s->apply_ms == 0)
    s->apply_ms = DEFAULT_PROPAGATION_MS;
  if (s->leave_ms == 0)
    s->leave_ms = DEFAULT_PROPAGATION_MS;
  if (s->drain_least_ms == 0)
    s->drain_least_ms = DEFAULT_DRAIN_LEAST_MS;
  if (s->drain_most_ms == 0)
    s->drain_most_ms = s->grace_s > 0 ? s->grace_s * 1000 - GRACE_MARGIN_MS
                                      : DEFAULT_DRAIN_MOST_MS;
}

/* appends an error message of libcyaml, which has the line, to one text */
static void collect_error(cyaml_log_t level, void *ctx, const char *fmt,
                          va_list args) {
  GString *g = ctx;
  gchar *s;
  if (level < CYAML_LOG_ERROR)
    return;
  s = g_strdup_vprintf(fmt, args);
  g_strchomp(s);
  g_string_append_printf(g, "%s%s", g->len > 0 ? "; " : "", s);
  g_free(s);
}

static cyaml_config_t reader_config(GString *errors) {
  cyaml_config_t c = {0};
  c.log_fn = collect_error;
  c.log_ctx = errors;
  c.log_level = CYAML_LOG_ERROR;
  c.mem_fn = cyaml_mem;
  c.flags = CYAML_CFG_NO_ALIAS;
  return c;
}

Settings *settings_read(const char *path, GError **err) {
  GString *errors = g_string_new(NULL);
  cyaml_config_t rd = reader_config(errors);
  Settings *s = NULL;
  cyaml_err_t e =
      cyaml_load_file(path, &rd, &settings_schema, (cyaml_data_t **)&s, NULL);
  if (e != CYAML_OK) {
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "%s: %s; see docs/SETTINGS.md for the keys", path,
                errors->len > 0 ? errors->str : cyaml_strerror(e));
    s = NULL;
  } else if (s == NULL) { /* a file without a document is valid YAML */
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "%s: the file is empty; see docs/SETTINGS.md for the keys",
                path);
  } else if (!check_settings(s, path, err)) {
    settings_free(s);
    s = NULL;
  } else
    set_defaults(s);
  g_string_free(errors, TRUE);
  return s;
}

void settings_free(Settings *s) {
  cyaml_config_t rd = {0};
  rd.mem_fn = cyaml_mem;
  cyaml_free(&rd, &settings_schema, s, 0);
}
