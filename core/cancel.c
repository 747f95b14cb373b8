/*
** cancel.c
** Cancels of work at endpoints, repeated until confirmed
*/

#include "cancel.h"
#include "fx.h"

typedef struct Cancel {
  mp_State *state;
  mp_Addr ep;
  mp_Token token;
  uint32_t attempt;
  unsigned tries;
  uint64_t xcall;
  Timer timer;
} Cancel;

struct Cancels {
  GPtrArray *open; /* Cancel */
};

static void freecancel(void *p) {
  Cancel *c = p;
  timer_stop(&c->state->timers, &c->timer);
  g_free(c);
}

static void end(mp_State *state, Cancel *c) {
  g_ptr_array_remove_fast(state->cancels->open, c);
}

static void again(mp_State *state, void *ud);

static void answered(mp_State *state, void *ud, const mp_EndpointEvent *e) {
  Cancel *c = ud;
  if (e->what == MP_EP_DONE) {
    end(state, c);
    return;
  }
  if (e->what == MP_EP_FAIL)
    c->xcall = 0; /* the timer tries again */
}

static void send(mp_State *state, Cancel *c) {
  mp_Xcall x = {0};
  x.op = MP_X_CANCEL;
  x.endpoint = c->ep;
  x.token = c->token;
  x.attempt = c->attempt;
  c->tries++;
  c->xcall = effect_endpoint_call(state, &x, answered, c);
  timer_arm(&state->timers, &c->timer,
            state->now + c->tries * MP_CANCEL_PERIOD, again, c);
}

static void again(mp_State *state, void *ud) {
  Cancel *c = ud;
  if (c->xcall != 0)
    effect_endpoint_abort(state, c->xcall);
  if (c->tries >= MP_CANCEL_TRIES)
    end(state, c);
  else
    send(state, c);
}

void cancel_start(mp_State *state, mp_Addr ep, const mp_Token *t,
                  uint32_t attempt) {
  Cancel *c = g_new0(Cancel, 1);
  c->state = state;
  c->ep = ep;
  c->token = *t;
  c->attempt = attempt;
  g_ptr_array_add(state->cancels->open, c);
  send(state, c);
}

unsigned cancel_pending_count(const mp_State *state) {
  return state->cancels->open->len;
}

void cancel_init(mp_State *state) {
  state->cancels = g_new0(Cancels, 1);
  state->cancels->open = g_ptr_array_new_with_free_func(freecancel);
}

void cancel_free(mp_State *state) {
  g_ptr_array_unref(state->cancels->open);
  g_free(state->cancels);
}
