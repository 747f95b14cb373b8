/*
** apply.c
** Configurations as an operator handles them
**
** Sections go to the platform under the digest of their text, before the
** manifest that names them is swapped by conditional update. A lost reply
** to the swap is settled by reading back: the manifest in force has this
** apply's ID, or it does not.
*/

#include <stdio.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include "cli/apply.h"
#include "cli/client.h"
#include "conf/conf.h"

#define KEY_MANIFEST "config/manifest"
#define KEY_SECTION "config/section/"

char *utc_time_text(void) {
  GDateTime *t = g_date_time_new_now_utc();
  char *s = g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ");
  g_date_time_unref(t);
  return s;
}

/*
** {==================================================================
** Drafts
** ===================================================================
*/

void draft_free(Draft *d) {
  unsigned i;
  for (i = 0; i < d->man.n; i++) {
    if (d->text[i] != NULL)
      g_bytes_unref(d->text[i]);
  }
  memset(d, 0, sizeof *d);
}

int draft_set(Draft *d, const char *name, const char *s, size_t n,
              GError **err) {
  unsigned i;
  for (i = 0; i < d->man.n; i++) {
    if (strcmp(d->man.section[i].name, name) == 0)
      break;
  }
  if (i == MP_SECTIONS_MAX || strlen(name) > MP_NAME_MAX) {
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "%s: at most %d files with names up to %d bytes; join some",
                name, MP_SECTIONS_MAX, MP_NAME_MAX);
    return 0;
  }
  if (i == d->man.n)
    d->man.n++;
  else
    g_bytes_unref(d->text[i]);
  g_strlcpy(d->man.section[i].name, name, sizeof d->man.section[i].name);
  mp_digest(s, n, d->man.section[i].digest);
  d->text[i] = g_bytes_new(s, n);
  return 1;
}

static int byname(gconstpointer a, gconstpointer b) {
  return strcmp(*(char *const *)a, *(char *const *)b);
}

static GPtrArray *yamlfiles(const char *dir, GError **err) {
  GDir *d = g_dir_open(dir, 0, err);
  GPtrArray *a;
  const char *f;
  if (d == NULL)
    return NULL;
  a = g_ptr_array_new_with_free_func(g_free);
  while ((f = g_dir_read_name(d)) != NULL) {
    if (g_str_has_suffix(f, ".yaml"))
      g_ptr_array_add(a, g_strdup(f));
  }
  g_dir_close(d);
  g_ptr_array_sort(a, byname);
  return a;
}

int draft_check(const Draft *d, GError **err) {
  mp_Config *c = mp_config_read(&d->man, d->text, err);
  if (c == NULL)
    return 0;
  mp_config_free(c);
  return 1;
}

int draft_read(const char *dir, Draft *d, GError **err) {
  GPtrArray *files = yamlfiles(dir, err);
  int ok = files != NULL;
  guint i;
  memset(d, 0, sizeof *d);
  for (i = 0; ok && i < files->len; i++) {
    gchar *path = g_build_filename(dir, files->pdata[i], NULL);
    gchar *s = NULL;
    gsize n = 0;
    ok = g_file_get_contents(path, &s, &n, err) &&
         draft_set(d, files->pdata[i], s, n, err);
    g_free(s);
    g_free(path);
  }
  if (ok && d->man.n == 0) {
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "%s: no *.yaml file there; name the folder of the "
                "configuration",
                dir);
    ok = 0;
  }
  if (files != NULL)
    g_ptr_array_unref(files);
  ok = ok && draft_check(d, err);
  if (!ok)
    draft_free(d);
  return ok;
}

static GBytes *section(const char *digest, GError **err) {
  char key[sizeof KEY_SECTION + MP_SHA256_HEX];
  int absent;
  GString *s;
  snprintf(key, sizeof key, "%s%s", KEY_SECTION, digest);
  s = client_get(key, NULL, &absent, err);
  if (s == NULL && absent)
    g_set_error(err, MP_ERROR, MP_ERR_STORE,
                "%s is missing on the platform; apply the whole "
                "configuration again",
                key);
  return s != NULL ? g_string_free_to_bytes(s) : NULL;
}

int draft_fetch(Draft *d, uint64_t *object, GError **err) {
  int absent;
  GString *s = client_get(KEY_MANIFEST, object, &absent, err);
  unsigned i;
  gboolean ok;
  memset(d, 0, sizeof *d);
  if (s == NULL) {
    *object = 0;
    return absent;
  }
  ok = mp_manifest_read(s->str, s->len, &d->man, err);
  g_string_free(s, TRUE);
  for (i = 0; ok && i < d->man.n; i++) {
    d->text[i] = section(d->man.section[i].digest, err);
    ok = d->text[i] != NULL;
  }
  if (!ok)
    draft_free(d);
  return ok;
}

/* }================================================================== */

/*
** {==================================================================
** Audit
** ===================================================================
*/

void audit(const char *key, const char *by, const char *what, uint64_t from,
           uint64_t to, const char *outcome) {
  char *when = utc_time_text();
  json_t *j =
      json_pack("{s:s, s:s, s:s, s:I, s:I, s:s}", "who", by, "when", when,
                "what", what, "from", (json_int_t)from, "to", (json_int_t)to,
                "outcome", outcome != NULL ? outcome : "under way");
  char *s = json_dumps(j, JSON_COMPACT | JSON_SORT_KEYS);
  uint64_t version = 0;
  int absent;
  GString *old = client_get(key, &version, &absent, NULL);
  if (old != NULL)
    g_string_free(old, TRUE);
  if (client_put(key, version, s, strlen(s)) != PUT_DONE)
    fprintf(stderr,
            "madderpier: the audit record %s could not be written; "
            "look with 'madderpier audit'\n",
            key);
  free(s);
  json_decref(j);
  g_free(when);
}

/* }================================================================== */

/*
** {==================================================================
** Applying
** ===================================================================
*/

/* sections are named by their text: writing one twice changes nothing */
static int upload(const Draft *d, GError **err) {
  char key[sizeof KEY_SECTION + MP_SHA256_HEX];
  unsigned i;
  for (i = 0; i < d->man.n; i++) {
    int absent = 0;
    int tries = 0;
    gsize n;
    const char *s = g_bytes_get_data(d->text[i], &n);
    GString *have;
    snprintf(key, sizeof key, "%s%s", KEY_SECTION, d->man.section[i].digest);
    while ((have = client_get(key, NULL, &absent, err)) == NULL) {
      if (!absent || tries++ == 5) {
        if (absent)
          g_set_error(err, MP_ERROR, MP_ERR_STORE, "cannot write %s: %s", key,
                      mp_error_text(MP_ERR_STORE));
        return 0;
      }
      client_put(key, 0, s, n);
    }
    g_string_free(have, TRUE);
  }
  return 1;
}

/* whose manifest is in force, as seen after a reply was lost */
typedef enum Back { BACK_OURS, BACK_OTHER, BACK_NOTYET, BACK_UNKNOWN } Back;

static Back readback(const Draft *d, mp_Manifest *other) {
  int absent;
  GString *s = client_get(KEY_MANIFEST, NULL, &absent, NULL);
  gboolean ok;
  memset(other, 0, sizeof *other);
  if (s == NULL)
    return absent ? BACK_NOTYET : BACK_UNKNOWN;
  ok = mp_manifest_read(s->str, s->len, other, NULL);
  g_string_free(s, TRUE);
  if (!ok)
    return BACK_UNKNOWN;
  if (strcmp(other->apply_id, d->man.apply_id) == 0)
    return BACK_OURS;
  if (other->version < d->man.version)
    return BACK_NOTYET;
  /* a later one may stand on top of ours */
  return other->version == d->man.version ? BACK_OTHER : BACK_UNKNOWN;
}

/*
** The conditional write may be sent again: it takes effect at most once.
** Only a conflict on the first try proves by itself that another came
** first; after a lost reply the manifest itself must show it.
*/
static PutResult swap(const Draft *d, uint64_t object, mp_Manifest *other) {
  char *s = mp_manifest_write(&d->man);
  PutResult r = client_put(KEY_MANIFEST, object, s, strlen(s));
  Back back = BACK_NOTYET;
  int tries;
  if (r == PUT_CONFLICT)
    readback(d, other);
  for (tries = 0; tries < 5 && r != PUT_DONE && r != PUT_CONFLICT; tries++) {
    back = readback(d, other);
    if (back == BACK_OURS)
      r = PUT_DONE;
    else if (back == BACK_OTHER)
      r = PUT_CONFLICT;
    else if (back == BACK_NOTYET &&
             client_put(KEY_MANIFEST, object, s, strlen(s)) == PUT_DONE)
      r = PUT_DONE;
  }
  g_free(s);
  return r;
}

static void newid(char out[MP_NAME_MAX + 1]) {
  gchar *u = g_uuid_string_random();
  g_strlcpy(out, u, MP_NAME_MAX + 1);
  g_free(u);
}

int apply(Draft *d, const Draft *base, uint64_t object, const char *by,
          GError **err) {
  mp_Manifest other;
  char *when = utc_time_text();
  gchar *key;
  PutResult r;
  d->man.version = base->man.version + 1;
  newid(d->man.apply_id);
  g_strlcpy(d->man.by, by, sizeof d->man.by);
  g_strlcpy(d->man.when, when, sizeof d->man.when);
  g_free(when);
  if (!upload(d, err))
    return 0;
  key = g_strdup_printf("audit/%010" G_GUINT64_FORMAT "-%s",
                        (guint64)d->man.version, d->man.apply_id);
  audit(key, by, "apply", base->man.version, d->man.version, NULL);
  r = swap(d, object, &other);
  if (r == PUT_CONFLICT)
    g_set_error(err, MP_ERROR, MP_ERR_CONFLICT,
                "version %" G_GUINT64_FORMAT " by %s at %s came first; look "
                "at it with 'madderpier diff', then apply again",
                (guint64)other.version, other.by, other.when);
  else if (r != PUT_DONE)
    g_set_error(err, MP_ERROR, MP_ERR_STORE,
                "it is not known whether version %" G_GUINT64_FORMAT
                " took effect; look with 'madderpier show' for apply %s",
                (guint64)d->man.version, d->man.apply_id);
  audit(key, by, "apply", base->man.version, d->man.version,
        r == PUT_DONE       ? "applied"
        : r == PUT_CONFLICT ? "refused: another change came first"
                            : "unknown");
  g_free(key);
  return r == PUT_DONE;
}

/* }================================================================== */
