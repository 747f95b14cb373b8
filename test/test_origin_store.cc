/*
** test_origin_store.cc
** Origins of streams in the store: what is held, written, read and refused
*/

#include <algorithm>

#include <gtest/gtest.h>

#include "router_world.h"

extern "C" {
#include "router/origin_store.h"
#include "router/relay_members.h"
}

using namespace routing;

namespace {

StreamOrigin origin_of(unsigned key, guint64 software, gint64 expires) {
  StreamOrigin origin = {};
  origin.key.digest[0] = key;
  origin.software = software;
  origin.service = 7;
  origin.expires = expires;
  return origin;
}

/*
** {==================================================================
** The recorder
** ===================================================================
*/

class RecorderTest : public testing::Test {
protected:
  OriginRecorder *recorder = origin_recorder_new();
  gint64 now = 100 * second;
  gint64 revision = 0;

  ~RecorderTest() override {
    origin_recorder_free(recorder);
  }

  RecordState add(unsigned key, guint64 software, guint32 number = 1,
                  gint64 expires = 110 * second) {
    StreamOrigin origin = origin_of(key, software, expires);
    return origin_recorder_add(recorder, &origin, {5, number, 0}, now);
  }

  /* Returns the operation of the next call, -1 if none is due, and sets 'rows'
  ** to what it writes. */
  int next_call() {
    OriginsSave save = {};
    if (!origin_recorder_next_call(recorder, &save, now))
      return -1;
    rows.clear();
    if (save.record.origins != nullptr) {
      auto *data = reinterpret_cast<StoredOrigin *>(save.record.origins->data);
      rows.assign(data, data + save.record.origins->len);
    }
    stream_origins_record_clear(&save.record);
    now += 5 * ms;
    return save.operation;
  }

  /* Answers the open call; returns the numbers that are acknowledged. */
  std::vector<guint32>
  answer(StoreStatus status,
         const std::vector<StoredOrigin> *stored = nullptr) {
    StreamOriginsRecord record = {nullptr};
    if (stored != nullptr) {
      record.origins = g_array_new(FALSE, FALSE, sizeof(StoredOrigin));
      g_array_append_vals(record.origins, stored->data(),
                          static_cast<guint>(stored->size()));
    }
    StorePosition position = {};
    if (status == STORE_OK || status == STORE_CONFLICT)
      position.revision = ++revision;
    gboolean is_written = FALSE;
    GArray *acks = origin_recorder_handle_reply(
        recorder, status, position, stored != nullptr ? &record : nullptr,
        &is_written, now);
    was_written = is_written != FALSE;
    std::vector<guint32> numbers;
    for (guint i = 0; i < acks->len; i++)
      numbers.push_back(g_array_index(acks, OriginAck, i).number);
    g_array_free(acks, TRUE);
    if (stored != nullptr)
      stream_origins_record_clear(&record);
    now += 30 * ms;
    return numbers;
  }

  /* Brings the recorder to where it has written this origin. */
  void write_first() {
    add(1, 11);
    EXPECT_EQ(next_call(), STORE_READ);
    answer(STORE_NOT_FOUND);
    EXPECT_EQ(next_call(), STORE_CREATE);
    answer(STORE_OK);
  }

  std::vector<StoredOrigin> rows;
  bool was_written = false;
};

/* Guards against calls at rest. */
TEST_F(RecorderTest, CallsNothingBeforeThereIsAnOrigin) {
  EXPECT_EQ(next_call(), -1);
  EXPECT_EQ(origin_recorder_next_time(recorder), G_MAXINT64);
}

/* Guards against acknowledging what only this process knows. */
TEST_F(RecorderTest, AcknowledgesWhenTheStoreHas) {
  EXPECT_EQ(add(1, 11, 21), RECORD_PENDING);
  EXPECT_EQ(next_call(), STORE_READ);
  EXPECT_TRUE(answer(STORE_NOT_FOUND).empty());
  EXPECT_EQ(next_call(), STORE_CREATE);
  add(2, 12, 22); /* after the write began */
  EXPECT_EQ(answer(STORE_OK), std::vector<guint32>{21});
  EXPECT_EQ(next_call(), STORE_REPLACE);
  EXPECT_EQ(rows.size(), 2u);
  EXPECT_EQ(answer(STORE_OK), std::vector<guint32>{22});
  EXPECT_EQ(next_call(), -1);
  EXPECT_EQ(add(1, 11, 23), RECORD_WRITTEN);
  EXPECT_EQ(next_call(), -1);
}

/* Guards against an instance that forgets, when it is killed, what its earlier
** life had written. */
TEST_F(RecorderTest, CarriesOnWhatAnEarlierLifeLeft) {
  std::vector<StoredOrigin> left = {{{{9, 0}}, 19, 7, 0, 8000}};
  add(1, 11);
  EXPECT_EQ(next_call(), STORE_READ);
  answer(STORE_OK, &left);
  EXPECT_EQ(next_call(), STORE_REPLACE);
  ASSERT_EQ(rows.size(), 2u);
  EXPECT_TRUE(std::any_of(rows.begin(), rows.end(), [](const auto &row) {
    return row.key.digest[0] == 9 && row.software == 19;
  }));
}

/* Guards against a write without an answer that is carried out later and
** removes what came since, or is removed itself. */
TEST_F(RecorderTest, MergesWhatALateWriteLeft) {
  write_first();
  add(2, 12, 22);
  EXPECT_EQ(next_call(), STORE_REPLACE);
  EXPECT_EQ(answer(STORE_FAILED), std::vector<guint32>{22});
  EXPECT_FALSE(was_written);
  EXPECT_EQ(next_call(), -1) << "the next try is not at once";
  now += 300 * ms;
  EXPECT_EQ(add(3, 13), RECORD_FAILING);
  EXPECT_EQ(next_call(), STORE_REPLACE);
  std::vector<StoredOrigin> late = {{{{1, 0}}, 11, 7, 0, 8000},
                                    {{{2, 0}}, 12, 7, 0, 8000},
                                    {{{8, 0}}, 18, 7, 0, 8000}};
  EXPECT_TRUE(answer(STORE_CONFLICT, &late).empty());
  EXPECT_EQ(next_call(), STORE_REPLACE);
  EXPECT_EQ(rows.size(), 4u);
  answer(STORE_OK);
  EXPECT_TRUE(was_written);
  EXPECT_EQ(add(3, 13), RECORD_WRITTEN);
}

/* Guards against streams that are joined from two versions: a stream for which
** two are named goes on at none. */
TEST_F(RecorderTest, TwoVersionsUnderOneKeyAreAmbiguousForGood) {
  write_first();
  std::vector<StoredOrigin> other = {{{{1, 0}}, 12, 7, 0, 8000}};
  add(2, 12);
  EXPECT_EQ(next_call(), STORE_REPLACE);
  answer(STORE_CONFLICT, &other);
  add(1, 11);
  EXPECT_EQ(next_call(), STORE_REPLACE);
  for (const StoredOrigin &row : rows)
    EXPECT_EQ(row.software, row.key.digest[0] == 1 ? 0u : 12u);
}

/* Guards against an object that an operator has removed, or that a restored
** store lacks. */
TEST_F(RecorderTest, ObjectThatIsGoneIsCreatedAgain) {
  write_first();
  add(2, 12);
  EXPECT_EQ(next_call(), STORE_REPLACE);
  EXPECT_TRUE(answer(STORE_NOT_FOUND).empty());
  EXPECT_EQ(next_call(), STORE_CREATE);
  EXPECT_EQ(rows.size(), 2u);
  answer(STORE_OK);
  origin_recorder_store_restored(recorder);
  EXPECT_EQ(next_call(), STORE_READ);
  answer(STORE_NOT_FOUND);
  EXPECT_EQ(next_call(), STORE_CREATE);
  EXPECT_EQ(rows.size(), 2u);
}

/* Guards against calls for streams that nobody may take up any more. */
TEST_F(RecorderTest, WritesAnEmptyObjectOnceAllHaveExpired) {
  write_first();
  now += 11 * second;
  origin_recorder_expire(recorder, now);
  EXPECT_EQ(next_call(), STORE_REPLACE);
  EXPECT_TRUE(rows.empty());
  answer(STORE_OK);
  now += 60 * second;
  origin_recorder_expire(recorder, now);
  EXPECT_EQ(next_call(), -1);
}

/* Guards against origins that stay in the store for good since their instance
** was killed and has none to write. */
TEST_F(RecorderTest, EmptiesWhatAnEarlierLifeLeftWhenItIsListed) {
  std::vector<StoredOrigin> left = {{{{9, 0}}, 19, 7, 0, 8000}};
  origin_recorder_note_filled(recorder);
  EXPECT_EQ(next_call(), STORE_READ);
  answer(STORE_OK, &left);
  EXPECT_EQ(next_call(), STORE_REPLACE);
  EXPECT_EQ(rows.size(), 1u);
  answer(STORE_OK);
  now += 9 * second;
  origin_recorder_expire(recorder, now);
  EXPECT_EQ(next_call(), STORE_REPLACE);
  EXPECT_TRUE(rows.empty());
  answer(STORE_OK);
  EXPECT_EQ(next_call(), -1);
}

/* Guards against an object that the store rejects for its size. */
TEST_F(RecorderTest, OriginsThatExpireFirstAreLeftOut) {
  for (unsigned i = 1; i <= RECORDED_ORIGINS_MAX + 10; i++) {
    add(i, 11, 0, 110 * second + i);
  }
  next_call();
  answer(STORE_NOT_FOUND);
  next_call();
  EXPECT_EQ(rows.size(), static_cast<size_t>(RECORDED_ORIGINS_MAX));
  for (const StoredOrigin &row : rows)
    EXPECT_GT(row.key.digest[0], 10u);
  add(1, 11, 0, 111 * second);
  answer(STORE_OK);
  EXPECT_EQ(next_call(), -1) << "a large object is written less often";
  now += 100 * ms;
  EXPECT_EQ(next_call(), STORE_REPLACE);
}

/* Guards against writes of all that has not expired for each new origin. */
TEST(OriginSlices, AWriteHoldsTheOriginsOfOneSecond) {
  OriginSlices *slices = origin_slices_new();
  size_t most = 0;
  unsigned calls = 0;
  gint64 now = 100 * second;
  for (unsigned i = 1; i <= 1000; i++, now += 20 * ms) {
    StreamOrigin origin = origin_of(i, 11, now + 14 * second);
    origin_slices_add(slices, &origin, {5, i, 0}, now);
    OriginsSave save = {};
    if (!origin_slices_next_call(slices, &save, now))
      continue;
    OriginsSave other = {};
    EXPECT_FALSE(origin_slices_next_call(slices, &other, now));
    calls++;
    if (save.record.origins != nullptr)
      most = std::max<size_t>(most, save.record.origins->len);
    stream_origins_record_clear(&save.record);
    gboolean is_written = FALSE;
    StorePosition position = {};
    position.revision = save.operation == STORE_READ ? 0 : i;
    g_array_free(origin_slices_handle_reply(
                     slices,
                     save.operation == STORE_READ ? STORE_NOT_FOUND : STORE_OK,
                     position, nullptr, &is_written, now),
                 TRUE);
    EXPECT_TRUE(is_written);
  }
  EXPECT_LE(most, 60u);
  EXPECT_GE(calls, 400u);
  origin_slices_free(slices);
}

/* Guards against a call for each object, and against waits, while the store
** does not answer. */
TEST(OriginSlices, FailureOfOneStopsTheOthers) {
  OriginSlices *slices = origin_slices_new();
  gint64 now = 100 * second;
  StreamOrigin origin = origin_of(1, 11, now + 14 * second);
  OriginsSave save = {};
  gboolean is_written = TRUE;
  EXPECT_EQ(origin_slices_add(slices, &origin, {5, 1, 0}, now),
            RECORD_PENDING);
  ASSERT_TRUE(origin_slices_next_call(slices, &save, now));
  now += second; /* another slice */
  g_array_free(origin_slices_handle_reply(slices, STORE_FAILED, {}, nullptr,
                                          &is_written, now),
               TRUE);
  EXPECT_FALSE(is_written);
  origin = origin_of(2, 11, now + 14 * second);
  EXPECT_EQ(origin_slices_add(slices, &origin, {5, 2, 0}, now),
            RECORD_FAILING);
  EXPECT_FALSE(origin_slices_next_call(slices, &save, now));
  now += 300 * ms;
  EXPECT_TRUE(origin_slices_next_call(slices, &save, now));
  origin_slices_free(slices);
}

/* }================================================================== */

/*
** {==================================================================
** First pieces and streams that are taken up
** ===================================================================
*/

class OriginStoreTest : public testing::Test {
protected:
  World world;

  void SetUp() override {
    world.configure();
    world.started_unix_ms = 1;
    add("pre-1", "v1", STAGE_PREFILL);
    add("old-1", "v1");
    add("old-2", "v1");
    add("new-1", "v2");
    add("new-2", "v2");
    router_use_origin_store(world.router);
  }

  void add(const char *id, const char *software,
           EndpointStage stage = STAGE_DECODE) {
    world.software = software;
    world.endpoint({id, "llm", "a", stage});
  }

  void set_members(unsigned count, const char *zone = "a") {
    GArray *members = g_array_new(FALSE, FALSE, sizeof(RelayMember));
    for (unsigned i = 0; i < count; i++) {
      mp_Addr address =
          mp_addr_parse(("10.0.1." + std::to_string(i + 1) + ":1").c_str());
      RelayMember member = {address, g_str_hash(zone), 1};
      g_array_append_val(members, member);
    }
    router_set_members(world.router, members);
    g_array_free(members, TRUE);
  }

  SentDispatch run_of(guint64 request) {
    if (world.last().request == request &&
        world.last().kind == DISPATCH_PREFILL)
      world.prefilled(world.last().number);
    return world.last();
  }

  SentDispatch begin(const char *attempt, unsigned events = 1) {
    world.id = attempt;
    SentDispatch run = run_of(world.request("/resume/x"));
    world.outcome(run.number, OUTCOME_STREAM_HEAD);
    for (unsigned i = 1; i <= events; i++)
      world.piece(run.number, std::to_string(i).c_str());
    return run;
  }

  size_t events_of(const SentDispatch &run) {
    return world.end(run.request).events.size();
  }

  /* Whom origins were sent to for the store, in order, and the last number. */
  std::vector<mp_Addr> recorders() {
    std::vector<mp_Addr> found;
    for (const auto &[to, message] : world.messages) {
      if (message.kind != MP_MSG_STREAM_RECORD)
        continue;
      found.push_back(to);
      number = message.u.record.number;
    }
    return found;
  }

  void acknowledge(mp_Addr from, bool is_written = true) {
    mp_Msg message = {};
    message.kind = MP_MSG_STREAM_RECORDED;
    message.u.recorded.number = number;
    message.u.recorded.is_written = is_written;
    router_stream_message(world.router, from, &message, world.now);
  }

  /* Sets the members so that another instance is the recorder. */
  void record_elsewhere() {
    set_members(20);
  }

  guint64 take_up(const char *attempt) {
    return world.request_resumption("/resume/x", 0, attempt, "1");
  }

  /* Ends the open list, which names this version for the attempt. */
  void list(const char *attempt, std::vector<const char *> versions) {
    ASSERT_TRUE(router_next_origins_list(world.router, world.now));
    for (const char *software : versions)
      list_object(attempt, software);
    router_origins_list_ended(world.router, TRUE, world.now);
  }

  void list_object(const char *attempt, const char *software) {
    EndpointRecord record = {};
    record.service = const_cast<char *>("llm");
    record.software = const_cast<char *>(software);
    StoredOrigin origin = {stream_key(nullptr, attempt),
                           endpoint_software_digest(&record),
                           g_str_hash("llm"), 0, 8000};
    StreamOriginsRecord listed = {
        g_array_new(FALSE, FALSE, sizeof(StoredOrigin))};
    g_array_append_val(listed.origins, origin);
    router_origins_listed(world.router, &listed, -1, world.now);
    stream_origins_record_clear(&listed);
  }

  guint32 number = 0;
};

/* Guards against a stream that its caller has begun to read and of which
** nothing outlives the instances. */
TEST_F(OriginStoreTest, FirstPieceWaitsForTheRecorder) {
  record_elsewhere();
  SentDispatch run = begin("a1", 2);
  ASSERT_EQ(recorders().size(), 1u);
  EXPECT_EQ(world.end(run.request).heads, 1);
  EXPECT_EQ(events_of(run), 0u);
  world.advance(20 * ms);
  EXPECT_EQ(events_of(run), 0u);
  acknowledge(recorders()[0]);
  EXPECT_EQ(events_of(run), 2u);
  world.piece(run.number, "3");
  EXPECT_EQ(events_of(run), 3u);
  EXPECT_EQ(world.longest_hold, 20 * ms);
}

/* Guards against pieces that come late because a recorder was killed. */
TEST_F(OriginStoreTest, SilentRecorderIsReplacedAndThenNotWaitedFor) {
  record_elsewhere();
  SentDispatch run = begin("a1");
  world.advance(60 * ms);
  auto asked = recorders();
  ASSERT_EQ(asked.size(), 2u);
  EXPECT_NE(asked[0], asked[1]);
  EXPECT_EQ(events_of(run), 0u);
  world.advance(20 * ms);
  EXPECT_EQ(events_of(run), 1u);
  EXPECT_LE(world.longest_hold, 80 * ms);
  SentDispatch next = begin("a2");
  EXPECT_EQ(events_of(next), 1u) << "nothing is held for a second";
  EXPECT_EQ(recorders().back(), asked[1]);
  world.advance(1100 * ms);
  EXPECT_EQ(events_of(begin("a3")), 0u);
}

/* Guards against a piece that waits on although its origin is written. */
TEST_F(OriginStoreTest, LateAcknowledgementOfTheFirstRecorderCounts) {
  record_elsewhere();
  SentDispatch run = begin("a1");
  world.advance(50 * ms);
  acknowledge(recorders()[0], false); /* it is not waited for any more */
  EXPECT_EQ(events_of(run), 0u);
  acknowledge(recorders()[0]);
  EXPECT_EQ(events_of(run), 1u);
}

TEST_F(OriginStoreTest, SecondRecorderReleasesThePiece) {
  record_elsewhere();
  SentDispatch run = begin("a1");
  world.advance(50 * ms);
  acknowledge(recorders()[1]);
  EXPECT_EQ(events_of(run), 1u);
  EXPECT_EQ(events_of(begin("a2")), 0u) << "the store answers";
}

/* Guards against an instance that the store turns away and that is the
** recorder of others. */
TEST_F(OriginStoreTest, RecorderThatTheStoreTurnsAwayIsReplacedAtOnce) {
  record_elsewhere();
  SentDispatch run = begin("a1");
  acknowledge(recorders()[0], false);
  ASSERT_EQ(recorders().size(), 2u);
  EXPECT_NE(recorders()[0], recorders()[1]);
  EXPECT_EQ(events_of(run), 0u);
  acknowledge(recorders()[1]);
  EXPECT_EQ(events_of(run), 1u);
}

TEST_F(OriginStoreTest, NothingIsHeldWhileTheStoreDoesNotAnswer) {
  record_elsewhere();
  SentDispatch run = begin("a1");
  acknowledge(recorders()[0], false);
  acknowledge(recorders()[1], false);
  EXPECT_EQ(events_of(run), 1u);
  EXPECT_EQ(events_of(begin("a2")), 1u);
}

/* Guards against a response that never ends since it is held. */
TEST_F(OriginStoreTest, EndIsNotHeld) {
  record_elsewhere();
  SentDispatch run = begin("a1", 2);
  world.outcome(run.number, OUTCOME_STREAM_END);
  EXPECT_EQ(events_of(run), 2u);
  EXPECT_EQ(world.end(run.request).answers, 1);
  EXPECT_TRUE(world.held.empty());
}

/* Guards against pieces that are lost, doubled or of another version when the
** endpoint breaks off while the first piece is held. */
TEST_F(OriginStoreTest, RunThatBreaksOffWhileHeldGoesOnAtItsVersion) {
  record_elsewhere();
  SentDispatch run = begin("a1", 2);
  world.outcome(run.number, OUTCOME_BROKEN);
  SentDispatch second_run = run_of(run.request);
  ASSERT_NE(second_run.number, run.number);
  EXPECT_EQ(second_run.last_event, "2");
  EXPECT_EQ(second_run.endpoint.substr(0, 3), run.endpoint.substr(0, 3));
  world.outcome(second_run.number, OUTCOME_STREAM_HEAD);
  world.piece(second_run.number, "3");
  acknowledge(recorders()[0]);
  EXPECT_EQ(world.end(run.request).events,
            (std::vector<std::string>{"1", "2", "3"}));
}

TEST_F(OriginStoreTest, CallerMayLeaveWhileItsPieceIsHeld) {
  record_elsewhere();
  SentDispatch run = begin("a1");
  world.hangup(run.request);
  acknowledge(recorders()[0]);
  world.advance(second);
  EXPECT_EQ(router_open_requests(world.router), 0u);
}

/* Guards against a recorder that is asked across the slow links. */
TEST_F(OriginStoreTest, RecorderIsOfTheOwnDataCentre) {
  set_members(20, "b");
  SentDispatch run = begin("a1");
  EXPECT_TRUE(recorders().empty());
  OriginsSave save = {};
  ASSERT_TRUE(router_next_origins_save(world.router, &save, world.now));
  EXPECT_EQ(save.operation, STORE_READ);
  router_origins_saved(world.router, STORE_NOT_FOUND, {}, nullptr, nullptr,
                       world.now);
  ASSERT_TRUE(router_next_origins_save(world.router, &save, world.now));
  EXPECT_EQ(save.record.origins->len, 1u);
  stream_origins_record_clear(&save.record);
  EXPECT_EQ(events_of(run), 0u);
  router_origins_saved(world.router, STORE_OK, {0, 3}, nullptr, nullptr,
                       world.now);
  EXPECT_EQ(events_of(run), 1u);
}

/* Guards against refusals of streams that a recorder has written. */
TEST_F(OriginStoreTest, StreamThatTheStoreKnowsGoesOn) {
  guint64 request = take_up("a1");
  EXPECT_EQ(world.end(request).refusals, 0);
  list("a1", {"v2"});
  EXPECT_EQ(run_of(request).endpoint.substr(0, 3), "new");
  EXPECT_NE(world.log.back().find("software=v2"), std::string::npos);
  guint64 again = take_up("a1");
  EXPECT_FALSE(router_next_origins_list(world.router, world.now));
  EXPECT_EQ(run_of(again).endpoint.substr(0, 3), "new") << "it is kept here";
}

TEST_F(OriginStoreTest, StreamThatTheStoreDoesNotKnowIsRefused) {
  guint64 request = take_up("a1");
  list("a2", {"v2"});
  EXPECT_EQ(world.end(request).refusal, REFUSAL_STREAM_UNKNOWN);
  EXPECT_EQ(world.end(request).retry_after_ms, 0);
}

TEST_F(OriginStoreTest, TwoVersionsUnderOneAttemptAreRefused) {
  guint64 request = take_up("a1");
  list("a1", {"v1", "v2"});
  EXPECT_EQ(world.end(request).refusal, REFUSAL_STREAM_UNKNOWN);
}

/* Guards against a decision by a list that may lack the stream. */
TEST_F(OriginStoreTest, ListThatBeganEarlierDecidesNothing) {
  take_up("a1");
  ASSERT_TRUE(router_next_origins_list(world.router, world.now));
  world.advance(10 * ms);
  guint64 later = take_up("a2");
  router_origins_list_ended(world.router, TRUE, world.now);
  EXPECT_EQ(world.end(later).refusals, 0);
  world.advance(50 * ms);
  list("a2", {"v1"});
  EXPECT_EQ(run_of(later).endpoint.substr(0, 3), "old");
}

TEST_F(OriginStoreTest, ListThatFailsDecidesNothing) {
  guint64 request = take_up("a1");
  ASSERT_TRUE(router_next_origins_list(world.router, world.now));
  list_object("a1", "v1");
  router_origins_list_ended(world.router, FALSE, world.now);
  EXPECT_EQ(world.end(request).refusals, 0);
  EXPECT_FALSE(router_next_origins_list(world.router, world.now));
  world.advance(50 * ms);
  list("a1", {"v1", "v2"});
  EXPECT_EQ(world.end(request).refusal, REFUSAL_STREAM_UNKNOWN);
}

/* Guards against callers that wait for a store that is away. */
TEST_F(OriginStoreTest, StoreThatIsAwayIsNotWaitedFor) {
  guint64 request = take_up("a1");
  ASSERT_TRUE(router_next_origins_list(world.router, world.now));
  world.advance(490 * ms);
  EXPECT_EQ(world.end(request).refusals, 0);
  world.advance(20 * ms);
  EXPECT_EQ(world.end(request).refusal, REFUSAL_STREAM_UNKNOWN);
  EXPECT_GT(world.end(request).retry_after_ms, 0) << "it may know it later";
  router_origins_list_ended(world.router, FALSE, world.now);
}

TEST_F(OriginStoreTest, OneListServesAllThatWait) {
  guint64 first = take_up("a1");
  guint64 second_one = take_up("a1");
  list("a1", {"v1"});
  EXPECT_EQ(world.end(first).refusals + world.end(second_one).refusals, 0);
  EXPECT_FALSE(router_next_origins_list(world.router, world.now));
}

/* }================================================================== */

} // namespace
