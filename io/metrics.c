/*
** metrics.c
** The metrics of one instance as text
*/

#include "io/metrics.h"

static void write_histogram(GString *text, const char *name,
                            const Histogram *histogram) {
  guint64 below = 0;
  unsigned i;
  for (i = 0; i < HISTOGRAM_BOUNDS; i++) {
    below += histogram->counts[i];
    g_string_append_printf(text,
                           "madderpier_%s_seconds_bucket{le=\"%.4g\"} "
                           "%" G_GUINT64_FORMAT "\n",
                           name, histogram_bound(i), below);
  }
  g_string_append_printf(
      text,
      "madderpier_%s_seconds_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
      "madderpier_%s_seconds_sum %.6f\n"
      "madderpier_%s_seconds_count %" G_GUINT64_FORMAT "\n",
      name, histogram->count, name, histogram->sum, name, histogram->count);
}

static void write_durations(GString *text, const Router *router) {
  int which;
  for (which = 0; which < DURATION_COUNT; which++)
    write_histogram(text, router_duration_name((RouterDuration)which),
                    router_duration(router, (RouterDuration)which));
}

static void write_refusals(GString *text, const Router *router) {
  int kind;
  for (kind = 0; kind < REFUSAL_KIND_COUNT; kind++)
    if (router_refusals(router, (RefusalKind)kind) > 0)
      g_string_append_printf(text,
                             "madderpier_refusals_total{reason=\"%s\"} "
                             "%" G_GUINT64_FORMAT "\n",
                             router_refusal_name((RefusalKind)kind),
                             router_refusals(router, (RefusalKind)kind));
}

/* Writes how this instance keeps up with what callers ask of it. */
static void write_intake(GString *text, const AdapterCounts *counts) {
  const Intake *intake = counts->intake;
  const LoopSample *last;
  if (intake == NULL)
    return;
  last = loop_lag_last(intake_loop_lag(intake));
  g_string_append_printf(
      text,
      "process_cpu_seconds_total %.3f\n"
      "madderpier_standstills_total %" G_GUINT64_FORMAT "\n"
      "madderpier_standstill_seconds_total %.3f\n"
      "madderpier_oldest_digest_seconds %.3f\n"
      "madderpier_caller_connections{state=\"idle\"} %u\n"
      "madderpier_caller_connections{state=\"awaited\"} %u\n"
      "madderpier_caller_connections{state=\"busy\"} %u\n"
      "madderpier_caller_connections_accepted_total %" G_GUINT64_FORMAT "\n"
      "madderpier_caller_connections_closed_unread_total "
      "%" G_GUINT64_FORMAT "\n"
      "madderpier_connection_limit %u\n"
      "madderpier_last_loop_lag_seconds %.4f\n"
      "madderpier_loop_busy_seconds %.4f\n"
      "madderpier_longest_loop_turn_seconds %.4f\n"
      "madderpier_path_delay_seconds %.4f\n",
      (double)counts->processor_time / MP_SEC, counts->standstills,
      (double)counts->standstill_time / MP_SEC,
      (double)counts->oldest_digest / MP_SEC,
      intake_count(intake, INTAKE_IDLE), intake_count(intake, INTAKE_AWAITED),
      intake_count(intake, INTAKE_BUSY), intake_accepted(intake),
      intake_closed_unread(intake), intake_limit(intake),
      (double)last->lag / MP_SEC, (double)last->busy / MP_SEC,
      (double)last->turn / MP_SEC, (double)intake_path_delay(intake) / MP_SEC);
  write_histogram(text, "loop_lag",
                  loop_lag_histogram(intake_loop_lag(intake)));
}

static void write_account_shares(GString *text, const Router *router) {
  AccountShare share;
  const char *name;
  guint i;
  for (i = 0; (name = router_account_share(router, i, &share)) != NULL; i++) {
    char *label = g_strescape(name, NULL);
    g_string_append_printf(text,
                           "madderpier_account_use{account=\"%s\"} %.0f\n"
                           "madderpier_account_over_share{account=\"%s\"} "
                           "%d\n",
                           label, share.use, label, share.is_over);
    g_free(label);
  }
}

static void write_router(GString *text, const Router *router) {
  const char *name;
  unsigned i;
  for (i = 0; (name = router_counter_name(i)) != NULL; i++)
    g_string_append_printf(text, "madderpier_%s_total %" G_GUINT64_FORMAT "\n",
                           name, router_counter(router, i));
  g_string_append_printf(text, "madderpier_open_requests %u\n",
                         router_open_requests(router));
  g_string_append_printf(text, "madderpier_instances %u\n",
                         router_instances(router));
  g_string_append_printf(text, "madderpier_unknown_limits %u\n",
                         router_unknown_limits(router));
  write_account_shares(text, router);
}

/* Writes the requests for engines by priority, for those that ever came. */
static void write_priorities(GString *text, const Router *router) {
  guint priority;
  for (priority = 0; priority <= PRIORITY_LOWEST; priority++) {
    PriorityCounts counts = router_priority_counts(router, priority);
    if (counts.waiting == 0 && counts.started == 0 && counts.refused == 0)
      continue;
    g_string_append_printf(
        text,
        "madderpier_priority_waiting{priority=\"%u\"} %u\n"
        "madderpier_priority_started_total{priority=\"%u\"} "
        "%" G_GUINT64_FORMAT "\n"
        "madderpier_priority_refused_total{priority=\"%u\"} "
        "%" G_GUINT64_FORMAT "\n",
        priority, counts.waiting, priority, counts.started, priority,
        counts.refused);
  }
}

static void write_adapters(GString *text, const AdapterCounts *counts) {
  g_string_append_printf(
      text,
      "madderpier_endpoint_connections_total %" G_GUINT64_FORMAT "\n"
      "madderpier_store_calls_total %" G_GUINT64_FORMAT "\n"
      "madderpier_store_calls_left_total %" G_GUINT64_FORMAT "\n"
      "madderpier_log_lines_left_out_total %" G_GUINT64_FORMAT "\n"
      "madderpier_log_lines_lost_total %" G_GUINT64_FORMAT "\n"
      "madderpier_idle_endpoint_connections %u\n"
      "madderpier_news_role{role=\"%s\"} 1\n"
      "madderpier_news_age_seconds %.3f\n"
      "madderpier_ready %d\n"
      "madderpier_suspect_requests %u\n"
      "madderpier_held_requests %u\n"
      "madderpier_endpoint_rate_skips_total %" G_GUINT64_FORMAT "\n"
      "madderpier_unreachable_endpoints %u\n"
      "madderpier_down_endpoints %u\n"
      "madderpier_indirect_endpoints %u\n"
      "madderpier_carried_connections %u\n"
      "madderpier_carried_connections_total %" G_GUINT64_FORMAT "\n"
      "madderpier_stream_origins %u\n"
      "madderpier_limited_endpoints %u\n"
      "madderpier_leaving_endpoints %u\n"
      "madderpier_resting_endpoints %u\n"
      "madderpier_waiting_requests %u\n"
      "madderpier_waiting_requests_in_time %u\n",
      counts->endpoint_connections, counts->store_calls,
      counts->abandoned_store_calls, counts->log_lines_left_out,
      counts->log_lines_lost, counts->idle_endpoint_connections,
      counts->news_role, (double)counts->news_age / MP_SEC, counts->ready,
      counts->struck_requests, counts->held_requests, counts->rate_skips,
      counts->unreachable_endpoints, counts->down_endpoints,
      counts->indirect_endpoints, counts->carried_connections,
      counts->carried_connections_total, counts->stream_origins,
      counts->limited_endpoints, counts->leaving_endpoints,
      counts->resting_endpoints, counts->waiting, counts->waiting_in_time);
}

static void write_flow(GString *text, const AdapterCounts *counts) {
  int reason;
  g_string_append_printf(
      text,
      "madderpier_unread_bytes %" G_GUINT64_FORMAT "\n"
      "madderpier_body_bytes %" G_GUINT64_FORMAT "\n"
      "madderpier_bodies_refused_total %" G_GUINT64_FORMAT "\n"
      "madderpier_caller_bytes %" G_GUINT64_FORMAT "\n"
      "madderpier_input_refused_total %" G_GUINT64_FORMAT "\n"
      "madderpier_connections_closed_for_new_total %" G_GUINT64_FORMAT "\n"
      "madderpier_paused_reads %u\n"
      "madderpier_sending_connections %u\n"
      "madderpier_unsent_bytes %" G_GUINT64_FORMAT "\n",
      counts->unread_bytes, counts->body_bytes, counts->bodies_refused,
      counts->caller_bytes, counts->input_refused, counts->places_taken,
      counts->paused_reads, counts->sending_connections, counts->unsent_bytes);
  for (reason = 0; reason < FLOW_REASON_COUNT; reason++)
    g_string_append_printf(
        text,
        "madderpier_slow_callers_aborted_total{reason=\"%s\"} "
        "%" G_GUINT64_FORMAT "\n",
        flow_reason_name((FlowReason)reason), counts->flow_aborts[reason]);
}

static void write_losses(GString *text, const AdapterCounts *counts) {
  int reason;
  for (reason = CLOSE_FINISHED + 1; reason < CLOSE_REASON_COUNT; reason++)
    g_string_append_printf(
        text,
        "madderpier_responses_lost_total{reason=\"%s\"} %" G_GUINT64_FORMAT
        "\n",
        close_reason_name((CloseReason)reason),
        counts->responses_lost[reason]);
}

/* by StoreKind */
static const char *const kind_names[MP_RELAY_KINDS] = {
    "configuration", "endpoints", "instances", "quarantine"};

static void write_lags(GString *text, const AdapterCounts *counts) {
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    g_string_append_printf(
        text, "madderpier_news_lag_seconds{kind=\"%s\"} %.3f\n",
        kind_names[kind], (double)counts->news_lag[kind] / MP_SEC);
}

/*
** Writes the positions up to which all changes of each kind of objects are
** known. A kind whose era is lower than the store's has not been read since
** the store was restored from a copy.
*/
static void write_positions(GString *text, const AdapterCounts *counts) {
  int kind;
  g_string_append_printf(text, "madderpier_store_era %" G_GUINT64_FORMAT "\n",
                         counts->store_era);
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    g_string_append_printf(
        text,
        "madderpier_news_era{kind=\"%s\"} %" G_GUINT64_FORMAT "\n"
        "madderpier_news_revision{kind=\"%s\"} %" G_GINT64_FORMAT "\n",
        kind_names[kind], counts->known_positions[kind].era, kind_names[kind],
        counts->known_positions[kind].revision);
}

/* Writes a line for each field that was ever invalid, and one for the sum. */
static void write_bad_kind(GString *text, const char *kind,
                           const guint64 fields[RECORD_FIELD_COUNT]) {
  guint64 sum = 0;
  int field;
  for (field = 0; field < RECORD_FIELD_COUNT; field++) {
    sum += fields[field];
    if (fields[field] > 0)
      g_string_append_printf(
          text,
          "madderpier_bad_fields_total{kind=\"%s\",field=\"%s\"} "
          "%" G_GUINT64_FORMAT "\n",
          kind, record_field_name((RecordField)field), fields[field]);
  }
  g_string_append_printf(text,
                         "madderpier_bad_objects_total{kind=\"%s\"} "
                         "%" G_GUINT64_FORMAT "\n",
                         kind, sum);
}

static void write_bad_objects(GString *text, const AdapterCounts *counts) {
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++) {
    write_bad_kind(text, kind_names[kind], counts->bad_objects[kind]);
    g_string_append_printf(text,
                           "madderpier_unusable_objects{kind=\"%s\"} %u\n",
                           kind_names[kind], counts->unusable_objects[kind]);
  }
}

GString *metrics_text(const Router *router, const AdapterCounts *counts) {
  GString *text = g_string_new(NULL);
  write_router(text, router);
  write_refusals(text, router);
  write_priorities(text, router);
  write_adapters(text, counts);
  write_flow(text, counts);
  write_losses(text, counts);
  write_lags(text, counts);
  write_positions(text, counts);
  write_bad_objects(text, counts);
  write_intake(text, counts);
  write_durations(text, router);
  return text;
}
