/*
** silent_run.h
** Decides whether a silent run, which may be replaced, is waited for
**
** A sound endpoint may fall silent for 1.5 s and go on. A run there is given
** up only where its path is lost, where the silence has lasted longer, or
** where the caller's time would not do for another run. The path is checked by
** a new connection; runs at one endpoint share the checks.
*/

#ifndef ROUTER_SILENT_RUN_H
#define ROUTER_SILENT_RUN_H

#include "router/state.h"

/*
** The open run has been silent until Request.stall_at. Returns TRUE if it is
** waited for, and sets stall_at to the next time at which this is to be asked.
*/
gboolean silent_run_is_awaited(Router *router, Request *request, gint64 now);
/* Is this the first time that is asked in this silence? */
gboolean silent_run_is_new(const Request *request);
/* The open run has sent something, or could not be heard: another silence
** begins. */
void silent_run_note_heard(Request *request);

#endif
