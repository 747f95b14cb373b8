/*
** claim.c
** Claims on request IDs
**
** The home's rows are soft, with two sources to rebuild them from: the
** holders, which announce what they claimed when the home changes, and
** for durable claims the shard's object in the platform. A new home
** grants nothing that it was not the home of before until it has heard
** them out (MP_HOME_SETTLE).
**
** The shard's object holds all its live claims and is written only by
** conditional update on the version that was read, so a claim in it is
** unique whoever else believes to be the home. Rows end by the monotonic
** clock of the home that saw them, never by a date: a wall clock that
** jumps frees nothing.
*/

#include <stdio.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "claim.h"
#include "fx.h"
#include "member.h"

#define SHARD_KEY 0x7368617264ULL /* rendezvous key of shards */

/* longest one durable claim is as text: "C " and four fields, newline */
#define ROWTEXT 96

/* a claim under way to the platform */
typedef struct Pending {
  ClaimRow row;
  mp_Addr from; /* to answer */
  mp_Msg call;
} Pending;

typedef enum ShardState {
  SH_COLD,
  SH_READING,
  SH_WARM,
  SH_WRITING
} ShardState;

/* durable side of a shard; 'version' is of the object as last read */
typedef struct Shard {
  mp_State *M;
  unsigned no;
  char dc[MP_MAXNAME + 1]; /* the home data centre when it was read */
  ShardState state;
  uint64_t version;
  GPtrArray *pending; /* Pending, not yet in a write */
  GPtrArray *writing; /* Pending, in the write that is under way */
  int dirty;          /* rows were freed since the last write */
  Timer timer;
} Shard;

/* a claim that this instance asked for */
typedef struct Asking {
  mp_State *M;
  uint64_t no;
  mp_Claim claim;
  mp_Time until;
  uint32_t rpc;
  Timer timer;
  ClaimFn fn;
  void *ud;
} Asking;

/* what this instance holds, to announce to a new home */
typedef struct Mine {
  mp_Claim claim;
  mp_Ran ran;
  mp_Time until;
  mp_Addr home; /* that was told last */
} Mine;

struct Claims {
  GHashTable *rows; /* id -> ClaimRow, where this instance is the home */
  Shard shard[MP_CLAIM_SHARDS];
  GHashTable *asking; /* number -> Asking */
  GHashTable *mine;   /* id -> Mine */
  Timer tidy;
};

/*
** {==================================================================
** Rows and homes
** ===================================================================
*/

static guint idhash(gconstpointer p) {
  return (guint)(*(const uint64_t *)p);
}

static gboolean idequal(gconstpointer a, gconstpointer b) {
  return memcmp(a, b, 2 * sizeof(uint64_t)) == 0;
}

void mpI_id(const char *account, const char *key, uint64_t id[2]) {
  XXH3_state_t *s = XXH3_createState();
  XXH128_hash_t h;
  XXH3_128bits_reset(s);
  /* the zero byte between keeps ("a","bc") and ("ab","c") apart */
  XXH3_128bits_update(s, account, strlen(account) + 1);
  XXH3_128bits_update(s, key, strlen(key));
  h = XXH3_128bits_digest(s);
  XXH3_freeState(s);
  id[0] = h.low64;
  id[1] = h.high64;
}

static unsigned shardof(const uint64_t id[2]) {
  return (unsigned)(id[1] % MP_CLAIM_SHARDS);
}

/* every ID has one data centre as home, whatever can be reached */
static const char *homedc(const mp_State *M, const uint64_t id[2]) {
  const char *win = NULL;
  uint64_t top = 0;
  unsigned i;
  for (i = 0; M->config != NULL && i < M->config->data_centres_count; i++) {
    const char *name = M->config->data_centres[i].name;
    uint64_t w = mpM_weight(mpS_hash(name), id[0]);
    if (win == NULL || w > top) {
      win = name;
      top = w;
    }
  }
  return win;
}

static mp_Addr homeof(const mp_State *M, const uint64_t id[2]) {
  const char *dc = homedc(M, id);
  if (dc == NULL)
    return 0;
  return mpM_home(M, mpS_hash(dc), SHARD_KEY + shardof(id));
}

/*
** Has this home heard all that was claimed under this ID? It has when it
** was the home before the last change of the set too, or when that change
** is long enough ago for every holder to have announced.
*/
static int settled(const mp_State *M, const uint64_t id[2]) {
  if (M->now - M->settled >= MP_HOME_SETTLE)
    return 1;
  return M->changes == 1 &&
         mpM_homebefore(M, SHARD_KEY + shardof(id)) == M->self;
}

static ClaimRow *addrow(mp_State *M, const mp_Claim *c, mp_Ran ran) {
  ClaimRow *r = g_new0(ClaimRow, 1);
  memcpy(r->id, c->id, sizeof r->id);
  r->token = c->token;
  r->ran = ran;
  r->ttl_ms = c->ttl_ms;
  r->seen = M->now;
  g_hash_table_replace(M->claims->rows, r->id, r);
  return r;
}

static ClaimRow *getrow(const mp_State *M, const uint64_t id[2]) {
  return g_hash_table_lookup(M->claims->rows, id);
}

/* }================================================================== */

/*
** {==================================================================
** The home: answers
** ===================================================================
*/

static void answer(mp_State *M, mp_Addr from, const mp_Msg *call, mp_Verdict v,
                   mp_Ran ran) {
  mp_Msg a = {0};
  a.u.claim = call->u.claim;
  a.u.claim.verdict = (uint8_t)v;
  a.u.claim.ran = (uint8_t)ran;
  mpX_answer(M, from, call, &a);
}

static void answerall(mp_State *M, GPtrArray *ps, mp_Verdict v) {
  guint i;
  for (i = 0; i < ps->len; i++) {
    Pending *p = ps->pdata[i];
    answer(M, p->from, &p->call, v, MP_RAN_UNKNOWN);
  }
  g_ptr_array_set_size(ps, 0);
}

/* }================================================================== */

/*
** {==================================================================
** The home: durable claims
** ===================================================================
*/

static void work(mp_State *M, void *ud);

static void shardkey(const Shard *s, char out[96]) {
  snprintf(out, 96, "claims/%s/%u", s->dc, s->no);
}

static void rowtext(GString *g, const ClaimRow *r) {
  char t[64];
  mp_token_text(&r->token, 0, t);
  g_string_append_printf(g,
                         "%016" G_GINT64_MODIFIER "x"
                         "%016" G_GINT64_MODIFIER "x %s %u\n",
                         (guint64)r->id[0], (guint64)r->id[1], t, r->ttl_ms);
}

/* one line of the object; 0 when it is malformed */
static int parserow(const char *s, mp_Claim *c) {
  guint64 a;
  guint64 b;
  char token[64];
  uint32_t no;
  if (sscanf(s, "%16" G_GINT64_MODIFIER "x%16" G_GINT64_MODIFIER "x %63s %10u",
             &a, &b, token, &c->ttl_ms) != 4)
    return 0;
  c->id[0] = a;
  c->id[1] = b;
  return mp_token_parse(token, &c->token, &no);
}

/* take the object's rows over; an unknown line spoils the whole */
static int absorb(mp_State *M, const char *value, size_t len) {
  gchar *text = g_strndup(value, len);
  gchar **lines = g_strsplit(text, "\n", -1);
  int ok = 1;
  guint i;
  for (i = 0; ok && lines[i] != NULL; i++) {
    mp_Claim c = {0};
    ClaimRow *r;
    if (lines[i][0] == '\0')
      continue;
    ok = parserow(lines[i], &c);
    if (!ok)
      break;
    r = getrow(M, c.id);
    if (r == NULL)
      r = addrow(M, &c, MP_RAN_UNKNOWN);
    r->token = c.token; /* the object decides who has it */
    r->durable = 1;
  }
  g_strfreev(lines);
  g_free(text);
  return ok;
}

static void forgetdurable(mp_State *M, const Shard *s) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, M->claims->rows);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    ClaimRow *r = v;
    if (r->durable && shardof(r->id) == s->no)
      g_hash_table_iter_remove(&it);
  }
}

static void cold(mp_State *M, Shard *s, mp_Verdict v) {
  s->state = SH_COLD;
  answerall(M, s->writing, v);
  answerall(M, s->pending, v);
}

static void shardread(mp_State *M, void *ud, const mp_StoreEvent *e) {
  Shard *s = ud;
  s->state = SH_COLD;
  if (e->status == MP_STORE_ABSENT)
    s->version = 0;
  else if (e->status == MP_STORE_OK) {
    s->version = e->version;
    forgetdurable(M, s); /* what was freed elsewhere is free */
    if (!absorb(M, e->value, e->len)) {
      cold(M, s, MP_UNAVAILABLE);
      return;
    }
  } else {
    cold(M, s, MP_UNAVAILABLE);
    return;
  }
  s->state = SH_WARM;
  work(M, s);
}

static void readshard(mp_State *M, Shard *s) {
  char key[96];
  s->state = SH_READING;
  shardkey(s, key);
  mpX_store(M, MP_ST_GET, key, 0, NULL, 0, MP_STORE_TIMEOUT, shardread, s);
}

/* the claims of a write are in force */
static void written(mp_State *M, Shard *s) {
  guint i;
  for (i = 0; i < s->writing->len; i++) {
    Pending *p = s->writing->pdata[i];
    ClaimRow *r = addrow(M, &p->call.u.claim, MP_RAN_UNKNOWN);
    r->durable = 1;
    answer(M, p->from, &p->call, MP_GRANTED, MP_RAN_NO);
  }
  mpX_log(M, MP_LOG_CLAIM_WRITE, " shard=%s/%u claims=%u", s->dc, s->no,
          s->writing->len);
  g_ptr_array_set_size(s->writing, 0);
}

/* put the claims of a write that did not count back in the queue */
static void unwrite(Shard *s) {
  while (s->writing->len > 0)
    g_ptr_array_insert(
        s->pending, 0,
        g_ptr_array_steal_index(s->writing, s->writing->len - 1));
}

static void shardwritten(mp_State *M, void *ud, const mp_StoreEvent *e) {
  Shard *s = ud;
  switch (e->status) {
  case MP_STORE_OK:
    s->version = e->version;
    s->state = SH_WARM;
    written(M, s);
    work(M, s);
    break;
  case MP_STORE_CONFLICT:
    mpX_log(M, MP_LOG_CLAIM_FENCED, " shard=%s/%u", s->dc, s->no);
    unwrite(s);
    readshard(M, s);
    break;
  case MP_STORE_UNKNOWN:
    /* the reply was lost: reading back shows whose claims stand there */
    unwrite(s);
    readshard(M, s);
    break;
  default:
    unwrite(s);
    cold(M, s, MP_UNAVAILABLE);
    break;
  }
}

/* answer what the rows decide already; the rest stays pending */
static void sift(mp_State *M, Shard *s) {
  guint i = 0;
  while (i < s->pending->len) {
    Pending *p = s->pending->pdata[i];
    const ClaimRow *r = getrow(M, p->row.id);
    if (r == NULL) {
      i++;
      continue;
    }
    if (mpS_sametoken(&r->token, &p->row.token))
      answer(M, p->from, &p->call, MP_GRANTED, MP_RAN_NO);
    else
      answer(M, p->from, &p->call, MP_DENIED, r->ran);
    g_ptr_array_remove_index(s->pending, i);
  }
}

/* two claims on one ID in one write: the second waits for the next */
static int inwrite(const Shard *s, const Pending *p) {
  guint i;
  for (i = 0; i < s->writing->len; i++) {
    const Pending *o = s->writing->pdata[i];
    if (idequal(o->row.id, p->row.id))
      return 1;
  }
  return 0;
}

static void pickbatch(Shard *s) {
  guint i = 0;
  while (i < s->pending->len && s->writing->len < MP_CLAIM_BATCH) {
    Pending *p = s->pending->pdata[i];
    if (inwrite(s, p)) {
      i++;
      continue;
    }
    g_ptr_array_steal_index(s->pending, i);
    g_ptr_array_add(s->writing, p);
  }
}

static void writeshard(mp_State *M, Shard *s) {
  GString *g = g_string_new(NULL);
  GHashTableIter it;
  gpointer v;
  char key[96];
  guint i;
  pickbatch(s);
  g_hash_table_iter_init(&it, M->claims->rows);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ClaimRow *r = v;
    if (r->durable && shardof(r->id) == s->no)
      rowtext(g, r);
  }
  for (i = 0; i < s->writing->len; i++)
    rowtext(g, &((Pending *)s->writing->pdata[i])->row);
  s->state = SH_WRITING;
  s->dirty = 0;
  shardkey(s, key);
  mpX_store(M, MP_ST_PUT, key, s->version, g->str, g->len, MP_STORE_TIMEOUT,
            shardwritten, s);
  g_string_free(g, TRUE);
}

/* the group commit: all that came in one window goes in one write */
static void commit(mp_State *M, void *ud) {
  Shard *s = ud;
  if (s->state != SH_WARM)
    return; /* the end of that read or write comes back here */
  sift(M, s);
  if (s->pending->len > 0)
    writeshard(M, s);
}

static void work(mp_State *M, void *ud) {
  Shard *s = ud;
  if (s->pending->len == 0)
    return;
  if (s->state == SH_COLD)
    readshard(M, s);
  else if (s->state == SH_WARM && s->timer.pos == 0)
    mpT_arm(&M->timers, &s->timer, M->now + MP_CLAIM_WINDOW, commit, s);
}

static int sentagain(const GPtrArray *ps, mp_Addr from, const mp_Msg *m) {
  guint i;
  for (i = 0; i < ps->len; i++) {
    Pending *p = ps->pdata[i];
    if (idequal(p->row.id, m->u.claim.id) &&
        mpS_sametoken(&p->row.token, &m->u.claim.token)) {
      p->from = from;
      p->call = *m; /* answer the newest call */
      return 1;
    }
  }
  return 0;
}

static void durable(mp_State *M, mp_Addr from, const mp_Msg *m,
                    const char *dc) {
  Shard *s = &M->claims->shard[shardof(m->u.claim.id)];
  Pending *p;
  if (strcmp(s->dc, dc) != 0 && s->pending->len + s->writing->len == 0 &&
      (s->state == SH_COLD || s->state == SH_WARM)) {
    g_strlcpy(s->dc, dc, sizeof s->dc);
    s->state = SH_COLD; /* another object */
  }
  if (strcmp(s->dc, dc) != 0) {
    answer(M, from, m, MP_UNAVAILABLE, MP_RAN_NO);
    return;
  }
  if (sentagain(s->pending, from, m) || sentagain(s->writing, from, m))
    return;
  p = g_new0(Pending, 1);
  memcpy(p->row.id, m->u.claim.id, sizeof p->row.id);
  p->row.token = m->u.claim.token;
  p->row.ttl_ms = m->u.claim.ttl_ms;
  p->from = from;
  p->call = *m;
  g_ptr_array_add(s->pending, p);
  work(M, s);
}

/* }================================================================== */

/*
** {==================================================================
** The home: messages
** ===================================================================
*/

/* a holder tells what it has; the first one to have it keeps it */
static void announced(mp_State *M, const mp_Claim *c) {
  ClaimRow *r = getrow(M, c->id);
  if (r == NULL)
    addrow(M, c, (mp_Ran)c->ran);
  else if (mpS_sametoken(&r->token, &c->token))
    r->ran = (mp_Ran)c->ran;
}

void mpI_onclaim(mp_State *M, mp_Addr from, const mp_Msg *m) {
  const mp_Claim *c = &m->u.claim;
  const char *dc = homedc(M, c->id);
  const ClaimRow *r;
  if (c->announce) {
    announced(M, c);
    answer(M, from, m, MP_GRANTED, MP_RAN_UNKNOWN);
    return;
  }
  if (dc == NULL || homeof(M, c->id) != M->self) {
    answer(M, from, m, MP_WRONG_HOME, MP_RAN_NO);
    return;
  }
  r = getrow(M, c->id);
  if (r != NULL && mpS_sametoken(&r->token, &c->token) &&
      r->durable >= c->durable) {
    answer(M, from, m, MP_GRANTED, MP_RAN_NO); /* sent again */
    return;
  }
  if (r != NULL && !mpS_sametoken(&r->token, &c->token)) {
    answer(M, from, m, MP_DENIED, r->ran);
    return;
  }
  if (!settled(M, c->id)) {
    answer(M, from, m, MP_QUEUED, MP_RAN_NO); /* ask again soon */
    return;
  }
  if (c->durable) {
    durable(M, from, m, dc);
    return;
  }
  addrow(M, c, MP_RAN_UNKNOWN);
  answer(M, from, m, MP_GRANTED, MP_RAN_NO);
}

void mpI_onsettle(mp_State *M, mp_Addr from, const mp_Msg *m) {
  const mp_Settle *t = &m->u.settle;
  ClaimRow *r = getrow(M, t->id);
  mp_Msg a = {0};
  if (r != NULL && mpS_sametoken(&r->token, &t->token)) {
    if (t->ran != MP_RAN_NO)
      r->ran = (mp_Ran)t->ran;
    else {
      /* free at once here; the object follows with its next write */
      if (r->durable)
        M->claims->shard[shardof(t->id)].dirty = 1;
      g_hash_table_remove(M->claims->rows, t->id);
    }
  }
  a.u.settle = *t;
  mpX_answer(M, from, m, &a);
}

/* }================================================================== */

/*
** {==================================================================
** The holder
** ===================================================================
*/

static void askhome(mp_State *M, void *ud);

static void freeasking(void *p) {
  Asking *a = p;
  if (a->rpc != 0)
    mpX_rpcdrop(a->M, a->rpc);
  mpT_stop(&a->M->timers, &a->timer);
  g_free(a);
}

/* 'home' is who granted: when another one is home by now, it is told */
static void conclude(mp_State *M, Asking *a, mp_Verdict v, mp_Ran ran,
                     mp_Addr home) {
  ClaimFn fn = a->fn;
  void *ud = a->ud;
  if (v == MP_GRANTED) {
    Mine *mine = g_new0(Mine, 1);
    mine->claim = a->claim;
    mine->ran = MP_RAN_UNKNOWN;
    mine->until = M->now + (mp_Time)a->claim.ttl_ms * MP_MS;
    mine->home = home;
    g_hash_table_replace(M->claims->mine, mine->claim.id, mine);
    if (homeof(M, a->claim.id) != home)
      mpI_homesmoved(M);
  } else if (v == MP_UNAVAILABLE)
    /* it may have been granted all the same: give it back */
    mpI_settle(M, a->claim.id, &a->claim.token, MP_RAN_NO, a->claim.durable);
  mpS_del(M->claims->asking, a->no);
  fn(M, ud, v, ran);
}

static void verdict(mp_State *M, void *ud, mp_Addr from, const mp_Msg *m) {
  Asking *a = ud;
  mp_Verdict v = m != NULL ? (mp_Verdict)m->u.claim.verdict : MP_UNAVAILABLE;
  a->rpc = 0;
  if (m == NULL)
    mpM_silent(M, from);
  if (v == MP_GRANTED || v == MP_DENIED ||
      (v == MP_UNAVAILABLE && m != NULL)) {
    conclude(M, a, v, (mp_Ran)m->u.claim.ran, from);
    return;
  }
  /* no answer, another home, or one that settles: ask again */
  mpT_arm(&M->timers, &a->timer, M->now + 2 * MP_RPC_WAIT, askhome, a);
}

static void askhome(mp_State *M, void *ud) {
  Asking *a = ud;
  mp_Addr home = homeof(M, a->claim.id);
  mp_Msg m = {0};
  if (M->now >= a->until) {
    conclude(M, a, MP_UNAVAILABLE, MP_RAN_NO, 0);
    return;
  }
  if (home == 0) {
    mpT_arm(&M->timers, &a->timer, M->now + 2 * MP_RPC_WAIT, askhome, a);
    return;
  }
  m.kind = MP_MSG_CLAIM;
  m.u.claim = a->claim;
  a->rpc = mpX_rpc(M, home, &m,
                   a->claim.durable ? a->until - M->now : 8 * MP_RPC_WAIT,
                   verdict, a);
}

uint64_t mpI_claim(mp_State *M, const uint64_t id[2], const mp_Token *t,
                   mp_Time ttl, int durably, ClaimFn fn, void *ud) {
  Asking *a = g_new0(Asking, 1);
  a->M = M;
  a->no = ++M->lastnum;
  memcpy(a->claim.id, id, sizeof a->claim.id);
  a->claim.token = *t;
  a->claim.ttl_ms = (uint32_t)(ttl / MP_MS);
  a->claim.durable = (uint8_t)(durably != 0);
  a->until = M->now + MP_STORE_TIMEOUT + MP_HOME_SETTLE;
  a->fn = fn;
  a->ud = ud;
  mpS_set(M->claims->asking, a->no, a);
  askhome(M, a);
  return a->no;
}

void mpI_forget(mp_State *M, uint64_t asking) {
  mpS_del(M->claims->asking, asking);
}

static void settledone(mp_State *M, void *ud, mp_Addr from, const mp_Msg *m) {
  (void)M;
  (void)ud;
  (void)from;
  (void)m; /* a lost one leaves the ID taken until its time is over */
}

void mpI_settle(mp_State *M, const uint64_t id[2], const mp_Token *t,
                mp_Ran ran, int durably) {
  mp_Addr home = homeof(M, id);
  Mine *mine = g_hash_table_lookup(M->claims->mine, id);
  mp_Msg m = {0};
  if (mine != NULL && mpS_sametoken(&mine->claim.token, t)) {
    mine->ran = ran;
    if (ran == MP_RAN_NO)
      g_hash_table_remove(M->claims->mine, id);
  }
  if (home == 0)
    return;
  m.kind = MP_MSG_SETTLE;
  memcpy(m.u.settle.id, id, sizeof m.u.settle.id);
  m.u.settle.token = *t;
  m.u.settle.ran = (uint8_t)ran;
  m.u.settle.durable = (uint8_t)(durably != 0);
  mpX_rpc(M, home, &m, MP_SEC, settledone, NULL);
}

static void announceto(mp_State *M, mp_Addr home, const mp_Claim *c,
                       mp_Ran ran) {
  mp_Msg m = {0};
  m.kind = MP_MSG_CLAIM;
  m.u.claim = *c;
  m.u.claim.announce = 1;
  m.u.claim.ran = (uint8_t)ran;
  mpX_rpc(M, home, &m, MP_SEC, settledone, NULL);
}

/* }================================================================== */

/*
** {==================================================================
** Announcing, handing over, tidying
** ===================================================================
*/

static void announce(mp_State *M) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, M->claims->mine);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Mine *mine = v;
    mp_Addr home = homeof(M, mine->claim.id);
    if (M->now > mine->until) {
      g_hash_table_iter_remove(&it);
      continue;
    }
    if (home == 0 || home == mine->home)
      continue;
    mine->home = home;
    announceto(M, home, &mine->claim, mine->ran);
  }
}

static void tidy(mp_State *M, void *ud) {
  GHashTableIter it;
  gpointer v;
  unsigned i;
  (void)ud;
  announce(M);
  g_hash_table_iter_init(&it, M->claims->rows);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ClaimRow *r = v;
    if (M->now - r->seen <= (mp_Time)r->ttl_ms * MP_MS)
      continue;
    if (r->durable)
      M->claims->shard[shardof(r->id)].dirty = 1;
    g_hash_table_iter_remove(&it);
  }
  for (i = 0; i < MP_CLAIM_SHARDS; i++) {
    Shard *s = &M->claims->shard[i];
    if (s->dirty && s->state == SH_WARM && s->pending->len == 0)
      writeshard(M, s);
  }
  mpT_arm(&M->timers, &M->claims->tidy, M->now + MP_HOME_SETTLE / 3, tidy,
          NULL);
}

void mpI_homesmoved(mp_State *M) {
  if (M->claims != NULL) /* not while the state is being made */
    mpT_arm(&M->timers, &M->claims->tidy, M->now, tidy, NULL);
}

unsigned mpI_handover(mp_State *M) {
  GHashTableIter it;
  gpointer v;
  unsigned left = 0;
  g_hash_table_iter_init(&it, M->claims->rows);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ClaimRow *r = v;
    mp_Claim c = {0};
    mp_Addr home = homeof(M, r->id);
    if (home == 0 || home == M->self)
      continue; /* nobody is there to take it */
    memcpy(c.id, r->id, sizeof c.id);
    c.token = r->token;
    c.ttl_ms = r->ttl_ms;
    announceto(M, home, &c, r->ran);
    g_hash_table_iter_remove(&it);
    left++;
  }
  return left;
}

unsigned mpI_count(const mp_State *M) {
  return g_hash_table_size(M->claims->rows);
}

/* }================================================================== */

void mpI_init(mp_State *M) {
  Claims *C = g_new0(Claims, 1);
  unsigned i;
  M->claims = C;
  C->rows = g_hash_table_new_full(idhash, idequal, NULL, g_free);
  C->mine = g_hash_table_new_full(idhash, idequal, NULL, g_free);
  C->asking = mpS_table(freeasking);
  for (i = 0; i < MP_CLAIM_SHARDS; i++) {
    C->shard[i].M = M;
    C->shard[i].no = i;
    C->shard[i].pending = g_ptr_array_new_with_free_func(g_free);
    C->shard[i].writing = g_ptr_array_new_with_free_func(g_free);
  }
  mpT_arm(&M->timers, &C->tidy, M->now + MP_HOME_SETTLE / 3, tidy, NULL);
}

void mpI_free(mp_State *M) {
  Claims *C = M->claims;
  unsigned i;
  g_hash_table_destroy(C->asking);
  g_hash_table_destroy(C->rows);
  g_hash_table_destroy(C->mine);
  for (i = 0; i < MP_CLAIM_SHARDS; i++) {
    g_ptr_array_unref(C->shard[i].pending);
    g_ptr_array_unref(C->shard[i].writing);
  }
  g_free(C);
}
