/*
** stream_store.cc
** StreamStore: the store's objects about where streams began, in virtual time
*/

#include <algorithm>

#include "stream_store.h"

namespace streaming {

namespace {
/* as in io/origin_links.c */
constexpr gint64 save_timeout = 1000 * routing::ms;
constexpr gint64 list_timeout = 500 * routing::ms;
/* an origin in an object takes at most so many bytes */
constexpr unsigned row_bytes = 95;
/* an object without origins, with the HTTP head of its call */
constexpr unsigned object_bytes = 300;
} // namespace

void StreamStore::attach(unsigned instance, routing::World &world) {
  worlds[instance] = &world;
  lives[instance]++;
  router_use_origin_store(world.router);
}

void StreamStore::detach(unsigned instance) {
  worlds.erase(instance);
}

void StreamStore::send(Call call, gint64 now) {
  gint64 took =
      latency_min + static_cast<gint64>(random()) %
                        std::max<gint64>(1, latency_max - latency_min);
  gint64 timeout = call.is_list ? list_timeout : save_timeout;
  (call.is_list ? lists : saves)++;
  call.applied_at = now + took / 2;
  call.replied_at = now + std::min(took, timeout);
  bool is_cut = is_away || cut.count(call.instance) > 0;
  if (is_cut)
    call.replied_at = now + timeout;
  if (is_cut || turns_away)
    call.applied_at = G_MAXINT64;
  calls.push_back(std::move(call));
}

void StreamStore::begin_calls(unsigned instance, routing::World &world,
                              gint64 now) {
  OriginsSave save = {};
  Call call = {};
  call.instance = instance;
  call.life = lives[instance];
  if (router_next_origins_save(world.router, &save, now)) {
    call.operation = save.operation;
    call.object = instance * ORIGIN_SLICES + save.slice;
    call.position = save.position;
    if (save.record.origins != nullptr) {
      auto *rows = reinterpret_cast<StoredOrigin *>(save.record.origins->data);
      call.origins.assign(rows, rows + save.record.origins->len);
    }
    stream_origins_record_clear(&save.record);
    send(call, now);
  }
  if (router_next_origins_list(world.router, now)) {
    call.is_list = true;
    call.origins.clear();
    send(call, now);
  }
}

void StreamStore::apply(Call &call, gint64 now) {
  call.is_applied = true;
  call.status = STORE_OK;
  if (call.is_list) {
    for (const auto &[name, object] : objects) {
      call.objects.push_back(object);
      call.names.push_back(name);
    }
    return;
  }
  auto it = objects.find(call.object);
  bool exists = it != objects.end();
  if (call.operation != STORE_CREATE && !exists) {
    call.status = STORE_NOT_FOUND;
    return;
  }
  if ((call.operation == STORE_CREATE && exists) ||
      (call.operation == STORE_REPLACE &&
       it->second.revision != call.position.revision))
    call.status = STORE_CONFLICT;
  else if (call.operation != STORE_READ) {
    objects[call.object] = {++revision, now, call.origins};
    bytes += object_bytes + row_bytes * call.origins.size();
    most_rows =
        std::max(most_rows, static_cast<unsigned>(call.origins.size()));
  }
  call.objects.push_back(objects[call.object]);
}

void StreamStore::reply(const Call &call, gint64 now) {
  auto it = worlds.find(call.instance);
  if (it == worlds.end() || lives[call.instance] != call.life)
    return;
  Router *router = it->second->router;
  it->second->now = std::max(it->second->now, now);
  bool has_answer = call.is_applied && call.applied_at <= call.replied_at;
  StoreStatus status = has_answer ? call.status : STORE_FAILED;
  StreamOriginsRecord record = {nullptr};
  StorePosition position = {};
  for (size_t i = 0; has_answer && i < call.objects.size(); i++) {
    const Object &object = call.objects[i];
    record.origins = g_array_new(FALSE, FALSE, sizeof(StoredOrigin));
    g_array_append_vals(record.origins, object.origins.data(),
                        static_cast<guint>(object.origins.size()));
    position.revision = object.revision;
    if (call.is_list) {
      router_origins_listed(
          router, &record,
          call.names[i] / ORIGIN_SLICES == call.instance
              ? static_cast<gint>(call.names[i] % ORIGIN_SLICES)
              : -1,
          now);
      stream_origins_record_clear(&record);
    }
  }
  if (call.is_list) {
    router_origins_list_ended(router, status == STORE_OK, now);
    return;
  }
  router_origins_saved(router, status, position,
                       record.origins != nullptr ? &record : nullptr, nullptr,
                       now);
  if (record.origins != nullptr)
    stream_origins_record_clear(&record);
}

void StreamStore::advance(gint64 now) {
  for (Call &call : calls) {
    if (!call.is_applied && call.applied_at <= now)
      apply(call, now);
  }
  std::vector<Call> due;
  auto is_due = [&](const Call &call) {
    return call.replied_at <= now && still.count(call.instance) == 0 &&
           (call.is_applied || call.applied_at == G_MAXINT64);
  };
  std::copy_if(calls.begin(), calls.end(), std::back_inserter(due), is_due);
  calls.erase(std::remove_if(calls.begin(), calls.end(), is_due), calls.end());
  for (const Call &call : due)
    reply(call, now);
  for (auto &[instance, world] : worlds) {
    if (still.count(instance) == 0)
      begin_calls(instance, *world, now);
  }
}

} // namespace streaming
