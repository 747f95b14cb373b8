/*
** route.h
** Which endpoint takes a piece of work
** Reads: endpoints, members, config. Writes nothing. Every endpoint that
** comes out has passed the place gate for the request.
*/

#ifndef ROUTE_H
#define ROUTE_H

#include "state.h"

/* a decode engine from which, and to which, the rules let KV come */
Endpoint *choice_decode_endpoint(mp_State *state, const Request *r);

/* a prefill engine whose KV may move to 'dc'; NULL: to some decode engine */
Endpoint *choice_prefill_endpoint(mp_State *state, const Request *r,
                                  const char *dc);

/* an endpoint of the request's plain service */
Endpoint *choice_plain_endpoint(mp_State *state, const Request *r);

/* may this request run at this endpoint, now? The gate at dispatch */
int choice_is_allowed(const mp_State *state, const Request *r,
                      const Endpoint *e);

/* bytes of KV that the request's prefill makes */
uint64_t choice_kv_bytes(const mp_State *state, const Request *r);

/* milliseconds until a prefill of this prompt would be done there */
uint32_t choice_prefill_ms(const Endpoint *e, uint32_t tokens);

#endif
