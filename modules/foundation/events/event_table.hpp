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

HIBISCUSFERRY_EVENT(1005, alarm, document_not_understood,
                    "A document in force could not be read by this process; "
                    "the version before it stays in use here.",
                    "Upgrade the process: the document was written for a newer "
                    "version.")
HIBISCUSFERRY_EVENT(1006, warning, rotation_state_changed,
                    "The process entered or left the balancer's rotation, or "
                    "stays in it for another reason.",
                    "")

HIBISCUSFERRY_EVENT(1007, info, settings_reloaded,
                    "The settings were read again and have changed.", "")
HIBISCUSFERRY_EVENT(
    1008, alarm, settings_unreadable,
    "The settings could not be read; the last good ones stay in use.",
    "See the field problem and correct the settings file.")
HIBISCUSFERRY_EVENT(1009, info, readiness_changed,
                    "The host has become ready for callers, or no longer is.",
                    "")

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

HIBISCUSFERRY_EVENT(1108, info, request_placed,
                    "The targets of a request were chosen.", "")
HIBISCUSFERRY_EVENT(1109, warning, request_failed,
                    "A request ended without a target's answer, and may have "
                    "run.",
                    "")
HIBISCUSFERRY_EVENT(1110, warning, request_resent,
                    "A request is sent to a further target.", "")
HIBISCUSFERRY_EVENT(1111, warning, resend_denied,
                    "A request is not sent again: its targets or the retry "
                    "budget are used up, or it may have run.",
                    "")

// 1200-1299 claims (at most once)
HIBISCUSFERRY_EVENT(
    1200, warning, claim_not_written,
    "A call that may run at most once was refused as not run: the store did "
    "not take its claim in time.",
    "")
HIBISCUSFERRY_EVENT(
    1201, alarm, claim_outcome_unknown,
    "A call that may run at most once may have run, and nothing can tell.",
    "Find out at the target whether the call ran and tell the customer; the "
    "call is listed under unresolved/ in the table until it is settled.")
HIBISCUSFERRY_EVENT(1202, warning, claim_owner_lost,
                    "The process that claimed a call is gone or has not "
                    "recorded an outcome in time.",
                    "")
HIBISCUSFERRY_EVENT(
    1203, info, claim_settled_by_status,
    "The target's status look-up told the answer of a call that was in doubt.",
    "")
HIBISCUSFERRY_EVENT(
    1204, info, claim_barred,
    "The target's status look-up told that a call did not run and is barred.",
    "")
HIBISCUSFERRY_EVENT(1205, warning, claim_key_reused,
                    "A caller used an idempotency key again with another "
                    "body; the call was refused.",
                    "")
HIBISCUSFERRY_EVENT(
    1206, alarm, claim_contradicted,
    "A target gave an answer to a call that had been recorded as not run.",
    "The call may have run twice: look the key up at the target and report "
    "the target's fault to its team.")
HIBISCUSFERRY_EVENT(
    1207, alarm, claim_record_unreadable,
    "The row of a claim could not be read; calls with its key are answered "
    "as unknown.",
    "Read the row in the table; a newer version of the system may have "
    "written it.")
HIBISCUSFERRY_EVENT(
    1208, alarm, claim_answer_not_kept,
    "The body of an answer could not be kept for replay; the call did run.",
    "Look at the object store. A caller that asks again is told that the "
    "call ran, without the body.")

// 1300-1399 admission and fair share
HIBISCUSFERRY_EVENT(1300, info, customer_limited,
                    "A customer is over its rate; its requests beyond it are "
                    "refused with Retry-After.",
                    "")
HIBISCUSFERRY_EVENT(1301, warning, queue_shed,
                    "A full queue refused the newest request of the customer "
                    "that filled it most.",
                    "")
HIBISCUSFERRY_EVENT(
    1302, alarm, overload_began,
    "Requests of a service wait longer than its overload limit at this host.",
    "See whether targets are out or changing; otherwise the service gets more "
    "work than it can do: lower the limits of its heaviest customers in the "
    "document.")
HIBISCUSFERRY_EVENT(1303, info, overload_ended,
                    "Requests of a service wait no longer than usual again.",
                    "")
HIBISCUSFERRY_EVENT(
    1304, warning, limit_on_even_part,
    "The demand of a customer over all hosts has not been heard; this host "
    "keeps to an even part of the customer's limit.",
    "")
HIBISCUSFERRY_EVENT(1305, warning, retry_budget_empty,
                    "A service's retry budget is used up; its failed requests "
                    "are not sent again until it has earned more.",
                    "")

// 1400-1499 targets and routing
HIBISCUSFERRY_EVENT(1400, info, target_added,
                    "A target is used by this router from now on.", "")
HIBISCUSFERRY_EVENT(1401, info, target_removed,
                    "A target is not used by this router any more.", "")
HIBISCUSFERRY_EVENT(1402, info, target_leaving,
                    "A target said that it is leaving, or is listed so; it "
                    "gets no new work.",
                    "")
HIBISCUSFERRY_EVENT(1403, warning, target_suspect,
                    "An attempt failed by a target's doing; it is used only "
                    "if no other can be.",
                    "")
HIBISCUSFERRY_EVENT(
    1404, alarm, target_out,
    "A target failed several attempts in a row and is not used; it is probed "
    "until it answers.",
    "Look at the target. Nothing has to be done in this system: it is used "
    "again as soon as it answers a probe.")
HIBISCUSFERRY_EVENT(1405, info, target_back,
                    "A target that was out has answered a probe.", "")
HIBISCUSFERRY_EVENT(1406, info, target_stopped,
                    "New work to a target was stopped for a planned change, "
                    "and this was confirmed.",
                    "")
HIBISCUSFERRY_EVENT(
    1407, alarm, permission_lapsed,
    "No controller was heard for a whole term; new work goes only to targets "
    "that cannot be changing.",
    "See whether the controllers run, and whether this host reaches them and "
    "the table service.")
HIBISCUSFERRY_EVENT(1408, info, permission_regained,
                    "A controller was heard again.", "")
HIBISCUSFERRY_EVENT(
    1409, alarm, role_missing,
    "No known target of a service can prefill, or none can decode; targets "
    "of another cell are used too.",
    "See the time line of the service's roles and the targets that are out.")
HIBISCUSFERRY_EVENT(1410, warning, connection_replaced,
                    "A connection fell silent while a new one to the same "
                    "target works; it was replaced.",
                    "")
HIBISCUSFERRY_EVENT(1411, info, stream_resumed,
                    "A broken stream goes on over another connection.", "")

HIBISCUSFERRY_EVENT(1412, info, target_updated,
                    "A target has changed its stage, slots or address.", "")
HIBISCUSFERRY_EVENT(1413, info, target_restarted,
                    "A target has started again under the id that it had.", "")
HIBISCUSFERRY_EVENT(1414, warning, target_row_unreadable,
                    "A row in the table of targets names no target that can "
                    "be used; the others hold.",
                    "")

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

HIBISCUSFERRY_EVENT(1505, info, live_hosts_changed,
                    "The number of live entry hosts has changed; limits that "
                    "hosts share are divided anew.",
                    "")
HIBISCUSFERRY_EVENT(1506, info, host_rows_removed,
                    "Rows of entry hosts that ended without a word were "
                    "removed.",
                    "")
HIBISCUSFERRY_EVENT(1507, info, relay_chosen,
                    "This host reports its load to another relay, or has "
                    "become the relay of its availability zone.",
                    "")

// 1550-1599 connections between processes
HIBISCUSFERRY_EVENT(1550, info, peer_connected,
                    "A connection to another process of the system was proven "
                    "and is in use.",
                    "")
HIBISCUSFERRY_EVENT(1551, info, peer_disconnected,
                    "A proven connection to another process ended.", "")
HIBISCUSFERRY_EVENT(
    1552, alarm, peer_not_proven,
    "A connection did not prove that it knows the shared key; it was closed.",
    "Compare peer_key in the settings of both hosts; if they agree, find out "
    "who connects from the address given.")
HIBISCUSFERRY_EVENT(
    1553, warning, peer_frame_malformed,
    "A frame could not be read, or was of another version; its connection was "
    "closed.",
    "")
HIBISCUSFERRY_EVENT(
    1554, warning, peer_suspect,
    "A connection to another process did not answer a probe; a new one is "
    "tried beside it.",
    "")
HIBISCUSFERRY_EVENT(
    1555, warning, peer_messages_dropped,
    "Messages to another process were dropped: it cannot be reached, or takes "
    "them too slowly.",
    "")

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
HIBISCUSFERRY_EVENT(1800, info, document_committed,
                    "A change of a document is committed in the table.", "")
HIBISCUSFERRY_EVENT(
    1801, info, document_accepted,
    "A change of a document is held by most hosts of each region.", "")
HIBISCUSFERRY_EVENT(1802, warning, document_conflict,
                    "A change of a document was refused: another version is "
                    "current.",
                    "")
HIBISCUSFERRY_EVENT(
    1803, alarm, document_not_confirmed,
    "A change is committed, but most hosts of a region have not confirmed "
    "it in time.",
    "Look at the hosts and the links of the regions named; the change takes "
    "effect there when they hear of it, and cannot be taken back but by "
    "another change.")
HIBISCUSFERRY_EVENT(1804, info, document_taken,
                    "A document is in force on this host.", "")
HIBISCUSFERRY_EVENT(
    1805, alarm, serving_without_store,
    "The host and most hosts of its region have lost the table service; "
    "they serve on with the documents they have.",
    "Look at the table service and the link to it. No change can be accepted "
    "until this region hears of it.")
HIBISCUSFERRY_EVENT(
    1806, alarm, rotation_left,
    "The host has left the rotation: it hears neither the table service nor "
    "most hosts of its region.",
    "Look at the host's links; it returns by itself.")
HIBISCUSFERRY_EVENT(1807, info, rotation_entered,
                    "The host's documents are current; it is in rotation.", "")
HIBISCUSFERRY_EVENT(
    1808, alarm, document_unreadable,
    "The row of a document or of the index could not be read.",
    "Read the row in the table; a newer version of the system may have "
    "written it.")

HIBISCUSFERRY_EVENT(1809, info, configuration_taken,
                    "A configuration of the fleet is in force on this host.",
                    "")
HIBISCUSFERRY_EVENT(
    1810, alarm, configuration_unreadable,
    "A configuration could not be read; the one before stays in force.",
    "See the field problem; write a configuration that this version reads.")
HIBISCUSFERRY_EVENT(
    1811, warning, configuration_part_unreadable,
    "A route or service of a configuration could not be understood and was "
    "left out.",
    "")

// 1900-1999 platform adapters
HIBISCUSFERRY_EVENT(
    1900, alarm, store_lost,
    "The table service does not answer this host; it serves on with what it "
    "knows, and asks its peers.",
    "Look at the table service and the link to it. The host catches up by "
    "itself.")
HIBISCUSFERRY_EVENT(1901, info, store_regained,
                    "The table service answers this host again.", "")
HIBISCUSFERRY_EVENT(1902, info, snapshot_taken,
                    "A table was read whole, at the start or because the "
                    "store has dropped its history.",
                    "")
// 1903 was peer_state_taken, 1904 snapshot_stale.
HIBISCUSFERRY_EVENT(1905, warning, peer_news_unreadable,
                    "Another host's news of the fleet could not be read; they "
                    "are read at the table service.",
                    "Finish the upgrade of all hosts.")
