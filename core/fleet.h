/*
** fleet.h
** The table of endpoints, built from the instance list and configuration
**
** Reads: list, config. Writes: endpoints (their rows, leaving, drained, and
** ejection after failures).
*/

#ifndef FLEET_H
#define FLEET_H

#include "state.h"

/* bring the rows up to date with a new list or configuration */
void fleet_refresh(mp_State *state);

/* the row of an address, or NULL */
Endpoint *fleet_get(const mp_State *state, mp_Addr a);

/* may new work go there? Not when leaving, drained, down or ejected, as far
** as this instance knows */
int fleet_is_open(const mp_State *state, const Endpoint *e);

/* report that a call to the endpoint succeeded or failed; failures in a row
** eject it (fleet.c). An unknown address is ignored */
void fleet_call_succeeded(mp_State *state, mp_Addr a);
void fleet_call_failed(mp_State *state, mp_Addr a);

#endif
