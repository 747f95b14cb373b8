/*
** test_platform.cc
** The platform's dialect: what is read and written, with good and bad input
*/

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "platform/platform.h"
}

namespace {

const char *const configuration =
    R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example",)"
    R"("PathPrefix":"/a/","Kind":"stream","TimeoutMs":14000,"SloMs":900,)"
    R"("Priority":1,"Service":"s","Attempts":2,"Sticky":true,)"
    R"("Resumable":true,"GapTargetMs":300},{"Name":"q","Host":"h.example",)"
    R"("PathPrefix":"/a/b/","Kind":"unsafe","TimeoutMs":2500,"SloMs":150,)"
    R"("Priority":2,"Split":[{"Service":"s","Weight":90},{"Service":"t",)"
    R"("Weight":10}],"Attempts":1}],"Services":[{"Name":"s","HealthPath":)"
    R"("/healthz","MaxConns":370,"Engine":{"Slots":64,"KvTokens":37745,)"
    R"("Stride":12,"KvHoldS":0.5}},{"Name":"t","HealthPath":"/h",)"
    R"("MaxConns":9}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":)"
    R"(4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

HttpHead *caller() {
  HttpHead *head = http_head_new_request("POST", "/a/b/c?x=1");
  http_head_add(head, "Host", "h.example:80");
  http_head_add(head, "Request-Id", "9c41");
  http_head_add(head, "Deadline-Ms", "14000");
  http_head_add(head, "Token-Count", "1460,80");
  http_head_add(head, "Prompt-Prefix", "5c:800,e44:250");
  http_head_add(head, "Stage", "decode");
  http_head_add(head, "Kv-From", "1.2.3.4:5/x");
  http_head_add(head, "Connection", "keep-alive");
  return head;
}

TEST(PlatformCaller, IsRead) {
  HttpHead *head = caller();
  CallerHead read;
  ASSERT_TRUE(platform_read_caller(head, &read, nullptr));
  EXPECT_STREQ(read.request.id, "9c41");
  EXPECT_STREQ(read.request.host, "h.example");
  EXPECT_STREQ(read.request.path, "/a/b/c");
  EXPECT_EQ(read.request.deadline_ms, 14000);
  EXPECT_EQ(read.request.prompt_tokens, 1460u);
  EXPECT_EQ(read.request.output_tokens, 80u);
  EXPECT_EQ(read.request.session, 0xe44u);
  EXPECT_FALSE(read.request.resumes);
  caller_head_clear(&read);
  http_head_add(head, "Last-Event-Id", "4");
  ASSERT_TRUE(platform_read_caller(head, &read, nullptr));
  EXPECT_TRUE(read.request.resumes);
  caller_head_clear(&read);
  http_head_free(head);
}

/* Guards against hints that are no number of tokens: they count as absent. */
TEST(PlatformCaller, LengthHintIsReadIfItIsANumber) {
  const std::pair<const char *, guint32> cases[] = {
      {"120", 120}, {"0", 0},   {"", 0},    {"-5", 0},
      {"many", 0},  {"12x", 0}, {"nan", 0}, {"99999999999999", G_MAXINT32}};
  for (const auto &[text, expected] : cases) {
    HttpHead *head = caller();
    CallerHead read;
    http_head_add(head, "Length-Hint", text);
    ASSERT_TRUE(platform_read_caller(head, &read, nullptr));
    EXPECT_EQ(read.request.length_hint, expected) << text;
    caller_head_clear(&read);
    http_head_add(head, "Length-Hint", "7");
    ASSERT_TRUE(platform_read_caller(head, &read, nullptr));
    EXPECT_EQ(read.request.length_hint, 0u) << "stands twice";
    caller_head_clear(&read);
    http_head_free(head);
  }
}

guint parts_of(const char *value, CallerRequest *out) {
  HttpHead *head = caller();
  CallerHead read;
  http_head_remove(head, "Prompt-Prefix");
  http_head_add(head, "Prompt-Prefix", value);
  EXPECT_TRUE(platform_read_caller(head, &read, nullptr));
  *out = read.request;
  caller_head_clear(&read);
  http_head_free(head);
  return out->parts_count;
}

TEST(PlatformCaller, SharedPartsOfThePromptAreReadWhateverTheyAre) {
  CallerRequest one;
  CallerRequest other;
  EXPECT_EQ(parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250", &one), 2u);
  EXPECT_NE(one.parts[0], one.parts[1]);
  EXPECT_EQ(parts_of("91BD3F06:7,e5:1", &other), 1u);
  EXPECT_EQ(other.parts[0], one.parts[1]);
  EXPECT_EQ(parts_of("5c1e07a2:800", &one), 0u);
  EXPECT_EQ(parts_of("", &one), 0u);
  EXPECT_EQ(parts_of(",,,", &one), 0u);
  EXPECT_EQ(parts_of("a:1,a:1,A:2,b:3", &one), 1u);
  EXPECT_EQ(parts_of("no hex,\xff\x01:x,:5,b", &one), 2u);
  EXPECT_EQ(parts_of("ffffffffffffffffffff:1,b:2", &one), 1u);
  std::string many;
  for (int i = 0; i < 5000; i++)
    many += std::to_string(i) + ":1,";
  EXPECT_EQ(parts_of((many + "b:1").c_str(), &one),
            static_cast<guint>(CALLER_PARTS_MAX));
}

/* Returns the attempt that the request names as the beginning of its stream;
** "-": none. */
std::string resumed_attempt(const std::vector<std::string> &values) {
  HttpHead *head = caller();
  CallerHead read;
  http_head_add(head, "Last-Event-Id", "4");
  for (const std::string &value : values)
    http_head_add(head, "Resumes", value.c_str());
  EXPECT_TRUE(platform_read_caller(head, &read, nullptr));
  EXPECT_TRUE(read.request.resumes);
  std::string attempt = read.request.resumed_attempt != nullptr
                            ? read.request.resumed_attempt
                            : "-";
  caller_head_clear(&read);
  http_head_free(head);
  return attempt;
}

TEST(PlatformCaller, AttemptThatBeganTheStreamIsReadOrUnknown) {
  EXPECT_EQ(resumed_attempt({"9c40"}), "9c40");
  EXPECT_EQ(resumed_attempt({}), "-");
  EXPECT_EQ(resumed_attempt({""}), "-");
  EXPECT_EQ(resumed_attempt({"9c40", "9c40"}), "-");
  EXPECT_EQ(resumed_attempt({std::string(257, 'a')}), "-");
  EXPECT_EQ(resumed_attempt({std::string(256, 'a')}), std::string(256, 'a'));
}

TEST(PlatformCaller, WithoutAnIdOrAHostIsRefused) {
  for (const char *field : {"Host", "Request-Id"}) {
    HttpHead *head = caller();
    CallerHead read;
    GError *error = nullptr;
    http_head_remove(head, field);
    EXPECT_FALSE(platform_read_caller(head, &read, &error));
    EXPECT_TRUE(g_error_matches(error, MP_ERROR, MP_ERR_BAD_REQUEST));
    g_clear_error(&error);
    caller_head_clear(&read);
    http_head_free(head);
  }
}

TEST(PlatformRefusal, PromisesNotRunOnlyWhereThatIsMeant) {
  for (int kind = 0; kind <= REFUSAL_TIMEOUT; kind++) {
    Refusal refusal = {static_cast<RefusalKind>(kind), 1500};
    char *body = nullptr;
    HttpHead *head = platform_write_refusal(&refusal, "9c41", &body);
    bool unknown = kind == REFUSAL_OUTCOME_UNKNOWN || kind == REFUSAL_TIMEOUT;
    bool promises = head->status == 503 || head->status == 429;
    if (kind != REFUSAL_NO_ROUTE) {
      EXPECT_EQ(promises, !unknown) << kind;
    }
    EXPECT_EQ(http_head_get(head, "Server-Stamp"), nullptr);
    EXPECT_STREQ(http_head_get(head, "Retry-After"), "1.500");
    EXPECT_NE(strstr(body, "\"kind\""), nullptr);
    http_head_free(head);
    g_free(body);
  }
}

TEST(PlatformDispatch, SaysWhatTheSystemSetsAndKeepsTheRest) {
  HttpHead *from = caller();
  Dispatch dispatch = {};
  dispatch.kind = DISPATCH_RUN;
  dispatch.endpoint = "i-7f";
  dispatch.deadline_ms = 900;
  dispatch.handle = "3fa0";
  dispatch.handle_address = mp_addr_parse("10.1.64.9:8080");
  dispatch.last_event = "12";
  char *body = nullptr;
  HttpHead *head = platform_write_dispatch(&dispatch, from, &body);
  EXPECT_EQ(body, nullptr); /* the caller's own goes on */
  EXPECT_STREQ(head->method, "POST");
  EXPECT_STREQ(head->target, "/a/b/c?x=1");
  EXPECT_STREQ(http_head_get(head, "Deadline-Ms"), "900");
  EXPECT_EQ(http_head_count(head, "Deadline-Ms"), 1u);
  EXPECT_STREQ(http_head_get(head, "Expect-Instance"), "i-7f");
  EXPECT_STREQ(http_head_get(head, "Kv-From"), "10.1.64.9:8080/3fa0");
  EXPECT_EQ(http_head_count(head, "Kv-From"), 1u);
  EXPECT_STREQ(http_head_get(head, "Last-Event-Id"), "12");
  EXPECT_STREQ(http_head_get(head, "Request-Id"), "9c41");
  EXPECT_STREQ(http_head_get(head, "Token-Count"), "1460,80");
  EXPECT_EQ(http_head_get(head, "Stage"), nullptr);
  EXPECT_EQ(http_head_get(head, "Connection"), nullptr);
  http_head_free(head);
  http_head_free(from);
}

/*
** {==================================================================
** Fields that only the system may set
** ===================================================================
*/

/* source of the names: the platform's pages on requests and on stages */
const char *const reserved_names[] = {
    "Deadline-Ms", "Expect-Instance", "Expect-Version", "Stage",
    "Kv-From",     "Kv-Fetch",        "Kv-Backup",      "Kv-Hold",
    "Pin-Ms",      "Request-Urgency", "Api-Key",        "Tenant"};

/* a caller's spelling of a field name: some letters in the other case */
std::string respelled(const char *name, std::mt19937 &random) {
  std::string text = name;
  for (char &letter : text) {
    if (random() % 2 == 0)
      letter = g_ascii_isupper(letter) ? g_ascii_tolower(letter)
                                       : g_ascii_toupper(letter);
  }
  return text;
}

/* the kinds of dispatch that carry a caller's head on */
std::vector<Dispatch> forwarding_dispatches() {
  Dispatch plain = {};
  plain.kind = DISPATCH_RUN;
  plain.endpoint = "i-7f";
  plain.deadline_ms = 900;
  Dispatch prefill = plain;
  prefill.kind = DISPATCH_PREFILL;
  Dispatch fetch = plain;
  fetch.handle = "3fa0";
  fetch.handle_address = mp_addr_parse("10.1.64.9:8080");
  Dispatch resumed = plain;
  resumed.last_event = "12";
  return {plain, prefill, fetch, resumed};
}

/* no value that the caller gave to a system field is passed on */
void expect_not_forwarded(const HttpHead *from) {
  for (const Dispatch &dispatch : forwarding_dispatches()) {
    char *body = nullptr;
    HttpHead *head = platform_write_dispatch(&dispatch, from, &body);
    for (const char *name : reserved_names) {
      const char *value = http_head_get(head, name);
      EXPECT_LE(http_head_count(head, name), 1u) << name;
      EXPECT_STRNE(value != nullptr ? value : "", "forged") << name;
    }
    EXPECT_EQ(http_head_count(head, "Request-Id"), 1u);
    EXPECT_STREQ(http_head_get(head, "Token-Count"), "1460,80");
    EXPECT_STREQ(http_head_get(head, "Prompt-Prefix"), "5c:800,e44:250");
    http_head_free(head);
    g_free(body);
  }
}

TEST(PlatformSystemFields, TheTableHoldsEveryReservedName) {
  for (const char *name : reserved_names) {
    const char *const *at = platform_reserved_fields;
    while (*at != nullptr && strcmp(*at, name) != 0)
      at++;
    EXPECT_NE(*at, nullptr) << name;
  }
}

TEST(PlatformSystemFields, AreNeverForwardedAsTheCallerSentThem) {
  for (const char *name : reserved_names) {
    for (int form = 0; form < 4; form++) {
      HttpHead *from = caller();
      std::string lower = name;
      for (char &letter : lower)
        letter = g_ascii_tolower(letter);
      http_head_remove(from, name);
      http_head_add(from, form == 1 ? lower.c_str() : name, "forged");
      if (form == 2)
        http_head_add(from, lower.c_str(), "forged");
      if (form == 3)
        http_head_add(from, "Connection", name);
      SCOPED_TRACE(std::string(name) + " form " + std::to_string(form));
      expect_not_forwarded(from);
      http_head_free(from);
    }
  }
}

TEST(PlatformSystemFields, ACallersConnectionFieldRemovesNoRequestField) {
  HttpHead *from = caller();
  http_head_add(from, "Connection",
                "Request-Id, token-count, Prompt-Prefix, X-Hop");
  http_head_add(from, "X-Hop", "1");
  expect_not_forwarded(from);
  Dispatch dispatch = forwarding_dispatches()[0];
  char *body = nullptr;
  HttpHead *head = platform_write_dispatch(&dispatch, from, &body);
  EXPECT_EQ(http_head_get(head, "X-Hop"), nullptr);
  http_head_free(head);
  http_head_free(from);
}

/* Guards against an urgency that a caller chooses, and against one that is
** sent where the configuration has no priorities. */
TEST(PlatformSystemFields, UrgencyIsSentIfTheDispatchHasOne) {
  HttpHead *from = caller();
  http_head_add(from, "Request-Urgency", "0");
  for (Dispatch dispatch : forwarding_dispatches()) {
    char *body = nullptr;
    HttpHead *head = platform_write_dispatch(&dispatch, from, &body);
    EXPECT_EQ(http_head_count(head, "Request-Urgency"), 0u);
    http_head_free(head);
    dispatch.has_urgency = TRUE;
    dispatch.urgency = 9;
    head = platform_write_dispatch(&dispatch, from, &body);
    EXPECT_EQ(http_head_count(head, "Request-Urgency"), 1u);
    EXPECT_STREQ(http_head_get(head, "Request-Urgency"), "9");
    http_head_free(head);
  }
  http_head_free(from);
}

TEST(PlatformSystemFields, RandomCallersHeadsForwardNone) {
  std::mt19937 random(20261202);
  const char *const others[] = {"Accept", "Length-Hint", "Model",
                                "X-A",    "Cookie",      "Last-Event-Id"};
  for (int round = 0; round < 3000; round++) {
    HttpHead *from = caller();
    for (unsigned i = random() % 9; i > 0; i--) {
      bool reserved = random() % 3 != 0;
      const char *name =
          reserved ? reserved_names[random() % G_N_ELEMENTS(reserved_names)]
                   : others[random() % G_N_ELEMENTS(others)];
      std::string spelled = respelled(name, random);
      http_head_add(from, spelled.c_str(), reserved ? "forged" : "kept");
      if (random() % 4 == 0)
        http_head_add(from, respelled("Connection", random).c_str(),
                      spelled.c_str());
    }
    expect_not_forwarded(from);
    ASSERT_FALSE(HasFailure()) << "round " << round;
    http_head_free(from);
  }
}

/* }================================================================== */

TEST(PlatformDispatch, OrdersNameHolderFenceAndSequence) {
  StageOrder order = {STAGE_DECODE, "edge-1", 41, 3};
  Dispatch dispatch = {};
  char *body = nullptr;
  dispatch.kind = DISPATCH_ORDER;
  dispatch.endpoint = "i-7f";
  dispatch.order = &order;
  HttpHead *head = platform_write_dispatch(&dispatch, nullptr, &body);
  EXPECT_STREQ(head->method, "POST");
  EXPECT_STREQ(head->target, "/order");
  EXPECT_STREQ(http_head_get(head, "Expect-Instance"), "i-7f");
  EXPECT_STREQ(body, R"({"Op":"Stage","Stage":"decode","Holder":"edge-1",)"
                     R"("Fence":41,"ExpectRev":3})");
  http_head_free(head);
  g_free(body);
  dispatch.kind = DISPATCH_REPORT;
  head = platform_write_dispatch(&dispatch, nullptr, &body);
  EXPECT_STREQ(head->method, "GET");
  EXPECT_STREQ(head->target, "/report");
  EXPECT_EQ(body, nullptr);
  http_head_free(head);
}

TEST(PlatformEndpoint, ReportsAreRead) {
  std::string good = R"({"Stage":"prefill","Busy":true,"Seq":2,"Queued":1})";
  EngineReport report;
  ASSERT_TRUE(
      platform_read_report(good.data(), good.size(), &report, nullptr));
  EXPECT_EQ(report.stage, STAGE_PREFILL);
  EXPECT_TRUE(report.busy);
  EXPECT_EQ(report.sequence, 2);
  for (std::string bad : {R"({"Stage":"prefill"})", R"({"Seq":2})", "[", ""}) {
    GError *error = nullptr;
    EXPECT_FALSE(
        platform_read_report(bad.data(), bad.size(), &report, &error));
    EXPECT_NE(error, nullptr);
    g_clear_error(&error);
  }
}

EndpointSignals read_signals(int status, const char *name,
                             const std::vector<const char *> &values) {
  HttpHead *head = http_head_new_response(status);
  EndpointHead read;
  for (const char *value : values)
    http_head_add(head, name, value);
  platform_read_endpoint(head, &read);
  http_head_free(head);
  return read.signals;
}

EndpointSignals read_rate(const std::vector<const char *> &values) {
  return read_signals(200, "Server-Limit", values);
}

TEST(PlatformEndpoint, ARateIsAPlainDecimalNumberThatStandsOnce) {
  EXPECT_EQ(read_rate({}).rate, SIGNAL_ABSENT);
  struct {
    const char *text;
    double rate;
  } good[] = {{"4.4", 4.4}, {"0", 0},  {"0.05", 0.05},
              {"12", 12},   {"3.", 3}, {".5", 0.5}};
  for (const auto &one : good) {
    EndpointSignals read = read_rate({one.text});
    EXPECT_EQ(read.rate, SIGNAL_GIVEN) << one.text;
    EXPECT_DOUBLE_EQ(read.rate_per_second, one.rate) << one.text;
  }
  for (const char *bad : {"", ".", "-1", "+1", "nan", "inf", "1e999", "1e3",
                          "4,4", "0x10", "5 per second", "five", "4.4.4"})
    EXPECT_EQ(read_rate({bad}).rate, SIGNAL_UNREADABLE) << bad;
  EXPECT_EQ(read_rate({"4", "4"}).rate, SIGNAL_UNREADABLE);
  std::string digits(400, '9');
  EndpointSignals far = read_rate({digits.c_str()});
  EXPECT_EQ(far.rate, SIGNAL_GIVEN);
  EXPECT_LE(far.rate_per_second, 1e12);
}

TEST(PlatformEndpoint, LeavingIsSaidWithOne) {
  const char *name = "Server-Leaving";
  EXPECT_EQ(read_signals(200, name, {}).leaving, SIGNAL_ABSENT);
  for (int status : {200, 202, 404, 500, 503})
    EXPECT_EQ(read_signals(status, name, {"1"}).leaving, SIGNAL_GIVEN);
  EXPECT_EQ(read_signals(200, name, {"1", "1"}).leaving, SIGNAL_GIVEN);
  for (const char *bad : {"", "0", "true", "11", "1,1"})
    EXPECT_EQ(read_signals(200, name, {bad}).leaving, SIGNAL_UNREADABLE);
  /* an interim answer is none, and 421 comes from another endpoint */
  EXPECT_EQ(read_signals(100, name, {"1"}).leaving, SIGNAL_ABSENT);
  EXPECT_EQ(read_signals(421, name, {"1"}).leaving, SIGNAL_ABSENT);
}

TEST(PlatformEndpoint, RestIsAPlainNumberOfSecondsOfARefusal) {
  const char *name = "Retry-After";
  EXPECT_EQ(read_signals(503, name, {}).rest, SIGNAL_ABSENT);
  struct {
    const char *text;
    gint64 time;
  } good[] = {{"3", 3 * MP_SEC},
              {"0.25", 250 * MP_MS},
              {"0", 0},
              {"1000000000", 366LL * 24 * 3600 * MP_SEC}};
  for (const auto &one : good) {
    for (int status : {503, 429}) {
      EndpointSignals read = read_signals(status, name, {one.text});
      EXPECT_EQ(read.rest, SIGNAL_GIVEN) << one.text;
      EXPECT_EQ(read.rest_time, one.time) << one.text;
    }
  }
  for (const char *bad : {"", "-1", "inf", "nan", "1e9", "soon",
                          "Thu, 03 Dec 2026 07:28:00 GMT", "3 s"})
    EXPECT_EQ(read_signals(503, name, {bad}).rest, SIGNAL_UNREADABLE) << bad;
  for (int status : {200, 202, 421, 500, 302})
    EXPECT_EQ(read_signals(status, name, {"3"}).rest, SIGNAL_ABSENT);
}

TEST(PlatformEndpoint, AnUnknownFieldIsNamed) {
  HttpHead *head = http_head_new_response(200);
  EndpointHead read;
  for (const char *known : {"server-stamp", "REQUEST-ID", "Date", "Connection",
                            "Content-Length", "Not-Run", "Weight-Versions"})
    http_head_add(head, known, "1");
  platform_read_endpoint(head, &read);
  EXPECT_EQ(read.signals.unknown, nullptr);
  http_head_add(head, "Server-Mood", "low");
  platform_read_endpoint(head, &read);
  EXPECT_STREQ(read.signals.unknown, "Server-Mood");
  http_head_free(head);
}

/* each one was asked for: none is kept shorter than it says */
TEST(PlatformEndpoint, OfSeveralRestsTheLongestCounts) {
  const char *name = "Retry-After";
  for (const auto &values : std::vector<std::vector<const char *>>{
           {"1", "3"}, {"3", "1"}, {"3", "soon"}, {"soon", "3"}}) {
    EndpointSignals read = read_signals(503, name, values);
    EXPECT_EQ(read.rest, SIGNAL_GIVEN);
    EXPECT_EQ(read.rest_time, 3 * MP_SEC);
  }
}

TEST(PlatformEndpoint, HeadIsRead) {
  HttpHead *head = http_head_new_response(503);
  EndpointHead read;
  http_head_add(head, "Not-Run", "1");
  http_head_add(head, "Keep-Alive", "timeout=5, max=9");
  http_head_add(head, "Request-Id", "9c41");
  platform_read_endpoint(head, &read);
  EXPECT_TRUE(read.not_run);
  EXPECT_FALSE(read.is_signed);
  EXPECT_FALSE(read.misdirected);
  EXPECT_EQ(read.idle_limit, 5 * MP_SEC);
  EXPECT_STREQ(read.request_id, "9c41");
  head->status = 421;
  platform_read_endpoint(head, &read);
  EXPECT_TRUE(read.misdirected);
  http_head_free(head);
}

TEST(PlatformEndpoint, A503WithoutItsPromiseMayHaveRun) {
  HttpHead *head = http_head_new_response(503);
  EndpointHead read;
  platform_read_endpoint(head, &read);
  EXPECT_FALSE(read.not_run);
  http_head_free(head);
}

TEST(PlatformConfiguration, IsRead) {
  RouteTable *table =
      platform_read_configuration(configuration, nullptr, nullptr);
  ASSERT_NE(table, nullptr);
  EXPECT_EQ(table->version, 7u);
  const Route *route = route_table_find_route(table, "h.example", "/a/x");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->kind, ROUTE_STREAM);
  EXPECT_TRUE(route_is_repeatable(route));
  EXPECT_EQ(route->timeout, 14 * MP_SEC);
  route = route_table_find_route(table, "H.example", "/a/b/x");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->kind, ROUTE_UNSAFE);
  EXPECT_STREQ(route_choose_service(route, 0), "s");
  EXPECT_STREQ(route_choose_service(route, G_MAXUINT32), "t");
  EXPECT_EQ(route_table_find_route(table, "h.example", "/b/"), nullptr);
  EXPECT_EQ(route_table_find_route(table, "other", "/a/"), nullptr);
  const Service *service = route_table_find_service(table, "s");
  ASSERT_NE(service, nullptr);
  EXPECT_TRUE(service->is_engine);
  EXPECT_EQ(service->tokens_per_event, 12u);
  EXPECT_EQ(service->handle_lifetime, 500 * MP_MS);
  EXPECT_EQ(table->limits.max_body_bytes, 4194304u);
  route_table_unref(table);
}

std::string many_routes(unsigned count, unsigned changed, unsigned version) {
  std::string text =
      "{\"Version\":" + std::to_string(version) + ",\"Routes\":[";
  for (unsigned i = 0; i < count; i++)
    text += std::string(i > 0 ? "," : "") + "{\"Name\":\"r" +
            std::to_string(i) + "\",\"Host\":\"h\",\"PathPrefix\":\"/p" +
            std::to_string(i) + "/\",\"Kind\":\"safe\",\"Service\":\"s\"," +
            "\"TimeoutMs\":" + (i == changed ? "9000}" : "4000}");
  return text + "],\"Services\":[{\"Name\":\"s\"}]}";
}

TEST(PlatformConfiguration, RoutesThatHaveNotChangedAreSharedWithTheOlderOne) {
  std::string first = many_routes(300, 300, 1);
  std::string second = many_routes(301, 7, 2);
  RouteTable *older =
      platform_read_configuration(first.c_str(), nullptr, nullptr);
  RouteTable *newer =
      platform_read_configuration(second.c_str(), older, nullptr);
  RouteTable *alone =
      platform_read_configuration(second.c_str(), nullptr, nullptr);
  ASSERT_EQ(newer->routes->len, 301u);
  for (guint i = 0; i < 300; i++)
    EXPECT_EQ(newer->routes->pdata[i] == older->routes->pdata[i], i != 7) << i;
  route_table_unref(older);
  for (guint i = 0; i < 301; i++) {
    auto *route = static_cast<const Route *>(newer->routes->pdata[i]);
    auto *same = static_cast<const Route *>(alone->routes->pdata[i]);
    EXPECT_STREQ(route->prefix, same->prefix);
    EXPECT_EQ(route->timeout, same->timeout);
    EXPECT_STREQ(route_choose_service(route, 0), "s");
  }
  EXPECT_EQ(newer->version, 2u);
  route_table_unref(newer);
  route_table_unref(alone);
}

TEST(PlatformConfiguration,
     ALongOneThatIsSpoiltIsRefusedWholeAndLeavesTheOlder) {
  std::string first = many_routes(300, 300, 1);
  RouteTable *older =
      platform_read_configuration(first.c_str(), nullptr, nullptr);
  std::string good = many_routes(300, 9, 2);
  for (const char *part : {"\"Host\"", "9000", "\"Services\"", "]", "{"}) {
    std::string bad = good;
    GError *error = nullptr;
    bad.replace(bad.find(part, 40), strlen(part), "!");
    EXPECT_EQ(platform_read_configuration(bad.c_str(), older, &error), nullptr)
        << part;
    EXPECT_TRUE(g_error_matches(error, MP_ERROR, MP_ERR_SETTINGS)) << part;
    g_clear_error(&error);
  }
  EXPECT_NE(route_table_find_route(older, "h", "/p299/x"), nullptr);
  route_table_unref(older);
}

TEST(PlatformConfiguration, ABadOneIsRefusedWhole) {
  for (const char *text :
       {"", "null", "[]", R"({"Version":0,"Routes":[],"Services":[]})",
        R"({"Version":3,"Services":[]})",
        R"({"Version":3,"Routes":[{"Name":"x"}],"Services":[]})",
        R"({"Version":3,"Routes":[{"Host":"h","PathPrefix":"/"}],)"
        R"("Services":[]})"}) {
    GError *error = nullptr;
    EXPECT_EQ(platform_read_configuration(text, nullptr, &error), nullptr)
        << text;
    EXPECT_TRUE(g_error_matches(error, MP_ERROR, MP_ERR_SETTINGS)) << text;
    g_clear_error(&error);
  }
}

TEST(PlatformRecord, IsRead) {
  EndpointRecord record;
  ASSERT_TRUE(platform_read_endpoint_record(
      "i-7f",
      R"({"Service":"s","Addr":"10.128.0.9:8080","Zone":"z","Slots":64,)"
      R"("State":"ready","ColdLeftMs":20,"Stage":"prefill",)"
      R"("Version":"v1.1"})",
      &record, nullptr));
  EXPECT_STREQ(record.id, "i-7f");
  EXPECT_STREQ(record.software, "v1.1");
  EXPECT_TRUE(record.ready);
  EXPECT_EQ(record.stage, STAGE_PREFILL);
  EXPECT_EQ(record.warmup_left, 20 * MP_MS);
  endpoint_record_clear(&record);
  EXPECT_FALSE(platform_read_endpoint_record("i-7f", R"({"Service":"s"})",
                                             &record, nullptr));
  ASSERT_TRUE(platform_read_endpoint_record(
      "i-7f",
      R"({"Service":"s","Addr":"1.2.3.4:5","Zone":"z","Slots":64,)"
      R"("State":"draining"})",
      &record, nullptr));
  EXPECT_FALSE(record.ready);
  EXPECT_EQ(record.software, nullptr);
  endpoint_record_clear(&record);
}

StoreReply reply(StoreOperation operation, int status, const std::string &body,
                 gboolean *good) {
  StoreCall call = {};
  StoreReply out;
  GError *error = nullptr;
  call.kind = STORE_ENDPOINTS;
  call.operation = operation;
  *good = platform_read_store_reply(&call, status, body.data(), body.size(),
                                    &out, &error);
  EXPECT_EQ(*good, error == nullptr);
  g_clear_error(&error);
  return out;
}

TEST(PlatformStore, ListsAndEventsAreRead) {
  gboolean good;
  StoreReply list =
      reply(STORE_LIST, 200,
            R"({"items":[{"Metadata":{"Name":"a","Rev":4},"Spec":{"x":1}}],)"
            R"("more":true,"at":530})",
            &good);
  ASSERT_TRUE(good);
  ASSERT_EQ(list.objects->len, 1u);
  const StoreObject *object = &g_array_index(list.objects, StoreObject, 0);
  EXPECT_STREQ(object->name, "a");
  EXPECT_STREQ(object->text, R"({"x":1})");
  EXPECT_EQ(object->position.revision, 4);
  EXPECT_TRUE(list.more);
  EXPECT_EQ(list.at.revision, 530);
  store_reply_clear(&list);
  StoreReply events =
      reply(STORE_WATCH, 200,
            R"({"events":[{"gone":true,"object":{"Metadata":{"Name":"a",)"
            R"("Rev":9}}}],"at":533})",
            &good);
  ASSERT_TRUE(good);
  EXPECT_TRUE(g_array_index(events.objects, StoreObject, 0).gone);
  store_reply_clear(&events);
}

TEST(PlatformStore, StatusesAreTold) {
  gboolean good;
  EXPECT_EQ(reply(STORE_WATCH, 410, "", &good).status, STORE_HISTORY_GONE);
  EXPECT_EQ(reply(STORE_CREATE, 409, "{}", &good).status, STORE_CONFLICT);
  EXPECT_EQ(reply(STORE_LIST, 503, "", &good).status, STORE_FAILED);
  EXPECT_EQ(reply(STORE_LIST, 429, "", &good).status, STORE_FAILED);
  EXPECT_EQ(reply(STORE_LIST, 200, "{}", &good).status, STORE_FAILED);
  EXPECT_FALSE(good);
}

TEST(PlatformStore, CallsAreWritten) {
  StoreCall call = {};
  char *body = nullptr;
  call.kind = STORE_ENDPOINTS;
  call.operation = STORE_LIST;
  call.after = "i 7";
  HttpHead *head = platform_write_store_call(&call, &body);
  EXPECT_STREQ(head->target, "/objects/servers?after=i%207");
  http_head_free(head);
  call.operation = STORE_WATCH;
  call.position.revision = 530;
  call.wait = 3 * MP_SEC;
  head = platform_write_store_call(&call, &body);
  EXPECT_STREQ(head->target, "/objects/servers?watch=530&WaitMs=3000");
  http_head_free(head);
  call.kind = STORE_INSTANCES;
  call.operation = STORE_CREATE;
  call.name = "edge-1";
  char zone[] = "wien-a";
  InstanceRecord instance = {mp_addr_parse("10.1.0.38:7381"),
                             mp_addr_parse("10.1.0.38:8144"), zone, 120};
  call.instance = &instance;
  head = platform_write_store_call(&call, &body);
  EXPECT_STREQ(head->method, "POST");
  EXPECT_NE(strstr(body, "\"edge-1\""), nullptr);
  EXPECT_NE(strstr(body, "10.1.0.38:7381"), nullptr);
  EXPECT_NE(strstr(body, "10.1.0.38:8144"), nullptr);
  EXPECT_NE(strstr(body, "wien-a"), nullptr);
  EXPECT_NE(strstr(body, "\"Capacity\":120"), nullptr);
  http_head_free(head);
  g_free(body);
}

/*
** {==================================================================
** Client accounts
** ===================================================================
*/

std::string digest_of(const char *key) {
  char out[MP_SHA256_HEX + 1];
  mp_digest(key, strlen(key), out);
  return out;
}

/* a configuration whose "Tenants" are this text */
RouteTable *with_accounts(const std::string &accounts, GError **error) {
  std::string text =
      R"({"Version":3,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/",)"
      R"("Kind":"safe","Service":"s","Public":true}],"Services":[{"Name":"s"}])" +
      accounts + "}";
  return platform_read_configuration(text.c_str(), nullptr, error);
}

TEST(PlatformAccounts, AreReadWithKeysAndLimits) {
  GError *error = nullptr;
  RouteTable *table = with_accounts(
      R"(,"Tenants":[{"Name":"hule","ApiKeys":["k1","k2"],"Priority":1,)"
      R"("Unit":"generate","PlainTokens":200,"RatePerS":185831,"Burst":7},)"
      R"({"Name":"other","ApiKeys":["k3","k1"]},{"Name":"none"}])",
      &error);
  ASSERT_NE(table, nullptr);
  const Account *account =
      route_table_find_account(table, digest_of("k2").c_str());
  ASSERT_NE(account, nullptr);
  EXPECT_STREQ(account->name, "hule");
  EXPECT_TRUE(account->has_priority);
  EXPECT_EQ(account->priority, 1u);
  EXPECT_EQ(account->unit, ACCOUNT_TOKENS);
  EXPECT_EQ(account->rate, 185831);
  EXPECT_EQ(account->burst, 7);
  EXPECT_EQ(account_cost(account, 5200, 73), 5273);
  EXPECT_EQ(account_cost(account, 0, 0), 200);
  /* a key that stands twice is the first one's */
  EXPECT_EQ(route_table_find_account(table, digest_of("k1").c_str()), account);
  account = route_table_find_account(table, digest_of("k3").c_str());
  ASSERT_NE(account, nullptr);
  EXPECT_FALSE(account->has_priority);
  EXPECT_STREQ(account->name, "other");
  EXPECT_EQ(account->rate, 0);
  EXPECT_EQ(account_cost(account, 5200, 73), 1);
  EXPECT_EQ(route_table_find_account(table, digest_of("k4").c_str()), nullptr);
  EXPECT_TRUE(static_cast<Route *>(table->routes->pdata[0])->is_public);
  route_table_unref(table);
}

TEST(PlatformAccounts, WithoutThemNoKeyIsNeededAndAnEmptyListNeedsOne) {
  GError *error = nullptr;
  RouteTable *table = with_accounts("", &error);
  ASSERT_NE(table, nullptr);
  EXPECT_EQ(table->accounts, nullptr);
  route_table_unref(table);
  table = with_accounts(R"(,"Tenants":[])", &error);
  ASSERT_NE(table, nullptr);
  EXPECT_NE(table->accounts, nullptr);
  route_table_unref(table);
}

TEST(PlatformAccounts, OneWithoutANameSpoilsTheConfiguration) {
  GError *error = nullptr;
  EXPECT_EQ(with_accounts(R"(,"Tenants":[{"ApiKeys":["k"]}])", &error),
            nullptr);
  ASSERT_NE(error, nullptr);
  EXPECT_NE(strstr(error->message, "Name"), nullptr);
  g_error_free(error);
}

TEST(PlatformAccounts, TheKeyIsReadAndCounted) {
  HttpHead *head = caller();
  CallerHead read;
  ASSERT_TRUE(platform_read_caller(head, &read, nullptr));
  EXPECT_EQ(read.request.keys, 0u);
  caller_head_clear(&read);
  http_head_add(head, "api-key", "k1");
  http_head_add(head, "Api-Key", "k2");
  ASSERT_TRUE(platform_read_caller(head, &read, nullptr));
  EXPECT_EQ(read.request.keys, 2u);
  EXPECT_STREQ(read.request.key, "k1");
  caller_head_clear(&read);
  http_head_free(head);
}

TEST(PlatformAccounts, TheAccountIsNamedAndTheKeyKept) {
  HttpHead *from = caller();
  http_head_add(from, "Api-Key", "k1");
  http_head_add(from, "TENANT", "forged");
  for (Dispatch dispatch : forwarding_dispatches()) {
    char *body = nullptr;
    dispatch.account = "hule";
    HttpHead *head = platform_write_dispatch(&dispatch, from, &body);
    EXPECT_EQ(http_head_count(head, "Tenant"), 1u);
    EXPECT_STREQ(http_head_get(head, "Tenant"), "hule");
    EXPECT_EQ(http_head_count(head, "Api-Key"), 0u);
    http_head_free(head);
  }
  http_head_free(from);
}

TEST(PlatformAccounts, RefusalsSayWhatToDo) {
  const struct {
    RefusalKind kind;
    int status;
    const char *remedy;
  } all[] = {{REFUSAL_KEY, 401, "Api-Key"},
             {REFUSAL_LIMIT, 429, "Retry-After"},
             {REFUSAL_OLD_CONFIGURATION, 503, "Retry-After"}};
  for (auto &one : all) {
    Refusal refusal = {one.kind, one.kind == REFUSAL_KEY ? 0 : 250};
    char *body = nullptr;
    HttpHead *head = platform_write_refusal(&refusal, "q1", &body);
    EXPECT_EQ(head->status, one.status);
    EXPECT_NE(strstr(body, one.remedy), nullptr);
    EXPECT_EQ(http_head_get(head, "Retry-After") != nullptr,
              one.kind != REFUSAL_KEY);
    http_head_free(head);
    g_free(body);
  }
}

/* }================================================================== */

TEST(PlatformStore, LeasesAreReadAndReplacedOnTheirRevision) {
  LeaseRecord record = {const_cast<char *>("edge-1"), 5};
  LeaseRecord read = {};
  StoreCall call = {};
  StoreReply out;
  char *body = nullptr;
  std::string object =
      R"({"Metadata":{"Name":"l","Rev":412},"Spec":{"Holder":"e","Term":4}})";
  call.kind = STORE_LEASES;
  call.operation = STORE_REPLACE;
  call.name = "l";
  call.position.revision = 412;
  call.lease = &record;
  HttpHead *head = platform_write_store_call(&call, &body);
  EXPECT_STREQ(head->method, "PUT");
  EXPECT_STREQ(head->target, "/objects/madderpier-leases/l");
  EXPECT_STREQ(body, R"({"Metadata":{"Name":"l","Rev":412},)"
                     R"("Spec":{"Holder":"edge-1","Term":5}})");
  http_head_free(head);
  g_free(body);
  for (int status : {200, 409}) {
    ASSERT_TRUE(platform_read_store_reply(&call, status, object.data(),
                                          object.size(), &out, nullptr));
    EXPECT_EQ(out.status, status == 200 ? STORE_OK : STORE_CONFLICT);
    ASSERT_EQ(out.objects->len, 1u);
    const StoreObject *one = &g_array_index(out.objects, StoreObject, 0);
    EXPECT_EQ(one->position.revision, 412);
    ASSERT_TRUE(platform_read_lease(one->text, &read, nullptr));
    EXPECT_STREQ(read.holder, "e");
    EXPECT_EQ(read.term, 4u);
    lease_record_clear(&read);
    store_reply_clear(&out);
  }
  call.operation = STORE_READ;
  head = platform_write_store_call(&call, &body);
  EXPECT_STREQ(head->method, "GET");
  EXPECT_EQ(body, nullptr);
  http_head_free(head);
  platform_read_store_reply(&call, 404, "{}", 2, &out, nullptr);
  EXPECT_EQ(out.status, STORE_NOT_FOUND);
  EXPECT_FALSE(platform_read_lease("{}", &read, nullptr));
}

/* mutated documents are read or refused; nothing is lost or overrun */
TEST(PlatformFuzz, SurvivesMutatedDocuments) {
  std::mt19937 random(20261202);
  std::string good = configuration;
  std::string list =
      R"({"items":[{"Metadata":{"Name":"a","Rev":4},"Spec":{"Service":"s"}}],)"
      R"("more":false,"at":530})";
  for (int i = 0; i < 5000; i++) {
    std::string text = good;
    std::string answer = list;
    for (int k = 0; k < 3; k++) {
      text[random() % text.size()] = "{}[]\",:0a"[random() % 9];
      answer[random() % answer.size()] = "{}[]\",:0a"[random() % 9];
    }
    GError *error = nullptr;
    RouteTable *table =
        platform_read_configuration(text.c_str(), nullptr, &error);
    EXPECT_NE(table == nullptr, error == nullptr);
    route_table_unref(table);
    g_clear_error(&error);
    gboolean read;
    StoreReply out = reply(STORE_LIST, 200, answer, &read);
    store_reply_clear(&out);
    EndpointRecord record;
    if (platform_read_endpoint_record("i", answer.c_str(), &record, nullptr))
      endpoint_record_clear(&record);
    PrefillResponse prefill = {};
    EngineReport report;
    platform_read_report(answer.data(), answer.size(), &report, nullptr);
    LeaseRecord lease;
    platform_read_lease(answer.c_str(), &lease, nullptr);
    lease_record_clear(&lease);
    if (platform_read_prefill(answer.data(), answer.size(), &prefill, nullptr))
      g_free(prefill.handle);
  }
}

} // namespace
