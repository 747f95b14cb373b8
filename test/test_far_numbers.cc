/*
** test_far_numbers.cc
** Times and rates from outside that are far larger than any real one
**
** What was found by fuzzing: an endpoint that said "Keep-Alive:
** timeout=9223372036854775807" made the product multiply past 64 bits. The
** result was a limit of -1 s where the endpoint had named a very long one, and
** undefined behaviour. The same stood at each place that turns a number of
** another party into microseconds without a bound.
*/

#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "platform/platform.h"
#include "router/account_limits.h"
#include "router/quarantine.h"
#include "wire/rpc.h"
}

namespace {

/* longer than any time that makes sense here: a century, in microseconds */
constexpr gint64 century = 100LL * 366 * 24 * 3600 * MP_SEC;

const char *const far_numbers[] = {"9223372036854775807", "9223372036854775",
                                   "99999999999999999999999",
                                   "18446744073709551615"};

gint64 idle_limit(const std::string &value) {
  HttpHead *head = http_head_new_response(200);
  EndpointHead read;
  http_head_add(head, "Keep-Alive", value.c_str());
  platform_read_endpoint(head, &read);
  http_head_free(head);
  return read.idle_limit;
}

TEST(FarNumbers, ALongKeepAliveIsALongOne) {
  for (const char *number : far_numbers) {
    gint64 limit = idle_limit(std::string("timeout=") + number + ", max=9");
    EXPECT_GT(limit, 3600 * MP_SEC) << number;
    EXPECT_LT(limit, century) << number;
  }
  EXPECT_EQ(idle_limit("timeout=-9223372036854775808"), 0);
  EXPECT_EQ(idle_limit("timeout=-5"), 0);
  EXPECT_EQ(idle_limit("timeout="), 0);
  EXPECT_EQ(idle_limit("5"), 5 * MP_SEC);
}

gint64 deadline_ms(const char *value) {
  HttpHead *head = http_head_new_request("POST", "/a");
  CallerHead read;
  http_head_add(head, "Host", "h.example");
  http_head_add(head, "Request-Id", "1");
  http_head_add(head, "Deadline-Ms", value);
  EXPECT_TRUE(platform_read_caller(head, &read, nullptr));
  gint64 ms = read.request.deadline_ms;
  caller_head_clear(&read);
  http_head_free(head);
  return ms;
}

TEST(FarNumbers, ALongDeadlineIsALongOne) {
  for (const char *number : far_numbers) {
    EXPECT_GT(deadline_ms(number), 3600 * 1000) << number;
    EXPECT_LT(deadline_ms(number), century / MP_MS) << number;
  }
  EXPECT_EQ(deadline_ms("-9223372036854775808"), 0);
  EXPECT_EQ(deadline_ms("14000"), 14000);
}

RouteTable *configuration(const std::string &time, const std::string &rate) {
  std::string text =
      R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/",)"
      R"("Kind":"stream","TimeoutMs":)" +
      time + R"(,"SloMs":)" + time + R"(,"GapTargetMs":)" + time +
      R"(,"Service":"s"}],"Services":[{"Name":"s","Engine":{"KvHoldS":)" +
      time + R"(,"SwitchS":)" + time + R"(}}],"Limits":{"HeaderTimeoutMs":)" +
      time + R"(},"Tenants":[{"Name":"t","RatePerS":)" + rate +
      R"(,"Burst":)" + rate + "}]}";
  GError *error = nullptr;
  RouteTable *table =
      platform_read_configuration(text.c_str(), nullptr, &error);
  EXPECT_NE(table, nullptr) << (error != nullptr ? error->message : "");
  g_clear_error(&error);
  return table;
}

const Route *first_route(const RouteTable *table) {
  return static_cast<const Route *>(table->routes->pdata[0]);
}

const Service *first_service(const RouteTable *table) {
  return static_cast<const Service *>(table->services->pdata[0]);
}

TEST(FarNumbers, TimesOfTheConfigurationAreBounded) {
  for (const char *number : {"1e300", "9223372036854775807", "1e17"}) {
    RouteTable *table = configuration(number, "1");
    const Route *route = first_route(table);
    const Service *service = first_service(table);
    for (gint64 time : {route->timeout, route->objective, route->gap,
                        service->handle_lifetime, service->switch_time,
                        table->limits.head_timeout}) {
      EXPECT_GT(time, 3600 * MP_SEC) << number;
      EXPECT_LT(time, century) << number;
    }
    route_table_unref(table);
  }
  RouteTable *table = configuration("-1e300", "1");
  EXPECT_EQ(first_route(table)->timeout, 0);
  EXPECT_EQ(first_service(table)->handle_lifetime, 0);
  route_table_unref(table);
}

/* who is refused under a limit that never fills comes back late, not at once
 */
TEST(FarNumbers, RatesOfTheConfigurationAreBounded) {
  const LimitTolerance tolerance = {0.1, 0, 8 * MP_SEC};
  const LimitSharers both = {2, 2};
  for (const char *rate : {"1e308", "1e-300", "9223372036854775807"}) {
    RouteTable *table = configuration("1000", rate);
    const auto *account =
        static_cast<const Account *>(table->accounts->pdata[0]);
    AccountLimits *limits = account_limits_new(&tolerance, 0);
    account_limits_configure(limits, table, 100 * MP_SEC);
    gint64 come_back = 0;
    mp_LoadDigest digest = {};
    account_limits_write(limits, &digest, 0);
    EXPECT_LE(digest.account[0].level, (unsigned)MP_LEVEL_UNKNOWN);
    gboolean passed = account_limits_admit(limits, account, 1e30, &both, 0.999,
                                           101 * MP_SEC, &come_back);
    EXPECT_TRUE(passed || come_back >= 1 * MP_SEC) << rate;
    account_limits_free(limits);
    route_table_unref(table);
  }
}

TEST(FarNumbers, AHoldFromFarTimesBeginsAtAKnownMoment) {
  for (const char *number :
       {"9223372036854775807", "-9223372036854775807", "253402300800000"}) {
    QuarantineRecord record = {};
    std::string text = R"({"Crashes":["a","b","c"],"LastUnixMs":)" +
                       std::string(number) + "}";
    ASSERT_TRUE(
        platform_read_quarantine("1f", text.c_str(), &record, nullptr));
    EXPECT_LT(record.last_unix_ms, 100 * century / MP_MS) << number;
    EXPECT_GE(record.last_unix_ms, 0) << number;
  }
}

/* a heartbeat with one byte of its body replaced */
RpcDecoded beat_with(size_t place, unsigned char byte) {
  const size_t head = 40; /* of a call without credentials */
  mp_Msg message = {};
  mp_Msg read;
  char bytes[MP_DATAGRAM_MAX];
  char answer[MP_DATAGRAM_MAX];
  size_t answer_size = 0;
  message.kind = MP_MSG_RELAY_HEARTBEAT;
  size_t size = rpc_encode(&message, bytes, sizeof bytes);
  bytes[head + place] = static_cast<char>(byte);
  return rpc_decode(bytes, size, nullptr, nullptr, &read, answer,
                    sizeof answer, &answer_size);
}

/* a heartbeat whose clock or revision is past any is garbage */
TEST(FarNumbers, AHeartbeatOfAnImpossibleTimeIsNone) {
  const size_t changed = 0;
  const size_t sent = 8 * MP_RELAY_KINDS + 4;
  const size_t asked = sent + 8 + 4;
  for (size_t place : {changed, sent, asked}) {
    EXPECT_EQ(beat_with(place, 0x00), RPC_CALL) << place;
    EXPECT_EQ(beat_with(place, 0x0f), RPC_CALL) << place;
    EXPECT_EQ(beat_with(place, 0x80), RPC_ERROR_REPLY) << place;
    EXPECT_EQ(beat_with(place, 0xff), RPC_ERROR_REPLY) << place;
  }
}

} // namespace
