/*
** store_raw.h
** Objects of the stand-in store whose JSON text is given as it is
**
** So an object may have numbers that JSON libraries refuse, or no end.
*/

#ifndef STANDIN_STORE_RAW_H
#define STANDIN_STORE_RAW_H

#include "standin/serve.h"

/* Returns what stands for an object of this text in a reply's body; "@REV@" in
** the text becomes the revision. The caller frees it. */
json_t *store_raw_object(const char *text, int64_t revision);
/* Answers the request with 'body', which it takes over, and has the texts of
** store_raw_object in their places. */
void store_raw_reply(struct evhttp_request *request, int status, json_t *body);

#endif
