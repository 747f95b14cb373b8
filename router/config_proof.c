/*
** config_proof.c
** Upper bound of the age of the configuration known here
*/

#include "router/config_proof.h"
#include "router/follower.h"

void config_proof_init(ConfigProof *proof) {
  proof->at = 0;
  proof->at_in_era = 0;
  proof->store_era = 0;
  proof->store_era_heard = 0;
  proof->known = store_position_none();
}

static void advance(ConfigProof *proof, guint64 era, gint64 at) {
  proof->at = MAX(proof->at, at);
  if (era == proof->known.era)
    proof->at_in_era = MAX(proof->at_in_era, at);
}

/* Returns TRUE if the store may lack at this time what a restore has lost. */
static gboolean may_lack_changes(const ConfigProof *proof, gint64 at) {
  return proof->store_era > CONFIG_PROOF_FIRST_ERA &&
         at < proof->store_era_heard + CONFIG_PROOF_SETTLE_TIME;
}

void config_proof_confirm_by_store(ConfigProof *proof, guint64 era, gint64 at,
                                   gint64 now) {
  if (era > proof->store_era) {
    proof->store_era = era;
    proof->store_era_heard = now;
  }
  if (era == proof->store_era && !may_lack_changes(proof, at))
    advance(proof, era, at);
}

void config_proof_advance_known(ConfigProof *proof, StorePosition position) {
  if (position.era > proof->known.era)
    proof->at_in_era = 0;
  proof->known = store_position_later(proof->known, position);
}

/*
** Positions count within one era only: a revision doesn't tell what the
** relay's store had lost in a restore, or has lost since.
*/
static gboolean knows_changes_up_to(const ConfigProof *proof,
                                    StorePosition changed) {
  return changed.era == proof->known.era &&
         !store_position_is_before(proof->known, changed);
}

void config_proof_apply_heartbeat(ConfigProof *proof,
                                  const RelayClocks *clocks, mp_Addr relay,
                                  const mp_RelayHeartbeat *beat, gint64 now) {
  gint64 at;
  if (beat->proof_ms == CONFIG_PROOF_NONE ||
      !knows_changes_up_to(proof, beat->changed[STORE_CONFIGURATION]) ||
      !relay_clocks_time_of(clocks, relay, beat, beat->proof_ms, now, &at))
    return;
  advance(proof, beat->changed[STORE_CONFIGURATION].era, at);
}

guint32 config_proof_age_ms(const ConfigProof *proof, gint64 now) {
  if (proof->at_in_era == 0)
    return CONFIG_PROOF_NONE;
  /* Rounded up, so that no instance is told a later time than the true one. */
  return (guint32)MIN((now - proof->at_in_era) / MP_MS + 1,
                      CONFIG_PROOF_NONE - 1);
}
