/*
** test_caller_memory.cc
** Callers outside the limits, at the server for callers (Front) on loopback:
** whose requests give way, what they are told, and whose connections are
** closed for new ones
*/

#include <gtest/gtest.h>
#include <signal.h>

#include "loopback.h"

extern "C" {
#include "io/clock.h"
#include "io/front.h"
#include "platform/platform.h"
}

using loopback::Listener;
using loopback::Peer;

namespace {

constexpr guint64 bound = 1 << 20;

std::string head_of(const std::string &id, const std::string &fields) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n" + fields +
         "\r\n";
}

/* A request whose last byte is missing. */
std::string unfinished(const std::string &id, size_t size) {
  return head_of(id, "Content-Length: " + std::to_string(size + 1) + "\r\n") +
         std::string(size, 'x');
}

struct CallerMemory : ::testing::Test {
  struct event_base *base = event_base_new();
  Front *front = nullptr;
  mp_Addr address = 0;
  std::vector<std::unique_ptr<Peer>> callers;
  std::vector<guint64> requests;
  std::vector<std::string> refused; /* ids */
  std::vector<bool> gave_way;
  int cut = 0;

  void SetUp() override {
    signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    FrontHooks hooks = {
        this,
        [](void *data, guint64 number, const HttpHead *) {
          self(data)->requests.push_back(number);
        },
        [](void *, guint64) {},
        [](void *, int, const char *) {},
        [](void *, const char *) {},
        [](void *data, const FrontCut *) { self(data)->cut++; }};
    FrontFlowHooks flow = {
        this,
        [](void *, guint64, gboolean) {},
        [](void *, guint64, gint64) {},
        [](void *, guint64, FlowReason, const FlowReader *, guint64) {},
        [](void *, const char *, guint64, guint64) {},
        on_refused};
    FlowLimits limits = flow_limits(bound);
    {
      Listener free_port;
      address = free_port.address;
    }
    front =
        front_new(base, address, &platform_dialect, &hooks, nullptr, nullptr);
    ASSERT_NE(front, nullptr);
    front_control_flow(front, &limits, &flow);
  }
  void TearDown() override {
    callers.clear();
    front_free(front);
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
  }
  static CallerMemory *self(void *data) {
    return static_cast<CallerMemory *>(data);
  }
  static void on_refused(void *data, const FrontRefusal *refusal) {
    self(data)->refused.emplace_back(refusal->id != nullptr ? refusal->id
                                                            : "-");
    self(data)->gave_way.push_back(refusal->gave_way != FALSE);
    EXPECT_NE(refusal->caller, 0u);
  }
  bool wait(const std::function<bool()> &done) {
    return loopback::until(
        base,
        [this] {
          for (auto &one : callers)
            one->read_some();
        },
        done);
  }
  void pass(gint64 time) {
    gint64 until = clock_now() + time;
    wait([&] { return clock_now() >= until; });
  }
  /* A caller that has sent this, of which the server has read all. */
  Peer *call(const std::string &bytes) {
    callers.push_back(loopback::call(address));
    if (!bytes.empty())
      callers.back()->send_text(bytes);
    pass(20 * MP_MS);
    return callers.back().get();
  }
  Peer *ask(const std::string &id) {
    return call(head_of(id, "Content-Length: 0\r\n"));
  }
  void answer(size_t i) {
    HttpHead *head = http_head_new_response(200);
    front_send_response(front, requests[i], head, "ok", 2);
    http_head_free(head);
  }
  static bool is_not_run(const Peer *peer) {
    return peer->got.rfind("HTTP/1.1 503", 0) == 0 &&
           peer->got.find("not run:") != std::string::npos &&
           peer->got.find("Retry-After") != std::string::npos;
  }
  guint64 used() const {
    return flow_used(front_flow(front));
  }
};

/* Guards against a crowd of small requests that stop short of their end and
** keep everybody else out. */
TEST_F(CallerMemory, StalledRequestsGiveWayToAnOrdinaryOne) {
  for (int i = 0; i < 12; i++)
    call(unfinished("stalled-" + std::to_string(i), 60000));
  EXPECT_LE(used(), bound + bound / FLOW_RESERVE_SHARE);
  size_t at_once = refused.size();
  pass(FLOW_QUICK_TIME);
  ask("ordinary");
  ASSERT_TRUE(wait([&] { return requests.size() == 1; }));
  pass(20 * MP_MS);
  EXPECT_GT(refused.size(), 0u);
  for (size_t i = 0; i < refused.size(); i++)
    EXPECT_EQ(gave_way[i], i >= at_once) << refused[i];
  size_t told = 0;
  for (const auto &one : callers)
    told += is_not_run(one.get()) ? 1 : 0;
  EXPECT_EQ(told, refused.size());
  EXPECT_EQ(requests.size(), 1u);
}

/* Guards against heads that are not counted, or too late. */
TEST_F(CallerMemory, HeadsAreBoundedWhileTheyArrive) {
  std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 2500; i++)
    head += "a:b\r\n";
  for (int i = 0; i < 40; i++) {
    call(head);
    EXPECT_LE(used(), bound + bound / FLOW_RESERVE_SHARE + (256 << 10));
  }
  EXPECT_GT(refused.size(), 0u);
  pass(FLOW_QUICK_TIME);
  ask("ordinary");
  EXPECT_TRUE(wait([&] { return requests.size() == 1; }));
}

/* A request that is whole never gives way, however large it is. */
TEST_F(CallerMemory, WholeRequestsAreKept) {
  for (int i = 0; i < 4; i++)
    call(head_of("whole-" + std::to_string(i), "Content-Length: 50000\r\n") +
         std::string(50000, 'x'));
  ASSERT_EQ(requests.size(), 4u);
  pass(FLOW_QUICK_TIME);
  for (int i = 0; i < 20; i++)
    call(unfinished("stalled-" + std::to_string(i), 60000));
  for (size_t i = 0; i < 4; i++)
    answer(i);
  pass(20 * MP_MS);
  for (size_t i = 0; i < 4; i++)
    EXPECT_EQ(callers[i]->got.rfind("HTTP/1.1 200", 0), 0u) << i;
  EXPECT_EQ(cut, 0);
}

/* Guards against input behind open requests that is not counted. At the bound,
** only connections of callers that send on are reset. */
TEST_F(CallerMemory, InputBehindOpenRequestsIsBounded) {
  std::string ask_on =
      head_of("open", "Content-Length: 0\r\n") + unfinished("next", 120000);
  Peer *patient = ask("patient");
  for (int i = 0; i < 30; i++)
    call(ask_on);
  EXPECT_LE(used(), bound + bound / FLOW_RESERVE_SHARE);
  EXPECT_GT(refused.size(), 0u);
  EXPECT_FALSE(patient->ended);
  answer(0);
  EXPECT_TRUE(wait([&] { return !patient->got.empty(); }));
}

/* Guards against requests that stay as long as bytes come. */
TEST_F(CallerMemory, ARequestMustBeWholeBeforeItsDeadline) {
  Peer *slow = call(head_of("slow", "Deadline-Ms: 300\r\n"
                                    "Content-Length: 1000\r\n"));
  EXPECT_TRUE(wait([&] {
    slow->send_text("x");
    pass(20 * MP_MS);
    return !slow->got.empty();
  }));
  EXPECT_EQ(slow->got.rfind("HTTP/1.1 408", 0), 0u);
  EXPECT_TRUE(requests.empty());
}

TEST_F(CallerMemory, AHeadMustBeWholeWithinTheRequestTimeout) {
  front_set_request_timeout(front, 300 * MP_MS);
  Peer *slow = call("POST /x HTTP/1.1\r\nX-A: ");
  EXPECT_TRUE(wait([&] {
    slow->send_text("x");
    pass(20 * MP_MS);
    return !slow->got.empty();
  }));
  EXPECT_EQ(slow->got.rfind("HTTP/1.1 408", 0), 0u);
}

TEST(CallerPlaces, FollowDescriptorsAndMemory) {
  EXPECT_EQ(front_places(4100, 0), 2018u);
  EXPECT_EQ(front_places(4100, 110 << 20), 440u);
  EXPECT_EQ(front_places(200, 110 << 20), 68u);
  EXPECT_EQ(front_places(0, 1), 16u);
}

/* Guards against callers that take all connections and send nothing. */
TEST_F(CallerMemory, TheLongestRestingConnectionIsClosedForANewOne) {
  front_set_places(front, 3);
  Peer *open = ask("open");
  Peer *first = call("");
  Peer *second = call("");
  Peer *ordinary = ask("ordinary");
  ASSERT_TRUE(wait([&] { return requests.size() == 2; }));
  EXPECT_TRUE(wait([&] { return first->ended; }));
  EXPECT_FALSE(second->ended);
  EXPECT_FALSE(open->ended);
  answer(0);
  answer(1);
  EXPECT_TRUE(
      wait([&] { return !open->got.empty() && !ordinary->got.empty(); }));
  EXPECT_EQ(front_places_taken(front), 1u);
}

/* No open request is given up for a new connection. */
TEST_F(CallerMemory, WithOpenRequestsOnlyANewConnectionIsClosed) {
  front_set_places(front, 2);
  Peer *one = ask("one");
  Peer *two = ask("two");
  Peer *late = ask("late");
  EXPECT_TRUE(wait([&] { return late->ended; }));
  EXPECT_EQ(requests.size(), 2u);
  EXPECT_FALSE(one->ended || two->ended);
}

/* A request that has stalled is given up, after those that rest. */
TEST_F(CallerMemory, AStalledRequestIsClosedForANewConnection) {
  front_set_places(front, 2);
  Peer *stalled = call(unfinished("stalled", 10));
  Peer *resting = call("");
  pass(FLOW_QUICK_TIME);
  ask("first");
  EXPECT_TRUE(wait([&] { return resting->ended; }));
  EXPECT_FALSE(stalled->ended);
  ask("second");
  EXPECT_TRUE(wait([&] { return stalled->ended; }));
  EXPECT_EQ(requests.size(), 2u);
}

} // namespace
