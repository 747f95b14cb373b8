/*
** mpconf.h
** Limits and time constants of madderpier
** Every number that a reader may want to change stands here, with its
** unit. Times are in microseconds unless the name says otherwise.
*/

#ifndef MPCONF_H
#define MPCONF_H

/* marks a function of the library's public interface */
#if !defined(MP_API)
#define MP_API extern
#endif

#define MP_MS 1000LL          /* one millisecond, in mp_Time units */
#define MP_SEC (1000 * MP_MS) /* one second, in mp_Time units */

/*
** {==================================================================
** Sizes
** ===================================================================
*/

/* longest name of a data centre, service, model, class or account */
#define MP_NAME_MAX 63

/* longest request ID that a caller may give */
#define MP_KEY_MAX 127

/* longest digest text (SHA-256 in hexadecimal) */
#define MP_SHA256_HEX 64

/* most sections in one configuration */
#define MP_SECTIONS_MAX 16

/* largest section, manifest or instance list, in bytes */
#define MP_DOCUMENT_MAX (1 << 20)

/* bytes of a document carried by one datagram */
#define MP_CHUNK_SIZE 1024

/* largest datagram between instances, in bytes */
#define MP_DATAGRAM_MAX 1400

/* rows of each kind that one probe or its answer carries */
#define MP_GOSSIP_MEMBERS 4
#define MP_GOSSIP_LOADS 8

/* rows of a load digest, in one datagram */
#define MP_LOAD_DIGEST_ROWS 110
#define MP_LOAD_DIGEST_CHANGING 12
#define MP_LOAD_DIGEST_LEAVING 12
#define MP_LOAD_DIGEST_SERVICES 6
/* client accounts whose totals one digest carries; more take turns */
#define MP_LOAD_DIGEST_ACCOUNTS 32

/* engines give memory out by blocks of so many tokens */
#define MP_TOKEN_BLOCK 16

/* kinds of the store's objects that relays pass on */
#define MP_RELAY_KINDS 4

/* requests under which endpoints ended, in one datagram, and the ends that are
** told of each */
#define MP_CRASH_ROWS 16
#define MP_CRASHES_PER_ROW 6

/* suspected ends of endpoints, in one datagram */
#define MP_SUSPECT_ROWS 24

/* endpoints that name a rate, in one datagram */
#define MP_RATE_ROWS 64

/* renewals carried by one datagram */
#define MP_RENEW_BATCH 40

/* most data centres named in a configuration */
#define MP_DCS_MAX 64

/* most models named in a configuration (bits of a mask) */
#define MP_MODELS_MAX 64

/* instances per data centre that watch the platform's documents */
#define MP_RELAYS_PER_DC 2

/* members told at once by one that took a new document */
#define MP_FANOUT 4

/* most durable claims written by one conditional update */
#define MP_CLAIM_BATCH 256

/* shards of a data centre's durable claims */
#define MP_CLAIM_SHARDS 16

/* }================================================================== */

/*
** {==================================================================
** Times
** ===================================================================
*/

/* membership: one probe a period; no answer by the timeout asks others */
#define MP_PROBE_PERIOD (500 * MP_MS)
#define MP_PROBE_TIMEOUT (150 * MP_MS)
#define MP_PROBE_INDIRECT 2
/* every so many periods one instance of another data centre is probed */
#define MP_REMOTE_EVERY 2
/* a suspect that does not refute this long is dead */
#define MP_SUSPECT_TIMEOUT (1500 * MP_MS)
/* how long a dead member's row stays, so that late gossip finds it */
#define MP_DEAD_RETENTION (60 * MP_SEC)
/* a data centre from which nothing came this long counts as cut off */
#define MP_DC_TIMEOUT (5 * MP_SEC)

/* calls between instances: first wait for an answer, and tries */
#define MP_RPC_RETRY_DELAY (60 * MP_MS)
#define MP_RPC_TRIES 3

/* reservations: the lease, and how often a holder renews it */
#define MP_RESERVATION_LEASE (6 * MP_SEC)
#define MP_RENEW_PERIOD (2 * MP_SEC)
/* a hold on an endpoint with no reservation this long is an orphan */
#define MP_ORPHAN_GRACE (MP_RESERVATION_LEASE + MP_SEC)
/* how often a keeper asks an endpoint for its load */
#define MP_LOAD_PERIOD (250 * MP_MS)
/* answers to load calls may take this long */
#define MP_LOAD_TIMEOUT (1 * MP_SEC)
/* a waiting reservation not confirmed by its holder this long is gone */
#define MP_WAITING_LEASE (6 * MP_SEC)

/* cancels of engine work are repeated this often until confirmed */
#define MP_CANCEL_PERIOD (300 * MP_MS)
#define MP_CANCEL_TRIES 8

/* a draining instance still takes calls this long, for balancers that lag */
#define MP_DRAIN_ADMIT_TIME (3 * MP_SEC)

/* group commit of durable claims */
#define MP_CLAIM_WINDOW (20 * MP_MS)
/* an ID is remembered its class's deadline and this long after it */
#define MP_CLAIM_RETENTION (60 * MP_SEC)
/* a new home gathers what holders announce this long before it grants */
#define MP_HOME_SETTLE_TIME (1500 * MP_MS)

/* platform calls: give up after, and wait before trying again */
#define MP_STORE_TIMEOUT (2 * MP_SEC)
#define MP_STORE_RETRY_INTERVAL (500 * MP_MS)
/* a watch is renewed after this long */
#define MP_WATCH_TIMEOUT (20 * MP_SEC)
/* how often a member that is no relay looks for itself */
#define MP_DOC_POLL_INTERVAL (10 * MP_SEC)

/* endpoints: time to accept a call, silence in a stream */
#define MP_CONNECT_TIMEOUT (2 * MP_SEC)
#define MP_STREAM_TIMEOUT (2 * MP_SEC)
/* ejection after so many failures in a row, for this long at first */
#define MP_EJECT_FAILURES 3
#define MP_EJECT_TIME (2 * MP_SEC)
#define MP_EJECT_TIME_MAX (30 * MP_SEC)
/* an ejection leaves at least this share of a pool, in percent */
#define MP_EJECT_OPEN_PERCENT_MIN 50

/* retries: share of fresh traffic in percent, and the least a second */
#define MP_RETRY_PERCENT 20
#define MP_RETRIES_PER_S 3
#define MP_RETRY_DELAY (20 * MP_MS)
/* attempts of one step, at the most */
#define MP_STEP_ATTEMPTS_MAX 4

/* quota: a slice lent by an account's home lasts this long */
#define MP_QUOTA_SLICE_TIME (1 * MP_SEC)

/* role orders: the lease, its renewal, the longest order, the margin */
#define MP_ORDER_LEASE (6 * MP_SEC)
#define MP_ORDER_RENEW_INTERVAL (2 * MP_SEC)
#define MP_ORDER_TIMEOUT (2 * MP_SEC)
#define MP_ORDER_MARGIN (1 * MP_SEC)
/* pressure on one pool must last this long before a role changes */
#define MP_ROLE_CHANGE_DELAY (20 * MP_SEC)

/* }================================================================== */

/*
** {==================================================================
** Estimates used until measured ones are there
** ===================================================================
*/

#define MP_PREFILL_RATE_DEFAULT 20000 /* prompt tokens a second */
#define MP_TOKEN_TIME_DEFAULT (25 * MP_MS)
#define MP_KV_LIFE_DEFAULT (4 * MP_SEC)
#define MP_SLOTS_DEFAULT 16
#define MP_LINK_MBYTES_PER_S_DEFAULT 1000 /* megabytes a second */

/* prefill work granted ahead on one engine, as time */
#define MP_PREFILL_AHEAD (250 * MP_MS)
/* prompts at least this long are long, in tokens */
#define MP_LONG_PROMPT_MIN 4096

/* }================================================================== */

#endif
