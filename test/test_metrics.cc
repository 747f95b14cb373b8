/*
** test_metrics.cc
** What the metrics' page shows, line by line
*/

#include <gtest/gtest.h>

#include <string>

#include "router_world.h"

extern "C" {
#include "io/metrics.h"
}

using namespace routing;

namespace {

TEST(Metrics, ShowCountersCarriersAndWholeHistograms) {
  World world;
  AdapterCounts carriers = {
      7,     11,   2, {},      1,  2,  3,         "relay", 250 * ms, TRUE, 5,
      4,     6,    7, 15,      10, 12, 13,        14,      3,        2,    1,
      70000, 4000, 9, 16,      17, 2,  {5, 6, 7}, {},      9,        8,    {},
      {},    {},   3, nullptr, 0,  0,  0,         0,       0,        0,    0};
  carriers.responses_lost[CLOSE_NOT_READ] = 4;
  carriers.news_lag[STORE_CONFIGURATION] = 1500 * ms;
  carriers.known_positions[STORE_ENDPOINTS] = store_position(2, 31);
  carriers.bad_objects[STORE_ENDPOINTS][RECORD_SLOTS] = 4;
  carriers.bad_objects[STORE_ENDPOINTS][RECORD_NAME] = 2;
  carriers.unusable_objects[STORE_ENDPOINTS] = 3;
  struct event_base *base = event_base_new();
  Intake *intake = intake_new(base, nullptr);
  IntakeConnection connection = {};
  intake_admit(intake, &connection);
  carriers.intake = intake;
  carriers.processor_time = 1250 * ms;
  carriers.oldest_digest = 80 * ms;
  carriers.standstills = 3;
  carriers.standstill_time = 4250 * ms;
  carriers.caller_bytes = 90000;
  carriers.input_refused = 21;
  carriers.places_taken = 22;
  world.add_default_endpoints();
  world.request("/unsafe/x");
  world.outcome(world.last().number, OUTCOME_ANSWER);
  GString *text = metrics_text(world.router, &carriers);
  std::string page = std::string("\n") + text->str;
  for (const char *line :
       {"madderpier_requests_total 1",
        "madderpier_answered_total 1",
        "madderpier_orders_total 0",
        "madderpier_standstills_total 3",
        "madderpier_standstill_seconds_total 4.250",
        "madderpier_stream_origins 14",
        "madderpier_open_requests 0",
        "madderpier_endpoint_connections_total 7",
        "madderpier_store_calls_total 11",
        "madderpier_store_calls_left_total 2",
        "madderpier_news_lag_seconds{kind=\"configuration\"} 1.500",
        "madderpier_store_era 3",
        "madderpier_news_era{kind=\"endpoints\"} 2",
        "madderpier_news_revision{kind=\"endpoints\"} 31",
        "madderpier_responses_lost_total{reason=\"not_read\"} 4",
        "madderpier_responses_lost_total{reason=\"process_end\"} 0",
        "madderpier_ready 1",
        "madderpier_news_role{role=\"relay\"} 1",
        "madderpier_suspect_requests 5",
        "madderpier_held_requests 4",
        "madderpier_endpoint_rate_skips_total 6",
        "madderpier_unreachable_endpoints 7",
        "madderpier_down_endpoints 15",
        "madderpier_indirect_endpoints 10",
        "madderpier_carried_connections 12",
        "madderpier_carried_connections_total 13",
        "madderpier_limited_endpoints 3",
        "madderpier_unknown_limits 0",
        "madderpier_leaving_endpoints 2",
        "madderpier_resting_endpoints 1",
        "madderpier_endpoint_rates_unreadable_total 0",
        "madderpier_endpoint_signals_unreadable_total 0",
        "madderpier_unread_bytes 70000",
        "madderpier_body_bytes 4000",
        "madderpier_caller_bytes 90000",
        "madderpier_input_refused_total 21",
        "madderpier_connections_closed_for_new_total 22",
        "madderpier_bodies_refused_total 9",
        "madderpier_paused_reads 2",
        "madderpier_sending_connections 16",
        "madderpier_unsent_bytes 17",
        "madderpier_slow_callers_aborted_total{reason=\"bound\"} 5",
        "madderpier_slow_callers_aborted_total{reason=\"held\"} 6",
        "madderpier_slow_callers_aborted_total{reason=\"slow\"} 7",
        "madderpier_waiting_requests 9",
        "madderpier_waiting_requests_in_time 8",
        "madderpier_requests_started_total 0",
        "madderpier_bad_objects_total{kind=\"endpoints\"} 6",
        "madderpier_bad_objects_total{kind=\"instances\"} 0",
        "madderpier_unusable_objects{kind=\"endpoints\"} 3",
        "madderpier_unusable_objects{kind=\"instances\"} 0",
        "madderpier_bad_fields_total{kind=\"endpoints\",field=\"slots\"} 4",
        "madderpier_bad_fields_total{kind=\"endpoints\",field=\"name\"} 2",
        "madderpier_news_age_seconds 0.250",
        "madderpier_plain_seconds_count 1",
        "madderpier_plain_seconds_bucket{le=\"+Inf\"} 1",
        "process_cpu_seconds_total 1.250",
        "madderpier_oldest_digest_seconds 0.080",
        "madderpier_caller_connections{state=\"awaited\"} 1",
        "madderpier_caller_connections{state=\"busy\"} 0",
        "madderpier_caller_connections_accepted_total 1",
        "madderpier_caller_connections_closed_unread_total 0",
        "madderpier_connection_limit 0",
        "madderpier_loop_lag_seconds_count 0"})
    EXPECT_NE(page.find("\n" + std::string(line) + "\n"), std::string::npos)
        << line;
  g_string_free(text, TRUE);
  intake_remove(intake, &connection);
  intake_free(intake);
  event_base_free(base);
}

/* Guards against counts of one priority that are added to another, and against
** rows for priorities that nothing has. */
TEST(Metrics, CountRequestsForEnginesByPriority) {
  World world;
  AdapterCounts carriers = {};
  carriers.news_role = "relay";
  world.priorities["/resume/"] = 2;
  world.add_default_endpoints();
  world.request("/stream/x");               /* starts */
  world.request("/stream/x", 10000, 20000); /* fits into no engine */
  world.request("/resume/x", 10000, 20000);
  world.advance(10 * second); /* both are refused in the end */
  world.request("/resume/x", 10000, 20000);
  GString *text = metrics_text(world.router, &carriers);
  std::string page = std::string("\n") + text->str;
  for (const char *line :
       {"madderpier_refusals_total{reason=\"busy\"} 2",
        "madderpier_priority_started_total{priority=\"0\"} 1",
        "madderpier_priority_refused_total{priority=\"2\"} 1",
        "madderpier_priority_waiting{priority=\"0\"} 0",
        "madderpier_priority_waiting{priority=\"2\"} 1",
        "madderpier_priority_started_total{priority=\"2\"} 0"})
    EXPECT_NE(page.find("\n" + std::string(line) + "\n"), std::string::npos)
        << line;
  EXPECT_EQ(page.find("priority=\"1\""), std::string::npos);
  g_string_free(text, TRUE);
}

} // namespace
