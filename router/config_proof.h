/*
** config_proof.h
** Upper bound of the age of the configuration known here
**
** A client key that was revoked must not be accepted for long, even by an
** instance that is cut off from the network and hears nothing. So each
** instance keeps a time, on its own steady clock, at which its configuration
** was certainly the newest one. This time is called the proof. It is either
** the time at which this instance asked the store and was told of nothing
** newer, or such a time of a relay, an instance that follows the store for
** others (relay_group.h). A relay's time is converted from the relay's clock
** to this instance's own.
**
** The arrival of a heartbeat proves nothing; its age counts from when it was
** sent (relay_clock.h).
**
** A store that was restored from a copy lacks what was written after the copy,
** until its writers have written that again. So it proves nothing in the first
** CONFIG_PROOF_SETTLE_TIME of an era. What was proved before stays true of the
** configuration known here, which never gets older; other instances may know
** only the copy's, so a proof of an earlier era is not told them.
**
** Invariants: the time kept is never later than the true one, if lost writes
** are repeated within CONFIG_PROOF_SETTLE_TIME. A relay proves nothing to an
** instance that knows another era of the store than the relay.
*/

#ifndef ROUTER_CONFIG_PROOF_H
#define ROUTER_CONFIG_PROOF_H

#include "router/relay_clock.h"
#include "router/store_position.h"

/* proof_ms in a heartbeat whose sender has no proof. */
#define CONFIG_PROOF_NONE G_MAXUINT32
/* How long a store proves nothing after an era was first heard of that began
** with a restore, us. */
#define CONFIG_PROOF_SETTLE_TIME (1 * MP_SEC)
/* the era of a store that was never restored */
#define CONFIG_PROOF_FIRST_ERA 1

typedef struct ConfigProof {
  /* Time in us at which the configuration was the newest one; 0: unknown. */
  gint64 at;
  /* The same, proved in the era of 'known'; 0: not yet. */
  gint64 at_in_era;
  guint64 store_era;      /* latest era that the store has named */
  gint64 store_era_heard; /* when it first did so, us */
  /* Changes of the configuration up to this position are known here. */
  StorePosition known;
} ConfigProof;

/* 'proof' is the caller's. */
void config_proof_init(ConfigProof *proof);

/* Records that the store, in this era, had nothing newer at the time 'at'. */
void config_proof_confirm_by_store(ConfigProof *proof, guint64 era, gint64 at,
                                   gint64 now);
/* Records that changes up to this position are known here. */
void config_proof_advance_known(ConfigProof *proof, StorePosition position);
/*
** Handles a relay's heartbeat. It counts only when the relay's clock is
** bounded and this instance knows the changes that it names.
*/
void config_proof_apply_heartbeat(ConfigProof *proof,
                                  const RelayClocks *clocks, mp_Addr relay,
                                  const mp_RelayHeartbeat *beat, gint64 now);

/*
** Returns what other instances may be told: the milliseconds since the
** configuration was certainly the newest one of this era, rounded up, or
** CONFIG_PROOF_NONE.
*/
guint32 config_proof_age_ms(const ConfigProof *proof, gint64 now);

#endif
