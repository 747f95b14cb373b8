/*
** rpc.c
** Messages between instances as ONC RPC datagrams
**
** Every kind of message is one procedure. A call and its reply have the same
** body, except for RESERVE, whose reply holds only the keeper's verdict. Calls
** of unknown programs, versions and procedures, and calls whose body cannot be
** decoded, are answered as RFC 5531 says.
*/

#include <string.h>

#include <rpc/rpc.h>

#include "wire/rpc.h"

/*
** {==================================================================
** Bodies
**
** Each function is an XDR filter: it encodes or decodes '*x' according to the
** direction of the stream, and returns FALSE when the datagram ends too early
** or a value is out of range.
** ===================================================================
*/

static bool_t xdr_u64(XDR *x, uint64_t *v) {
  return xdr_uint64_t(x, v);
}

static bool_t xdr_u32(XDR *x, uint32_t *v) {
  return xdr_uint32_t(x, v);
}

/* a small number is encoded in 32 bits; a value above 255 is an error */
static bool_t xdr_u8(XDR *x, uint8_t *v) {
  uint32_t w = *v;
  if (!xdr_u32(x, &w) || w > UINT8_MAX)
    return FALSE;
  *v = (uint8_t)w;
  return TRUE;
}

/* a number of rows; more than 'max' is an error */
static bool_t xdr_count(XDR *x, unsigned *n, unsigned max) {
  return xdr_u32(x, n) && *n <= max;
}

static bool_t xdr_token(XDR *x, mp_Token *t) {
  return xdr_u64(x, &t->owner) && xdr_u32(x, &t->start) && xdr_u32(x, &t->seq);
}

static bool_t xdr_member_update(XDR *x, mp_MemberUpdate *m) {
  return xdr_u64(x, &m->addr) && xdr_u32(x, &m->start) &&
         xdr_u32(x, &m->incarnation) && xdr_u32(x, &m->dc) &&
         xdr_u8(x, &m->state);
}

/* two 16-bit numbers in one 32-bit word */
static bool_t xdr_u16_pair(XDR *x, uint16_t *a, uint16_t *b) {
  uint32_t w = (uint32_t)*a << 16 | *b;
  if (!xdr_u32(x, &w))
    return FALSE;
  *a = (uint16_t)(w >> 16);
  *b = (uint16_t)(w & UINT16_MAX);
  return TRUE;
}

static bool_t xdr_load_update(XDR *x, mp_LoadUpdate *l) {
  uint16_t flags_and_role = (uint16_t)(l->flags << 8 | l->role);
  if (!xdr_u64(x, &l->addr) || !xdr_u32(x, &l->stamp) ||
      !xdr_u16_pair(x, &l->slots, &l->used) || !xdr_u32(x, &l->wait) ||
      !xdr_u32(x, &l->rate) || !xdr_u16_pair(x, &flags_and_role, &l->running))
    return FALSE;
  l->flags = (uint8_t)(flags_and_role >> 8);
  l->role = (uint8_t)(flags_and_role & UINT8_MAX);
  return TRUE;
}

static bool_t xdr_probe(XDR *x, mp_Probe *p) {
  unsigned i;
  if (!xdr_u32(x, &p->start) || !xdr_u32(x, &p->incarnation) ||
      !xdr_u32(x, &p->dc) || !xdr_u8(x, &p->state) || !xdr_u64(x, &p->target))
    return FALSE;
  for (i = 0; i < MP_DOC_COUNT; i++) {
    if (!xdr_u64(x, &p->doc[i]))
      return FALSE;
  }
  if (!xdr_count(x, &p->nmember, MP_GOSSIP_MEMBERS))
    return FALSE;
  for (i = 0; i < p->nmember; i++) {
    if (!xdr_member_update(x, &p->member[i]))
      return FALSE;
  }
  if (!xdr_count(x, &p->nload, MP_GOSSIP_LOADS))
    return FALSE;
  for (i = 0; i < p->nload; i++) {
    if (!xdr_load_update(x, &p->load[i]))
      return FALSE;
  }
  return TRUE;
}

static bool_t xdr_reserve(XDR *x, mp_Reserve *r) {
  return xdr_token(x, &r->token) && xdr_u32(x, &r->attempt) &&
         xdr_u64(x, &r->endpoint) && xdr_u8(x, &r->role) &&
         xdr_u32(x, &r->tokens) && xdr_u32(x, &r->slack_ms) &&
         xdr_u32(x, &r->start_ms) && xdr_u32(x, &r->weight);
}

/* the keeper's reply to RESERVE */
static bool_t xdr_reserve_reply(XDR *x, mp_Reserve *r) {
  return xdr_u8(x, &r->verdict) && xdr_u32(x, &r->wait_ms) &&
         xdr_u32(x, &r->slots) && xdr_u32(x, &r->used);
}

/* call and reply alike: the holder's reply says whether it still wants the
** reservation */
static bool_t xdr_grant(XDR *x, mp_Reserve *r) {
  return xdr_token(x, &r->token) && xdr_u32(x, &r->attempt) &&
         xdr_u64(x, &r->endpoint) && xdr_reserve_reply(x, r);
}

static bool_t xdr_renewal(XDR *x, mp_Renewal *w) {
  return xdr_u32(x, &w->seq) && xdr_u32(x, &w->attempt) &&
         xdr_u64(x, &w->endpoint) && xdr_u8(x, &w->role) &&
         xdr_u8(x, &w->state) && xdr_u32(x, &w->tokens);
}

static bool_t xdr_renew(XDR *x, mp_Renew *r) {
  unsigned i;
  if (!xdr_u64(x, &r->owner) || !xdr_u32(x, &r->start) ||
      !xdr_count(x, &r->n, MP_RENEW_BATCH))
    return FALSE;
  for (i = 0; i < r->n; i++) {
    if (!xdr_renewal(x, &r->row[i]))
      return FALSE;
  }
  return TRUE;
}

static bool_t xdr_release(XDR *x, mp_Release *r) {
  return xdr_token(x, &r->token) && xdr_u32(x, &r->attempt) &&
         xdr_u64(x, &r->endpoint) && xdr_u8(x, &r->kept) &&
         xdr_u32(x, &r->took_ms);
}

static bool_t xdr_claim(XDR *x, mp_Claim *c) {
  return xdr_u64(x, &c->id[0]) && xdr_u64(x, &c->id[1]) &&
         xdr_token(x, &c->token) && xdr_u32(x, &c->ttl_ms) &&
         xdr_u8(x, &c->durable) && xdr_u8(x, &c->announce) &&
         xdr_u8(x, &c->verdict) && xdr_u8(x, &c->ran);
}

static bool_t xdr_settle(XDR *x, mp_Settle *s) {
  return xdr_u64(x, &s->id[0]) && xdr_u64(x, &s->id[1]) &&
         xdr_token(x, &s->token) && xdr_u8(x, &s->ran) &&
         xdr_u8(x, &s->durable);
}

static bool_t xdr_quota(XDR *x, mp_Quota *q) {
  return xdr_u32(x, &q->account) && xdr_u32(x, &q->want) &&
         xdr_u32(x, &q->given) && xdr_u32(x, &q->for_ms) &&
         xdr_u8(x, &q->verdict);
}

static bool_t xdr_fetch(XDR *x, mp_Fetch *f) {
  char *digest = f->digest;
  if (!xdr_u8(x, &f->doc) || !xdr_u64(x, &f->version) ||
      !xdr_string(x, &digest, MP_SHA256_HEX) || !xdr_u32(x, &f->offset) ||
      !xdr_u32(x, &f->total) || !xdr_count(x, &f->n, MP_CHUNK_SIZE))
    return FALSE;
  return xdr_opaque(x, f->data, f->n);
}

static bool_t xdr_retry_rows(XDR *x, mp_LoadDigest *d) {
  unsigned i;
  if (!xdr_count(x, &d->retry_count, MP_LOAD_DIGEST_SERVICES))
    return FALSE;
  for (i = 0; i < d->retry_count; i++) {
    mp_RetryRow *row = &d->retry[i];
    if (!xdr_u32(x, &row->service) || !xdr_u32(x, &row->requests) ||
        !xdr_u32(x, &row->extras))
      return FALSE;
  }
  return TRUE;
}

static bool_t xdr_account_rows(XDR *x, mp_LoadDigest *d) {
  unsigned i;
  if (!xdr_count(x, &d->account_count, MP_LOAD_DIGEST_ACCOUNTS))
    return FALSE;
  for (i = 0; i < d->account_count; i++) {
    mp_AccountRow *row = &d->account[i];
    uint32_t word = row->spent << 8 | (row->level & UINT8_MAX);
    if (!xdr_u32(x, &row->account) || !xdr_u32(x, &word))
      return FALSE;
    row->spent = word >> 8;
    row->level = word & UINT8_MAX;
  }
  return TRUE;
}

/* largest values of the parts of a packed load; a larger value is encoded as
** the largest */
#define BLOCKS_MAX 0xffffu
#define DISPATCHES_MAX 0x1ffu
#define FAILING_MAX 0x7fu
#define FAILING_STEP_PERCENT 4u /* so that sums over several instances fit */

/* one word: 16 bits for the blocks of tokens, 9 for the dispatches and 7 for
** the share of failures; blocks and share are rounded up */
static bool_t xdr_packed_load(XDR *x, mp_LoadRow *row) {
  uint32_t blocks = (row->tokens + MP_TOKEN_BLOCK - 1) / MP_TOKEN_BLOCK;
  uint32_t failing =
      (row->failing + FAILING_STEP_PERCENT - 1) / FAILING_STEP_PERCENT;
  uint32_t word = (blocks < BLOCKS_MAX ? blocks : BLOCKS_MAX) << 16;
  word |= (row->open < DISPATCHES_MAX ? row->open : DISPATCHES_MAX) << 7;
  word |= failing < FAILING_MAX ? failing : FAILING_MAX;
  if (!xdr_u32(x, &word))
    return FALSE;
  row->tokens = (word >> 16) * MP_TOKEN_BLOCK;
  row->open = word >> 7 & DISPATCHES_MAX;
  row->failing = (word & FAILING_MAX) * FAILING_STEP_PERCENT;
  return TRUE;
}

static bool_t xdr_hashes(XDR *x, unsigned *n, uint32_t *hash, unsigned max) {
  unsigned i;
  if (!xdr_count(x, n, max))
    return FALSE;
  for (i = 0; i < *n; i++) {
    if (!xdr_u32(x, &hash[i]))
      return FALSE;
  }
  return TRUE;
}

/* bits of the mantissa in the code of a pending amount */
#define PENDING_MANTISSA_BITS 3
#define PENDING_MANTISSA_MAX ((1u << PENDING_MANTISSA_BITS) - 1)

/* Returns the 8-bit floating-point code of a pending amount: 5 bits for the
** exponent and 3 for the mantissa. 32 accounts with a word each would not fit
** into the datagram of a full digest. */
static uint8_t encode_pending(uint32_t amount) {
  unsigned exponent = 0;
  while (amount >> exponent > 2 * PENDING_MANTISSA_MAX + 1)
    exponent++;
  if (amount <= PENDING_MANTISSA_MAX)
    return (uint8_t)amount;
  return (uint8_t)((exponent + 1) << PENDING_MANTISSA_BITS |
                   (amount >> exponent & PENDING_MANTISSA_MAX));
}

/* Returns the middle of the amounts that have this code. */
static uint32_t decode_pending(uint8_t code) {
  unsigned exponent = code >> PENDING_MANTISSA_BITS;
  uint32_t mantissa = code & PENDING_MANTISSA_MAX;
  if (exponent == 0)
    return code;
  exponent--;
  mantissa |= PENDING_MANTISSA_MAX + 1;
  if (exponent == 0)
    return mantissa;
  return exponent <= 28 ? (mantissa << exponent) + (1u << (exponent - 1))
                        : UINT32_MAX;
}

/* Encodes or decodes the pending amounts. They follow all members that an
** earlier release reads, and it sends none. A datagram without room for them
** has a count of 0, so that the members behind it are read from the right
** place. */
static bool_t xdr_pending_amounts(XDR *x, mp_LoadDigest *d) {
  uint8_t codes[MP_LOAD_DIGEST_ACCOUNTS] = {0};
  unsigned i;
  if (x->x_op == XDR_ENCODE &&
      x->x_handy < 3UL * BYTES_PER_XDR_UNIT + sizeof codes)
    d->pending_count = 0; /* the members behind it need room, too */
  for (i = 0; x->x_op == XDR_ENCODE && i < d->pending_count; i++)
    codes[i] = encode_pending(d->pending[i]);
  if (!xdr_count(x, &d->pending_count, MP_LOAD_DIGEST_ACCOUNTS) ||
      !xdr_opaque(x, (char *)codes, d->pending_count))
    return FALSE;
  for (i = 0; x->x_op == XDR_DECODE && i < d->pending_count; i++)
    d->pending[i] = decode_pending(codes[i]);
  return TRUE;
}

/* largest values of the parts of a packed row of waiting requests */
#define WAITING_PRIORITY_MAX 0xfu
#define WAITING_COUNT_MAX 0xfffu
#define WAITING_AGE_MAX 0xffffu
#define WAITING_AGE_STEP_MS 4u /* 16 bits then hold 262 s */
/* bytes of one row: the service, and the packed rest */
#define WAITING_ROW_SIZE 8u

static uint32_t at_most(uint32_t value, uint32_t max) {
  return value < max ? value : max;
}

/* one word: 4 bits for the priority, 12 for the requests, 16 for the age */
static bool_t xdr_waiting_row(XDR *x, mp_WaitingRow *row) {
  uint32_t word = at_most(row->priority, WAITING_PRIORITY_MAX) << 28;
  word |= at_most(row->count, WAITING_COUNT_MAX) << 16;
  word |= at_most(row->oldest_ms / WAITING_AGE_STEP_MS, WAITING_AGE_MAX);
  if (!xdr_u32(x, &row->service) || !xdr_u32(x, &word))
    return FALSE;
  row->priority = word >> 28;
  row->count = word >> 16 & WAITING_COUNT_MAX;
  row->oldest_ms = (word & WAITING_AGE_MAX) * WAITING_AGE_STEP_MS;
  return TRUE;
}

/* Returns how many waiting rows the datagram has room for, with their count
** and the number of stopping instances. */
static uint32_t waiting_rows_room(const XDR *x) {
  const u_int others = 2 * BYTES_PER_XDR_UNIT;
  return x->x_handy < others ? 0 : (x->x_handy - others) / WAITING_ROW_SIZE;
}

/* An earlier release sends no rows by priority, and does not read them. Rows
** that do not fit into the datagram are left out; the highest priorities come
** first. */
static bool_t xdr_waiting_rows(XDR *x, mp_LoadDigest *d) {
  unsigned i;
  if (x->x_op == XDR_ENCODE)
    d->ranked_count = at_most(d->ranked_count, waiting_rows_room(x));
  if (!xdr_count(x, &d->ranked_count, MP_LOAD_DIGEST_PRIORITIES))
    return FALSE;
  for (i = 0; i < d->ranked_count; i++) {
    if (!xdr_waiting_row(x, &d->ranked[i]))
      return FALSE;
  }
  return TRUE;
}

/* The number of stopping instances stands at the end if it is not 0: an
** earlier release sends none, and does not read it. It is left out of a
** datagram without room. */
static bool_t xdr_stopping(XDR *x, mp_LoadDigest *d) {
  bool_t has_room = x->x_handy >= BYTES_PER_XDR_UNIT;
  if (x->x_op == XDR_ENCODE)
    return d->stopping == 0 || !has_room || xdr_u32(x, &d->stopping);
  d->stopping = 0;
  return !has_room || xdr_u32(x, &d->stopping);
}

/* What an earlier release neither sends nor reads stands at the end. The lists
** are there both or none. They are left out of a datagram without room for
** their counts. */
static bool_t xdr_appended_members(XDR *x, mp_LoadDigest *d) {
  if (x->x_op == XDR_DECODE && x->x_handy == 0) {
    d->pending_count = 0;
    d->ranked_count = 0;
    d->stopping = 0;
    return TRUE;
  }
  if (x->x_op == XDR_ENCODE && x->x_handy < 2 * BYTES_PER_XDR_UNIT)
    return TRUE;
  return xdr_pending_amounts(x, d) && xdr_waiting_rows(x, d) &&
         xdr_stopping(x, d);
}

static bool_t xdr_load_digest(XDR *x, mp_LoadDigest *d) {
  unsigned i;
  if (!xdr_u32(x, &d->waiting) || !xdr_u32(x, &d->in_time) ||
      !xdr_u32(x, &d->oldest_ms) || !xdr_count(x, &d->n, MP_LOAD_DIGEST_ROWS))
    return FALSE;
  for (i = 0; i < d->n; i++) {
    mp_LoadRow *row = &d->row[i];
    if (!xdr_u32(x, &row->endpoint) || !xdr_packed_load(x, row))
      return FALSE;
  }
  return xdr_hashes(x, &d->changing_count, d->changing,
                    MP_LOAD_DIGEST_CHANGING) &&
         xdr_retry_rows(x, d) && xdr_account_rows(x, d) &&
         xdr_hashes(x, &d->leaving_count, d->leaving,
                    MP_LOAD_DIGEST_LEAVING) &&
         xdr_appended_members(x, d);
}

static bool_t xdr_load_summary(XDR *x, mp_LoadSummary *s) {
  return xdr_u64(x, &s->relay) && xdr_u32(x, &s->zone) &&
         xdr_u32(x, &s->instances) && xdr_load_digest(x, &s->loads);
}

static bool_t xdr_suspect_rows(XDR *x, mp_CrashUpdate *c) {
  unsigned i;
  if (!xdr_count(x, &c->suspected_n, MP_SUSPECT_ROWS))
    return FALSE;
  for (i = 0; i < c->suspected_n; i++) {
    mp_SuspectRow *row = &c->suspected[i];
    if (!xdr_u64(x, &row->request) || !xdr_u32(x, &row->endpoint) ||
        !xdr_u32(x, &row->age_ms))
      return FALSE;
  }
  return TRUE;
}

/* acquittals stand at the end: an earlier release sends none */
static bool_t xdr_acquittal_rows(XDR *x, mp_CrashUpdate *c) {
  unsigned i;
  if (x->x_op == XDR_DECODE && x->x_handy == 0) {
    c->acquitted_n = 0;
    return TRUE;
  }
  if (!xdr_count(x, &c->acquitted_n, MP_ACQUITTAL_ROWS))
    return FALSE;
  for (i = 0; i < c->acquitted_n; i++) {
    if (!xdr_u64(x, &c->acquitted[i].part) ||
        !xdr_u32(x, &c->acquitted[i].age_ms))
      return FALSE;
  }
  return TRUE;
}

static bool_t xdr_crash_time(XDR *x, mp_CrashRow *row, unsigned k) {
  uint32_t both = (uint32_t)row->age[k] << 16 | row->length[k];
  if (!xdr_u32(x, &both))
    return FALSE;
  row->age[k] = (uint16_t)(both >> 16);
  row->length[k] = (uint16_t)both;
  return TRUE;
}

/* Times of the first crashes, in the order of the rows, stand at the very end,
** as many as the datagram has room for: an earlier release sends none. */
static bool_t xdr_crash_times(XDR *x, mp_CrashUpdate *c) {
  unsigned count = 0;
  unsigned i;
  unsigned k;
  if (x->x_handy == 0 ||
      (x->x_op == XDR_ENCODE && x->x_handy < 2 * BYTES_PER_XDR_UNIT))
    return TRUE;
  for (i = 0; i < c->n; i++)
    count += c->row[i].n;
  if (x->x_op == XDR_ENCODE)
    count = at_most(count, x->x_handy / BYTES_PER_XDR_UNIT - 1);
  if (!xdr_count(x, &count, count))
    return FALSE;
  for (i = 0; i < c->n; i++) {
    for (k = 0; k < c->row[i].n && count > 0; k++, count--) {
      if (!xdr_crash_time(x, &c->row[i], k))
        return FALSE;
    }
  }
  return TRUE;
}

static bool_t xdr_crash_update(XDR *x, mp_CrashUpdate *c) {
  unsigned i;
  unsigned k;
  if (!xdr_count(x, &c->n, MP_CRASH_ROWS))
    return FALSE;
  for (i = 0; i < c->n; i++) {
    mp_CrashRow *row = &c->row[i];
    if (!xdr_u64(x, &row->request) ||
        !xdr_count(x, &row->n, MP_CRASHES_PER_ROW))
      return FALSE;
    for (k = 0; k < row->n; k++) {
      if (!xdr_u32(x, &row->crash[k]))
        return FALSE;
    }
  }
  return xdr_suspect_rows(x, c) && xdr_acquittal_rows(x, c) &&
         xdr_crash_times(x, c);
}

static bool_t xdr_rate_update(XDR *x, mp_RateUpdate *r) {
  unsigned i;
  if (!xdr_u64(x, &r->relay) || !xdr_u32(x, &r->zone) ||
      !xdr_count(x, &r->n, MP_RATE_ROWS))
    return FALSE;
  for (i = 0; i < r->n; i++) {
    mp_RateRow *row = &r->row[i];
    if (!xdr_u32(x, &row->endpoint) || !xdr_u32(x, &row->rate) ||
        !xdr_u32(x, &row->age_ms) || !xdr_u32(x, &row->sent))
      return FALSE;
  }
  return TRUE;
}

/* a time on a monotonic clock, in us. Receivers add and subtract two of them
** as signed 64-bit numbers, so more than half of the largest is an error. */
static bool_t xdr_clock(XDR *x, uint64_t *v) {
  return xdr_u64(x, v) && *v <= INT64_MAX / 2;
}

static bool_t xdr_revision(XDR *x, int64_t *v) {
  uint64_t number = (uint64_t)*v;
  if (!xdr_u64(x, &number) || number > INT64_MAX)
    return FALSE;
  *v = (int64_t)number;
  return TRUE;
}

/* the eras stand at the end of a heartbeat: an earlier release, which does not
** know them, sends none, and does not read them. A datagram that ends before
** them gives era 0. */
static bool_t xdr_eras(XDR *x, mp_RelayHeartbeat *b) {
  bool_t has_no_eras = x->x_op == XDR_DECODE && x->x_handy == 0;
  unsigned i;
  for (i = 0; i < MP_RELAY_KINDS; i++) {
    if (has_no_eras)
      b->changed[i].era = 0;
    else if (!xdr_u64(x, &b->changed[i].era))
      return FALSE;
  }
  return TRUE;
}

static bool_t xdr_relay_heartbeat(XDR *x, mp_RelayHeartbeat *b) {
  unsigned i;
  for (i = 0; i < MP_RELAY_KINDS; i++) {
    if (!xdr_revision(x, &b->changed[i].revision))
      return FALSE;
  }
  return xdr_u32(x, &b->age_ms) && xdr_clock(x, &b->sent_us) &&
         xdr_u32(x, &b->proof_ms) && xdr_clock(x, &b->asked_us) &&
         xdr_eras(x, b);
}

static bool_t xdr_carry(XDR *x, mp_Carry *c, int is_reply) {
  if (is_reply)
    return xdr_u8(x, &c->verdict);
  return xdr_u32(x, &c->endpoint) && xdr_u32(x, &c->timeout_ms);
}

static bool_t xdr_stream_origin(XDR *x, mp_StreamOrigin *o) {
  return xdr_u64(x, &o->key[0]) && xdr_u64(x, &o->key[1]) &&
         xdr_u64(x, &o->software) && xdr_u32(x, &o->service) &&
         xdr_u32(x, &o->account) && xdr_u32(x, &o->age_ms) &&
         xdr_u32(x, &o->left_ms);
}

static bool_t xdr_stream_query(XDR *x, mp_StreamQuery *q) {
  return xdr_u64(x, &q->key[0]) && xdr_u64(x, &q->key[1]) &&
         xdr_u32(x, &q->number) && xdr_u32(x, &q->service) &&
         xdr_u32(x, &q->lifetime_ms);
}

static bool_t xdr_stream_reply(XDR *x, mp_StreamReply *r) {
  return xdr_u32(x, &r->number) && xdr_u8(x, &r->verdict) &&
         xdr_u64(x, &r->software) && xdr_u32(x, &r->service) &&
         xdr_u32(x, &r->age_ms);
}

static bool_t xdr_stream_record(XDR *x, mp_StreamRecord *r) {
  return xdr_u32(x, &r->number) && xdr_stream_origin(x, &r->origin);
}

static bool_t xdr_stream_recorded(XDR *x, mp_StreamRecorded *r) {
  return xdr_u32(x, &r->number) && xdr_u8(x, &r->is_written);
}

static bool_t xdr_body(XDR *x, mp_Msg *m) {
  switch (m->kind) {
  case MP_MSG_PROBE:
  case MP_MSG_PROBE_VIA:
    return xdr_probe(x, &m->u.probe);
  case MP_MSG_RESERVE:
    return m->reply ? xdr_reserve_reply(x, &m->u.reserve)
                    : xdr_reserve(x, &m->u.reserve);
  case MP_MSG_GRANT:
    return xdr_grant(x, &m->u.reserve);
  case MP_MSG_RENEW:
    return xdr_renew(x, &m->u.renew);
  case MP_MSG_RELEASE:
    return xdr_release(x, &m->u.release);
  case MP_MSG_CLAIM:
    return xdr_claim(x, &m->u.claim);
  case MP_MSG_SETTLE:
    return xdr_settle(x, &m->u.settle);
  case MP_MSG_QUOTA:
    return xdr_quota(x, &m->u.quota);
  case MP_MSG_FETCH:
    return xdr_fetch(x, &m->u.fetch);
  case MP_MSG_LOAD_DIGEST:
    return xdr_load_digest(x, &m->u.digest);
  case MP_MSG_LOAD_NOTE:
    return xdr_u32(x, &m->u.note.after) && xdr_u32(x, &m->u.note.endpoint) &&
           xdr_u32(x, &m->u.note.tokens);
  case MP_MSG_LOAD_SUMMARY:
    return xdr_load_summary(x, &m->u.summary);
  case MP_MSG_CRASHES:
    return xdr_crash_update(x, &m->u.crashes);
  case MP_MSG_RATES:
    return xdr_rate_update(x, &m->u.rates);
  case MP_MSG_RELAY_HEARTBEAT:
    return xdr_relay_heartbeat(x, &m->u.beat);
  case MP_MSG_CARRY:
    return xdr_carry(x, &m->u.carry, m->reply);
  case MP_MSG_HEARTBEAT_REQUEST:
    return xdr_clock(x, &m->u.ask.asked_us);
  case MP_MSG_STREAM_ORIGIN:
    return xdr_stream_origin(x, &m->u.origin);
  case MP_MSG_STREAM_QUERY:
    return xdr_stream_query(x, &m->u.query);
  case MP_MSG_STREAM_REPLY:
    return xdr_stream_reply(x, &m->u.reply);
  case MP_MSG_STREAM_RECORD:
    return xdr_stream_record(x, &m->u.record);
  case MP_MSG_STREAM_RECORDED:
    return xdr_stream_recorded(x, &m->u.recorded);
  default:
    return FALSE;
  }
}

/* }================================================================== */

/*
** {==================================================================
** Encoding
** ===================================================================
*/

/* xdr_body as the type of function that xdr_replymsg calls for the results */
static bool_t xdr_body_proc(XDR *x, void *m) {
  return xdr_body(x, m);
}

/* the header of a call of this message, without credentials */
static bool_t xdr_call_header(XDR *x, const mp_Msg *m) {
  struct rpc_msg c;
  memset(&c, 0, sizeof c);
  c.rm_xid = m->seq;
  c.rm_direction = CALL;
  c.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  c.rm_call.cb_prog = MP_RPC_PROGRAM;
  c.rm_call.cb_vers = MP_RPC_VERSION;
  c.rm_call.cb_proc = (rpcproc_t)m->kind;
  return xdr_callmsg(x, &c);
}

/* a whole reply: its header, and the body of this message */
static bool_t xdr_success_reply(XDR *x, mp_Msg *m) {
  struct rpc_msg r;
  memset(&r, 0, sizeof r);
  r.rm_xid = m->seq;
  r.rm_direction = REPLY;
  r.rm_reply.rp_stat = MSG_ACCEPTED;
  r.acpted_rply.ar_stat = SUCCESS;
  r.acpted_rply.ar_results.where = (caddr_t)m;
  r.acpted_rply.ar_results.proc = (xdrproc_t)xdr_body_proc;
  return xdr_replymsg(x, &r);
}

size_t rpc_encode(const mp_Msg *m, char *out, size_t size) {
  mp_Msg copy = *m;
  XDR x;
  bool_t ok;
  size_t n;
  xdrmem_create(&x, out, (u_int)size, XDR_ENCODE);
  if (m->reply)
    ok = xdr_success_reply(&x, &copy);
  else
    ok = xdr_call_header(&x, m) && xdr_body(&x, &copy);
  n = ok ? xdr_getpos(&x) : 0;
  xdr_destroy(&x);
  return n;
}

/* }================================================================== */

/*
** {==================================================================
** Decoding
** ===================================================================
*/

/*
** Writes an error reply to 'out' and its length to '*nout'. With 'is_denied'
** the call had another version of RPC and 'stat' is ignored; otherwise it was
** accepted and ended with 'stat'. Returns RPC_ERROR_REPLY, or RPC_INVALID when
** the reply does not fit.
*/
static RpcDecoded write_error_reply(uint32_t xid, enum accept_stat stat,
                                    int is_denied, char *out, size_t size,
                                    size_t *nout) {
  struct rpc_msg r;
  XDR x;
  memset(&r, 0, sizeof r);
  r.rm_xid = xid;
  r.rm_direction = REPLY;
  if (is_denied) {
    r.rm_reply.rp_stat = MSG_DENIED;
    r.rjcted_rply.rj_stat = RPC_MISMATCH;
    r.rjcted_rply.rj_vers.low = RPC_MSG_VERSION;
    r.rjcted_rply.rj_vers.high = RPC_MSG_VERSION;
  } else {
    r.rm_reply.rp_stat = MSG_ACCEPTED;
    r.acpted_rply.ar_stat = stat;
    r.acpted_rply.ar_vers.low = MP_RPC_VERSION;
    r.acpted_rply.ar_vers.high = MP_RPC_VERSION;
  }
  xdrmem_create(&x, out, (u_int)size, XDR_ENCODE);
  *nout = xdr_replymsg(&x, &r) ? xdr_getpos(&x) : 0;
  xdr_destroy(&x);
  return *nout > 0 ? RPC_ERROR_REPLY : RPC_INVALID;
}

/* the fields of a call before its credentials; a reply has the first two */
typedef struct CallHead {
  uint32_t xid, direction, rpcvers, prog, vers, proc;
} CallHead;

/* reads credentials or a verifier, which are not checked */
static bool_t skip_credentials(XDR *x) {
  char area[MAX_AUTH_BYTES];
  struct opaque_auth a = {0};
  a.oa_base = area;
  return xdr_opaque_auth(x, &a);
}

static RpcDecoded decode_call(XDR *x, const CallHead *h, mp_Msg *m, char *out,
                              size_t size, size_t *nout) {
  if (h->rpcvers != RPC_MSG_VERSION)
    return write_error_reply(h->xid, SUCCESS, 1, out, size, nout);
  if (!skip_credentials(x)) /* the caller's credentials */
    return RPC_INVALID;
  if (!skip_credentials(x)) /* the verifier */
    return RPC_INVALID;
  if (h->prog != MP_RPC_PROGRAM)
    return write_error_reply(h->xid, PROG_UNAVAIL, 0, out, size, nout);
  if (h->vers != MP_RPC_VERSION)
    return write_error_reply(h->xid, PROG_MISMATCH, 0, out, size, nout);
  if (h->proc == 0 || h->proc >= MP_MSG_LAST)
    return write_error_reply(h->xid, PROC_UNAVAIL, 0, out, size, nout);
  m->kind = (mp_MsgKind)h->proc;
  if (!xdr_body(x, m))
    return write_error_reply(h->xid, GARBAGE_ARGS, 0, out, size, nout);
  return RPC_CALL;
}

static RpcDecoded decode_reply(XDR *x, RpcKindOf kind_of, void *ud,
                               mp_Msg *m) {
  uint32_t stat;
  uint32_t acc;
  m->reply = 1;
  m->kind = kind_of(ud, m->seq);
  if (m->kind == 0)
    return RPC_INVALID;
  if (!xdr_u32(x, &stat) || stat != MSG_ACCEPTED || !skip_credentials(x) ||
      !xdr_u32(x, &acc) || acc != SUCCESS || !xdr_body(x, m))
    return RPC_INVALID;
  return RPC_REPLY;
}

RpcDecoded rpc_decode(const char *in, size_t n, RpcKindOf kind_of, void *ud,
                      mp_Msg *m, char *out, size_t size, size_t *nout) {
  union {
    char b[MP_DATAGRAM_MAX + 8];
    uint32_t align;
  } buf;
  XDR x;
  CallHead h = {0};
  RpcDecoded r = RPC_INVALID;
  *nout = 0;
  if (n > MP_DATAGRAM_MAX)
    return RPC_INVALID;
  memset(m, 0, sizeof *m);
  if (n > 0)              /* else 'in' may be NULL */
    memcpy(buf.b, in, n); /* XDR needs it aligned and writable */
  xdrmem_create(&x, buf.b, (u_int)n, XDR_DECODE);
  if (xdr_u32(&x, &h.xid) && xdr_u32(&x, &h.direction)) {
    m->seq = h.xid;
    if (h.direction == REPLY)
      r = decode_reply(&x, kind_of, ud, m);
    else if (h.direction == CALL && xdr_u32(&x, &h.rpcvers) &&
             xdr_u32(&x, &h.prog) && xdr_u32(&x, &h.vers) &&
             xdr_u32(&x, &h.proc))
      r = decode_call(&x, &h, m, out, size, nout);
  }
  xdr_destroy(&x);
  return r;
}

/* }================================================================== */
