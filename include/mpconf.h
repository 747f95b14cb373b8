/*
** mpconf.h
** Limits and time constants of madderpier
**
** The numbers that a reader may want to change, with their units. Times
** are mp_Time, in microseconds, unless the name says otherwise. All instances
** of one deployment must be compiled with the same sizes, since the sizes
** bound the messages that instances exchange.
*/

#ifndef MPCONF_H
#define MPCONF_H

/* marks a function of the library's public interface */
#if !defined(MP_API)
#define MP_API extern
#endif

#define MP_MS 1000LL          /* one millisecond, as mp_Time */
#define MP_SEC (1000 * MP_MS) /* one second, as mp_Time */

/*
** {==================================================================
** Sizes
** ===================================================================
*/

/* longest name of a data centre, service, model, class or client account, in
** bytes without the final zero */
#define MP_NAME_MAX 63

/* longest request ID (Idempotency-Key) that a caller may give, in bytes */
#define MP_KEY_MAX 127

/* length of a SHA-256 digest in hexadecimal, without the final zero */
#define MP_SHA256_HEX 64

/* largest number of sections (files) of one configuration */
#define MP_SECTIONS_MAX 16

/* largest section, manifest or instance list, in bytes */
#define MP_DOCUMENT_MAX (1 << 20)

/* most bytes of a document in one datagram */
#define MP_CHUNK_SIZE 1024

/* largest datagram between instances, in bytes */
#define MP_DATAGRAM_MAX 1400

/* most updates of members and of endpoint loads in one probe or its reply */
#define MP_GOSSIP_MEMBERS 4
#define MP_GOSSIP_LOADS 8

/*
** Most rows of a load digest (mp_LoadDigest), which is one datagram: endpoint
** loads, engines that change their stage, endpoints that leave, and services
*/
#define MP_LOAD_DIGEST_ROWS 110
#define MP_LOAD_DIGEST_CHANGING 12
#define MP_LOAD_DIGEST_LEAVING 12
#define MP_LOAD_DIGEST_SERVICES 6
/* most pairs of a service and a priority with waiting requests in one load
** digest */
#define MP_LOAD_DIGEST_PRIORITIES 10
/* most client accounts in one load digest; if there are more, successive
** digests carry them in turn */
#define MP_LOAD_DIGEST_ACCOUNTS 32

/* tokens in one block, the unit in which engines allocate KV memory */
#define MP_TOKEN_BLOCK 16

/* kinds of objects of the store whose updates relays forward */
#define MP_RELAY_KINDS 4

/* in one datagram: most requests during which endpoints crashed, and most
** crashes listed for each of them */
#define MP_CRASH_ROWS 16
#define MP_CRASHES_PER_ROW 6
/* unit in which the times of those crashes are told, in milliseconds */
#define MP_CRASH_TIME_MS 10

/* most suspected crashes of endpoints in one datagram */
#define MP_SUSPECT_ROWS 24

/* most parts of prompts that are acquitted in one datagram */
#define MP_ACQUITTAL_ROWS 16

/* most endpoints with a rate limit of their own in one datagram */
#define MP_RATE_ROWS 64

/* most reservations renewed by one datagram */
#define MP_RENEW_BATCH 40

/* most data centres in a configuration */
#define MP_DCS_MAX 64

/* most models in a configuration; a mask has one bit for each */
#define MP_MODELS_MAX 64

/* relays of each data centre: the instances that watch the platform's
** documents for the others */
#define MP_RELAYS_PER_DC 2

/* most members that an instance tells at once of a new document version */
#define MP_FANOUT 4

/* most durable claims added by one conditional write */
#define MP_CLAIM_BATCH 256

/* shards over which a data centre's durable claims are spread; each shard is
** one object of the platform */
#define MP_CLAIM_SHARDS 16

/* }================================================================== */

/*
** {==================================================================
** Times
** ===================================================================
*/

/* membership: the interval between probes, and the time after which a probe
** without a reply is repeated through MP_PROBE_INDIRECT other members */
#define MP_PROBE_PERIOD (500 * MP_MS)
#define MP_PROBE_TIMEOUT (150 * MP_MS)
#define MP_PROBE_INDIRECT 2
/* one instance of another data centre is probed every so many periods */
#define MP_REMOTE_EVERY 2
/* a suspected member that has not refuted the suspicion for longer than this
** is declared dead */
#define MP_SUSPECT_TIMEOUT (1500 * MP_MS)
/* how long a dead member that is in no list is remembered, so that late gossip
** about it can be recognised as old */
#define MP_DEAD_RETENTION (60 * MP_SEC)
/* a data centre from which no message came for this long counts as
** unreachable */
#define MP_DC_TIMEOUT (5 * MP_SEC)

/* calls between instances: the time until the first retransmission, which
** doubles with each further one; MP_RPC_TRIES is not used at present, since
** each call has a timeout of its own */
#define MP_RPC_RETRY_DELAY (60 * MP_MS)
#define MP_RPC_TRIES 3

/* reservations at endpoints: the lease, and how often a holder renews it */
#define MP_RESERVATION_LEASE (6 * MP_SEC)
#define MP_RENEW_PERIOD (2 * MP_SEC)
/* work that an endpoint reports without a reservation for it is cancelled as
** an orphan this long after its keeper first saw it; a live holder has renewed
** the reservation within a lease */
#define MP_ORPHAN_GRACE (MP_RESERVATION_LEASE + MP_SEC)
/* how often its keeper (the instance responsible for it) polls an endpoint for
** its load */
#define MP_LOAD_PERIOD (250 * MP_MS)
/* timeout of a load poll */
#define MP_LOAD_TIMEOUT (1 * MP_SEC)
/* a waiting reservation that its holder has not renewed for this long is
** dropped */
#define MP_WAITING_LEASE (6 * MP_SEC)

/* cancels of engine work: the wait after the n-th try is n times the period;
** after so many tries without a confirmation the cancel is dropped */
#define MP_CANCEL_PERIOD (300 * MP_MS)
#define MP_CANCEL_TRIES 8

/* a draining instance still admits requests for this long after the drain
** began, since load balancers notice the drain late */
#define MP_DRAIN_ADMIT_TIME (3 * MP_SEC)

/* group commit of durable claims: all that arrive within this time of the
** first go into one write, up to MP_CLAIM_BATCH */
#define MP_CLAIM_WINDOW (20 * MP_MS)
/* a request ID is remembered until this long after the request's deadline */
#define MP_CLAIM_RETENTION (60 * MP_SEC)
/* the instance that becomes responsible for a key (its home) collects the
** announcements of holders for this long before it grants anything */
#define MP_HOME_SETTLE_TIME (1500 * MP_MS)

/* calls to the platform: timeout, and wait before the next try */
#define MP_STORE_TIMEOUT (2 * MP_SEC)
#define MP_STORE_RETRY_INTERVAL (500 * MP_MS)
/* a watch of the platform that has brought no change is renewed after this */
#define MP_WATCH_TIMEOUT (20 * MP_SEC)
/* how often an instance that is no relay reads the platform's documents */
#define MP_DOC_POLL_INTERVAL (10 * MP_SEC)

/* endpoints: time to connect (not used by the core at present), and longest
** time without a new chunk of a stream */
#define MP_CONNECT_TIMEOUT (2 * MP_SEC)
#define MP_STREAM_TIMEOUT (2 * MP_SEC)
/* an endpoint is ejected after so many failures in a row, for MP_EJECT_TIME
** at first, doubled each further time up to MP_EJECT_TIME_MAX */
#define MP_EJECT_FAILURES 3
#define MP_EJECT_TIME (2 * MP_SEC)
#define MP_EJECT_TIME_MAX (30 * MP_SEC)
/* an ejection must leave at least this share of a pool in use, in percent */
#define MP_EJECT_OPEN_PERCENT_MIN 50

/*
** The retry budget grows by this percentage of a retry with each new request,
** and by so many retries each second. A retry waits a random time, between
** half and all of MP_RETRY_DELAY, which is doubled up to four times.
*/
#define MP_RETRY_PERCENT 20
#define MP_RETRIES_PER_S 3
#define MP_RETRY_DELAY (20 * MP_MS)
/* most attempts of one step of a request, and endpoints avoided in it */
#define MP_STEP_ATTEMPTS_MAX 4

/* quota: how long a slice of an account's limit is valid that the account's
** home has granted to another instance */
#define MP_QUOTA_SLICE_TIME (1 * MP_SEC)

/* role orders (an engine is told to change between prefill and decode): the
** lease of the one instance that gives them, its renewal, how long an order
** is valid, and the margin added to both before a new holder of the lease
** gives orders to engines that do not check fences */
#define MP_ORDER_LEASE (6 * MP_SEC)
#define MP_ORDER_RENEW_INTERVAL (2 * MP_SEC)
#define MP_ORDER_TIMEOUT (2 * MP_SEC)
#define MP_ORDER_MARGIN (1 * MP_SEC)
/* a pool must be short of engines for this long before a role changes */
#define MP_ROLE_CHANGE_DELAY (20 * MP_SEC)

/* }================================================================== */

/*
** {==================================================================
** Defaults that are used until measured or configured values are known
** ===================================================================
*/

#define MP_PREFILL_RATE_DEFAULT 20000      /* prompt tokens per second */
#define MP_TOKEN_TIME_DEFAULT (25 * MP_MS) /* decode time of one token */
/* how long a prefill's KV result is kept (not used by the core at present) */
#define MP_KV_LIFE_DEFAULT (4 * MP_SEC)
#define MP_SLOTS_DEFAULT 16               /* decode slots of an endpoint */
#define MP_LINK_MBYTES_PER_S_DEFAULT 1000 /* rate of a link */

/* a prefill engine is granted another prompt that is not long while the
** prompts granted before take it less than this */
#define MP_PREFILL_AHEAD (250 * MP_MS)
/* prompts of at least so many tokens count as long */
#define MP_LONG_PROMPT_MIN 4096

/* }================================================================== */

#endif
