// The one table of numbered events. No include guard: a user defines
// HIBISCUSFERRY_EVENT(number, severity, name, text, advice) and includes it.
//
// number    unique, never reused; each module has a block
// severity  info, warning, or alarm (an alarm asks an operator to act)
// name      the event's name in code, logs and the time line
// text      what happened
// advice    what an operator does about it; empty for none

// 1000-1099 processes
HIBISCUSFERRY_EVENT(1000, info, process_started, "The process has started.", "")
HIBISCUSFERRY_EVENT(1001, info, drain_started,
                    "A planned stop began: the process is no longer ready and "
                    "finishes what it holds.",
                    "")
HIBISCUSFERRY_EVENT(1002, info, process_stopped,
                    "The process has stopped with nothing left unfinished.", "")
HIBISCUSFERRY_EVENT(
    1003, alarm, drain_incomplete,
    "A planned stop reached its limit with requests still open.",
    "Raise drain_limit_ms in the settings, or find the request that does not "
    "end in the time line.")
HIBISCUSFERRY_EVENT(
    1004, alarm, internal_error,
    "A task of the process ended by an unexpected error; the process goes on.",
    "Report it with the fields of the event.")

// 1100-1199 requests (router)
HIBISCUSFERRY_EVENT(1100, info, request_received,
                    "A request was accepted from a caller.", "")
HIBISCUSFERRY_EVENT(1101, info, request_finished,
                    "The caller has the whole answer.", "")
HIBISCUSFERRY_EVENT(1102, warning, request_refused,
                    "A request was refused as not run.", "")
HIBISCUSFERRY_EVENT(1103, info, attempt_started,
                    "A request was sent to a target.", "")
HIBISCUSFERRY_EVENT(1104, warning, attempt_failed,
                    "An attempt at a target failed.", "")
HIBISCUSFERRY_EVENT(1105, warning, answer_mismatch,
                    "A target's answer did not carry the attempt's id; it was "
                    "dropped and the connection closed.",
                    "")
HIBISCUSFERRY_EVENT(
    1106, warning, stream_broken,
    "A streamed answer broke and could not be resumed; the caller was told.",
    "")
HIBISCUSFERRY_EVENT(1107, warning, request_abandoned,
                    "The caller went away before its answer was complete.", "")

// 1200-1299 claims (at most once)

// 1300-1399 admission and fair share

// 1400-1499 targets and routing

// 1500-1599 membership and peers

// 1600-1699 authority and orders

// 1700-1799 roles
HIBISCUSFERRY_EVENT(1700, info, role_change_wanted,
                    "The role policy asked for an engine to change its role.",
                    "")
HIBISCUSFERRY_EVENT(1701, info, role_pattern_trusted,
                    "A periodic pattern of the token mix is acted on.", "")
HIBISCUSFERRY_EVENT(1702, info, role_pattern_dropped,
                    "A periodic pattern of the token mix no longer holds and "
                    "is not acted on.",
                    "")
HIBISCUSFERRY_EVENT(
    1703, warning, role_policy_held_back,
    "No role is changed while reports are stale or the fleet is degraded.",
    "Look for silent routers or engines in the status; see the field hold.")
HIBISCUSFERRY_EVENT(1704, info, role_policy_resumed,
                    "Roles are changed again after a hold.", "")
HIBISCUSFERRY_EVENT(
    1705, warning, role_expectation_expired,
    "A role change was never seen in the engine's reports.",
    "Compare the engine's reported role with the outcome of its last order.")

// 1800-1899 configuration

// 1900-1999 platform adapters
