/*
** rpc.c
** Messages between instances as ONC RPC datagrams
**
** Every message of the core is one procedure; call and reply have the same
** body, but for RESERVE, whose reply is the verdict alone. Unknown programs,
** versions and procedures and bodies that cannot be read are answered as RFC
** 5531 says.
*/

#include <string.h>

#include <rpc/rpc.h>

#include "wire/rpc.h"

/*
** {==================================================================
** Bodies
** ===================================================================
*/

static bool_t u64(XDR *x, uint64_t *v) {
  return xdr_uint64_t(x, v);
}

static bool_t u32(XDR *x, uint32_t *v) {
  return xdr_uint32_t(x, v);
}

/* small numbers travel as 32 bits; one that is too large is an error */
static bool_t u8(XDR *x, uint8_t *v) {
  uint32_t w = *v;
  if (!u32(x, &w) || w > UINT8_MAX)
    return FALSE;
  *v = (uint8_t)w;
  return TRUE;
}

static bool_t count(XDR *x, unsigned *n, unsigned most) {
  return u32(x, n) && *n <= most;
}

static bool_t token(XDR *x, mp_Token *t) {
  return u64(x, &t->owner) && u32(x, &t->start) && u32(x, &t->seq);
}

static bool_t memberrow(XDR *x, mp_MemberUpdate *m) {
  return u64(x, &m->addr) && u32(x, &m->start) && u32(x, &m->incarnation) &&
         u32(x, &m->dc) && u8(x, &m->state);
}

/* two small numbers in one word */
static bool_t pair(XDR *x, uint16_t *a, uint16_t *b) {
  uint32_t w = (uint32_t)*a << 16 | *b;
  if (!u32(x, &w))
    return FALSE;
  *a = (uint16_t)(w >> 16);
  *b = (uint16_t)(w & UINT16_MAX);
  return TRUE;
}

static bool_t loadrow(XDR *x, mp_LoadUpdate *l) {
  uint16_t what = (uint16_t)(l->flags << 8 | l->role);
  if (!u64(x, &l->addr) || !u32(x, &l->stamp) ||
      !pair(x, &l->slots, &l->used) || !u32(x, &l->wait) ||
      !u32(x, &l->rate) || !pair(x, &what, &l->running))
    return FALSE;
  l->flags = (uint8_t)(what >> 8);
  l->role = (uint8_t)(what & UINT8_MAX);
  return TRUE;
}

static bool_t probe(XDR *x, mp_Probe *p) {
  unsigned i;
  if (!u32(x, &p->start) || !u32(x, &p->incarnation) || !u32(x, &p->dc) ||
      !u8(x, &p->state) || !u64(x, &p->target))
    return FALSE;
  for (i = 0; i < MP_DOC_COUNT; i++) {
    if (!u64(x, &p->doc[i]))
      return FALSE;
  }
  if (!count(x, &p->nmember, MP_GOSSIP_MEMBERS))
    return FALSE;
  for (i = 0; i < p->nmember; i++) {
    if (!memberrow(x, &p->member[i]))
      return FALSE;
  }
  if (!count(x, &p->nload, MP_GOSSIP_LOADS))
    return FALSE;
  for (i = 0; i < p->nload; i++) {
    if (!loadrow(x, &p->load[i]))
      return FALSE;
  }
  return TRUE;
}

static bool_t reserve(XDR *x, mp_Reserve *r) {
  return token(x, &r->token) && u32(x, &r->attempt) && u64(x, &r->endpoint) &&
         u8(x, &r->role) && u32(x, &r->tokens) && u32(x, &r->slack_ms) &&
         u32(x, &r->start_ms) && u32(x, &r->weight);
}

/* what the keeper says */
static bool_t verdict(XDR *x, mp_Reserve *r) {
  return u8(x, &r->verdict) && u32(x, &r->wait_ms) && u32(x, &r->slots) &&
         u32(x, &r->used);
}

/* in both directions: the holder's answer says whether it still wants it */
static bool_t grant(XDR *x, mp_Reserve *r) {
  return token(x, &r->token) && u32(x, &r->attempt) && u64(x, &r->endpoint) &&
         verdict(x, r);
}

static bool_t renewal(XDR *x, mp_Renewal *w) {
  return u32(x, &w->seq) && u32(x, &w->attempt) && u64(x, &w->endpoint) &&
         u8(x, &w->role) && u8(x, &w->state) && u32(x, &w->tokens);
}

static bool_t renew(XDR *x, mp_Renew *r) {
  unsigned i;
  if (!u64(x, &r->owner) || !u32(x, &r->start) ||
      !count(x, &r->n, MP_RENEW_BATCH))
    return FALSE;
  for (i = 0; i < r->n; i++) {
    if (!renewal(x, &r->row[i]))
      return FALSE;
  }
  return TRUE;
}

static bool_t release(XDR *x, mp_Release *r) {
  return token(x, &r->token) && u32(x, &r->attempt) && u64(x, &r->endpoint) &&
         u8(x, &r->kept) && u32(x, &r->took_ms);
}

static bool_t claim(XDR *x, mp_Claim *c) {
  return u64(x, &c->id[0]) && u64(x, &c->id[1]) && token(x, &c->token) &&
         u32(x, &c->ttl_ms) && u8(x, &c->durable) && u8(x, &c->announce) &&
         u8(x, &c->verdict) && u8(x, &c->ran);
}

static bool_t settle(XDR *x, mp_Settle *s) {
  return u64(x, &s->id[0]) && u64(x, &s->id[1]) && token(x, &s->token) &&
         u8(x, &s->ran) && u8(x, &s->durable);
}

static bool_t quota(XDR *x, mp_Quota *q) {
  return u32(x, &q->account) && u32(x, &q->want) && u32(x, &q->given) &&
         u32(x, &q->for_ms) && u8(x, &q->verdict);
}

static bool_t fetch(XDR *x, mp_Fetch *f) {
  char *digest = f->digest;
  if (!u8(x, &f->doc) || !u64(x, &f->version) ||
      !xdr_string(x, &digest, MP_SHA256_HEX) || !u32(x, &f->offset) ||
      !u32(x, &f->total) || !count(x, &f->n, MP_CHUNK_SIZE))
    return FALSE;
  return xdr_opaque(x, f->data, f->n);
}

static bool_t retries(XDR *x, mp_LoadDigest *d) {
  unsigned i;
  if (!count(x, &d->retry_count, MP_LOAD_DIGEST_SERVICES))
    return FALSE;
  for (i = 0; i < d->retry_count; i++) {
    mp_RetryRow *row = &d->retry[i];
    if (!u32(x, &row->service) || !u32(x, &row->requests) ||
        !u32(x, &row->extras))
      return FALSE;
  }
  return TRUE;
}

static bool_t accounts(XDR *x, mp_LoadDigest *d) {
  unsigned i;
  if (!count(x, &d->account_count, MP_LOAD_DIGEST_ACCOUNTS))
    return FALSE;
  for (i = 0; i < d->account_count; i++) {
    mp_AccountRow *row = &d->account[i];
    uint32_t word = row->spent << 8 | (row->level & UINT8_MAX);
    if (!u32(x, &row->account) || !u32(x, &word))
      return FALSE;
    row->spent = word >> 8;
    row->level = word & UINT8_MAX;
  }
  return TRUE;
}

/* the parts of a packed load; a larger value travels as the largest */
#define BLOCKS_MOST 0xffffu
#define OPEN_MOST 0x1ffu
#define FAILING_MOST 0x7fu
#define FAILING_STEP 4u /* percent: sums over several instances fit */

/* blocks of tokens, dispatches and the share of failures in one word */
static bool_t packedload(XDR *x, mp_LoadRow *row) {
  uint32_t blocks = (row->tokens + MP_TOKEN_BLOCK - 1) / MP_TOKEN_BLOCK;
  uint32_t failing = (row->failing + FAILING_STEP - 1) / FAILING_STEP;
  uint32_t word = (blocks < BLOCKS_MOST ? blocks : BLOCKS_MOST) << 16;
  word |= (row->open < OPEN_MOST ? row->open : OPEN_MOST) << 7;
  word |= failing < FAILING_MOST ? failing : FAILING_MOST;
  if (!u32(x, &word))
    return FALSE;
  row->tokens = (word >> 16) * MP_TOKEN_BLOCK;
  row->open = word >> 7 & OPEN_MOST;
  row->failing = (word & FAILING_MOST) * FAILING_STEP;
  return TRUE;
}

static bool_t hashes(XDR *x, unsigned *n, uint32_t *hash, unsigned most) {
  unsigned i;
  if (!count(x, n, most))
    return FALSE;
  for (i = 0; i < *n; i++) {
    if (!u32(x, &hash[i]))
      return FALSE;
  }
  return TRUE;
}

static bool_t digest(XDR *x, mp_LoadDigest *d) {
  unsigned i;
  if (!u32(x, &d->waiting) || !u32(x, &d->in_time) || !u32(x, &d->oldest_ms) ||
      !count(x, &d->n, MP_LOAD_DIGEST_ROWS))
    return FALSE;
  for (i = 0; i < d->n; i++) {
    mp_LoadRow *row = &d->row[i];
    if (!u32(x, &row->endpoint) || !packedload(x, row))
      return FALSE;
  }
  return hashes(x, &d->changing_count, d->changing, MP_LOAD_DIGEST_CHANGING) &&
         retries(x, d) && accounts(x, d) &&
         hashes(x, &d->leaving_count, d->leaving, MP_LOAD_DIGEST_LEAVING);
}

static bool_t summary(XDR *x, mp_LoadSummary *s) {
  return u64(x, &s->relay) && u32(x, &s->zone) && u32(x, &s->instances) &&
         digest(x, &s->loads);
}

static bool_t suspected(XDR *x, mp_CrashUpdate *c) {
  unsigned i;
  if (!count(x, &c->suspected_n, MP_SUSPECT_ROWS))
    return FALSE;
  for (i = 0; i < c->suspected_n; i++) {
    mp_SuspectRow *row = &c->suspected[i];
    if (!u64(x, &row->request) || !u32(x, &row->endpoint) ||
        !u32(x, &row->age_ms))
      return FALSE;
  }
  return TRUE;
}

static bool_t crashes(XDR *x, mp_CrashUpdate *c) {
  unsigned i;
  unsigned k;
  if (!count(x, &c->n, MP_CRASH_ROWS))
    return FALSE;
  for (i = 0; i < c->n; i++) {
    mp_CrashRow *row = &c->row[i];
    if (!u64(x, &row->request) || !count(x, &row->n, MP_CRASHES_PER_ROW))
      return FALSE;
    for (k = 0; k < row->n; k++) {
      if (!u32(x, &row->crash[k]))
        return FALSE;
    }
  }
  return suspected(x, c);
}

static bool_t rates(XDR *x, mp_RateUpdate *r) {
  unsigned i;
  if (!u64(x, &r->relay) || !u32(x, &r->zone) ||
      !count(x, &r->n, MP_RATE_ROWS))
    return FALSE;
  for (i = 0; i < r->n; i++) {
    mp_RateRow *row = &r->row[i];
    if (!u32(x, &row->endpoint) || !u32(x, &row->rate) ||
        !u32(x, &row->age_ms) || !u32(x, &row->sent))
      return FALSE;
  }
  return TRUE;
}

/* a steady clock: readers add and subtract two of them in 64 bits with a
** sign, so one past half of that is none */
static bool_t moment(XDR *x, uint64_t *v) {
  return u64(x, v) && *v <= INT64_MAX / 2;
}

static bool_t revision(XDR *x, int64_t *v) {
  uint64_t number = (uint64_t)*v;
  if (!u64(x, &number) || number > INT64_MAX)
    return FALSE;
  *v = (int64_t)number;
  return TRUE;
}

/* behind all else: an instance of an earlier release ends before them, and
** does not read on */
static bool_t eras(XDR *x, mp_RelayHeartbeat *b) {
  bool_t lacks_them = x->x_op == XDR_DECODE && x->x_handy == 0;
  unsigned i;
  for (i = 0; i < MP_RELAY_KINDS; i++) {
    if (lacks_them)
      b->changed[i].era = 0;
    else if (!u64(x, &b->changed[i].era))
      return FALSE;
  }
  return TRUE;
}

static bool_t beat(XDR *x, mp_RelayHeartbeat *b) {
  unsigned i;
  for (i = 0; i < MP_RELAY_KINDS; i++) {
    if (!revision(x, &b->changed[i].revision))
      return FALSE;
  }
  return u32(x, &b->age_ms) && moment(x, &b->sent_us) &&
         u32(x, &b->proof_ms) && moment(x, &b->asked_us) && eras(x, b);
}

static bool_t body(XDR *x, mp_Msg *m) {
  switch (m->kind) {
  case MP_MSG_PROBE:
  case MP_MSG_PROBE_VIA:
    return probe(x, &m->u.probe);
  case MP_MSG_RESERVE:
    return m->reply ? verdict(x, &m->u.reserve) : reserve(x, &m->u.reserve);
  case MP_MSG_GRANT:
    return grant(x, &m->u.reserve);
  case MP_MSG_RENEW:
    return renew(x, &m->u.renew);
  case MP_MSG_RELEASE:
    return release(x, &m->u.release);
  case MP_MSG_CLAIM:
    return claim(x, &m->u.claim);
  case MP_MSG_SETTLE:
    return settle(x, &m->u.settle);
  case MP_MSG_QUOTA:
    return quota(x, &m->u.quota);
  case MP_MSG_FETCH:
    return fetch(x, &m->u.fetch);
  case MP_MSG_LOAD_DIGEST:
    return digest(x, &m->u.digest);
  case MP_MSG_LOAD_NOTE:
    return u32(x, &m->u.note.after) && u32(x, &m->u.note.endpoint) &&
           u32(x, &m->u.note.tokens);
  case MP_MSG_LOAD_SUMMARY:
    return summary(x, &m->u.summary);
  case MP_MSG_CRASHES:
    return crashes(x, &m->u.crashes);
  case MP_MSG_RATES:
    return rates(x, &m->u.rates);
  case MP_MSG_RELAY_HEARTBEAT:
    return beat(x, &m->u.beat);
  case MP_MSG_HEARTBEAT_REQUEST:
    return moment(x, &m->u.ask.asked_us);
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

/* what a filter for results wants: a function and one pointer */
static bool_t bodyproc(XDR *x, void *m) {
  return body(x, m);
}

static bool_t callheader(XDR *x, const mp_Msg *m) {
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

static bool_t accepted(XDR *x, mp_Msg *m) {
  struct rpc_msg r;
  memset(&r, 0, sizeof r);
  r.rm_xid = m->seq;
  r.rm_direction = REPLY;
  r.rm_reply.rp_stat = MSG_ACCEPTED;
  r.acpted_rply.ar_stat = SUCCESS;
  r.acpted_rply.ar_results.where = (caddr_t)m;
  r.acpted_rply.ar_results.proc = (xdrproc_t)bodyproc;
  return xdr_replymsg(x, &r);
}

size_t rpc_encode(const mp_Msg *m, char *out, size_t size) {
  mp_Msg copy = *m;
  XDR x;
  bool_t ok;
  size_t n;
  xdrmem_create(&x, out, (u_int)size, XDR_ENCODE);
  if (m->reply)
    ok = accepted(&x, &copy);
  else
    ok = callheader(&x, m) && body(&x, &copy);
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

/* an error reply; 'stat' is of an accepted or, with 'denied', refused call */
static RpcDecoded errorreply(uint32_t xid, enum accept_stat stat, int denied,
                             char *out, size_t size, size_t *nout) {
  struct rpc_msg r;
  XDR x;
  memset(&r, 0, sizeof r);
  r.rm_xid = xid;
  r.rm_direction = REPLY;
  if (denied) {
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

/* the fields of a call that come before its credentials */
typedef struct Head {
  uint32_t xid, direction, rpcvers, prog, vers, proc;
} Head;

static bool_t credentials(XDR *x) {
  char area[MAX_AUTH_BYTES];
  struct opaque_auth a = {0};
  a.oa_base = area;
  return xdr_opaque_auth(x, &a);
}

static RpcDecoded decodecall(XDR *x, const Head *h, mp_Msg *m, char *out,
                             size_t size, size_t *nout) {
  if (h->rpcvers != RPC_MSG_VERSION)
    return errorreply(h->xid, SUCCESS, 1, out, size, nout);
  if (!credentials(x)) /* of the caller */
    return RPC_INVALID;
  if (!credentials(x)) /* the verifier */
    return RPC_INVALID;
  if (h->prog != MP_RPC_PROGRAM)
    return errorreply(h->xid, PROG_UNAVAIL, 0, out, size, nout);
  if (h->vers != MP_RPC_VERSION)
    return errorreply(h->xid, PROG_MISMATCH, 0, out, size, nout);
  if (h->proc == 0 || h->proc >= MP_MSG_LAST)
    return errorreply(h->xid, PROC_UNAVAIL, 0, out, size, nout);
  m->kind = (mp_MsgKind)h->proc;
  if (!body(x, m))
    return errorreply(h->xid, GARBAGE_ARGS, 0, out, size, nout);
  return RPC_CALL;
}

static RpcDecoded decodereply(XDR *x, RpcKindOf kindof, void *ud, mp_Msg *m) {
  uint32_t stat;
  uint32_t acc;
  m->reply = 1;
  m->kind = kindof(ud, m->seq);
  if (m->kind == 0)
    return RPC_INVALID;
  if (!u32(x, &stat) || stat != MSG_ACCEPTED || !credentials(x) ||
      !u32(x, &acc) || acc != SUCCESS || !body(x, m))
    return RPC_INVALID;
  return RPC_REPLY;
}

RpcDecoded rpc_decode(const char *in, size_t n, RpcKindOf kindof, void *ud,
                      mp_Msg *m, char *out, size_t size, size_t *nout) {
  union {
    char b[MP_DATAGRAM_MAX + 8];
    uint32_t align;
  } buf;
  XDR x;
  Head h = {0};
  RpcDecoded r = RPC_INVALID;
  *nout = 0;
  if (n > MP_DATAGRAM_MAX)
    return RPC_INVALID;
  memset(m, 0, sizeof *m);
  memcpy(buf.b, in, n); /* XDR wants it aligned, and not constant */
  xdrmem_create(&x, buf.b, (u_int)n, XDR_DECODE);
  if (u32(&x, &h.xid) && u32(&x, &h.direction)) {
    m->seq = h.xid;
    if (h.direction == REPLY)
      r = decodereply(&x, kindof, ud, m);
    else if (h.direction == CALL && u32(&x, &h.rpcvers) && u32(&x, &h.prog) &&
             u32(&x, &h.vers) && u32(&x, &h.proc))
      r = decodecall(&x, &h, m, out, size, nout);
  }
  xdr_destroy(&x);
  return r;
}

/* }================================================================== */
