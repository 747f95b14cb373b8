/*
** admit.c
** Admission: checks a caller's request and adds it to the request table
*/

#include <string.h>

#include "admit.h"
#include "claim.h"
#include "flow.h"
#include "fx.h"
#include "place.h"
#include "quota.h"
#include "retry.h"

/* What a call refers to. The rows belong to the configuration in force. */
typedef struct CallTarget {
  const mp_Account *account;
  const mp_Class *class_;
  const mp_Service *service;
} CallTarget;

/* Returns the account that the caller's key belongs to, or NULL. */
static const mp_Account *find_account(const mp_State *state, const char *key) {
  char digest[MP_SHA256_HEX + 1];
  guint i;
  if (key == NULL)
    return NULL;
  mp_digest(key, strlen(key), digest);
  return key_table_find(state->keys, digest, &i) ? &state->config->accounts[i]
                                                 : NULL;
}

static const mp_Class *find_class(const mp_Config *c, const char *name) {
  unsigned i;
  for (i = 0; name != NULL && i < c->classes_count; i++) {
    if (strcmp(c->classes[i].name, name) == 0)
      return &c->classes[i];
  }
  return NULL;
}

static const mp_Service *find_service(const mp_Config *c, const char *name) {
  unsigned i;
  for (i = 0; i < c->services_count; i++) {
    if (strcmp(c->services[i].name, name) == 0)
      return &c->services[i];
  }
  return NULL;
}

static int contains_name(char *const *names, unsigned count,
                         const char *name) {
  unsigned i;
  for (i = 0; i < count; i++) {
    if (strcmp(names[i], name) == 0)
      return 1;
  }
  return 0;
}

/*
** Returns the service that has a model, or an adapter, of this name, or NULL.
*/
static const mp_Service *service_by_model(const mp_Config *c,
                                          const char *model) {
  unsigned i;
  for (i = 0; i < c->models_count; i++) {
    if (strcmp(c->models[i].name, model) == 0)
      return find_service(c, c->models[i].service);
  }
  for (i = 0; i < c->pools_count; i++) {
    const mp_Pool *p = &c->pools[i];
    if (contains_name(p->adapters, p->adapters_count, model))
      return find_service(c, p->service);
  }
  return NULL;
}

/*
** Returns the plain service with the longest path that the request's path
** begins with, or NULL. The match ends at the end of a path segment or before
** the query.
*/
static const mp_Service *service_by_path(const mp_Config *c,
                                         const char *path) {
  const mp_Service *best = NULL;
  size_t best_length = 0;
  unsigned i;
  for (i = 0; i < c->services_count; i++) {
    const mp_Service *s = &c->services[i];
    size_t length = s->path != NULL ? strlen(s->path) : 0;
    if (s->kind != MP_SVC_PLAIN || length <= best_length)
      continue;
    if (strncmp(path, s->path, length) != 0)
      continue;
    if (s->path[length - 1] != '/' && path[length] != '\0' &&
        path[length] != '/' && path[length] != '?')
      continue; /* a prefix within a segment: /upload is none of /uploads */
    best = s;
    best_length = length;
  }
  return best;
}

/*
** Fills in 'target', and checks that the call's class is open to the account
** and that some placement rule covers it. The class is the plain service's
** or, for a model, the caller's; where that is not set it is the account's
** first one. Returns MP_ERR_NONE or why the call is refused.
*/
static mp_Error resolve_call(const mp_State *state, const mp_Call *call,
                             CallTarget *target) {
  const mp_Config *c = state->config;
  const char *class_name = call->class_name;
  target->account = find_account(state, call->bearer);
  if (target->account == NULL)
    return MP_ERR_ACCOUNT;
  if (call->model != NULL) {
    target->service = service_by_model(c, call->model);
    if (target->service == NULL)
      return MP_ERR_MODEL;
  } else {
    target->service = service_by_path(c, call->path);
    if (target->service == NULL)
      return MP_ERR_SERVICE;
    class_name = target->service->class_name;
  }
  if (class_name == NULL && target->account->classes_count > 0)
    class_name = target->account->classes[0];
  target->class_ = find_class(c, class_name);
  if (target->class_ == NULL ||
      !contains_name(target->account->classes, target->account->classes_count,
                     target->class_->name))
    return MP_ERR_CLASS;
  if (place_find_rule(c, target->class_->name, target->account->name) == NULL)
    return MP_ERR_PLACE;
  return MP_ERR_NONE;
}

/* Answers a call that has no row in the request table. */
static void refuse_call(mp_State *state, const mp_Call *c, mp_Error e) {
  mp_Reply p = {0};
  p.call = c->call;
  p.what = MP_REPLY_ERROR;
  p.error = e;
  p.ran = MP_RAN_NO;
  p.retry_s = mp_error_retry_after_s(e);
  state_count(state, REFUSED);
  effect_log(state, MP_LOG_REFUSE, " kind=%s ran=no", mp_error_name(e));
  effect_caller_reply(state, &p);
}

/*
** Adds a row to the request table, which owns it, and gives it its token. The
** deadline counts from now.
*/
static Request *add_request(mp_State *state, const mp_Call *c,
                            const CallTarget *target) {
  Request *r = g_new0(Request, 1);
  const mp_Class *class_ = target->class_;
  r->call = c->call;
  r->token.owner = state->self;
  r->token.start = state->start;
  r->token.seq = ++state->last_request_seq;
  g_strlcpy(r->class_name, class_->name, sizeof r->class_name);
  g_strlcpy(r->account, target->account->name, sizeof r->account);
  g_strlcpy(r->service, target->service->name, sizeof r->service);
  if (c->model != NULL)
    g_strlcpy(r->model, c->model, sizeof r->model);
  r->plain = target->service->kind == MP_SVC_PLAIN;
  r->prompt_tokens = MAX(c->prompt_tokens, 1);
  r->max_tokens = MAX(c->max_tokens, 1);
  r->prefix = c->prefix;
  r->arrived = state->now;
  r->deadline = state->now + (mp_Time)class_->deadline_ms * MP_MS;
  r->first_ms = class_->first_token_ms;
  r->weight = class_->weight;
  r->repeatable = class_->repeatable;
  r->keyed = c->key != NULL;
  if (r->keyed)
    claim_make_id(r->account, c->key, r->id);
  r->text = g_string_new(NULL);
  g_ptr_array_add(state->requests, r);
  state_table_set(state->request_by_call, r->call, r);
  state_table_set(state->request_by_seq, r->token.seq, r);
  return r;
}

/*
** Starts the request when its account's limit admits it, and otherwise refuses
** it.
*/
static void on_quota_answer(mp_State *state, void *ud, int admitted) {
  Request *r = ud;
  if (admitted)
    flow_begin(state, r);
  else
    flow_refuse(state, r, MP_ERR_QUOTA, mp_error_retry_after_s(MP_ERR_QUOTA));
}

/*
** A draining instance still admits requests for MP_DRAIN_ADMIT_TIME after the
** drain began, since load balancers learn of it late.
*/
void admit_call(mp_State *state, const mp_Call *c) {
  CallTarget target = {0};
  mp_Error e;
  Request *r;
  int admitted;
  state_count(state, REQUESTS);
  if (state->draining &&
      state->now - state->drain_started_at > MP_DRAIN_ADMIT_TIME)
    e = MP_ERR_DRAINING;
  else if (state->config == NULL)
    e = MP_ERR_NO_CONFIG;
  else if (c->key != NULL && strlen(c->key) > MP_KEY_MAX)
    e = MP_ERR_BAD_REQUEST;
  else
    e = resolve_call(state, c, &target);
  if (e != MP_ERR_NONE) {
    refuse_call(state, c, e);
    return;
  }
  retry_budget_deposit(state);
  r = add_request(state, c, &target);
  effect_log(state, MP_LOG_ACCEPT,
             " seq=%08x class=%s account=%s prompt_tokens=%u", r->token.seq,
             r->class_name, r->account, r->prompt_tokens);
  admitted = quota_admit(state, target.account, on_quota_answer, r);
  if (admitted >= 0)
    on_quota_answer(state, r, admitted);
}
