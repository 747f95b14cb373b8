/*
** apply.c
** Reads configurations from files and from the platform, and applies them
**
** Sections are written to the platform under the digest of their text, before
** the manifest that names them is replaced by a conditional write. If the
** reply to that write is lost, the manifest is read back: whether it has the
** ID of this apply shows whether the write took effect.
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
  for (i = 0; i < d->manifest.n; i++) {
    if (d->text[i] != NULL)
      g_bytes_unref(d->text[i]);
  }
  memset(d, 0, sizeof *d);
}

int draft_set(Draft *d, const char *name, const char *s, size_t n,
              GError **err) {
  unsigned i;
  for (i = 0; i < d->manifest.n; i++) {
    if (strcmp(d->manifest.section[i].name, name) == 0)
      break;
  }
  if (i == MP_SECTIONS_MAX || strlen(name) > MP_NAME_MAX) {
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "%s: at most %d files with names up to %d bytes; join some",
                name, MP_SECTIONS_MAX, MP_NAME_MAX);
    return 0;
  }
  if (i == d->manifest.n)
    d->manifest.n++;
  else
    g_bytes_unref(d->text[i]);
  g_strlcpy(d->manifest.section[i].name, name,
            sizeof d->manifest.section[i].name);
  mp_digest(s, n, d->manifest.section[i].digest);
  d->text[i] = g_bytes_new(s, n);
  return 1;
}

static int compare_names(gconstpointer a, gconstpointer b) {
  return strcmp(*(char *const *)a, *(char *const *)b);
}

/* sorted names, without the folder; NULL and an error */
static GPtrArray *list_yaml_files(const char *dir, GError **err) {
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
  g_ptr_array_sort(a, compare_names);
  return a;
}

int draft_check(const Draft *d, GError **err) {
  mp_Config *c = mp_config_read(&d->manifest, d->text, err);
  if (c == NULL)
    return 0;
  mp_config_free(c);
  return 1;
}

int draft_read(const char *dir, Draft *d, GError **err) {
  GPtrArray *files = list_yaml_files(dir, err);
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
  if (ok && d->manifest.n == 0) {
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

/* the text of the section with this digest; NULL and an error */
static GBytes *fetch_section(const char *digest, GError **err) {
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
  ok = mp_manifest_read(s->str, s->len, &d->manifest, err);
  g_string_free(s, TRUE);
  for (i = 0; ok && i < d->manifest.n; i++) {
    d->text[i] = fetch_section(d->manifest.section[i].digest, err);
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

void audit_write(const char *key, const char *by, const char *what,
                 uint64_t from, uint64_t to, const char *outcome) {
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

/*
** Writes the sections that the platform does not have. Their keys are digests
** of their text, so writing one twice changes nothing; each is read back after
** a write, whose result is ignored.
*/
static int upload_sections(const Draft *d, GError **err) {
  char key[sizeof KEY_SECTION + MP_SHA256_HEX];
  unsigned i;
  for (i = 0; i < d->manifest.n; i++) {
    int absent = 0;
    int tries = 0;
    gsize n;
    const char *s = g_bytes_get_data(d->text[i], &n);
    GString *have;
    snprintf(key, sizeof key, "%s%s", KEY_SECTION,
             d->manifest.section[i].digest);
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

/* which manifest is in force, as read back after a lost reply: this apply's,
** another one of the same version, or an older one */
typedef enum ReadBack {
  READ_BACK_OURS,
  READ_BACK_OTHER,
  READ_BACK_OLDER,
  READ_BACK_UNKNOWN
} ReadBack;

static ReadBack read_back(const Draft *d, mp_Manifest *other) {
  int absent;
  GString *s = client_get(KEY_MANIFEST, NULL, &absent, NULL);
  gboolean ok;
  memset(other, 0, sizeof *other);
  if (s == NULL)
    return absent ? READ_BACK_OLDER : READ_BACK_UNKNOWN;
  ok = mp_manifest_read(s->str, s->len, other, NULL);
  g_string_free(s, TRUE);
  if (!ok)
    return READ_BACK_UNKNOWN;
  if (strcmp(other->apply_id, d->manifest.apply_id) == 0)
    return READ_BACK_OURS;
  if (other->version < d->manifest.version)
    return READ_BACK_OLDER;
  /* a later version may be based on this apply's */
  return other->version == d->manifest.version ? READ_BACK_OTHER
                                               : READ_BACK_UNKNOWN;
}

/*
** Replaces the manifest, with up to 5 more attempts. The conditional write may
** be sent again, since it takes effect at most once. Only a conflict on the
** first attempt proves by itself that another change was applied first; after
** a lost reply, a conflict may be with this apply's own write, so the manifest
** itself must show it. On a conflict '*other' is the manifest in force.
*/
static PutResult swap_manifest(const Draft *d, uint64_t object,
                               mp_Manifest *other) {
  char *s = mp_manifest_write(&d->manifest);
  PutResult r = client_put(KEY_MANIFEST, object, s, strlen(s));
  ReadBack back = READ_BACK_OLDER;
  int tries;
  if (r == PUT_CONFLICT)
    read_back(d, other);
  for (tries = 0; tries < 5 && r != PUT_DONE && r != PUT_CONFLICT; tries++) {
    back = read_back(d, other);
    if (back == READ_BACK_OURS)
      r = PUT_DONE;
    else if (back == READ_BACK_OTHER)
      r = PUT_CONFLICT;
    else if (back == READ_BACK_OLDER &&
             client_put(KEY_MANIFEST, object, s, strlen(s)) == PUT_DONE)
      r = PUT_DONE;
  }
  g_free(s);
  return r;
}

static void new_apply_id(char out[MP_NAME_MAX + 1]) {
  gchar *u = g_uuid_string_random();
  g_strlcpy(out, u, MP_NAME_MAX + 1);
  g_free(u);
}

int draft_apply(Draft *d, const Draft *base, uint64_t object, const char *by,
                GError **err) {
  mp_Manifest other;
  char *when = utc_time_text();
  gchar *key;
  PutResult r;
  d->manifest.version = base->manifest.version + 1;
  new_apply_id(d->manifest.apply_id);
  g_strlcpy(d->manifest.by, by, sizeof d->manifest.by);
  g_strlcpy(d->manifest.when, when, sizeof d->manifest.when);
  g_free(when);
  if (!upload_sections(d, err))
    return 0;
  key = g_strdup_printf("audit/%010" G_GUINT64_FORMAT "-%s",
                        (guint64)d->manifest.version, d->manifest.apply_id);
  audit_write(key, by, "apply", base->manifest.version, d->manifest.version,
              NULL);
  r = swap_manifest(d, object, &other);
  if (r == PUT_CONFLICT)
    g_set_error(err, MP_ERROR, MP_ERR_CONFLICT,
                "version %" G_GUINT64_FORMAT
                " by %s at %s was applied first; look at it with 'madderpier "
                "diff', then apply again",
                (guint64)other.version, other.by, other.when);
  else if (r != PUT_DONE)
    g_set_error(err, MP_ERROR, MP_ERR_STORE,
                "it is not known whether version %" G_GUINT64_FORMAT
                " took effect; look with 'madderpier show' for apply %s",
                (guint64)d->manifest.version, d->manifest.apply_id);
  audit_write(key, by, "apply", base->manifest.version, d->manifest.version,
              r == PUT_DONE       ? "applied"
              : r == PUT_CONFLICT ? "refused: another change came first"
                                  : "unknown");
  g_free(key);
  return r == PUT_DONE;
}

/* }================================================================== */
