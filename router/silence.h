/*
** silence.h
** How long an endpoint may say nothing of a dispatch, in microseconds
*/

#ifndef ROUTER_SILENCE_H
#define ROUTER_SILENCE_H

#include "router/state.h"

/* before the head of a stream, and between two of its pieces: then it is
** resumed elsewhere, if that may be */
gint64 silence_head_timeout(const Request *request);
gint64 silence_piece_timeout(const Request *request);
/* when silence of the endpoint is taken for a failure; 0: never */
gint64 silence_deadline(const Request *request, gint64 now);
/* silence after which the endpoint is in doubt, for the next choices alone */
gint64 silence_suspect_after(const Request *request);

#endif
