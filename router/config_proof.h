/*
** config_proof.h
** Since when the configuration known here may be out of date
**
** A key that was taken away must not be served for long, also by an instance
** that is cut off and hears nothing. So each instance knows a moment of its
** own steady clock at which its configuration was certainly the newest one:
** when it asked the store and the answer had nothing newer; or, told by a
** relay, a moment of the relay's clock that is carried over to its own.
**
** A heartbeat may have waited in a queue for seconds, or this instance may
** have been stopped since it came, so the time of its arrival proves nothing.
** The difference of the two clocks is bounded by a question and its answer:
** the relay's clock showed what the answer says after the question was sent.
** Invariants: the moment is never later than the true one, and a relay proves
** nothing to an instance that knows another era of the store than it does.
*/

#ifndef ROUTER_CONFIG_PROOF_H
#define ROUTER_CONFIG_PROOF_H

#include "router/store_position.h"

/* proof_ms of a heartbeat whose sender has no proof */
#define CONFIG_PROOF_NONE G_MAXUINT32
/* a relay's clock is bounded anew after this, so that a drift of 100 us a
** second between two clocks makes 1 ms at most */
#define CONFIG_PROOF_CLOCK_AGE_MAX (10 * MP_SEC)

typedef struct ConfigProof {
  gint64 at;           /* it was the newest then; 0: never known */
  StorePosition known; /* changes up to there are known here */
  GHashTable *clocks;  /* relay's address -> RelayClock */
} ConfigProof;

void config_proof_init(ConfigProof *proof);
void config_proof_clear(ConfigProof *proof);

/* the store has answered that there was nothing newer at that moment */
void config_proof_confirm_by_store(ConfigProof *proof, gint64 at);
/* changes up to there are known */
void config_proof_advance_known(ConfigProof *proof, StorePosition position);
/* a relay's heartbeat; counts when this instance knows the changes it names */
void config_proof_apply_heartbeat(ConfigProof *proof, mp_Addr relay,
                                  const mp_RelayHeartbeat *beat, gint64 now);
/* should this relay be asked, so that its clock is bounded? */
gboolean config_proof_must_bound_clock(const ConfigProof *proof, mp_Addr relay,
                                       gint64 now);

/* since the configuration was the newest; milliseconds, CONFIG_PROOF_NONE */
guint32 config_proof_age_ms(const ConfigProof *proof, gint64 now);

#endif
