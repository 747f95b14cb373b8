/*
** silent_run.c
** Decides whether a silent run, which may be replaced, is waited for
*/

#include "router/silent_run.h"
#include "router/silence.h"

/* A sound endpoint may be silent for 1.5 s; 100 ms are for what follows. */
#define SOUND_SILENCE_MAX (1600 * MP_MS)
/* The path counts as sound for this long after a connection was made on it;
** then it is checked again. */
#define PATH_SOUND_TIME (500 * MP_MS)
/* A check without a result by then has failed: it takes 250 ms at most
** (reach.c), and an event loop may be late. */
#define CHECK_TIME_MAX (300 * MP_MS)
/* How often an open check is looked at. */
#define CHECK_POLL_INTERVAL (50 * MP_MS)

gboolean silent_run_is_new(const Request *request) {
  return request->open.patience_until == 0;
}

void silent_run_note_heard(Request *request) {
  request->open.patience_until = 0;
}

/* Returns until when the run is waited for if its path stays sound: another
** run gets as long as a silent one of the same kind does. */
static gint64 patience_end(const Request *request) {
  gint64 silent_since = request->stall_at - silence_timeout(request);
  return MIN(silent_since + SOUND_SILENCE_MAX,
             request->expires - silence_head_timeout(request));
}

/* Has the path been found lost? A search for a carrier says so too. */
static gboolean is_path_lost(const Request *request,
                             const Endpoint *endpoint) {
  return request->open.via == 0 && endpoint->path.state != PATH_DIRECT;
}

gboolean silent_run_is_awaited(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  const Reach *reach = router->reach;
  OpenDispatch *open = &request->open;
  gboolean is_new = silent_run_is_new(request);
  gint64 wait = CHECK_POLL_INTERVAL;
  if (is_new)
    open->patience_until = MAX(patience_end(request), 1);
  if (endpoint == NULL || now >= open->patience_until ||
      is_path_lost(request, endpoint))
    return FALSE;
  if (reach_has_connected(reach, endpoint, open->via, now - PATH_SOUND_TIME))
    wait = PATH_SOUND_TIME / 2;
  else if (is_new ||
           reach_has_connected(reach, endpoint, open->via,
                               now - PATH_SOUND_TIME - CHECK_TIME_MAX))
    reach_check_path(router->reach, endpoint, open->via, now);
  else if (!reach_is_checking(reach, endpoint, open->via,
                              now - CHECK_TIME_MAX))
    return FALSE;
  request->stall_at = MIN(now + wait, open->patience_until);
  return TRUE;
}
