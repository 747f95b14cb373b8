/*
** check.c
** References, ranges and sense of a configuration
** Whatever the schema cannot say: names that must exist, names given
** twice, numbers out of range, and rules that could never be met.
*/

#include <string.h>

#include "conf/conf.h"

static gboolean bad(GError **err, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

static gboolean bad(GError **err, const char *fmt, ...) {
  va_list ap;
  gchar *s;
  va_start(ap, fmt);
  s = g_strdup_vprintf(fmt, ap);
  va_end(ap);
  g_set_error(err, MP_ERROR, MP_ERR_SETTINGS, "%s", s);
  g_free(s);
  return FALSE;
}

/* names of one table, to look up and to find doubles */
typedef struct Names {
  GHashTable *set;
  const char *what;
} Names;

static void namesinit(Names *n, const char *what) {
  n->set = g_hash_table_new(g_str_hash, g_str_equal);
  n->what = what;
}

static gboolean nameadd(Names *n, const char *s, GError **err) {
  if (g_hash_table_add(n->set, (gpointer)s))
    return TRUE;
  return bad(err, "%s: '%s' is there twice; remove one", n->what, s);
}

static gboolean known(const Names *n, const char *s, const char *where,
                      GError **err) {
  if (g_hash_table_contains(n->set, s))
    return TRUE;
  return bad(err,
             "%s names '%s', which is not under %s; add it or correct "
             "the name",
             where, s, n->what);
}

/* the tables that others refer to */
typedef struct All {
  Names dcs, services, models, classes, accounts;
} All;

#define ADDALL(table, names)                   \
  for (i = 0; ok && i < c->table##_count; i++) \
  ok = nameadd(&a->names, c->table[i].name, err)

static gboolean collect(const mp_Config *c, All *a, GError **err) {
  gboolean ok = TRUE;
  unsigned i;
  ADDALL(data_centres, dcs);
  ADDALL(services, services);
  ADDALL(models, models);
  ADDALL(classes, classes);
  ADDALL(accounts, accounts);
  return ok;
}

static gboolean sizes(const mp_Config *c, GError **err) {
  if (c->data_centres_count == 0 || c->data_centres_count > MP_DCS_MAX)
    return bad(err, "data_centres: from 1 to %d are needed, there are %u",
               MP_DCS_MAX, c->data_centres_count);
  if (c->models_count > MP_MODELS_MAX)
    return bad(err, "models: at most %d, there are %u; split the platform",
               MP_MODELS_MAX, c->models_count);
  if (c->policy->refuse_at < 50 || c->policy->refuse_at > 1000)
    return bad(err,
               "policy: refuse_at is %u; set 50 to 1000 (percent of "
               "the first-token target)",
               c->policy->refuse_at);
  return TRUE;
}

static gboolean links(const mp_Config *c, const All *a, GError **err) {
  unsigned i;
  for (i = 0; i < c->links_count; i++) {
    const mp_Link *l = &c->links[i];
    if (!known(&a->dcs, l->from, "links: from", err) ||
        !known(&a->dcs, l->to, "links: to", err))
      return FALSE;
    if (l->mbytes_per_s == 0)
      return bad(err,
                 "links: %s to %s has mbytes_per_s 0; set its rate, or "
                 "forbid the move by kv_move",
                 l->from, l->to);
  }
  return TRUE;
}

static gboolean services(const mp_Config *c, const All *a, GError **err) {
  unsigned i;
  for (i = 0; i < c->services_count; i++) {
    const mp_Service *s = &c->services[i];
    if (s->kind == MP_SVC_ENGINE)
      continue;
    if (s->path == NULL || s->path[0] != '/')
      return bad(err,
                 "services: plain service '%s' needs a path that begins "
                 "with '/'",
                 s->name);
    if (s->class_name == NULL)
      return bad(err, "services: plain service '%s' needs a class", s->name);
    if (!known(&a->classes, s->class_name, "services: class", err))
      return FALSE;
  }
  return TRUE;
}

static gboolean pools(const mp_Config *c, const All *a, GError **err) {
  unsigned i;
  unsigned k;
  for (i = 0; i < c->pools_count; i++) {
    const mp_Pool *p = &c->pools[i];
    if (!known(&a->services, p->service, "pools: service", err))
      return FALSE;
    for (k = 0; k < p->models_count; k++) {
      if (!known(&a->models, p->models[k], "pools: models", err))
        return FALSE;
    }
  }
  for (i = 0; i < c->models_count; i++) {
    const mp_Model *m = &c->models[i];
    if (!known(&a->services, m->service, "models: service", err))
      return FALSE;
    if (m->kv_bytes_per_token == 0)
      return bad(err,
                 "models: '%s' has kv_bytes_per_token 0; set the size "
                 "of its KV cache",
                 m->name);
  }
  return TRUE;
}

static gboolean classes(const mp_Config *c, GError **err) {
  unsigned i;
  for (i = 0; i < c->classes_count; i++) {
    const mp_Class *k = &c->classes[i];
    if (k->weight < 1 || k->weight > 100)
      return bad(err, "classes: '%s' has weight %u; set 1 to 100", k->name,
                 k->weight);
    if (k->first_token_ms == 0 || k->deadline_ms < k->first_token_ms)
      return bad(err,
                 "classes: '%s' needs first_token_ms above 0 and a "
                 "deadline_ms that is no shorter",
                 k->name);
  }
  return TRUE;
}

static gboolean accounts(const mp_Config *c, const All *a, GError **err) {
  unsigned i;
  unsigned k;
  for (i = 0; i < c->accounts_count; i++) {
    const mp_Account *o = &c->accounts[i];
    for (k = 0; k < o->classes_count; k++) {
      if (!known(&a->classes, o->classes[k], "accounts: classes", err))
        return FALSE;
    }
    for (k = 0; k < i; k++) {
      if (strcmp(c->accounts[k].key_sha256, o->key_sha256) == 0)
        return bad(err,
                   "accounts: '%s' and '%s' have the same key; give "
                   "each its own",
                   c->accounts[k].name, o->name);
    }
  }
  return TRUE;
}

static gboolean samerule(const mp_Rule *a, const mp_Rule *b) {
  return strcmp(a->class_name, b->class_name) == 0 &&
         g_strcmp0(a->account, b->account) == 0;
}

static gboolean rules(const mp_Config *c, const All *a, GError **err) {
  unsigned i;
  unsigned k;
  for (i = 0; i < c->rules_count; i++) {
    const mp_Rule *r = &c->rules[i];
    if (!known(&a->classes, r->class_name, "rules: class", err))
      return FALSE;
    if (r->account != NULL &&
        !known(&a->accounts, r->account, "rules: account", err))
      return FALSE;
    if (r->run_in_count == 0)
      return bad(err,
                 "rules: the rule for '%s' lists no data centre in "
                 "run_in; list one, or remove the rule to forbid the "
                 "class",
                 r->class_name);
    for (k = 0; k < r->run_in_count; k++) {
      if (!known(&a->dcs, r->run_in[k], "rules: run_in", err))
        return FALSE;
    }
    for (k = 0; k < i; k++) {
      if (samerule(&c->rules[k], r))
        return bad(err,
                   "rules: two rules for class '%s' and the same "
                   "account; keep one",
                   r->class_name);
    }
  }
  return TRUE;
}

static void allinit(All *a) {
  namesinit(&a->dcs, "data_centres");
  namesinit(&a->services, "services");
  namesinit(&a->models, "models");
  namesinit(&a->classes, "classes");
  namesinit(&a->accounts, "accounts");
}

static void allfree(All *a) {
  g_hash_table_destroy(a->dcs.set);
  g_hash_table_destroy(a->services.set);
  g_hash_table_destroy(a->models.set);
  g_hash_table_destroy(a->classes.set);
  g_hash_table_destroy(a->accounts.set);
}

gboolean mp_config_check(const mp_Config *c, GError **err) {
  All a;
  gboolean ok;
  allinit(&a);
  ok = sizes(c, err) && collect(c, &a, err) && links(c, &a, err) &&
       services(c, &a, err) && pools(c, &a, err) && classes(c, err) &&
       accounts(c, &a, err) && rules(c, &a, err);
  allfree(&a);
  return ok;
}
