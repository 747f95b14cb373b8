/*
** matrix_table.cc
** Plays the whole matrix, all pairs included, and prints it as a table
**
**   matrix [--singles]     for docs/PROOF.md; exit code 1 on a broken cell
*/

#include <atomic>
#include <cstdio>
#include <cstring>
#include <map>
#include <mutex>
#include <thread>

#include "../matrix.h"

using namespace matrix;

namespace {

std::vector<Cell> cells(bool pairs) {
  std::vector<Cell> out;
  for (int k = 0; k < KIND_COUNT; k++) {
    for (int s = 0; s < STEP_COUNT; s++) {
      for (int f = 0; f < FAULT_COUNT; f++) {
        auto kind = static_cast<Kind>(k);
        auto step = static_cast<Step>(s);
        auto first = static_cast<Fault>(f);
        out.push_back({kind, step, first, FAULT_COUNT, 0, 1, 0});
        out.push_back({kind, step, first, FAULT_COUNT, 1, 1, 0});
        for (int g = 0; pairs && g < FAULT_COUNT; g++) {
          if (g != f)
            out.push_back({kind, step, first, static_cast<Fault>(g), 0, 1, 0});
        }
      }
    }
  }
  return out;
}

std::vector<const char *> names() {
  return std::vector<const char *>(step_names, step_names + STEP_COUNT);
}

/* one letter for how the struck request ended */
const char *mark(const Outcome &o) {
  if (!o.broken.empty())
    return "**X**";
  if (!o.struck)
    return "-";
  static const std::map<std::string, const char *> marks = {
      {"answered", "A"},          {"gone", "G"},
      {"outcome_unknown", "U"},   {"answer_incomplete", "I"},
      {"claim_unavailable", "C"}, {"place_unavailable", "P"},
      {"deadline_passed", "D"},   {"overloaded", "O"},
      {"duplicate_request", "2"}, {"draining", "R"}};
  auto it = marks.find(o.end);
  return it == marks.end() ? "?" : it->second;
}

} // namespace

int main(int argc, char **argv) {
  bool pairs = !(argc > 1 && strcmp(argv[1], "--singles") == 0);
  std::vector<Cell> all = cells(pairs);
  std::vector<Outcome> out(all.size());
  std::atomic<size_t> next(0);
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < 8; i++)
    threads.emplace_back([&] {
      for (size_t k; (k = next++) < all.size();)
        out[k] = run_cell(all[k]);
    });
  for (auto &t : threads)
    t.join();
  std::map<std::string, std::string> table;
  size_t bad = 0, struck = 0;
  for (size_t i = 0; i < all.size(); i++) {
    const Cell &c = all[i];
    bad += !out[i].broken.empty();
    struck += out[i].struck;
    for (auto &b : out[i].broken)
      fprintf(stderr, "%s: %s\n", name(c).c_str(), b.c_str());
    if (c.second == FAULT_COUNT && !c.twice)
      table[std::to_string(c.kind) + "/" + std::to_string(c.step) + "/" +
            std::to_string(c.first)] = mark(out[i]);
  }
  for (int k = 0; k < KIND_COUNT; k++) {
    printf("\n%s class:\n\n| fault |", k == 0 ? "Repeatable" : "Once");
    for (const char *s : names())
      printf(" %s |", s);
    printf("\n| --- |");
    for (int s = 0; s < STEP_COUNT; s++)
      printf(" --- |");
    for (int f = 0; f < FAULT_COUNT; f++) {
      printf("\n| %s |", fault_names[f]);
      for (int s = 0; s < STEP_COUNT; s++)
        printf(" %s |", table[std::to_string(k) + "/" + std::to_string(s) +
                              "/" + std::to_string(f)]
                            .c_str());
    }
    printf("\n");
  }
  printf("\n%zu cells, %zu struck, %zu broken\n", all.size(), struck, bad);
  return bad > 0;
}
