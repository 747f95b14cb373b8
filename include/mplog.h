/*
** mplog.h
** The catalogue of numbered log events
**
** Every line of the log has the number, the level and the text of one of these
** events, then its fields (key=value). Operators' tools match the numbers, so
** the number of an event never changes. docs/EVENTS.md has a row for each
** event, with advice; scripts/events.sh compares the two.
*/

#ifndef MPLOG_H
#define MPLOG_H

#include "mpbase.h"

#ifdef __cplusplus
extern "C" {
#endif

/* severity of an event; FAULT: something has to be corrected */
typedef enum mp_Level { MP_DEBUG, MP_INFO, MP_WARN, MP_FAULT } mp_Level;

/* X(symbol, number, level, text); each entry stands on one line */
#define MP_EVENTS(X)                                                          \
  X(ACCEPT, 1001, MP_DEBUG, "request accepted")                               \
  X(REFUSE, 1002, MP_INFO, "request refused")                                 \
  X(ANSWERED, 1003, MP_INFO, "request answered")                              \
  X(GONE, 1004, MP_INFO, "caller disconnected, request cancelled")            \
  X(BROKE, 1005, MP_WARN, "request ended in an error after work began")       \
  X(STEP, 1006, MP_DEBUG, "request enters a step")                            \
  X(RETRY, 1007, MP_INFO, "step of a request is retried")                     \
  X(FAILED, 1008, MP_INFO, "endpoint failed a step")                          \
  X(GRANT, 2001, MP_DEBUG, "reservation granted")                             \
  X(DENY, 2002, MP_DEBUG, "reservation denied")                               \
  X(EXPIRE, 2003, MP_INFO, "reservation expired, not renewed")                \
  X(ORPHAN, 2004, MP_WARN, "orphaned work at an endpoint cancelled")          \
  X(EP_DOWN, 2005, MP_WARN, "endpoint does not answer")                       \
  X(EP_UP, 2006, MP_INFO, "endpoint answers again")                           \
  X(EP_LEAVING, 2007, MP_INFO, "endpoint is leaving")                         \
  X(EP_RESTARTED, 2009, MP_WARN, "endpoint restarted")                        \
  X(EP_RATE, 2010, MP_INFO, "endpoint announces a rate limit")                \
  X(EP_RATE_OVER, 2011, MP_INFO, "endpoint announces no rate limit now")      \
  X(EP_RATE_BAD, 2012, MP_WARN, "endpoint's rate limit is unreadable")        \
  X(EP_SAYS_LEAVING, 2013, MP_INFO, "endpoint announces that it leaves")      \
  X(EP_REST, 2014, MP_INFO, "endpoint asks for a pause")                      \
  X(EP_SIGNAL_BAD, 2015, MP_WARN, "endpoint's signal is unreadable")          \
  X(DISPATCH_HELD_BACK, 2016, MP_FAULT, "forbidden dispatch prevented")       \
  X(EP_FIELD_UNKNOWN, 2017, MP_WARN, "endpoint sends an unknown field")       \
  X(PATH_LOST, 2018, MP_WARN, "endpoint is reached through an instance")      \
  X(PATH_BACK, 2019, MP_INFO, "endpoint is reached directly again")           \
  X(PATH_NONE, 2020, MP_WARN, "no instance asked reaches the endpoint")       \
  X(EP_OUTLIER, 2021, MP_WARN, "endpoint is taken as down")                   \
  X(EP_OUTLIER_OVER, 2022, MP_INFO, "endpoint is taken as up again")          \
  X(EJECT, 2008, MP_WARN, "endpoint ejected temporarily")                     \
  X(MEMBER_UP, 3001, MP_INFO, "instance joined")                              \
  X(MEMBER_SUSPECT, 3002, MP_INFO, "instance suspected")                      \
  X(MEMBER_DEAD, 3003, MP_WARN, "instance dead")                              \
  X(MEMBER_LEAVING, 3004, MP_INFO, "instance leaving")                        \
  X(STRANGER, 3005, MP_WARN, "message from outside the instance set")         \
  X(CONFIG_NEW, 4001, MP_INFO, "configuration in force")                      \
  X(CONFIG_BAD, 4002, MP_FAULT, "configuration refused")                      \
  X(LIST_NEW, 4003, MP_INFO, "instance list in force")                        \
  X(STORE_DOWN, 4004, MP_WARN, "platform does not answer")                    \
  X(STORE_UP, 4005, MP_INFO, "platform answers again")                        \
  X(CLAIM_WRITE, 5001, MP_DEBUG, "durable claims written")                    \
  X(CLAIM_FENCED, 5002, MP_WARN, "another home wrote the durable claims")     \
  X(LEASE_HELD, 6001, MP_INFO, "lease for role orders acquired")              \
  X(LEASE_LOST, 6002, MP_WARN, "lease for role orders lost")                  \
  X(ORDER_SENT, 6003, MP_INFO, "role order sent")                             \
  X(ORDER_DONE, 6004, MP_INFO, "role order completed")                        \
  X(ORDER_FAIL, 6005, MP_WARN, "role order failed")                           \
  X(ORDER_ROUND, 6006, MP_INFO, "engines chosen for a stage change")          \
  X(DRAIN, 7001, MP_INFO, "drain begins")                                     \
  X(DRAINED, 7002, MP_INFO, "drain complete")                                 \
  X(START, 7003, MP_INFO, "instance starts")                                  \
  X(STOP, 7004, MP_INFO, "instance stops")                                    \
  X(RELOAD, 7005, MP_INFO, "settings reloaded")                               \
  X(READY, 7006, MP_INFO, "instance ready")                                   \
  X(NO_METRICS, 7007, MP_WARN, "metrics cannot be served")                    \
  X(STOOD_STILL, 7008, MP_WARN, "instance stood still")                       \
  X(ROUTE_ACCEPT, 8000, MP_INFO, "routed request accepted")                   \
  X(ROUTE_REFUSED, 8001, MP_WARN, "routed request refused")                   \
  X(ROUTE_BROKEN_OFF, 8002, MP_WARN, "routed answer aborted")                 \
  X(ROUTE_HANGUP, 8003, MP_INFO, "caller of a routed request disconnected")   \
  X(ROUTE_PREFILL, 8004, MP_INFO, "prefill of a routed request ended")        \
  X(ROUTE_OUTCOME, 8005, MP_INFO, "dispatch to an endpoint ended")            \
  X(ROUTE_DISPATCH, 8006, MP_INFO, "dispatch sent to an endpoint")            \
  X(ROUTE_WAIT, 8007, MP_INFO, "request waits for capacity")                  \
  X(ROUTE_RETRY, 8008, MP_INFO, "retry of a request decided")                 \
  X(EP_ENDED, 8009, MP_WARN, "endpoint ended while it ran requests")          \
  X(REQUEST_HELD, 8010, MP_WARN, "request held: endpoints crash on it")       \
  X(REQUEST_LIFTED, 8011, MP_INFO, "request is no longer held")               \
  X(STORE_RECORD_BAD, 8101, MP_FAULT, "record of the store rejected")         \
  X(STORE_LIST, 8102, MP_INFO, "list read from the store")                    \
  X(STORE_HISTORY_GONE, 8103, MP_WARN, "watch position expired in the store") \
  X(PEER_SNAPSHOT, 8104, MP_INFO, "objects read from a peer")                 \
  X(INSTANCES, 8105, MP_INFO, "number of instances changed")                  \
  X(RELAY_ROLE, 8106, MP_INFO, "source of store updates changed")             \
  X(RELAY_FAILED, 8107, MP_WARN, "relay did not answer")                      \
  X(NOT_ENTERED, 8108, MP_WARN, "instance could not register itself")         \
  X(NOT_KEPT, 8109, MP_INFO, "held request not written to the store")         \
  X(STORE_NAMELESS, 8110, MP_FAULT, "objects of the store lack a name")       \
  X(STORE_CALL_LEFT, 8111, MP_INFO, "call to the store abandoned")            \
  X(NEWS_LAG, 8112, MP_WARN, "another instance knows newer objects")          \
  X(NEWS_LEVEL, 8113, MP_INFO, "objects are up to date again")                \
  X(WATCH_MISSED, 8114, MP_WARN, "watch missed a change")                     \
  X(ANSWER_OVERTAKEN, 8115, MP_WARN, "answer is older than known objects")    \
  X(STORE_RESTORED, 8116, MP_WARN, "store was restored from a copy")          \
  X(CARRY_BAD, 3006, MP_WARN, "invalid request to carry a connection")        \
  X(CARRIED, 8012, MP_INFO, "request carried for another instance")           \
  X(STREAM_ORIGIN, 8013, MP_INFO, "stream is taken up again")                 \
  X(SOFTWARE_SET, 8014, MP_INFO, "versions for new streams changed")          \
  X(SOFTWARE_ONLY, 8015, MP_INFO, "streams have one version only")            \
  X(ORIGINS_NOT_KEPT, 8016, MP_WARN, "origins of streams not written")        \
  X(ORIGINS_KEPT, 8017, MP_INFO, "origins of streams are written again")      \
  X(LEVELS_UNKNOWN, 8018, MP_WARN, "levels of account limits are unknown")    \
  X(LEVELS_KNOWN, 8019, MP_INFO, "levels of account limits are known")        \
  X(PRIORITY_BAD, 8020, MP_WARN, "configuration states an invalid priority")  \
  X(PREEMPTION, 8021, MP_INFO, "urgent request displaces a run")              \
  X(CALLER_SLOW, 8030, MP_WARN, "connection of a slow caller aborted")        \
  X(BODY_REFUSED, 8031, MP_WARN, "request refused: no memory for its body")   \
  X(OVERLOADED, 8032, MP_WARN, "connections are closed unread: overload")     \
  X(OVERLOAD_OVER, 8033, MP_INFO, "all connections are taken in again")       \
  X(RESPONSE_LOST, 8034, MP_INFO, "response lost with its connection")        \
  X(INPUT_REFUSED, 8035, MP_WARN, "request refused: callers hold too much")   \
  X(PLACE_TAKEN, 8036, MP_WARN, "connection closed for a new one")            \
  X(NOT_ACCEPTED, 8037, MP_WARN, "connection could not be accepted")          \
  X(CALLER_BAD, 8201, MP_INFO, "caller sent a malformed request")             \
  X(LINES_LEFT_OUT, 9001, MP_INFO, "log lines suppressed")                    \
  X(LINES_LOST, 9002, MP_WARN, "log lines lost")

typedef enum mp_EventNo {
#define X(sym, no, level, text) MP_LOG_##sym = no,
  MP_EVENTS(X)
#undef X
} mp_EventNo;

/* level and constant text of an event; 'number' must be in the catalogue */
MP_API mp_Level mp_event_level(mp_EventNo number);
MP_API const char *mp_event_text(mp_EventNo number);

#ifdef __cplusplus
}
#endif

#endif
