/*
** config_proof.h
** Upper bound of the age of the configuration known here
**
** A client key that was revoked must not be accepted for long, even by an
** instance that is cut off from the network and hears nothing. So each
** instance keeps a time, on its own steady clock, at which its configuration
** was certainly the newest one, the proof. It is either the time at which it
** asked the store and was told nothing newer, or a time on a relay's clock,
** told by that relay (relay_group.h) and converted to its own clock.
**
** The arrival of a heartbeat proves nothing, because it may have waited in a
** queue for seconds, or this instance may have been stopped since it came. The
** offset between the two clocks is bounded by a request and its answer
** instead: the relay's clock showed the time in the answer after the request
** had been sent.
**
** Invariants: the time kept is never later than the true one. A relay proves
** nothing to an instance that knows another era of the store than the relay.
*/

#ifndef ROUTER_CONFIG_PROOF_H
#define ROUTER_CONFIG_PROOF_H

#include "router/store_position.h"

/* proof_ms in a heartbeat whose sender has no proof. */
#define CONFIG_PROOF_NONE G_MAXUINT32
/*
** The offset to a relay's clock is bounded anew when it is older than this,
** us: clocks that drift apart by 100 us a second differ by 1 ms at most by
** then.
*/
#define CONFIG_PROOF_CLOCK_AGE_MAX (10 * MP_SEC)

typedef struct ConfigProof {
  /* Time in us at which the configuration was the newest one; 0: unknown. */
  gint64 at;
  /* Changes of the configuration up to this position are known here. */
  StorePosition known;
  GHashTable *clocks; /* address of a relay -> RelayClock */
} ConfigProof;

/* 'proof' is the caller's; config_proof_clear frees what it holds. */
void config_proof_init(ConfigProof *proof);
void config_proof_clear(ConfigProof *proof);

/* Records that the store had nothing newer at the time 'at'. */
void config_proof_confirm_by_store(ConfigProof *proof, gint64 at);
/* Records that changes up to this position are known here. */
void config_proof_advance_known(ConfigProof *proof, StorePosition position);
/*
** Handles a relay's heartbeat. It counts only when this instance knows the
** changes that it names.
*/
void config_proof_apply_heartbeat(ConfigProof *proof, mp_Addr relay,
                                  const mp_RelayHeartbeat *beat, gint64 now);
/*
** Returns TRUE when the relay should be sent a request so that the offset to
** its clock can be bounded.
*/
gboolean config_proof_must_bound_clock(const ConfigProof *proof, mp_Addr relay,
                                       gint64 now);

/*
** Returns the milliseconds since the configuration was certainly the newest
** one, rounded up, or CONFIG_PROOF_NONE.
*/
guint32 config_proof_age_ms(const ConfigProof *proof, gint64 now);

#endif
