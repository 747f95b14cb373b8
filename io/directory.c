/*
** directory.c
** Keeps the router in step with the store, and registers this instance there
*/

#include <string.h>

#include "io/bad_records.h"
#include "io/directory.h"
#include "io/following.h"
#include "io/clock.h"
#include "io/instance_table.h"
#include "io/store_link.h"

/* how long the store may stay silent in a call that registers this instance */
#define CALL_TIMEOUT (1000 * MP_MS)
/* the same for the first such call, which delays the start; it usually takes
** some milliseconds */
#define FIRST_CALL_TIMEOUT (400 * MP_MS)
/* wait before a failed registration is tried again */
#define REGISTER_RETRY_DELAY (2 * MP_SEC)
/* wait before this instance registers again, after another writer has removed
** or changed its object; it keeps two instances of the same name from writing
** without a pause */
#define REREGISTER_DELAY (300 * MP_MS)
/* upper limit of a random addition to that wait when the store has lost this
** instance's object: a store that was restored from a copy may have lost those
** of all instances, which then write them at different times */
#define REREGISTER_JITTER (700 * MP_MS)
/* wait between the registration of a new instance and its first list of all
** instances, so that those that start with it can register as well: they start
** within 300 ms of each other */
#define FIRST_LIST_DELAY (500 * MP_MS)
/* Pauses between a reply that contains changes of one kind of objects and the
** next call about that kind. The next reply then contains all changes of the
** pause, so that not each of them costs a call. */
#define CONFIGURATION_PAUSE (300 * MP_MS)
#define ENDPOINTS_PAUSE (400 * MP_MS)
#define INSTANCES_PAUSE (2 * MP_SEC)
/* longest wait of one watch of the instances, which change rarely */
#define INSTANCES_WAIT (12 * MP_SEC)
/* The same for quarantine records. It may be long, because instances send
** these records to each other at once: the store only keeps them in case that
** the instances are lost. */
#define QUARANTINE_WAIT INSTANCES_WAIT
#define QUARANTINE_PAUSE (300 * MP_MS)

struct Directory {
  struct event_base *base;
  const Dialect *dialect;
  Router *router;
  RelayGroup *group;
  Log *log;
  DirectoryHooks hooks;
  char *instance;     /* name of this instance */
  InstanceRecord own; /* the record under which this instance registers */
  mp_Addr callers;    /* this and the next three: as in DirectoryOptions */
  mp_Addr ready;
  mp_Addr metrics;
  mp_Addr store;
  mp_Addr *seeds;
  Following *following[MP_RELAY_KINDS]; /* by StoreKind */
  GHashTable *instances;                /* name -> InstanceRecord */
  gboolean has_listed_instances; /* the instances have been listed once */
  BadRecords *bad; /* objects that have a name and cannot be used */
  StoreLink *registration;
  gboolean is_registering;      /* a call to register is open */
  gboolean registration_failed; /* the last such call failed */
  struct event *register_timer;
  gboolean is_started; /* the list of instances is followed */
  struct event *first_list_timer;
};

static void start_timer(struct event *timer, gint64 wait) {
  struct timeval time = {MAX(wait, 0) / MP_SEC, MAX(wait, 0) % MP_SEC};
  event_add(timer, &time);
}

/*
** {==================================================================
** Objects
** ===================================================================
*/

static void update_configuration(Directory *directory, const char *name,
                                 const char *text) {
  GError *error = NULL;
  RouteTable *table = directory->dialect->read_configuration(
      text, router_routes(directory->router), &error);
  if (table == NULL) {
    bad_records_add(directory->bad, STORE_CONFIGURATION, name, error);
    return;
  }
  bad_records_remove(directory->bad, STORE_CONFIGURATION, name);
  if (router_set_routes(directory->router, table, clock_now()))
    directory->hooks.configuration(directory->hooks.data, table);
  route_table_unref(table);
}

static void remove_endpoint(Directory *directory, const char *name) {
  EndpointRecord record = {0};
  record.id = (char *)name;
  router_set_endpoint(directory->router, &record, TRUE, clock_now());
}

/*
** Returns why no endpoint can have this address, or NULL. A request sent to an
** address of this instance would come back, or be answered by what is not an
** engine; the same holds for the store.
*/
static const char *misuse_of_address(const Directory *directory,
                                     mp_Addr address) {
  if (address == directory->store)
    return "the endpoint's address is the address of the store; correct the "
           "endpoint's entry";
  if (address == directory->callers || address == directory->ready ||
      address == directory->metrics || address == directory->own.control ||
      address == directory->own.exchange)
    return "the endpoint's address is an address of this instance; correct "
           "the endpoint's entry";
  return NULL;
}

/*
** Reads the record of an endpoint. Returns FALSE and sets an error when it is
** invalid, or its address is one of this instance or of the store.
*/
static gboolean read_endpoint(const Directory *directory,
                              const StoreObject *object, EndpointRecord *out,
                              GError **error) {
  const char *misuse;
  if (!directory->dialect->read_endpoint_record(object->name, object->text,
                                                out, error))
    return FALSE;
  out->position = object->position;
  misuse = misuse_of_address(directory, out->address);
  if (misuse == NULL)
    return TRUE;
  endpoint_record_clear(out);
  g_set_error_literal(error, RECORD_ERROR, RECORD_ADDRESS, misuse);
  return FALSE;
}

/*
** Handles a new or changed endpoint. One whose record cannot be read is
** removed from the router, whatever its record was before; requests that
** already run there go on.
*/
static void update_endpoint(Directory *directory, const StoreObject *object) {
  EndpointRecord record;
  GError *error = NULL;
  if (!read_endpoint(directory, object, &record, &error)) {
    bad_records_add(directory->bad, STORE_ENDPOINTS, object->name, error);
    remove_endpoint(directory, object->name);
    return;
  }
  bad_records_remove(directory->bad, STORE_ENDPOINTS, object->name);
  router_set_endpoint(directory->router, &record, FALSE, clock_now());
  endpoint_record_clear(&record);
}

/*
** Handles a new, changed or removed quarantine record. An operator removes a
** record to have its request sent to endpoints again.
*/
static void update_quarantine(Directory *directory,
                              const StoreObject *object) {
  QuarantineRecord record = {0};
  GError *error = NULL;
  guint64 content;
  if (object->gone) {
    if (g_ascii_string_to_unsigned(object->name, 16, 0, G_MAXUINT64, &content,
                                   NULL))
      router_remove_quarantine(directory->router, content, clock_now());
  } else if (directory->dialect->read_quarantine(object->name, object->text,
                                                 &record, &error)) {
    bad_records_remove(directory->bad, STORE_QUARANTINE, object->name);
    router_apply_quarantine(directory->router, &record, object->position,
                            clock_now());
  } else
    bad_records_add(directory->bad, STORE_QUARANTINE, object->name, error);
}

static gboolean is_registered(const Directory *directory);
static void update_instance(Directory *directory, const StoreObject *object);
static void report_instances(Directory *directory);
static void register_instance(Directory *directory);

static void on_object(void *data, StoreKind kind, const StoreObject *object) {
  Directory *directory = data;
  if (object->gone)
    bad_records_remove(directory->bad, kind, object->name);
  switch (kind) {
  case STORE_INSTANCES:
    update_instance(directory, object);
    break;
  case STORE_CONFIGURATION:
    if (!object->gone) /* after a removal the last configuration stays */
      update_configuration(directory, object->name, object->text);
    break;
  case STORE_QUARANTINE:
    update_quarantine(directory, object);
    break;
  default:
    if (object->gone)
      remove_endpoint(directory, object->name);
    else
      update_endpoint(directory, object);
  }
}

static void on_listed(void *data, StoreKind kind, GHashTable *names) {
  Directory *directory = data;
  log_numbered(directory->log, MP_LOG_STORE_LIST, " kind=%d objects=%u",
               (int)kind, g_hash_table_size(names));
  bad_records_keep(directory->bad, kind, names);
  if (kind == STORE_INSTANCES) {
    directory->has_listed_instances = TRUE;
    instance_table_keep(directory->instances, names);
    report_instances(directory);
    register_instance(directory);
  }
  if (kind == STORE_ENDPOINTS)
    router_keep_endpoints(directory->router, names, clock_now());
}

static void on_lost(void *data, StoreKind kind) {
  log_numbered(((Directory *)data)->log, MP_LOG_STORE_DOWN, " kind=%d",
               (int)kind);
}

static void on_regained(void *data, StoreKind kind) {
  log_numbered(((Directory *)data)->log, MP_LOG_STORE_UP, " kind=%d",
               (int)kind);
}

/* }================================================================== */

/*
** {==================================================================
** Instances: each has one object in the store, under its own name
** ===================================================================
*/

/* Hands the present set of instances to the relay group and the gateway. */
static void report_instances(Directory *directory) {
  unsigned count = g_hash_table_size(directory->instances);
  OtherInstances others;
  other_instances_collect(&others, directory->instances, directory->instance,
                          &directory->own);
  log_numbered(directory->log, MP_LOG_INSTANCES, " count=%u near=%u", count,
               others.near->len);
  relay_group_set_members(directory->group, others.members, others.far,
                          clock_now());
  directory->hooks.instances(directory->hooks.data, others.all, others.near,
                             others.carriers);
  other_instances_clear(&others);
}

static void update_instance(Directory *directory, const StoreObject *object) {
  InstanceRecord record = {0};
  GError *error = NULL;
  if (object->gone)
    g_hash_table_remove(directory->instances, object->name);
  else if (directory->dialect->read_instance(object->text, &record, &error)) {
    bad_records_remove(directory->bad, STORE_INSTANCES, object->name);
    g_hash_table_replace(directory->instances, g_strdup(object->name),
                         g_memdup2(&record, sizeof record));
  } else {
    /* the instance itself registers again when it receives this object */
    instance_record_clear(&record);
    bad_records_add(directory->bad, STORE_INSTANCES, object->name, error);
    g_hash_table_remove(directory->instances, object->name);
  }
  if (directory->has_listed_instances)
    report_instances(directory);
  if (strcmp(object->name, directory->instance) == 0 &&
      !is_registered(directory))
    start_timer(directory->register_timer, REREGISTER_DELAY);
}

/*
** FollowingHost.control_of: the address at which an instance answers queries
** for the store's objects; 0 when it is not known.
*/
static mp_Addr control_of(void *data, mp_Addr exchange) {
  const Directory *directory = data;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, directory->instances);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const InstanceRecord *instance = value;
    if (instance->exchange == exchange)
      return instance->control;
  }
  return 0;
}

/*
** This instance's object in the store. NULL if there is none, or if it was
** last seen before the store was restored from a copy (in an older era).
*/
static const FollowedObject *own_object(const Directory *directory) {
  const Follower *follower =
      following_follower(directory->following[STORE_INSTANCES]);
  const FollowedObject *object =
      g_hash_table_lookup(follower->objects, directory->instance);
  if (object == NULL || object->text == NULL ||
      object->position.era != follower->known.era)
    return NULL;
  return object;
}

/* Does the store have this instance's object, with the right record? */
static gboolean is_registered(const Directory *directory) {
  const InstanceRecord *registered =
      g_hash_table_lookup(directory->instances, directory->instance);
  return own_object(directory) != NULL && registered != NULL &&
         registered->exchange == directory->own.exchange &&
         registered->control == directory->own.control &&
         registered->capacity == directory->own.capacity &&
         strcmp(registered->zone, directory->own.zone) == 0;
}

/* The position of the object that a registration replaces, if there is one. */
static StorePosition registered_position(const Directory *directory) {
  const FollowedObject *object = own_object(directory);
  return object != NULL ? object->position : store_position_none();
}

/* Registers this instance, unless it is registered or a call is open. */
static void register_instance(Directory *directory) {
  StoreCall call = {0};
  if (directory->is_registering || is_registered(directory))
    return;
  directory->is_registering = TRUE;
  call.kind = STORE_INSTANCES;
  call.position = registered_position(directory);
  call.operation =
      store_position_is_none(call.position) ? STORE_CREATE : STORE_REPLACE;
  call.name = directory->instance;
  call.instance = &directory->own;
  store_link_call(directory->registration, &call,
                  directory->is_started ? CALL_TIMEOUT : FIRST_CALL_TIMEOUT);
}

static void on_register_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  register_instance(data);
}

static void follow_instances(Directory *directory) {
  directory->is_started = TRUE;
  following_poll(directory->following[STORE_INSTANCES]);
}

static void on_first_list_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  follow_instances(data);
}

/*
** Begins to follow the list of instances after the first attempt to register:
** after a wait when this instance is new, and at once when its object existed
** already or the store has failed.
*/
static void follow_after_registration(Directory *directory,
                                      StoreStatus status) {
  if (directory->is_started)
    return;
  if (status == STORE_FAILED)
    relay_group_skip_start_wait(directory->group);
  if (status == STORE_OK)
    start_timer(directory->first_list_timer, FIRST_LIST_DELAY);
  else
    follow_instances(directory);
}

/*
** Handles the reply to a registration. Whether it took effect is seen in the
** objects that are followed.
*/
static void on_register_reply(void *data, const StoreReply *reply,
                              const GError *error) {
  Directory *directory = data;
  directory->is_registering = FALSE;
  relay_group_observe_era(directory->group, reply->at.era);
  directory->registration_failed = reply->status == STORE_FAILED;
  event_del(directory->register_timer);
  if (directory->registration_failed) {
    log_numbered(directory->log, MP_LOG_NOT_ENTERED, " error=\"%s\"",
                 error->message);
    start_timer(directory->register_timer, REGISTER_RETRY_DELAY);
  } else if (!is_registered(directory) && reply->status != STORE_OK)
    /* another object exists, whose revision was not known here; the list that
    ** contains it may have been read while this call was open */
    start_timer(directory->register_timer, REREGISTER_DELAY);
  follow_after_registration(directory, reply->status);
}

/* }================================================================== */

/*
** {==================================================================
** One Following (following.h) for each kind of objects
** ===================================================================
*/

/*
** The store has answered a call. A failed registration is repeated at once
** rather than after the retry delay of 2 s, because until it is registered
** this instance is not counted in limits, retry budgets and relays.
*/
static void on_store_answer(void *data) {
  Directory *directory = data;
  if (directory->registration_failed)
    register_instance(directory);
  directory->hooks.news(directory->hooks.data);
}

static void make_following(Directory *directory,
                           const DirectoryOptions *options, StoreKind kind,
                           gint64 watch_wait, gint64 pause) {
  FollowingHost host = {
      {directory, on_object, on_listed, on_lost, on_regained},
      control_of,
      on_store_answer};
  FollowingOptions settings = {0};
  settings.kind = kind;
  settings.watch_wait = watch_wait;
  settings.pause = pause;
  settings.proof_wait_max =
      kind == STORE_CONFIGURATION ? options->proof_wait_max : 0;
  settings.store = options->store;
  settings.seeds = directory->seeds;
  settings.seeds_count = options->seeds_count;
  directory->following[kind] =
      following_new(directory->base, directory->dialect, &settings,
                    directory->group, &host, directory->log);
}

static void make_followings(Directory *directory,
                            const DirectoryOptions *options) {
  make_following(directory, options, STORE_CONFIGURATION, options->watch_wait,
                 CONFIGURATION_PAUSE);
  make_following(directory, options, STORE_ENDPOINTS, options->watch_wait,
                 ENDPOINTS_PAUSE);
  make_following(directory, options, STORE_INSTANCES, INSTANCES_WAIT,
                 INSTANCES_PAUSE);
  make_following(directory, options, STORE_QUARANTINE, QUARANTINE_WAIT,
                 QUARANTINE_PAUSE);
}

/* }================================================================== */

Directory *directory_new(struct event_base *base, const Dialect *dialect,
                         const DirectoryOptions *options, Router *router,
                         RelayGroup *group, Log *log,
                         const DirectoryHooks *hooks) {
  Directory *directory = g_new0(Directory, 1);
  directory->base = base;
  directory->dialect = dialect;
  directory->router = router;
  directory->group = group;
  directory->log = log;
  directory->bad = bad_records_new(log);
  directory->hooks = *hooks;
  directory->instance = g_strdup(options->instance);
  directory->own.exchange = options->exchange;
  directory->own.control = options->control;
  directory->callers = options->callers;
  directory->ready = options->ready;
  directory->metrics = options->metrics;
  directory->store = options->store;
  directory->own.zone = g_strdup(options->zone);
  directory->own.capacity = options->capacity;
  directory->seeds =
      g_memdup2(options->seeds, options->seeds_count * sizeof *options->seeds);
  directory->instances = instance_table_new();
  directory->registration = store_link_new(
      base, options->store, &dialect->store, on_register_reply, directory);
  directory->register_timer = evtimer_new(base, on_register_timer, directory);
  directory->first_list_timer =
      evtimer_new(base, on_first_list_timer, directory);
  make_followings(directory, options);
  register_instance(directory);
  directory_poll(directory);
  return directory;
}

void directory_free(Directory *directory) {
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    following_free(directory->following[kind]);
  store_link_free(directory->registration);
  event_free(directory->register_timer);
  event_free(directory->first_list_timer);
  g_hash_table_destroy(directory->instances);
  bad_records_free(directory->bad);
  instance_record_clear(&directory->own);
  g_free(directory->instance);
  g_free(directory->seeds);
  g_free(directory);
}

/*
** Starts the timer to register again, if the store has lost this instance's
** object, which happens when it is restored from a copy.
*/
static void check_registration(Directory *directory) {
  gint64 wait;
  if (!directory->has_listed_instances || directory->is_registering ||
      is_registered(directory) ||
      event_pending(directory->register_timer, EV_TIMEOUT, NULL))
    return;
  wait = REREGISTER_DELAY +
         g_random_int_range(0, REREGISTER_JITTER / MP_MS) * MP_MS;
  start_timer(directory->register_timer, wait);
}

void directory_poll(Directory *directory) {
  int kind;
  router_observe_era(directory->router, relay_group_era(directory->group),
                     clock_now());
  check_registration(directory);
  for (kind = 0; kind < MP_RELAY_KINDS; kind++) {
    if (kind != STORE_INSTANCES || directory->is_started)
      following_poll(directory->following[kind]);
  }
}

void directory_answer_query(const Directory *directory, const NewsQuery *query,
                            StoreReply *out) {
  follower_answer(following_follower(directory->following[query->kind]),
                  &query->asked, out);
}

void directory_newest_changes(const Directory *directory,
                              StorePosition changed[MP_RELAY_KINDS]) {
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    changed[kind] = following_follower(directory->following[kind])->changed;
}

/*
** Have the objects of this kind been listed, by the store or by another
** instance?
*/
static gboolean is_known(const Directory *directory, StoreKind kind) {
  return follower_is_synced(following_follower(directory->following[kind]));
}

gboolean directory_is_loaded(const Directory *directory) {
  return is_known(directory, STORE_CONFIGURATION) &&
         is_known(directory, STORE_ENDPOINTS);
}

gboolean directory_has_endpoints(const Directory *directory) {
  return is_known(directory, STORE_ENDPOINTS);
}

guint64 directory_bad_objects(const Directory *directory, StoreKind kind,
                              RecordField field) {
  guint64 unreadable_names =
      field == RECORD_NAME
          ? following_nameless_objects(directory->following[kind])
          : 0;
  return bad_records_total(directory->bad, kind, field) + unreadable_names;
}

guint directory_unusable_objects(const Directory *directory, StoreKind kind) {
  return bad_records_present(directory->bad, kind);
}

guint64 directory_store_calls(const Directory *directory) {
  guint64 calls = store_link_calls(directory->registration);
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    calls += following_store_calls(directory->following[kind]);
  return calls;
}

guint64 directory_abandoned_store_calls(const Directory *directory) {
  guint64 calls = 0;
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    calls += following_abandoned_calls(directory->following[kind]);
  return calls;
}
