/*
** test_bad_entries.cc
** Entries of the store that other writers spoilt: one bad object costs one
** object
**
** What was measured: a list of two endpoints, the first one sound, was lost
** whole for each of ten ways in which the second one was bad; an instance that
** starts then learns no endpoint as long as that entry stands.
*/

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <tuple>
#include <vector>

extern "C" {
#include "platform/json_span.h"
#include "platform/platform.h"
}

namespace {

const std::string sound =
    R"({"Metadata":{"Name":"i-1","Rev":7},"Spec":{"Service":"s","Addr":)"
    R"("10.0.0.1:80","Zone":"a","Slots":8,"State":"ready","Seq":1},)"
    R"("Status":null})";

struct Bad {
  const char *what;
  std::string object;
  bool has_name; /* its name and revision can be read */
};

std::string with_spec(const std::string &spec) {
  return R"({"Metadata":{"Name":"i-2","Rev":8},"Spec":)" + spec + "}";
}

std::vector<Bad> bad_objects() {
  return {
      {"no metadata", R"({"Spec":{"Service":"s"}})", false},
      {"a number as its name", R"({"Metadata":{"Name":7,"Rev":8},"Spec":{}})",
       false},
      {"a string", R"("i-2")", false},
      {"null", "null", false},
      {"bytes that are no UTF-8", with_spec("{\"Service\":\"\xff\xfe\"}"),
       true},
      {"a NUL", with_spec(R"({"Service":"\u0000"})"), true},
      {"a lone surrogate", with_spec(R"({"Service":"\ud800"})"), true},
      {"a field twice", with_spec(R"({"Service":"s","Service":"t"})"), true},
      {"an integer past 64 bits",
       with_spec(R"({"Slots":99999999999999999999})"), true},
      {"a number out of range", with_spec(R"({"Slots":1e999})"), true},
      {"an empty name", R"({"Metadata":{"Name":"","Rev":8},"Spec":{}})",
       false},
      {"a revision that is no number",
       R"({"Metadata":{"Name":"i-2","Rev":"x"},"Spec":{}})", false},
      {"bytes that are no UTF-8 in its metadata",
       "{\"Metadata\":{\"Name\":\"i-\xff\",\"Rev\":8},\"Spec\":{}}", false},
      {"a deep nest",
       with_spec(std::string(100000, '[') + std::string(100000, ']')), true},
      {"no spec", R"({"Metadata":{"Name":"i-2","Rev":8}})", true},
  };
}

StoreReply read(StoreOperation operation, const std::string &body) {
  StoreCall call = {};
  StoreReply out;
  GError *error = nullptr;
  call.kind = STORE_ENDPOINTS;
  call.operation = operation;
  EXPECT_TRUE(platform_read_store_reply(&call, 200, body.data(), body.size(),
                                        &out, &error));
  g_clear_error(&error);
  return out;
}

const StoreObject &at(const StoreReply &reply, guint i) {
  return g_array_index(reply.objects, StoreObject, i);
}

/* the sound one is there whole, the bad one without a text that can be read */
void expect_others_hold(const StoreReply &reply, const Bad &bad) {
  ASSERT_NE(reply.objects, nullptr) << bad.what;
  ASSERT_EQ(reply.objects->len, bad.has_name ? 3u : 2u) << bad.what;
  EXPECT_STREQ(at(reply, 0).name, "i-1");
  EXPECT_STREQ(at(reply, reply.objects->len - 1).name, "i-1");
  EXPECT_NE(at(reply, 0).text, nullptr);
  EXPECT_EQ(reply.unreadable_names, bad.has_name ? 0u : 1u) << bad.what;
  if (!bad.has_name)
    return;
  EndpointRecord record;
  EXPECT_STREQ(at(reply, 1).name, "i-2");
  EXPECT_EQ(at(reply, 1).position.revision, 8);
  EXPECT_FALSE(platform_read_endpoint_record("i-2", at(reply, 1).text, &record,
                                             nullptr))
      << bad.what;
}

TEST(BadEntries, CostTheirOwnPlaceInAListAlone) {
  for (const Bad &bad : bad_objects()) {
    StoreReply reply =
        read(STORE_LIST, R"({"items":[)" + sound + "," + bad.object + ", " +
                             sound + R"(],"more":true,"at":530})");
    expect_others_hold(reply, bad);
    EXPECT_TRUE(reply.more) << bad.what;
    EXPECT_EQ(reply.at.revision, 530) << bad.what;
    store_reply_clear(&reply);
  }
}

std::string event(const std::string &object) {
  return R"({"gone":false,"object":)" + object + "}";
}

TEST(BadEntries, CostTheirOwnEventAlone) {
  for (const Bad &bad : bad_objects()) {
    StoreReply reply = read(STORE_WATCH, R"({"events":[)" + event(sound) +
                                             "," + event(bad.object) + "," +
                                             event(sound) + R"(],"at":533})");
    expect_others_hold(reply, bad);
    EXPECT_EQ(reply.at.revision, 533) << bad.what;
    store_reply_clear(&reply);
  }
}

TEST(BadEntries, ThatAreGoneAreGone) {
  StoreReply reply = read(STORE_WATCH, R"({"events":[{"gone":true,"object":)" +
                                           with_spec(R"({"Slots":1e999})") +
                                           R"(}],"at":533})");
  ASSERT_EQ(reply.objects->len, 1u);
  EXPECT_TRUE(at(reply, 0).gone);
  store_reply_clear(&reply);
}

/* an answer that is no list at all is none */
TEST(BadEntries, AnAnswerWithoutAListFails) {
  for (const char *body :
       {"", "[]", "null", R"({"items":{},"at":5})", R"({"items":[],"at":0})",
        R"({"items":[{"Metadata":{"Name":"a)", R"({"items":[],"at":-1})",
        R"({"items":[] "at":5})"}) {
    StoreCall call = {};
    StoreReply out;
    GError *error = nullptr;
    call.kind = STORE_ENDPOINTS;
    call.operation = STORE_LIST;
    EXPECT_FALSE(platform_read_store_reply(&call, 200, body, strlen(body),
                                           &out, &error))
        << body;
    EXPECT_EQ(out.status, STORE_FAILED);
    g_clear_error(&error);
  }
}

/* what an endpoint's entry says, with one field in another way */
std::string spec(const std::string &field, const std::string &value) {
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"Service", R"("s")"},   {"Addr", R"("10.0.0.1:80")"},
      {"Zone", R"("a")"},      {"Slots", "8"},
      {"State", R"("ready")"}, {"Stage", R"("decode")"},
      {"ColdLeftMs", "0"},     {"born", "1700000000000"},
      {"Version", R"("v1")"}};
  std::string out;
  for (const auto &[name, usual] : fields) {
    const std::string &text = name == field ? value : usual;
    if (!text.empty())
      out += (out.empty() ? "" : ",") + ("\"" + name + "\":" + text);
  }
  return "{" + out + "}";
}

bool is_read(const std::string &text, std::string *message) {
  EndpointRecord record;
  GError *error = nullptr;
  bool good =
      platform_read_endpoint_record("i-1", text.c_str(), &record, &error);
  *message = error != nullptr ? error->message : "";
  g_clear_error(&error);
  if (good)
    endpoint_record_clear(&record);
  return good;
}

TEST(BadEntries, FieldsThatAreMissingOrOfAnotherTypeNameNobody) {
  std::string message;
  EXPECT_TRUE(is_read(spec("", ""), &message)) << message;
  EXPECT_TRUE(is_read(spec("Stage", ""), &message)) << message; /* plain */
  EXPECT_TRUE(is_read(spec("born", ""), &message)) << message;
  EXPECT_TRUE(is_read(spec("ColdLeftMs", "12.5"), &message)) << message;
  const std::vector<std::pair<std::string, std::string>> wrong = {
      {"Service", ""},
      {"Service", "7"},
      {"Service", R"("")"},
      {"Addr", ""},
      {"Addr", R"("x")"},
      {"Addr", R"("10.0.0.1:0")"},
      {"Addr", R"("10.0.0.1:70000")"},
      {"Addr", "[]"},
      {"Addr", R"("0.0.0.0:80")"},
      {"Addr", R"("255.255.255.255:80")"},
      {"Addr", R"("224.0.0.1:80")"},
      {"Addr", R"(" 10.0.0.1:80")"},
      {"Addr", R"("10.0.0.1: 80")"},
      {"Addr", R"("+10.0.0.1:80")"},
      {"Addr", R"("10.0.0.1:80 ")"},
      {"Zone", ""},
      {"Zone", "{}"},
      {"Slots", ""},
      {"Slots", R"("8")"},
      {"Slots", "-1"},
      {"Slots", "1000000000000"},
      {"Slots", "8.5"},
      {"State", ""},
      {"State", R"("Ready")"},
      {"State", "true"},
      {"State", R"("lost")"},
      {"Stage", R"("xyz")"},
      {"Stage", "1"},
      {"Stage", R"("")"},
      {"ColdLeftMs", R"("0")"},
      {"ColdLeftMs", "-1"},
      {"ColdLeftMs", "1e300"},
      {"born", "1.5"},
      {"born", R"("1700000000000")"},
      {"born", "-5"},
      {"born", "null"}};
  for (const auto &[field, value] : wrong) {
    EXPECT_FALSE(is_read(spec(field, value), &message))
        << field << "=" << value;
    EXPECT_NE(message.find(field), std::string::npos)
        << field << "=" << value << ": " << message;
  }
}

RecordField field_of(const std::string &text) {
  EndpointRecord record;
  GError *error = nullptr;
  EXPECT_FALSE(
      platform_read_endpoint_record("i-1", text.c_str(), &record, &error));
  RecordField field = record_error_field(error);
  g_clear_error(&error);
  return field;
}

/* the field is told to metrics as well */
TEST(BadEntries, TheirErrorsTellTheField) {
  EXPECT_EQ(field_of("7"), RECORD_CONTENT);
  EXPECT_EQ(field_of("\xff"), RECORD_CONTENT);
  EXPECT_EQ(field_of(spec("Service", "")), RECORD_SERVICE);
  EXPECT_EQ(field_of(spec("Addr", "7")), RECORD_ADDRESS);
  EXPECT_EQ(field_of(spec("Zone", "")), RECORD_DATA_CENTRE);
  EXPECT_EQ(field_of(spec("State", "1")), RECORD_STATE);
  EXPECT_EQ(field_of(spec("Slots", "-1")), RECORD_SLOTS);
  EXPECT_EQ(field_of(spec("Stage", "1")), RECORD_STAGE);
  EXPECT_EQ(field_of(spec("ColdLeftMs", "-1")), RECORD_WARMUP_TIME);
  EXPECT_EQ(field_of(spec("born", "-1")), RECORD_INCARNATION);
  EXPECT_EQ(field_of(spec("Version", "1")), RECORD_SOFTWARE);
  EXPECT_EQ(field_of(spec("Version", R"("")")), RECORD_SOFTWARE);
  for (int i = 0; i < RECORD_FIELD_COUNT; i++)
    EXPECT_NE(record_field_name(static_cast<RecordField>(i)), nullptr);
}

TEST(BadEntries, AHoldUnderABadNameOrWithoutEndsTellsWhich) {
  QuarantineRecord record = {};
  for (const auto &[name, text, field] :
       {std::tuple{"xyz", R"({"Crashes":["a"]})", RECORD_NAME},
        std::tuple{"1f", "{}", RECORD_CRASHES},
        std::tuple{"1f", R"({"Crashes":["x"]})", RECORD_CRASHES}}) {
    GError *error = nullptr;
    EXPECT_FALSE(platform_read_quarantine(name, text, &record, &error));
    EXPECT_EQ(record_error_field(error), field) << name << " " << text;
    g_clear_error(&error);
  }
}

TEST(BadEntries, AReportOfAnUnknownStageIsNone) {
  EngineReport report;
  const std::string text = R"({"Stage":"xyz","Busy":false,"Seq":2})";
  EXPECT_FALSE(
      platform_read_report(text.data(), text.size(), &report, nullptr));
}

/* whatever the bytes are, nothing crashes and sound objects are not invented
 */
TEST(BadEntries, AnyBytesAreReadOrRefused) {
  const std::string good =
      R"({"items":[)" + sound + "," + sound + R"(],"more":false,"at":530})";
  std::mt19937 random(11);
  for (int i = 0; i < 20000; i++) {
    std::string body = good;
    for (unsigned k = 1 + random() % 4; k > 0; k--)
      body[random() % body.size()] = static_cast<char>(random());
    if (random() % 8 == 0)
      body.resize(random() % body.size());
    StoreCall call = {};
    StoreReply out;
    call.kind = STORE_ENDPOINTS;
    call.operation = STORE_LIST;
    if (platform_read_store_reply(&call, 200, body.data(), body.size(), &out,
                                  nullptr)) {
      EXPECT_LE(out.objects->len, 2u);
      store_reply_clear(&out);
    }
  }
}

TEST(JsonSpan, CutsOutMembersAndElements) {
  const std::string text =
      R"( {"a" : [1, "x,]\"}", {"b":[2]}, null ] ,"c":5})";
  JsonSpan object = {text.data(), text.size()};
  JsonSpan array;
  JsonSpan one;
  std::vector<std::string> found;
  ASSERT_TRUE(json_span_member(object, "a", &array));
  ASSERT_TRUE(json_span_is_array(array));
  while (json_span_next_element(&array, &one))
    found.emplace_back(one.text, one.size);
  EXPECT_EQ(found, (std::vector<std::string>{"1", R"("x,]\"}")",
                                             R"({"b":[2]})", "null"}));
  ASSERT_TRUE(json_span_member(object, "c", &one));
  EXPECT_EQ(json_span_parse_count(one), 5);
  EXPECT_FALSE(json_span_member(object, "b", &one));
  EXPECT_EQ(json_span_parse_count({"-3", 2}), -1);
  EXPECT_EQ(json_span_parse_count({"12x", 3}), -1);
}

} // namespace
