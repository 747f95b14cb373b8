/*
** docs.c
** The manifest and the instance list, in JSON (jansson)
*/

#include <string.h>

#include <jansson.h>

#include "conf/conf.h"

static const char *const rolenames[] = {"prefill", "decode", "plain"};

const char *mp_role_name(mp_Role r) {
  return r <= MP_ROLE_PLAIN ? rolenames[r] : "unknown";
}

static json_t *load(const char *text, size_t n, const char *what,
                    GError **err) {
  json_error_t e;
  json_t *j = json_loadb(text, n, JSON_REJECT_DUPLICATES, &e);
  if (j == NULL)
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "%s line %d: %s; write it by 'madderpier apply' only", what,
                e.line, e.text);
  return j;
}

static int str(const json_t *j, const char *key, char *out, size_t size) {
  const char *s = json_string_value(json_object_get(j, key));
  if (s == NULL)
    return 0;
  return g_strlcpy(out, s, size) < size;
}

/*
** {==================================================================
** Manifest
** ===================================================================
*/

static gboolean malformed(GError **err, const char *what) {
  g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
              "manifest: %s is missing or wrong; write it by 'madderpier "
              "apply' only",
              what);
  return FALSE;
}

static gboolean sections(const json_t *j, mp_Manifest *m, GError **err) {
  size_t i;
  size_t n = json_array_size(j);
  if (n == 0 || n > MP_SECTIONS_MAX)
    return malformed(err, "'sections'");
  for (i = 0; i < n; i++) {
    const json_t *s = json_array_get(j, i);
    mp_Section *o = &m->section[i];
    if (!str(s, "name", o->name, sizeof o->name) ||
        !str(s, "digest", o->digest, sizeof o->digest) ||
        strlen(o->digest) != MP_SHA256_HEX)
      return malformed(err, "a section");
  }
  m->n = (unsigned)n;
  return TRUE;
}

gboolean mp_manifest_read(const char *text, size_t n, mp_Manifest *out,
                          GError **err) {
  json_t *j = load(text, n, "manifest", err);
  json_int_t v;
  gboolean ok = FALSE;
  if (j == NULL)
    return FALSE;
  memset(out, 0, sizeof *out);
  v = json_integer_value(json_object_get(j, "version"));
  if (v <= 0)
    malformed(err, "'version'");
  else if (!str(j, "apply", out->apply_id, sizeof out->apply_id) ||
           !str(j, "by", out->by, sizeof out->by) ||
           !str(j, "when", out->when, sizeof out->when))
    malformed(err, "'apply', 'by' or 'when'");
  else
    ok = sections(json_object_get(j, "sections"), out, err);
  out->version = (uint64_t)v;
  json_decref(j);
  return ok;
}

char *mp_manifest_write(const mp_Manifest *m) {
  json_t *list = json_array();
  json_t *j;
  char *s;
  char *copy;
  unsigned i;
  for (i = 0; i < m->n; i++)
    json_array_append_new(list,
                          json_pack("{s:s, s:s}", "name", m->section[i].name,
                                    "digest", m->section[i].digest));
  j = json_pack("{s:I, s:s, s:s, s:s, s:o}", "version", (json_int_t)m->version,
                "apply", m->apply_id, "by", m->by, "when", m->when, "sections",
                list);
  s = json_dumps(j, JSON_INDENT(1) | JSON_SORT_KEYS);
  json_decref(j);
  copy = g_strdup(s);
  free(s);
  return copy;
}

/* }================================================================== */

/*
** {==================================================================
** Instance list
** ===================================================================
*/

static int role(const char *s, mp_Role *out) {
  int i;
  for (i = 0; i <= MP_ROLE_PLAIN; i++) {
    if (strcmp(s, rolenames[i]) == 0) {
      *out = (mp_Role)i;
      return 1;
    }
  }
  return 0;
}

static int instance(const json_t *j, mp_Instance *in) {
  char kind[MP_NAME_MAX + 1];
  char addr[MP_NAME_MAX + 1];
  char state[MP_NAME_MAX + 1];
  char rolename[MP_NAME_MAX + 1];
  if (!str(j, "kind", kind, sizeof kind) ||
      !str(j, "name", in->name, sizeof in->name) ||
      !str(j, "data_centre", in->dc, sizeof in->dc) ||
      !str(j, "address", addr, sizeof addr) ||
      !str(j, "state", state, sizeof state))
    return 0;
  in->addr = mp_addr_parse(addr);
  in->leaving = strcmp(state, "leaving") == 0;
  if (in->addr == 0)
    return 0;
  if (strcmp(kind, "entry") == 0) {
    in->kind = MP_INST_ENTRY;
    return 1;
  }
  in->kind = MP_INST_ENDPOINT;
  return strcmp(kind, "endpoint") == 0 &&
         str(j, "service", in->service, sizeof in->service) &&
         str(j, "role", rolename, sizeof rolename) &&
         role(rolename, &in->role);
}

mp_InstanceList *mp_list_read(const char *text, size_t n, GError **err) {
  json_t *j = load(text, n, "instance list", err);
  const json_t *a;
  mp_InstanceList *l;
  size_t i;
  json_int_t v;
  if (j == NULL)
    return NULL;
  a = json_object_get(j, "instances");
  v = json_integer_value(json_object_get(j, "version"));
  l = g_new0(mp_InstanceList, 1);
  l->version = (uint64_t)MAX(v, 0);
  l->n = (unsigned)json_array_size(a);
  l->inst = g_new0(mp_Instance, l->n + 1);
  for (i = 0; i < l->n && instance(json_array_get(a, i), &l->inst[i]); i++)
    ;
  if (v <= 0 || i < l->n) {
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "instance list: %s %zu is malformed; look at the platform's "
                "list",
                v <= 0 ? "'version' or row" : "row", i);
    mp_list_free(l);
    l = NULL;
  }
  json_decref(j);
  return l;
}

void mp_list_free(mp_InstanceList *l) {
  g_free(l->inst);
  g_free(l);
}

/* }================================================================== */

const mp_Codec *mp_codec(void) {
  static const mp_Codec codec = {mp_manifest_read, mp_list_read, mp_list_free,
                                 mp_config_read, mp_config_free};
  return &codec;
}
