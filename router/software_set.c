/*
** software_set.c
** The versions at which resumable streams of each service may have begun, as
** the store keeps them
*/

#include <string.h>

#include "router/software_set.h"

/* The keep time is at least this: longer than the absence after which a
** version that returns counts as new (software_history.c, 10 s) and the age of
** other instances' lists together. */
#define KEEP_MIN (20 * G_TIME_SPAN_SECOND)
/* news_age_max, and 0.5 s for calls that are under way */
#define REMOVAL_MARGIN (500 * G_TIME_SPAN_MILLISECOND)
/* Instances that are not the first read the set of a service with a new
** version within READ_SPREAD after READ_DELAY, in which the first adds it. */
#define READ_DELAY (100 * G_TIME_SPAN_MILLISECOND)
#define READ_SPREAD (400 * G_TIME_SPAN_MILLISECOND)
/* They create a set that does not exist this much later than the first, which
** may be unable to call the store. */
#define CREATE_DELAY (2 * G_TIME_SPAN_SECOND)
#define CREATE_SPREAD (8 * G_TIME_SPAN_SECOND)
/* wait after a failed call; doubled with each further one up to the most */
#define RETRY_WAIT_MIN (250 * G_TIME_SPAN_MILLISECOND)
#define RETRY_WAIT_MAX (4 * G_TIME_SPAN_SECOND)
/* While nothing is due, the services are checked at most this often. */
#define CHECK_INTERVAL (50 * G_TIME_SPAN_MILLISECOND)

typedef enum SetState {
  SET_UNKNOWN, /* not read yet, or not since the store was restored */
  SET_ABSENT,  /* the store has no object for the service */
  SET_PRESENT
} SetState;

typedef struct Entry {
  guint64 software;
  gboolean expiring;
  gint64 since; /* when this instance learned that it is so */
} Entry;

/* What is known of one service's set. */
typedef struct Row {
  char *name;
  guint32 service;   /* hash of 'name' */
  gint64 keep;       /* the keep time */
  gboolean is_named; /* since software_sets_begin_services */
  SetState state;
  gint64 read_at; /* when the newest call began that returned the set, or that
                  ** it does not exist */
  StorePosition position; /* of the object */
  guint count;
  Entry entries[SOFTWARE_SET_MAX];
  guint64 allowed[SOFTWARE_SET_MAX]; /* of software_sets_allowed */
  gboolean must_read;
  gboolean is_lacking; /* it lacked a wanted version when it was read last */
  gint64 retry_at;     /* no call is made before */
  guint failures;      /* in a row */
  gint64 restored_at;  /* when the store was restored; 0: not seen */
  gint64 wanted_at;    /* a read that began then or later is waited for */
} Row;

struct SoftwareSets {
  GPtrArray *rows; /* Row (owned) */
  guint64 seed;
  guint64 version;    /* of the configuration that names the services */
  guint32 open;       /* Row.service of the open call; 0: none is open */
  gint64 sent_at;     /* when it began */
  gint64 check_at;    /* nothing was due before; 0: check now */
  gboolean is_driven; /* calls are made: software_sets_next_call was called */
};

static void row_free(gpointer p) {
  Row *row = p;
  g_free(row->name);
  g_free(row);
}

SoftwareSets *software_sets_new(guint64 seed) {
  SoftwareSets *sets = g_new0(SoftwareSets, 1);
  sets->rows = g_ptr_array_new_with_free_func(row_free);
  sets->seed = seed;
  sets->version = G_MAXUINT64;
  return sets;
}

void software_sets_free(SoftwareSets *sets) {
  g_ptr_array_free(sets->rows, TRUE);
  g_free(sets);
}

static Row *find_row(const SoftwareSets *sets, guint32 service) {
  guint i;
  for (i = 0; i < sets->rows->len; i++) {
    Row *row = sets->rows->pdata[i];
    if (row->service == service)
      return row;
  }
  return NULL;
}

/*
** {==================================================================
** Services
** ===================================================================
*/

gboolean software_sets_begin_services(SoftwareSets *sets, guint64 version) {
  guint i;
  if (version == sets->version)
    return FALSE;
  sets->version = version;
  sets->check_at = 0;
  for (i = 0; i < sets->rows->len; i++) {
    Row *row = sets->rows->pdata[i];
    row->is_named = FALSE;
  }
  return TRUE;
}

void software_sets_add_service(SoftwareSets *sets, const char *name,
                               gint64 lifetime) {
  guint32 service = g_str_hash(name);
  Row *row = find_row(sets, service);
  if (row == NULL) {
    row = g_new0(Row, 1);
    row->name = g_strdup(name);
    row->service = service;
    g_ptr_array_add(sets->rows, row);
  }
  if (!row->is_named)
    row->keep = KEEP_MIN;
  row->is_named = TRUE;
  row->keep = MAX(row->keep, lifetime);
}

void software_sets_end_services(SoftwareSets *sets) {
  guint i = 0;
  while (i < sets->rows->len) {
    const Row *row = sets->rows->pdata[i];
    if (row->is_named)
      i++;
    else
      g_ptr_array_remove_index_fast(sets->rows, i);
  }
}

/* }================================================================== */

/*
** {==================================================================
** The next call
** ===================================================================
*/

/* Returns this instance's delay within 'span' for calls about the service. */
static gint64 spread(const SoftwareSets *sets, const Row *row, gint64 span) {
  guint64 mixed =
      (sets->seed ^ row->service) * G_GUINT64_CONSTANT(0x9e3779b97f4a7c15);
  return (gint64)((mixed >> 33) % (guint64)span);
}

static gboolean is_first(const Row *row, const SoftwareView *view) {
  return view->is_first(view->data, row->service);
}

/* Returns TRUE if the list has been followed for the keep time. */
static gboolean has_followed(const Row *row, const SoftwareView *view) {
  return view->confirmed_at - view->followed_since >= row->keep;
}

/* The versions that are wanted. */
typedef struct Wanted {
  guint count;
  ListedSoftware versions[SOFTWARE_SET_MAX];
} Wanted;

static Wanted list_wanted(const Row *row, const SoftwareView *view) {
  Wanted wanted;
  wanted.count = software_history_list(view->history, row->service,
                                       view->confirmed_at - row->keep,
                                       wanted.versions, SOFTWARE_SET_MAX);
  return wanted;
}

static gboolean is_wanted(const Wanted *wanted, guint64 software) {
  guint i;
  for (i = 0; i < wanted->count; i++) {
    if (wanted->versions[i].software == software)
      return TRUE;
  }
  return FALSE;
}

static const Entry *find_entry(const Row *row, guint64 software) {
  guint i;
  for (i = 0; i < row->count; i++) {
    if (row->entries[i].software == software)
      return &row->entries[i];
  }
  return NULL;
}

/* Returns when the set is to be read; G_MAXINT64: it need not. */
static gint64 read_time(const SoftwareSets *sets, const Row *row,
                        const SoftwareView *view, const Wanted *wanted) {
  gint64 newest = view->followed_since;
  gint64 delay;
  guint i;
  if (row->must_read || row->state == SET_UNKNOWN ||
      row->read_at < row->wanted_at)
    return row->retry_at;
  for (i = 0; i < wanted->count; i++)
    newest = MAX(newest, wanted->versions[i].known_since);
  if (newest <= row->read_at)
    return G_MAXINT64;
  delay =
      is_first(row, view) ? 0 : READ_DELAY + spread(sets, row, READ_SPREAD);
  return MAX(row->retry_at, newest + delay);
}

static void add_entry(SoftwareSetCall *call, guint64 software,
                      gboolean expiring) {
  SoftwareSetEntry entry = {software, expiring};
  call->record.entries[call->record.count++] = entry;
}

static void add_change(SoftwareSetCall *call, guint64 software,
                       SoftwareChangeKind kind) {
  SoftwareChange change = {software, kind};
  call->changes[call->change_count++] = change;
}

/* Returns TRUE if a marked version may be removed now (invariant 3). */
static gboolean is_removal_due(const Entry *entry, const SoftwareView *view,
                               gint64 now) {
  return view->confirmed_at >= entry->since &&
         now - entry->since >= view->news_age_max + REMOVAL_MARGIN;
}

/* Writes what becomes of an entry to the call. */
static void plan_entry(const Entry *entry, const SoftwareView *view,
                       gboolean keeps, gboolean may_remove,
                       SoftwareSetCall *out, gint64 now) {
  if (keeps) {
    add_entry(out, entry->software, FALSE);
    if (entry->expiring)
      add_change(out, entry->software, SOFTWARE_UNMARKED);
  } else if (may_remove && !entry->expiring) {
    add_entry(out, entry->software, TRUE);
    add_change(out, entry->software, SOFTWARE_MARKED);
  } else if (may_remove && is_removal_due(entry, view, now)) {
    add_change(out, entry->software, SOFTWARE_REMOVED);
  } else {
    add_entry(out, entry->software, entry->expiring);
  }
}

/* Writes the content that the set should have to the call, and what that
** changes. */
static void plan(const Row *row, const SoftwareView *view,
                 const Wanted *wanted, SoftwareSetCall *out, gint64 now) {
  /* with more versions than are listed here, some may be wanted unseen */
  gboolean may_remove = has_followed(row, view) &&
                        wanted->count < SOFTWARE_SET_MAX &&
                        is_first(row, view);
  guint i;
  out->record.count = 0;
  out->change_count = 0;
  for (i = 0; i < row->count; i++)
    plan_entry(&row->entries[i], view,
               is_wanted(wanted, row->entries[i].software), may_remove, out,
               now);
  for (i = 0; i < wanted->count; i++) {
    guint64 software = wanted->versions[i].software;
    if (find_entry(row, software) != NULL ||
        out->record.count == SOFTWARE_SET_MAX)
      continue;
    add_entry(out, software, FALSE);
    add_change(out, software, SOFTWARE_ADDED);
  }
}

/* Returns when the set, which does not exist, is to be created, or with
** '*reads' set read again first (invariant 2). */
static gint64 creation_time(const SoftwareSets *sets, const Row *row,
                            const SoftwareView *view, gboolean *reads,
                            gint64 now) {
  gint64 at = view->followed_since + row->keep;
  *reads = FALSE;
  if (!is_first(row, view)) {
    at += CREATE_DELAY + spread(sets, row, CREATE_SPREAD);
    *reads = row->read_at < at;
  }
  if (now >= at && !has_followed(row, view))
    at = now + READ_SPREAD; /* the list is to be confirmed first */
  return MAX(at, row->retry_at);
}

/* Returns when the planned write is to be made, or with '*reads' set the set
** read again first: an instance that is not the first leaves it to that one to
** add versions, and adds them if they are lacking at its second read. */
static gint64 write_time(const SoftwareSets *sets, Row *row,
                         const SoftwareView *view, gboolean *reads,
                         gint64 now) {
  *reads = FALSE;
  if (row->state == SET_ABSENT)
    return creation_time(sets, row, view, reads, now);
  if (!row->is_lacking && !is_first(row, view)) {
    row->is_lacking = TRUE;
    row->must_read = TRUE;
    row->retry_at =
        MAX(row->retry_at, now + READ_SPREAD + spread(sets, row, READ_SPREAD));
    *reads = TRUE;
  }
  return row->retry_at;
}

/* Fills in the service's next call and returns when it is to be made;
** G_MAXINT64: none is needed now. */
static gint64 next_of(const SoftwareSets *sets, Row *row,
                      const SoftwareView *view, SoftwareSetCall *out,
                      gint64 now) {
  Wanted wanted = list_wanted(row, view);
  gint64 at = read_time(sets, row, view, &wanted);
  gboolean reads = TRUE;
  out->service = row->name;
  out->position = row->position;
  out->change_count = 0;
  if (at == G_MAXINT64) {
    plan(row, view, &wanted, out, now);
    if (out->change_count == 0) {
      row->is_lacking = FALSE;
      return G_MAXINT64;
    }
    at = write_time(sets, row, view, &reads, now);
  }
  if (reads)
    out->change_count = 0;
  out->operation = reads                      ? STORE_READ
                   : row->state == SET_ABSENT ? STORE_CREATE
                                              : STORE_REPLACE;
  return at;
}

static gboolean is_outdated(const SoftwareView *view, gint64 now) {
  return view->news_age_max > 0 &&
         now - view->confirmed_at > view->news_age_max;
}

gboolean software_sets_next_call(SoftwareSets *sets, const SoftwareView *view,
                                 SoftwareSetCall *out, gint64 *due,
                                 gint64 now) {
  guint i;
  *due = G_MAXINT64;
  sets->is_driven = TRUE;
  if (sets->open != 0 || view->followed_since == 0 || is_outdated(view, now))
    return FALSE;
  if (now < sets->check_at) {
    *due = sets->check_at;
    return FALSE;
  }
  for (i = 0; i < sets->rows->len; i++) {
    Row *row = sets->rows->pdata[i];
    gint64 at = next_of(sets, row, view, out, now);
    if (at <= now) {
      sets->open = row->service;
      sets->sent_at = now;
      return TRUE;
    }
    *due = MIN(*due, at);
  }
  sets->check_at = now + CHECK_INTERVAL;
  return FALSE;
}

/* }================================================================== */

/*
** {==================================================================
** Replies
** ===================================================================
*/

/* Takes the content of the object; versions whose mark has not changed keep
** the time since which that is known. */
static void take_record(Row *row, const SoftwareSetRecord *record,
                        gint64 now) {
  Entry entries[SOFTWARE_SET_MAX];
  guint i;
  for (i = 0; i < record->count; i++) {
    const Entry *known = find_entry(row, record->entries[i].software);
    entries[i].software = record->entries[i].software;
    entries[i].expiring = record->entries[i].expiring;
    entries[i].since = known != NULL && known->expiring == entries[i].expiring
                           ? known->since
                           : now;
  }
  memcpy(row->entries, entries, record->count * sizeof entries[0]);
  row->count = record->count;
}

static void fail(const SoftwareSets *sets, Row *row, gint64 now) {
  gint64 wait = RETRY_WAIT_MIN << MIN(row->failures, 4);
  row->failures++;
  row->must_read = TRUE; /* a write may have been carried out */
  row->retry_at = now + MIN(wait, RETRY_WAIT_MAX) + spread(sets, row, wait);
}

void software_sets_reply(SoftwareSets *sets, const SoftwareSetReply *reply,
                         gint64 now) {
  Row *row = find_row(sets, sets->open);
  sets->open = 0;
  sets->check_at = 0;
  if (row == NULL)
    return;
  if (reply->status == STORE_NOT_FOUND) {
    row->state = SET_ABSENT;
    row->count = 0;
  } else if (reply->record != NULL &&
             (reply->status == STORE_OK || reply->status == STORE_CONFLICT)) {
    row->state = SET_PRESENT;
    row->position = reply->position;
    take_record(row, reply->record, now);
  } else {
    fail(sets, row, now);
    return;
  }
  row->read_at = sets->sent_at;
  row->must_read = FALSE;
  row->failures = 0;
  row->retry_at = 0;
}

void software_sets_store_restored(SoftwareSets *sets, gint64 now) {
  guint i;
  sets->check_at = 0;
  for (i = 0; i < sets->rows->len; i++) {
    Row *row = sets->rows->pdata[i];
    row->state = SET_UNKNOWN;
    row->count = 0;
    row->is_lacking = FALSE;
    row->restored_at = now;
    row->retry_at = MAX(row->retry_at, now + spread(sets, row, READ_SPREAD));
  }
}

/* }================================================================== */

/* Returns TRUE if the set has been read since the list has been followed. */
static gboolean is_read(const Row *row, const SoftwareView *view) {
  return row->state != SET_UNKNOWN && view->followed_since != 0 &&
         row->read_at >= view->followed_since;
}

guint64 software_sets_only(const SoftwareSets *sets, guint32 service,
                           const SoftwareView *view, gint64 read_since,
                           gint64 now) {
  const Row *row = find_row(sets, service);
  guint64 only;
  if (row == NULL || !is_read(row, view) || row->read_at < read_since ||
      row->count != 1 ||
      (row->restored_at != 0 && now - row->restored_at < row->keep))
    return 0;
  only = software_history_only(view->history, service, view->followed_since);
  return only == row->entries[0].software ? only : 0;
}

const guint64 *software_sets_allowed(SoftwareSets *sets, guint32 service,
                                     const SoftwareView *view, guint *count) {
  Row *row = find_row(sets, service);
  guint i;
  *count = 0;
  if (row == NULL || row->state != SET_PRESENT || row->failures > 0)
    return NULL;
  for (i = 0; i < row->count; i++) {
    const Entry *entry = &row->entries[i];
    gint64 known =
        software_history_known_since(view->history, entry->software);
    if (!entry->expiring && is_read(row, view) && row->read_at >= known &&
        view->confirmed_at >= entry->since)
      row->allowed[(*count)++] = entry->software;
  }
  return row->allowed;
}

gboolean software_sets_want_read(SoftwareSets *sets, guint32 service,
                                 const SoftwareView *view, gint64 since) {
  Row *row = find_row(sets, service);
  if (!sets->is_driven || row == NULL || row->failures > 0 ||
      (is_read(row, view) && row->read_at >= since))
    return FALSE;
  row->wanted_at = MAX(row->wanted_at, since);
  sets->check_at = 0;
  return TRUE;
}
