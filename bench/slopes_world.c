/*
** slopes_world.c
** The configuration and the instance list that the cores begin with
*/

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/slopes.h"
#include "conf/conf.h"
#include "wire/rpc.h"

/*
** {==================================================================
** The world
** ===================================================================
*/

static void dcname(unsigned i, const Run *R, char out[16]) {
  g_snprintf(out, 16, "dc-%u", i % R->centres);
}

char *slopes_make_instance_list(const Run *R) {
  GString *g = g_string_new("{\"version\": 1, \"instances\": [");
  char a[24];
  char dc[16];
  unsigned i;
  for (i = 0; i < R->nodes; i++) {
    mp_addr_text(slopes_node_address(i), a);
    dcname(i, R, dc);
    g_string_append_printf(g,
                           "%s{\"kind\":\"entry\",\"name\":\"e%u\","
                           "\"data_centre\":\"%s\",\"address\":\"%s\","
                           "\"state\":\"live\"}",
                           i > 0 ? "," : "", i, dc, a);
  }
  for (i = 0; i < R->workers; i++) {
    mp_addr_text(slopes_worker_address(i), a);
    dcname(i, R, dc);
    g_string_append_printf(
        g,
        ",{\"kind\":\"endpoint\",\"name\":\"w%u\","
        "\"data_centre\":\"%s\",\"address\":\"%s\","
        "\"service\":\"llm\",\"role\":\"%s\","
        "\"state\":\"live\"}",
        i, dc, a, slopes_is_prefill_worker(R, i) ? "prefill" : "decode");
  }
  g_string_append(g, "]}");
  return g_string_free(g, FALSE);
}

static void manyaccounts(GString *g) {
  char d[MP_SHA256_HEX + 1];
  char key[32];
  unsigned i;
  g_string_append(g, "accounts:\n");
  for (i = 0; i < 280; i++) {
    g_snprintf(key, sizeof key, "key-%u", i);
    mp_digest(key, strlen(key), d);
    g_string_append_printf(g,
                           "  - {name: acct-%u, key_sha256: %s, classes: "
                           "[flag, question, summary]}\n",
                           i, d);
  }
}

static char *makesection(const Run *R, unsigned change) {
  static const char *const classes[] = {"flag", "question", "summary"};
  GString *g = g_string_new("data_centres:\n");
  GString *all = g_string_new(NULL);
  unsigned i;
  for (i = 0; i < R->centres; i++) {
    g_string_append_printf(g, "  - {name: dc-%u, region: r%u}\n", i, i % 3);
    g_string_append_printf(all, "%sdc-%u", i > 0 ? ", " : "", i);
  }
  g_string_append(g, "services:\n  - {name: llm, kind: engine}\nmodels:\n");
  for (i = 0; i < 16; i++)
    g_string_append_printf(
        g, "  - {name: m%u, service: llm, kv_bytes_per_token: 100000}\n", i);
  g_string_append(g, "pools:\n");
  for (i = 0; i < 2; i++)
    g_string_append_printf(
        g,
        "  - {service: llm, role: %s, models: [m0, m1, m2, m3, m4, m5, "
        "m6, m7, m8, m9, m10, m11, m12, m13, m14, m15]}\n",
        i == 0 ? "prefill" : "decode");
  g_string_append(g, "classes:\n");
  for (i = 0; i < 3; i++)
    g_string_append_printf(g,
                           "  - {name: %s, first_token_ms: 520, token_ms: "
                           "32, deadline_ms: 60000, weight: 5, repeatable: "
                           "true}\n",
                           classes[i]);
  g_string_append(g, "rules:\n");
  for (i = 0; i < 3; i++)
    g_string_append_printf(g,
                           "  - {class: %s, run_in: [%s], kv_move: region}\n",
                           classes[i], all->str);
  g_string_append_printf(
      g,
      "drained: [none-%u]\npolicy: {pick: madderpier, decode_first: true, "
      "prefix_affinity: true, slack_order: true, long_cap: true, "
      "transfer_plan: true, keep_prefill: true, refuse_early: true, "
      "quota_slices: true, role_orders: false, refuse_at: 100}\n",
      change);
  g_string_free(all, TRUE);
  return g_string_free(g, FALSE);
}

void slopes_publish_config(Run *R, uint64_t version) {
  static const char *const names[] = {"accounts.yaml", "rest.yaml"};
  GString *accounts = g_string_new(NULL);
  mp_Manifest m = {0};
  unsigned i;
  manyaccounts(accounts);
  g_free(R->section[0]);
  g_free(R->section[1]);
  g_free(R->manifest);
  R->section[0] = g_string_free(accounts, FALSE);
  R->section[1] = makesection(R, (unsigned)version);
  m.version = version;
  g_strlcpy(m.apply_id, "id", sizeof m.apply_id);
  g_strlcpy(m.by, "slopes", sizeof m.by);
  g_strlcpy(m.when, "now", sizeof m.when);
  m.n = 2;
  for (i = 0; i < 2; i++) {
    g_strlcpy(m.section[i].name, names[i], sizeof m.section[i].name);
    mp_digest(R->section[i], strlen(R->section[i]), R->digest[i]);
    g_strlcpy(m.section[i].digest, R->digest[i], sizeof m.section[i].digest);
  }
  R->manifest = mp_manifest_write(&m);
  R->manifestversion = version;
}

/* the platform tells those that watch */
void slopes_answer_watches(Run *R) {
  guint i;
  for (i = 0; i < R->watches->len; i++) {
    Due *d = R->watches->pdata[i];
    d->t = R->now + 2 * LINK;
    d->store.status = MP_STORE_OK;
    d->store.version = R->manifestversion;
    d->text = g_strdup(R->manifest);
    slopes_schedule(R, d);
  }
  g_ptr_array_set_size(R->watches, 0);
}

void slopes_start_cores(Run *R) {
  unsigned i;
  for (i = 0; i < R->nodes; i++) {
    mp_Options o = {0};
    char dc[16];
    dcname(i, R, dc);
    o.self = slopes_node_address(i);
    o.dc = dc;
    o.start = 1;
    o.seed = i + 1;
    o.net = 0x0a000000;
    o.mask = 0xff000000;
    o.codec = mp_codec();
    R->node[i].M = mp_new(&o, R->now);
    slopes_perform_effects(R, i);
  }
}

/* }================================================================== */
