/*
** admit.c
** Admission
*/

#include <string.h>

#include "admit.h"
#include "claim.h"
#include "flow.h"
#include "fx.h"
#include "place.h"
#include "quota.h"
#include "retry.h"

/* what a request refers to, found in the configuration */
typedef struct Found {
  const mp_Account *account;
  const mp_Class *class_;
  const mp_Service *service;
} Found;

static const mp_Account *findaccount(const mp_State *state, const char *key) {
  char d[MP_DIGEST + 1];
  guint i;
  if (key == NULL)
    return NULL;
  mp_digest(key, strlen(key), d);
  return key_table_find(state->keys, d, &i) ? &state->config->accounts[i]
                                            : NULL;
}

static const mp_Class *findclass(const mp_Config *c, const char *name) {
  unsigned i;
  for (i = 0; name != NULL && i < c->classes_count; i++) {
    if (strcmp(c->classes[i].name, name) == 0)
      return &c->classes[i];
  }
  return NULL;
}

static const mp_Service *findservice(const mp_Config *c, const char *name) {
  unsigned i;
  for (i = 0; i < c->services_count; i++) {
    if (strcmp(c->services[i].name, name) == 0)
      return &c->services[i];
  }
  return NULL;
}

static int has(char *const *names, unsigned n, const char *name) {
  unsigned i;
  for (i = 0; i < n; i++) {
    if (strcmp(names[i], name) == 0)
      return 1;
  }
  return 0;
}

/* the service that holds a model, or an adapter, of this name */
static const mp_Service *bymodel(const mp_Config *c, const char *model) {
  unsigned i;
  for (i = 0; i < c->models_count; i++) {
    if (strcmp(c->models[i].name, model) == 0)
      return findservice(c, c->models[i].service);
  }
  for (i = 0; i < c->pools_count; i++) {
    const mp_Pool *p = &c->pools[i];
    if (has(p->adapters, p->adapters_count, model))
      return findservice(c, p->service);
  }
  return NULL;
}

/* the plain service with the longest path that begins the request's */
static const mp_Service *bypath(const mp_Config *c, const char *path) {
  const mp_Service *win = NULL;
  size_t most = 0;
  unsigned i;
  for (i = 0; i < c->services_count; i++) {
    const mp_Service *s = &c->services[i];
    size_t n = s->path != NULL ? strlen(s->path) : 0;
    if (s->kind != MP_SVC_PLAIN || n <= most)
      continue;
    if (strncmp(path, s->path, n) != 0)
      continue;
    if (s->path[n - 1] != '/' && path[n] != '\0' && path[n] != '/' &&
        path[n] != '?')
      continue; /* /upload is no prefix of /uploads */
    win = s;
    most = n;
  }
  return win;
}

static mp_Error find(const mp_State *state, const mp_Call *q, Found *f) {
  const mp_Config *c = state->config;
  const char *class_name = q->class_name;
  f->account = findaccount(state, q->bearer);
  if (f->account == NULL)
    return MP_ERR_ACCOUNT;
  if (q->model != NULL) {
    f->service = bymodel(c, q->model);
    if (f->service == NULL)
      return MP_ERR_MODEL;
  } else {
    f->service = bypath(c, q->path);
    if (f->service == NULL)
      return MP_ERR_SERVICE;
    class_name = f->service->class_name;
  }
  if (class_name == NULL && f->account->classes_count > 0)
    class_name = f->account->classes[0]; /* the account's default */
  f->class_ = findclass(c, class_name);
  if (f->class_ == NULL ||
      !has(f->account->classes, f->account->classes_count, f->class_->name))
    return MP_ERR_CLASS;
  if (place_find_rule(c, f->class_->name, f->account->name) == NULL)
    return MP_ERR_PLACE;
  return MP_ERR_NONE;
}

static void refusecall(mp_State *state, const mp_Call *c, mp_Error e) {
  mp_Reply p = {0};
  p.call = c->call;
  p.what = MP_REPLY_ERROR;
  p.error = e;
  p.ran = MP_RAN_NO;
  p.retry_s = mp_error_retry(e);
  state_count(state, REFUSED);
  effect_log(state, MP_LOG_REFUSE, " kind=%s ran=no", mp_error_name(e));
  effect_caller_reply(state, &p);
}

static Request *newrequest(mp_State *state, const mp_Call *c, const Found *f) {
  Request *r = g_new0(Request, 1);
  const mp_Class *k = f->class_;
  r->call = c->call;
  r->token.owner = state->self;
  r->token.start = state->start;
  r->token.seq = ++state->last_request_seq;
  g_strlcpy(r->class_name, k->name, sizeof r->class_name);
  g_strlcpy(r->account, f->account->name, sizeof r->account);
  g_strlcpy(r->service, f->service->name, sizeof r->service);
  if (c->model != NULL)
    g_strlcpy(r->model, c->model, sizeof r->model);
  r->plain = f->service->kind == MP_SVC_PLAIN;
  r->prompt_tokens = MAX(c->prompt_tokens, 1);
  r->max_tokens = MAX(c->max_tokens, 1);
  r->prefix = c->prefix;
  r->arrived = state->now;
  r->deadline = state->now + (mp_Time)k->deadline_ms * MP_MS;
  r->first_ms = k->first_token_ms;
  r->weight = k->weight;
  r->repeatable = k->repeatable;
  r->keyed = c->key != NULL;
  if (r->keyed)
    claim_make_id(r->account, c->key, r->id);
  r->text = g_string_new(NULL);
  g_ptr_array_add(state->requests, r);
  state_table_set(state->request_by_call, r->call, r);
  state_table_set(state->request_by_seq, r->token.seq, r);
  return r;
}

static void admitted(mp_State *state, void *ud, int ok) {
  Request *r = ud;
  if (ok)
    flow_begin(state, r);
  else
    flow_refuse(state, r, MP_ERR_QUOTA, mp_error_retry(MP_ERR_QUOTA));
}

void admit_call(mp_State *state, const mp_Call *c) {
  Found f = {0};
  mp_Error e;
  Request *r;
  int ok;
  state_count(state, REQUESTS);
  if (state->draining &&
      state->now - state->drain_started_at > MP_DRAIN_LINGER)
    e = MP_ERR_DRAINING;
  else if (state->config == NULL)
    e = MP_ERR_NO_CONFIG;
  else if (c->key != NULL && strlen(c->key) > MP_MAXKEY)
    e = MP_ERR_BAD_REQUEST;
  else
    e = find(state, c, &f);
  if (e != MP_ERR_NONE) {
    refusecall(state, c, e);
    return;
  }
  retry_budget_deposit(state);
  r = newrequest(state, c, &f);
  effect_log(state, MP_LOG_ACCEPT,
             " seq=%08x class=%s account=%s prompt_tokens=%u", r->token.seq,
             r->class_name, r->account, r->prompt_tokens);
  ok = quota_admit(state, f.account, admitted, r);
  if (ok >= 0)
    admitted(state, r, ok);
}
