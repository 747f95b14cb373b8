/*
** store_view.h
** Views of the store: ports at which it names other addresses of the workers
**
** An instance that uses such a port reaches the workers by ways of its own, so
** that it can be cut off from them alone.
*/

#ifndef STANDIN_STORE_VIEW_H
#define STANDIN_STORE_VIEW_H

#include "standin/serve.h"

/* Adds the view of the port at 'at'. Takes over 'addresses', an object that
** gives for an address the one that stands in its place. */
void store_view_add(mp_Addr at, json_t *addresses);
/* Returns a reply's body as the view has it through which the request came;
** takes over 'body', and returns it if there is no such view. */
json_t *store_view_apply(struct evhttp_request *request, json_t *body);

#endif
