/*
** fleet.h
** The table of endpoints, made from the instance list and configuration
** Reads: list, config. Writes: endpoints (rows, drained, leaving).
*/

#ifndef FLEET_H
#define FLEET_H

#include "state.h"

/* the list or the configuration is new: bring the rows up to date */
void fleet_refresh(mp_State *state);

Endpoint *fleet_get(const mp_State *state, mp_Addr a);

/* may new work go there, as far as this instance knows? */
int fleet_is_open(const mp_State *state, const Endpoint *e);

/* report how a call to the endpoint went; decides about ejection */
void fleet_call_succeeded(mp_State *state, mp_Addr a);
void fleet_call_failed(mp_State *state, mp_Addr a);

#endif
