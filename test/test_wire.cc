/*
** test_wire.cc
** Messages as ONC RPC datagrams: what goes out comes in, and bad input is
** answered as RFC 5531 says or dropped. The last tests throw a bounded
** number of mutated inputs, from a fixed seed, at every decoder.
*/

#include <gtest/gtest.h>

#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

extern "C" {
#include "conf/conf.h"
#include "daemon/settings.h"
#include "wire/rpc.h"
}

namespace {

mp_MsgKind expected = MP_MSG_PROBE;

mp_MsgKind kindof(void *, uint32_t) {
  return expected;
}

struct Taken {
  RpcDecoded how;
  mp_Msg m;
  std::string answer;
};

Taken decode(const std::string &s) {
  Taken t;
  char out[MP_DATAGRAM_MAX];
  size_t n = 0;
  t.how = rpc_decode(s.data(), s.size(), kindof, nullptr, &t.m, out,
                     sizeof out, &n);
  t.answer.assign(out, n);
  return t;
}

std::string encode(const mp_Msg &m) {
  char out[MP_DATAGRAM_MAX];
  size_t n = rpc_encode(&m, out, sizeof out);
  return std::string(out, n);
}

/* the fullest message of each kind */
void fill(mp_LoadDigest *digest) {
  digest->n = MP_LOAD_DIGEST_ROWS;
  digest->waiting = 3;
  digest->in_time = 2;
  digest->oldest_ms = 400;
  digest->row[MP_LOAD_DIGEST_ROWS - 1].tokens = 99;
  digest->row[MP_LOAD_DIGEST_ROWS - 1].open = 3;
  digest->row[MP_LOAD_DIGEST_ROWS - 1].failing = 40;
  digest->changing_count = MP_LOAD_DIGEST_CHANGING;
  digest->changing[MP_LOAD_DIGEST_CHANGING - 1] = 7;
  digest->leaving_count = MP_LOAD_DIGEST_LEAVING;
  digest->leaving[MP_LOAD_DIGEST_LEAVING - 1] = 9;
  digest->retry_count = MP_LOAD_DIGEST_SERVICES;
  digest->retry[MP_LOAD_DIGEST_SERVICES - 1] = {8, 90, 10};
  digest->ranked_count = MP_LOAD_DIGEST_PRIORITIES;
  digest->ranked[MP_LOAD_DIGEST_PRIORITIES - 1] = {8, 9, 12, 400};
  digest->account_count = MP_LOAD_DIGEST_ACCOUNTS;
  digest->account[MP_LOAD_DIGEST_ACCOUNTS - 1] = {9, 90, 10};
}

mp_Msg full(mp_MsgKind k) {
  mp_Msg m;
  memset(&m, 0, sizeof m);
  m.kind = k;
  m.seq = 7;
  switch (k) {
  case MP_MSG_PROBE:
  case MP_MSG_PROBE_VIA:
    m.u.probe.nmember = MP_GOSSIP_MEMBERS;
    m.u.probe.nload = MP_GOSSIP_LOADS;
    for (unsigned i = 0; i < MP_GOSSIP_LOADS; i++) {
      m.u.probe.load[i].addr = 1000 + i;
      m.u.probe.load[i].used = 65535;
      m.u.probe.load[i].slots = 3;
      m.u.probe.load[i].flags = 3;
      m.u.probe.load[i].role = 2;
    }
    break;
  case MP_MSG_RENEW:
    m.u.renew.n = MP_RENEW_BATCH;
    m.u.renew.row[MP_RENEW_BATCH - 1].tokens = 99;
    break;
  case MP_MSG_FETCH:
    memset(m.u.fetch.digest, 'a', MP_SHA256_HEX);
    m.u.fetch.n = MP_CHUNK_SIZE;
    m.u.fetch.data[MP_CHUNK_SIZE - 1] = 'z';
    break;
  case MP_MSG_LOAD_DIGEST:
    fill(&m.u.digest);
    break;
  case MP_MSG_LOAD_SUMMARY:
    m.u.summary.relay = 0x7f0000011b58;
    m.u.summary.zone = 77;
    m.u.summary.instances = 59;
    fill(&m.u.summary.loads);
    break;
  case MP_MSG_CRASHES:
    m.u.crashes.n = MP_CRASH_ROWS;
    m.u.crashes.suspected_n = MP_SUSPECT_ROWS;
    m.u.crashes.acquitted_n = MP_ACQUITTAL_ROWS;
    m.u.crashes.acquitted[MP_ACQUITTAL_ROWS - 1] = {1ULL << 62, 350};
    m.u.crashes.suspected[MP_SUSPECT_ROWS - 1] = {1ULL << 63, UINT32_MAX, 9};
    for (unsigned i = 0; i < MP_CRASH_ROWS; i++) {
      m.u.crashes.row[i].request = (1ULL << 63) + i;
      m.u.crashes.row[i].n = MP_CRASHES_PER_ROW;
      m.u.crashes.row[i].crash[MP_CRASHES_PER_ROW - 1] = UINT32_MAX;
    }
    m.u.crashes.row[1].age[0] = UINT16_MAX;
    m.u.crashes.row[1].length[0] = 7;
    break;
  case MP_MSG_RATES:
    m.u.rates.relay = 0x7f0000011b58;
    m.u.rates.zone = 77;
    m.u.rates.n = MP_RATE_ROWS;
    for (unsigned i = 0; i < MP_RATE_ROWS; i++)
      m.u.rates.row[i] = {i + 1, MP_RATE_UNLIMITED, 1u << 20, UINT32_MAX - i};
    break;
  case MP_MSG_CARRY:
    if (m.reply)
      m.u.carry.verdict = 5;
    else
      m.u.carry = {UINT32_MAX, 400, 0};
    break;
  case MP_MSG_LOAD_NOTE:
    m.u.note = {17, 4, 3200};
    break;
  case MP_MSG_RELAY_HEARTBEAT:
    m.u.beat = {{{3, 1LL << 40}, {2, 7}, {0, 0}, {1ULL << 41, 1}},
                350,
                1ULL << 41,
                212,
                1ULL << 42};
    break;
  case MP_MSG_STREAM_ORIGIN:
    m.u.origin = {{1ULL << 63, 3}, 1ULL << 62, UINT32_MAX, 7, 350, 14000};
    break;
  case MP_MSG_STREAM_QUERY:
    m.u.query = {{1ULL << 63, 3}, UINT32_MAX, 9, 30000};
    break;
  case MP_MSG_STREAM_REPLY:
    m.u.reply = {UINT32_MAX, 2, 1ULL << 62, 9, 350};
    break;
  case MP_MSG_STREAM_RECORD:
    m.u.record = {UINT32_MAX,
                  {{1ULL << 63, 3}, 1ULL << 62, UINT32_MAX, 7, 350, 14000}};
    break;
  case MP_MSG_STREAM_RECORDED:
    m.u.recorded = {UINT32_MAX, 1};
    break;
  case MP_MSG_HEARTBEAT_REQUEST:
    m.u.ask.asked_us = 1ULL << 43;
    break;
  default:
    m.u.reserve.token.owner = 0x7f0000011b58;
    break;
  }
  return m;
}

struct Kinds : ::testing::TestWithParam<int> {};

TEST_P(Kinds, ComeInAsTheyWentOut) {
  auto k = static_cast<mp_MsgKind>(GetParam());
  mp_Msg m = full(k);
  std::string s = encode(m);
  ASSERT_GT(s.size(), 0u); /* the fullest fits in a datagram */
  Taken t = decode(s);
  ASSERT_EQ(t.how, RPC_CALL);
  EXPECT_EQ(t.m.kind, k);
  EXPECT_EQ(encode(t.m), s);
  m.reply = 1;
  expected = k;
  s = encode(m);
  t = decode(s);
  ASSERT_EQ(t.how, RPC_REPLY);
  EXPECT_EQ(encode(t.m), s);
}

/* where a message of an earlier release ends; 0: where it ends now */
/* The same for load digests, which end with two lists that an earlier release
** does not send: their counts take 4 bytes each. */
size_t earlier_digest_size(mp_MsgKind kind) {
  mp_Msg m = full(kind);
  mp_LoadDigest &digest =
      kind == MP_MSG_LOAD_DIGEST ? m.u.digest : m.u.summary.loads;
  digest.pending_count = 0;
  digest.ranked_count = 0;
  return encode(m).size() - 8;
}

/* Where a full CRASHES without the times of crashes ends. */
size_t end_without_times() {
  mp_Msg empty = {};
  empty.kind = MP_MSG_CRASHES;
  return encode(empty).size() - 4 + 12 * MP_ACQUITTAL_ROWS +
         16 * MP_SUSPECT_ROWS + (12 + 4 * MP_CRASHES_PER_ROW) * MP_CRASH_ROWS;
}

size_t earlier_end(mp_MsgKind kind, size_t size) {
  if (kind == MP_MSG_CRASHES)
    return end_without_times() - 4 - 12 * MP_ACQUITTAL_ROWS;
  if (kind == MP_MSG_LOAD_DIGEST || kind == MP_MSG_LOAD_SUMMARY)
    return earlier_digest_size(kind);
  return kind == MP_MSG_RELAY_HEARTBEAT ? size - 8 * MP_RELAY_KINDS : 0;
}

TEST(Wire, AHeartbeatOfAnEarlierReleaseNamesNoEra) {
  mp_Msg m = full(MP_MSG_RELAY_HEARTBEAT);
  std::string s = encode(m);
  Taken t = decode(s.substr(0, earlier_end(m.kind, s.size())));
  ASSERT_EQ(t.how, RPC_CALL);
  for (unsigned i = 0; i < MP_RELAY_KINDS; i++) {
    EXPECT_EQ(t.m.u.beat.changed[i].era, 0u);
    EXPECT_EQ(t.m.u.beat.changed[i].revision, m.u.beat.changed[i].revision);
  }
  EXPECT_EQ(t.m.u.beat.asked_us, m.u.beat.asked_us);
}

/* Guards against crashes that instances of only one release can read. */
TEST(Wire, CrashesOfTheLastReleaseHaveNoTimes) {
  mp_Msg m = full(MP_MSG_CRASHES);
  std::string s = encode(m);
  ASSERT_LT(end_without_times(), s.size());
  Taken t = decode(s.substr(0, end_without_times()));
  ASSERT_EQ(t.how, RPC_CALL);
  EXPECT_EQ(t.m.u.crashes.acquitted_n, m.u.crashes.acquitted_n);
  EXPECT_EQ(t.m.u.crashes.row[1].length[0], 0u);
  EXPECT_EQ(decode(s).m.u.crashes.row[1].length[0], 7u);
}

/* Guards against a digest that instances of only one release can read. */
TEST(Wire, AnEarlierDigestStatesNoPriorities) {
  mp_Msg m = full(MP_MSG_LOAD_DIGEST);
  std::string s = encode(m);
  Taken t = decode(s.substr(0, earlier_end(m.kind, s.size())));
  ASSERT_EQ(t.how, RPC_CALL);
  EXPECT_EQ(t.m.u.digest.ranked_count, 0u);
  EXPECT_EQ(t.m.u.digest.in_time, 2u);
  EXPECT_EQ(t.m.u.digest.leaving[MP_LOAD_DIGEST_LEAVING - 1], 9u);
}

/* An earlier release stops reading where its own digest ends. So the rows by
** priority must come last, and what comes before them must be as before. */
TEST(Wire, PrioritiesStandAtTheEndOfADigest) {
  mp_Msg m = full(MP_MSG_LOAD_DIGEST);
  std::string with = encode(m);
  m.u.digest.ranked_count = 0;
  std::string without = encode(m);
  size_t end = earlier_end(m.kind, with.size());
  EXPECT_EQ(without.size(), end + 8);
  EXPECT_EQ(with.substr(0, end), without.substr(0, end));
}

TEST(Wire, RowsByPriorityComeInAsTheyWentOut) {
  mp_Msg m = {};
  m.kind = MP_MSG_LOAD_DIGEST;
  m.u.digest.ranked_count = 2;
  m.u.digest.ranked[0] = {77, 0, 3, 400};
  m.u.digest.ranked[1] = {78, 9, 99999, 1u << 30};
  Taken t = decode(encode(m));
  ASSERT_EQ(t.how, RPC_CALL);
  const mp_WaitingRow *row = t.m.u.digest.ranked;
  ASSERT_EQ(t.m.u.digest.ranked_count, 2u);
  EXPECT_EQ(row[0].service, 77u);
  EXPECT_EQ(row[0].priority, 0u);
  EXPECT_EQ(row[0].count, 3u);
  EXPECT_EQ(row[0].oldest_ms, 400u);
  EXPECT_EQ(row[1].priority, 9u);
  EXPECT_EQ(row[1].count, 4095u);
  EXPECT_EQ(row[1].oldest_ms, 65535u * 4);
}

/* Guards against a digest that is not sent at all because the rows by priority
** do not fit: the highest priorities are kept. */
TEST(Wire, ADigestWithoutRoomLeavesLowPrioritiesOut) {
  for (mp_MsgKind kind : {MP_MSG_LOAD_DIGEST, MP_MSG_LOAD_SUMMARY}) {
    mp_Msg m = full(kind);
    mp_LoadDigest &digest =
        kind == MP_MSG_LOAD_DIGEST ? m.u.digest : m.u.summary.loads;
    digest.account_count = MP_LOAD_DIGEST_ACCOUNTS;
    for (unsigned i = 0; i < MP_LOAD_DIGEST_PRIORITIES; i++)
      digest.ranked[i] = {8, i, 1, 0};
    std::string s = encode(m);
    ASSERT_GT(s.size(), 0u);
    Taken t = decode(s);
    ASSERT_EQ(t.how, RPC_CALL);
    const mp_LoadDigest &read =
        kind == MP_MSG_LOAD_DIGEST ? t.m.u.digest : t.m.u.summary.loads;
    EXPECT_EQ(read.account_count, (unsigned)MP_LOAD_DIGEST_ACCOUNTS);
    EXPECT_LT(read.ranked_count, (unsigned)MP_LOAD_DIGEST_PRIORITIES);
    for (unsigned i = 0; i < read.ranked_count; i++)
      EXPECT_EQ(read.ranked[i].priority, i);
  }
}

TEST_P(Kinds, CutShortAreGarbage) {
  auto kind = static_cast<mp_MsgKind>(GetParam());
  std::string s = encode(full(kind));
  for (size_t n = 0; n < s.size(); n += 4) {
    Taken t = decode(s.substr(0, n));
    if (n > 0 && n == earlier_end(kind, s.size()))
      continue;
    if (kind == MP_MSG_CRASHES && n == end_without_times())
      continue;
    EXPECT_NE(t.how, RPC_CALL) << n;
    if (n >= 40) { /* the header was whole */
      EXPECT_EQ(t.how, RPC_ERROR_REPLY) << n;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(All, Kinds, ::testing::Range(1, (int)MP_MSG_LAST));

TEST(Wire, LoadsTravelInBlocksAndNeverWrapAround) {
  mp_Msg m = {};
  m.kind = MP_MSG_LOAD_DIGEST;
  m.u.digest.n = 3;
  m.u.digest.row[0] = {1, 3200, 1, 0};
  m.u.digest.row[1] = {2, 3201, 0, 100};
  m.u.digest.row[2] = {3, 100000000, 5000, 900};
  Taken t = decode(encode(m));
  ASSERT_EQ(t.how, RPC_CALL);
  const mp_LoadRow *row = t.m.u.digest.row;
  EXPECT_EQ(row[0].tokens, 3200u);
  EXPECT_EQ(row[0].open, 1u);
  EXPECT_EQ(row[1].tokens, 3216u); /* never less than was told */
  EXPECT_EQ(row[1].failing, 100u);
  EXPECT_EQ(row[2].tokens, 65535u * 16);
  EXPECT_EQ(row[2].open, 511u);
  EXPECT_EQ(row[2].failing, 508u);
}

mp_Msg digest_with_pending(std::initializer_list<uint32_t> amounts) {
  mp_Msg m = {};
  m.kind = MP_MSG_LOAD_DIGEST;
  for (uint32_t amount : amounts) {
    m.u.digest.account[m.u.digest.account_count++].account = 1 + amount;
    m.u.digest.pending[m.u.digest.pending_count++] = amount;
  }
  return m;
}

TEST(Wire, PendingAmountsTravelWithASmallError) {
  Taken t =
      decode(encode(digest_with_pending({0, 9, 83, 123456, UINT32_MAX})));
  ASSERT_EQ(t.how, RPC_CALL);
  const mp_LoadDigest &digest = t.m.u.digest;
  ASSERT_EQ(digest.pending_count, 5u);
  EXPECT_EQ(digest.pending[0], 0u);
  EXPECT_EQ(digest.pending[1], 9u);
  EXPECT_NEAR(digest.pending[2], 83, 83 / 16.0);
  EXPECT_NEAR(digest.pending[3], 123456, 123456 / 16.0);
  EXPECT_NEAR(digest.pending[4], UINT32_MAX, UINT32_MAX / 16.0);
}

/* Guards against a digest of an earlier release that is taken for garbage. */
TEST(Wire, ADigestOfAnEarlierReleaseHasNothingPending) {
  std::string s = encode(digest_with_pending({5, 6}));
  Taken t = decode(s.substr(0, s.size() - 12));
  ASSERT_EQ(t.how, RPC_CALL);
  EXPECT_EQ(t.m.u.digest.account_count, 2u);
  EXPECT_EQ(t.m.u.digest.pending_count, 0u);
}

/* A full digest must still tell that its sender stops. */
TEST(Wire, StoppingInstancesComeInAsTheyWentOut) {
  for (unsigned accounts : {0u, unsigned(MP_LOAD_DIGEST_ACCOUNTS)}) {
    mp_Msg m = full(MP_MSG_LOAD_DIGEST);
    m.u.digest.account_count = accounts;
    m.u.digest.pending_count = accounts;
    m.u.digest.stopping = 1;
    Taken t = decode(encode(m));
    ASSERT_EQ(t.how, RPC_CALL);
    EXPECT_EQ(t.m.u.digest.stopping, 1u);
  }
  mp_Msg m = {};
  m.kind = MP_MSG_LOAD_SUMMARY;
  m.u.summary.loads.stopping = 12;
  EXPECT_EQ(decode(encode(m)).m.u.summary.loads.stopping, 12u);
}

/* An earlier release reads a digest up to the number of stopping instances. */
TEST(Wire, StoppingInstancesStandAtTheEndOfADigest) {
  mp_Msg m = digest_with_pending({5, 6});
  std::string without = encode(m);
  m.u.digest.stopping = 1;
  std::string with = encode(m);
  EXPECT_EQ(with.size(), without.size() + 4);
  EXPECT_EQ(with.substr(0, without.size()), without);
  EXPECT_EQ(decode(without).m.u.digest.stopping, 0u);
}

/* Guards against a digest that is not sent because the pending amounts make it
** too large for a datagram. */
TEST(Wire, AFullDigestLeavesThePendingAmountsOut) {
  mp_Msg m = full(MP_MSG_LOAD_DIGEST);
  m.u.digest.pending_count = MP_LOAD_DIGEST_ACCOUNTS;
  Taken t = decode(encode(m));
  ASSERT_EQ(t.how, RPC_CALL);
  EXPECT_EQ(t.m.u.digest.account_count, unsigned(MP_LOAD_DIGEST_ACCOUNTS));
  EXPECT_EQ(t.m.u.digest.pending_count, 0u);
}

std::string words(std::initializer_list<uint32_t> w) {
  std::string s;
  for (uint32_t v : w) {
    for (int i = 24; i >= 0; i -= 8)
      s += static_cast<char>(v >> i & 255);
  }
  return s;
}

uint32_t word(const std::string &s, size_t i) {
  uint32_t v = 0;
  for (size_t k = 0; k < 4; k++)
    v = v << 8 | static_cast<unsigned char>(s.at(4 * i + k));
  return v;
}

TEST(Wire, WrongCallsAreAnsweredAsTheStandardSays) {
  Taken t =
      decode(words({9, 0, 3, MP_RPC_PROGRAM, MP_RPC_VERSION, 1, 0, 0, 0, 0}));
  ASSERT_EQ(t.how, RPC_ERROR_REPLY); /* RPC version: denied, 2 to 2 */
  EXPECT_EQ(t.answer, words({9, 1, 1, 0, 2, 2}));
  t = decode(words({9, 0, 2, 1, MP_RPC_VERSION, 1, 0, 0, 0, 0}));
  ASSERT_EQ(t.how, RPC_ERROR_REPLY);
  EXPECT_EQ(word(t.answer, 5), 1u); /* PROG_UNAVAIL */
  t = decode(words({9, 0, 2, MP_RPC_PROGRAM, 9, 1, 0, 0, 0, 0}));
  ASSERT_EQ(t.how, RPC_ERROR_REPLY);
  EXPECT_EQ(word(t.answer, 5), 2u); /* PROG_MISMATCH, from one to the same */
  EXPECT_EQ(word(t.answer, 6), MP_RPC_VERSION);
  EXPECT_EQ(word(t.answer, 7), MP_RPC_VERSION);
  t = decode(words({9, 0, 2, MP_RPC_PROGRAM, MP_RPC_VERSION, 99, 0, 0, 0, 0}));
  ASSERT_EQ(t.how, RPC_ERROR_REPLY);
  EXPECT_EQ(word(t.answer, 5), 3u); /* PROC_UNAVAIL */
}

TEST(Wire, CountsAboveTheLimitAreGarbage) {
  mp_Msg m = full(MP_MSG_RENEW);
  std::string s = encode(m);
  size_t at = 40 + 8 + 4; /* the count, behind owner and start */
  s[at + 3] = static_cast<char>(MP_RENEW_BATCH + 1);
  EXPECT_EQ(decode(s).how, RPC_ERROR_REPLY);
}

/*
** {==================================================================
** Mutated input
** ===================================================================
*/

const int inputs = 20000;

std::string mutate(std::mt19937 &g, std::string s) {
  int n = 1 + static_cast<int>(g() % 6);
  for (int i = 0; i < n && !s.empty(); i++) {
    size_t at = g() % s.size();
    switch (g() % 4) {
    case 0:
      s[at] = static_cast<char>(g());
      break;
    case 1:
      s.erase(at, 1 + g() % 8);
      break;
    case 2:
      s.insert(at, std::string(1 + g() % 8, static_cast<char>(g())));
      break;
    default:
      s[at] = static_cast<char>(s[at] ^ (1 << g() % 8));
      break;
    }
  }
  return s;
}

TEST(Fuzz, Datagrams) {
  std::mt19937 g(1);
  for (int i = 0; i < inputs; i++) {
    auto k = static_cast<mp_MsgKind>(1 + i % (MP_MSG_LAST - 1));
    mp_Msg m = full(k);
    m.reply = static_cast<int>(g() % 2);
    expected = k;
    Taken t = decode(mutate(g, encode(m)));
    if (t.how == RPC_CALL || t.how == RPC_REPLY) {
      EXPECT_GT(encode(t.m).size(), 0u);
    }
  }
}

TEST(Fuzz, DatagramsIntoACore) {
  std::mt19937 g(2);
  mp_Options o;
  memset(&o, 0, sizeof o);
  o.self = 0x7f0000011b58;
  o.dc = "a";
  o.start = 1;
  o.net = 0x7f000000;
  o.mask = 0xff000000;
  o.codec = mp_codec();
  mp_Time now = 1000000;
  mp_State *M = mp_new(&o, now);
  for (int i = 0; i < inputs; i++) {
    mp_Msg m = full(static_cast<mp_MsgKind>(1 + i % (MP_MSG_LAST - 1)));
    Taken t = decode(mutate(g, encode(m)));
    mp_Effect fx;
    mp_Event e;
    if (t.how != RPC_CALL)
      continue;
    memset(&e, 0, sizeof e);
    e.kind = MP_EV_MSG;
    e.u.msg.from = 0x7f0000010000 + 7000 + g() % 5;
    e.u.msg.msg = &t.m;
    now += 1000;
    mp_feed(M, now, &e);
    while (mp_next_effect(M, &fx)) {
      if (fx.kind == MP_FX_SEND) {
        EXPECT_GT(encode(fx.u.send.msg).size(), 0u);
      }
    }
  }
  mp_free(M);
}

std::string file(const char *path) {
  std::ifstream f(path);
  std::stringstream s;
  s << f.rdbuf();
  return s.str();
}

TEST(Fuzz, InstanceListsAndManifests) {
  std::mt19937 g(3);
  std::string list = file("examples/funkbuch-ost/instances.json");
  std::string man =
      R"({"version":3,"apply":"x","by":"y","when":"z","sections":[{"name":)"
      R"("a.yaml","digest":")" +
      std::string(64, 'a') + "\"}]}";
  ASSERT_GT(list.size(), 100u);
  for (int i = 0; i < inputs / 4; i++) {
    GError *err = nullptr;
    mp_Manifest m;
    std::string s = mutate(g, list);
    mp_InstanceList *l = mp_list_read(s.data(), s.size(), &err);
    EXPECT_NE(l != nullptr, err != nullptr);
    if (l != nullptr)
      mp_list_free(l);
    g_clear_error(&err);
    s = mutate(g, man);
    bool good = mp_manifest_read(s.data(), s.size(), &m, &err) != 0;
    EXPECT_NE(good, err != nullptr);
    g_clear_error(&err);
  }
}

/* a configuration from one text */
mp_Config *readone(const std::string &s, GError **err) {
  mp_Manifest m;
  memset(&m, 0, sizeof m);
  m.n = 1;
  g_strlcpy(m.section[0].name, "all.yaml", sizeof m.section[0].name);
  GBytes *b = g_bytes_new(s.data(), s.size());
  mp_Config *c = mp_config_read(&m, &b, err);
  g_bytes_unref(b);
  return c;
}

std::string sample() {
  std::string s;
  for (const char *f :
       {"places", "services", "classes", "accounts", "rules", "policy"})
    s += file(
        (std::string("examples/funkbuch-ost/config/") + f + ".yaml").c_str());
  return s;
}

TEST(Fuzz, Configurations) {
  std::mt19937 g(4);
  std::string all = sample();
  for (int i = 0; i < inputs / 20; i++) {
    GError *err = nullptr;
    mp_Config *c = readone(mutate(g, all), &err);
    EXPECT_NE(c != nullptr, err != nullptr);
    if (c != nullptr)
      mp_config_free(c);
    g_clear_error(&err);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Mistakes in the configuration are named
** ===================================================================
*/

struct Mistake {
  const char *from, *to, *says;
};

struct Mistakes : ::testing::TestWithParam<Mistake> {};

TEST_P(Mistakes, AreNamedWithTheRemedy) {
  const Mistake &k = GetParam();
  std::string s = sample();
  size_t at = s.find(k.from);
  ASSERT_NE(at, std::string::npos) << k.from;
  s.replace(at, strlen(k.from), k.to);
  GError *err = nullptr;
  mp_Config *c = readone(s, &err);
  ASSERT_EQ(c, nullptr) << k.to;
  ASSERT_NE(err, nullptr);
  EXPECT_NE(strstr(err->message, k.says), nullptr) << err->message;
  EXPECT_EQ(err->domain, MP_ERROR);
  g_clear_error(&err);
}

INSTANTIATE_TEST_SUITE_P(
    Config, Mistakes,
    ::testing::Values(
        Mistake{"weight: 8,", "weigth: 8,", "all.yaml line"},
        Mistake{"weight: 8,", "weight: 800,", "set 1 to 100"},
        Mistake{"{name: wien-b, region", "{name: wien-a, region",
                "is defined twice"},
        Mistake{"run_in: [linz-c], kv", "run_in: [nowhere], kv",
                "not under data_centres"},
        Mistake{"run_in: [linz-c], kv", "run_in: [], kv", "no data centre"},
        Mistake{"kv_move: stay}", "kv_move: often}", "all.yaml line"},
        Mistake{"path: /app/", "path: app/", "begins with '/'"},
        Mistake{"refuse_at: 100", "refuse_at: 3", "set 50 to 1000"},
        Mistake{"mbytes_per_s: 2000", "mbytes_per_s: 0", "set its rate"},
        Mistake{"first_token_ms: 520", "first_token_ms: 0",
                "first_token_ms above 0"}));

TEST(Settings, MistakesAreNamed) {
  const std::string path = ::testing::TempDir() + "settings-test.yaml";
  const std::string good = "data_centre: a\ncallers: 127.0.0.1:1\n"
                           "rpc: 127.0.0.1:2\noperators: 127.0.0.1:3\n"
                           "platform: 127.0.0.1:4\n";
  struct {
    std::string text;
    const char *says;
  } cases[] = {
      {good + "colour: red\n", "colour"},
      {good + "instance_network: 10.0.0.0\n", "write a network"},
      {"data_centre: a\n", "callers"},
      {good + "peers: [nowhere]\n", "write an IPv4 address"},
      {good + "max_headers: many\n", "line"},
  };
  for (auto &c : cases) {
    GError *err = nullptr;
    std::ofstream(path) << c.text;
    Settings *s = settings_read(path.c_str(), &err);
    EXPECT_EQ(s, nullptr) << c.text;
    ASSERT_NE(err, nullptr);
    EXPECT_NE(strstr(err->message, c.says), nullptr) << err->message;
    EXPECT_NE(strstr(err->message, path.c_str()), nullptr);
    g_clear_error(&err);
  }
  GError *err = nullptr;
  std::ofstream(path) << good;
  Settings *s = settings_read(path.c_str(), &err);
  ASSERT_NE(s, nullptr) << err->message;
  settings_free(s);
  remove(path.c_str());
}

/* }================================================================== */

TEST(Text, AddressesAndTokens) {
  char a[24];
  char t[64];
  mp_Token k = {0x7f0000011b58, 5, 77};
  mp_Token back;
  uint32_t no;
  mp_addr_text(mp_addr_parse("10.1.2.3:65535"), a);
  EXPECT_STREQ(a, "10.1.2.3:65535");
  for (const char *bad : {"", "10.0.0.1", "10.0.0.1:0", "10.0.0.256:1",
                          "10.0.0.1:70000", "10.0.0.1:5x", "host:80"})
    EXPECT_EQ(mp_addr_parse(bad), 0u) << bad;
  mp_token_text(&k, 3, t);
  ASSERT_TRUE(mp_token_parse(t, &back, &no));
  EXPECT_EQ(back.owner, k.owner);
  EXPECT_EQ(back.start, k.start);
  EXPECT_EQ(back.seq, k.seq);
  EXPECT_EQ(no, 3u);
  for (const char *bad : {"", "7f", "x-y-z.1", "7f0000011b58-5-4d"})
    EXPECT_FALSE(mp_token_parse(bad, &back, &no)) << bad;
}

} // namespace
