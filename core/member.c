/*
** member.c
** Which instances are alive
**
** A member that answers neither the probe nor the ones sent through
** others is suspected; a suspect that does not refute within
** MP_SUSPECT_TIME is dead. News about a member is ordered by (start,
** incarnation, state), so it may arrive in any order and twice. Members
** of other data centres are judged by their own data centre; here they
** are only in reach or not.
*/

#include <string.h>

#include "claim.h"
#include "doc.h"
#include "fx.h"
#include "keep.h"
#include "member.h"

/* one probe under way */
typedef struct Probing {
  mp_Addr target;
  unsigned open; /* answers still possible */
  int answered;
} Probing;

/* memory of a call under way, freed with the state if not before */
static void *probe_contexts(mp_State *state, size_t n) {
  void *p = g_malloc0(n);
  g_hash_table_add(state->probe_contexts, p);
  return p;
}

static void unscratch(mp_State *state, void *p) {
  g_hash_table_remove(state->probe_contexts, p);
}

Member *member_get(const mp_State *state, mp_Addr a) {
  return state_table_get(state->member_by_addr, a);
}

int member_is_serving(const Member *m) {
  return m->state == MP_MEMBER_ALIVE || m->state == MP_MEMBER_SUSPECT;
}

/*
** {==================================================================
** The set of instances of this data centre
** ===================================================================
*/

static GArray *liveset(const mp_State *state) {
  GArray *a = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  guint i;
  if (!state->draining)
    g_array_append_val(a, state->self);
  for (i = 0; i < state->members->len; i++) {
    const Member *m = state->members->pdata[i];
    if (!m->remote && member_is_serving(m))
      g_array_append_val(a, m->addr);
  }
  return a;
}

/* 'old' is the set before this change; consumed */
static void setchanged(mp_State *state, GArray *old) {
  if (state->now - state->settled < MP_HOME_SETTLE) {
    state->changes++; /* 'beforeset' stays what it was before the first */
    g_array_unref(old);
  } else {
    state->changes = 1;
    g_array_unref(state->previous_live_set);
    state->previous_live_set = old;
  }
  state->settled = state->now;
}

static void become(mp_State *state, Member *m, mp_MemberState s) {
  static const mp_EventNo said[] = {MP_LOG_MEMBER_UP, MP_LOG_MEMBER_SUSPECT,
                                    MP_LOG_MEMBER_LEAVING, MP_LOG_MEMBER_DEAD};
  GArray *old;
  int before;
  char text[24];
  if (m->state == s)
    return;
  old = liveset(state);
  before = member_is_serving(m);
  m->state = s;
  m->since = state->now;
  m->told = 0;
  if (!m->remote && before != member_is_serving(m))
    setchanged(state, old);
  else
    g_array_unref(old);
  if (before != member_is_serving(m))
    claim_on_homes_changed(state);
  mp_addr_text(m->addr, text);
  effect_log(state, said[s], " instance=%s start=%u", text, m->start);
}

static Member *add(mp_State *state, mp_Addr a, uint32_t start, uint32_t dc) {
  Member *m = g_new0(Member, 1);
  m->addr = a;
  m->start = start;
  m->dc = dc;
  m->remote = dc != state->dc_hash;
  m->since = state->now;
  m->state = MP_MEMBER_DEAD; /* until become below counts it in */
  g_ptr_array_add(state->members, m);
  state_table_set(state->member_by_addr, a, m);
  become(state, m, MP_MEMBER_ALIVE);
  return m;
}

static void dropold(mp_State *state) {
  guint i = 0;
  while (i < state->members->len) {
    Member *m = state->members->pdata[i];
    if (m->state == MP_MEMBER_DEAD && !m->listed &&
        state->now - m->since > MP_DEAD_KEEP) {
      state_table_remove(state->member_by_addr, m->addr);
      g_ptr_array_remove_index(state->members, i); /* frees the row */
    } else
      i++;
  }
}

/* }================================================================== */

/*
** {==================================================================
** How many, and who is in reach
** ===================================================================
*/

unsigned member_count(const mp_State *state, int all) {
  unsigned n = 1;
  guint i;
  for (i = 0; i < state->members->len; i++) {
    const Member *m = state->members->pdata[i];
    if (member_is_serving(m) && (all || !m->remote))
      n++;
  }
  return n;
}

int member_is_dc_reachable(const mp_State *state, uint32_t dc) {
  unsigned i;
  if (dc == state->dc_hash)
    return 1;
  for (i = 0; i < state->dc_contact_count; i++) {
    if (state->centre[i].dc == dc)
      return state->now - state->centre[i].heard < MP_DC_SILENT;
  }
  return 0;
}

static void heardfrom(mp_State *state, uint32_t dc) {
  unsigned i;
  for (i = 0; i < state->dc_contact_count && state->centre[i].dc != dc; i++)
    ;
  if (i == MP_MAXDCS)
    return;
  if (i == state->dc_contact_count)
    state->centre[state->dc_contact_count++].dc = dc;
  state->centre[i].heard = state->now;
}

/* }================================================================== */

/*
** {==================================================================
** News
** ===================================================================
*/

static void greet(mp_State *state, void *ud);

void member_mark_responsive(mp_State *state, mp_Addr a) {
  Member *m = member_get(state, a);
  if (m == NULL)
    return;
  m->heard = state->now;
  m->avoid = 0;
  heardfrom(state, m->dc);
}

void member_mark_unresponsive(mp_State *state, mp_Addr a) {
  Member *m = member_get(state, a);
  if (m != NULL)
    m->avoid = state->now + MP_PROBE_PERIOD;
}

int member_is_trusted(const mp_State *state, mp_Addr a) {
  uint32_t ip = (uint32_t)(a >> 16);
  if (member_get(state, a) != NULL || a == state->self)
    return 1;
  return state->mask != 0 && (ip & state->mask) == (state->net & state->mask);
}

/* does (start, incarnation, state) of the news beat what is known? */
static int newer(const Member *m, const mp_MemberNews *n) {
  if (n->start != m->start)
    return n->start > m->start;
  if (n->incarnation != m->incarnation)
    return n->incarnation > m->incarnation;
  return n->state > (uint8_t)m->state;
}

static void aboutself(mp_State *state, const mp_MemberNews *n) {
  if (n->start != state->start || n->incarnation < state->incarnation)
    return;
  if (n->state != MP_MEMBER_SUSPECT && n->state != MP_MEMBER_DEAD)
    return;
  state->incarnation = n->incarnation + 1; /* refute, to everyone */
  timer_arm(&state->timers, &state->announce_timer, state->now, greet, NULL);
}

static void learn(mp_State *state, const mp_MemberNews *n) {
  Member *m;
  if (n->addr == state->self) {
    aboutself(state, n);
    return;
  }
  if (n->state > MP_MEMBER_DEAD || n->addr == 0)
    return;
  m = member_get(state, n->addr);
  if (m == NULL) {
    if (n->state == MP_MEMBER_DEAD || !member_is_trusted(state, n->addr))
      return;
    m = add(state, n->addr, n->start, n->dc);
  } else if (!newer(m, n))
    return;
  m->start = n->start;
  m->incarnation = n->incarnation;
  m->told = 0;
  become(state, m, (mp_MemberState)n->state);
}

unsigned member_gossip_limit(const mp_State *state) {
  return 2 + (unsigned)g_bit_storage(state->members->len);
}

/* the member with the fewest tellings, after those taken already */
static Member *leasttold(mp_State *state, const mp_Probe *p, mp_Addr to) {
  Member *win = NULL;
  guint i;
  for (i = 0; i < state->members->len; i++) {
    Member *m = state->members->pdata[i];
    unsigned k;
    if (m->addr == to || m->told >= member_gossip_limit(state) ||
        (win != NULL && m->told >= win->told))
      continue;
    for (k = 0; k < p->nmember && p->member[k].addr != m->addr; k++)
      ;
    if (k == p->nmember)
      win = m;
  }
  return win;
}

static void fillmembers(mp_State *state, mp_Probe *p, mp_Addr to) {
  Member *about = member_get(state, to);
  /* a suspect must hear of it, to refute */
  if (about != NULL && about->state != MP_MEMBER_ALIVE) {
    mp_MemberNews n = {about->addr, about->start, about->incarnation,
                       about->dc, (uint8_t)about->state};
    p->member[p->nmember++] = n;
  }
  while (p->nmember < MP_GOSSIP_MEMBERS) {
    Member *m = leasttold(state, p, to);
    mp_MemberNews n;
    if (m == NULL)
      break;
    n.addr = m->addr;
    n.start = m->start;
    n.incarnation = m->incarnation;
    n.dc = m->dc;
    n.state = (uint8_t)m->state;
    p->member[p->nmember++] = n;
    m->told++;
  }
}

static void fill(mp_State *state, mp_Probe *p, mp_Addr to) {
  int i;
  memset(p, 0, sizeof *p);
  p->start = state->start;
  p->incarnation = state->incarnation;
  p->dc = state->dc_hash;
  p->state = state->draining ? MP_MEMBER_LEAVING : MP_MEMBER_ALIVE;
  for (i = 0; i < MP_DOC_COUNT; i++)
    p->doc[i] = state->doc[i].version;
  fillmembers(state, p, to);
  keeper_fill_loads(state, p, member_get(state, to));
}

static void take(mp_State *state, mp_Addr from, const mp_Probe *p) {
  mp_MemberNews n = {from, p->start, p->incarnation, p->dc, p->state};
  unsigned i;
  Member *m;
  learn(state, &n);
  member_mark_responsive(state, from);
  m = member_get(state, from);
  for (i = 0; i < p->nmember; i++)
    learn(state, &p->member[i]);
  for (i = 0; i < p->nload; i++)
    keeper_merge_load(state, &p->load[i]);
  if (m != NULL) {
    memcpy(m->doc, p->doc, sizeof m->doc);
    document_on_offer(state, from, p->doc);
  }
}

void member_on_probe(mp_State *state, mp_Addr from, const mp_Msg *m) {
  mp_Msg a = {0};
  take(state, from, &m->u.probe);
  fill(state, &a.u.probe, from);
  a.u.probe.target = state->self;
  effect_rpc_reply(state, from, m, &a);
}

/* }================================================================== */

/*
** {==================================================================
** Probing
** ===================================================================
*/

static void suspect(mp_State *state, mp_Addr a) {
  Member *m = member_get(state, a);
  if (m == NULL || m->remote)
    return;
  member_mark_unresponsive(state, a);
  if (m->state == MP_MEMBER_ALIVE)
    become(state, m, MP_MEMBER_SUSPECT);
}

static void viaanswered(mp_State *state, void *ud, mp_Addr from,
                        const mp_Msg *m) {
  Probing *p = ud;
  (void)from;
  if (m != NULL && m->u.probe.target == p->target)
    p->answered = 1;
  if (m != NULL)
    take(state, from, &m->u.probe);
  if (--p->open > 0)
    return;
  if (!p->answered)
    suspect(state, p->target);
  unscratch(state, p);
}

static Member *anyother(mp_State *state, mp_Addr but) {
  guint n = state->members->len;
  guint at = n > 0 ? (guint)g_rand_int_range(state->rand, 0, (gint32)n) : 0;
  guint i;
  for (i = 0; i < n; i++) {
    Member *m = state->members->pdata[(at + i) % n];
    if (!m->remote && m->state == MP_MEMBER_ALIVE && m->addr != but)
      return m;
  }
  return NULL;
}

static void askothers(mp_State *state, mp_Addr target) {
  Probing *p = probe_contexts(state, sizeof *p);
  mp_Addr asked = 0;
  int i;
  p->target = target;
  for (i = 0; i < MP_PROBE_INDIRECT; i++) {
    Member *v = anyother(state, target);
    mp_Msg m = {0};
    if (v == NULL || v->addr == asked)
      break;
    asked = v->addr;
    m.kind = MP_MSG_PROBE_VIA;
    fill(state, &m.u.probe, v->addr);
    m.u.probe.target = target;
    p->open++;
    effect_rpc_call(state, v->addr, &m, 3 * MP_PROBE_TIMEOUT, viaanswered, p);
  }
  if (p->open == 0) {
    suspect(state, target);
    unscratch(state, p);
  }
}

static void answered(mp_State *state, void *ud, mp_Addr from,
                     const mp_Msg *m) {
  Member *t = member_get(state, from);
  (void)ud;
  if (m != NULL) {
    take(state, from, &m->u.probe);
    return;
  }
  member_mark_unresponsive(state, from);
  if (t != NULL && !t->remote)
    askothers(state, from);
}

static void probe(mp_State *state, mp_Addr a) {
  mp_Msg m = {0};
  m.kind = MP_MSG_PROBE;
  fill(state, &m.u.probe, a);
  effect_rpc_call(state, a, &m, MP_PROBE_TIMEOUT, answered, NULL);
}

/* the asker's call, kept while the probe on its behalf is out */
typedef struct Via {
  mp_Addr asker;
  mp_Msg call;
} Via;

static void viadone(mp_State *state, void *ud, mp_Addr from, const mp_Msg *m) {
  Via *v = ud;
  mp_Msg a = {0};
  if (m != NULL)
    take(state, from, &m->u.probe);
  fill(state, &a.u.probe, v->asker);
  a.u.probe.target = m != NULL ? from : 0;
  effect_rpc_reply(state, v->asker, &v->call, &a);
  unscratch(state, v);
}

void member_on_probe_via(mp_State *state, mp_Addr from, const mp_Msg *m) {
  mp_Addr target = m->u.probe.target;
  Via *v;
  mp_Msg p = {0};
  take(state, from, &m->u.probe);
  if (!member_is_trusted(state, target) || target == state->self)
    return;
  v = probe_contexts(state, sizeof *v);
  v->asker = from;
  v->call = *m;
  p.kind = MP_MSG_PROBE;
  fill(state, &p.u.probe, target);
  effect_rpc_call(state, target, &p, MP_PROBE_TIMEOUT, viadone, v);
}

/*
** Tell all members at once that this instance is there, or still there.
** Holders hear by it that they have a new home to announce to, before the
** home has settled.
*/
static void greet(mp_State *state, void *ud) {
  guint i;
  (void)ud;
  for (i = 0; i < state->members->len; i++) {
    const Member *m = state->members->pdata[i];
    if (m->state != MP_MEMBER_DEAD)
      probe(state, m->addr);
  }
}

/* the next member of this data centre (or of others) in turn */
static Member *inturn(mp_State *state, unsigned *next, int remote) {
  guint n = state->members->len;
  guint i;
  if (n > 0)
    *next %= n;
  for (i = 0; i < n; i++) {
    Member *m = state->members->pdata[(*next + i) % n];
    if (m->remote != remote || (remote && !member_is_serving(m)))
      continue;
    if (m->state == MP_MEMBER_DEAD && !m->listed)
      continue;
    *next = (*next + i + 1) % n;
    return m;
  }
  return NULL;
}

static void period(mp_State *state, void *ud) {
  Member *m;
  guint i;
  (void)ud;
  dropold(state);
  for (i = 0; i < state->members->len; i++) {
    m = state->members->pdata[i];
    if (m->state == MP_MEMBER_SUSPECT &&
        state->now - m->since > MP_SUSPECT_TIME)
      become(state, m, MP_MEMBER_DEAD);
  }
  m = inturn(state, &state->next_local_probe, 0);
  if (m != NULL)
    probe(state, m->addr);
  m = state->periods++ % MP_REMOTE_EVERY == 0
          ? inturn(state, &state->next_remote_probe, 1)
          : NULL;
  if (m != NULL)
    probe(state, m->addr);
  timer_arm(&state->timers, &state->probe_timer, state->now + MP_PROBE_PERIOD,
            period, NULL);
}

/* }================================================================== */

void member_apply_list(mp_State *state) {
  unsigned i;
  guint k;
  for (k = 0; k < state->members->len; k++)
    ((Member *)state->members->pdata[k])->listed = 0;
  for (i = 0; i < state->list->n; i++) {
    const mp_Instance *in = &state->list->inst[i];
    Member *m;
    if (in->kind != MP_INST_ENTRY || in->addr == state->self)
      continue;
    m = member_get(state, in->addr);
    if (m == NULL)
      m = add(state, in->addr, 0, state_name_hash(in->dc));
    m->listed = 1;
    if (in->leaving && m->state == MP_MEMBER_ALIVE)
      become(state, m, MP_MEMBER_LEAVING);
  }
  if (!state->has_announced_start) {
    state->has_announced_start = 1;
    state->settled = state->now;
    timer_arm(&state->timers, &state->announce_timer, state->now, greet, NULL);
  }
}

/* the set may have changed behind its back: as after a fresh start */
void member_on_pause(mp_State *state) {
  state->settled = state->now;
  state->changes = 2;
  state->incarnation++; /* others may have called it dead */
  timer_arm(&state->timers, &state->announce_timer, state->now, greet, NULL);
}

static void seedanswered(mp_State *state, void *ud, mp_Addr from,
                         const mp_Msg *m) {
  (void)ud;
  if (m == NULL)
    return;
  if (member_get(state, from) == NULL)
    add(state, from, m->u.probe.start, m->u.probe.dc);
  take(state, from, &m->u.probe);
}

void member_probe_seed(mp_State *state, mp_Addr a, const mp_Msg *m) {
  effect_rpc_call(state, a, m, 4 * MP_PROBE_TIMEOUT, seedanswered, NULL);
}

void member_announce_leave(mp_State *state) {
  guint i;
  setchanged(state, liveset(state));
  state->draining = 1;
  state->incarnation++;
  for (i = 0; i < state->members->len; i++) {
    Member *m = state->members->pdata[i];
    if (member_is_serving(m))
      probe(state, m->addr);
  }
}

void member_init(mp_State *state) {
  /* the first probes go out at once, then spread by a random phase */
  mp_Time phase = g_rand_int_range(state->rand, 0, MP_PROBE_PERIOD);
  /* everyone has the same list: beginning anywhere in it keeps all from
  ** probing the same member at the same time */
  state->next_local_probe = g_rand_int(state->rand);
  state->next_remote_probe = g_rand_int(state->rand);
  state->probe_contexts = g_hash_table_new_full(NULL, NULL, g_free, NULL);
  state->previous_live_set = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  state->settled = state->now;
  state->changes = 2; /* a fresh instance knows of no set before it */
  timer_arm(&state->timers, &state->probe_timer, state->now + phase, period,
            NULL);
}

void member_free(mp_State *state) {
  g_array_unref(state->previous_live_set);
  g_hash_table_destroy(state->probe_contexts);
}
