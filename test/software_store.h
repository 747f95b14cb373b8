/*
** software_store.h
** Stand-in of the store for the sets of versions, in virtual time
**
** Keeps one record for each service with a revision, carries out calls on the
** conditions that the platform's store states, and answers after a delay. It
** can be away, lose answers, and carry calls out seconds later. Times are in
** us.
*/

#ifndef SOFTWARE_STORE_H
#define SOFTWARE_STORE_H

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "router_world.h"

extern "C" {
#include "router/stream_software.h"
}

namespace streaming {

class SoftwareStore {
public:
  explicit SoftwareStore(unsigned seed) : random(seed) {
  }

  struct Object {
    gint64 revision;
    SoftwareSetRecord record;
  };

  /* Has the instance make its next call, if one is due, and hands it the
  ** answers that are due. 'owner' names the process: answers to a process that
  ** was killed are dropped. */
  void serve(unsigned long owner, Router *router, gint64 now);
  /* Carries out what is due; call it in each step. */
  void advance(gint64 now);
  /* The store returns from a copy with these objects, in a new era. */
  void restore(const std::map<std::string, Object> &copy);
  bool has_only(const std::string &service, guint64 software) const;

  std::map<std::string, Object> objects;
  bool is_away = false;
  std::set<unsigned long> cut; /* owners that cannot reach the store */
  gint64 delay_max = 20 * routing::ms;
  unsigned lost_percent =
      0; /* answers lost; half of these calls are carried
         ** out up to 5 s later, if their condition holds */
  unsigned reads = 0, writes = 0; /* calls begun */

private:
  struct Call {
    unsigned long owner;
    SoftwareSetCall call;
    std::string service;
    gint64 due;    /* when it is carried out */
    bool is_lost;  /* no answer comes */
    bool is_never; /* it is not carried out either */
    bool is_done = false;
    gint64 answer_at;
    SoftwareSetReply reply = {};
    SoftwareSetRecord record = {};
  };

  void carry_out(Call &call);
  unsigned random_below(unsigned below) {
    return static_cast<unsigned>(random() % below);
  }

  std::mt19937 random;
  std::vector<Call> calls;
  gint64 revision = 0;
  guint64 era = 1;
};

} // namespace streaming

#endif
