/*
** software_store.cc
** Stand-in of the store for the sets of versions, in virtual time
*/

#include <algorithm>

#include "software_store.h"

namespace streaming {

namespace {
/* an instance gives a call up after this */
constexpr gint64 call_timeout = 1000 * routing::ms;
constexpr unsigned late_max_ms = 5000;
} // namespace

void SoftwareStore::carry_out(Call &call) {
  auto found = objects.find(call.service);
  bool exists = found != objects.end();
  call.is_done = true;
  if (call.call.operation == STORE_CREATE && !exists) {
    objects[call.service] = {++revision, call.call.record};
    call.reply.status = STORE_OK;
  } else if (!exists) {
    call.reply.status = STORE_NOT_FOUND;
    return;
  } else if (call.call.operation == STORE_READ) {
    call.reply.status = STORE_OK;
  } else if (call.call.operation == STORE_REPLACE &&
             found->second.revision == call.call.position.revision) {
    found->second = {++revision, call.call.record};
    call.reply.status = STORE_OK;
  } else {
    call.reply.status = STORE_CONFLICT;
  }
  call.record = objects[call.service].record;
  call.reply.position = store_position(era, objects[call.service].revision);
}

void SoftwareStore::advance(gint64 now) {
  for (Call &call : calls) {
    if (!call.is_done && !call.is_never && call.due <= now)
      carry_out(call);
  }
  calls.erase(std::remove_if(calls.begin(), calls.end(),
                             [&](const Call &call) {
                               return call.answer_at + call_timeout +
                                          2 * late_max_ms * routing::ms <
                                      now;
                             }),
              calls.end());
}

void SoftwareStore::serve(unsigned long owner, Router *router, gint64 now) {
  for (size_t i = 0; i < calls.size(); i++) {
    if (calls[i].owner != owner || calls[i].answer_at > now)
      continue;
    Call call = calls[i];
    SoftwareSetReply failed = {};
    failed.status = STORE_FAILED;
    call.call.service = call.service.c_str();
    if (call.reply.status != STORE_NOT_FOUND)
      call.reply.record = &call.record;
    calls[i].owner = 0; /* answered */
    if (call.is_lost || !call.is_done)
      router_software_reply(router, &call.call, &failed, 0, now);
    else
      router_software_reply(router, &call.call, &call.reply, era, now);
    break;
  }
  Call next = {};
  gint64 due;
  if (!router_next_software_call(router, &next.call, &due, now))
    return;
  (next.call.operation == STORE_READ ? reads : writes)++;
  next.owner = owner;
  next.service = next.call.service;
  bool is_cut = is_away || cut.count(owner) > 0;
  next.is_lost = is_cut || random_below(100) < lost_percent;
  next.is_never = is_cut || (next.is_lost && random_below(2) == 0);
  gint64 delay = 1 + random_below(static_cast<unsigned>(delay_max));
  next.due = now + (next.is_lost ? random_below(late_max_ms) * routing::ms
                                 : delay / 2);
  next.answer_at = now + (next.is_lost ? call_timeout : delay);
  calls.push_back(next);
}

void SoftwareStore::restore(const std::map<std::string, Object> &copy) {
  objects = copy;
  era++;
}

bool SoftwareStore::has_only(const std::string &service,
                             guint64 software) const {
  auto found = objects.find(service);
  return found != objects.end() && found->second.record.count == 1 &&
         found->second.record.entries[0].software == software;
}

} // namespace streaming
