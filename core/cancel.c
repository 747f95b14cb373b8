/*
** cancel.c
** Cancels of work at endpoints, repeated until confirmed
*/

#include "cancel.h"
#include "fx.h"

typedef struct Cancel {
  mp_State *M;
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
  timer_stop(&c->M->timers, &c->timer);
  g_free(c);
}

static void end(mp_State *M, Cancel *c) {
  g_ptr_array_remove_fast(M->cancels->open, c);
}

static void again(mp_State *M, void *ud);

static void answered(mp_State *M, void *ud, const mp_EndpointEvent *e) {
  Cancel *c = ud;
  if (e->what == MP_EP_DONE) {
    end(M, c);
    return;
  }
  if (e->what == MP_EP_FAIL)
    c->xcall = 0; /* the timer tries again */
}

static void send(mp_State *M, Cancel *c) {
  mp_Xcall x = {0};
  x.op = MP_X_CANCEL;
  x.endpoint = c->ep;
  x.token = c->token;
  x.attempt = c->attempt;
  c->tries++;
  c->xcall = effect_xcall(M, &x, answered, c);
  timer_arm(&M->timers, &c->timer, M->now + c->tries * MP_CANCEL_PERIOD, again,
            c);
}

static void again(mp_State *M, void *ud) {
  Cancel *c = ud;
  if (c->xcall != 0)
    effect_xabort(M, c->xcall);
  if (c->tries >= MP_CANCEL_TRIES)
    end(M, c);
  else
    send(M, c);
}

void cancel_cancel(mp_State *M, mp_Addr ep, const mp_Token *t,
                   uint32_t attempt) {
  Cancel *c = g_new0(Cancel, 1);
  c->M = M;
  c->ep = ep;
  c->token = *t;
  c->attempt = attempt;
  g_ptr_array_add(M->cancels->open, c);
  send(M, c);
}

unsigned cancel_open(const mp_State *M) {
  return M->cancels->open->len;
}

void cancel_init(mp_State *M) {
  M->cancels = g_new0(Cancels, 1);
  M->cancels->open = g_ptr_array_new_with_free_func(freecancel);
}

void cancel_free(mp_State *M) {
  g_ptr_array_unref(M->cancels->open);
  g_free(M->cancels);
}
