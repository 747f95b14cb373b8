/*
** madderpier.c
** The operators' command
** Exit codes: 0 done, 1 no (a difference, a conflict, a place forbidden),
** 2 wrong use or wrong configuration, 3 platform or instance away.
*/

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "cli/apply.h"
#include "cli/client.h"
#include "cli/diff.h"
#include "cli/trace.h"
#include "conf/conf.h"

#define EXIT_NO 1
#define EXIT_WRONG 2
#define EXIT_AWAY 3

const char *argp_program_version = "madderpier " MP_VERSION;

typedef struct Args {
  const char *platform;
  const char *by;
  const char *class_name;
  const char *account;
  int json;
  char **word; /* the command and its arguments */
  int n;
} Args;

static const struct argp_option options[] = {
    {"platform", 'p', "ADDRESS:PORT", 0,
     "The platform's object API (or MADDERPIER_PLATFORM)", 0},
    {"by", 'b', "NAME", 0, "Who applies, for the audit trail (or USER)", 0},
    {"class", 'c', "CLASS", 0, "explain: the class of request", 0},
    {"account", 'a', "ACCOUNT", 0, "explain: the client account", 0},
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {0}};

static error_t parse(int key, char *arg, struct argp_state *state) {
  Args *a = state->input;
  switch (key) {
  case 'p':
    a->platform = arg;
    return 0;
  case 'b':
    a->by = arg;
    return 0;
  case 'c':
    a->class_name = arg;
    return 0;
  case 'a':
    a->account = arg;
    return 0;
  case 'j':
    a->json = 1;
    return 0;
  case ARGP_KEY_ARGS:
    a->word = state->argv + state->next;
    a->n = state->argc - state->next;
    return 0;
  case ARGP_KEY_NO_ARGS:
    argp_usage(state);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static const struct argp argp = {
    options,
    parse,
    "COMMAND [ARGUMENT...]",
    "Operate madderpier.\v"
    "Commands:\n"
    "  check DIR            check a configuration, without the platform\n"
    "  diff DIR             what DIR would change\n"
    "  apply DIR            put DIR in force, as a whole or not at all\n"
    "  show [SECTION]       the configuration in force\n"
    "  status [ADDRESS...]  instances, their versions, their endpoints\n"
    "  explain -c CLASS     where a class may run, and what forbids the "
    "rest\n"
    "  drain NAME...        no new work for these endpoints or data "
    "centres\n"
    "  undrain NAME...      take that back\n"
    "  stop ADDRESS         drain an instance (its operators' address)\n"
    "  trace ID [FILE...]   one request's story, from logs (or standard "
    "input)\n"
    "  audit                who changed what, and how it ended\n"
    "Exit codes: 0 done; 1 no (difference, conflict, forbidden); 2 wrong "
    "use or configuration; 3 platform or instance away.",
    NULL,
    NULL,
    NULL};

/*
** {==================================================================
** Reporting
** ===================================================================
*/

static int fail(const Args *a, GError *err) {
  int code = EXIT_WRONG;
  if (err->domain == MP_ERROR && err->code == MP_ERR_CONFLICT)
    code = EXIT_NO;
  if (err->domain == MP_ERROR && err->code == MP_ERR_STORE)
    code = EXIT_AWAY;
  if (a->json) {
    json_t *j = json_pack(
        "{s:{s:s, s:s}}", "error", "kind",
        err->domain == MP_ERROR ? mp_error_name((mp_Error)err->code) : "file",
        "message", err->message);
    json_dumpf(j, stdout, JSON_COMPACT);
    printf("\n");
    json_decref(j);
  } else
    fprintf(stderr, "madderpier: %s\n", err->message);
  g_error_free(err);
  return code;
}

static void done(const Args *a, const char *what, uint64_t version) {
  if (a->json)
    printf("{\"%s\": %" G_GUINT64_FORMAT "}\n", what, (guint64)version);
  else
    printf("%s: version %" G_GUINT64_FORMAT "\n", what, (guint64)version);
}

static int usage(const char *what) {
  fprintf(stderr, "madderpier: %s; see 'madderpier --help'\n", what);
  return EXIT_WRONG;
}

/* }================================================================== */

/*
** {==================================================================
** Configuration
** ===================================================================
*/

static int check(const Args *a) {
  GError *err = NULL;
  Draft d;
  if (a->n != 2)
    return usage("check needs a folder");
  if (!draft_read(a->word[1], &d, &err))
    return fail(a, err);
  if (a->json)
    printf("{\"good\": true, \"sections\": %u}\n", d.man.n);
  else
    printf("%s: good, %u sections\n", a->word[1], d.man.n);
  draft_free(&d);
  return 0;
}

static int diff(const Args *a) {
  GError *err = NULL;
  Draft new;
  Draft old;
  uint64_t object;
  int n;
  if (a->n != 2)
    return usage("diff needs a folder");
  if (!draft_read(a->word[1], &new, &err))
    return fail(a, err);
  if (!draft_fetch(&old, &object, &err)) {
    draft_free(&new);
    return fail(a, err);
  }
  n = a->json ? diff_json(&old, &new) : diff_print(&old, &new);
  draft_free(&old);
  draft_free(&new);
  return n > 0 ? EXIT_NO : 0;
}

static int applydir(const Args *a) {
  GError *err = NULL;
  Draft new;
  Draft old;
  uint64_t object;
  int code = 0;
  if (a->n != 2)
    return usage("apply needs a folder");
  if (!draft_read(a->word[1], &new, &err))
    return fail(a, err);
  if (!draft_fetch(&old, &object, &err)) {
    draft_free(&new);
    return fail(a, err);
  }
  if (apply(&new, &old, object, a->by, &err))
    done(a, "applied", new.man.version);
  else
    code = fail(a, err);
  draft_free(&old);
  draft_free(&new);
  return code;
}

static int show(const Args *a) {
  GError *err = NULL;
  Draft d;
  uint64_t object;
  unsigned i;
  if (!draft_fetch(&d, &object, &err))
    return fail(a, err);
  if (a->json) {
    char *s = mp_manifest_write(&d.man);
    printf("%s\n", s);
    g_free(s);
  } else
    printf("# version %" G_GUINT64_FORMAT " by %s at %s, apply %s\n",
           (guint64)d.man.version, d.man.by, d.man.when, d.man.apply_id);
  for (i = 0; i < d.man.n && !a->json; i++) {
    gsize n;
    const char *s = g_bytes_get_data(d.text[i], &n);
    if (a->n > 1 && strcmp(a->word[1], d.man.section[i].name) != 0)
      continue;
    printf("# --- %s\n%.*s", d.man.section[i].name, (int)n, s);
  }
  draft_free(&d);
  return 0;
}

static int explain(const Args *a) {
  GError *err = NULL;
  Draft d;
  uint64_t object;
  mp_Config *c;
  unsigned i;
  unsigned open = 0;
  json_t *all = json_array();
  if (a->class_name == NULL)
    return usage("explain needs --class");
  if (!draft_fetch(&d, &object, &err))
    return fail(a, err);
  c = mp_config_read(&d.man, d.text, &err);
  draft_free(&d);
  if (c == NULL)
    return fail(a, err);
  for (i = 0; i < c->data_centres_count; i++) {
    const char *dc = c->data_centres[i].name;
    const char *why = mp_explain(c, a->class_name, a->account, dc);
    open += why == NULL;
    json_array_append_new(all, json_pack("{s:s, s:b, s:s}", "data_centre", dc,
                                         "may_run", why == NULL, "why",
                                         why != NULL ? why : "permitted"));
    if (!a->json)
      printf("%-16s %s%s\n", dc,
             why == NULL ? "may run" : "no: ", why != NULL ? why : "");
  }
  if (a->json) {
    json_dumpf(all, stdout, JSON_INDENT(1));
    printf("\n");
  }
  json_decref(all);
  mp_config_free(c);
  return open > 0 ? 0 : EXIT_NO;
}

/* }================================================================== */

/*
** {==================================================================
** Draining
** ===================================================================
*/

#define DRAINED "drained.yaml"

/* names in the drained section, as a set */
static GHashTable *drainednames(const Draft *d, GError **err) {
  GHashTable *t = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  mp_Config *c = mp_config_read(&d->man, d->text, err);
  unsigned i;
  if (c == NULL) {
    g_hash_table_destroy(t);
    return NULL;
  }
  for (i = 0; i < c->drained_count; i++)
    g_hash_table_add(t, g_strdup(c->drained[i]));
  mp_config_free(c);
  return t;
}

static GString *drainedtext(GHashTable *names) {
  GString *g = g_string_new("# Written by 'madderpier drain'.\ndrained: [");
  GList *all = g_list_sort(g_hash_table_get_keys(names), (GCompareFunc)strcmp);
  GList *l;
  for (l = all; l != NULL; l = l->next)
    g_string_append_printf(g, "%s%s", l == all ? "" : ", ", (char *)l->data);
  g_string_append(g, "]\n");
  g_list_free(all);
  return g;
}

/* the draft with some names added to, or taken out of, the drained ones */
static int redrain(const Args *a, const Draft *old, Draft *new, int out,
                   GError **err) {
  GHashTable *names = drainednames(old, err);
  GString *text;
  unsigned i;
  int ok = 1;
  int k;
  memset(new, 0, sizeof *new);
  if (names == NULL)
    return 0;
  for (k = 1; k < a->n; k++) {
    if (out)
      g_hash_table_remove(names, a->word[k]);
    else
      g_hash_table_add(names, g_strdup(a->word[k]));
  }
  text = drainedtext(names);
  for (i = 0; ok && i < old->man.n; i++) {
    gsize n;
    const char *s = g_bytes_get_data(old->text[i], &n);
    ok = draft_set(new, old->man.section[i].name, s, n, err);
  }
  ok = ok && draft_set(new, DRAINED, text->str, text->len, err) &&
       draft_check(new, err);
  g_string_free(text, TRUE);
  g_hash_table_destroy(names);
  return ok;
}

static int drain(const Args *a, int out) {
  GError *err = NULL;
  Draft old;
  Draft new;
  uint64_t object;
  int code = 0;
  if (a->n < 2)
    return usage("name endpoints or data centres");
  if (!draft_fetch(&old, &object, &err))
    return fail(a, err);
  if (!redrain(a, &old, &new, out, &err) ||
      !apply(&new, &old, object, a->by, &err))
    code = fail(a, err);
  else
    done(a, out ? "undrained" : "drained", new.man.version);
  draft_free(&old);
  draft_free(&new);
  return code;
}

static int stop(const Args *a) {
  GError *err = NULL;
  mp_Addr at = a->n == 2 ? mp_addr_parse(a->word[1]) : 0;
  GString *s;
  gchar *key;
  char *when;
  if (at == 0)
    return usage("stop needs an instance's operators' address");
  s = client_ops(at, 1, "/drain", &err);
  if (s == NULL)
    return fail(a, err);
  g_string_free(s, TRUE);
  when = utc_time_text();
  key = g_strdup_printf("audit/stop-%s-%s", a->word[1], when);
  audit(key, a->by, "stop", 0, 0, "draining");
  g_free(key);
  g_free(when);
  if (a->json)
    printf("{\"draining\": \"%s\"}\n", a->word[1]);
  else
    printf("%s: draining\n", a->word[1]);
  return 0;
}

/* }================================================================== */

/*
** {==================================================================
** Status, audit
** ===================================================================
*/

/* operators' addresses of all entry instances in the platform's list */
static GPtrArray *listed(GError **err) {
  int absent;
  GString *s = client_get("instances", NULL, &absent, err);
  GPtrArray *a = g_ptr_array_new_with_free_func(g_free);
  json_t *j;
  const json_t *rows;
  size_t i;
  if (s == NULL)
    return a;
  j = json_loadb(s->str, s->len, 0, NULL);
  rows = json_object_get(j, "instances");
  for (i = 0; i < json_array_size(rows); i++) {
    const char *o = json_string_value(
        json_object_get(json_array_get(rows, i), "operators"));
    if (o != NULL)
      g_ptr_array_add(a, g_strdup(o));
  }
  json_decref(j);
  g_string_free(s, TRUE);
  return a;
}

static void printstatus(const char *at, const json_t *j) {
  size_t down = 0;
  size_t i;
  const json_t *eps = json_object_get(j, "endpoints");
  for (i = 0; i < json_array_size(eps); i++)
    down += json_is_true(json_object_get(json_array_get(eps, i), "down"));
  printf("%-22s config %-4d list %-4d requests %-4d instances %zu endpoints "
         "%zu (%zu down)%s\n",
         at, (int)json_integer_value(json_object_get(j, "config_version")),
         (int)json_integer_value(json_object_get(j, "list_version")),
         (int)json_integer_value(json_object_get(j, "requests")),
         json_array_size(json_object_get(j, "instances")) + 1,
         json_array_size(eps), down,
         json_is_true(json_object_get(j, "draining")) ? " draining" : "");
}

static int onestatus(const Args *a, const char *at, json_t *all) {
  GError *err = NULL;
  mp_Addr addr = mp_addr_parse(at);
  GString *s = addr != 0 ? client_ops(addr, 0, "/status", &err) : NULL;
  json_t *j = s != NULL ? json_loadb(s->str, s->len, 0, NULL) : NULL;
  int ok = j != NULL;
  if (s != NULL)
    g_string_free(s, TRUE);
  if (ok && !a->json)
    printstatus(at, j);
  if (!ok && !a->json)
    printf("%-22s away: %s\n", at, err != NULL ? err->message : "no address");
  json_object_set_new(all, at, ok ? j : json_null());
  g_clear_error(&err);
  return ok;
}

static int status(const Args *a) {
  GError *err = NULL;
  GPtrArray *at;
  json_t *all = json_object();
  guint i;
  int ok = 1;
  if (a->n > 1) {
    at = g_ptr_array_new_with_free_func(g_free);
    for (i = 1; i < (guint)a->n; i++)
      g_ptr_array_add(at, g_strdup(a->word[i]));
  } else
    at = listed(&err);
  if (err != NULL)
    return fail(a, err);
  for (i = 0; i < at->len; i++)
    ok = onestatus(a, at->pdata[i], all) && ok;
  if (a->json) {
    json_dumpf(all, stdout, JSON_INDENT(1));
    printf("\n");
  }
  json_decref(all);
  g_ptr_array_unref(at);
  return ok ? 0 : EXIT_AWAY;
}

static int audits(const Args *a) {
  GError *err = NULL;
  GPtrArray *keys = client_keys("audit/", &err);
  guint i;
  if (keys == NULL)
    return fail(a, err);
  for (i = 0; i < keys->len; i++) {
    int absent;
    GString *s = client_get(keys->pdata[i], NULL, &absent, NULL);
    json_t *j = s != NULL ? json_loadb(s->str, s->len, 0, NULL) : NULL;
    if (a->json && s != NULL)
      printf("%s\n", s->str);
    else if (j != NULL) {
      const char *when = json_string_value(json_object_get(j, "when"));
      const char *who = json_string_value(json_object_get(j, "who"));
      const char *what = json_string_value(json_object_get(j, "what"));
      const char *end = json_string_value(json_object_get(j, "outcome"));
      printf("%-20s %-12s %-8s %d -> %d  %s\n", when != NULL ? when : "-", who,
             what, (int)json_integer_value(json_object_get(j, "from")),
             (int)json_integer_value(json_object_get(j, "to")), end);
    }
    json_decref(j);
    if (s != NULL)
      g_string_free(s, TRUE);
  }
  g_ptr_array_unref(keys);
  return 0;
}

/* }================================================================== */

static int trace(const Args *a) {
  int found;
  if (a->n < 2)
    return usage("trace: give the request's id");
  found = trace_print(a->word[1], a->word + 2, a->n - 2, stdout);
  if (found == 0)
    fprintf(stderr,
            "trace: no line names '%s'; give the logs of all "
            "instances, of the time of the request\n",
            a->word[1]);
  return found < 0 ? EXIT_WRONG : found == 0 ? EXIT_NO : 0;
}

static int run(const Args *a) {
  const char *c = a->word[0];
  if (strcmp(c, "check") == 0)
    return check(a);
  if (strcmp(c, "diff") == 0)
    return diff(a);
  if (strcmp(c, "apply") == 0)
    return applydir(a);
  if (strcmp(c, "show") == 0)
    return show(a);
  if (strcmp(c, "status") == 0)
    return status(a);
  if (strcmp(c, "explain") == 0)
    return explain(a);
  if (strcmp(c, "drain") == 0)
    return drain(a, 0);
  if (strcmp(c, "undrain") == 0)
    return drain(a, 1);
  if (strcmp(c, "stop") == 0)
    return stop(a);
  if (strcmp(c, "trace") == 0)
    return trace(a);
  if (strcmp(c, "audit") == 0)
    return audits(a);
  return usage("unknown command");
}

int main(int argc, char **argv) {
  Args a = {0};
  mp_Addr at;
  a.platform = getenv("MADDERPIER_PLATFORM");
  a.by = getenv("USER");
  argp_parse(&argp, argc, argv, 0, NULL, &a);
  if (a.by == NULL)
    a.by = "unknown";
  if (strlen(a.by) > MP_NAME_MAX)
    return usage("--by takes at most 63 bytes");
  at = a.platform != NULL ? mp_addr_parse(a.platform) : 0;
  if (at == 0 && strcmp(a.word[0], "check") != 0 &&
      strcmp(a.word[0], "trace") != 0)
    return usage("give the platform's address with --platform");
  client_init(at);
  return run(&a);
}
