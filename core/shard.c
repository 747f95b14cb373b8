/*
** shard.c
** Durable claims: one object in the platform for each shard
**
** The object holds all claims of its shard that have not expired. It is
** written only by a conditional update on the version that was read, so a
** claim in it is unique even while several instances take themselves for the
** home. All claims that come within MP_CLAIM_WINDOW go into one write (group
** commit). When the reply to a write is lost, the object is read back: it
** shows whose claims it holds.
*/

#include <stdio.h>
#include <string.h>

#include "claim.h"
#include "fx.h"
#include "shard.h"

/* a claim that is not in the platform's object yet */
typedef struct PendingClaim {
  ClaimRow row;
  mp_Addr from; /* instance to answer */
  mp_Msg call;  /* its newest CLAIM */
} PendingClaim;

typedef enum ShardState {
  SHARD_UNREAD,  /* the object was not read, or its last call failed */
  SHARD_READING, /* a read is under way */
  SHARD_CURRENT, /* the rows are the object's, but for rows freed since */
  SHARD_WRITING  /* a write is under way */
} ShardState;

/* the durable claims of one shard */
typedef struct Shard {
  mp_State *owner;
  unsigned number;
  char
      dc[MP_NAME_MAX + 1]; /* the home data centre, part of the object's key */
  ShardState state;
  uint64_t version;    /* of the object as last read or written; 0: none */
  GPtrArray *pending;  /* PendingClaim, not yet in a write */
  GPtrArray *in_write; /* PendingClaim, in the write that is under way */
  int has_freed_rows;  /* rows were freed since the last write */
  Timer timer;         /* the end of MP_CLAIM_WINDOW */
} Shard;

struct Shards {
  Shard shard[MP_CLAIM_SHARDS];
};

/* answer all claims of the array and empty it */
static void answer_all(mp_State *state, GPtrArray *ps, mp_Verdict v) {
  guint i;
  for (i = 0; i < ps->len; i++) {
    PendingClaim *p = ps->pdata[i];
    claim_answer(state, p->from, &p->call, v, MP_RAN_UNKNOWN);
  }
  g_ptr_array_set_size(ps, 0);
}

static void process_pending(mp_State *state, void *ud);

static void format_key(const Shard *s, char out[96]) {
  snprintf(out, 96, "claims/%s/%u", s->dc, s->number);
}

/* append a row as one line: ID, token, ttl_ms */
static void append_row(GString *g, const ClaimRow *r) {
  char t[64];
  mp_token_text(&r->token, 0, t);
  g_string_append_printf(g,
                         "%016" G_GINT64_MODIFIER "x"
                         "%016" G_GINT64_MODIFIER "x %s %u\n",
                         (guint64)r->id[0], (guint64)r->id[1], t, r->ttl_ms);
}

/* parse one line of the object; 0 when it is malformed */
static int parse_row(const char *s, mp_Claim *c) {
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

/*
** Merge the object's rows into those of claim.c; where they differ, the object
** decides which request has the ID. Returns 0 when a line is malformed: the
** whole object is then unusable.
*/
static int merge_object(mp_State *state, const char *value, size_t len) {
  gchar *text = g_strndup(value, len);
  gchar **lines = g_strsplit(text, "\n", -1);
  int ok = 1;
  guint i;
  for (i = 0; ok && lines[i] != NULL; i++) {
    mp_Claim c = {0};
    ClaimRow *r;
    if (lines[i][0] == '\0')
      continue;
    ok = parse_row(lines[i], &c);
    if (!ok)
      break;
    r = claim_find_row(state, c.id);
    if (r == NULL)
      r = claim_add_row(state, &c, MP_RAN_UNKNOWN);
    r->token = c.token;
    r->durable = 1;
  }
  g_strfreev(lines);
  g_free(text);
  return ok;
}

/* drop the shard's durable rows, before those of the object are merged */
static void drop_durable_rows(mp_State *state, const Shard *s) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, claim_rows(state));
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    ClaimRow *r = v;
    if (r->durable && claim_shard_of(r->id) == s->number)
      g_hash_table_iter_remove(&it);
  }
}

/* the object can't be read or written: answer all claims of the shard */
static void fail_shard(mp_State *state, Shard *s, mp_Verdict v) {
  s->state = SHARD_UNREAD;
  answer_all(state, s->in_write, v);
  answer_all(state, s->pending, v);
}

static void on_object_read(mp_State *state, void *ud, const mp_StoreEvent *e) {
  Shard *s = ud;
  s->state = SHARD_UNREAD;
  if (e->status == MP_STORE_ABSENT)
    s->version = 0;
  else if (e->status == MP_STORE_OK) {
    s->version = e->version;
    drop_durable_rows(state, s); /* another home may have freed some */
    if (!merge_object(state, e->value, e->len)) {
      fail_shard(state, s, MP_UNAVAILABLE);
      return;
    }
  } else {
    fail_shard(state, s, MP_UNAVAILABLE);
    return;
  }
  s->state = SHARD_CURRENT;
  process_pending(state, s);
}

static void read_object(mp_State *state, Shard *s) {
  char key[96];
  s->state = SHARD_READING;
  format_key(s, key);
  effect_store_call(state, MP_ST_GET, key, 0, NULL, 0, MP_STORE_TIMEOUT,
                    on_object_read, s);
}

/* the write was carried out: grant its claims */
static void grant_written(mp_State *state, Shard *s) {
  guint i;
  for (i = 0; i < s->in_write->len; i++) {
    PendingClaim *p = s->in_write->pdata[i];
    ClaimRow *r = claim_add_row(state, &p->call.u.claim, MP_RAN_UNKNOWN);
    r->durable = 1;
    claim_answer(state, p->from, &p->call, MP_GRANTED, MP_RAN_NO);
  }
  effect_log(state, MP_LOG_CLAIM_WRITE, " shard=%s/%u claims=%u", s->dc,
             s->number, s->in_write->len);
  g_ptr_array_set_size(s->in_write, 0);
}

/* put the claims of a failed write back to the front of the queue */
static void requeue_write(Shard *s) {
  while (s->in_write->len > 0)
    g_ptr_array_insert(
        s->pending, 0,
        g_ptr_array_steal_index(s->in_write, s->in_write->len - 1));
}

static void on_object_written(mp_State *state, void *ud,
                              const mp_StoreEvent *e) {
  Shard *s = ud;
  switch (e->status) {
  case MP_STORE_OK:
    s->version = e->version;
    s->state = SHARD_CURRENT;
    grant_written(state, s);
    process_pending(state, s);
    break;
  case MP_STORE_CONFLICT:
    effect_log(state, MP_LOG_CLAIM_FENCED, " shard=%s/%u", s->dc, s->number);
    requeue_write(s);
    read_object(state, s);
    break;
  case MP_STORE_UNKNOWN:
    /* the reply was lost: reading back shows whether the write counted */
    requeue_write(s);
    read_object(state, s);
    break;
  default:
    requeue_write(s);
    fail_shard(state, s, MP_UNAVAILABLE);
    break;
  }
}

/* answer the pending claims whose ID has a row; the rest stays pending */
static void answer_decided(mp_State *state, Shard *s) {
  guint i = 0;
  while (i < s->pending->len) {
    PendingClaim *p = s->pending->pdata[i];
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

/* is another claim on the same ID in the write? The later one then waits for
** the next write */
static int is_in_write(const Shard *s, const PendingClaim *p) {
  guint i;
  for (i = 0; i < s->in_write->len; i++) {
    const PendingClaim *o = s->in_write->pdata[i];
    if (claim_id_equal(o->row.id, p->row.id))
      return 1;
  }
  return 0;
}

/* move up to MP_CLAIM_BATCH pending claims into the write */
static void pick_batch(Shard *s) {
  guint i = 0;
  while (i < s->pending->len && s->in_write->len < MP_CLAIM_BATCH) {
    PendingClaim *p = s->pending->pdata[i];
    if (is_in_write(s, p)) {
      i++;
      continue;
    }
    g_ptr_array_steal_index(s->pending, i);
    g_ptr_array_add(s->in_write, p);
  }
}

/* write the shard's durable rows and a batch of pending claims */
static void write_object(mp_State *state, Shard *s) {
  GString *g = g_string_new(NULL);
  GHashTableIter it;
  gpointer v;
  char key[96];
  guint i;
  pick_batch(s);
  g_hash_table_iter_init(&it, claim_rows(state));
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ClaimRow *r = v;
    if (r->durable && claim_shard_of(r->id) == s->number)
      append_row(g, r);
  }
  for (i = 0; i < s->in_write->len; i++)
    append_row(g, &((PendingClaim *)s->in_write->pdata[i])->row);
  s->state = SHARD_WRITING;
  s->has_freed_rows = 0;
  format_key(s, key);
  effect_store_call(state, MP_ST_PUT, key, s->version, g->str, g->len,
                    MP_STORE_TIMEOUT, on_object_written, s);
  g_string_free(g, TRUE);
}

/* timer function, the group commit: write all that came in one window */
static void commit_pending(mp_State *state, void *ud) {
  Shard *s = ud;
  if (s->state != SHARD_CURRENT)
    return; /* when the read or write ends, process_pending is called */
  answer_decided(state, s);
  if (s->pending->len > 0)
    write_object(state, s);
}

/* bring pending claims one step on: read the object, or arm the commit */
static void process_pending(mp_State *state, void *ud) {
  Shard *s = ud;
  if (s->pending->len == 0)
    return;
  if (s->state == SHARD_UNREAD)
    read_object(state, s);
  else if (s->state == SHARD_CURRENT && s->timer.pos == 0)
    timer_arm(&state->timers, &s->timer, state->now + MP_CLAIM_WINDOW,
              commit_pending, s);
}

/* if the claim is in the array already, its call was sent again: the newest
** call is the one to answer */
static int replace_resent(const GPtrArray *ps, mp_Addr from, const mp_Msg *m) {
  guint i;
  for (i = 0; i < ps->len; i++) {
    PendingClaim *p = ps->pdata[i];
    if (claim_id_equal(p->row.id, m->u.claim.id) &&
        state_token_equal(&p->row.token, &m->u.claim.token)) {
      p->from = from;
      p->call = *m;
      return 1;
    }
  }
  return 0;
}

void shard_claim(mp_State *state, mp_Addr from, const mp_Msg *m,
                 const char *dc) {
  Shard *s = &state->shards->shard[claim_shard_of(m->u.claim.id)];
  PendingClaim *p;
  if (strcmp(s->dc, dc) != 0 && s->pending->len + s->in_write->len == 0 &&
      (s->state == SHARD_UNREAD || s->state == SHARD_CURRENT)) {
    g_strlcpy(s->dc, dc, sizeof s->dc);
    s->state = SHARD_UNREAD; /* the shard has another object now */
  }
  if (strcmp(s->dc, dc) != 0) {
    claim_answer(state, from, m, MP_UNAVAILABLE, MP_RAN_NO);
    return;
  }
  if (replace_resent(s->pending, from, m) ||
      replace_resent(s->in_write, from, m))
    return;
  p = g_new0(PendingClaim, 1);
  memcpy(p->row.id, m->u.claim.id, sizeof p->row.id);
  p->row.token = m->u.claim.token;
  p->row.ttl_ms = m->u.claim.ttl_ms;
  p->from = from;
  p->call = *m;
  g_ptr_array_add(s->pending, p);
  process_pending(state, s);
}

void shard_mark_freed(mp_State *state, const ClaimRow *r) {
  if (r->durable)
    state->shards->shard[claim_shard_of(r->id)].has_freed_rows = 1;
}

void shard_write_freed(mp_State *state) {
  unsigned i;
  for (i = 0; i < MP_CLAIM_SHARDS; i++) {
    Shard *s = &state->shards->shard[i];
    if (s->has_freed_rows && s->state == SHARD_CURRENT && s->pending->len == 0)
      write_object(state, s);
  }
}

void shard_init(mp_State *state) {
  unsigned i;
  state->shards = g_new0(Shards, 1);
  for (i = 0; i < MP_CLAIM_SHARDS; i++) {
    Shard *s = &state->shards->shard[i];
    s->owner = state;
    s->number = i;
    s->pending = g_ptr_array_new_with_free_func(g_free);
    s->in_write = g_ptr_array_new_with_free_func(g_free);
  }
}

void shard_free(mp_State *state) {
  unsigned i;
  for (i = 0; i < MP_CLAIM_SHARDS; i++) {
    g_ptr_array_unref(state->shards->shard[i].pending);
    g_ptr_array_unref(state->shards->shard[i].in_write);
  }
  g_free(state->shards);
}
