/*
** check.c
** Checks a configuration beyond what the YAML schema can express: references
** to names that do not exist, duplicate names, numbers out of range, and rules
** that could never be met. The first fault found is reported.
*/

#include <string.h>

#include "conf/conf.h"

/* sets the error and returns FALSE */
static gboolean config_error(GError **err, const char *fmt, ...)
    G_GNUC_PRINTF(2, 3);

static gboolean config_error(GError **err, const char *fmt, ...) {
  va_list ap;
  gchar *s;
  va_start(ap, fmt);
  s = g_strdup_vprintf(fmt, ap);
  va_end(ap);
  g_set_error(err, MP_ERROR, MP_ERR_SETTINGS, "%s", s);
  g_free(s);
  return FALSE;
}

/* the names in one table, for look-ups and to find duplicates; they belong to
** the configuration */
typedef struct NameSet {
  GHashTable *set;
  const char *what; /* key of the table, for messages */
} NameSet;

static void names_init(NameSet *n, const char *what) {
  n->set = g_hash_table_new(g_str_hash, g_str_equal);
  n->what = what;
}

static gboolean names_add(NameSet *n, const char *s, GError **err) {
  if (g_hash_table_add(n->set, (gpointer)s))
    return TRUE;
  return config_error(err, "%s: '%s' is defined twice; remove one", n->what,
                      s);
}

/* 'where' is the key that holds the reference 's' */
static gboolean check_known(const NameSet *n, const char *s, const char *where,
                            GError **err) {
  if (g_hash_table_contains(n->set, s))
    return TRUE;
  return config_error(
      err,
      "%s names '%s', which is not under %s; add it or correct "
      "the name",
      where, s, n->what);
}

/* the tables to which others refer */
typedef struct Tables {
  NameSet dcs, services, models, classes, accounts;
} Tables;

#define ADD_NAMES(table, names)                \
  for (i = 0; ok && i < c->table##_count; i++) \
  ok = names_add(&a->names, c->table[i].name, err)

/* fills the sets of names; FALSE and an error for a duplicate */
static gboolean collect_names(const mp_Config *c, Tables *a, GError **err) {
  gboolean ok = TRUE;
  unsigned i;
  ADD_NAMES(data_centres, dcs);
  ADD_NAMES(services, services);
  ADD_NAMES(models, models);
  ADD_NAMES(classes, classes);
  ADD_NAMES(accounts, accounts);
  return ok;
}

static gboolean check_sizes(const mp_Config *c, GError **err) {
  if (c->data_centres_count == 0 || c->data_centres_count > MP_DCS_MAX)
    return config_error(err,
                        "data_centres: from 1 to %d are needed, there are %u",
                        MP_DCS_MAX, c->data_centres_count);
  if (c->models_count > MP_MODELS_MAX)
    return config_error(err,
                        "models: at most %d, there are %u; split the platform",
                        MP_MODELS_MAX, c->models_count);
  if (c->policy->refuse_at < 50 || c->policy->refuse_at > 1000)
    return config_error(err,
                        "policy: refuse_at is %u; set 50 to 1000 (percent of "
                        "the first-token target)",
                        c->policy->refuse_at);
  return TRUE;
}

static gboolean check_links(const mp_Config *c, const Tables *a,
                            GError **err) {
  unsigned i;
  for (i = 0; i < c->links_count; i++) {
    const mp_Link *l = &c->links[i];
    if (!check_known(&a->dcs, l->from, "links: from", err) ||
        !check_known(&a->dcs, l->to, "links: to", err))
      return FALSE;
    if (l->mbytes_per_s == 0)
      return config_error(
          err,
          "links: %s to %s has mbytes_per_s 0; set its rate, or "
          "forbid the move by kv_move",
          l->from, l->to);
  }
  return TRUE;
}

static gboolean check_services(const mp_Config *c, const Tables *a,
                               GError **err) {
  unsigned i;
  for (i = 0; i < c->services_count; i++) {
    const mp_Service *s = &c->services[i];
    if (s->kind == MP_SVC_ENGINE)
      continue;
    if (s->path == NULL || s->path[0] != '/')
      return config_error(
          err,
          "services: plain service '%s' needs a path that begins "
          "with '/'",
          s->name);
    if (s->class_name == NULL)
      return config_error(err, "services: plain service '%s' needs a class",
                          s->name);
    if (!check_known(&a->classes, s->class_name, "services: class", err))
      return FALSE;
  }
  return TRUE;
}

static gboolean check_pools(const mp_Config *c, const Tables *a,
                            GError **err) {
  unsigned i;
  unsigned k;
  for (i = 0; i < c->pools_count; i++) {
    const mp_Pool *p = &c->pools[i];
    if (!check_known(&a->services, p->service, "pools: service", err))
      return FALSE;
    for (k = 0; k < p->models_count; k++) {
      if (!check_known(&a->models, p->models[k], "pools: models", err))
        return FALSE;
    }
  }
  for (i = 0; i < c->models_count; i++) {
    const mp_Model *m = &c->models[i];
    if (!check_known(&a->services, m->service, "models: service", err))
      return FALSE;
    if (m->kv_bytes_per_token == 0)
      return config_error(
          err,
          "models: '%s' has kv_bytes_per_token 0; set the size "
          "of its KV cache",
          m->name);
  }
  return TRUE;
}

static gboolean check_classes(const mp_Config *c, GError **err) {
  unsigned i;
  for (i = 0; i < c->classes_count; i++) {
    const mp_Class *k = &c->classes[i];
    if (k->weight < 1 || k->weight > 100)
      return config_error(err, "classes: '%s' has weight %u; set 1 to 100",
                          k->name, k->weight);
    if (k->first_token_ms == 0 || k->deadline_ms < k->first_token_ms)
      return config_error(err,
                          "classes: '%s' needs first_token_ms above 0 and a "
                          "deadline_ms that is no shorter",
                          k->name);
  }
  return TRUE;
}

static gboolean check_accounts(const mp_Config *c, const Tables *a,
                               GError **err) {
  unsigned i;
  unsigned k;
  for (i = 0; i < c->accounts_count; i++) {
    const mp_Account *o = &c->accounts[i];
    for (k = 0; k < o->classes_count; k++) {
      if (!check_known(&a->classes, o->classes[k], "accounts: classes", err))
        return FALSE;
    }
    for (k = 0; k < i; k++) {
      if (strcmp(c->accounts[k].key_sha256, o->key_sha256) == 0)
        return config_error(err,
                            "accounts: '%s' and '%s' have the same key; give "
                            "each its own",
                            c->accounts[k].name, o->name);
    }
  }
  return TRUE;
}

static gboolean is_same_rule(const mp_Rule *a, const mp_Rule *b) {
  return strcmp(a->class_name, b->class_name) == 0 &&
         g_strcmp0(a->account, b->account) == 0;
}

static gboolean check_rules(const mp_Config *c, const Tables *a,
                            GError **err) {
  unsigned i;
  unsigned k;
  for (i = 0; i < c->rules_count; i++) {
    const mp_Rule *r = &c->rules[i];
    if (!check_known(&a->classes, r->class_name, "rules: class", err))
      return FALSE;
    if (r->account != NULL &&
        !check_known(&a->accounts, r->account, "rules: account", err))
      return FALSE;
    if (r->run_in_count == 0)
      return config_error(err,
                          "rules: the rule for '%s' lists no data centre in "
                          "run_in; list one, or remove the rule to forbid the "
                          "class",
                          r->class_name);
    for (k = 0; k < r->run_in_count; k++) {
      if (!check_known(&a->dcs, r->run_in[k], "rules: run_in", err))
        return FALSE;
    }
    for (k = 0; k < i; k++) {
      if (is_same_rule(&c->rules[k], r))
        return config_error(err,
                            "rules: two rules for class '%s' and the same "
                            "account; keep one",
                            r->class_name);
    }
  }
  return TRUE;
}

static void tables_init(Tables *a) {
  names_init(&a->dcs, "data_centres");
  names_init(&a->services, "services");
  names_init(&a->models, "models");
  names_init(&a->classes, "classes");
  names_init(&a->accounts, "accounts");
}

static void tables_free(Tables *a) {
  g_hash_table_destroy(a->dcs.set);
  g_hash_table_destroy(a->services.set);
  g_hash_table_destroy(a->models.set);
  g_hash_table_destroy(a->classes.set);
  g_hash_table_destroy(a->accounts.set);
}

gboolean mp_config_check(const mp_Config *c, GError **err) {
  Tables a;
  gboolean ok;
  tables_init(&a);
  ok = check_sizes(c, err) && collect_names(c, &a, err) &&
       check_links(c, &a, err) && check_services(c, &a, err) &&
       check_pools(c, &a, err) && check_classes(c, err) &&
       check_accounts(c, &a, err) && check_rules(c, &a, err);
  tables_free(&a);
  return ok;
}
