/*
** quarantine.c
** Requests that end the endpoints that run them
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/quarantine.h"

/* the first hold: long against the minutes in which callers repeat a request,
** short against the day in which operators would notice one blamed wrongly */
#define HOLD_FIRST (3600 * MP_SEC)
/* each further strike makes the next hold so many times as long */
#define HOLD_GROWTH 4
/* strikes below a hold are remembered for so long */
#define SUSPECT_LIFE (3600 * MP_SEC)
/* what was lifted is remembered for so long: instances tell a strike for
** NEWS_REPEAT_TIME after they learned it */
#define LIFTED_LIFE (60 * MP_SEC)
/* news of strikes are repeated for so long: a datagram that is lost, or a data
** centre cut off for some seconds, is made good */
#define NEWS_REPEAT_TIME (10 * MP_SEC)
/* a strike alone is not written to the store: a dozen requests get one
** whenever an endpoint ends, and nearly all of them never another */
#define STORED_STRIKES_MIN 2
/* after a write that failed */
#define SAVE_RETRY (300 * MP_MS)
/* what is over leaves the store within this: the first instance removes it,
** and the others hear of that before their own turn */
#define REMOVE_SPREAD (60 * MP_SEC)
/* between two looks for what is over */
#define EXPIRE_PAUSE (1 * MP_SEC)
/* strikes remembered against one request, those taken off included */
#define STRIKES_KEPT (2 * QUARANTINE_STRIKES_MAX)
/* requests remembered: 100 bytes each, and a dozen for each endpoint's end.
** Beyond, those with the fewest strikes are forgotten first */
#define ROWS_MOST 4096

typedef struct Strike {
  guint32 crash;
  gboolean off;   /* taken off: does not count */
  gboolean own;   /* this instance saw it */
  gboolean saved; /* the store has it */
} Strike;

typedef struct Row {
  guint64 content;
  guint count; /* of 'strikes' */
  Strike strikes[STRIKES_KEPT];
  gint64 last;            /* the newest strike */
  gint64 learned;         /* when this instance heard of the newest one */
  StorePosition position; /* of the object in the store; none is known */
  gint64 retry_at;        /* not written to the store before then */
  gboolean over;          /* to be removed from the store, then forgotten */
  char *request, *route, *account;
} Row;

struct Quarantine {
  GHashTable *rows; /* content -> Row */
  gint64 unix_offset;
  guint64 seed;
  guint64 version;
  gboolean may_need_save; /* else no row does: asked with every event */
  gint64 expire_at;       /* rows are looked through again then */
};

void quarantine_record_clear(QuarantineRecord *record) {
  g_free(record->request);
  g_free(record->route);
  g_free(record->account);
  memset(record, 0, sizeof *record);
}

static void row_free(gpointer p) {
  Row *row = p;
  g_free(row->request);
  g_free(row->route);
  g_free(row->account);
  g_free(row);
}

Quarantine *quarantine_new(gint64 unix_offset, guint64 seed) {
  Quarantine *quarantine = g_new0(Quarantine, 1);
  quarantine->rows =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, row_free);
  quarantine->unix_offset = unix_offset;
  quarantine->seed = seed;
  return quarantine;
}

void quarantine_free(Quarantine *quarantine) {
  g_hash_table_destroy(quarantine->rows);
  g_free(quarantine);
}

static Row *find(const Quarantine *quarantine, guint64 content) {
  return g_hash_table_lookup(quarantine->rows, &content);
}

static guint count_of(const Row *row) {
  guint count = 0;
  guint i;
  for (i = 0; i < row->count; i++)
    count += !row->strikes[i].off;
  return count;
}

/* the row that is missed least */
static Row *least_row(const Quarantine *quarantine) {
  GHashTableIter iterator;
  gpointer value;
  Row *least = NULL;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Row *row = value;
    if (least == NULL || count_of(row) < count_of(least) ||
        (count_of(row) == count_of(least) && row->last < least->last))
      least = row;
  }
  return least;
}

static Row *need(Quarantine *quarantine, guint64 content) {
  Row *row = find(quarantine, content);
  if (row != NULL)
    return row;
  if (g_hash_table_size(quarantine->rows) >= ROWS_MOST)
    g_hash_table_remove(quarantine->rows, &least_row(quarantine)->content);
  row = g_new0(Row, 1);
  row->content = content;
  g_hash_table_insert(quarantine->rows, &row->content, row);
  return row;
}

static Strike *find_strike(Row *row, guint32 crash) {
  guint i;
  for (i = 0; i < row->count; i++) {
    if (row->strikes[i].crash == crash)
      return &row->strikes[i];
  }
  return NULL;
}

/* room for one more strike: the oldest that is off makes it */
static gboolean make_room(Row *row) {
  guint i;
  if (row->count < STRIKES_KEPT)
    return TRUE;
  for (i = 0; i < row->count; i++) {
    if (!row->strikes[i].off)
      continue;
    memmove(&row->strikes[i], &row->strikes[i + 1],
            (row->count - i - 1) * sizeof *row->strikes);
    row->count--;
    return TRUE;
  }
  return FALSE;
}

/* NULL: it is known, or there are as many as can matter */
static Strike *add_strike(Quarantine *quarantine, Row *row, guint32 crash,
                          gint64 at, gint64 now) {
  Strike *strike;
  if (find_strike(row, crash) != NULL || !make_room(row))
    return NULL;
  strike = &row->strikes[row->count++];
  memset(strike, 0, sizeof *strike);
  strike->crash = crash;
  /* 'at' may lie before the machine's start, and be negative */
  row->last = row->count == 1 ? at : MAX(row->last, at);
  row->learned = now;
  row->over = FALSE;
  quarantine->version++;
  quarantine->may_need_save = TRUE;
  return strike;
}

static void set_text(char **to, const char *from) {
  if (from == NULL)
    return;
  g_free(*to);
  *to = g_strdup(from);
}

gboolean quarantine_add_strike(Quarantine *quarantine,
                               const QuarantineSuspect *suspect, guint32 crash,
                               gint64 now) {
  Row *row = need(quarantine, suspect->content);
  Strike *strike = add_strike(quarantine, row, crash, now, now);
  if (strike == NULL)
    return FALSE;
  strike->own = TRUE;
  set_text(&row->request, suspect->request);
  set_text(&row->route, suspect->route);
  set_text(&row->account, suspect->account);
  return TRUE;
}

/* a time of day that lies ahead is that of a clock that went wrong */
static gint64 steady(const Quarantine *quarantine, gint64 unix_ms,
                     gint64 now) {
  return unix_ms > 0 ? MIN(unix_ms * MP_MS - quarantine->unix_offset, now)
                     : now;
}

gboolean quarantine_merge(Quarantine *quarantine,
                          const QuarantineRecord *record, gint64 now) {
  gint64 at = steady(quarantine, record->last_unix_ms, now);
  gboolean is_news = FALSE;
  Row *row;
  guint i;
  if (record->count == 0)
    return FALSE;
  row = need(quarantine, record->content);
  for (i = 0; i < record->count; i++)
    is_news |=
        add_strike(quarantine, row, record->crashes[i], at, now) != NULL;
  return is_news;
}

void quarantine_run_succeeded(Quarantine *quarantine, guint64 content) {
  Row *row = find(quarantine, content);
  guint i;
  if (row == NULL || count_of(row) >= QUARANTINE_HOLD_STRIKES)
    return;
  for (i = 0; i < row->count && row->strikes[i].off; i++) {
  }
  if (i < row->count)
    row->strikes[i].off = TRUE;
  if (count_of(row) == 0)
    row->over = TRUE;
  quarantine->may_need_save = TRUE;
}

void quarantine_lift(Quarantine *quarantine, guint64 content, gint64 now) {
  Row *row = find(quarantine, content);
  guint i;
  if (row == NULL)
    return;
  for (i = 0; i < row->count; i++)
    row->strikes[i].off = TRUE;
  row->position = store_position_none();
  row->learned = now;
  row->over = TRUE;
}

guint quarantine_strike_count(const Quarantine *quarantine, guint64 content) {
  const Row *row = find(quarantine, content);
  return row != NULL ? count_of(row) : 0;
}

gboolean quarantine_has_strike(const Quarantine *quarantine, guint64 content,
                               guint32 crash) {
  Row *row = find(quarantine, content);
  return row != NULL && find_strike(row, crash) != NULL;
}

static gint64 hold_length(guint strikes) {
  gint64 length = HOLD_FIRST;
  guint i;
  if (strikes >= QUARANTINE_STRIKES_MAX)
    return G_MAXINT64;
  for (i = QUARANTINE_HOLD_STRIKES; i < strikes; i++)
    length *= HOLD_GROWTH;
  return length;
}

static gint64 held_until(const Row *row) {
  guint strikes = count_of(row);
  gint64 length;
  if (strikes < QUARANTINE_HOLD_STRIKES)
    return 0;
  length = hold_length(strikes);
  return length == G_MAXINT64 ? length : row->last + length;
}

gint64 quarantine_held_until(const Quarantine *quarantine, guint64 content,
                             gint64 now) {
  const Row *row = find(quarantine, content);
  gint64 until = row != NULL ? held_until(row) : 0;
  return until > now ? until : 0;
}

void quarantine_count(const Quarantine *quarantine, gint64 now,
                      guint *suspects, guint *held) {
  GHashTableIter iterator;
  gpointer value;
  *suspects = 0;
  *held = 0;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    *suspects += count_of(value) > 0;
    *held += held_until(value) > now;
  }
}

guint64 quarantine_version(const Quarantine *quarantine) {
  return quarantine->version;
}

/*
** {==================================================================
** News for other instances
** ===================================================================
*/

static gboolean has_own_strike(const Row *row) {
  guint i;
  for (i = 0; i < row->count; i++) {
    if (row->strikes[i].own && !row->strikes[i].off)
      return TRUE;
  }
  return FALSE;
}

static void write_row(const Row *row, mp_CrashRow *out) {
  guint i;
  out->request = row->content;
  out->n = 0;
  for (i = 0; i < row->count && out->n < MP_CRASHES_PER_ROW; i++) {
    if (!row->strikes[i].off)
      out->crash[out->n++] = row->strikes[i].crash;
  }
}

/* in the place of one with fewer strikes, where there is no room */
static void put_row(mp_CrashUpdate *out, const mp_CrashRow *row) {
  unsigned least = 0;
  unsigned i;
  if (out->n < MP_CRASH_ROWS) {
    out->row[out->n++] = *row;
    return;
  }
  for (i = 1; i < out->n; i++) {
    if (out->row[i].n < out->row[least].n)
      least = i;
  }
  if (out->row[least].n < row->n)
    out->row[least] = *row;
}

void quarantine_write_news(const Quarantine *quarantine, gboolean all,
                           mp_CrashUpdate *out, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  out->n = 0;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Row *row = value;
    mp_CrashRow told;
    if (now - row->learned >= NEWS_REPEAT_TIME ||
        !(all || has_own_strike(row)))
      continue;
    write_row(row, &told);
    if (told.n > 0)
      put_row(out, &told);
  }
}

/* }================================================================== */

/*
** {==================================================================
** The store
** ===================================================================
*/

/* a strike that this instance saw, and the store does not have */
static gboolean has_unstored_strike(const Row *row) {
  guint i;
  for (i = 0; i < row->count; i++) {
    const Strike *strike = &row->strikes[i];
    if (strike->own && !strike->off && !strike->saved)
      return TRUE;
  }
  return FALSE;
}

static gboolean needs_save(const Row *row) {
  if (row->over)
    return !store_position_is_none(row->position);
  return count_of(row) >= STORED_STRIKES_MIN && has_unstored_strike(row);
}

static void write_record(const Quarantine *quarantine, const Row *row,
                         QuarantineRecord *out) {
  mp_CrashRow told;
  guint i;
  memset(out, 0, sizeof *out);
  write_row(row, &told);
  out->content = row->content;
  out->count = told.n;
  for (i = 0; i < told.n; i++)
    out->crashes[i] = told.crash[i];
  out->last_unix_ms = (row->last + quarantine->unix_offset) / MP_MS;
  out->request = row->request;
  out->route = row->route;
  out->account = row->account;
}

gboolean quarantine_merge_stored(Quarantine *quarantine,
                                 const QuarantineRecord *record,
                                 StorePosition position, gint64 now) {
  gboolean is_news = quarantine_merge(quarantine, record, now);
  Row *row = need(quarantine, record->content);
  guint i;
  quarantine->may_need_save = TRUE;
  row->position = store_position_later(row->position, position);
  for (i = 0; i < record->count; i++) {
    Strike *strike = find_strike(row, record->crashes[i]);
    if (strike != NULL)
      strike->saved = TRUE;
  }
  return is_news;
}

void quarantine_store_restored(Quarantine *quarantine, guint64 era) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Row *row = value;
    guint i;
    if (row->position.era >= era)
      continue; /* it has been heard of since */
    row->position = store_position_none();
    for (i = 0; i < row->count; i++)
      row->strikes[i].saved = FALSE;
  }
  quarantine->may_need_save = TRUE;
}

gboolean quarantine_next_save(Quarantine *quarantine, QuarantineSave *out,
                              gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  gboolean some_wait = FALSE;
  if (!quarantine->may_need_save)
    return FALSE;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Row *row = value;
    if (!needs_save(row))
      continue;
    some_wait = TRUE;
    if (row->retry_at > now)
      continue;
    out->remove = row->over;
    out->position = row->position;
    write_record(quarantine, row, &out->record);
    return TRUE;
  }
  quarantine->may_need_save = some_wait;
  return FALSE;
}

void quarantine_save_failed(Quarantine *quarantine, guint64 content,
                            gint64 now) {
  Row *row = find(quarantine, content);
  if (row != NULL)
    row->retry_at = now + SAVE_RETRY;
}

/* }================================================================== */

/* when it says nothing any more */
static gint64 ends_at(const Row *row) {
  guint strikes = count_of(row);
  if (strikes == 0)
    return row->learned + LIFTED_LIFE;
  if (strikes >= QUARANTINE_STRIKES_MAX)
    return G_MAXINT64;
  if (strikes >= QUARANTINE_HOLD_STRIKES)
    return held_until(row) + SUSPECT_LIFE;
  return row->last + SUSPECT_LIFE;
}

static gint64 removal_wait(const Quarantine *quarantine, const Row *row) {
  guint64 one[2] = {row->content, quarantine->seed};
  return (gint64)(XXH3_64bits(one, sizeof one) % REMOVE_SPREAD);
}

/* it is over, nothing of it stands in the store, and nobody tells of it */
static gboolean is_forgotten(gpointer content, gpointer value, gpointer now) {
  const Row *row = value;
  (void)content;
  return row->over && store_position_is_none(row->position) &&
         row->learned + LIFTED_LIFE <= *(const gint64 *)now;
}

void quarantine_expire(Quarantine *quarantine, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  if (now < quarantine->expire_at)
    return;
  quarantine->expire_at = now + EXPIRE_PAUSE;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Row *row = value;
    if (row->over || ends_at(row) > now)
      continue;
    row->over = TRUE;
    row->retry_at = now + removal_wait(quarantine, row);
    quarantine->may_need_save = TRUE;
  }
  g_hash_table_foreach_remove(quarantine->rows, is_forgotten, &now);
}
