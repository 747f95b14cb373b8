/*
** place.h
** Where a request may run, and where its KV may go
** Reads: the configuration. Writes nothing. These are the only functions
** that decide about place; they are asked at admission, at every choice,
** and again at the instant of dispatch or transfer.
*/

#ifndef PLACE_H
#define PLACE_H

#include "madderpier.h"

/* the rule for a class and account, or NULL: then nothing is allowed */
const mp_Rule *place_find_rule(const mp_Config *c, const char *class_name,
                               const char *account);

/* may work under this rule run in data centre 'dc'? */
int place_may_run(const mp_Config *c, const mp_Rule *r, const char *dc);

/* may KV made under this rule move between these data centres? */
int place_may_move_kv(const mp_Config *c, const mp_Rule *r, const char *from,
                      const char *to);

/* is the data centre or endpoint named as drained? */
int place_is_drained(const mp_Config *c, const char *name);

const mp_Dc *place_find_dc(const mp_Config *c, const char *name);

#endif
