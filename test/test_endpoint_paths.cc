/*
** test_endpoint_paths.cc
** Instances that lose their paths to endpoints, while callers and the other
** instances still reach them, in virtual time
*/

#include <gtest/gtest.h>

#include "path_fleet.h"

using namespace paths;

namespace {

/* after a cut began, callers of the cut instances are served again within
** this time */
constexpr gint64 contact_time = 3 * second;
constexpr gint64 cut_time = 12 * second;

struct CutCase {
  const char *name;
  unsigned instances; /* of the first data centre, which has three */
  Cut how;
};

std::ostream &operator<<(std::ostream &out, const CutCase &one) {
  return out << one.name;
}

std::set<unsigned> first_of(const std::set<unsigned> &all, unsigned count) {
  std::set<unsigned> some;
  for (unsigned one : all) {
    if (some.size() < count)
      some.insert(one);
  }
  return some;
}

class CutFromEndpointsTest : public testing::TestWithParam<CutCase> {};

TEST_P(CutFromEndpointsTest, CallersOfCutInstancesAreServed) {
  Fleet fleet({});
  std::set<unsigned> cut =
      first_of(fleet.instances_of(0), GetParam().instances);
  fleet.advance(2 * second);
  gint64 began = fleet.now;
  fleet.cut(cut, GetParam().how);
  fleet.advance(cut_time);
  fleet.heal();
  fleet.advance(3 * second);
  EXPECT_FALSE(fleet.cut_callers_are_worse_served(began + contact_time,
                                                  began + cut_time, cut));
  EXPECT_LE(fleet.most_runs(), 1u);
  EXPECT_EQ(fleet.false_not_run(), 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Cuts, CutFromEndpointsTest,
    testing::Values(
        CutCase{"OneHangs", 1, Cut::HANG}, CutCase{"OneReset", 1, Cut::RESET},
        CutCase{"OneRefused", 1, Cut::REFUSE_NEW},
        CutCase{"MostHang", 2, Cut::HANG}, CutCase{"MostReset", 2, Cut::RESET},
        CutCase{"MostRefused", 2, Cut::REFUSE_NEW},
        CutCase{"AllHang", 3, Cut::HANG}, CutCase{"AllReset", 3, Cut::RESET},
        CutCase{"AllRefused", 3, Cut::REFUSE_NEW}),
    [](const testing::TestParamInfo<CutCase> &info) {
      return std::string(info.param.name);
    });

TEST(EndpointPaths, CutInstanceAccusesNoEndpointOfAnEnd) {
  for (unsigned cut = 1; cut <= 3; cut++) {
    Fleet fleet({});
    fleet.advance(2 * second);
    std::set<unsigned> instances = first_of(fleet.instances_of(0), cut);
    fleet.cut(instances, Cut::RESET);
    fleet.advance(5 * second);
    for (unsigned i : instances)
      EXPECT_EQ(fleet.logged(i, MP_LOG_EP_ENDED), 0u) << cut << " cut";
  }
}

} // namespace
