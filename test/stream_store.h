/*
** stream_store.h
** StreamStore: the store's objects about where streams began, in virtual time
**
** Each instance of a Fleet makes its calls here. A call takes effect in the
** middle of its time, also if its instance is killed before the answer comes.
** Times are in us.
*/

#ifndef STREAM_STORE_H
#define STREAM_STORE_H

#include <map>
#include <random>
#include <set>
#include <vector>

#include "router_world.h"

extern "C" {
#include "router/origin_store.h"
}

namespace streaming {

class StreamStore {
public:
  explicit StreamStore(unsigned seed) : random(seed) {
  }

  /* An instance has started; its calls are answered from now on. */
  void attach(unsigned instance, routing::World &world);
  /* It was killed: what it has sent is carried out, and not answered. */
  void detach(unsigned instance);
  /* Carries out what is due and begins the calls that instances want. */
  void advance(gint64 now);

  /* The store returns from a copy that has none of the objects. */
  void restore_empty() {
    objects.clear();
  }

  gint64 latency_min = 2 * routing::ms;
  gint64 latency_max = 8 * routing::ms;
  bool is_away = false;    /* calls time out */
  bool turns_away = false; /* calls fail at once */
  /* Instances that stand still: they begin no call, and answers to them wait.
   */
  std::set<unsigned> still;
  /* Instances that cannot reach the store: their calls time out. */
  std::set<unsigned> cut;

  unsigned saves = 0; /* calls that read or write an object */
  unsigned lists = 0;
  unsigned long long bytes = 0; /* written, estimated */
  unsigned most_rows = 0;       /* in one object that was written */

private:
  struct Object {
    gint64 revision = 0;
    gint64 written_at = 0;
    std::vector<StoredOrigin> origins;
  };
  struct Call {
    unsigned instance;
    unsigned life;
    unsigned object; /* its number in 'objects'; not of a list */
    bool is_list;
    StoreOperation operation;
    StorePosition position;
    std::vector<StoredOrigin> origins;
    gint64 applied_at;
    gint64 replied_at;
    bool is_applied = false;
    /* the reply: */
    StoreStatus status = STORE_FAILED;
    std::vector<Object> objects;
    std::vector<unsigned> names; /* of a list's objects */
  };

  void begin_calls(unsigned instance, routing::World &world, gint64 now);
  void send(Call call, gint64 now);
  void apply(Call &call, gint64 now);
  void reply(const Call &call, gint64 now);

  std::mt19937 random;
  gint64 revision = 0;
  /* by the number of the instance that writes it times ORIGIN_SLICES, plus
  ** that of the slice */
  std::map<unsigned, Object> objects;
  std::map<unsigned, routing::World *> worlds;
  std::map<unsigned, unsigned> lives; /* counts the starts of instances */
  std::vector<Call> calls;
};

} // namespace streaming

#endif
