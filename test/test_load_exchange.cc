/*
** test_load_exchange.cc
** When an instance reports suspected ends of endpoints, over real datagrams
*/

#include <gtest/gtest.h>

#include "loopback.h"
#include "router_world.h"

extern "C" {
#include "io/clock.h"
#include "io/datagram.h"
#include "io/load_exchange.h"
#include "wire/rpc.h"
}

using namespace routing;

namespace {

constexpr mp_Addr any_loopback_port = 0x7f000001ULL << 16;

mp_Addr address_of(int fd) {
  struct sockaddr_in at = {};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<struct sockaddr *>(&at), &size);
  return any_loopback_port | ntohs(at.sin_port);
}

/* One instance that sends, and a socket in the place of another one. */
struct LoadExchangeTest : ::testing::Test {
  struct event_base *base = event_base_new();
  World world;
  LoadExchange *exchange = nullptr;
  int other = -1;
  unsigned crash_reports = 0;

  void SetUp() override {
    LoadExchangeHooks hooks = {
        nullptr,       [](void *) {},
        [](void *) {}, [](void *, mp_Addr, const mp_Msg *) {},
        [](void *) {}, [](void *) {}};
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
    mp_Addr address;
    world.now = clock_now();
    world.add_default_endpoints();
    other = datagram_open(any_loopback_port, "other", nullptr);
    ASSERT_GE(other, 0);
    address = address_of(other);
    g_array_append_val(peers, address);
    exchange = load_exchange_new(base, any_loopback_port, world.router, &hooks,
                                 nullptr);
    ASSERT_NE(exchange, nullptr);
    load_exchange_set_peers(exchange, peers, FALSE);
    g_array_free(peers, TRUE);
  }
  void TearDown() override {
    load_exchange_free(exchange);
    event_base_free(base);
    close(other);
  }
  void receive_all() {
    char bytes[MP_DATAGRAM_MAX + 1];
    char answer[MP_DATAGRAM_MAX];
    mp_Addr from;
    ssize_t size;
    while ((size = datagram_receive(other, bytes, sizeof bytes, &from)) > 0) {
      mp_Msg message;
      size_t answer_size;
      rpc_decode(
          bytes, static_cast<size_t>(size),
          [](void *, uint32_t) { return static_cast<mp_MsgKind>(0); }, nullptr,
          &message, answer, sizeof answer, &answer_size);
      crash_reports += message.kind == MP_MSG_CRASHES;
    }
  }
  /* A run starts or ends, and the loop runs for this time. */
  void send_changes_and_wait(gint64 span) {
    gint64 until = clock_now() + span;
    load_exchange_send_changes(exchange);
    loopback::until(
        base, [this] { receive_all(); }, [=] { return clock_now() >= until; });
  }
};

/*
** Guards against suspicions that are not reported while loads change: each
** digest put off the timer that reported them.
*/
TEST_F(LoadExchangeTest, SuspicionsAreReportedWhileLoadsChange) {
  gint64 until = clock_now() + 1300 * ms;
  world.content = 5;
  world.request("/unsafe/x");
  world.outcome(world.last().number, OUTCOME_BROKEN);
  send_changes_and_wait(20 * ms);
  EXPECT_EQ(crash_reports, 1u) << "at once";
  world.content = 0;
  while (clock_now() < until) {
    world.now = clock_now();
    world.request("/stream/x");
    send_changes_and_wait(60 * ms);
  }
  EXPECT_GE(crash_reports, 2u) << "again, since a datagram may be lost";
  EXPECT_LE(crash_reports, 4u);
}

} // namespace
