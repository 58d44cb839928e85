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
HIBISCUSFERRY_EVENT(1500, info, host_alive,
                    "An entry host is listed and answers.", "")
HIBISCUSFERRY_EVENT(1501, warning, host_suspected,
                    "An entry host did not answer, neither directly nor "
                    "through others; it can still refute.",
                    "")
HIBISCUSFERRY_EVENT(
    1502, alarm, host_excluded,
    "An entry host did not answer in time and is treated as down.",
    "See docs/operators/membership.md: check the host and its link; when many "
    "are excluded at once, the link between zones or regions.")
HIBISCUSFERRY_EVENT(1503, info, host_leaving,
                    "An entry host says that it is stopping.", "")
HIBISCUSFERRY_EVENT(1504, info, host_unlisted,
                    "An entry host is no longer in the platform's list.", "")

// 1600-1699 authority and orders
HIBISCUSFERRY_EVENT(1600, info, lease_acquired,
                    "This process holds the authority over a service.", "")
HIBISCUSFERRY_EVENT(1601, warning, lease_lost,
                    "Another process holds the authority now.", "")
HIBISCUSFERRY_EVENT(1602, info, lease_released,
                    "The authority was given up for a planned stop.", "")
HIBISCUSFERRY_EVENT(
    1603, alarm, lease_lapsed,
    "The lease could not be renewed in time; no orders are given.",
    "Check the table service: while it is down the targets keep their roles "
    "and go on serving.")
HIBISCUSFERRY_EVENT(1604, info, fence_raised,
                    "A target confirmed the new fencing number.", "")
HIBISCUSFERRY_EVENT(
    1605, alarm, fence_not_raised,
    "A target did not confirm the fencing number within the grace; it gets no "
    "order and counts as away.",
    "Check the target and the way to it.")
HIBISCUSFERRY_EVENT(1606, info, order_intended,
                    "An order is in the table; its target is being drained.",
                    "")
HIBISCUSFERRY_EVENT(1607, info, order_sent,
                    "An order was sent to its target, or repeated.", "")
HIBISCUSFERRY_EVENT(1608, info, order_settled,
                    "An order is done, failed or abandoned.", "")
HIBISCUSFERRY_EVENT(1609, warning, order_refused, "A target refused an order.",
                    "")
HIBISCUSFERRY_EVENT(
    1610, alarm, order_overdue,
    "An order that may have been sent is not settled within its time.",
    "See the reason in ferryctl status; replace the target if it does not "
    "answer: its order is abandoned when its id leaves the host list.")
HIBISCUSFERRY_EVENT(
    1611, alarm, former_sender_may_send,
    "A target that ignores fencing numbers gets no other order, because a "
    "former controller may still send the last one.",
    "End the named process, or remove its host from the list.")
HIBISCUSFERRY_EVENT(1612, info, target_drained,
                    "No router sends to the target and it is idle.", "")
HIBISCUSFERRY_EVENT(
    1613, alarm, order_row_unreadable,
    "An order row holds what this version cannot read; its target gets no "
    "order.",
    "Finish the upgrade of all hosts; if it stays, read the row in the table.")

// 1700-1799 roles

// 1800-1899 configuration

// 1900-1999 platform adapters
