/*
** docs.c
** Reads and writes the manifest, and reads the instance list, as JSON
** (jansson)
*/

#include <string.h>

#include <jansson.h>

#include "conf/conf.h"

static const char *const role_names[] = {"prefill", "decode", "plain"};

const char *mp_role_name(mp_Role r) {
  return r <= MP_ROLE_PLAIN ? role_names[r] : "unknown";
}

/* the JSON in 'text', or NULL and an error; 'what' names the document */
static json_t *load_json(const char *text, size_t n, const char *what,
                         GError **err) {
  json_error_t e;
  json_t *j = json_loadb(text, n, JSON_REJECT_DUPLICATES, &e);
  if (j == NULL)
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "%s line %d: %s; correct this object on the platform", what,
                e.line, e.text);
  return j;
}

/* copies a member of type string to 'out'; 0 if there is none or it doesn't
** fit */
static int copy_string(const json_t *j, const char *key, char *out,
                       size_t size) {
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

/* sets the error for a missing or invalid part of the manifest */
static gboolean set_manifest_error(GError **err, const char *what) {
  g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
              "manifest: %s is missing or wrong; it must be written only by "
              "'madderpier apply'",
              what);
  return FALSE;
}

static gboolean read_sections(const json_t *j, mp_Manifest *m, GError **err) {
  size_t i;
  size_t n = json_array_size(j);
  if (n == 0 || n > MP_SECTIONS_MAX)
    return set_manifest_error(err, "'sections'");
  for (i = 0; i < n; i++) {
    const json_t *s = json_array_get(j, i);
    mp_Section *o = &m->section[i];
    if (!copy_string(s, "name", o->name, sizeof o->name) ||
        !copy_string(s, "digest", o->digest, sizeof o->digest) ||
        strlen(o->digest) != MP_SHA256_HEX)
      return set_manifest_error(err, "a section");
  }
  m->n = (unsigned)n;
  return TRUE;
}

gboolean mp_manifest_read(const char *text, size_t n, mp_Manifest *out,
                          GError **err) {
  json_t *j = load_json(text, n, "manifest", err);
  json_int_t v;
  gboolean ok = FALSE;
  if (j == NULL)
    return FALSE;
  memset(out, 0, sizeof *out);
  v = json_integer_value(json_object_get(j, "version"));
  if (v <= 0)
    set_manifest_error(err, "'version'");
  else if (!copy_string(j, "apply", out->apply_id, sizeof out->apply_id) ||
           !copy_string(j, "by", out->by, sizeof out->by) ||
           !copy_string(j, "when", out->when, sizeof out->when))
    set_manifest_error(err, "'apply', 'by' or 'when'");
  else
    ok = read_sections(json_object_get(j, "sections"), out, err);
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

static int parse_role(const char *s, mp_Role *out) {
  int i;
  for (i = 0; i <= MP_ROLE_PLAIN; i++) {
    if (strcmp(s, role_names[i]) == 0) {
      *out = (mp_Role)i;
      return 1;
    }
  }
  return 0;
}

/* fills one row of the list; 0 if a member is missing or invalid */
static int read_instance(const json_t *j, mp_Instance *in) {
  char kind[MP_NAME_MAX + 1];
  char addr[MP_NAME_MAX + 1];
  char state[MP_NAME_MAX + 1];
  char role_name[MP_NAME_MAX + 1];
  if (!copy_string(j, "kind", kind, sizeof kind) ||
      !copy_string(j, "name", in->name, sizeof in->name) ||
      !copy_string(j, "data_centre", in->dc, sizeof in->dc) ||
      !copy_string(j, "address", addr, sizeof addr) ||
      !copy_string(j, "state", state, sizeof state))
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
         copy_string(j, "service", in->service, sizeof in->service) &&
         copy_string(j, "role", role_name, sizeof role_name) &&
         parse_role(role_name, &in->role);
}

mp_InstanceList *mp_list_read(const char *text, size_t n, GError **err) {
  json_t *j = load_json(text, n, "instance list", err);
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
  for (i = 0; i < l->n && read_instance(json_array_get(a, i), &l->inst[i]);
       i++)
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
