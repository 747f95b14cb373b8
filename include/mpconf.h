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
#define MP_MAXNAME 63

/* longest request ID that a caller may give */
#define MP_MAXKEY 127

/* longest digest text (SHA-256 in hexadecimal) */
#define MP_DIGEST 64

/* most sections in one configuration */
#define MP_MAXSECTIONS 16

/* largest section, manifest or instance list, in bytes */
#define MP_MAXDOC (1 << 20)

/* bytes of a document carried by one datagram */
#define MP_CHUNK 1024

/* largest datagram between instances, in bytes */
#define MP_MAXDGRAM 1400

/* rows of each kind that one probe or its answer carries */
#define MP_GOSSIP_MEMBERS 4
#define MP_GOSSIP_LOADS 8

/* rows of a load digest, in one datagram */
#define MP_DIGEST_ROWS 110
#define MP_DIGEST_CHANGING 12
#define MP_DIGEST_LEAVING 12
#define MP_DIGEST_SERVICES 6
/* client accounts whose totals one digest carries; more take turns */
#define MP_DIGEST_ACCOUNTS 32

/* engines give memory out by blocks of so many tokens */
#define MP_TOKEN_BLOCK 16

/* kinds of the store's objects that relays pass on */
#define MP_RELAY_KINDS 4

/* requests under which endpoints ended, in one datagram, and the ends that are
** told of each */
#define MP_CRASH_ROWS 16
#define MP_CRASHES_EACH 6

/* suspected ends of endpoints, in one datagram */
#define MP_SUSPECT_ROWS 24

/* endpoints that name a rate, in one datagram */
#define MP_RATE_ROWS 64

/* renewals carried by one datagram */
#define MP_RENEW_BATCH 40

/* most data centres named in a configuration */
#define MP_MAXDCS 64

/* most models named in a configuration (bits of a mask) */
#define MP_MAXMODELS 64

/* instances per data centre that watch the platform's documents */
#define MP_RELAYS 2

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
#define MP_SUSPECT_TIME (1500 * MP_MS)
/* how long a dead member's row stays, so that late gossip finds it */
#define MP_DEAD_KEEP (60 * MP_SEC)
/* a data centre from which nothing came this long counts as cut off */
#define MP_DC_SILENT (5 * MP_SEC)

/* calls between instances: first wait for an answer, and tries */
#define MP_RPC_WAIT (60 * MP_MS)
#define MP_RPC_TRIES 3

/* reservations: the lease, and how often a holder renews it */
#define MP_LEASE (6 * MP_SEC)
#define MP_RENEW_PERIOD (2 * MP_SEC)
/* a hold on an endpoint with no reservation this long is an orphan */
#define MP_ORPHAN_GRACE (MP_LEASE + MP_SEC)
/* how often a keeper asks an endpoint for its load */
#define MP_LOAD_PERIOD (250 * MP_MS)
/* answers to load calls may take this long */
#define MP_LOAD_TIMEOUT (1 * MP_SEC)
/* a waiting reservation not confirmed by its holder this long is gone */
#define MP_QUEUE_LEASE (6 * MP_SEC)

/* cancels of engine work are repeated this often until confirmed */
#define MP_CANCEL_PERIOD (300 * MP_MS)
#define MP_CANCEL_TRIES 8

/* a draining instance still takes calls this long, for balancers that lag */
#define MP_DRAIN_LINGER (3 * MP_SEC)

/* group commit of durable claims */
#define MP_CLAIM_WINDOW (20 * MP_MS)
/* an ID is remembered its class's deadline and this long after it */
#define MP_CLAIM_GRACE (60 * MP_SEC)
/* a new home gathers what holders announce this long before it grants */
#define MP_HOME_SETTLE (1500 * MP_MS)

/* platform calls: give up after, and wait before trying again */
#define MP_STORE_TIMEOUT (2 * MP_SEC)
#define MP_STORE_RETRY (500 * MP_MS)
/* a watch is renewed after this long */
#define MP_WATCH_TIME (20 * MP_SEC)
/* how often a member that is no relay looks for itself */
#define MP_DOC_POLL (10 * MP_SEC)

/* endpoints: time to accept a call, silence in a stream */
#define MP_CONNECT_TIME (2 * MP_SEC)
#define MP_STALL_TIME (2 * MP_SEC)
/* ejection after so many failures in a row, for this long at first */
#define MP_EJECT_FAILS 3
#define MP_EJECT_TIME (2 * MP_SEC)
#define MP_EJECT_MAX (30 * MP_SEC)
/* an ejection leaves at least this share of a pool, in percent */
#define MP_EJECT_FLOOR 50

/* retries: share of fresh traffic in percent, and the least a second */
#define MP_RETRY_SHARE 20
#define MP_RETRY_FLOOR 3
#define MP_RETRY_WAIT (20 * MP_MS)
/* attempts of one step, at the most */
#define MP_MAXTRIES 4

/* quota: a slice lent by an account's home lasts this long */
#define MP_SLICE_TIME (1 * MP_SEC)

/* role orders: the lease, its renewal, the longest order, the margin */
#define MP_ORDER_LEASE (6 * MP_SEC)
#define MP_ORDER_RENEW (2 * MP_SEC)
#define MP_ORDER_MAX (2 * MP_SEC)
#define MP_ORDER_MARGIN (1 * MP_SEC)
/* pressure on one pool must last this long before a role changes */
#define MP_ROLE_PATIENCE (20 * MP_SEC)

/* }================================================================== */

/*
** {==================================================================
** Estimates used until measured ones are there
** ===================================================================
*/

#define MP_PREFILL_RATE 20000 /* prompt tokens a second */
#define MP_TOKEN_TIME (25 * MP_MS)
#define MP_KV_LIFE (4 * MP_SEC)
#define MP_SLOTS 16
#define MP_LINK_MBYTES 1000 /* megabytes a second */

/* prefill work granted ahead on one engine, as time */
#define MP_PREFILL_AHEAD (250 * MP_MS)
/* prompts at least this long are long, in tokens */
#define MP_LONG_PROMPT 4096

/* }================================================================== */

#endif
