/*
** yaml.c
** The configuration in YAML, read by schema (libcyaml)
**
** Sections are joined to one document in the manifest's order, so each
** top-level key stands in one section only. libcyaml reports a mistake by
** its line in the joined text; it is mapped back to section and line.
*/

#include <stdio.h>
#include <string.h>

#include <cyaml/cyaml.h>

#include "conf/conf.h"

/*
** {==================================================================
** Schema
** ===================================================================
*/

#define STR(t, f) \
  CYAML_FIELD_STRING_PTR(#f, CYAML_FLAG_POINTER, t, f, 1, MP_NAME_MAX)
#define OPTSTR(t, k, f)                                                     \
  CYAML_FIELD_STRING_PTR(k, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, t, f, \
                         1, MP_NAME_MAX)
#define UINT(t, f) CYAML_FIELD_UINT(#f, CYAML_FLAG_DEFAULT, t, f)
#define OPTUINT(t, f) CYAML_FIELD_UINT(#f, CYAML_FLAG_OPTIONAL, t, f)
#define LIST(t, f, flags, entry)                                         \
  CYAML_FIELD_SEQUENCE(#f, CYAML_FLAG_POINTER | (flags), t, f, entry, 0, \
                       CYAML_UNLIMITED)

static const cyaml_schema_value_t name = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, MP_NAME_MAX)};

static const cyaml_schema_field_t dcfields[] = {
    STR(mp_Dc, name), STR(mp_Dc, region), CYAML_FIELD_END};
static const cyaml_schema_value_t dc = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, mp_Dc, dcfields)};

static const cyaml_schema_field_t linkfields[] = {
    STR(mp_Link, from), STR(mp_Link, to), UINT(mp_Link, mbytes_per_s),
    CYAML_FIELD_END};
static const cyaml_schema_value_t linkrow = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, mp_Link, linkfields)};

static const cyaml_strval_t servicekinds[] = {{"engine", MP_SVC_ENGINE},
                                              {"plain", MP_SVC_PLAIN}};
static const cyaml_schema_field_t servicefields[] = {
    STR(mp_Service, name),
    CYAML_FIELD_ENUM("kind", CYAML_FLAG_STRICT, mp_Service, kind, servicekinds,
                     CYAML_ARRAY_LEN(servicekinds)),
    OPTSTR(mp_Service, "path", path),
    OPTSTR(mp_Service, "class", class_name),
    CYAML_FIELD_BOOL("checks_fence", CYAML_FLAG_OPTIONAL, mp_Service,
                     checks_fence),
    CYAML_FIELD_END};
static const cyaml_schema_value_t service = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, mp_Service, servicefields)};

static const cyaml_strval_t roles[] = {{"prefill", MP_ROLE_PREFILL},
                                       {"decode", MP_ROLE_DECODE},
                                       {"plain", MP_ROLE_PLAIN}};
static const cyaml_schema_field_t poolfields[] = {
    STR(mp_Pool, service),
    CYAML_FIELD_ENUM("role", CYAML_FLAG_STRICT, mp_Pool, role, roles,
                     CYAML_ARRAY_LEN(roles)),
    LIST(mp_Pool, models, CYAML_FLAG_DEFAULT, &name),
    LIST(mp_Pool, adapters, CYAML_FLAG_OPTIONAL, &name),
    OPTUINT(mp_Pool, least),
    CYAML_FIELD_END};
static const cyaml_schema_value_t pool = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, mp_Pool, poolfields)};

static const cyaml_schema_field_t modelfields[] = {
    STR(mp_Model, name), STR(mp_Model, service),
    UINT(mp_Model, kv_bytes_per_token), CYAML_FIELD_END};
static const cyaml_schema_value_t model = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, mp_Model, modelfields)};

static const cyaml_schema_field_t classfields[] = {
    STR(mp_Class, name),
    UINT(mp_Class, first_token_ms),
    OPTUINT(mp_Class, token_ms),
    UINT(mp_Class, deadline_ms),
    UINT(mp_Class, weight),
    CYAML_FIELD_BOOL("repeatable", CYAML_FLAG_DEFAULT, mp_Class, repeatable),
    CYAML_FIELD_END};
static const cyaml_schema_value_t class_ = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, mp_Class, classfields)};

static const cyaml_schema_field_t accountfields[] = {
    STR(mp_Account, name),
    CYAML_FIELD_STRING_PTR("key_sha256", CYAML_FLAG_POINTER, mp_Account,
                           key_sha256, MP_SHA256_HEX, MP_SHA256_HEX),
    LIST(mp_Account, classes, CYAML_FLAG_DEFAULT, &name),
    OPTUINT(mp_Account, requests_per_s),
    OPTUINT(mp_Account, burst),
    CYAML_FIELD_END};
static const cyaml_schema_value_t account = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, mp_Account, accountfields)};

static const cyaml_strval_t moves[] = {
    {"stay", MP_KV_STAY}, {"region", MP_KV_REGION}, {"any", MP_KV_ANY}};
static const cyaml_schema_field_t rulefields[] = {
    CYAML_FIELD_STRING_PTR("class", CYAML_FLAG_POINTER, mp_Rule, class_name, 1,
                           MP_NAME_MAX),
    OPTSTR(mp_Rule, "account", account),
    LIST(mp_Rule, run_in, CYAML_FLAG_DEFAULT, &name),
    CYAML_FIELD_ENUM("kv_move", CYAML_FLAG_STRICT, mp_Rule, kv_move, moves,
                     CYAML_ARRAY_LEN(moves)),
    CYAML_FIELD_END};
static const cyaml_schema_value_t rule = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, mp_Rule, rulefields)};

static const cyaml_strval_t picks[] = {{"madderpier", MP_PICK_MADDERPIER},
                                       {"random", MP_PICK_RANDOM},
                                       {"round_robin", MP_PICK_ROUND_ROBIN},
                                       {"least_loaded", MP_PICK_LEAST_LOADED},
                                       {"two_choices", MP_PICK_TWO_CHOICES}};
#define SWITCH(f) CYAML_FIELD_BOOL(#f, CYAML_FLAG_DEFAULT, mp_Policy, f)
static const cyaml_schema_field_t policyfields[] = {
    CYAML_FIELD_ENUM("pick", CYAML_FLAG_STRICT, mp_Policy, pick, picks,
                     CYAML_ARRAY_LEN(picks)),
    SWITCH(decode_first),
    SWITCH(prefix_affinity),
    SWITCH(slack_order),
    SWITCH(long_cap),
    SWITCH(transfer_plan),
    SWITCH(keep_prefill),
    SWITCH(refuse_early),
    SWITCH(quota_slices),
    SWITCH(role_orders),
    UINT(mp_Policy, refuse_at),
    CYAML_FIELD_END};

static const cyaml_schema_field_t configfields[] = {
    LIST(mp_Config, data_centres, CYAML_FLAG_DEFAULT, &dc),
    LIST(mp_Config, links, CYAML_FLAG_OPTIONAL, &linkrow),
    LIST(mp_Config, services, CYAML_FLAG_DEFAULT, &service),
    LIST(mp_Config, pools, CYAML_FLAG_OPTIONAL, &pool),
    LIST(mp_Config, models, CYAML_FLAG_OPTIONAL, &model),
    LIST(mp_Config, classes, CYAML_FLAG_DEFAULT, &class_),
    LIST(mp_Config, accounts, CYAML_FLAG_DEFAULT, &account),
    LIST(mp_Config, rules, CYAML_FLAG_DEFAULT, &rule),
    LIST(mp_Config, drained, CYAML_FLAG_OPTIONAL, &name),
    CYAML_FIELD_MAPPING_PTR("policy", CYAML_FLAG_POINTER, mp_Config, policy,
                            policyfields),
    CYAML_FIELD_END};
static const cyaml_schema_value_t config = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, mp_Config, configfields)};

/* }================================================================== */

/*
** {==================================================================
** Mistakes
** ===================================================================
*/

/* what libcyaml said while it read one text */
typedef struct Said {
  GString *what;
  int line; /* in the joined text, 0 when not said */
} Said;

/* libcyaml hands over one formatted line at a time, deepest place first */
static void hear(cyaml_log_t level, void *ctx, const char *fmt, va_list args) {
  Said *s = ctx;
  gchar *text;
  const char *at;
  if (level < CYAML_LOG_ERROR)
    return;
  text = g_strdup_vprintf(fmt, args);
  g_strchomp(text);
  at = strstr(text, "(line: ");
  if (at != NULL && s->line == 0)
    sscanf(at, "(line: %d", &s->line);
  if (strstr(text, "Backtrace") == NULL) {
    const char *t = g_str_has_prefix(text, "Load: ") ? text + 6 : text;
    if (s->what->len > 0)
      g_string_append(s->what, "; ");
    g_string_append(s->what, t);
  }
  g_free(text);
}

/* section and line of a line of the joined text */
static void place(const mp_Manifest *m, const int *first, int line,
                  GString *out) {
  unsigned i = m->n;
  while (i > 0 && first[i - 1] > line)
    i--;
  if (i > 0)
    g_string_append_printf(out, "%s line %d: ", m->section[i - 1].name,
                           line - first[i - 1] + 1);
}

static void report(GError **err, const mp_Manifest *m, const int *first,
                   const Said *s, cyaml_err_t e) {
  GString *g = g_string_new(NULL);
  if (s->line > 0)
    place(m, first, s->line, g);
  g_string_append(g, s->what->len > 0 ? s->what->str : cyaml_strerror(e));
  g_string_append(g, "; see docs/CONFIGURATION.md for the keys");
  g_set_error(err, MP_ERROR, MP_ERR_SETTINGS, "%s", g->str);
  g_string_free(g, TRUE);
}

/* }================================================================== */

static cyaml_config_t reader(Said *s) {
  cyaml_config_t c = {0};
  c.log_fn = hear;
  c.log_ctx = s;
  c.log_level = CYAML_LOG_ERROR;
  c.mem_fn = cyaml_mem;
  c.flags = CYAML_CFG_NO_ALIAS;
  return c;
}

/* join the sections; 'first' gets the line at which each begins */
static GString *join(const mp_Manifest *m, GBytes *const *text, int *first) {
  GString *all = g_string_new(NULL);
  int line = 1;
  unsigned i;
  for (i = 0; i < m->n; i++) {
    gsize n;
    const char *s = g_bytes_get_data(text[i], &n);
    gsize k;
    first[i] = line;
    g_string_append_len(all, s, (gssize)n);
    if (n == 0 || s[n - 1] != '\n')
      g_string_append_c(all, '\n');
    for (k = 0; k < n; k++)
      line += s[k] == '\n';
    line += n == 0 || s[n - 1] != '\n';
  }
  return all;
}

mp_Config *mp_config_read(const mp_Manifest *m, GBytes *const *text,
                          GError **err) {
  int first[MP_SECTIONS_MAX];
  GString *all = join(m, text, first);
  Said said = {g_string_new(NULL), 0};
  cyaml_config_t rd = reader(&said);
  mp_Config *c = NULL;
  cyaml_err_t e;
  if (all->len == 0)
    e = CYAML_ERR_INTERNAL_ERROR;
  else
    e = cyaml_load_data((const uint8_t *)all->str, all->len, &rd, &config,
                        (cyaml_data_t **)&c, NULL);
  if (e != CYAML_OK) {
    report(err, m, first, &said, e);
    c = NULL;
  } else if (!mp_config_check(c, err)) {
    mp_config_free(c);
    c = NULL;
  }
  g_string_free(said.what, TRUE);
  g_string_free(all, TRUE);
  return c;
}

void mp_config_free(mp_Config *c) {
  cyaml_config_t rd = {0};
  rd.mem_fn = cyaml_mem;
  cyaml_free(&rd, &config, c, 0);
}
