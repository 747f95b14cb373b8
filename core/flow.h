/*
** flow.h
** The path of one request: claim, reserve, prefill, transfer, decode
** Reads: config, endpoints. Writes: requests.
*/

#ifndef FLOW_H
#define FLOW_H

#include "state.h"

/* an admitted request begins its path */
void flow_begin(mp_State *state, Request *r);

/* a keeper's word about an attempt; from holder.c */
void flow_on_reservation(mp_State *state, Request *r, Attempt *a, mp_Verdict v,
                         uint32_t wait_ms);

/* the caller is gone */
void flow_hangup(mp_State *state, Request *r);

/* end the request with an error, at once */
void flow_refuse(mp_State *state, Request *r, mp_Error e, int retry_s);

#endif
