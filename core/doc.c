/*
** doc.c
** Distribution of the configuration and of the instance list
**
** MP_RELAYS_PER_DC instances of each data centre, the relays, watch both
** documents on
** the platform. Every instance also learns of new versions from probes and
** fetches them from the instance that sent the probe; one that is no relay
** reads the platform only every MP_DOC_POLL_INTERVAL. A configuration is a
** manifest and
** sections; the manifest names each section by the digest of its text, so only
** the changed ones are fetched. Section texts are kept for the configuration
** in force and the one that is being fetched.
*/

#include <stdio.h>
#include <string.h>

#include "doc.h"
#include "fleet.h"
#include "fx.h"
#include "member.h"

#define RELAY_KEY 0x72656c6179ULL /* rendezvous key of the relays */

static const char *const document_keys[MP_DOC_COUNT] = {DOC_KEY_CONFIG,
                                                        DOC_KEY_LIST};

/* the fetch of one document */
typedef struct Incoming {
  mp_DocKind kind;
  int active;   /* a fetch is under way */
  mp_Addr from; /* peer to fetch from; 0: the platform */
  uint64_t version;
  GString *buffer; /* what has come of the document or section */
  char digest[MP_SHA256_HEX + 1]; /* of the section; "": the document itself */
  GBytes *text;             /* the document itself; NULL: not complete yet */
  mp_Manifest manifest;     /* of a configuration, once its text is complete */
  uint32_t rpc;             /* open call to the peer; 0: none */
  uint64_t highest_invalid; /* a version found invalid: it and lower ones are
                            ** not fetched from peers */
} Incoming;

struct Docs {
  Incoming incoming[MP_DOC_COUNT];
  GHashTable *section_texts;      /* digest -> GBytes */
  Timer poll_timer[MP_DOC_COUNT]; /* the next read or watch of the platform */
  int is_reading[MP_DOC_COUNT];   /* a platform call for it is open */
  /* version of the platform's object, as last read; 0: the next poll reads
  ** instead of waiting for a change */
  uint64_t platform_version[MP_DOC_COUNT];
};

static void fetch_next_section(mp_State *state, Incoming *c);
static void poll_platform(mp_State *state, void *ud);

/* is this instance one of the relays of its data centre? */
static int is_relay(const mp_State *state) {
  return member_is_among_first(state, RELAY_KEY, MP_RELAYS_PER_DC);
}

static void poll_after(mp_State *state, mp_DocKind k, mp_Time wait) {
  state->docs->is_reading[k] = 0;
  timer_arm(&state->timers, &state->docs->poll_timer[k], state->now + wait,
            poll_platform, GINT_TO_POINTER(k));
}

/* drop a fetch with what has come; an open platform call goes on */
static void reset_incoming(mp_State *state, Incoming *c) {
  c->active = 0;
  if (c->rpc != 0)
    effect_rpc_cancel(state, c->rpc);
  c->rpc = 0;
  if (c->buffer != NULL)
    g_string_free(c->buffer, TRUE);
  c->buffer = NULL;
  if (c->text != NULL)
    g_bytes_unref(c->text);
  c->text = NULL;
}

/*
** The fetch is over. After one from the platform that failed, the version
** seen there is forgotten, so that the next poll reads instead of waiting for
** a change. One from a peer that failed is started again by the next probe
** that offers the version.
*/
static void finish_fetch(mp_State *state, Incoming *c, int ok) {
  int platform = c->from == 0;
  reset_incoming(state, c);
  if (!platform)
    return;
  if (!ok) {
    state->docs->platform_version[c->kind] = 0;
    poll_after(state, c->kind, MP_STORE_RETRY_INTERVAL);
  } else
    poll_after(state, c->kind, is_relay(state) ? 0 : MP_DOC_POLL_INTERVAL);
}

/*
** {==================================================================
** Putting a document into force
** ===================================================================
*/

/*
** Offer the new versions to up to MP_FANOUT members that have older ones. The
** loop starts at an index that depends on the own address, so that not all
** instances notify the same members.
*/
static void notify_members(mp_State *state) {
  mp_Msg m = {0};
  unsigned sent = 0;
  guint i;
  m.kind = MP_MSG_PROBE;
  /* a probe without gossip; nothing waits for its answer */
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

static void set_in_force(mp_State *state, mp_DocKind k, uint64_t version,
                         GBytes *text) {
  g_assert(version > state->doc[k].version); /* versions never go back */
  state->doc[k].version = version;
  if (state->doc[k].text != NULL)
    g_bytes_unref(state->doc[k].text);
  state->doc[k].text = g_bytes_ref(text);
}

/* a GHRFunc: true of a section that manifest 'ud' doesn't name */
static gboolean is_unused_section(gpointer key, gpointer value, gpointer ud) {
  const mp_Manifest *m = ud;
  unsigned i;
  (void)value;
  for (i = 0; i < m->n; i++) {
    if (strcmp(m->section[i].digest, key) == 0)
      return FALSE;
  }
  return TRUE;
}

static KeyTable *make_key_table(const mp_Config *config) {
  KeyTable *keys = key_table_new();
  unsigned i;
  for (i = 0; i < config->accounts_count; i++)
    key_table_add(keys, config->accounts[i].key_sha256, i);
  return keys;
}

/* all sections are here: decode the configuration, put it into force */
static void apply_config(mp_State *state, Incoming *c) {
  GBytes *text[MP_SECTIONS_MAX];
  GError *err = NULL;
  mp_Config *config;
  unsigned i;
  for (i = 0; i < c->manifest.n; i++)
    text[i] = g_hash_table_lookup(state->docs->section_texts,
                                  c->manifest.section[i].digest);
  config = state->codec->config(&c->manifest, text, &err);
  if (config == NULL) {
    effect_log(state, MP_LOG_CONFIG_BAD,
               " version=%" G_GUINT64_FORMAT " error=\"%s\"",
               (guint64)c->manifest.version, err->message);
    g_error_free(err);
    c->highest_invalid = c->manifest.version;
    return;
  }
  if (state->config != NULL)
    state->codec->free_config(state->config);
  state->config = config;
  key_table_free(state->keys);
  state->keys = make_key_table(config);
  set_in_force(state, MP_DOC_CONFIG, c->manifest.version, c->text);
  g_hash_table_foreach_remove(state->docs->section_texts, is_unused_section,
                              &c->manifest);
  effect_log(state, MP_LOG_CONFIG_NEW, " version=%" G_GUINT64_FORMAT " by=%s",
             (guint64)c->manifest.version, c->manifest.by);
  fleet_refresh(state);
  notify_members(state);
}

/* an older list than the one in force is dropped */
static void apply_list(mp_State *state, Incoming *c) {
  GError *err = NULL;
  gsize n;
  const char *s = g_bytes_get_data(c->text, &n);
  mp_InstanceList *l = state->codec->list(s, n, &err);
  if (l == NULL) {
    effect_log(state, MP_LOG_CONFIG_BAD, " document=list error=\"%s\"",
               err->message);
    g_error_free(err);
    c->highest_invalid = c->version;
    return;
  }
  if (l->version <= state->doc[MP_DOC_LIST].version) {
    state->codec->free_list(l);
    return;
  }
  if (state->list != NULL)
    state->codec->free_list(state->list);
  state->list = l;
  set_in_force(state, MP_DOC_LIST, l->version, c->text);
  effect_log(state, MP_LOG_LIST_NEW, " version=%" G_GUINT64_FORMAT " rows=%u",
             (guint64)l->version, l->n);
  member_apply_list(state);
  fleet_refresh(state);
  notify_members(state);
}

/* the text of the document is complete; a configuration's sections follow */
static void on_document_text(mp_State *state, Incoming *c, const char *s,
                             size_t n) {
  GError *err = NULL;
  c->text = g_bytes_new(s, n);
  if (c->kind == MP_DOC_LIST) {
    apply_list(state, c);
    finish_fetch(state, c, 1);
    return;
  }
  if (!state->codec->manifest(s, n, &c->manifest, &err)) {
    effect_log(state, MP_LOG_CONFIG_BAD, " document=manifest error=\"%s\"",
               err->message);
    g_error_free(err);
    c->highest_invalid = c->version;
    finish_fetch(state, c, 1);
    return;
  }
  if (c->manifest.version <= state->doc[MP_DOC_CONFIG].version) {
    finish_fetch(state, c, 1);
    return;
  }
  c->version = c->manifest.version;
  fetch_next_section(state, c);
}

/* a section whose text doesn't match its digest ends the fetch */
static void on_section_text(mp_State *state, Incoming *c, const char *s,
                            size_t n) {
  char d[MP_SHA256_HEX + 1];
  mp_digest(s, n, d);
  if (strcmp(d, c->digest) != 0) {
    finish_fetch(state, c, 0);
    return;
  }
  g_hash_table_insert(state->docs->section_texts, g_strdup(d),
                      g_bytes_new(s, n));
  fetch_next_section(state, c);
}

/* }================================================================== */

/*
** {==================================================================
** Fetching from a peer
** ===================================================================
*/

static void request_part(mp_State *state, Incoming *c);

/* reply to FETCH: append the part, then ask for the next or go on */
static void on_part(mp_State *state, void *ud, mp_Addr from, const mp_Msg *m) {
  Incoming *c = ud;
  const mp_Fetch *f = m != NULL ? &m->u.fetch : NULL;
  (void)from;
  c->rpc = 0;
  if (f == NULL || f->total == 0 || f->total > MP_DOCUMENT_MAX ||
      f->offset != c->buffer->len) {
    finish_fetch(state, c, 0);
    return;
  }
  g_string_append_len(c->buffer, f->data, f->n);
  if (c->buffer->len < f->total && f->n > 0) {
    request_part(state, c);
    return;
  }
  if (c->digest[0] != '\0')
    on_section_text(state, c, c->buffer->str, c->buffer->len);
  else
    on_document_text(state, c, c->buffer->str, c->buffer->len);
}

static void request_part(mp_State *state, Incoming *c) {
  mp_Msg m = {0};
  m.kind = MP_MSG_FETCH;
  m.u.fetch.doc = (uint8_t)c->kind;
  m.u.fetch.version = c->version;
  memcpy(m.u.fetch.digest, c->digest, sizeof c->digest);
  m.u.fetch.offset = (uint32_t)c->buffer->len;
  c->rpc =
      effect_rpc_call(state, c->from, &m, 4 * MP_PROBE_TIMEOUT, on_part, c);
}

void document_on_fetch(mp_State *state, mp_Addr from, const mp_Msg *m) {
  const mp_Fetch *q = &m->u.fetch;
  GBytes *b = NULL;
  mp_Msg a = {0};
  mp_Fetch *f = &a.u.fetch;
  *f = *q;
  f->total = f->n = 0;
  if (q->digest[0] != '\0')
    b = g_hash_table_lookup(state->docs->section_texts, q->digest);
  else if (q->doc < MP_DOC_COUNT && state->doc[q->doc].version >= q->version)
    b = state->doc[q->doc].text;
  if (b != NULL) {
    gsize n;
    const char *s = g_bytes_get_data(b, &n);
    f->total = (uint32_t)n;
    if (q->offset < n) {
      f->n = (uint32_t)MIN(n - q->offset, MP_CHUNK_SIZE);
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

static void on_section_read(mp_State *state, void *ud,
                            const mp_StoreEvent *e) {
  Incoming *c = ud;
  if (!c->active || c->from != 0)
    return;
  if (e->status != MP_STORE_OK) {
    finish_fetch(state, c, 0);
    return;
  }
  on_section_text(state, c, e->value, e->len);
}

/* fetch the next missing section, or apply the complete configuration */
static void fetch_next_section(mp_State *state, Incoming *c) {
  unsigned i;
  char key[sizeof DOC_KEY_SECTION + MP_SHA256_HEX];
  for (i = 0; i < c->manifest.n; i++) {
    if (!g_hash_table_contains(state->docs->section_texts,
                               c->manifest.section[i].digest))
      break;
  }
  if (i == c->manifest.n) {
    apply_config(state, c);
    finish_fetch(state, c, 1);
    return;
  }
  memcpy(c->digest, c->manifest.section[i].digest, sizeof c->digest);
  if (c->from != 0) {
    g_string_truncate(c->buffer, 0);
    request_part(state, c);
    return;
  }
  snprintf(key, sizeof key, "%s%s", DOC_KEY_SECTION, c->digest);
  effect_store_call(state, MP_ST_GET, key, 0, NULL, 0, MP_STORE_TIMEOUT,
                    on_section_read, c);
}

/* 'from' 0: from the platform; 'version' 0: not known yet */
static void start_fetch(mp_State *state, Incoming *c, mp_Addr from,
                        uint64_t version) {
  if (c->active && c->from == 0)
    finish_fetch(state, c, 0); /* the platform is polled again later */
  reset_incoming(state, c);
  c->active = 1;
  c->from = from;
  c->version = version;
  c->digest[0] = '\0';
  c->buffer = g_string_new(NULL);
}

void document_on_offer(mp_State *state, mp_Addr from,
                       const uint64_t *versions) {
  int k;
  for (k = 0; k < MP_DOC_COUNT; k++) {
    Incoming *c = &state->docs->incoming[k];
    if (versions[k] <= state->doc[k].version ||
        versions[k] <= c->highest_invalid)
      continue;
    if (c->active && c->version >= versions[k])
      continue;
    start_fetch(state, c, from, versions[k]);
    request_part(state, c);
  }
}

/*
** A read or watch of the platform ended. Without a document in force, or when
** the platform has none, the next poll follows after a second.
*/
static void on_document_read(mp_State *state, mp_DocKind k,
                             const mp_StoreEvent *e) {
  Incoming *c = &state->docs->incoming[k];
  if (e->status == MP_STORE_OK) {
    state->docs->platform_version[k] = e->version;
    start_fetch(state, c, 0, 0);
    on_document_text(state, c, e->value, e->len);
  } else if (e->status == MP_STORE_ABSENT || state->doc[k].version == 0)
    poll_after(state, k, MP_SEC);
  else
    poll_after(state, k,
               is_relay(state) ? MP_STORE_RETRY_INTERVAL
                               : MP_DOC_POLL_INTERVAL);
}

static void on_config_read(mp_State *state, void *ud, const mp_StoreEvent *e) {
  (void)ud;
  on_document_read(state, MP_DOC_CONFIG, e);
}

static void on_list_read(mp_State *state, void *ud, const mp_StoreEvent *e) {
  (void)ud;
  on_document_read(state, MP_DOC_LIST, e);
}

/* timer function: a relay that knows a version watches, others read */
static void poll_platform(mp_State *state, void *ud) {
  mp_DocKind k = (mp_DocKind)GPOINTER_TO_INT(ud);
  StoreCallback fn = k == MP_DOC_CONFIG ? on_config_read : on_list_read;
  uint64_t platform_version = state->docs->platform_version[k];
  if (state->docs->is_reading[k])
    return;
  state->docs->is_reading[k] = 1;
  if (platform_version != 0 && is_relay(state))
    effect_store_call(state, MP_ST_WATCH, document_keys[k], platform_version,
                      NULL, 0, MP_WATCH_TIMEOUT + MP_STORE_TIMEOUT, fn, NULL);
  else
    effect_store_call(state, MP_ST_GET, document_keys[k], 0, NULL, 0,
                      MP_STORE_TIMEOUT, fn, NULL);
}

/* }================================================================== */

void document_init(mp_State *state) {
  int k;
  state->docs = g_new0(Docs, 1);
  state->docs->section_texts = g_hash_table_new_full(
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
  for (k = 0; k < MP_DOC_COUNT; k++) {
    state->docs->incoming[k].kind = (mp_DocKind)k;
    timer_arm(&state->timers, &state->docs->poll_timer[k], state->now,
              poll_platform, GINT_TO_POINTER(k));
  }
}

void document_free(mp_State *state) {
  int k;
  for (k = 0; k < MP_DOC_COUNT; k++) {
    reset_incoming(state, &state->docs->incoming[k]);
    if (state->doc[k].text != NULL)
      g_bytes_unref(state->doc[k].text);
  }
  g_hash_table_destroy(state->docs->section_texts);
  g_free(state->docs);
}
