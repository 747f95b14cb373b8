/*
** silence.c
** How long an endpoint may say nothing of a dispatch
*/

#include "router/silence.h"

/* repeatable streams are resumed after this silence: so many objectives
** before the first piece, so many of the longest pauses between pieces */
#define HEAD_SILENCE_OBJECTIVES 1.7
#define PIECE_SILENCE_GAPS 3
#define SILENCE_LEAST (500 * MP_MS)
/* an engine that says nothing of a run for so long is in doubt: with the
** prompt read, a head comes within some ten milliseconds */
#define SUSPECT_SILENCE (400 * MP_MS)
/* so is a plain endpoint after so many objectives; without it one that hangs
** kept its share of the requests that must not be repeated */
#define PLAIN_SUSPECT_OBJECTIVES 2
/* plain repeatable requests: silence of so many objectives */
#define SAFE_SILENCE_OBJECTIVES 2.5
/* no plain endpoint is in doubt before this */
#define PLAIN_SUSPECT_LEAST (100 * MP_MS)

gint64 silence_head_timeout(const Request *request) {
  double wait = HEAD_SILENCE_OBJECTIVES * (double)request->route->objective;
  return MAX((gint64)wait, SILENCE_LEAST);
}

gint64 silence_piece_timeout(const Request *request) {
  return MAX(PIECE_SILENCE_GAPS * request->route->gap, SILENCE_LEAST);
}

gint64 silence_deadline(const Request *request, gint64 now) {
  gint64 wait;
  if (!request->repeatable || request->runs + 1 >= request->route->attempts)
    return 0;
  if (request->route->kind == ROUTE_STREAM)
    return now + silence_head_timeout(request);
  wait = (gint64)(SAFE_SILENCE_OBJECTIVES * (double)request->route->objective);
  return now + MAX(wait, 100 * MP_MS);
}

gint64 silence_suspect_after(const Request *request) {
  gint64 objectives = PLAIN_SUSPECT_OBJECTIVES * request->route->objective;
  return request->service->is_engine ? SUSPECT_SILENCE
                                     : MAX(objectives, PLAIN_SUSPECT_LEAST);
}
