/*
** silence.h
** Timeouts for an endpoint that sends nothing for a dispatch, in microseconds
*/

#ifndef ROUTER_SILENCE_H
#define ROUTER_SILENCE_H

#include "router/state.h"

/*
** Timeout before the head of a stream, and between two of its pieces. A stream
** is then resumed on another endpoint, if that is allowed and the run is not
** waited for (silent_run.h).
*/
gint64 silence_head_timeout(const Request *request);
gint64 silence_piece_timeout(const Request *request);
/* Returns how long the open run may have been silent at Request.stall_at, when
** silent_run.h first asks whether it is replaced. */
gint64 silence_timeout(const Request *request);
/*
** Returns the time at which the endpoint's silence counts as a failure, for a
** dispatch that begins at 'now'; 0: never.
*/
gint64 silence_deadline(const Request *request, gint64 now);
/*
** Returns the silence after which the endpoint is suspected, which only
** affects the next choices of an endpoint.
*/
gint64 silence_suspect_after(const Request *request);

/* Returns after how long a silence of a stream that has begun the path to its
** endpoint is checked, us. */
gint64 silence_check_after(const Request *request);

#endif
