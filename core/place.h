/*
** place.h
** Placement rules: where a request may run, and where its KV may go
**
** KV is the attention keys and values of a request's prompt, which its prefill
** makes.
**
** Pure functions over a configuration. No other function decides about
** place; these are called at admission, at every choice of an endpoint, and
** again at the instant of dispatch or transfer. What is unknown is
** forbidden. 'c' may be NULL: no configuration is in force.
*/

#ifndef PLACE_H
#define PLACE_H

#include "madderpier.h"

/*
** The rule for a class and account, or NULL: then nothing is allowed. With
** 'account' NULL only the general rules count.
*/
const mp_Rule *place_find_rule(const mp_Config *c, const char *class_name,
                               const char *account);

/* may work under rule 'r' run in data centre 'dc'? */
int place_may_run(const mp_Config *c, const mp_Rule *r, const char *dc);

/* may KV made under rule 'r' move from one of these data centres to the
** other? Both must be ones where the work may run */
int place_may_move_kv(const mp_Config *c, const mp_Rule *r, const char *from,
                      const char *to);

/* does the configuration name this data centre or endpoint as drained? */
int place_is_drained(const mp_Config *c, const char *name);

/* the configured data centre of this name, or NULL */
const mp_Dc *place_find_dc(const mp_Config *c, const char *name);

#endif
