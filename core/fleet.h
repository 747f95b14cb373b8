/*
** fleet.h
** The table of endpoints, built from the instance list and configuration
**
** An endpoint is a server that does the work: an engine, or a server of a
** plain service. The platform's instance list (mp_InstanceList) names the
** endpoints
** and also the instances of this router; only the endpoints have rows here.
** "This instance" is the router process that runs this core.
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

/* may new work go there? Not when it is leaving, drained, down or ejected, as
** far as this instance knows */
int fleet_is_available(const mp_State *state, const Endpoint *e);

/* report that a call to the endpoint succeeded or failed; failures in a row
** eject it (fleet.c). An unknown address is ignored */
void fleet_call_succeeded(mp_State *state, mp_Addr a);
void fleet_call_failed(mp_State *state, mp_Addr a);

#endif
