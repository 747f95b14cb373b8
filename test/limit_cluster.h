/*
** limit_cluster.h
** A cluster of instances that enforce the limit of one client account
** together, in virtual time
*/

#ifndef TEST_LIMIT_CLUSTER_H
#define TEST_LIMIT_CLUSTER_H

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

extern "C" {
#include "router/account_limits.h"
}

namespace limit_cluster {

constexpr gint64 ms = 1000;
constexpr gint64 second = 1000 * ms;
constexpr gint64 time_step = 5 * ms;
constexpr double default_request_tokens = 5300;
constexpr double request_tokens = default_request_tokens;
/* Tokens a second: the smallest limit and a large one of a deployment with 88
** instances. */
constexpr double least_rate = 36000;
constexpr double large_rate = 185000;
/* The slack of that deployment, in tokens. */
constexpr double slack = 140000;
/* The slack with 300 instances. No deployment of that size has accounts; its
** slack of retries is 2.9 times that of 88 instances, so this one is scaled
** alike. */
constexpr double slack_300_instances = 400000;
constexpr gint64 window = 8 * second;

/* Tokens a second of one account of a deployment with 71 instances, and the
** slack of that deployment. */
constexpr double rate_71_instances = 47000;
constexpr double slack_71_instances = 190000;

/* What becomes of admitted requests: they wait for room between 'wait_min' and
** 'wait_max', then this share of them is refused and refunded, and the others
** run. */
struct Waits {
  gint64 wait_min = 0, wait_max = 0;
  double refused_share = 0;
};

/* an admitted request that waits for room */
struct WaitingRequest {
  unsigned instance = 0;
  gint64 admitted_at = 0;
  gint64 ends_at = 0; /* the wait */
  bool is_refused = false;
};

struct Instance {
  AccountLimits *limits = nullptr;
  unsigned zone = 0;
  unsigned partition = 0; /* receives messages from its own partition alone */
  bool is_frozen = false;
  bool is_listed = true;
  double listed_share = 1;     /* of all instances, as its list has them */
  bool has_unreported = false; /* admitted something since its last digest */
  gint64 digest_at = 0;
  gint64 summary_at = 0;
  std::vector<gint64> heard_at;      /* by instance of its zone */
  std::vector<gint64> zone_heard_at; /* by zone */
  /* by zone: how many of its instances its last summary was made of */
  std::vector<unsigned> zone_heard;
};

/* Carries digests and summaries between instances as io/load_exchange.c and
** io/relays.c do. */
struct LimitCluster {
  LimitCluster(unsigned zones, unsigned instances, double rate, double slack_)
      : tolerance{0.1, slack_, window}, zone_count(zones), all(instances),
        random(instances) {
    table = route_table_new();
    set_limit(rate, rate);
    for (unsigned i = 0; i < instances; i++) {
      all[i].zone = i % zones;
      start(all[i]);
    }
    run(10 * second, 0); /* all buckets are full */
    admitted_at.clear();
  }
  LimitCluster(const LimitCluster &) = delete;
  LimitCluster &operator=(const LimitCluster &) = delete;
  ~LimitCluster() {
    for (auto &one : all)
      account_limits_free(one.limits);
    route_table_unref(table);
  }

  /* Sets the limit at all instances, or at those whose index is no multiple of
  ** 'every'. */
  void set_limit(double rate, double burst, size_t every = 0) {
    if (account == nullptr) {
      account = route_table_add_account(table);
      account->name = g_strdup("first");
      account->unit = ACCOUNT_TOKENS;
    }
    account->rate = rate;
    account->burst = burst;
    for (size_t i = 0; i < all.size(); i++) {
      if (all[i].limits != nullptr && (every == 0 || i % every != 0))
        account_limits_configure(all[i].limits, table, now);
    }
  }
  void start(Instance &one) {
    if (one.limits != nullptr)
      account_limits_free(one.limits);
    one.limits = account_limits_new(&tolerance, now);
    account_limits_configure(one.limits, table, now);
    one.heard_at.assign(all.size(), 0);
    one.zone_heard_at.assign(zone_count, 0);
    one.zone_heard.assign(zone_count, 0);
  }

  bool was_heard(gint64 at) const {
    return now - at < ACCOUNT_PEER_TIMEOUT;
  }
  /* Counts the instances of its own zone that 'one' hears, itself included. */
  unsigned heard_in_zone(const Instance &one) const {
    unsigned count = 1;
    for (size_t i = 0; i < all.size(); i++)
      count += &all[i] != &one && all[i].zone == one.zone &&
               was_heard(one.heard_at[i]);
    return count;
  }
  LimitSharers sharers(const Instance &one) const {
    LimitSharers out = {0, 1};
    if (!one.is_listed)
      return out;
    out.instances = static_cast<unsigned>(static_cast<double>(all.size()) *
                                          one.listed_share);
    out.heard = heard_in_zone(one);
    for (unsigned zone = 0; zone < zone_count; zone++) {
      if (zone != one.zone && was_heard(one.zone_heard_at[zone]))
        out.heard += one.zone_heard[zone];
    }
    return out;
  }
  bool can_reach(const Instance &from, const Instance &to) const {
    return from.partition == to.partition && !from.is_frozen && !to.is_frozen;
  }

  void send_digest(size_t from) {
    mp_LoadDigest digest = {};
    all[from].digest_at = now;
    all[from].has_unreported = false;
    account_limits_write(all[from].limits, &digest, now);
    for (auto &to : all) {
      if (&to == &all[from] || to.zone != all[from].zone ||
          !can_reach(all[from], to))
        continue;
      to.heard_at[from] = now;
      LimitSharers who = sharers(to);
      account_limits_receive(to.limits, from + 1, &digest, &who, now);
    }
  }
  void send_summary(size_t from) {
    mp_LoadDigest digest = {};
    all[from].summary_at = now;
    account_limits_write_summary(all[from].limits, &digest, now);
    for (auto &to : all) {
      if (to.zone == all[from].zone || !can_reach(all[from], to))
        continue;
      to.zone_heard_at[all[from].zone] = now;
      to.zone_heard[all[from].zone] = heard_in_zone(all[from]);
      LimitSharers who = sharers(to);
      account_limits_receive_summary(to.limits, from + 1, &digest, &who, now);
    }
  }
  /* The first instance of each zone in each partition is the relay. */
  bool is_relay(size_t i) const {
    for (size_t k = 0; k < i; k++) {
      if (all[k].zone == all[i].zone && all[k].partition == all[i].partition &&
          !all[k].is_frozen)
        return false;
    }
    return !all[i].is_frozen;
  }
  void exchange() {
    for (size_t i = 0; i < all.size(); i++) {
      gint64 min_interval = static_cast<gint64>(700 * all.size() / zone_count);
      bool is_due = now - all[i].digest_at >=
                    (all[i].has_unreported ? min_interval : 500 * ms);
      if (is_due && !all[i].is_frozen)
        send_digest(i);
      if (!is_relay(i))
        continue;
      gint64 since = now - all[i].summary_at;
      if (since >= 200 * ms ||
          (since >= 30 * ms &&
           account_limits_unreported_share(all[i].limits) > 0.1))
        send_summary(i);
    }
  }
  bool request(Instance &one, double tokens = default_request_tokens) {
    LimitSharers who = sharers(one);
    gint64 come_back = 0;
    std::uniform_real_distribution<double> draw(0, 1);
    requested++;
    if (!account_limits_admit(one.limits, account, tokens, &who, draw(random),
                              now, &come_back)) {
      EXPECT_GE(come_back, 100 * ms);
      EXPECT_LE(come_back, 3 * second);
      return false;
    }
    admitted_at.push_back(now);
    admitted++;
    one.has_unreported = true;
    if (tokens == request_tokens)
      waiting.push_back(draw_wait(one));
    else
      account_limits_note_run(one.limits, "first", tokens);
    return true;
  }
  WaitingRequest draw_wait(const Instance &one) {
    std::uniform_real_distribution<double> draw(0, 1);
    WaitingRequest out;
    out.instance = static_cast<unsigned>(&one - all.data());
    out.admitted_at = now;
    out.ends_at = now + waits.wait_min;
    if (waits.wait_max > waits.wait_min)
      out.ends_at += static_cast<gint64>(
          draw(random) * static_cast<double>(waits.wait_max - waits.wait_min));
    out.is_refused =
        waits.refused_share > 0 && draw(random) < waits.refused_share;
    return out;
  }
  void end_wait(const WaitingRequest &request) {
    Instance &one = all[request.instance];
    if (request.is_refused) {
      account_limits_refund(one.limits, "first", request_tokens, TRUE);
      refused++;
    } else {
      account_limits_note_run(one.limits, "first", request_tokens);
      ran_at.push_back(now);
    }
  }
  void end_waits() {
    std::vector<WaitingRequest> still_waiting;
    for (const auto &request : waiting) {
      if (request.ends_at <= now)
        end_wait(request);
      else
        still_waiting.push_back(request);
    }
    waiting.swap(still_waiting);
  }
  /* Ends the waits of all waiting requests now. */
  void end_all_waits(bool is_refused) {
    for (auto &request : waiting) {
      request.ends_at = now;
      request.is_refused = is_refused;
    }
    end_waits();
  }
  /* 'demand': tokens a second that callers request from all instances */
  void run(gint64 span, double demand) {
    std::poisson_distribution<int> arrivals(
        std::max(demand / request_tokens * time_step / second, 1e-12));
    for (gint64 until = now + span; now < until; now += time_step) {
      for (int n = demand > 0 ? arrivals(random) : 0; n > 0; n--) {
        Instance &one = all[random() % all.size()];
        if (!one.is_frozen)
          request(one);
      }
      end_waits();
      exchange();
    }
  }
  /* Returns the most tokens in any window of the requests at these times. */
  double most_in_a_window(const std::vector<gint64> &times) const {
    double worst = 0;
    size_t first = 0;
    for (size_t last = 0; last < times.size(); last++) {
      while (times[first] <= times[last] - tolerance.window)
        first++;
      worst = std::max(worst,
                       request_tokens * static_cast<double>(last - first + 1));
    }
    return worst;
  }
  double most_admitted_in_a_window() const {
    return most_in_a_window(admitted_at);
  }
  double most_run_in_a_window() const {
    return most_in_a_window(ran_at);
  }
  double admission_bound(double rate) const {
    return (rate * 8 + rate) * (1 + tolerance.share) + tolerance.slack;
  }

  LimitTolerance tolerance;
  unsigned zone_count;
  std::vector<Instance> all;
  std::mt19937 random;
  RouteTable *table = nullptr;
  Account *account = nullptr;
  gint64 now = 100 * second;
  Waits waits;
  std::vector<WaitingRequest> waiting;
  std::vector<gint64> admitted_at;
  std::vector<gint64> ran_at;
  unsigned requested = 0, admitted = 0, refused = 0;
};

} // namespace limit_cluster

#endif
