/*
** silence.c
** Timeouts for an endpoint that sends nothing for a dispatch
*/

#include "router/silence.h"

/*
** Repeatable streams are resumed after a silence of this many objectives
** before the first piece, or this many of the longest pauses between pieces;
** at least SILENCE_MIN.
*/
#define HEAD_SILENCE_OBJECTIVES 1.7
#define PIECE_SILENCE_GAPS 3
#define SILENCE_MIN (500 * MP_MS)
/*
** An engine that sends nothing for a run for this long is suspected: once the
** prompt is processed, a head comes within some ten milliseconds.
*/
#define SUSPECT_SILENCE (400 * MP_MS)
/*
** A plain endpoint is suspected after this many objectives. Without that, one
** that hangs keeps its share of the requests that must not be repeated.
*/
#define PLAIN_SUSPECT_OBJECTIVES 2
/*
** Repeatable requests of other routes than streams fail after a silence of
** this many objectives, but of 100 ms at least.
*/
#define SAFE_SILENCE_OBJECTIVES 2.5
/*
** The path to the endpoint of a stream is checked after a silence of this many
** of the longest pauses between pieces, but of CHECK_SILENCE_MIN at least.
*/
#define CHECK_SILENCE_GAPS 1.5
#define CHECK_SILENCE_MIN (400 * MP_MS)
/* No plain endpoint is suspected earlier than this. */
#define PLAIN_SUSPECT_MIN (100 * MP_MS)

gint64 silence_head_timeout(const Request *request) {
  double wait = HEAD_SILENCE_OBJECTIVES * (double)request->route->objective;
  return MAX((gint64)wait, SILENCE_MIN);
}

gint64 silence_piece_timeout(const Request *request) {
  return MAX(PIECE_SILENCE_GAPS * request->route->gap, SILENCE_MIN);
}

gint64 silence_timeout(const Request *request) {
  double wait = SAFE_SILENCE_OBJECTIVES * (double)request->route->objective;
  if (request->run_piece_at != 0)
    return silence_piece_timeout(request);
  if (request->route->kind == ROUTE_STREAM)
    return silence_head_timeout(request);
  return MAX((gint64)wait, 100 * MP_MS);
}

gint64 silence_deadline(const Request *request, gint64 now) {
  if (!request->repeatable || request->runs + 1 >= request->route->attempts)
    return 0;
  return now + silence_timeout(request);
}

gint64 silence_suspect_after(const Request *request) {
  gint64 objectives = PLAIN_SUSPECT_OBJECTIVES * request->route->objective;
  return request->service->is_engine ? SUSPECT_SILENCE
                                     : MAX(objectives, PLAIN_SUSPECT_MIN);
}

gint64 silence_check_after(const Request *request) {
  return MAX((gint64)(CHECK_SILENCE_GAPS * (double)request->route->gap),
             CHECK_SILENCE_MIN);
}
