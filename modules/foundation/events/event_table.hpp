// The table of all numbered events. It has no include guard: define
// HIBISCUSFERRY_EVENT(number, severity, name, text, advice) before each
// inclusion.
//
// number    unique and never reused; each module has its own range
// severity  info, warning, or alarm (an alarm asks an operator to act)
// name      name of the event in the code, the logs and the timeline
// text      description of the event
// advice    recommended operator action; empty if none is needed

// 1000-1099 processes
HIBISCUSFERRY_EVENT(1000, info, process_started, "The process has started.", "")
HIBISCUSFERRY_EVENT(1001, info, drain_started,
                    "A planned shutdown began: the process is no longer ready "
                    "and completes the requests in flight.",
                    "")
HIBISCUSFERRY_EVENT(1002, info, process_stopped,
                    "The process has stopped after completing all its work.",
                    "")
HIBISCUSFERRY_EVENT(
    1003, alarm, drain_incomplete,
    "A planned shutdown reached its time limit with requests still in flight.",
    "Raise drain_limit_ms in the settings, or use the timeline to find the "
    "request that does not complete.")
HIBISCUSFERRY_EVENT(1004, alarm, internal_error,
                    "A task of the process ended with an unexpected error; the "
                    "process continues to run.",
                    "Report the error with the fields of the event.")

HIBISCUSFERRY_EVENT(
    1005, alarm, document_not_understood,
    "This process could not parse the committed version of a document; it "
    "continues to use the previous version.",
    "Upgrade the process: the document was written for a newer version.")
HIBISCUSFERRY_EVENT(1006, warning, rotation_state_changed,
                    "The process entered or left the load balancer's rotation, "
                    "or the reason for staying in it changed.",
                    "")

HIBISCUSFERRY_EVENT(1007, info, settings_reloaded,
                    "The settings were reloaded and have changed.", "")
HIBISCUSFERRY_EVENT(
    1008, alarm, settings_unreadable,
    "The settings could not be read; the last valid settings remain in use.",
    "Correct the settings file; the field problem describes the error.")
HIBISCUSFERRY_EVENT(1009, info, readiness_changed,
                    "The host became ready for callers, or is no longer ready.",
                    "")
HIBISCUSFERRY_EVENT(
    1010, warning, address_unavailable,
    "The process cannot listen on an address yet and goes on trying. Until "
    "then "
    "it does not do what the listener is for.",
    "If the event is repeated, find the process that holds the address, or "
    "correct the address in the settings.")

// 1100-1199 requests (router)
HIBISCUSFERRY_EVENT(1100, info, request_received,
                    "A request was received from a caller.", "")
HIBISCUSFERRY_EVENT(1101, info, request_finished,
                    "The complete response was sent to the caller.", "")
HIBISCUSFERRY_EVENT(1102, warning, request_refused,
                    "A request was refused without being run.", "")
HIBISCUSFERRY_EVENT(1103, info, attempt_started,
                    "A request was sent to a target.", "")
HIBISCUSFERRY_EVENT(1104, warning, attempt_failed,
                    "An attempt at a target failed.", "")
HIBISCUSFERRY_EVENT(1105, warning, answer_mismatch,
                    "A target's response did not carry the attempt's id; the "
                    "response was discarded and the connection closed.",
                    "")
HIBISCUSFERRY_EVENT(1106, warning, stream_broken,
                    "A streamed response broke and could not be resumed; the "
                    "caller received an error.",
                    "")
HIBISCUSFERRY_EVENT(1107, warning, request_abandoned,
                    "The caller disconnected before its response was complete.",
                    "")

HIBISCUSFERRY_EVENT(1108, info, request_placed,
                    "The targets of a request were selected.", "")
HIBISCUSFERRY_EVENT(
    1109, warning, request_failed,
    "A request failed without a response from a target, and may have run.", "")
HIBISCUSFERRY_EVENT(1110, warning, request_resent,
                    "A request is retried at another target.", "")
HIBISCUSFERRY_EVENT(1111, warning, resend_denied,
                    "A request is not retried: no targets or no retry budget "
                    "are left, or the request may have run.",
                    "")
HIBISCUSFERRY_EVENT(1112, warning, target_silent,
                    "A target sends nothing although its response is not "
                    "complete. The request is sent to another target if one "
                    "can take it; otherwise it keeps waiting.",
                    "")
HIBISCUSFERRY_EVENT(
    1113, warning, exchange_failed,
    "A request of a caller did not arrive completely, or its response was not "
    "sent completely; the field cause says why.",
    "")
HIBISCUSFERRY_EVENT(
    1114, warning, requests_unprocessed,
    "The host received more requests than its processor can handle, and "
    "refused the given number of them without processing them.",
    "")
HIBISCUSFERRY_EVENT(
    1115, warning, response_invalid,
    "A target, the store or another host sent bytes that are no valid "
    "response, and the connection was closed. They do not show whether the "
    "request ran.",
    "")

// 1200-1299 claims (at most once)
HIBISCUSFERRY_EVENT(1200, warning, claim_not_written,
                    "A call that may run at most once was refused without "
                    "being run: the store did not accept its claim in time.",
                    "")
HIBISCUSFERRY_EVENT(
    1201, alarm, claim_outcome_unknown,
    "A call that may run at most once may have run, and its outcome cannot be "
    "determined.",
    "Find out at the target whether the call ran and inform the customer; the "
    "call is listed under unresolved/ in the table until it is settled.")
HIBISCUSFERRY_EVENT(1202, warning, claim_owner_lost,
                    "The process that claimed a call is down or did not record "
                    "an outcome in time.",
                    "")
HIBISCUSFERRY_EVENT(1203, info, claim_settled_by_status,
                    "The target's status query returned the response of a call "
                    "whose outcome was unknown.",
                    "")
HIBISCUSFERRY_EVENT(1204, info, claim_barred,
                    "The target's status query confirmed that a call did not "
                    "run and can no longer run.",
                    "")
HIBISCUSFERRY_EVENT(1205, warning, claim_key_reused,
                    "A caller reused an idempotency key with a different body; "
                    "the call was refused.",
                    "")
HIBISCUSFERRY_EVENT(
    1206, alarm, claim_contradicted,
    "A target responded to a call that had been recorded as not run.",
    "The call may have run twice: look up the key at the target and report the "
    "fault to the target's team.")
HIBISCUSFERRY_EVENT(1207, alarm, claim_record_unreadable,
                    "The row of a claim could not be read; the outcome of "
                    "calls with its key is reported as unknown.",
                    "Inspect the row in the table; it may have been written by "
                    "a newer version of the system.")
HIBISCUSFERRY_EVENT(
    1208, alarm, claim_answer_not_kept,
    "The response body of a call that ran could not be stored for replay.",
    "Check the object store. A caller that repeats the call is told that it "
    "ran, without the body.")

// 1300-1399 admission and fair share
HIBISCUSFERRY_EVENT(1300, info, customer_limited,
                    "A customer exceeds its rate limit; its excess requests "
                    "are refused with Retry-After.",
                    "")
HIBISCUSFERRY_EVENT(1301, warning, queue_shed,
                    "A full queue refused the newest request of the customer "
                    "that occupies most of it.",
                    "")
HIBISCUSFERRY_EVENT(
    1302, alarm, overload_began,
    "Requests of a service are queued at this host for longer than the "
    "service's overload limit.",
    "Check whether targets are unavailable or changing. Otherwise the load "
    "exceeds the capacity of the service: lower the limits of its heaviest "
    "customers in the document.")
HIBISCUSFERRY_EVENT(1303, info, overload_ended,
                    "The queueing time of a service is back to normal.", "")
HIBISCUSFERRY_EVENT(
    1304, warning, limit_on_even_part,
    "No current demand of a customer has been received from the other hosts; "
    "this host enforces an even share of the customer's limit.",
    "")
HIBISCUSFERRY_EVENT(1305, warning, retry_budget_empty,
                    "The retry budget of a service is exhausted; its failed "
                    "requests are not retried until the budget has recovered.",
                    "")

// 1400-1499 targets and routing
HIBISCUSFERRY_EVENT(1400, info, target_added, "This router now uses a target.",
                    "")
HIBISCUSFERRY_EVENT(1401, info, target_removed,
                    "This router no longer uses a target.", "")
HIBISCUSFERRY_EVENT(1402, info, target_leaving,
                    "A target announced that it is stopping, or is listed as "
                    "such; it receives no new requests.",
                    "")
HIBISCUSFERRY_EVENT(1403, warning, target_suspect,
                    "An attempt failed because of its target; the target is "
                    "used only if no other target is available.",
                    "")
HIBISCUSFERRY_EVENT(1404, alarm, target_out,
                    "A target failed several attempts in a row and is not "
                    "used; it is probed until it responds.",
                    "Check the target. No action is needed in this system: the "
                    "target is used again as soon as it responds to a probe.")
HIBISCUSFERRY_EVENT(
    1405, info, target_back,
    "A quarantined target has responded to a probe and is used again.", "")
HIBISCUSFERRY_EVENT(1406, info, target_stopped,
                    "A target receives no new requests because of a planned "
                    "change, and this was confirmed.",
                    "")
HIBISCUSFERRY_EVENT(
    1407, alarm, permission_lapsed,
    "No update was received from a controller for a whole term; new requests "
    "are sent only to targets that cannot be changing.",
    "Check whether the controllers run, and whether this host can reach them "
    "and the table service.")
HIBISCUSFERRY_EVENT(1408, info, permission_regained,
                    "Updates from a controller are received again.", "")
HIBISCUSFERRY_EVENT(
    1409, alarm, role_missing,
    "No known target of a service can prefill, or none can decode; targets of "
    "another cell are used as well.",
    "Check the timeline of the service's roles and the unavailable targets.")
HIBISCUSFERRY_EVENT(1410, warning, connection_replaced,
                    "A connection stopped responding while a new one to the "
                    "same target works; it was replaced.",
                    "")
HIBISCUSFERRY_EVENT(1411, info, stream_resumed,
                    "A stream was resumed on another connection, within its "
                    "response or by a new request of the caller.",
                    "")

HIBISCUSFERRY_EVENT(1412, info, target_updated,
                    "A target changed its stage, slots, address or software "
                    "version.",
                    "")
HIBISCUSFERRY_EVENT(1413, info, target_restarted,
                    "A target restarted under the same id.", "")
HIBISCUSFERRY_EVENT(1414, warning, target_row_unreadable,
                    "A row in the table of targets does not describe a usable "
                    "target; the other rows remain in use.",
                    "")
HIBISCUSFERRY_EVENT(1415, info, target_refuses,
                    "A target wants no requests from this host for a time that "
                    "it has stated; it receives none until then.",
                    "")
HIBISCUSFERRY_EVENT(
    1416, warning, target_crashed,
    "A target ended while it was running the given requests, or beginning to "
    "respond to prompts with the given shared blocks.",
    "")
HIBISCUSFERRY_EVENT(
    1417, alarm, prompt_block_suspected,
    "Targets crashed repeatedly while they were beginning to respond to "
    "prompts with a block, and no such prompt was completed in between. "
    "Requests with the block are refused, except for rare probes.",
    "Find out why the block crashes the engines. The suspicion ends when a "
    "probe is completed.")
HIBISCUSFERRY_EVENT(1418, info, prompt_block_cleared,
                    "A prompt with a block that was suspected of crashing "
                    "targets was completed, or the suspicion expired.",
                    "")

HIBISCUSFERRY_EVENT(1419, info, target_limited,
                    "A target stated, or changed, the number of requests per "
                    "second that it takes from all hosts together.",
                    "")
HIBISCUSFERRY_EVENT(1420, info, target_limit_ended,
                    "A target no longer limits the number of its requests.", "")
HIBISCUSFERRY_EVENT(
    1421, warning, target_limit_unreadable,
    "A response of a target states a limit on its requests that "
    "is not a number; the limit in force remains.",
    "")

HIBISCUSFERRY_EVENT(
    1422, alarm, request_suspected,
    "Targets crashed repeatedly while they were running the same request, and "
    "it "
    "was not completed in between. The request is refused, except for rare "
    "probes.",
    "Find out why the request crashes the targets. The suspicion ends when a "
    "probe is completed.")
HIBISCUSFERRY_EVENT(1423, info, request_cleared,
                    "A request that was suspected of crashing targets was "
                    "completed, or the suspicion expired.",
                    "")
HIBISCUSFERRY_EVENT(1429, warning, stream_mismatch,
                    "A target that was to continue a stream sent an event that "
                    "does not follow those that the caller has; it was not "
                    "sent to the caller, and the target was left.",
                    "Check whether the targets of the service honour "
                    "Last-Event-Id.")

// 1500-1599 membership and peers
HIBISCUSFERRY_EVENT(1500, info, host_alive,
                    "An entry host is listed and responds.", "")
HIBISCUSFERRY_EVENT(1501, warning, host_suspected,
                    "An entry host did not respond, neither directly nor "
                    "through other hosts; it can still refute the suspicion.",
                    "")
HIBISCUSFERRY_EVENT(
    1502, alarm, host_excluded,
    "An entry host did not respond in time and is treated as down.",
    "See docs/operators/membership.md: check the host and its link. If many "
    "hosts are excluded at once, check the link between zones or regions.")
HIBISCUSFERRY_EVENT(1503, info, host_leaving,
                    "An entry host announced that it is stopping.", "")
HIBISCUSFERRY_EVENT(1504, info, host_unlisted,
                    "An entry host is no longer in the platform's list.", "")

HIBISCUSFERRY_EVENT(1505, info, live_hosts_changed,
                    "The number of live entry hosts changed; limits that hosts "
                    "share are divided again.",
                    "")
HIBISCUSFERRY_EVENT(
    1506, info, host_rows_removed,
    "Rows of entry hosts that stopped without notice were removed.", "")
HIBISCUSFERRY_EVENT(1507, info, relay_chosen,
                    "This host reports its load to another relay, or became "
                    "the relay of its availability zone.",
                    "")

// 1550-1599 connections between processes
HIBISCUSFERRY_EVENT(1550, info, peer_connected,
                    "A connection to another process of the system was "
                    "authenticated and is in use.",
                    "")
HIBISCUSFERRY_EVENT(1551, info, peer_disconnected,
                    "An authenticated connection to another process ended.", "")
HIBISCUSFERRY_EVENT(
    1552, alarm, peer_not_proven,
    "A connection did not prove knowledge of the shared key; it was closed.",
    "Compare peer_key in the settings of both hosts. If they agree, find out "
    "who connects from the given address.")
HIBISCUSFERRY_EVENT(1553, warning, peer_frame_malformed,
                    "A frame could not be read or was of another version; its "
                    "connection was closed.",
                    "")
HIBISCUSFERRY_EVENT(1554, warning, peer_suspect,
                    "A connection to another process did not respond to a "
                    "probe; a second connection is being opened.",
                    "")
HIBISCUSFERRY_EVENT(1555, warning, peer_messages_dropped,
                    "Messages to another process were dropped: it is "
                    "unreachable, or reads them too slowly.",
                    "")

// 1600-1699 authority and orders
HIBISCUSFERRY_EVENT(1600, info, lease_acquired,
                    "This process holds the authority over a service.", "")
HIBISCUSFERRY_EVENT(1601, warning, lease_lost,
                    "Another process now holds the authority over a service.",
                    "")
HIBISCUSFERRY_EVENT(
    1602, info, lease_released,
    "The authority over a service was released for a planned shutdown.", "")
HIBISCUSFERRY_EVENT(
    1603, alarm, lease_lapsed,
    "The lease could not be renewed in time; no orders are issued.",
    "Check the table service. While it is down, the targets keep their roles "
    "and continue to serve.")
HIBISCUSFERRY_EVENT(1604, info, fence_raised,
                    "A target confirmed the new fencing number.", "")
HIBISCUSFERRY_EVENT(
    1605, alarm, fence_not_raised,
    "A target did not confirm the fencing number within the grace period; it "
    "receives no orders and counts as unavailable.",
    "Check the target and the network path to it.")
HIBISCUSFERRY_EVENT(
    1606, info, order_intended,
    "An order was written to the table; its target is being drained.", "")
HIBISCUSFERRY_EVENT(1607, info, order_sent,
                    "An order was sent to its target, or sent again.", "")
HIBISCUSFERRY_EVENT(1608, info, order_settled,
                    "An order is done, failed or abandoned.", "")
HIBISCUSFERRY_EVENT(1609, warning, order_refused, "A target refused an order.",
                    "")
HIBISCUSFERRY_EVENT(
    1610, alarm, order_overdue,
    "An order that may have been sent was not settled within its time limit.",
    "Check the reason in ferryctl status. Replace the target if it does not "
    "respond: its order is abandoned when its id is removed from the host "
    "list.")
HIBISCUSFERRY_EVENT(
    1611, alarm, former_sender_may_send,
    "A target that ignores fencing numbers receives no other order, because a "
    "former controller may still send the last one.",
    "Stop the named process, or remove its host from the list.")
HIBISCUSFERRY_EVENT(
    1612, info, target_drained,
    "No router sends requests to the target, and the target is idle.", "")
HIBISCUSFERRY_EVENT(1613, alarm, order_row_unreadable,
                    "An order row cannot be parsed by this version; its target "
                    "receives no orders.",
                    "Complete the upgrade of all hosts. If the problem "
                    "remains, inspect the row in the table.")

// 1700-1799 roles
HIBISCUSFERRY_EVENT(1700, info, role_change_wanted,
                    "The role policy requested a role change of an engine.", "")
HIBISCUSFERRY_EVENT(
    1701, info, role_pattern_trusted,
    "The role policy now uses a periodic pattern of the token mix.", "")
HIBISCUSFERRY_EVENT(1702, info, role_pattern_dropped,
                    "A periodic pattern of the token mix no longer holds and "
                    "is not used any more.",
                    "")
HIBISCUSFERRY_EVENT(
    1703, warning, role_policy_held_back,
    "No roles are changed while reports are stale or the fleet is degraded.",
    "Check the status for routers or engines that do not report; the field "
    "hold has the reason.")
HIBISCUSFERRY_EVENT(1704, info, role_policy_resumed,
                    "Role changes resumed after a hold.", "")
HIBISCUSFERRY_EVENT(
    1705, warning, role_expectation_expired,
    "An expected role change did not appear in the engine's reports.",
    "Compare the engine's reported role with the outcome of its last order.")

// 1800-1899 configuration
HIBISCUSFERRY_EVENT(1800, info, document_committed,
                    "A change of a document was committed to the table.", "")
HIBISCUSFERRY_EVENT(1801, info, document_accepted,
                    "A change of a document was confirmed by a majority of the "
                    "hosts of each region.",
                    "")
HIBISCUSFERRY_EVENT(
    1802, warning, document_conflict,
    "A change of a document was refused because another version is current.",
    "")
HIBISCUSFERRY_EVENT(1803, alarm, document_not_confirmed,
                    "A change was committed, but a majority of the hosts of a "
                    "region did not confirm it in time.",
                    "Check the hosts and the links of the named regions. The "
                    "change takes effect there when they receive it, and can "
                    "be reverted only by another change.")
HIBISCUSFERRY_EVENT(1804, info, document_taken,
                    "A document is in effect on this host.", "")
HIBISCUSFERRY_EVENT(
    1805, alarm, serving_without_store,
    "The host and a majority of the hosts of its region have lost the table "
    "service; they continue to serve with the documents they have.",
    "Check the table service and the link to it. No change can be accepted "
    "until this region receives it.")
HIBISCUSFERRY_EVENT(1806, alarm, rotation_left,
                    "The host has left the rotation: it can reach neither the "
                    "table service nor a majority of the hosts of its region.",
                    "Check the links of the host; it returns automatically.")
HIBISCUSFERRY_EVENT(
    1807, info, rotation_entered,
    "The host's documents are current; the host is in rotation.", "")
HIBISCUSFERRY_EVENT(1808, alarm, document_unreadable,
                    "The row of a document or of the index could not be read.",
                    "Inspect the row in the table; it may have been written by "
                    "a newer version of the system.")

HIBISCUSFERRY_EVENT(1809, info, configuration_taken,
                    "A fleet configuration is in effect on this host.", "")
HIBISCUSFERRY_EVENT(
    1810, alarm, configuration_unreadable,
    "A configuration could not be parsed; the previous one remains in effect.",
    "Write a configuration that this version can parse; the field problem "
    "describes the error.")
HIBISCUSFERRY_EVENT(1811, warning, configuration_part_unreadable,
                    "A route or service of a configuration could not be parsed "
                    "and was ignored.",
                    "")

// 1820-1849 duties of the fleet
HIBISCUSFERRY_EVENT(1820, info, usage_recorded,
                    "The usage of a window was merged from the reports of the "
                    "hosts and written to its row, or another holder had "
                    "written it.",
                    "")
HIBISCUSFERRY_EVENT(1821, info, usage_reported,
                    "The usage of a window was reported.", "")
HIBISCUSFERRY_EVENT(1822, warning, usage_report_failed,
                    "A report of usage was not accepted; it is sent again, "
                    "unchanged.",
                    "")
HIBISCUSFERRY_EVENT(1823, info, capacity_ordered,
                    "A number of targets was ordered for a service in an "
                    "availability zone.",
                    "")
HIBISCUSFERRY_EVENT(1824, warning, capacity_order_failed,
                    "An order for targets was not accepted.", "")

// 1830-1839 limits on clients
HIBISCUSFERRY_EVENT(
    1830, warning, client_memory_short,
    "The memory for clients was used up: the given numbers of requests were "
    "refused without being run, and of slow clients dropped, within a second.",
    "")
HIBISCUSFERRY_EVENT(
    1831, warning, client_connections_limited,
    "The maximum number of connections of clients was reached: the given "
    "numbers of new connections were closed, and of slow or idle ones dropped, "
    "within a second.",
    "")
HIBISCUSFERRY_EVENT(1832, warning, client_fields_limited,
                    "The given number of requests with too many header fields "
                    "were refused within a second.",
                    "")

HIBISCUSFERRY_EVENT(
    1833, warning, configuration_missing,
    "Another host has had a newer configuration for some time that this host "
    "has not received. `age_ms`: the age of what it has; `received_bytes`: how "
    "much of an update has arrived.",
    "Compare `read_unanswered` and `updates_given_up` on the host: its link or "
    "its processor may be too small for the configuration.")
HIBISCUSFERRY_EVENT(
    1834, warning, configuration_too_large,
    "The transfer and the processing of a configuration have taken longer than "
    "the bound on its delay leaves for them.",
    "Use fewer routes, or hosts with a faster link or processor; "
    "`transfer_ms` and `processing_ms` show which. docs/CAPACITY.md says what "
    "to expect.")

// 1900-1999 platform adapters
HIBISCUSFERRY_EVENT(
    1900, alarm, store_lost,
    "The table service does not respond to this host; the host continues to "
    "serve with its local state and queries its peers.",
    "Check the table service and the link to it. The host catches up "
    "automatically.")
HIBISCUSFERRY_EVENT(1901, info, store_regained,
                    "The table service responds to this host again.", "")
HIBISCUSFERRY_EVENT(
    1902, info, snapshot_taken,
    "A table was read completely: at startup, because the store "
    "no longer has the required history, or by a relay to "
    "compare its replica with the store.",
    "")
// 1903 (peer_state_taken) and 1904 (snapshot_stale) are retired.
HIBISCUSFERRY_EVENT(1905, warning, peer_news_unreadable,
                    "A fleet update from another host could not be read; the "
                    "tables are read from the table service instead.",
                    "Complete the upgrade of all hosts.")
HIBISCUSFERRY_EVENT(1906, warning, store_restored,
                    "The table service was restored from an older copy; the "
                    "table was read again completely. Writes of the last "
                    "seconds before the restore are lost.",
                    "None. Hosts write their rows again, and the lease holder "
                    "is chosen anew after one term.")
HIBISCUSFERRY_EVENT(1907, warning, table_rows_unreadable,
                    "A response of the table service holds rows whose keys "
                    "cannot be read; the other rows remain in use.",
                    "")
HIBISCUSFERRY_EVENT(
    1908, warning, read_unanswered,
    "A read of a table has not been answered in time, and is sent once more. "
    "`received_bytes`: how much of the response has arrived; `loop_delay_ms`: "
    "how much later than planned the process noticed it.",
    "With a large loop_delay_ms the host is overloaded. Otherwise check the "
    "link to the table service.")
HIBISCUSFERRY_EVENT(
    1909, info, updates_given_up,
    "Updates of the tables were not received from another host in time.", "")
