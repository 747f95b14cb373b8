/*
** cancel.c
** Cancels attempts at endpoints, and repeats each cancel until confirmed
*/

#include "cancel.h"
#include "fx.h"

/* One cancel that is not confirmed yet. */
typedef struct Cancel {
  mp_State *state;
  mp_Addr endpoint;
  mp_Token token;
  uint32_t attempt;
  unsigned tries; /* times sent */
  uint64_t xcall; /* open call, 0: none */
  Timer timer;
} Cancel;

struct Cancels {
  GPtrArray *pending; /* Cancel; owns them, in no order */
};

static void free_cancel(void *p) {
  Cancel *c = p;
  timer_stop(&c->state->timers, &c->timer);
  g_free(c);
}

/* Removes the cancel from the list, which frees it. */
static void remove_cancel(mp_State *state, Cancel *c) {
  g_ptr_array_remove_fast(state->cancels->pending, c);
}

static void on_retry_timer(mp_State *state, void *ud);

/*
** Handles what comes back from the cancel call. After a failure the timer
** sends the cancel again.
*/
static void on_cancel_event(mp_State *state, void *ud,
                            const mp_EndpointEvent *e) {
  Cancel *c = ud;
  if (e->what == MP_EP_DONE) {
    remove_cancel(state, c);
    return;
  }
  if (e->what == MP_EP_FAIL)
    c->xcall = 0;
}

/* Sends the cancel once more. The wait until the next time grows with each. */
static void send_cancel(mp_State *state, Cancel *c) {
  mp_EndpointCall x = {0};
  x.op = MP_X_CANCEL;
  x.endpoint = c->endpoint;
  x.token = c->token;
  x.attempt = c->attempt;
  c->tries++;
  c->xcall = effect_endpoint_call(state, &x, on_cancel_event, c);
  timer_arm(&state->timers, &c->timer,
            state->now + c->tries * MP_CANCEL_PERIOD, on_retry_timer, c);
}

/*
** Timer: the cancel was not confirmed. Sends it again, or drops it after
** MP_CANCEL_TRIES.
*/
static void on_retry_timer(mp_State *state, void *ud) {
  Cancel *c = ud;
  if (c->xcall != 0)
    effect_endpoint_abort(state, c->xcall);
  if (c->tries >= MP_CANCEL_TRIES)
    remove_cancel(state, c);
  else
    send_cancel(state, c);
}

void cancel_start(mp_State *state, mp_Addr endpoint, const mp_Token *t,
                  uint32_t attempt) {
  Cancel *c = g_new0(Cancel, 1);
  c->state = state;
  c->endpoint = endpoint;
  c->token = *t;
  c->attempt = attempt;
  g_ptr_array_add(state->cancels->pending, c);
  send_cancel(state, c);
}

unsigned cancel_pending_count(const mp_State *state) {
  return state->cancels->pending->len;
}

void cancel_init(mp_State *state) {
  state->cancels = g_new0(Cancels, 1);
  state->cancels->pending = g_ptr_array_new_with_free_func(free_cancel);
}

void cancel_free(mp_State *state) {
  g_ptr_array_unref(state->cancels->pending);
  g_free(state->cancels);
}
