/*
** suspicions.c
** Suspected ends of endpoints, which are not proved yet
*/

#include "router/suspicions.h"

/* Bytes that an endpoint sent before it ended arrive within this time, so an
** answer clears only suspicions of this age or older. */
#define IN_FLIGHT_TIME (100 * MP_MS)
/* mp_SuspectRow.age_ms of a suspicion that is disproved. It is beyond
** SUSPICION_LIFETIME, so a release that knows no such rows ignores them. */
#define DISPROVED_AGE G_MAXUINT32
/* At most this many suspicions are stored, which are the runs that broke off
** lately at all instances. Beyond that the first one that came is dropped. */
#define SUSPICIONS_MAX 4096

typedef struct Suspicion {
  guint64 content;
  guint32 life;    /* of the endpoint: Endpoint.hash */
  gboolean is_own; /* this instance saw the run break off */
  /* The life has answered since. Kept for the other instances, which are told
  ** so until the suspicion would have expired. */
  gboolean is_disproved;
  gint64 broken_at;
} Suspicion;

struct Suspicions {
  GArray *all; /* Suspicion, in the order they came */
  guint64 version;
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

static Suspicion *suspicion_at(const Suspicions *suspicions, guint i) {
  return &g_array_index(suspicions->all, Suspicion, i);
}

static gboolean is_expired(const Suspicion *suspicion, gint64 now) {
  return now - suspicion->broken_at >= SUSPICION_LIFETIME;
}

/* Returns TRUE if the suspicion stands: it is neither expired nor disproved.
 */
static gboolean is_standing(const Suspicion *suspicion, gint64 now) {
  return !suspicion->is_disproved && !is_expired(suspicion, now);
}

/* Returns the suspicion, standing or not; NULL if there is none. */
static Suspicion *find_suspicion(const Suspicions *suspicions, guint64 content,
                                 guint32 life) {
  guint i;
  for (i = 0; i < suspicions->all->len; i++) {
    Suspicion *suspicion = suspicion_at(suspicions, i);
    if (suspicion->content == content && suspicion->life == life)
      return suspicion;
  }
  return NULL;
}

static void append_suspicion(Suspicions *suspicions,
                             const Suspicion *suspicion) {
  if (suspicions->all->len >= SUSPICIONS_MAX)
    g_array_remove_index(suspicions->all, 0);
  g_array_append_val(suspicions->all, *suspicion);
}

gboolean suspicions_add(Suspicions *suspicions, guint64 content, guint32 life,
                        gint64 now) {
  Suspicion suspicion = {content, life, TRUE, FALSE, now};
  Suspicion *known;
  suspicions_expire(suspicions, now);
  known = find_suspicion(suspicions, content, life);
  if (known != NULL && known->is_own && !known->is_disproved)
    return FALSE;
  if (known != NULL)
    *known = suspicion;
  else
    append_suspicion(suspicions, &suspicion);
  suspicions->version++;
  return TRUE;
}

void suspicions_clear_incarnation(Suspicions *suspicions, guint32 life,
                                  gint64 now) {
  guint i;
  for (i = 0; i < suspicions->all->len; i++) {
    Suspicion *suspicion = suspicion_at(suspicions, i);
    if (suspicion->life == life &&
        now - suspicion->broken_at >= IN_FLIGHT_TIME)
      suspicion->is_disproved = TRUE;
  }
}

guint64 suspicions_version(const Suspicions *suspicions) {
  return suspicions->version;
}

guint suspicions_count(const Suspicions *suspicions, guint64 content,
                       gboolean (*is_proved)(void *data, guint64 content,
                                             guint32 life),
                       void *data, gint64 *until, gint64 now) {
  guint count = 0;
  guint i;
  *until = 0;
  for (i = 0; i < suspicions->all->len; i++) {
    const Suspicion *suspicion = suspicion_at(suspicions, i);
    if (suspicion->content != content || !is_standing(suspicion, now) ||
        is_proved(data, content, suspicion->life))
      continue;
    *until = MAX(*until, suspicion->broken_at + SUSPICION_LIFETIME);
    count++;
  }
  return count;
}

guint suspicions_list_lives(const Suspicions *suspicions, guint64 content,
                            guint32 *out, guint most, gint64 now) {
  guint count = 0;
  guint i;
  for (i = 0; i < suspicions->all->len && count < most; i++) {
    const Suspicion *suspicion = suspicion_at(suspicions, i);
    if (suspicion->content == content && is_standing(suspicion, now))
      out[count++] = suspicion->life;
  }
  return count;
}

/* Adds rows for the suspicions that are disproved or not, the newest first,
** as long as the message has room. */
static void write_rows(const Suspicions *suspicions, gboolean with_received,
                       gboolean disproved, mp_CrashUpdate *out, gint64 now) {
  guint i;
  for (i = suspicions->all->len; i > 0 && out->suspected_n < MP_SUSPECT_ROWS;
       i--) {
    const Suspicion *suspicion = suspicion_at(suspicions, i - 1);
    mp_SuspectRow *row = &out->suspected[out->suspected_n];
    if (is_expired(suspicion, now) || suspicion->is_disproved != disproved ||
        !(with_received || suspicion->is_own))
      continue;
    row->request = suspicion->content;
    row->endpoint = suspicion->life;
    row->age_ms = disproved ? DISPROVED_AGE
                            : (guint32)((now - suspicion->broken_at) / MP_MS);
    out->suspected_n++;
  }
}

void suspicions_write(const Suspicions *suspicions, gboolean with_received,
                      mp_CrashUpdate *out, gint64 now) {
  out->suspected_n = 0;
  write_rows(suspicions, with_received, FALSE, out, now);
  write_rows(suspicions, with_received, TRUE, out, now);
}

/* Another instance has disproved what it had reported. What this instance saw
** itself stands: that was another run. Returns TRUE if it was not known. */
static gboolean receive_disproof(Suspicions *suspicions,
                                 const mp_SuspectRow *row) {
  Suspicion *known = find_suspicion(suspicions, row->request, row->endpoint);
  if (known == NULL || known->is_own || known->is_disproved)
    return FALSE;
  known->is_disproved = TRUE;
  return TRUE;
}

/* Returns TRUE if the suspicion was not known. One that is disproved stays so:
** the report may be older than the disproof. */
static gboolean receive_suspicion(Suspicions *suspicions,
                                  const mp_SuspectRow *row, gint64 now) {
  Suspicion suspicion = {row->request, row->endpoint, FALSE, FALSE,
                         now - (gint64)row->age_ms * MP_MS};
  if (is_expired(&suspicion, now) ||
      find_suspicion(suspicions, row->request, row->endpoint) != NULL)
    return FALSE;
  append_suspicion(suspicions, &suspicion);
  return TRUE;
}

gboolean suspicions_receive(Suspicions *suspicions, const mp_CrashUpdate *news,
                            gint64 now) {
  gboolean is_new = FALSE;
  unsigned i;
  for (i = 0; i < news->suspected_n; i++) {
    const mp_SuspectRow *row = &news->suspected[i];
    is_new |= row->age_ms == DISPROVED_AGE
                  ? receive_disproof(suspicions, row)
                  : receive_suspicion(suspicions, row, now);
  }
  return is_new;
}

void suspicions_expire(Suspicions *suspicions, gint64 now) {
  guint i = 0;
  while (i < suspicions->all->len) {
    if (is_expired(suspicion_at(suspicions, i), now))
      g_array_remove_index(suspicions->all, i);
    else
      i++;
  }
}
