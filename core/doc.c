/*
** doc.c
** The configuration and the instance list: getting the newest, everywhere
**
** A few instances per data centre (the relays) hold a watch on the
** platform; the others hear of new versions with the probes, fetch from
** the instance that told them, and look at the platform now and then.
** Sections are named by the digest of their text, so only changed ones
** travel. Blobs are kept for the configuration in force and the one being
** fetched.
*/

#include <stdio.h>
#include <string.h>

#include "doc.h"
#include "fleet.h"
#include "fx.h"
#include "member.h"

#define RELAY_KEY 0x72656c6179ULL /* rendezvous key of the relays */

static const char *const dockey[MP_DOC_COUNT] = {DOC_KEY_CONFIG, DOC_KEY_LIST};

/* a newer document on its way here */
typedef struct Coming {
  mp_DocKind kind;
  int active;
  mp_Addr from; /* peer to fetch from; 0: the platform */
  uint64_t version;
  GString *buf;               /* of the part that is fetched now */
  char digest[MP_DIGEST + 1]; /* of that section; "" for the document */
  GBytes *text;               /* the document itself, once it is here */
  mp_Manifest man;
  uint32_t rpc; /* open call to the peer */
  uint64_t bad; /* highest version that was refused as invalid */
} Coming;

struct Docs {
  Coming coming[MP_DOC_COUNT];
  GHashTable *blobs; /* digest -> GBytes */
  Timer look[MP_DOC_COUNT];
  int asking[MP_DOC_COUNT];    /* a platform call for the document is open */
  uint64_t seen[MP_DOC_COUNT]; /* the platform's own version */
};

static void next(mp_State *state, Coming *c);
static void lookat(mp_State *state, void *ud);

static int relay(const mp_State *state) {
  return member_is_among_first(state, RELAY_KEY, MP_RELAYS);
}

static void again(mp_State *state, mp_DocKind k, mp_Time wait) {
  state->docs->asking[k] = 0;
  timer_arm(&state->timers, &state->docs->look[k], state->now + wait, lookat,
            GINT_TO_POINTER(k));
}

static void clear(mp_State *state, Coming *c) {
  c->active = 0;
  if (c->rpc != 0)
    effect_rpc_cancel(state, c->rpc);
  c->rpc = 0;
  if (c->buf != NULL)
    g_string_free(c->buf, TRUE);
  c->buf = NULL;
  if (c->text != NULL)
    g_bytes_unref(c->text);
  c->text = NULL;
}

/*
** The fetch is over. One from the platform that failed forgets what it
** saw, so that the next look reads instead of waiting for a change; one
** from a peer is begun again by the next probe.
*/
static void finish(mp_State *state, Coming *c, int ok) {
  int platform = c->from == 0;
  clear(state, c);
  if (!platform)
    return;
  if (!ok) {
    state->docs->seen[c->kind] = 0;
    again(state, c->kind, MP_STORE_RETRY);
  } else
    again(state, c->kind, relay(state) ? 0 : MP_DOC_POLL);
}

/*
** {==================================================================
** Taking a document
** ===================================================================
*/

static void tellothers(mp_State *state) {
  mp_Msg m = {0};
  unsigned sent = 0;
  guint i;
  m.kind = MP_MSG_PROBE;
  /* an empty probe: the answer is not waited for */
  m.u.probe.start = state->start;
  m.u.probe.incarnation = state->incarnation;
  m.u.probe.dc = state->dc_hash;
  m.u.probe.state = state->draining ? MP_MEMBER_LEAVING : MP_MEMBER_ALIVE;
  for (i = 0; i < MP_DOC_COUNT; i++)
    m.u.probe.doc[i] = state->doc[i].version;
  for (i = 0; i < state->members->len && sent < MP_FANOUT; i++) {
    guint at =
        (i + (guint)(state->self % state->members->len)) % state->members->len;
    Member *o = state->members->pdata[at];
    int behind = o->doc[MP_DOC_CONFIG] < state->doc[MP_DOC_CONFIG].version ||
                 o->doc[MP_DOC_LIST] < state->doc[MP_DOC_LIST].version;
    if (o->state == MP_MEMBER_DEAD || !behind)
      continue;
    effect_send(state, o->addr, &m);
    sent++;
  }
}

static void inforce(mp_State *state, mp_DocKind k, uint64_t version,
                    GBytes *text) {
  g_assert(version > state->doc[k].version); /* never back */
  state->doc[k].version = version;
  if (state->doc[k].text != NULL)
    g_bytes_unref(state->doc[k].text);
  state->doc[k].text = g_bytes_ref(text);
}

/* forget sections that the configuration in force does not name */
static gboolean unused(gpointer key, gpointer value, gpointer ud) {
  const mp_Manifest *m = ud;
  unsigned i;
  (void)value;
  for (i = 0; i < m->n; i++) {
    if (strcmp(m->section[i].digest, key) == 0)
      return FALSE;
  }
  return TRUE;
}

static KeyTable *keys_of(const mp_Config *conf) {
  KeyTable *keys = key_table_new();
  unsigned i;
  for (i = 0; i < conf->accounts_count; i++)
    key_table_add(keys, conf->accounts[i].key_sha256, i);
  return keys;
}

static void takeconfig(mp_State *state, Coming *c) {
  GBytes *text[MP_MAXSECTIONS];
  GError *err = NULL;
  mp_Config *conf;
  unsigned i;
  for (i = 0; i < c->man.n; i++)
    text[i] =
        g_hash_table_lookup(state->docs->blobs, c->man.section[i].digest);
  conf = state->codec->config(&c->man, text, &err);
  if (conf == NULL) {
    effect_log(state, MP_LOG_CONFIG_BAD,
               " version=%" G_GUINT64_FORMAT " error=\"%s\"",
               (guint64)c->man.version, err->message);
    g_error_free(err);
    c->bad = c->man.version;
    return;
  }
  if (state->config != NULL)
    state->codec->free_config(state->config);
  state->config = conf;
  key_table_free(state->keys);
  state->keys = keys_of(conf);
  inforce(state, MP_DOC_CONFIG, c->man.version, c->text);
  g_hash_table_foreach_remove(state->docs->blobs, unused, &c->man);
  effect_log(state, MP_LOG_CONFIG_NEW, " version=%" G_GUINT64_FORMAT " by=%s",
             (guint64)c->man.version, c->man.by);
  fleet_refresh(state);
  tellothers(state);
}

static void takelist(mp_State *state, Coming *c) {
  GError *err = NULL;
  gsize n;
  const char *s = g_bytes_get_data(c->text, &n);
  mp_List *l = state->codec->list(s, n, &err);
  if (l == NULL) {
    effect_log(state, MP_LOG_CONFIG_BAD, " document=list error=\"%s\"",
               err->message);
    g_error_free(err);
    c->bad = c->version;
    return;
  }
  if (l->version <= state->doc[MP_DOC_LIST].version) {
    state->codec->free_list(l);
    return;
  }
  if (state->list != NULL)
    state->codec->free_list(state->list);
  state->list = l;
  inforce(state, MP_DOC_LIST, l->version, c->text);
  effect_log(state, MP_LOG_LIST_NEW, " version=%" G_GUINT64_FORMAT " rows=%u",
             (guint64)l->version, l->n);
  member_apply_list(state);
  fleet_refresh(state);
  tellothers(state);
}

/* the document's text is here: what else is needed? */
static void gottext(mp_State *state, Coming *c, const char *s, size_t n) {
  GError *err = NULL;
  c->text = g_bytes_new(s, n);
  if (c->kind == MP_DOC_LIST) {
    takelist(state, c);
    finish(state, c, 1);
    return;
  }
  if (!state->codec->manifest(s, n, &c->man, &err)) {
    effect_log(state, MP_LOG_CONFIG_BAD, " document=manifest error=\"%s\"",
               err->message);
    g_error_free(err);
    c->bad = c->version;
    finish(state, c, 1);
    return;
  }
  if (c->man.version <= state->doc[MP_DOC_CONFIG].version) {
    finish(state, c, 1);
    return;
  }
  c->version = c->man.version;
  next(state, c);
}

static void gotsection(mp_State *state, Coming *c, const char *s, size_t n) {
  char d[MP_DIGEST + 1];
  mp_digest(s, n, d);
  if (strcmp(d, c->digest) != 0) {
    finish(state, c, 0);
    return;
  }
  g_hash_table_insert(state->docs->blobs, g_strdup(d), g_bytes_new(s, n));
  next(state, c);
}

/* }================================================================== */

/*
** {==================================================================
** Fetching from a peer
** ===================================================================
*/

static void ask(mp_State *state, Coming *c);

static void part(mp_State *state, void *ud, mp_Addr from, const mp_Msg *m) {
  Coming *c = ud;
  const mp_Fetch *f = m != NULL ? &m->u.fetch : NULL;
  (void)from;
  c->rpc = 0;
  if (f == NULL || f->total == 0 || f->total > MP_MAXDOC ||
      f->offset != c->buf->len) {
    finish(state, c, 0);
    return;
  }
  g_string_append_len(c->buf, f->data, f->n);
  if (c->buf->len < f->total && f->n > 0) {
    ask(state, c);
    return;
  }
  if (c->digest[0] != '\0')
    gotsection(state, c, c->buf->str, c->buf->len);
  else
    gottext(state, c, c->buf->str, c->buf->len);
}

static void ask(mp_State *state, Coming *c) {
  mp_Msg m = {0};
  m.kind = MP_MSG_FETCH;
  m.u.fetch.doc = (uint8_t)c->kind;
  m.u.fetch.version = c->version;
  memcpy(m.u.fetch.digest, c->digest, sizeof c->digest);
  m.u.fetch.offset = (uint32_t)c->buf->len;
  c->rpc = effect_rpc_call(state, c->from, &m, 4 * MP_PROBE_TIMEOUT, part, c);
}

void document_on_fetch(mp_State *state, mp_Addr from, const mp_Msg *m) {
  const mp_Fetch *q = &m->u.fetch;
  GBytes *b = NULL;
  mp_Msg a = {0};
  mp_Fetch *f = &a.u.fetch;
  *f = *q;
  f->total = f->n = 0;
  if (q->digest[0] != '\0')
    b = g_hash_table_lookup(state->docs->blobs, q->digest);
  else if (q->doc < MP_DOC_COUNT && state->doc[q->doc].version >= q->version)
    b = state->doc[q->doc].text;
  if (b != NULL) {
    gsize n;
    const char *s = g_bytes_get_data(b, &n);
    f->total = (uint32_t)n;
    if (q->offset < n) {
      f->n = (uint32_t)MIN(n - q->offset, MP_CHUNK);
      memcpy(f->data, s + q->offset, f->n);
    }
  }
  effect_rpc_reply(state, from, m, &a);
}

/* }================================================================== */

/*
** {==================================================================
** Fetching from the platform
** ===================================================================
*/

static void sectionread(mp_State *state, void *ud, const mp_StoreEvent *e) {
  Coming *c = ud;
  if (!c->active || c->from != 0)
    return;
  if (e->status != MP_STORE_OK) {
    finish(state, c, 0);
    return;
  }
  gotsection(state, c, e->value, e->len);
}

/* the next missing section, or the whole is there */
static void next(mp_State *state, Coming *c) {
  unsigned i;
  char key[sizeof DOC_KEY_SECTION + MP_DIGEST];
  for (i = 0; i < c->man.n; i++) {
    if (!g_hash_table_contains(state->docs->blobs, c->man.section[i].digest))
      break;
  }
  if (i == c->man.n) {
    takeconfig(state, c);
    finish(state, c, 1);
    return;
  }
  memcpy(c->digest, c->man.section[i].digest, sizeof c->digest);
  if (c->from != 0) {
    g_string_truncate(c->buf, 0);
    ask(state, c);
    return;
  }
  snprintf(key, sizeof key, "%s%s", DOC_KEY_SECTION, c->digest);
  effect_store_call(state, MP_ST_GET, key, 0, NULL, 0, MP_STORE_TIMEOUT,
                    sectionread, c);
}

static void begin(mp_State *state, Coming *c, mp_Addr from, uint64_t version) {
  if (c->active && c->from == 0)
    finish(state, c, 0); /* the platform is looked at again, later */
  clear(state, c);
  c->active = 1;
  c->from = from;
  c->version = version;
  c->digest[0] = '\0';
  c->buf = g_string_new(NULL);
}

void document_on_offer(mp_State *state, mp_Addr from,
                       const uint64_t *versions) {
  int k;
  for (k = 0; k < MP_DOC_COUNT; k++) {
    Coming *c = &state->docs->coming[k];
    if (versions[k] <= state->doc[k].version || versions[k] <= c->bad)
      continue;
    if (c->active && c->version >= versions[k])
      continue;
    begin(state, c, from, versions[k]);
    ask(state, c);
  }
}

static void docread(mp_State *state, mp_DocKind k, const mp_StoreEvent *e) {
  Coming *c = &state->docs->coming[k];
  if (e->status == MP_STORE_OK) {
    state->docs->seen[k] = e->version;
    begin(state, c, 0, 0);
    gottext(state, c, e->value, e->len);
  } else if (e->status == MP_STORE_ABSENT || state->doc[k].version == 0)
    again(state, k, MP_SEC);
  else
    again(state, k, relay(state) ? MP_STORE_RETRY : MP_DOC_POLL);
}

static void configread(mp_State *state, void *ud, const mp_StoreEvent *e) {
  (void)ud;
  docread(state, MP_DOC_CONFIG, e);
}

static void listread(mp_State *state, void *ud, const mp_StoreEvent *e) {
  (void)ud;
  docread(state, MP_DOC_LIST, e);
}

static void lookat(mp_State *state, void *ud) {
  mp_DocKind k = (mp_DocKind)GPOINTER_TO_INT(ud);
  StoreCallback fn = k == MP_DOC_CONFIG ? configread : listread;
  uint64_t seen = state->docs->seen[k];
  if (state->docs->asking[k])
    return;
  state->docs->asking[k] = 1;
  if (seen != 0 && relay(state))
    effect_store_call(state, MP_ST_WATCH, dockey[k], seen, NULL, 0,
                      MP_WATCH_TIME + MP_STORE_TIMEOUT, fn, NULL);
  else
    effect_store_call(state, MP_ST_GET, dockey[k], 0, NULL, 0,
                      MP_STORE_TIMEOUT, fn, NULL);
}

/* }================================================================== */

void document_init(mp_State *state) {
  int k;
  state->docs = g_new0(Docs, 1);
  state->docs->blobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify)g_bytes_unref);
  for (k = 0; k < MP_DOC_COUNT; k++) {
    state->docs->coming[k].kind = (mp_DocKind)k;
    timer_arm(&state->timers, &state->docs->look[k], state->now, lookat,
              GINT_TO_POINTER(k));
  }
}

void document_free(mp_State *state) {
  int k;
  for (k = 0; k < MP_DOC_COUNT; k++) {
    clear(state, &state->docs->coming[k]);
    if (state->doc[k].text != NULL)
      g_bytes_unref(state->doc[k].text);
  }
  g_hash_table_destroy(state->docs->blobs);
  g_free(state->docs);
}
