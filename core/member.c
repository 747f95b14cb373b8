/*
** member.c
** Membership: failure detection and gossip
**
** A member that answers neither a probe nor the indirect probes, sent through
** other members, is suspected. A suspect that doesn't refute this within
** MP_SUSPECT_TIMEOUT is dead. Updates about a member are ordered by (start,
** incarnation, state), so they may arrive in any order and more than once. A
** member is suspected only by the probes of instances of its own data centre.
** Of another data centre, an instance only notes whether it is reachable.
*/

#include <string.h>

#include "claim.h"
#include "doc.h"
#include "fx.h"
#include "keep.h"
#include "member.h"

/* the indirect probes of one target that are under way */
typedef struct IndirectProbe {
  mp_Addr target;
  unsigned open_calls; /* whose reply may still come */
  int is_answered;     /* the target answered one of them */
} IndirectProbe;

/* zeroed memory for the callbacks of a call; freed with the state if not by
** free_context before */
static void *new_context(mp_State *state, size_t n) {
  void *p = g_malloc0(n);
  g_hash_table_add(state->probe_contexts, p);
  return p;
}

static void free_context(mp_State *state, void *p) {
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
** The live set: live instances of this data centre
** ===================================================================
*/

/* mp_Addr, owned by the caller; without this instance while it drains */
static GArray *live_set(const mp_State *state) {
  GArray *a = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  guint i;
  if (!state->draining)
    g_array_append_val(a, state->self);
  for (i = 0; i < state->members->len; i++) {
    const Member *m = state->members->pdata[i];
    if (!m->is_remote && member_is_serving(m))
      g_array_append_val(a, m->addr);
  }
  return a;
}

/*
** Record a change of the live set for claim.c. 'old' is the set before it,
** and is consumed. Changes that follow within MP_HOME_SETTLE_TIME count as a
** series, and previous_live_set stays what it was before the first.
*/
static void on_live_set_changed(mp_State *state, GArray *old) {
  if (state->now - state->set_changed_at < MP_HOME_SETTLE_TIME) {
    state->set_change_count++;
    g_array_unref(old);
  } else {
    state->set_change_count = 1;
    g_array_unref(state->previous_live_set);
    state->previous_live_set = old;
  }
  state->set_changed_at = state->now;
}

/* set the state of a member, log it, and let it be gossiped anew */
static void set_member_state(mp_State *state, Member *m, mp_MemberState s) {
  static const mp_EventNo event_of_state[] = {
      MP_LOG_MEMBER_UP, MP_LOG_MEMBER_SUSPECT, MP_LOG_MEMBER_LEAVING,
      MP_LOG_MEMBER_DEAD};
  GArray *old;
  int before;
  char text[24];
  if (m->state == s)
    return;
  old = live_set(state);
  before = member_is_serving(m);
  m->state = s;
  m->state_since = state->now;
  m->gossip_count = 0;
  if (!m->is_remote && before != member_is_serving(m))
    on_live_set_changed(state, old);
  else
    g_array_unref(old);
  if (before != member_is_serving(m))
    claim_on_homes_changed(state);
  mp_addr_text(m->addr, text);
  effect_log(state, event_of_state[s], " instance=%s start=%u", text,
             m->start);
}

/* a new member, alive */
static Member *add_member(mp_State *state, mp_Addr a, uint32_t start,
                          uint32_t dc) {
  Member *m = g_new0(Member, 1);
  m->addr = a;
  m->start = start;
  m->dc = dc;
  m->is_remote = dc != state->dc_hash;
  m->state_since = state->now;
  m->state = MP_MEMBER_DEAD; /* set_member_state counts it as live below */
  g_ptr_array_add(state->members, m);
  state_table_set(state->member_by_addr, a, m);
  set_member_state(state, m, MP_MEMBER_ALIVE);
  return m;
}

/* drop dead members that no list names, MP_DEAD_RETENTION after their death */
static void drop_old_members(mp_State *state) {
  guint i = 0;
  while (i < state->members->len) {
    Member *m = state->members->pdata[i];
    if (m->state == MP_MEMBER_DEAD && !m->is_listed &&
        state->now - m->state_since > MP_DEAD_RETENTION) {
      state_table_remove(state->member_by_addr, m->addr);
      g_ptr_array_remove_index(state->members, i); /* frees the row */
    } else
      i++;
  }
}

/* }================================================================== */

/*
** {==================================================================
** Number of instances, reachable data centres
** ===================================================================
*/

unsigned member_count(const mp_State *state, int all) {
  unsigned n = 1;
  guint i;
  for (i = 0; i < state->members->len; i++) {
    const Member *m = state->members->pdata[i];
    if (member_is_serving(m) && (all || !m->is_remote))
      n++;
  }
  return n;
}

int member_is_dc_reachable(const mp_State *state, uint32_t dc) {
  unsigned i;
  if (dc == state->dc_hash)
    return 1;
  for (i = 0; i < state->dc_contact_count; i++) {
    if (state->dc_contact[i].dc == dc)
      return state->now - state->dc_contact[i].last_heard < MP_DC_TIMEOUT;
  }
  return 0;
}

/* a message came directly from a member of 'dc' */
static void mark_dc_contact(mp_State *state, uint32_t dc) {
  unsigned i;
  for (i = 0; i < state->dc_contact_count && state->dc_contact[i].dc != dc;
       i++)
    ;
  if (i == MP_DCS_MAX)
    return;
  if (i == state->dc_contact_count)
    state->dc_contact[state->dc_contact_count++].dc = dc;
  state->dc_contact[i].last_heard = state->now;
}

/* }================================================================== */

/*
** {==================================================================
** Gossip
** ===================================================================
*/

static void announce_alive(mp_State *state, void *ud);

void member_mark_responsive(mp_State *state, mp_Addr a) {
  Member *m = member_get(state, a);
  if (m == NULL)
    return;
  m->last_heard = state->now;
  m->avoid_until = 0;
  mark_dc_contact(state, m->dc);
}

void member_mark_unresponsive(mp_State *state, mp_Addr a) {
  Member *m = member_get(state, a);
  if (m != NULL)
    m->avoid_until = state->now + MP_PROBE_PERIOD;
}

int member_is_trusted(const mp_State *state, mp_Addr a) {
  uint32_t ip = (uint32_t)(a >> 16);
  if (member_get(state, a) != NULL || a == state->self)
    return 1;
  return state->mask != 0 && (ip & state->mask) == (state->net & state->mask);
}

/* is (start, incarnation, state) of the update higher than what is known? */
static int is_newer(const Member *m, const mp_MemberUpdate *n) {
  if (n->start != m->start)
    return n->start > m->start;
  if (n->incarnation != m->incarnation)
    return n->incarnation > m->incarnation;
  return n->state > (uint8_t)m->state;
}

/* an update says that this instance is suspected or dead: refute it */
static void on_own_state(mp_State *state, const mp_MemberUpdate *n) {
  if (n->start != state->start || n->incarnation < state->incarnation)
    return;
  if (n->state != MP_MEMBER_SUSPECT && n->state != MP_MEMBER_DEAD)
    return;
  state->incarnation = n->incarnation + 1; /* higher: refutes the update */
  timer_arm(&state->timers, &state->announce_timer, state->now, announce_alive,
            NULL);
}

/* merge an update about one member; unknown ones are added if trusted */
static void merge_member(mp_State *state, const mp_MemberUpdate *n) {
  Member *m;
  if (n->addr == state->self) {
    on_own_state(state, n);
    return;
  }
  if (n->state > MP_MEMBER_DEAD || n->addr == 0)
    return;
  m = member_get(state, n->addr);
  if (m == NULL) {
    if (n->state == MP_MEMBER_DEAD || !member_is_trusted(state, n->addr))
      return;
    m = add_member(state, n->addr, n->start, n->dc);
  } else if (!is_newer(m, n))
    return;
  m->start = n->start;
  m->incarnation = n->incarnation;
  m->gossip_count = 0;
  set_member_state(state, m, (mp_MemberState)n->state);
}

unsigned member_gossip_limit(const mp_State *state) {
  return 2 + (unsigned)g_bit_storage(state->members->len);
}

/* of the members other than 'to', the receiver, whose state is not in 'p' yet
** and has gone with fewer than member_gossip_limit probes since it changed,
** the one whose state has gone with the fewest; NULL when there is none */
static Member *least_gossiped(mp_State *state, const mp_Probe *p, mp_Addr to) {
  Member *best = NULL;
  guint i;
  for (i = 0; i < state->members->len; i++) {
    Member *m = state->members->pdata[i];
    unsigned k;
    if (m->addr == to || m->gossip_count >= member_gossip_limit(state) ||
        (best != NULL && m->gossip_count >= best->gossip_count))
      continue;
    for (k = 0; k < p->nmember && p->member[k].addr != m->addr; k++)
      ;
    if (k == p->nmember)
      best = m;
  }
  return best;
}

static void fill_members(mp_State *state, mp_Probe *p, mp_Addr to) {
  Member *about = member_get(state, to);
  /* a receiver that is not alive here is told so: only then can it refute that
  ** it is suspected or dead */
  if (about != NULL && about->state != MP_MEMBER_ALIVE) {
    mp_MemberUpdate n = {about->addr, about->start, about->incarnation,
                         about->dc, (uint8_t)about->state};
    p->member[p->nmember++] = n;
  }
  while (p->nmember < MP_GOSSIP_MEMBERS) {
    Member *m = least_gossiped(state, p, to);
    mp_MemberUpdate n;
    if (m == NULL)
      break;
    n.addr = m->addr;
    n.start = m->start;
    n.incarnation = m->incarnation;
    n.dc = m->dc;
    n.state = (uint8_t)m->state;
    p->member[p->nmember++] = n;
    m->gossip_count++;
  }
}

/* fill in a probe, or the answer to one, for 'to' */
static void fill_probe(mp_State *state, mp_Probe *p, mp_Addr to) {
  int i;
  memset(p, 0, sizeof *p);
  p->start = state->start;
  p->incarnation = state->incarnation;
  p->dc = state->dc_hash;
  p->state = state->draining ? MP_MEMBER_LEAVING : MP_MEMBER_ALIVE;
  for (i = 0; i < MP_DOC_COUNT; i++)
    p->doc[i] = state->doc[i].version;
  fill_members(state, p, to);
  keeper_fill_loads(state, p, member_get(state, to));
}

/* merge all that a probe, or the answer to one, says */
static void merge_probe(mp_State *state, mp_Addr from, const mp_Probe *p) {
  mp_MemberUpdate n = {from, p->start, p->incarnation, p->dc, p->state};
  unsigned i;
  Member *m;
  merge_member(state, &n);
  member_mark_responsive(state, from);
  m = member_get(state, from);
  for (i = 0; i < p->nmember; i++)
    merge_member(state, &p->member[i]);
  for (i = 0; i < p->nload; i++)
    keeper_merge_load(state, &p->load[i]);
  if (m != NULL) {
    memcpy(m->doc, p->doc, sizeof m->doc);
    document_on_offer(state, from, p->doc);
  }
}

void member_on_probe(mp_State *state, mp_Addr from, const mp_Msg *m) {
  mp_Msg a = {0};
  merge_probe(state, from, &m->u.probe);
  fill_probe(state, &a.u.probe, from);
  a.u.probe.target = state->self;
  effect_rpc_reply(state, from, m, &a);
}

/* }================================================================== */

/*
** {==================================================================
** Probing
** ===================================================================
*/

/* members of other data centres are never suspected here */
static void suspect_member(mp_State *state, mp_Addr a) {
  Member *m = member_get(state, a);
  if (m == NULL || m->is_remote)
    return;
  member_mark_unresponsive(state, a);
  if (m->state == MP_MEMBER_ALIVE)
    set_member_state(state, m, MP_MEMBER_SUSPECT);
}

/* reply to PROBE_VIA, or NULL when none came. With the last one the target is
** suspected if it answered none of the indirect probes */
static void on_indirect_reply(mp_State *state, void *ud, mp_Addr from,
                              const mp_Msg *m) {
  IndirectProbe *p = ud;
  (void)from;
  if (m != NULL && m->u.probe.target == p->target)
    p->is_answered = 1;
  if (m != NULL)
    merge_probe(state, from, &m->u.probe);
  if (--p->open_calls > 0)
    return;
  if (!p->is_answered)
    suspect_member(state, p->target);
  free_context(state, p);
}

/* an alive member of this data centre, at random; NULL: there is no other */
static Member *random_member_except(mp_State *state, mp_Addr but) {
  guint n = state->members->len;
  guint at = n > 0 ? (guint)g_rand_int_range(state->rand, 0, (gint32)n) : 0;
  guint i;
  for (i = 0; i < n; i++) {
    Member *m = state->members->pdata[(at + i) % n];
    if (!m->is_remote && m->state == MP_MEMBER_ALIVE && m->addr != but)
      return m;
  }
  return NULL;
}

/* ask up to MP_PROBE_INDIRECT members to probe the target */
static void probe_indirectly(mp_State *state, mp_Addr target) {
  IndirectProbe *p = new_context(state, sizeof *p);
  mp_Addr asked = 0;
  int i;
  p->target = target;
  for (i = 0; i < MP_PROBE_INDIRECT; i++) {
    Member *v = random_member_except(state, target);
    mp_Msg m = {0};
    if (v == NULL || v->addr == asked)
      break;
    asked = v->addr;
    m.kind = MP_MSG_PROBE_VIA;
    fill_probe(state, &m.u.probe, v->addr);
    m.u.probe.target = target;
    p->open_calls++;
    effect_rpc_call(state, v->addr, &m, 3 * MP_PROBE_TIMEOUT,
                    on_indirect_reply, p);
  }
  if (p->open_calls == 0) {
    suspect_member(state, target);
    free_context(state, p);
  }
}

/* reply to PROBE; without one, other members are asked to probe */
static void on_probe_reply(mp_State *state, void *ud, mp_Addr from,
                           const mp_Msg *m) {
  Member *t = member_get(state, from);
  (void)ud;
  if (m != NULL) {
    merge_probe(state, from, &m->u.probe);
    return;
  }
  member_mark_unresponsive(state, from);
  if (t != NULL && !t->is_remote)
    probe_indirectly(state, from);
}

static void send_probe(mp_State *state, mp_Addr a) {
  mp_Msg m = {0};
  m.kind = MP_MSG_PROBE;
  fill_probe(state, &m.u.probe, a);
  effect_rpc_call(state, a, &m, MP_PROBE_TIMEOUT, on_probe_reply, NULL);
}

/* a PROBE_VIA call that is answered when its target was probed */
typedef struct RelayedProbe {
  mp_Addr requester;
  mp_Msg call;
} RelayedProbe;

/* tell the requester whether the target answered the relayed probe */
static void on_relayed_reply(mp_State *state, void *ud, mp_Addr from,
                             const mp_Msg *m) {
  RelayedProbe *v = ud;
  mp_Msg a = {0};
  if (m != NULL)
    merge_probe(state, from, &m->u.probe);
  fill_probe(state, &a.u.probe, v->requester);
  a.u.probe.target = m != NULL ? from : 0;
  effect_rpc_reply(state, v->requester, &v->call, &a);
  free_context(state, v);
}

void member_on_probe_via(mp_State *state, mp_Addr from, const mp_Msg *m) {
  mp_Addr target = m->u.probe.target;
  RelayedProbe *v;
  mp_Msg p = {0};
  merge_probe(state, from, &m->u.probe);
  if (!member_is_trusted(state, target) || target == state->self)
    return;
  v = new_context(state, sizeof *v);
  v->requester = from;
  v->call = *m;
  p.kind = MP_MSG_PROBE;
  fill_probe(state, &p.u.probe, target);
  effect_rpc_call(state, target, &p, MP_PROBE_TIMEOUT, on_relayed_reply, v);
}

/*
** Timer function: tell all members that are not dead that this instance is
** alive, by probing them. The instances that hold claims learn from it that
** they must announce them to a new home, before the home's MP_HOME_SETTLE_TIME
** is over.
*/
static void announce_alive(mp_State *state, void *ud) {
  guint i;
  (void)ud;
  for (i = 0; i < state->members->len; i++) {
    const Member *m = state->members->pdata[i];
    if (m->state != MP_MEMBER_DEAD)
      send_probe(state, m->addr);
  }
}

/*
** The next member to probe, round robin: of this data centre, or with
** 'remote' a live one of another. Dead members are probed while a list names
** them, since they may be back. '*next' is the index to start from.
*/
static Member *next_in_turn(mp_State *state, unsigned *next, int remote) {
  guint n = state->members->len;
  guint i;
  if (n > 0)
    *next %= n;
  for (i = 0; i < n; i++) {
    Member *m = state->members->pdata[(*next + i) % n];
    if (m->is_remote != remote || (remote && !member_is_serving(m)))
      continue;
    if (m->state == MP_MEMBER_DEAD && !m->is_listed)
      continue;
    *next = (*next + i + 1) % n;
    return m;
  }
  return NULL;
}

/* timer function: one probe period */
static void probe_period(mp_State *state, void *ud) {
  Member *m;
  guint i;
  (void)ud;
  drop_old_members(state);
  for (i = 0; i < state->members->len; i++) {
    m = state->members->pdata[i];
    if (m->state == MP_MEMBER_SUSPECT &&
        state->now - m->state_since > MP_SUSPECT_TIMEOUT)
      set_member_state(state, m, MP_MEMBER_DEAD);
  }
  m = next_in_turn(state, &state->next_local_probe, 0);
  if (m != NULL)
    send_probe(state, m->addr);
  m = state->probe_periods++ % MP_REMOTE_EVERY == 0
          ? next_in_turn(state, &state->next_remote_probe, 1)
          : NULL;
  if (m != NULL)
    send_probe(state, m->addr);
  timer_arm(&state->timers, &state->probe_timer, state->now + MP_PROBE_PERIOD,
            probe_period, NULL);
}

/* }================================================================== */

void member_apply_list(mp_State *state) {
  unsigned i;
  guint k;
  for (k = 0; k < state->members->len; k++)
    ((Member *)state->members->pdata[k])->is_listed = 0;
  for (i = 0; i < state->list->n; i++) {
    const mp_Instance *in = &state->list->inst[i];
    Member *m;
    if (in->kind != MP_INST_ENTRY || in->addr == state->self)
      continue;
    m = member_get(state, in->addr);
    if (m == NULL)
      m = add_member(state, in->addr, 0, state_name_hash(in->dc));
    m->is_listed = 1;
    if (in->leaving && m->state == MP_MEMBER_ALIVE)
      set_member_state(state, m, MP_MEMBER_LEAVING);
  }
  if (!state->has_announced_start) {
    state->has_announced_start = 1;
    state->set_changed_at = state->now;
    timer_arm(&state->timers, &state->announce_timer, state->now,
              announce_alive, NULL);
  }
}

/* the live set may have changed unnoticed, so the count is set as after a
** start, when no previous live set is known */
void member_on_pause(mp_State *state) {
  state->set_changed_at = state->now;
  state->set_change_count = 2;
  state->incarnation++; /* refutes that it is dead */
  timer_arm(&state->timers, &state->announce_timer, state->now, announce_alive,
            NULL);
}

/* an instance that answers as a seed becomes a member */
static void on_seed_reply(mp_State *state, void *ud, mp_Addr from,
                          const mp_Msg *m) {
  (void)ud;
  if (m == NULL)
    return;
  if (member_get(state, from) == NULL)
    add_member(state, from, m->u.probe.start, m->u.probe.dc);
  merge_probe(state, from, &m->u.probe);
}

void member_probe_seed(mp_State *state, mp_Addr a, const mp_Msg *m) {
  effect_rpc_call(state, a, m, 4 * MP_PROBE_TIMEOUT, on_seed_reply, NULL);
}

void member_announce_leave(mp_State *state) {
  guint i;
  on_live_set_changed(state, live_set(state));
  state->draining = 1;
  state->incarnation++;
  for (i = 0; i < state->members->len; i++) {
    Member *m = state->members->pdata[i];
    if (member_is_serving(m))
      send_probe(state, m->addr);
  }
}

void member_init(mp_State *state) {
  /* seeds and the members of the first list are probed at once; the periods
  ** after that are spread by a random phase */
  mp_Time phase = g_rand_int_range(state->rand, 0, MP_PROBE_PERIOD);
  /* all instances have the same list: a random index to start from keeps
  ** them from probing the same member at the same time */
  state->next_local_probe = g_rand_int(state->rand);
  state->next_remote_probe = g_rand_int(state->rand);
  state->probe_contexts = g_hash_table_new_full(NULL, NULL, g_free, NULL);
  state->previous_live_set = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  state->set_changed_at = state->now;
  state->set_change_count = 2; /* no previous live set is known */
  timer_arm(&state->timers, &state->probe_timer, state->now + phase,
            probe_period, NULL);
}

void member_free(mp_State *state) {
  g_array_unref(state->previous_live_set);
  g_hash_table_destroy(state->probe_contexts);
}
