/*
** path_delay.c
** How much longer than usual packets take between this instance and endpoints
*/

#include "io/path_delay.h"

/* Fewer connects than this may all have met slow endpoints. */
#define SAMPLES_MIN 3
/* Calls for which a judgement holds without further connects. */
#define HELD_CALLS 5
/* What is usual follows longer connects by this share with each call. */
#define USUAL_GAIN 0.002

void path_delay_add(PathDelay *delay, gint64 took) {
  delay->least = delay->samples == 0 ? took : MIN(delay->least, took);
  delay->samples++;
}

static void learn_usual(PathDelay *delay, gint64 least) {
  if (delay->usual == 0 || least < delay->usual)
    delay->usual = least;
  else
    delay->usual += (gint64)(USUAL_GAIN * (double)(least - delay->usual));
}

gint64 path_delay_take(PathDelay *delay) {
  gint64 least = MAX(delay->least, 1);
  if (delay->samples < SAMPLES_MIN)
    return delay->age++ < HELD_CALLS ? delay->last : 0;
  learn_usual(delay, least);
  delay->samples = 0;
  delay->age = 0;
  delay->last = least - delay->usual;
  return delay->last;
}
