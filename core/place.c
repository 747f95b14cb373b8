/*
** place.c
** Where a request may run, and where its KV may go
** Unknown means forbidden: no configuration, no rule, or a data centre
** that is not configured.
*/

#include <string.h>

#include "place.h"

const mp_Rule *place_find_rule(const mp_Config *c, const char *class_name,
                               const char *account) {
  const mp_Rule *general = NULL;
  unsigned i;
  if (c == NULL)
    return NULL;
  for (i = 0; i < c->rules_count; i++) {
    const mp_Rule *r = &c->rules[i];
    if (strcmp(r->class_name, class_name) != 0)
      continue;
    if (r->account == NULL)
      general = r;
    else if (account != NULL && strcmp(r->account, account) == 0)
      return r; /* the account's own rule goes first */
  }
  return general;
}

const mp_Dc *place_find_dc(const mp_Config *c, const char *name) {
  unsigned i;
  for (i = 0; c != NULL && i < c->data_centres_count; i++) {
    if (strcmp(c->data_centres[i].name, name) == 0)
      return &c->data_centres[i];
  }
  return NULL;
}

int place_may_run(const mp_Config *c, const mp_Rule *r, const char *dc) {
  unsigned i;
  if (r == NULL || place_find_dc(c, dc) == NULL)
    return 0;
  for (i = 0; i < r->run_in_count; i++) {
    if (strcmp(r->run_in[i], dc) == 0)
      return 1;
  }
  return 0;
}

int place_may_move_kv(const mp_Config *c, const mp_Rule *r, const char *from,
                      const char *to) {
  if (!place_may_run(c, r, from) || !place_may_run(c, r, to))
    return 0;
  if (strcmp(from, to) == 0)
    return 1;
  switch (r->kv_move) {
  case MP_KV_ANY:
    return 1;
  case MP_KV_REGION:
    return strcmp(place_find_dc(c, from)->region,
                  place_find_dc(c, to)->region) == 0;
  default:
    return 0;
  }
}

int place_is_drained(const mp_Config *c, const char *name) {
  unsigned i;
  for (i = 0; c != NULL && i < c->drained_count; i++) {
    if (strcmp(c->drained[i], name) == 0)
      return 1;
  }
  return 0;
}

const char *mp_explain(const mp_Config *c, const char *class_name,
                       const char *account, const char *dc) {
  const mp_Rule *r;
  if (c == NULL)
    return "no configuration is in force";
  r = place_find_rule(c, class_name, account);
  if (r == NULL)
    return "no rule names this class; without a rule nothing may run";
  if (place_find_dc(c, dc) == NULL)
    return "the data centre is not configured";
  if (!place_may_run(c, r, dc))
    return "the rule's run_in does not list this data centre";
  if (place_is_drained(c, dc))
    return "the data centre is drained";
  return NULL;
}
