/*
** quarantine.c
** Quarantine for requests during whose runs endpoints crash
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/acquittals.h"
#include "router/quarantine.h"

/* The first hold is long compared with the minutes in which callers repeat a
** request, and short compared with the day in which operators would notice a
** request that is blamed wrongly. */
#define FIRST_HOLD_TIME (3600 * MP_SEC)
/* Each further strike makes the hold this many times as long. */
#define HOLD_GROWTH_FACTOR 4
/* The hold from QUARANTINE_STRIKES_MAX strikes on. It is longer than a year,
** so that three probes are the most within one. */
#define LAST_HOLD_TIME (400LL * 24 * 3600 * MP_SEC)
/* The first hold of a subject that was acquitted lately. Such a subject is
** likely to be innocent, and has to be served within 5 s of the endpoints'
** return. */
#define ACQUITTED_HOLD_TIME (2 * MP_SEC)
/* Ends this close are one event, whatever ran there. The quickest crash on
** record took 52 ms from its dispatch. */
#define SAME_MOMENT (50 * MP_MS)
/* Ends this close are one event for a subject that was acquitted lately,
** unless they followed it. A rack that loses power, or a rollout that fails,
** ends its endpoints within about this time. A subject that never ended well
** gets SAME_MOMENT instead, because equal crashing requests may overlap. */
#define EVENT_WINDOW (2 * MP_SEC)
/* the least time between two probes of a subject; the first is the longest in
** which the end of an endpoint is proved */
#define PROBE_INTERVAL (6 * MP_SEC)
#define ACQUITTED_PROBE_INTERVAL (2 * MP_SEC)
/* Strikes too few for a hold are remembered for this long after the newest
** one, and those of a hold for this long after its end. */
#define STRIKE_LIFETIME (3600 * MP_SEC)
/* A request whose strikes were all taken off is remembered until this long
** after this instance learned of its newest strike, or of the lift by an
** operator. A late report of such a strike then changes nothing: instances
** report a strike for NEWS_REPEAT_TIME after they learned it. (A run that ends
** well doesn't extend this time.) */
#define LIFTED_RETENTION (60 * MP_SEC)
/* A strike is reported again and again for this long after this instance
** learned it, which makes good a lost datagram or a data centre that is cut
** off for some seconds. */
#define NEWS_REPEAT_TIME (10 * MP_SEC)
/* A request is written to the store from this many strikes on. A dozen
** requests get a strike whenever an endpoint ends, and nearly all of them
** never get another one. A part is written when it is held: each end strikes
** the parts that all requests of a service have. */
#define STORED_STRIKES_MIN 2
/* The next write of a request waits this long after one that failed. */
#define SAVE_RETRY_DELAY (300 * MP_MS)
/* Instances remove an expired request from the store after a delay below this
** that differs between them: the first one removes it, and the others hear of
** that before their own delay ends. */
#define REMOVAL_JITTER (60 * MP_SEC)
/* the time between two searches for expired requests */
#define EXPIRE_INTERVAL (1 * MP_SEC)
/* strikes remembered for one request, including those taken off */
#define STRIKES_PER_ROW_MAX (2 * QUARANTINE_STRIKES_MAX)
/* A trial of a twin is over within this time, the longest in which the end of
** an endpoint is proved; there are TRIALS_MAX for one subject. */
#define TRIAL_INTERVAL (6 * MP_SEC)
#define TRIALS_MAX 2
/* At most this many requests are remembered, at 100 bytes each; each end of an
** endpoint adds a dozen. Beyond that the requests with the fewest strikes are
** dropped first. */
#define ROWS_MAX 4096

typedef struct Strike {
  guint32 crash;      /* names the incarnation (one run of the endpoint's
                      ** process) that ended: Endpoint.hash */
  gboolean is_off;    /* taken off: it doesn't count, but stays known */
  gboolean is_own;    /* this instance saw it */
  gboolean is_stored; /* the store has it */
  gint64 at;          /* when the run broke off, or when this instance learned
                      ** of it */
  gint64 began_at;    /* when the run was sent; 0: not known */
} Strike;

/* what is known of one subject */
typedef struct Row {
  guint64 content;
  guint count;                         /* of 'strikes' */
  Strike strikes[STRIKES_PER_ROW_MAX]; /* in the order they were learned */
  gint64 last_strike_at;               /* time of the newest strike */
  gint64 learned_at;      /* when this instance learned of a new strike, or of
                          ** a lift */
  StorePosition position; /* of the object in the store; none: no object is
                          ** known */
  gint64 retry_at;        /* not written to the store before then */
  gboolean is_obsolete;   /* to be removed from the store, then dropped */
  gint64 acquitted_at;    /* start of its last good run; G_MININT64: none */
  gint64 tried_at;        /* when the last trial began; 0: none did */
  guint trials;
  gint64 probed_at;                /* when the last probe began; 0: none did */
  char *request, *route, *account; /* as in QuarantineRecord */
} Row;

struct Quarantine {
  GHashTable *rows;     /* content -> Row */
  Acquittals *parts;    /* that were acquitted */
  Acquittals *requests; /* the same; most requests are never sent again, and
                        ** must not crowd parts out */
  gint64 unix_offset;
  guint64 seed;
  guint64 version;
  gboolean may_need_save; /* FALSE: no row needs a write to the store, so that
                          ** not all rows are searched with every event */
  gint64 next_expiry_at;  /* when rows are searched for expired ones again */
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
  quarantine->parts = acquittals_new();
  quarantine->requests = acquittals_new();
  quarantine->unix_offset = unix_offset;
  quarantine->seed = seed;
  return quarantine;
}

void quarantine_free(Quarantine *quarantine) {
  g_hash_table_destroy(quarantine->rows);
  acquittals_free(quarantine->parts);
  acquittals_free(quarantine->requests);
  g_free(quarantine);
}

/* Returns the acquittals of the subject's kind. */
static Acquittals *acquittals_of(const Quarantine *quarantine,
                                 guint64 content) {
  return (content & QUARANTINE_PART_BIT) != 0 ? quarantine->parts
                                              : quarantine->requests;
}

static Row *find_row(const Quarantine *quarantine, guint64 content) {
  return g_hash_table_lookup(quarantine->rows, &content);
}

/* Returns the number of strikes that count. */
static guint strike_count(const Row *row) {
  guint count = 0;
  guint i;
  for (i = 0; i < row->count; i++)
    count += !row->strikes[i].is_off;
  return count;
}

/* Returns TRUE if the row has a strike for this incarnation that counts. */
static gboolean has_counting_strike(const Row *row, guint32 crash) {
  guint i;
  for (i = 0; i < row->count; i++) {
    if (row->strikes[i].crash == crash && !row->strikes[i].is_off)
      return TRUE;
  }
  return FALSE;
}

/* Returns the counting strikes of the row that 'other' (NULL: no row) lacks,
** in the order of their times, and their number. */
static guint list_strikes(const Row *row, const Row *other,
                          const Strike *out[STRIKES_PER_ROW_MAX]) {
  guint count = 0;
  guint i;
  for (i = 0; i < row->count; i++) {
    const Strike *strike = &row->strikes[i];
    guint at = count;
    if (strike->is_off ||
        (other != NULL && has_counting_strike(other, strike->crash)))
      continue;
    for (; at > 0 && out[at - 1]->at > strike->at; at--)
      out[at] = out[at - 1];
    out[at] = strike;
    count++;
  }
  return count;
}

/* Returns TRUE if the later strike belongs to the event of the earlier one
** (invariant 7). */
static gboolean is_same_event(const Row *row, const Strike *earlier,
                              const Strike *later) {
  gint64 gap = later->at - earlier->at;
  gboolean is_usual = row->acquitted_at != G_MININT64 &&
                      later->at - row->acquitted_at <= ACQUITTAL_LIFETIME;
  if (later->began_at == 0 || earlier->began_at == 0)
    return FALSE;
  return gap <= SAME_MOMENT ||
         (is_usual && gap <= EVENT_WINDOW && later->began_at < earlier->at);
}

/* Keeps the first strike of each event, and returns their number. */
static guint keep_event_starts(const Row *row, const Strike **strikes,
                               guint count) {
  guint events = 0;
  guint i;
  for (i = 0; i < count; i++) {
    if (events == 0 || !is_same_event(row, strikes[events - 1], strikes[i]))
      strikes[events++] = strikes[i];
  }
  return events;
}

/* Returns the number of events that count, without those strikes that the
** other row (NULL: none) has, too. */
static guint event_count(const Row *row, const Row *other) {
  const Strike *strikes[STRIKES_PER_ROW_MAX];
  guint count = list_strikes(row, other, strikes);
  return keep_event_starts(row, strikes, count);
}

/* Returns the row with the fewest counting strikes, and among those the one
** with the oldest newest strike. */
static Row *find_evictable_row(const Quarantine *quarantine) {
  GHashTableIter iterator;
  gpointer value;
  Row *least = NULL;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Row *row = value;
    if (least == NULL || strike_count(row) < strike_count(least) ||
        (strike_count(row) == strike_count(least) &&
         row->last_strike_at < least->last_strike_at))
      least = row;
  }
  return least;
}

static Row *get_or_add_row(Quarantine *quarantine, guint64 content) {
  Row *row = find_row(quarantine, content);
  if (row != NULL)
    return row;
  if (g_hash_table_size(quarantine->rows) >= ROWS_MAX)
    g_hash_table_remove(quarantine->rows,
                        &find_evictable_row(quarantine)->content);
  row = g_new0(Row, 1);
  row->content = content;
  row->acquitted_at =
      acquittals_latest(acquittals_of(quarantine, content), content);
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

/* Makes room for one more strike, if necessary by dropping the oldest strike
** that is taken off. Returns FALSE if all strikes count. */
static gboolean make_room(Row *row) {
  guint i;
  if (row->count < STRIKES_PER_ROW_MAX)
    return TRUE;
  for (i = 0; i < row->count; i++) {
    if (!row->strikes[i].is_off)
      continue;
    memmove(&row->strikes[i], &row->strikes[i + 1],
            (row->count - i - 1) * sizeof *row->strikes);
    row->count--;
    return TRUE;
  }
  return FALSE;
}

/* Adds a strike of the time 'at'. Returns NULL if it is known already, or if
** there is no room, when the row has more strikes than can matter. */
static Strike *add_strike(Quarantine *quarantine, Row *row, guint32 crash,
                          gint64 at, gint64 now) {
  Strike *strike;
  if (find_strike(row, crash) != NULL || !make_room(row))
    return NULL;
  strike = &row->strikes[row->count++];
  memset(strike, 0, sizeof *strike);
  strike->crash = crash;
  strike->at = at;
  /* 'at' may be negative, since it may be before the start of the machine, so
  ** the first strike must not be compared with 0. */
  row->last_strike_at = row->count == 1 ? at : MAX(row->last_strike_at, at);
  row->learned_at = now;
  row->is_obsolete = FALSE;
  quarantine->version++;
  quarantine->may_need_save = TRUE;
  return strike;
}

/* Replaces a text by a copy of 'from', unless that is NULL. */
static void set_text(char **to, const char *from) {
  if (from == NULL)
    return;
  g_free(*to);
  *to = g_strdup(from);
}

gboolean quarantine_add_strike(Quarantine *quarantine,
                               const QuarantineSuspect *suspect, guint32 crash,
                               gint64 now) {
  Row *row = get_or_add_row(quarantine, suspect->content);
  Strike *strike = add_strike(quarantine, row, crash, suspect->at, now);
  if (strike == NULL)
    return FALSE;
  strike->is_own = TRUE;
  strike->began_at = suspect->began_at;
  set_text(&row->request, suspect->request);
  set_text(&row->route, suspect->route);
  set_text(&row->account, suspect->account);
  return TRUE;
}

/* Converts a Unix time to the steady clock. A time in the future comes from a
** wrong clock; it becomes 'now', and so does a time that is not known (0). */
static gint64 to_steady_time(const Quarantine *quarantine, gint64 unix_ms,
                             gint64 now) {
  return unix_ms > 0 ? MIN(unix_ms * MP_MS - quarantine->unix_offset, now)
                     : now;
}

/* Notes when the run broke off at the record's strike of this index, unless
** that is known. */
static void add_times(Row *row, const QuarantineRecord *record, guint i) {
  Strike *strike = find_strike(row, record->crashes[i]);
  if (strike == NULL || strike->began_at != 0)
    return;
  strike->began_at = record->began_at[i];
  strike->at = MIN(strike->at, record->broke_at[i]);
}

gboolean quarantine_merge(Quarantine *quarantine,
                          const QuarantineRecord *record, gint64 now) {
  gint64 at = to_steady_time(quarantine, record->last_unix_ms, now);
  gboolean is_new = FALSE;
  Row *row;
  guint i;
  if (record->count == 0)
    return FALSE;
  row = get_or_add_row(quarantine, record->content);
  for (i = 0; i < record->count; i++) {
    gboolean is_timed = record->began_at[i] != 0;
    gint64 broke_at = is_timed ? MIN(record->broke_at[i], now) : at;
    is_new |=
        add_strike(quarantine, row, record->crashes[i], broke_at, now) != NULL;
    if (is_timed)
      add_times(row, record, i);
  }
  return is_new;
}

void quarantine_run_succeeded(Quarantine *quarantine, guint64 content) {
  Row *row = find_row(quarantine, content);
  guint i;
  if (row == NULL || event_count(row, NULL) >= QUARANTINE_HOLD_STRIKES)
    return;
  for (i = 0; i < row->count && row->strikes[i].is_off; i++) {
  }
  if (i < row->count)
    row->strikes[i].is_off = TRUE;
  if (strike_count(row) == 0)
    row->is_obsolete = TRUE;
  quarantine->may_need_save = TRUE;
}

guint quarantine_strike_count(const Quarantine *quarantine, guint64 content) {
  const Row *row = find_row(quarantine, content);
  return row != NULL ? strike_count(row) : 0;
}

guint quarantine_event_count(const Quarantine *quarantine, guint64 content) {
  const Row *row = find_row(quarantine, content);
  return row != NULL ? event_count(row, NULL) : 0;
}

gboolean quarantine_has_strike(const Quarantine *quarantine, guint64 content,
                               guint32 crash) {
  Row *row = find_row(quarantine, content);
  return row != NULL && find_strike(row, crash) != NULL;
}

guint quarantine_list_crashes(const Quarantine *quarantine, guint64 content,
                              guint32 *out, guint most) {
  const Row *row = find_row(quarantine, content);
  guint count = 0;
  guint i;
  for (i = 0; row != NULL && i < row->count && count < most; i++) {
    if (!row->strikes[i].is_off)
      out[count++] = row->strikes[i].crash;
  }
  return count;
}

gint64 quarantine_learned_at(const Quarantine *quarantine, guint64 content) {
  const Row *row = find_row(quarantine, content);
  return row != NULL ? row->learned_at : G_MININT64;
}

/* Returns TRUE if a run of the subject that began so lately before this strike
** went on that the strike is likely to have other reasons. */
static gboolean was_acquitted_before(gint64 acquitted_at, gint64 strike_at) {
  return acquitted_at != G_MININT64 &&
         strike_at - acquitted_at <= ACQUITTAL_LIFETIME;
}

/* Returns how long a subject is held for so many events. */
static gint64 hold_time(const Row *row, guint events) {
  gint64 duration = FIRST_HOLD_TIME;
  guint i = QUARANTINE_HOLD_STRIKES;
  if (was_acquitted_before(row->acquitted_at, row->last_strike_at)) {
    duration = ACQUITTED_HOLD_TIME;
    i = QUARANTINE_HOLD_STRIKES_ACQUITTED;
  } else if (events >= QUARANTINE_STRIKES_MAX)
    return LAST_HOLD_TIME;
  for (; i < events; i++)
    duration *= HOLD_GROWTH_FACTOR;
  return duration;
}

/* Returns from how many events on a subject is held that was acquitted at
** this time (G_MININT64: never), and got its newest strike at 'at'. */
static guint hold_strikes(gint64 acquitted_at, gint64 at) {
  return was_acquitted_before(acquitted_at, at)
             ? QUARANTINE_HOLD_STRIKES_ACQUITTED
             : QUARANTINE_HOLD_STRIKES;
}

static gboolean has_enough_strikes(const Row *row) {
  return event_count(row, NULL) >=
         hold_strikes(row->acquitted_at, row->last_strike_at);
}

/* Returns how many counting strikes of the row the other one has, too. */
static guint shared_strikes(const Row *row, const Row *other) {
  guint shared = 0;
  guint i;
  for (i = 0; i < row->count; i++) {
    const Strike *strike = &row->strikes[i];
    shared += !strike->is_off && has_counting_strike(other, strike->crash);
  }
  return shared;
}

static gboolean is_part(const Row *row) {
  return (row->content & QUARANTINE_PART_BIT) != 0;
}

static gboolean is_acquitted_lately(const Row *row) {
  return was_acquitted_before(row->acquitted_at, row->last_strike_at);
}

/* Returns TRUE if the other row may explain strikes of this one (invariant 6).
 */
static gboolean may_explain(const Row *other, const Row *row) {
  guint count = strike_count(row);
  guint others = strike_count(other);
  return other != row && has_enough_strikes(other) &&
         (is_part(row) || is_part(other)) &&
         (!is_acquitted_lately(other) || is_acquitted_lately(row)) &&
         (others > count ||
          (others == count && is_part(row) && !is_part(other)));
}

/* Returns how many events of the row no other one explains (invariant 6), as
** far as the held subject goes that explains most. */
static guint unexplained_events(const Quarantine *quarantine, const Row *row) {
  guint events = event_count(row, NULL);
  GHashTableIter iterator;
  gpointer value;
  if (!has_enough_strikes(row))
    return events;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Row *other = value;
    if (may_explain(other, row))
      events = MIN(events, event_count(row, other));
  }
  return events;
}

/* Takes off the counting strikes of a row that the lifted one has, too. */
static void take_off_shared_strikes(Row *row, const Row *lifted, gint64 now) {
  guint before = strike_count(row);
  guint i;
  for (i = 0; i < row->count; i++) {
    Strike *strike = &row->strikes[i];
    strike->is_off |= has_counting_strike(lifted, strike->crash);
  }
  if (strike_count(row) == before)
    return;
  row->learned_at = now;
  row->is_obsolete = strike_count(row) == 0;
}

void quarantine_lift(Quarantine *quarantine, guint64 content, gint64 now) {
  Row *row = find_row(quarantine, content);
  GHashTableIter iterator;
  gpointer value;
  guint i;
  if (row == NULL)
    return;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    if (may_explain(row, value))
      take_off_shared_strikes(value, row, now);
  }
  for (i = 0; i < row->count; i++)
    row->strikes[i].is_off = TRUE;
  row->position = store_position_none();
  row->learned_at = now;
  row->is_obsolete = TRUE;
  quarantine->may_need_save = TRUE;
}

/* Returns when the subject's hold ends, also if that is past; 0 if it has too
** few strikes for one. */
static gint64 held_until(const Quarantine *quarantine, const Row *row) {
  guint events = unexplained_events(quarantine, row);
  if (events < hold_strikes(row->acquitted_at, row->last_strike_at))
    return 0;
  return row->last_strike_at + hold_time(row, events);
}

guint quarantine_hold_strikes(const Quarantine *quarantine, guint64 content,
                              gint64 now) {
  return hold_strikes(quarantine_acquitted_at(quarantine, content), now);
}

gint64 quarantine_held_until(const Quarantine *quarantine, guint64 content,
                             gint64 now) {
  const Row *row = find_row(quarantine, content);
  gint64 until = row != NULL ? held_until(quarantine, row) : 0;
  return until > now ? until : 0;
}

gboolean quarantine_needs_probe(const Quarantine *quarantine, guint64 content,
                                gint64 now) {
  const Row *row = find_row(quarantine, content);
  gint64 until = row != NULL ? held_until(quarantine, row) : 0;
  return until != 0 && until <= now;
}

gboolean quarantine_begin_probe(Quarantine *quarantine, guint64 content,
                                gint64 now) {
  Row *row = find_row(quarantine, content);
  gint64 interval = PROBE_INTERVAL;
  if (row == NULL)
    return FALSE;
  if (was_acquitted_before(row->acquitted_at, row->last_strike_at))
    interval = ACQUITTED_PROBE_INTERVAL;
  if (row->probed_at != 0 && now - row->probed_at < interval)
    return FALSE;
  row->probed_at = now;
  return TRUE;
}

void quarantine_count(const Quarantine *quarantine, gint64 now,
                      guint *suspects, guint *held) {
  GHashTableIter iterator;
  gpointer value;
  *suspects = 0;
  *held = 0;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    *suspects += strike_count(value) > 0;
    *held += held_until(quarantine, value) > now;
  }
}

/*
** {==================================================================
** Acquittals and twins
** ===================================================================
*/

gint64 quarantine_acquitted_at(const Quarantine *quarantine, guint64 content) {
  const Row *row = find_row(quarantine, content);
  gint64 at = acquittals_latest(acquittals_of(quarantine, content), content);
  return row != NULL ? MAX(at, row->acquitted_at) : at;
}

gboolean quarantine_acquit(Quarantine *quarantine, guint64 content, gint64 at,
                           gint64 now) {
  Row *row = find_row(quarantine, content);
  gboolean was_held;
  guint before;
  guint i;
  acquittals_note(acquittals_of(quarantine, content), content, at);
  if (row == NULL || at <= row->acquitted_at)
    return FALSE;
  before = strike_count(row);
  was_held = held_until(quarantine, row) > now;
  row->acquitted_at = at;
  for (i = 0; i < row->count; i++)
    row->strikes[i].is_off |= row->strikes[i].at <= at;
  if (strike_count(row) == before)
    return FALSE;
  row->learned_at = now;
  row->is_obsolete = strike_count(row) == 0;
  quarantine->version++;
  quarantine->may_need_save = TRUE;
  return was_held && held_until(quarantine, row) <= now;
}

static gboolean is_one_of(guint64 content, const guint64 *subjects,
                          guint count) {
  guint i;
  for (i = 0; i < count; i++) {
    if (subjects[i] == content)
      return TRUE;
  }
  return FALSE;
}

gboolean quarantine_has_twin(const Quarantine *quarantine, guint64 content,
                             const guint64 *subjects, guint count) {
  const Row *row = find_row(quarantine, content);
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (row != NULL && g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Row *other = value;
    if (other != row && has_enough_strikes(other) &&
        shared_strikes(row, other) == strike_count(row) &&
        !is_one_of(other->content, subjects, count))
      return TRUE;
  }
  return FALSE;
}

gboolean quarantine_begin_trial(Quarantine *quarantine, guint64 content,
                                gint64 now) {
  Row *row = find_row(quarantine, content);
  if (row == NULL || row->trials >= TRIALS_MAX ||
      (row->tried_at != 0 && now - row->tried_at < TRIAL_INTERVAL))
    return FALSE;
  row->tried_at = now;
  row->trials++;
  return TRUE;
}

/* Adds the parts among the rows that were acquitted, as long as the message
** has room. */
static void write_acquittals(const Quarantine *quarantine, mp_CrashUpdate *out,
                             gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  out->acquitted_n = 0;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (out->acquitted_n < MP_ACQUITTAL_ROWS &&
         g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Row *row = value;
    mp_AcquittalRow *acquitted = &out->acquitted[out->acquitted_n];
    if (row->acquitted_at == G_MININT64 ||
        now - row->acquitted_at > ACQUITTAL_LIFETIME ||
        now - row->learned_at >= NEWS_REPEAT_TIME)
      continue;
    acquitted->part = row->content;
    acquitted->age_ms = (guint32)((now - row->acquitted_at) / MP_MS);
    out->acquitted_n++;
  }
}

/* }================================================================== */

guint64 quarantine_version(const Quarantine *quarantine) {
  return quarantine->version;
}

/*
** {==================================================================
** Reports to other instances
** ===================================================================
*/

/* Returns TRUE if this instance saw a strike that counts. */
static gboolean has_own_strike(const Row *row) {
  guint i;
  for (i = 0; i < row->count; i++) {
    if (row->strikes[i].is_own && !row->strikes[i].is_off)
      return TRUE;
  }
  return FALSE;
}

/* Returns the time as the message has it, at least 1. */
static guint16 message_time(gint64 time) {
  return (guint16)CLAMP(time / (MP_CRASH_TIME_MS * MP_MS), 1, G_MAXUINT16);
}

static void write_row(const Row *row, mp_CrashRow *out, gint64 now) {
  guint i;
  memset(out, 0, sizeof *out);
  out->request = row->content;
  for (i = 0; i < row->count && out->n < MP_CRASHES_PER_ROW; i++) {
    const Strike *strike = &row->strikes[i];
    if (strike->is_off)
      continue;
    out->crash[out->n] = strike->crash;
    if (strike->began_at != 0) {
      out->age[out->n] = message_time(now - strike->at);
      out->length[out->n] = message_time(strike->at - strike->began_at);
    }
    out->n++;
  }
}

/* Adds the row, or puts it in the place of the row with the fewest strikes if
** the message is full and that row has fewer than this one. */
static void add_or_replace_row(mp_CrashUpdate *out, const mp_CrashRow *row) {
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

void quarantine_write_news(const Quarantine *quarantine,
                           gboolean with_received, mp_CrashUpdate *out,
                           gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  out->n = 0;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Row *row = value;
    mp_CrashRow crashes;
    if (now - row->learned_at >= NEWS_REPEAT_TIME ||
        !(with_received || has_own_strike(row)))
      continue;
    write_row(row, &crashes, now);
    if (crashes.n > 0)
      add_or_replace_row(out, &crashes);
  }
  write_acquittals(quarantine, out, now);
}

/* }================================================================== */

/*
** {==================================================================
** The store
** ===================================================================
*/

/* Returns TRUE if this instance saw a strike, the first of an event, that the
** store lacks and the object has room for. A full object says all that a
** record can say, so strikes beyond it are never written. */
static gboolean has_unstored_strike(const Row *row) {
  const Strike *starts[STRIKES_PER_ROW_MAX];
  guint count =
      keep_event_starts(row, starts, list_strikes(row, NULL, starts));
  gboolean lacks_own = FALSE;
  guint stored = 0;
  guint i;
  for (i = 0; i < count; i++)
    lacks_own |= starts[i]->is_own && !starts[i]->is_stored;
  for (i = 0; i < row->count; i++)
    stored += row->strikes[i].is_stored && !row->strikes[i].is_off;
  return lacks_own && stored < QUARANTINE_STRIKES_MAX;
}

/* Returns TRUE if a hold of the row, now or after more strikes, should outlast
** the instances that know it. */
static gboolean is_worth_storing(const Quarantine *quarantine,
                                 const Row *row) {
  if (was_acquitted_before(row->acquitted_at, row->last_strike_at))
    return FALSE; /* it is held for seconds */
  if (is_part(row))
    return held_until(quarantine, row) != 0;
  return event_count(row, NULL) >= STORED_STRIKES_MIN;
}

/* An obsolete row needs its object removed, another one its strikes written.
 */
static gboolean needs_save(const Quarantine *quarantine, const Row *row) {
  if (row->is_obsolete)
    return !store_position_is_none(row->position);
  return has_unstored_strike(row) && is_worth_storing(quarantine, row);
}

/* The record has the strikes that the store has, and the first strike of each
** event: it has no times by which a reader could tell events. */
static void write_record(const Quarantine *quarantine, const Row *row,
                         QuarantineRecord *out) {
  const Strike *starts[STRIKES_PER_ROW_MAX];
  guint count =
      keep_event_starts(row, starts, list_strikes(row, NULL, starts));
  guint i;
  memset(out, 0, sizeof *out);
  out->content = row->content;
  for (i = 0; i < row->count && out->count < QUARANTINE_STRIKES_MAX; i++) {
    if (row->strikes[i].is_stored && !row->strikes[i].is_off)
      out->crashes[out->count++] = row->strikes[i].crash;
  }
  for (i = 0; i < count && out->count < QUARANTINE_STRIKES_MAX; i++) {
    if (!starts[i]->is_stored)
      out->crashes[out->count++] = starts[i]->crash;
  }
  out->last_unix_ms = (row->last_strike_at + quarantine->unix_offset) / MP_MS;
  out->request = row->request;
  out->route = row->route;
  out->account = row->account;
}

gboolean quarantine_merge_stored(Quarantine *quarantine,
                                 const QuarantineRecord *record,
                                 StorePosition position, gint64 now) {
  gboolean is_new = quarantine_merge(quarantine, record, now);
  Row *row = get_or_add_row(quarantine, record->content);
  guint i;
  quarantine->may_need_save = TRUE;
  row->position = store_position_later(row->position, position);
  for (i = 0; i < record->count; i++) {
    Strike *strike = find_strike(row, record->crashes[i]);
    if (strike != NULL)
      strike->is_stored = TRUE;
  }
  return is_new;
}

void quarantine_store_restored(Quarantine *quarantine, guint64 era) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Row *row = value;
    guint i;
    if (row->position.era >= era)
      continue; /* the object was seen after the restore */
    row->position = store_position_none();
    for (i = 0; i < row->count; i++)
      row->strikes[i].is_stored = FALSE;
  }
  quarantine->may_need_save = TRUE;
}

gboolean quarantine_next_save(Quarantine *quarantine, QuarantineSave *out,
                              gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  gboolean is_save_pending = FALSE;
  if (!quarantine->may_need_save)
    return FALSE;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Row *row = value;
    if (!needs_save(quarantine, row))
      continue;
    is_save_pending = TRUE;
    if (row->retry_at > now)
      continue;
    out->remove = row->is_obsolete;
    out->position = row->position;
    write_record(quarantine, row, &out->record);
    return TRUE;
  }
  quarantine->may_need_save = is_save_pending;
  return FALSE;
}

void quarantine_save_failed(Quarantine *quarantine, guint64 content,
                            gint64 now) {
  Row *row = find_row(quarantine, content);
  if (row != NULL)
    row->retry_at = now + SAVE_RETRY_DELAY;
}

/* }================================================================== */

/* Returns the time from which on the row is obsolete. */
static gint64 obsolete_at(const Quarantine *quarantine, const Row *row) {
  if (strike_count(row) == 0)
    return row->learned_at + LIFTED_RETENTION;
  return MAX(held_until(quarantine, row), row->last_strike_at) +
         STRIKE_LIFETIME;
}

/* Returns a delay that differs between instances for the same request. */
static gint64 removal_delay(const Quarantine *quarantine, const Row *row) {
  guint64 input[2] = {row->content, quarantine->seed};
  return (gint64)(XXH3_64bits(input, sizeof input) % REMOVAL_JITTER);
}

/* Returns TRUE for a row that is obsolete, has no object in the store and is
** reported by no instance any more. */
static gboolean can_be_dropped(gpointer content, gpointer value,
                               gpointer now) {
  const Row *row = value;
  (void)content;
  return row->is_obsolete && store_position_is_none(row->position) &&
         row->learned_at + LIFTED_RETENTION <= *(const gint64 *)now;
}

void quarantine_expire(Quarantine *quarantine, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  if (now < quarantine->next_expiry_at)
    return;
  quarantine->next_expiry_at = now + EXPIRE_INTERVAL;
  g_hash_table_iter_init(&iterator, quarantine->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Row *row = value;
    if (row->is_obsolete || obsolete_at(quarantine, row) > now)
      continue;
    row->is_obsolete = TRUE;
    row->retry_at = now + removal_delay(quarantine, row);
    quarantine->may_need_save = TRUE;
  }
  g_hash_table_foreach_remove(quarantine->rows, can_be_dropped, &now);
  acquittals_expire(quarantine->parts, now);
  acquittals_expire(quarantine->requests, now);
}
