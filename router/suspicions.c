/*
** suspicions.c
** Ends of endpoints that are suspected, and not proved yet
*/

#include "router/suspicions.h"

/* bytes that an endpoint sent before it ended arrive within this */
#define ON_ITS_WAY (100 * MP_MS)
/* others are told after this: mostly the endpoint has answered by then */
#define TOLD_AFTER (200 * MP_MS)
/* suspicions remembered: runs that broke off lately, at all instances */
#define SUSPICIONS_MOST 4096

typedef struct Suspicion {
  guint64 content;
  guint32 life; /* of the endpoint: Endpoint.hash */
  gboolean own; /* this instance saw the run break off */
  gint64 at;
} Suspicion;

struct Suspicions {
  GArray *all; /* Suspicion, in the order they came */
};

Suspicions *suspicions_new(void) {
  Suspicions *suspicions = g_new0(Suspicions, 1);
  suspicions->all = g_array_new(FALSE, FALSE, sizeof(Suspicion));
  return suspicions;
}

void suspicions_free(Suspicions *suspicions) {
  g_array_free(suspicions->all, TRUE);
  g_free(suspicions);
}

static Suspicion *at(const Suspicions *suspicions, guint i) {
  return &g_array_index(suspicions->all, Suspicion, i);
}

static gboolean is_over(const Suspicion *one, gint64 now) {
  return now - one->at >= SUSPICION_LIFETIME;
}

static gboolean is_noted(const Suspicions *suspicions, guint64 content,
                         guint32 life) {
  guint i;
  for (i = 0; i < suspicions->all->len; i++) {
    const Suspicion *one = at(suspicions, i);
    if (one->content == content && one->life == life)
      return TRUE;
  }
  return FALSE;
}

static gboolean add(Suspicions *suspicions, guint64 content, guint32 life,
                    gboolean own, gint64 when) {
  Suspicion one = {content, life, own, when};
  if (is_noted(suspicions, content, life))
    return FALSE;
  if (suspicions->all->len >= SUSPICIONS_MOST)
    g_array_remove_index(suspicions->all, 0);
  g_array_append_val(suspicions->all, one);
  return TRUE;
}

gboolean suspicions_add(Suspicions *suspicions, guint64 content, guint32 life,
                        gint64 now) {
  suspicions_expire(suspicions, now);
  return add(suspicions, content, life, TRUE, now);
}

void suspicions_clear_life(Suspicions *suspicions, guint32 life, gint64 now) {
  guint i = 0;
  while (i < suspicions->all->len) {
    const Suspicion *one = at(suspicions, i);
    if (one->life == life && now - one->at >= ON_ITS_WAY)
      g_array_remove_index(suspicions->all, i);
    else
      i++;
  }
}

guint suspicions_count(const Suspicions *suspicions, guint64 content,
                       gboolean (*is_known)(void *data, guint64 content,
                                            guint32 life),
                       void *data, gint64 *until, gint64 now) {
  guint count = 0;
  guint i;
  *until = 0;
  for (i = 0; i < suspicions->all->len; i++) {
    const Suspicion *one = at(suspicions, i);
    if (one->content != content || is_over(one, now) ||
        is_known(data, content, one->life))
      continue;
    *until = MAX(*until, one->at + SUSPICION_LIFETIME);
    count++;
  }
  return count;
}

void suspicions_write(const Suspicions *suspicions, gboolean all,
                      mp_CrashUpdate *out, gint64 now) {
  guint i;
  out->suspected_n = 0;
  for (i = suspicions->all->len; i > 0 && out->suspected_n < MP_SUSPECT_ROWS;
       i--) {
    const Suspicion *one = at(suspicions, i - 1);
    mp_SuspectRow *row = &out->suspected[out->suspected_n];
    gint64 age = now - one->at;
    if (is_over(one, now) || age < TOLD_AFTER || !(all || one->own))
      continue;
    row->request = one->content;
    row->endpoint = one->life;
    row->age_ms = (guint32)(age / MP_MS);
    out->suspected_n++;
  }
}

gboolean suspicions_receive(Suspicions *suspicions, const mp_CrashUpdate *news,
                            gint64 now) {
  gboolean is_news = FALSE;
  unsigned i;
  for (i = 0; i < news->suspected_n; i++) {
    const mp_SuspectRow *row = &news->suspected[i];
    gint64 when = now - (gint64)row->age_ms * MP_MS;
    if (now - when < SUSPICION_LIFETIME)
      is_news |= add(suspicions, row->request, row->endpoint, FALSE, when);
  }
  return is_news;
}

void suspicions_expire(Suspicions *suspicions, gint64 now) {
  guint i = 0;
  while (i < suspicions->all->len) {
    if (is_over(at(suspicions, i), now))
      g_array_remove_index(suspicions->all, i);
    else
      i++;
  }
}
