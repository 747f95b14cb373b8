/*
** matrix.h
** The fault matrix: every fault at every step of a request's path
*/

#ifndef MATRIX_H
#define MATRIX_H

#include "sim.h"

namespace matrix {

/* X(symbol, name): where the fault strikes */
#define MATRIX_STEPS(X)              \
  X(ACCEPT, "accept")                \
  X(CLAIM, "claim")                  \
  X(DECODE_SLOT, "reserve decode")   \
  X(PREFILL_SLOT, "reserve prefill") \
  X(PREFILL, "prefill")              \
  X(KV, "KV held")                   \
  X(TRANSFER, "transfer")            \
  X(DECODE, "before first token")    \
  X(STREAM, "streaming")             \
  X(LAST, "last token")              \
  X(RELEASE, "release")

enum Step {
#define X(sym, name) STEP_##sym,
  MATRIX_STEPS(X)
#undef X
      STEP_COUNT
};

/* X(symbol, name): what goes wrong */
#define MATRIX_FAULTS(X)                       \
  X(CALLER_GONE, "caller gone")                \
  X(ENTRY_KILLED, "entry killed")              \
  X(ENTRY_PAUSED, "entry paused")              \
  X(ENTRY_DRAINED, "entry stopped as planned") \
  X(KEEPER_KILLED, "keeper killed")            \
  X(KEEPER_PAUSED, "keeper paused")            \
  X(TWO_KEEPERS, "two keepers")                \
  X(HOME_KILLED, "home killed")                \
  X(HOME_PAUSED, "home paused")                \
  X(PREFILL_KILLED, "prefill killed")          \
  X(PREFILL_FROZEN, "prefill frozen")          \
  X(DECODE_KILLED, "decode killed")            \
  X(DECODE_FROZEN, "decode frozen")            \
  X(LATE, "answers late")                      \
  X(TWICE, "answers twice, out of order")      \
  X(STALLED, "transfer stalled")               \
  X(KV_EXPIRED, "KV expired")                  \
  X(LEAVING, "engines leaving, list stale")    \
  X(CANCEL_LOST, "caller gone, cancels lost")  \
  X(STORE_DOWN, "platform down")               \
  X(STORE_SLOW, "platform slow")               \
  X(STORE_LOSE, "platform reply lost")         \
  X(CUT_STORE, "cut from platform")            \
  X(CUT_ALL, "cut from others")                \
  X(CUT_ONE_WAY, "cut one way")                \
  X(CLOCK, "clock jumps")                      \
  X(SAME_ID, "same ID elsewhere")              \
  X(CONFIG, "configuration swapped")           \
  X(DATAGRAMS, "datagrams lost")

enum Fault {
#define X(sym, name) FAULT_##sym,
  MATRIX_FAULTS(X)
#undef X
      FAULTS
};

/* classes of the request that is struck */
enum Kind { KIND_ASK, KIND_ONCE, KINDS };

extern const char *const step_names[];
extern const char *const fault_names[];
extern const char *const kind_names[];

struct Cell {
  Kind kind;
  Step step;
  Fault first;
  Fault second; /* FAULTS: none */
  int twice;    /* the fault(s) strike again 700 ms later */
  uint64_t seed;
  int baseline; /* all switches of the policy off */
};

struct Outcome {
  std::vector<std::string> broken;
  bool struck;     /* the step was reached */
  std::string end; /* of the struck request: "answered", or the error kind */
};

Outcome play(const Cell &c, bool trace = false);

std::string name(const Cell &c);

} // namespace matrix

#endif
