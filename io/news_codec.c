/*
** news_codec.c
** What instances ask each other about the store's objects
*/

#include <stdlib.h>
#include <string.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "io/news_codec.h"
#include "router/text_patch.h"

#define STATUS_KNOWS_NOTHING 503
/* shorter answers are not compressed, bytes: they fit into a packet */
#define SHORT_ANSWER 1400

static HttpHead *write_call(const StoreCall *call, char **body) {
  GString *target = g_string_new(NEWS_PATH);
  HttpHead *head;
  *body = NULL;
  g_string_append_printf(target, "?kind=%d", (int)call->kind);
  if (call->operation == STORE_WATCH)
    g_string_append_printf(
        target, "&since=%" G_GINT64_FORMAT "&era=%" G_GUINT64_FORMAT,
        call->position.revision, call->position.era);
  if (call->digest != 0)
    g_string_append_printf(target, "&digest=%" G_GUINT64_FORMAT, call->digest);
  if (call->in_full)
    g_string_append(target, "&full=1");
  head = http_head_new_request("GET", target->str);
  http_head_add(head, "Host", "instance");
  g_string_free(target, TRUE);
  return head;
}

/* 0: it names none. The store counts from 1, so a negative one is none */
static gint64 read_count(const json_t *json, const char *key) {
  return MAX(json_integer_value(json_object_get(json, key)), 0);
}

static StorePosition read_position(const json_t *json, const char *key,
                                   guint64 era) {
  return store_position(era, read_count(json, key));
}

/* of an object: its own era, where it is not the answer's */
static guint64 read_era(const json_t *json, guint64 era) {
  return json_is_integer(json_object_get(json, "era"))
             ? (guint64)read_count(json, "era")
             : era;
}

static gboolean read_change(const json_t *json, guint64 era, GArray *changes) {
  const char *text = json_string_value(json_object_get(json, "patch"));
  GBytes *patch;
  guchar *bytes;
  gsize size;
  if (text == NULL)
    return FALSE;
  bytes = g_base64_decode(text, &size);
  patch = g_bytes_new_take(bytes, size);
  text_changes_add(changes, read_position(json, "from", era),
                   read_position(json, "to", era), patch);
  g_bytes_unref(patch);
  return TRUE;
}

/* NULL: there are none that can be read */
static GArray *read_changes(const json_t *json, guint64 era) {
  const json_t *list = json_object_get(json, "changes");
  GArray *changes;
  size_t i;
  if (!json_is_array(list))
    return NULL;
  changes = text_changes_new();
  for (i = 0; i < json_array_size(list); i++) {
    if (!read_change(json_array_get(list, i), era, changes)) {
      g_array_free(changes, TRUE);
      return NULL;
    }
  }
  return changes;
}

static gboolean read_object(const json_t *json, const StoreReply *reply) {
  guint64 era = read_era(json, reply->at.era);
  const char *name = json_string_value(json_object_get(json, "name"));
  const char *text = json_string_value(json_object_get(json, "text"));
  StoreObject object = {0};
  if (name == NULL)
    return FALSE;
  object.gone = json_is_true(json_object_get(json, "gone"));
  if (!object.gone && text == NULL)
    object.changes = read_changes(json, era);
  if (!object.gone && text == NULL && object.changes == NULL && !reply->whole)
    return FALSE;
  object.name = g_strdup(name);
  object.position = read_position(json, "revision", era);
  object.text = object.gone ? NULL : g_strdup(text);
  g_array_append_val(reply->objects, object);
  return TRUE;
}

static gboolean read_objects(const json_t *json, StoreReply *out) {
  const json_t *objects = json_object_get(json, "objects");
  size_t i;
  out->at = read_position(json, "at", (guint64)read_count(json, "era"));
  out->whole = json_is_true(json_object_get(json, "whole"));
  out->from_stale_list = json_is_true(json_object_get(json, "by_old_list"));
  if (store_position_is_none(out->at) || !json_is_array(objects))
    return FALSE;
  for (i = 0; i < json_array_size(objects); i++) {
    if (!read_object(json_array_get(objects, i), out))
      return FALSE;
  }
  return TRUE;
}

/* NULL: it is no JSON */
static json_t *load(const char *body, gsize size) {
  char *text;
  json_t *json;
  if (!text_patch_is_patch(body, size))
    return json_loadb(body, size, JSON_REJECT_DUPLICATES, NULL);
  text = text_patch_apply("", body, size);
  if (text == NULL)
    return NULL;
  json = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
  g_free(text);
  return json;
}

static gboolean read_reply(const StoreCall *call, int status, const char *body,
                           gsize size, StoreReply *out, GError **error) {
  json_t *json;
  gboolean good;
  (void)call;
  memset(out, 0, sizeof *out);
  out->status = STORE_FAILED;
  if (status != 200)
    return TRUE;
  json = load(body, size);
  out->objects = store_objects_new();
  good = read_objects(json, out);
  json_decref(json);
  out->status = STORE_OK;
  if (!good) {
    store_reply_clear(out);
    out->status = STORE_FAILED;
    g_set_error_literal(error, MP_ERROR, MP_ERR_STORE,
                        "an instance's news cannot be read; look at its log");
  }
  return good;
}

const StoreCodec news_codec = {write_call, read_reply, NULL};

static gboolean read_number(const struct evkeyvalq *query, const char *key,
                            guint64 most, guint64 *out) {
  const char *text = evhttp_find_header(query, key);
  return text != NULL &&
         g_ascii_string_to_unsigned(text, 10, 0, most, out, NULL);
}

gboolean news_read_query(const char *query, NewsQuery *out) {
  struct evkeyvalq fields = {0};
  guint64 number = 0;
  guint64 revision = 0;
  guint64 era = 0;
  guint64 digest = 0;
  guint64 full = 0;
  gboolean good;
  if (query == NULL || evhttp_parse_query_str(query, &fields) != 0)
    return FALSE;
  good = read_number(&fields, "kind", MP_RELAY_KINDS - 1, &number);
  if (evhttp_find_header(&fields, "since") != NULL)
    good = good && read_number(&fields, "since", G_MAXINT64, &revision);
  if (evhttp_find_header(&fields, "era") != NULL)
    good = good && read_number(&fields, "era", G_MAXUINT64, &era);
  if (evhttp_find_header(&fields, "digest") != NULL)
    good = good && read_number(&fields, "digest", G_MAXUINT64, &digest);
  if (evhttp_find_header(&fields, "full") != NULL)
    good = good && read_number(&fields, "full", 1, &full);
  evhttp_clear_headers(&fields);
  out->kind = (StoreKind)number;
  out->asked.since = store_position(era, (gint64)revision);
  out->asked.digest = digest;
  out->asked.in_full = full != 0;
  return good;
}

static json_t *write_changes(const GArray *changes) {
  json_t *list = json_array();
  guint i;
  for (i = 0; i < changes->len; i++) {
    const TextChange *change = &g_array_index(changes, TextChange, i);
    char *patch = g_base64_encode(g_bytes_get_data(change->patch, NULL),
                                  g_bytes_get_size(change->patch));
    json_array_append_new(
        list,
        json_pack("{s:I, s:I, s:s}", "from", (json_int_t)change->from.revision,
                  "to", (json_int_t)change->to.revision, "patch", patch));
    g_free(patch);
  }
  return list;
}

static json_t *write_object(const StoreObject *object, guint64 era) {
  json_t *json = json_pack("{s:s, s:I}", "name", object->name, "revision",
                           (json_int_t)object->position.revision);
  if (object->position.era != era)
    json_object_set_new(json, "era",
                        json_integer((json_int_t)object->position.era));
  if (object->gone)
    json_object_set_new(json, "gone", json_true());
  if (object->text != NULL)
    json_object_set_new(json, "text", json_string(object->text));
  if (object->changes != NULL)
    json_object_set_new(json, "changes", write_changes(object->changes));
  return json;
}

static GBytes *pack(const char *text) {
  gsize size = strlen(text);
  return size > SHORT_ANSWER ? text_patch_new("", text)
                             : g_bytes_new(text, size);
}

GBytes *news_write_reply(const StoreReply *reply) {
  json_t *objects = json_array();
  json_t *json;
  char *dumped;
  GBytes *out;
  guint i;
  for (i = 0; reply->objects != NULL && i < reply->objects->len; i++) {
    const StoreObject *object = &g_array_index(reply->objects, StoreObject, i);
    json_array_append_new(objects, write_object(object, reply->at.era));
  }
  json = json_pack("{s:I, s:I, s:b, s:o}", "era", (json_int_t)reply->at.era,
                   "at", (json_int_t)reply->at.revision, "whole",
                   (int)reply->whole, "objects", objects);
  if (reply->from_stale_list)
    json_object_set_new(json, "by_old_list", json_true());
  dumped = json_dumps(json, JSON_COMPACT);
  out = pack(dumped);
  free(dumped);
  json_decref(json);
  return out;
}

int news_reply_status(const StoreReply *reply) {
  return reply->status == STORE_OK ? 200 : STATUS_KNOWS_NOTHING;
}
