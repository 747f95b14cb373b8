/*
** route.h
** Chooses the endpoint that takes a piece of work
**
** Reads the configuration and the tables of endpoints and members; writes
** none of them. A choice advances only the random generator and the
** round-robin counter. Every endpoint that is returned is open for new work
** as far as this instance knows, is not one that the request avoids, lies
** in a data centre in reach, and has passed the placement rules (place.h)
** for the request. The endpoint table owns the rows returned. The files of
** the request path (flow.h) call these functions.
*/

#ifndef ROUTE_H
#define ROUTE_H

#include "state.h"

/*
** Returns a decode endpoint, or NULL when none fits. The rules let KV move
** to its data centre from the endpoint that holds the request's KV result
** or, while there is none, from some data centre with a prefill endpoint
** that fits.
*/
Endpoint *choice_decode_endpoint(mp_State *state, const Request *r);

/*
** Returns a prefill endpoint, or NULL when none fits. The rules let KV move
** from its data centre to 'dc' or, with 'dc' NULL, to some data centre with
** a decode endpoint that fits.
*/
Endpoint *choice_prefill_endpoint(mp_State *state, const Request *r,
                                  const char *dc);

/* Returns an endpoint of the request's plain service, or NULL. */
Endpoint *choice_plain_endpoint(mp_State *state, const Request *r);

/*
** Returns whether the configuration in force lets this request run at 'e':
** the service matches, the rules permit the data centre, and the pool has
** the model. Whether 'e' is open or in reach is not checked. Asked again
** right before work is dispatched, since the configuration may have changed
** after the choice.
*/
int choice_is_allowed(const mp_State *state, const Request *r,
                      const Endpoint *e);

/* Returns the size in bytes of the KV that the request's prefill makes. */
uint64_t choice_kv_bytes(const mp_State *state, const Request *r);

/*
** Returns the estimated time in milliseconds until 'e' has done a new
** prefill of 'tokens' prompt tokens, with the work queued before it.
*/
uint32_t choice_prefill_ms(const Endpoint *e, uint32_t tokens);

#endif
