/*
** shard.c
** Durable claims: one object in the platform for each shard
**
** The object holds all live claims of its shard and is written only by
** conditional update on the version that was read, so a claim in it is
** unique whoever else believes to be the home. All claims that come within
** MP_CLAIM_WINDOW go in one write (group commit). A lost reply is settled
** by reading back whose claims stand there.
*/

#include <stdio.h>
#include <string.h>

#include "claim.h"
#include "fx.h"
#include "shard.h"

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
  mp_State *owner;
  unsigned no;
  char dc[MP_MAXNAME + 1]; /* the home data centre when it was read */
  ShardState state;
  uint64_t version;
  GPtrArray *pending; /* Pending, not yet in a write */
  GPtrArray *writing; /* Pending, in the write that is under way */
  int dirty;          /* rows were freed since the last write */
  Timer timer;
} Shard;

struct Shards {
  Shard shard[MP_CLAIM_SHARDS];
};

static void answerall(mp_State *state, GPtrArray *ps, mp_Verdict v) {
  guint i;
  for (i = 0; i < ps->len; i++) {
    Pending *p = ps->pdata[i];
    claim_answer(state, p->from, &p->call, v, MP_RAN_UNKNOWN);
  }
  g_ptr_array_set_size(ps, 0);
}

static void work(mp_State *state, void *ud);

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
static int absorb(mp_State *state, const char *value, size_t len) {
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
    r = claim_find_row(state, c.id);
    if (r == NULL)
      r = claim_add_row(state, &c, MP_RAN_UNKNOWN);
    r->token = c.token; /* the object decides who has it */
    r->durable = 1;
  }
  g_strfreev(lines);
  g_free(text);
  return ok;
}

static void forgetdurable(mp_State *state, const Shard *s) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, claim_rows(state));
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    ClaimRow *r = v;
    if (r->durable && claim_shard_of(r->id) == s->no)
      g_hash_table_iter_remove(&it);
  }
}

static void cold(mp_State *state, Shard *s, mp_Verdict v) {
  s->state = SH_COLD;
  answerall(state, s->writing, v);
  answerall(state, s->pending, v);
}

static void shardread(mp_State *state, void *ud, const mp_StoreEvent *e) {
  Shard *s = ud;
  s->state = SH_COLD;
  if (e->status == MP_STORE_ABSENT)
    s->version = 0;
  else if (e->status == MP_STORE_OK) {
    s->version = e->version;
    forgetdurable(state, s); /* what was freed elsewhere is free */
    if (!absorb(state, e->value, e->len)) {
      cold(state, s, MP_UNAVAILABLE);
      return;
    }
  } else {
    cold(state, s, MP_UNAVAILABLE);
    return;
  }
  s->state = SH_WARM;
  work(state, s);
}

static void readshard(mp_State *state, Shard *s) {
  char key[96];
  s->state = SH_READING;
  shardkey(s, key);
  effect_store_call(state, MP_ST_GET, key, 0, NULL, 0, MP_STORE_TIMEOUT,
                    shardread, s);
}

/* the claims of a write are in force */
static void written(mp_State *state, Shard *s) {
  guint i;
  for (i = 0; i < s->writing->len; i++) {
    Pending *p = s->writing->pdata[i];
    ClaimRow *r = claim_add_row(state, &p->call.u.claim, MP_RAN_UNKNOWN);
    r->durable = 1;
    claim_answer(state, p->from, &p->call, MP_GRANTED, MP_RAN_NO);
  }
  effect_log(state, MP_LOG_CLAIM_WRITE, " shard=%s/%u claims=%u", s->dc, s->no,
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

static void shardwritten(mp_State *state, void *ud, const mp_StoreEvent *e) {
  Shard *s = ud;
  switch (e->status) {
  case MP_STORE_OK:
    s->version = e->version;
    s->state = SH_WARM;
    written(state, s);
    work(state, s);
    break;
  case MP_STORE_CONFLICT:
    effect_log(state, MP_LOG_CLAIM_FENCED, " shard=%s/%u", s->dc, s->no);
    unwrite(s);
    readshard(state, s);
    break;
  case MP_STORE_UNKNOWN:
    /* the reply was lost: reading back shows whose claims stand there */
    unwrite(s);
    readshard(state, s);
    break;
  default:
    unwrite(s);
    cold(state, s, MP_UNAVAILABLE);
    break;
  }
}

/* answer what the rows decide already; the rest stays pending */
static void sift(mp_State *state, Shard *s) {
  guint i = 0;
  while (i < s->pending->len) {
    Pending *p = s->pending->pdata[i];
    const ClaimRow *r = claim_find_row(state, p->row.id);
    if (r == NULL) {
      i++;
      continue;
    }
    if (state_token_equal(&r->token, &p->row.token))
      claim_answer(state, p->from, &p->call, MP_GRANTED, MP_RAN_NO);
    else
      claim_answer(state, p->from, &p->call, MP_DENIED, r->ran);
    g_ptr_array_remove_index(s->pending, i);
  }
}

/* two claims on one ID in one write: the second waits for the next */
static int inwrite(const Shard *s, const Pending *p) {
  guint i;
  for (i = 0; i < s->writing->len; i++) {
    const Pending *o = s->writing->pdata[i];
    if (claim_id_equal(o->row.id, p->row.id))
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

static void writeshard(mp_State *state, Shard *s) {
  GString *g = g_string_new(NULL);
  GHashTableIter it;
  gpointer v;
  char key[96];
  guint i;
  pickbatch(s);
  g_hash_table_iter_init(&it, claim_rows(state));
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ClaimRow *r = v;
    if (r->durable && claim_shard_of(r->id) == s->no)
      rowtext(g, r);
  }
  for (i = 0; i < s->writing->len; i++)
    rowtext(g, &((Pending *)s->writing->pdata[i])->row);
  s->state = SH_WRITING;
  s->dirty = 0;
  shardkey(s, key);
  effect_store_call(state, MP_ST_PUT, key, s->version, g->str, g->len,
                    MP_STORE_TIMEOUT, shardwritten, s);
  g_string_free(g, TRUE);
}

/* the group commit: all that came in one window goes in one write */
static void commit(mp_State *state, void *ud) {
  Shard *s = ud;
  if (s->state != SH_WARM)
    return; /* the end of that read or write comes back here */
  sift(state, s);
  if (s->pending->len > 0)
    writeshard(state, s);
}

static void work(mp_State *state, void *ud) {
  Shard *s = ud;
  if (s->pending->len == 0)
    return;
  if (s->state == SH_COLD)
    readshard(state, s);
  else if (s->state == SH_WARM && s->timer.pos == 0)
    timer_arm(&state->timers, &s->timer, state->now + MP_CLAIM_WINDOW, commit,
              s);
}

static int sentagain(const GPtrArray *ps, mp_Addr from, const mp_Msg *m) {
  guint i;
  for (i = 0; i < ps->len; i++) {
    Pending *p = ps->pdata[i];
    if (claim_id_equal(p->row.id, m->u.claim.id) &&
        state_token_equal(&p->row.token, &m->u.claim.token)) {
      p->from = from;
      p->call = *m; /* answer the newest call */
      return 1;
    }
  }
  return 0;
}

void shard_claim(mp_State *state, mp_Addr from, const mp_Msg *m,
                 const char *dc) {
  Shard *s = &state->shards->shard[claim_shard_of(m->u.claim.id)];
  Pending *p;
  if (strcmp(s->dc, dc) != 0 && s->pending->len + s->writing->len == 0 &&
      (s->state == SH_COLD || s->state == SH_WARM)) {
    g_strlcpy(s->dc, dc, sizeof s->dc);
    s->state = SH_COLD; /* another object */
  }
  if (strcmp(s->dc, dc) != 0) {
    claim_answer(state, from, m, MP_UNAVAILABLE, MP_RAN_NO);
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
  work(state, s);
}

void shard_mark_freed(mp_State *state, const ClaimRow *r) {
  if (r->durable)
    state->shards->shard[claim_shard_of(r->id)].dirty = 1;
}

void shard_write_freed(mp_State *state) {
  unsigned i;
  for (i = 0; i < MP_CLAIM_SHARDS; i++) {
    Shard *s = &state->shards->shard[i];
    if (s->dirty && s->state == SH_WARM && s->pending->len == 0)
      writeshard(state, s);
  }
}

void shard_init(mp_State *state) {
  unsigned i;
  state->shards = g_new0(Shards, 1);
  for (i = 0; i < MP_CLAIM_SHARDS; i++) {
    Shard *s = &state->shards->shard[i];
    s->owner = state;
    s->no = i;
    s->pending = g_ptr_array_new_with_free_func(g_free);
    s->writing = g_ptr_array_new_with_free_func(g_free);
  }
}

void shard_free(mp_State *state) {
  unsigned i;
  for (i = 0; i < MP_CLAIM_SHARDS; i++) {
    g_ptr_array_unref(state->shards->shard[i].pending);
    g_ptr_array_unref(state->shards->shard[i].writing);
  }
  g_free(state->shards);
}
