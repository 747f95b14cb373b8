/*
** directory.c
** Keeps the router in step with the store
*/

#include <string.h>

#include "io/directory.h"
#include "io/following.h"
#include "io/clock.h"
#include "io/store_link.h"

/* a call that enters this instance is given up after this */
#define CALL_PATIENCE (1000 * MP_MS)
/* the first such call, on which the start waits; it takes some milliseconds */
#define FIRST_CALL_PATIENCE (400 * MP_MS)
/* the wait before an instance tries again to enter its own object */
#define REGISTER_RETRY (2 * MP_SEC)
/* its own object was removed or spoilt by another writer: it stands again
** after this, and two instances under one name do not write without a pause */
#define ENTER_AGAIN (300 * MP_MS)
/* a restored store may have lost the entries of all instances: they write them
** again within this, one after the other by chance */
#define ENTER_SPREAD (700 * MP_MS)
/* a new instance gives those that start beside it this time to enter
** themselves, before it lists all: they start within 300 ms of each other */
#define SETTLE (500 * MP_MS)
/* pauses after news of a kind, so that more news cost no call each */
#define CONFIGURATION_PAUSE (300 * MP_MS)
#define ENDPOINTS_PAUSE (400 * MP_MS)
#define INSTANCES_PAUSE (2 * MP_SEC)
/* longest wait of a watch of the instances: they change rarely */
#define INSTANCES_WAIT (12 * MP_SEC)
/* the same of requests that end endpoints: instances tell each other of these
** at once, the store holds what must outlast them */
#define QUARANTINE_WAIT INSTANCES_WAIT
#define QUARANTINE_PAUSE (300 * MP_MS)

struct Directory {
  struct event_base *base;
  const Dialect *dialect;
  Router *router;
  RelayGroup *group;
  Log *log;
  DirectoryHooks hooks;
  char *instance;
  InstanceRecord own; /* as it is entered */
  mp_Addr callers;    /* where callers reach this instance */
  mp_Addr *seeds;
  Following *following[MP_RELAY_KINDS]; /* by StoreKind */
  GHashTable *instances;                /* name -> InstanceRecord */
  gboolean instances_listed;
  /* by StoreKind and by the field that is wrong */
  guint64 bad_objects[MP_RELAY_KINDS][RECORD_FIELD_COUNT];
  StoreLink *registration;
  gboolean registering;  /* a call is out */
  gboolean entry_failed; /* the store did not take the last one */
  struct event *register_timer;
  gboolean is_started; /* the instances are followed */
  struct event *settle_timer;
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

/* told once for each revision: a follower hands an object on when it is new */
static void bad_record(Directory *directory, StoreKind kind, const char *name,
                       GError *error) {
  directory->bad_objects[kind][record_error_field(error)]++;
  log_numbered(directory->log, MP_LOG_STORE_RECORD_BAD,
               " kind=%d name=%s error=\"%s\"", (int)kind, name,
               error != NULL ? error->message : "unreadable");
  g_clear_error(&error);
}

static void take_configuration(Directory *directory, const char *name,
                               const char *text) {
  GError *error = NULL;
  RouteTable *table = directory->dialect->read_configuration(
      text, router_routes(directory->router), &error);
  if (table == NULL) {
    bad_record(directory, STORE_CONFIGURATION, name, error);
    return;
  }
  if (router_set_routes(directory->router, table, clock_now()))
    directory->hooks.configuration(directory->hooks.data, table);
  route_table_unref(table);
}

static void drop_endpoint(Directory *directory, const char *name) {
  EndpointRecord record = {0};
  record.id = (char *)name;
  router_set_endpoint(directory->router, &record, TRUE, clock_now());
}

/* a request that is sent there would come back */
static gboolean is_own(const Directory *directory, mp_Addr address) {
  return address == directory->callers || address == directory->own.control ||
         address == directory->own.exchange;
}

static gboolean read_endpoint(const Directory *directory,
                              const StoreObject *object, EndpointRecord *out,
                              GError **error) {
  if (!directory->dialect->read_endpoint_record(object->name, object->text,
                                                out, error))
    return FALSE;
  out->position = object->position;
  if (!is_own(directory, out->address))
    return TRUE;
  endpoint_record_clear(out);
  g_set_error_literal(error, RECORD_ERROR, RECORD_ADDRESS,
                      "the address is this instance's own; correct the entry");
  return FALSE;
}

/* an entry that can't be read names nobody to use, whatever it said before;
** runs that are under way there go on */
static void take_endpoint(Directory *directory, const StoreObject *object) {
  EndpointRecord record;
  GError *error = NULL;
  if (!read_endpoint(directory, object, &record, &error)) {
    bad_record(directory, STORE_ENDPOINTS, object->name, error);
    drop_endpoint(directory, object->name);
    return;
  }
  router_set_endpoint(directory->router, &record, FALSE, clock_now());
  endpoint_record_clear(&record);
}

/* an operator lifts a hold by removing the object */
static void take_quarantine(Directory *directory, const StoreObject *object) {
  QuarantineRecord record = {0};
  GError *error = NULL;
  guint64 content;
  if (object->gone) {
    if (g_ascii_string_to_unsigned(object->name, 16, 0, G_MAXUINT64, &content,
                                   NULL))
      router_remove_quarantine(directory->router, content, clock_now());
  } else if (directory->dialect->read_quarantine(object->name, object->text,
                                                 &record, &error))
    router_apply_quarantine(directory->router, &record, object->position,
                            clock_now());
  else
    bad_record(directory, STORE_QUARANTINE, object->name, error);
}

static gboolean is_entered(const Directory *directory);
static void take_instance(Directory *directory, const StoreObject *object);
static void tell_instances(Directory *directory);
static void enter(Directory *directory);

static void on_object(void *data, StoreKind kind, const StoreObject *object) {
  Directory *directory = data;
  switch (kind) {
  case STORE_INSTANCES:
    take_instance(directory, object);
    break;
  case STORE_CONFIGURATION:
    if (!object->gone) /* without one, the last one stays in force */
      take_configuration(directory, object->name, object->text);
    break;
  case STORE_QUARANTINE:
    take_quarantine(directory, object);
    break;
  default:
    if (object->gone)
      drop_endpoint(directory, object->name);
    else
      take_endpoint(directory, object);
  }
}

static gboolean is_unlisted(gpointer name, gpointer instance, gpointer names) {
  (void)instance;
  return !g_hash_table_contains(names, name);
}

static void on_listed(void *data, StoreKind kind, GHashTable *names) {
  Directory *directory = data;
  log_numbered(directory->log, MP_LOG_STORE_LIST, " kind=%d objects=%u",
               (int)kind, g_hash_table_size(names));
  if (kind == STORE_INSTANCES) {
    directory->instances_listed = TRUE;
    g_hash_table_foreach_remove(directory->instances, is_unlisted, names);
    tell_instances(directory);
    enter(directory);
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
** Instances: each keeps one object under its own name
** ===================================================================
*/

static void instance_free(gpointer p) {
  instance_record_clear(p);
  g_free(p);
}

static gboolean is_near(const Directory *directory,
                        const InstanceRecord *instance) {
  return instance->control != 0 && directory->own.control != 0 &&
         strcmp(instance->zone, directory->own.zone) == 0;
}

/* the other instances: everywhere, here, and elsewhere */
typedef struct Others {
  GArray *all;     /* mp_Addr */
  GArray *near;    /* mp_Addr */
  GArray *members; /* RelayMember, of this data centre */
  GArray *far;     /* RelayMember */
} Others;

static void others_add(const Directory *directory, Others *others,
                       const InstanceRecord *instance) {
  RelayMember member = {instance->exchange, g_str_hash(instance->zone),
                        instance->capacity};
  g_array_append_val(others->all, instance->exchange);
  if (is_near(directory, instance)) {
    g_array_append_val(others->near, instance->exchange);
    g_array_append_val(others->members, member);
  } else if (instance->control != 0 && directory->own.control != 0)
    g_array_append_val(others->far, member);
}

static void others_collect(const Directory *directory, Others *others) {
  GHashTableIter iterator;
  gpointer name;
  gpointer value;
  others->all = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  others->near = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  others->members = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  others->far = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  g_hash_table_iter_init(&iterator, directory->instances);
  while (g_hash_table_iter_next(&iterator, &name, &value)) {
    if (strcmp(name, directory->instance) != 0)
      others_add(directory, others, value);
  }
}

static void others_clear(Others *others) {
  g_array_free(others->all, TRUE);
  g_array_free(others->near, TRUE);
  g_array_free(others->members, TRUE);
  g_array_free(others->far, TRUE);
}

static void tell_instances(Directory *directory) {
  unsigned count = g_hash_table_size(directory->instances);
  Others others;
  others_collect(directory, &others);
  log_numbered(directory->log, MP_LOG_INSTANCES, " count=%u near=%u", count,
               others.near->len);
  relay_group_set_members(directory->group, others.members, others.far,
                          clock_now());
  directory->hooks.instances(directory->hooks.data, others.all, others.near);
  others_clear(&others);
}

static void take_instance(Directory *directory, const StoreObject *object) {
  InstanceRecord read = {0};
  GError *error = NULL;
  if (object->gone)
    g_hash_table_remove(directory->instances, object->name);
  else if (directory->dialect->read_instance(object->text, &read, &error)) {
    g_hash_table_replace(directory->instances, g_strdup(object->name),
                         g_memdup2(&read, sizeof read));
  } else {
    /* whose it is writes it again, once it reads its own (is_entered) */
    instance_record_clear(&read);
    bad_record(directory, STORE_INSTANCES, object->name, error);
    g_hash_table_remove(directory->instances, object->name);
  }
  if (directory->instances_listed)
    tell_instances(directory);
  if (strcmp(object->name, directory->instance) == 0 && !is_entered(directory))
    start_timer(directory->register_timer, ENTER_AGAIN);
}

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

/* this instance's own object, if the store has it in its present era */
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

static gboolean is_entered(const Directory *directory) {
  const InstanceRecord *entered =
      g_hash_table_lookup(directory->instances, directory->instance);
  return own_object(directory) != NULL && entered != NULL &&
         entered->exchange == directory->own.exchange &&
         entered->control == directory->own.control &&
         entered->capacity == directory->own.capacity &&
         strcmp(entered->zone, directory->own.zone) == 0;
}

/* the object's position when one stands there that says something else */
static StorePosition entered_position(const Directory *directory) {
  const FollowedObject *object = own_object(directory);
  return object != NULL ? object->position : store_position_none();
}

/* have this instance's own object stand in the store */
static void enter(Directory *directory) {
  StoreCall call = {0};
  if (directory->registering || is_entered(directory))
    return;
  directory->registering = TRUE;
  call.kind = STORE_INSTANCES;
  call.position = entered_position(directory);
  call.operation =
      store_position_is_none(call.position) ? STORE_CREATE : STORE_REPLACE;
  call.name = directory->instance;
  call.instance = &directory->own;
  store_link_call(directory->registration, &call,
                  directory->is_started ? CALL_PATIENCE : FIRST_CALL_PATIENCE);
}

static void on_register_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  enter(data);
}

static void begin_following(Directory *directory) {
  directory->is_started = TRUE;
  following_poll(directory->following[STORE_INSTANCES]);
}

static void on_settle_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  begin_following(data);
}

/* one that has been there before finds the others at once */
static void begin_after(Directory *directory, StoreStatus status) {
  if (directory->is_started)
    return;
  if (status == STORE_FAILED)
    relay_group_skip_start_wait(directory->group);
  if (status == STORE_OK)
    start_timer(directory->settle_timer, SETTLE);
  else
    begin_following(directory);
}

/* whether it took effect is seen in the instances that are followed */
static void on_register_reply(void *data, const StoreReply *reply,
                              const GError *error) {
  Directory *directory = data;
  directory->registering = FALSE;
  relay_group_observe_era(directory->group, reply->at.era);
  directory->entry_failed = reply->status == STORE_FAILED;
  event_del(directory->register_timer);
  if (directory->entry_failed) {
    log_numbered(directory->log, MP_LOG_NOT_ENTERED, " error=\"%s\"",
                 error->message);
    start_timer(directory->register_timer, REGISTER_RETRY);
  } else if (!is_entered(directory) && reply->status != STORE_OK)
    /* another object stands there, and its revision was not known: the list
    ** that tells it may have been taken while this call was out */
    start_timer(directory->register_timer, ENTER_AGAIN);
  begin_after(directory, reply->status);
}

/* }================================================================== */

/*
** {==================================================================
** Following
** ===================================================================
*/

/*
** The store answers: an entry that failed is made up for at once. Until it is
** there nobody counts this instance, and limits, budgets and relays miss it
** (the retry timer alone would let 2 s pass).
*/
static void on_answered(void *data) {
  Directory *directory = data;
  if (directory->entry_failed)
    enter(directory);
  directory->hooks.news(directory->hooks.data);
}

static void follow(Directory *directory, const DirectoryOptions *options,
                   StoreKind kind, gint64 watch_wait, gint64 pause) {
  FollowingHost host = {
      {directory, on_object, on_listed, on_lost, on_regained},
      control_of,
      on_answered};
  FollowingOptions follow = {0};
  follow.kind = kind;
  follow.watch_wait = watch_wait;
  follow.pause = pause;
  follow.proof_wait_max =
      kind == STORE_CONFIGURATION ? options->proof_wait_max : 0;
  follow.store = options->store;
  follow.seeds = directory->seeds;
  follow.seeds_count = options->seeds_count;
  directory->following[kind] =
      following_new(directory->base, directory->dialect, &follow,
                    directory->group, &host, directory->log);
}

static void follow_all(Directory *directory, const DirectoryOptions *options) {
  follow(directory, options, STORE_CONFIGURATION, options->watch_wait,
         CONFIGURATION_PAUSE);
  follow(directory, options, STORE_ENDPOINTS, options->watch_wait,
         ENDPOINTS_PAUSE);
  follow(directory, options, STORE_INSTANCES, INSTANCES_WAIT, INSTANCES_PAUSE);
  follow(directory, options, STORE_QUARANTINE, QUARANTINE_WAIT,
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
  directory->hooks = *hooks;
  directory->instance = g_strdup(options->instance);
  directory->own.exchange = options->exchange;
  directory->own.control = options->control;
  directory->callers = options->callers;
  directory->own.zone = g_strdup(options->zone);
  directory->own.capacity = options->capacity;
  directory->seeds =
      g_memdup2(options->seeds, options->seeds_count * sizeof *options->seeds);
  directory->instances =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, instance_free);
  directory->registration = store_link_new(
      base, options->store, &dialect->store, on_register_reply, directory);
  directory->register_timer = evtimer_new(base, on_register_timer, directory);
  directory->settle_timer = evtimer_new(base, on_settle_timer, directory);
  follow_all(directory, options);
  enter(directory);
  directory_poll(directory);
  return directory;
}

void directory_free(Directory *directory) {
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    following_free(directory->following[kind]);
  store_link_free(directory->registration);
  event_free(directory->register_timer);
  event_free(directory->settle_timer);
  g_hash_table_destroy(directory->instances);
  instance_record_clear(&directory->own);
  g_free(directory->instance);
  g_free(directory->seeds);
  g_free(directory);
}

/* a restored store may have lost this instance's entry */
static void look_at_entry(Directory *directory) {
  gint64 wait;
  if (!directory->instances_listed || directory->registering ||
      is_entered(directory) ||
      event_pending(directory->register_timer, EV_TIMEOUT, NULL))
    return;
  wait = ENTER_AGAIN + g_random_int_range(0, ENTER_SPREAD / MP_MS) * MP_MS;
  start_timer(directory->register_timer, wait);
}

void directory_poll(Directory *directory) {
  int kind;
  router_observe_era(directory->router, relay_group_era(directory->group),
                     clock_now());
  look_at_entry(directory);
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

static gboolean knows(const Directory *directory, StoreKind kind) {
  return follower_is_synced(following_follower(directory->following[kind]));
}

gboolean directory_is_loaded(const Directory *directory) {
  return knows(directory, STORE_CONFIGURATION) &&
         knows(directory, STORE_ENDPOINTS);
}

gboolean directory_has_endpoints(const Directory *directory) {
  return knows(directory, STORE_ENDPOINTS);
}

guint64 directory_bad_objects(const Directory *directory, StoreKind kind,
                              RecordField field) {
  guint64 unreadable_names =
      field == RECORD_NAME
          ? following_nameless_objects(directory->following[kind])
          : 0;
  return directory->bad_objects[kind][field] + unreadable_names;
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
