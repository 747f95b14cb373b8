/*
** lease_reply.h
** Reads the store's replies about the lease for orders to engines
** (router/lease.h)
*/

#ifndef LEASE_REPLY_H
#define LEASE_REPLY_H

#include "dialect/dialect.h"
#include "io/log.h"

/*
** Fills in '*out', whose memory is zeroed and whose record the caller clears
** by lease_record_clear. A record that cannot be read is logged and treated
** like a lease that another instance holds: this instance may acquire it once
** it has certainly expired. If it were treated as a failed call, no instance
** could ever acquire the lease and change the stages of engines.
*/
void lease_reply_read(const Dialect *dialect, Log *log,
                      const StoreReply *reply, LeaseReply *out);

#endif
