"""Variants of the sources without one mechanism, and the test that must then fail."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Variant:
    """Variant of the sources in which one mechanism is disabled.

    Args:
        name: What the variant does wrong.
        file: Source file below `src/leadseam`.
        old: Text that is replaced; it occurs there exactly once.
        new: Text that replaces it.
        test: Test that must fail.
    """

    name: str
    file: str
    old: str
    new: str
    test: str


AT_MOST_ONCE = "tests/failures/test_at_most_once.py"
CONFIGURATION = "tests/failures/test_configuration.py"
LEAVING = "tests/failures/test_leaving.py"
WHOLE_ANSWERS = "tests/failures/test_whole_answers.py"
SHORT_SOAK = "tests/soak/test_short.py"
REPLACED_BOX = "tests/control/test_replaced_box.py"
INCARNATIONS = "tests/membership/test_incarnations.py"
SHARES = "tests/emulate/test_shares.py"
DEADLY_REQUEST = "tests/platform/test_deadly_request.py"
EVACUATIONS = "tests/control/test_evacuations.py"
EVACUATION = "tests/platform/test_evacuation.py"
COLD_BUDGET = "tests/routing/test_cold_budget.py"
BUSY_ENTRIES = "tests/routing/test_busy_entries.py"
DOMAIN_SUMS = "tests/feed/test_domain_sums.py"
DOMAIN_AGGREGATION = "tests/feed/test_domain_aggregation.py"
MIXED_PLATFORM = "tests/platform/test_mixed_versions.py"
MIXED_VERSIONS = "tests/feed/test_mixed_versions.py"
RETRY_BUDGET = "tests/routing/test_retry_budget.py"
FLEET_BOUND = "test_the_fleet_keeps_its_bound_whoever_ends_restarts_joins_or_is_cut_off"
RESUMED_STREAMS = "tests/platform/test_resumed_streams.py"
ANSWER_ENDS = "tests/platform/test_answer_ends.py"
CROWD = "tests/crowds/test_entry_memory.py::test_an_entry_survives_a_crowd"
SPOILT_EVENTS = "tests/platform/test_spoilt_events.py"
ANNOUNCEMENTS = "tests/routing/test_upstream_announcements.py"

VARIANTS = (
    Variant(
        "a busy entry hands no connection over",
        "handover/targets.py",
        "        return HandOver(min(usable, key=self._crowding))",
        "        return None",
        "tests/platform/test_flooded_entry.py",
    ),
    Variant(
        "a handed request on a lost link counts as not run",
        "handover/sender.py",
        "        self._answer(Unknown(Reason.LINK_LOST))",
        "        self._answer(NotRun(Reason.ENTRY_BUSY, 1))",
        "tests/handover/test_connections.py",
    ),
    Variant(
        "a caller that has left is served on at the other entry",
        "handover/receiver.py",
        "        if row.event == ConnectionEvent.CLOSED:\n            self.lost()",
        "        if row.event == ConnectionEvent.CLOSED:\n            pass",
        "tests/handover/test_connections.py",
    ),
    Variant(
        "requests on lost links are retried although they may run only once",
        "entry/retry.py",
        "    if req.repeatable:\n        return Retry(reason.value",
        "    if True:\n        return Retry(reason.value",
        f"{AT_MOST_ONCE}::test_links_cut_repeatedly",
    ),
    Variant(
        "a request on a lost link counts as not run",
        "entry/sidecar_link.py",
        "item.events.put_nowait(LinkLost() if started else NeverStarted())",
        "item.events.put_nowait(NeverStarted())",
        f"{AT_MOST_ONCE}::test_replies_of_a_started_call_are_delayed",
    ),
    Variant(
        "an answer that nobody reads keeps its window closed",
        "sidecar/agent.py",
        "            running.window.remove_limit()\n",
        "            pass\n",
        f"{AT_MOST_ONCE}::test_large_answer_to_a_dead_entry_frees_its_slot",
    ),
    Variant(
        "asking for an attempt leaves no tombstone",
        "sidecar/attempts.py",
        "        self.refuse(key)\n",
        "        self._states.setdefault(key, AttemptState.NEVER)\n"
        "        if self._states[key] is AttemptState.NEVER:\n"
        "            del self._states[key]\n"
        "            return False\n",
        "tests/test_attempts.py::test_a_question_forbids_a_late_dispatch",
    ),
    Variant(
        "a held claim is granted again",
        "control/claims.py",
        "        return ClaimResult(Verdict.HELD)\n\n    def _complete",
        "        return ClaimResult(Verdict.GRANTED)\n\n    def _complete",
        f"{AT_MOST_ONCE}::test_two_resends_at_once_run_once",
    ),
    Variant(
        "requests run without a claim while there is no quorum",
        "entry/http.py",
        "            case Verdict.GRANTED:",
        "            case Verdict.GRANTED | Verdict.UNAVAILABLE:",
        f"{AT_MOST_ONCE}::test_no_quorum_means_not_run",
    ),
    Variant(
        "a leaving or draining sidecar still grants",
        "sidecar/agent.py",
        "not (self.leaving or draining)",
        "True",
        f"{LEAVING}::test_no_new_work_and_nothing_cut",
    ),
    Variant(
        "a stopping sidecar does not wait for its running requests",
        "sidecar/program.py",
        "        await self.agent.wait_idle()\n",
        "",
        f"{LEAVING}::test_planned_stop_of_every_entry_and_sidecar_in_turn",
    ),
    Variant(
        "a broken answer ends like a complete one",
        "entry/relay.py",
        "                    return await self._abort_response(response, event)",
        "                    await response.write_eof()\n"
        "                    return Answered(response.status)",
        f"{WHOLE_ANSWERS}::test_upstream_cut_in_mid_stream_is_an_explicit_error",
    ),
    Variant(
        "hanging requests are not aborted",
        "sidecar/agent.py",
        "            self._abort_hanging()\n",
        "            pass\n",
        f"{WHOLE_ANSWERS}::test_hanging_upstream_is_taken_out_and_its_work_moves",
    ),
    Variant(
        "a request goes on after its caller has disconnected",
        "sidecar/agent.py",
        "        elif running.task is not None:\n            running.task.cancel()",
        "        elif False:\n            pass",
        f"{WHOLE_ANSWERS}::test_caller_that_disconnects_frees_its_slot",
    ),
    Variant(
        "a stale replica still feeds its nodes",
        "control/replica.py",
        "return not self.failure and self._raft.is_current(self._clock.now())",
        "return not self.failure",
        f"{CONFIGURATION}::test_node_without_control_is_not_ready",
    ),
    Variant(
        "two changes of the same version are both accepted",
        "control/state.py",
        "        if change.expect_version != version:",
        "        if change.expect_version < version - 1:",
        f"{CONFIGURATION}::test_operators_race_with_equal_versions",
    ),
    Variant(
        "a resent change is applied again",
        "control/state.py",
        "        if known is not None:\n            return known\n",
        "",
        f"{CONFIGURATION}::test_resend_gets_the_first_answer",
    ),
    Variant(
        "changes are acknowledged before they are on disk",
        "control/storage.py",
        "        while view:\n            view = view[os.write(self._fd, view) :]\n",
        "        return\n",
        f"{CONFIGURATION}::test_all_replicas_killed_at_once",
    ),
    Variant(
        "votes are granted without comparing the logs",
        "control/raft.py",
        "return (last_term, last_index) >= mine",
        "return True",
        "tests/test_raft.py::test_a_shorter_log_gets_no_vote",
    ),
    Variant(
        "checksums are not compared",
        "control/storage.py",
        "return payload if zlib.crc32(payload) == checksum else None",
        "return payload",
        "tests/test_storage.py",
    ),
    Variant(
        "idle accounts keep their credit",
        "fairness/picker.py",
        "        self._ledger.raise_level(account, self._level)\n",
        "        return\n",
        "tests/test_fairness.py",
    ),
    Variant(
        "sidecars ignore the service reported by others",
        "fairness/ledger.py",
        "            if row.served >= known[0]:",
        "            if False:",
        "tests/test_fairness.py",
    ),
    Variant(
        "routed requests that may run only once run again",
        "routing/exchange.py",
        "        return route.repeatable and runs < route.max_attempts",
        "        return True",
        SHORT_SOAK,
    ),
    Variant(
        "a routed request that ran is reported as not run",
        "routing/exchange.py",
        "            case Broken(reason=reason):\n"
        "                return self._give_up(reason)\n",
        "            case Broken(reason=reason):\n"
        "                return self._refuse(Reason.UPSTREAM_FULL)\n",
        SHORT_SOAK,
    ),
    Variant(
        "a resumed stream starts again from the beginning",
        "routing/exchange.py",
        "resume_after=self._reply.last_event",
        "resume_after=None",
        SHORT_SOAK,
    ),
    Variant(
        "a voter that is gone is not removed",
        "control/membership.py",
        "    if gone_voters and len(voters) > bounds.min_voters:\n",
        "    if False:\n",
        f"{REPLACED_BOX}::test_a_box_removed_after_its_replacement_joined_costs_no_later_loss",
    ),
    Variant(
        "a planned stop is not announced",
        "control/raft.py",
        "        self._is_stopping = True\n",
        "        self._is_stopping = False\n",
        f"{REPLACED_BOX}::test_a_stopping_box_is_replaced_before_it_times_out",
    ),
    Variant(
        "a new leader forgets how long boxes have been silent",
        "control/liveness.py",
        "        before = self._reported.get(name, self._elected_at)\n",
        "        before = self._elected_at\n",
        f"{REPLACED_BOX}::test_the_next_leader_continues_to_count_a_silence",
    ),
    Variant(
        "nodes keep the addresses of replicas that are gone",
        "feed/directory.py",
        "        kept = [endpoint for endpoint in self._order if endpoint in known]\n",
        "        kept = list(self._order)\n",
        "tests/feed/test_directory.py"
        "::test_a_box_that_is_no_longer_a_member_is_not_tried_again",
    ),
    Variant(
        "service received never decays",
        "routing/usage.py",
        "        return self.value * exp(-max(now - self.at, 0) / DECAY_TIME)\n",
        "        return self.value\n",
        "tests/routing/test_usage.py::test_service_fades_steadily",
    ),
    Variant(
        "the stated capacity is used even if engines deliver less",
        "routing/usage.py",
        "    return min(reachable, capacity)\n",
        "    return capacity\n",
        f"{SHARES}::test_flooding_accounts_get_equal_service_when_capacity_is_overstated",
    ),
    Variant(
        "starts under the same id are not told apart",
        "membership/registry.py",
        "    if registration.incarnation != known.incarnation:\n",
        "    if not registration.instance:\n",
        f"{INCARNATIONS}::test_a_later_start_counts_whatever_its_sequence",
    ),
    Variant(
        "a later start under an id that has left is refused",
        "membership/departures.py",
        "        return start is not None and incarnation.start <= start\n",
        "        return start is not None\n",
        f"{INCARNATIONS}::test_one_that_left_returns_with_a_later_start",
    ),
    Variant(
        "registrations for pools without configuration are accepted",
        "feed/server.py",
        "        return self._has_configured_pool(registration) or",
        "        return True or",
        "tests/control/test_departed.py"
        "::test_upstreams_of_a_pool_that_nobody_named_are_handed_on_once_it_is",
    ),
    Variant(
        "attempts at earlier incarnations are not ended",
        "routing/restarts.py",
        "            on_restart()\n",
        "            pass\n",
        "tests/platform/test_restarted_server.py"
        "::test_attempts_at_an_earlier_start_are_ended",
    ),
    Variant(
        "ended upstreams are not reported to the entries",
        "feed/crash_server.py",
        "        self._broadcast(Crashes(reported))\n",
        "        pass\n",
        f"{DEADLY_REQUEST}::test_a_deadly_request_is_refused_everywhere_after_three_crashes",
    ),
    Variant(
        "verdicts are not written",
        "feed/crash_server.py",
        "            await self._write(self._unwritten())\n",
        "            pass\n",
        f"{DEADLY_REQUEST}::test_a_verdict_survives_a_power_loss_of_all_boxes",
    ),
    Variant(
        "a broken connection alone counts against a request",
        "crashes/suspects.py",
        "                case Presence.GONE:\n",
        "                case Presence.GONE | Presence.SERVES:\n",
        "tests/crashes/test_suspects.py::test_an_upstream_that_expires_has_ended",
    ),
    Variant(
        "early and late ends of an upstream weigh the same",
        "crashes/evidence.py",
        "LATE_WEIGHT = 4\n",
        "LATE_WEIGHT = EARLY_WEIGHT\n",
        f"{DEADLY_REQUEST}::test_a_request_hit_by_crashes_of_others_is_served",
    ),
    Variant(
        "suspects are never cleared",
        "crashes/suspects.py",
        "        return self.table.void(suspect.fingerprint, now)\n",
        "        return None\n",
        "tests/crashes/test_fleet.py",
    ),
    Variant(
        "the clock leaves out suspended time",
        "steady.py",
        "    return running_ns() if _BOOTTIME is None else",
        "    return running_ns() if True else",
        "tests/platform/test_suspended_box.py",
    ),
    Variant(
        "timers are not checked after a suspension",
        "routing/gateway.py",
        "            exchange.reset_deadline_timer()\n",
        "            pass\n",
        "tests/platform/test_suspended_box.py"
        "::test_expired_requests_end_before_those_with_time_left",
    ),
    Variant(
        "late copies of orders are carried out",
        "control/order_guard.py",
        "        return seen is not None and now - seen <= self._resend_limit",
        "        return False",
        f"{EVACUATIONS}::TestOrders",
    ),
    Variant(
        "an order is applied although others were applied since",
        "control/evacuations.py",
        "        if row.switches != expected or self.is_full_for(domain):",
        "        if self.is_full_for(domain):",
        f"{EVACUATIONS}::test_an_order_that_was_delayed_in_the_group_changes_nothing",
    ),
    Variant(
        "orders of callers that are gone are carried out",
        "platform/control_api.py",
        "        if http.transport is None or http.transport.is_closing():",
        "        if False:",
        f"{EVACUATION}::test_an_order_whose_caller_has_hung_up_is_not_carried_out",
    ),
    Variant(
        "evacuated domains get requests",
        "membership/view.py",
        "return [row for row in rows if row.failure_domain not in self.evacuated]",
        "return rows",
        f"{EVACUATION}"
        "::test_an_evacuated_domain_gets_nothing_also_after_all_boxes_restart",
    ),
    Variant(
        "evacuations are not in snapshots",
        "control/state.py",
        "            evacuations=self.evacuations.rows(),\n",
        "",
        f"{EVACUATIONS}"
        "::test_evacuations_are_kept_in_a_snapshot_and_older_ones_are_read",
    ),
    Variant(
        "each entry uses the whole rate of a cold upstream",
        "routing/cold_budget.py",
        "            return max(int(rate / entries), 1)",
        "            return int(rate)",
        f"{COLD_BUDGET}::test_no_second_exceeds_the_rate_of_a_cold_upstream",
    ),
    Variant(
        "entries are not notified that an upstream turns cold",
        "membership/registry.py",
        "        changed = changed or _cold_end_changed(row, registration, now)\n",
        "",
        "tests/platform/test_evacuation.py"
        "::test_a_server_that_turns_cold_gets_its_part_of_the_rate",
    ),
    Variant(
        "region limits are ignored",
        "routing/placer.py",
        "self._feed.view.pool(scope.pool, scope.regions, scope.version)",
        "self._feed.view.pool(scope.pool, None, scope.version)",
        f"{EVACUATION}::test_requests_stay_within_the_regions_of_route_and_account",
    ),
    Variant(
        "a broken stream goes on at any version",
        "routing/exchange.py",
        "replace(self._request, version=origin.version)",
        "self._request",
        f"{MIXED_PLATFORM}"
        "::test_a_broken_stream_goes_on_only_at_the_version_that_began_it",
    ),
    Variant(
        "streams that callers resume go on at any version",
        "routing/gateway.py",
        "admitted = await self._origins.bind(admitted, now=self.now())",
        "pass",
        f"{MIXED_PLATFORM}"
        "::test_a_stream_of_a_killed_entry_goes_on_only_at_the_version_that_began_it",
    ),
    Variant(
        "streams go on at any version, beside random faults",
        "membership/view.py",
        "and (version is None or row.version == version)",
        "",
        f"{SHORT_SOAK}::test_promises_are_kept_where_servers_of_two_versions_serve",
    ),
    Variant(
        "a stream of unknown version goes on anywhere",
        "routing/origin_lookup.py",
        "        if self._feed.streams.is_mixed(request.pool):",
        "        if False:",
        f"{MIXED_VERSIONS}"
        "::test_no_stream_goes_on_at_another_version_after_all_processes_ended",
    ),
    Variant(
        "an entry that hears no replica trusts its last versions",
        "feed/stream_client.py",
        "return self.silence() > CONTACT_LIMIT or self._is_known_mixed(pool)",
        "return self._is_known_mixed(pool)",
        f"{MIXED_VERSIONS}"
        "::test_no_stream_changes_its_version_at_an_entry_cut_off_from_all_replicas",
    ),
    Variant(
        "streams that began before a second version came are not told",
        "feed/stream_client.py",
        "        for pool in mixed - self._published:",
        "        for pool in ():",
        f"{MIXED_VERSIONS}"
        "::test_streams_that_began_before_a_second_version_came_go_on_at_the_first",
    ),
    Variant(
        "a replica that starts again is sent no streams",
        "feed/stream_client.py",
        "            _send(link, self._streams.of_pool(pool))",
        "            pass",
        f"{MIXED_VERSIONS}::test_streams_are_found_after_all_replicas_have_restarted",
    ),
    Variant(
        "a version is forgotten with its last upstream",
        "membership/versions.py",
        "                if now - seen > lifetime:",
        "                if now - seen > 0:",
        f"{MIXED_VERSIONS}::test_a_stream_whose_version_is_gone_is_refused",
    ),
    Variant(
        "versions in service are lost when a replica ends",
        "feed/stream_holder.py",
        "stored = file.load() if file is not None else None",
        "stored = None",
        f"{MIXED_VERSIONS}"
        "::test_streams_go_on_after_all_processes_ended_if_there_is_one_version",
    ),
    Variant(
        "replicas are not told of streams, beside random faults",
        "feed/stream_client.py",
        "        if self._is_known_mixed(origin.pool):",
        "        if False:",
        f"{SHORT_SOAK}::test_promises_are_kept_where_servers_of_two_versions_serve",
    ),
    Variant(
        "streams are lost when all processes end",
        "feed/stream_holder.py",
        "stream_file.load() if stream_file is not None else ()",
        "()",
        f"{MIXED_VERSIONS}"
        "::test_streams_of_several_versions_go_on_after_all_processes_were_killed",
    ),
    Variant(
        "a stream goes on at an upstream that may have started again",
        "routing/placer.py",
        "return self._unconfirmed.exclude(rows, self._clock.now())",
        "return rows",
        "tests/routing/test_gateway.py"
        "::test_no_stream_goes_on_at_an_upstream_that_may_have_started_again",
    ),
    Variant(
        "a connection is closed before a refused body is read",
        "platform/first_bytes.py",
        "        if self._body_left <= 0 and self._transport is not None:",
        "        if self._transport is not None:",
        "tests/platform/test_first_bytes.py"
        "::test_a_refusal_is_complete_and_closes_the_connection",
    ),
    Variant(
        "pauses of upstreams are ignored",
        "routing/placer.py",
        "        self._pauses.pause(row.incarnation, until)",
        "        pass",
        f"{ANNOUNCEMENTS}::test_callers_do_not_notice_that_two_of_five_engines_pause",
    ),
    Variant(
        "a pause is not checked before a request is written",
        "routing/placer.py",
        "        return not self._pauses.is_paused(row.incarnation, self._clock.now())",
        "        return True",
        f"{ANNOUNCEMENTS}"
        "::test_a_request_that_waits_for_a_connection_moves_if_its_engine_pauses",
    ),
    Variant(
        "a connection is used without checking for a pause",
        "routing/client.py",
        "        if not _may_send.get()(protocol):",
        "        if False:",
        "tests/routing/test_withheld.py",
    ),
    Variant(
        "waiting requests are not refused once all upstreams pause",
        "routing/admission.py",
        " or not self.candidates(waiter.scope):",
        ":",
        f"{ANNOUNCEMENTS}::test_waiting_requests_are_refused_once_all_engines_pause",
    ),
    Variant(
        "the end of a pause lets the full load return at once",
        "routing/pauses.py",
        "        return row.credit > 0 or now - row.sent_at >= TRIAL_INTERVAL",
        "        return True",
        f"{ANNOUNCEMENTS}::test_load_grows_slowly_after_the_end_of_a_pause",
    ),
    Variant(
        "leave announcements in answers are ignored",
        "platform/headers.py",
        "            leaving=names.LEAVING_VALUE in headers.getall(names.LEAVING, []),",
        "",
        f"{ANNOUNCEMENTS}::test_a_leaving_upstream_gets_no_new_requests_and_callers_do_not_notice",
    ),
    Variant(
        "requests do not wait for a full plain pool",
        "routing/placer.py",
        "        return placement if taken < MAX_PER_SLOT * row.slots else None",
        "        return placement",
        "tests/emulate/test_plain_entries.py",
    ),
    Variant(
        "a plain pool's queue ignores how much each account received",
        "routing/plain_queue.py",
        "        return self._level(waiter, now), waiter.arrived",
        "        return 0.0, waiter.arrived",
        "tests/routing/test_plain_queue.py",
    ),
    Variant(
        "engines never fetch prompt parts",
        "routing/placer.py",
        "return can_fetch(profile) and self._memory.is_memory_bound(pool, profile)",
        "return False",
        "tests/emulate/test_fetch.py",
    ),
    Variant(
        "a retry fetches again although the fetch may have broken off the attempt",
        "routing/exchange.py",
        "            progress.fetching = False\n",
        "            pass\n",
        "tests/routing/test_exchange.py"
        "::test_a_retry_names_no_source_if_a_fetch_broke_off",
    ),
    Variant(
        "a busy entry does not redirect callers to entries with room",
        "routing/entry_room.py",
        "        return self._others_with_room >= MIN_PART_WITH_ROOM * self._others",
        "        return False",
        f"{BUSY_ENTRIES}"
        "::test_callers_of_a_flooded_entry_are_served_by_entries_with_room",
    ),
    Variant(
        "a busy entry redirects callers to other busy entries",
        "routing/entry_room.py",
        "        return self._others_with_room >= MIN_PART_WITH_ROOM * self._others",
        "        return True",
        f"{BUSY_ENTRIES}::test_callers_are_not_sent_around_among_busy_entries",
    ),
    Variant(
        "a busy entry refuses accounts that request little of it",
        "routing/gateway.py",
        "        return not self.placer.is_within_entry_share(account, now)",
        "        return True",
        f"{BUSY_ENTRIES}"
        "::test_an_account_is_not_refused_for_the_flood_of_another_at_its_entry",
    ),
    Variant(
        "rooms of other entries are used however old they are",
        "routing/entry_room.py",
        "        return now - self._applied_at <= MAX_AGE",
        "        return True",
        f"{BUSY_ENTRIES}::test_with_stale_sums_an_entry_refuses_as_without_redirecting",
    ),
    Variant(
        "a redirected request counts at both entries",
        "routing/gateway.py",
        "        if not exceeds_share and not redirects:\n",
        "        if not exceeds_share:\n",
        f"{BUSY_ENTRIES}"
        "::test_callers_of_a_flooded_entry_are_served_by_entries_with_room",
    ),
    Variant(
        "replicas do not send each other the sums of loads",
        "feed/domain_aggregator.py",
        "        if not receivers or not (entries or some_left):\n",
        "        if True:\n",
        f"{DOMAIN_AGGREGATION}::test_one_replica_fails_or_changes",
    ),
    Variant(
        "reports of entries that other sums contain are not held back",
        "feed/load_aggregator.py",
        "            held_back = stored.entry in elsewhere\n",
        "            held_back = False\n",
        f"{DOMAIN_AGGREGATION}::test_one_replica_fails_or_changes",
    ),
    Variant(
        "sums are used although other sums contain the same entries",
        "feed/domain_sums.py",
        '            return "overlap"\n',
        "            pass\n",
        f"{DOMAIN_SUMS}::test_sums_that_name_an_entry_of_others_are_rejected",
    ),
    Variant(
        "entries choose a replica that does not have the sums of the others yet",
        "feed/aggregator_selector.py",
        "        names = enabled or names\n",
        "",
        f"{DOMAIN_SUMS}"
        "::test_entries_choose_by_domain_only_if_all_replicas_exchange_sums",
    ),
    Variant(
        "scarcity is assumed while engines are idle",
        "routing/usage.py",
        " or used_part < LOADED_PART:",
        ":",
        "tests/routing/test_engine_load.py",
    ),
    Variant(
        "pauses ignore the state of the account",
        "routing/placer.py",
        "        return return_time(state, time_left, self._rng)",
        "        return return_time(None, time_left, self._rng)",
        "tests/emulate/test_floods.py"
        "::test_callers_return_when_they_can_be_served_in_time",
    ),
    Variant(
        "retried requests queue behind new ones of their account",
        "routing/admission.py",
        "        if any(one.retried for one in self._waiting):",
        "        if False:",
        "tests/routing/test_admission.py",
    ),
    Variant(
        "requests that must be late take engines that others need",
        "routing/admission.py",
        "        return soonest > waiter.objective",
        "        return False",
        "tests/routing/test_admission.py",
    ),
    Variant(
        "shares of the retry slack are given anew when a lease ends",
        "feed/slack_ledger.py",
        "        self._counted = LEASE + limits.window + SEND_DELAY",
        "        self._counted = LEASE",
        f"{RETRY_BUDGET}::{FLEET_BOUND}",
    ),
    Variant(
        "a new leader leases the retry slack at once",
        "feed/slack_ledger.py",
        "        knows_all = now - self._leads_since >= self._counted",
        "        knows_all = True",
        f"{RETRY_BUDGET}::{FLEET_BOUND}",
    ),
    Variant(
        "an entry uses its share of the retry slack after its lease",
        "routing/retry_budget.py",
        "        return self.share if now < self.share_until else 0",
        "        return self.share",
        f"{RETRY_BUDGET}::test_an_entry_that_stays_cut_off_does_not_use_slack_that_others"
        "_get",
    ),
    Variant(
        "only the window that ends now limits retries",
        "routing/retry_budget.py",
        "        return max(total - before - backing for before, backing in windows)",
        "        return next(total - before - backing for before, backing in windows)",
        f"{RETRY_BUDGET}::{FLEET_BOUND}",
    ),
    Variant(
        "entries that stay cut off keep their part of a cold upstream's rate",
        "feed/entry_count.py",
        "        if now - self._last_at >= MAX_AGE:",
        "        if False:",
        "tests/feed/test_entry_count.py",
    ),
    Variant(
        "a stream that ends inside an event counts as whole",
        "answer_end.py",
        "        if self.unfinished or self.spoilt is not None:",
        "        if self.spoilt is not None:",
        f"{ANSWER_ENDS}::test_no_broken_answer_passes_for_whole_at_any_framing_end_and"
        "_place",
    ),
    Variant(
        "any number is that of the event due",
        "event_sequence.py",
        "        if self._due is None or number == self._due:",
        "        if True:",
        f"{SPOILT_EVENTS}::test_no_event_that_no_run_made_reaches_a_caller",
    ),
    Variant(
        "what follows a spoilt event is passed on",
        "event_sequence.py",
        "                return blocks[:position]",
        "                return blocks",
        f"{SPOILT_EVENTS}::test_no_event_that_no_run_made_reaches_a_caller",
    ),
    Variant(
        "a sidecar goes on behind a spoilt event",
        "sidecar/upstream.py",
        "                        if isinstance(reader, EventReader) and reader.spoilt:",
        "                        if False:",
        "tests/failures/test_spoilt_events.py",
    ),
    Variant(
        "the event that ends a stream is passed on ahead of the end",
        "event_sequence.py",
        '                blocks[position] = b""\n',
        "                pass\n",
        "tests/failures/test_spoilt_events.py",
    ),
    Variant(
        "a body's encoding and type are not looked at",
        "routing/attempt.py",
        "    fault = _head_fault(answer, resp, reply)",
        "    fault = None if answer.signed else HeadFault.UNSIGNED",
        f"{SPOILT_EVENTS}::test_an_answer_with_another_head_than_due_is_not_passed_on",
    ),
    Variant(
        "an upstream that is gone after an answer without length counts as finished",
        "answer_end.py",
        "                    case Liveness.RUNS:",
        "                    case Liveness.RUNS | Liveness.GONE:",
        f"{ANSWER_ENDS}::test_a_plain_answer_of_a_killed_upstream_is_broken",
    ),
    Variant(
        "an upstream that leaves is not checked after its last answer",
        "routing/gateway.py",
        '        path = self._feed.configuration.health_paths.get(upstream.pool, "")',
        "        if self._feed.view.has_left(upstream.incarnation):\n"
        "            return end\n"
        '        path = self._feed.configuration.health_paths.get(upstream.pool, "")',
        f"{ANSWER_ENDS}::test_an_answer_cut_by_the_end_of_an_upstream_that_leaves_is"
        "_broken",
    ),
    Variant(
        "a process that accepts a connection is taken for the one that answered",
        "runtime/witness.py",
        "        return Liveness.GONE if lost else Liveness.RUNS",
        "        return Liveness.RUNS",
        "tests/runtime/test_witness.py",
    ),
    Variant(
        "a prompt part is no evidence",
        "crashes/fingerprint.py",
        "(_of_part(part.identity) for part in req.parts[:-1][:MAX_PARTS])",
        "()",
        "tests/crashes/test_parts.py::test_all_parts_but_the_last_identify_what_requests"
        "_share",
    ),
    Variant(
        "each convicted part is refused alone",
        "crashes/table.py",
        "            if row is not None and not self._is_explained(row, fingerprints):",
        "            if row is not None:",
        "tests/crashes/test_parts.py::test_a_request_is_refused_if_it_certainly_has_the"
        "_cause",
    ),
    Variant(
        "no verdict is ever tried",
        "feed/crash_server.py",
        "        self._try_next(now)\n",
        "",
        "tests/feed/test_crash_server.py",
    ),
    Variant(
        "a trial of a verdict permits any number of requests",
        "routing/crash_guard.py",
        "                self._trials.remove(fingerprint)\n",
        "",
        "tests/routing/test_crash_guard.py",
    ),
    Variant(
        "verdicts on what one request holds are tried at once",
        "crashes/trials.py",
        "        if not due or now < self._next:",
        "        if not due:",
        "tests/feed/test_crash_server.py",
    ),
    Variant(
        "a message of the group has any number of bytes",
        "control/raft_log.py",
        "            if total > max_bytes and position:",
        "            if position > max_entries:",
        "tests/control/test_log_size.py",
    ),
    Variant(
        "an answer proves the same process although its connection may be newer",
        "routing/unconfirmed.py",
        "connected < self.alive_at and written",
        "written",
        "tests/routing/test_unconfirmed.py",
    ),
    Variant(
        "no spare connection is kept while versions of a pool differ",
        "routing/exchange.py",
        "        self._gateway.keep_spare(upstream)\n",
        "",
        f"{RESUMED_STREAMS}::test_a_spare_connection_is_open_while_a_stream_of_a_mixed"
        "_pool_runs",
    ),
    Variant(
        "a doubt about an upstream goes on while any connection to it is lost",
        "routing/unconfirmed.py",
        "            if one.until > written and not",
        "            if not",
        "tests/routing/test_unconfirmed.py",
    ),
    Variant(
        "no answer proves that an upstream has not started again",
        "routing/unconfirmed.py",
        "        if losses is None:",
        "        if True:",
        f"{RESUMED_STREAMS}::test_resumed_streams_go_on_while_connections_break_without"
        "_a_restart",
    ),
    Variant(
        "a lost connection fails no answer without length",
        "runtime/upstream_connection.py",
        "            payload.set_exception(exc)",
        "            return",
        "tests/routing/test_client.py",
    ),
    Variant(
        "a response without chunks is aborted by an ordinary close",
        "runtime/sockets.py",
        "    if chunked:\n        transport.abort()",
        "    if True:\n        transport.abort()",
        f"{ANSWER_ENDS}::test_a_caller_without_chunks_gets_a_broken_stream_as_a_reset",
    ),
    Variant(
        "a sidecar takes each end of an answer for its completion",
        "sidecar/upstream.py",
        "        if self._completeness is Completeness.BROKEN:",
        "        if False:",
        "tests/failures/test_answer_ends.py",
    ),
    Variant(
        "only the tokens that a request shares with no other count as service",
        "routing/balance.py",
        "    return expected_service_of_tokens(req.tokens_in, req.tokens_out)",
        "    return expected_service_of_tokens(own_tokens(req), req.tokens_out)",
        SHARES,
    ),
    Variant(
        "shares are of what engines provide, not of what they can provide",
        "routing/usage.py",
        "        return max(reachable, capacity)",
        "        return max(served, capacity)",
        "tests/routing/test_usage.py",
    ),
    Variant(
        "an account that no longer requests service counts as short",
        "routing/usage.py",
        "            if current < row.requested:",
        "            if False:",
        "tests/routing/test_usage.py",
    ),
    Variant(
        "an entry trusts the versions that a single replica knows",
        "feed/stream_client.py",
        "        if self._group_size and 2 * len(self._complete_replicas) > "
        "self._group_size:",
        "        if self._complete_replicas:",
        "tests/feed/test_mixed_versions.py",
    ),
    Variant(
        "a process is unreachable once the first packet of its check is lost",
        "runtime/witness.py",
        "CONNECT_ATTEMPTS = 3",
        "CONNECT_ATTEMPTS = 1",
        "tests/runtime/test_witness.py",
    ),
    Variant(
        "an answer that no request awaits is kept for the next one",
        "runtime/upstream_connection.py",
        "        if not self._awaits_head:\n            self._drop_surplus()\n",
        "        if False:\n            self._drop_surplus()\n",
        "tests/runtime/test_upstream_connection.py",
    ),
    Variant(
        "a sidecar uses a connection for several requests",
        "sidecar/upstream.py",
        "            connector=UpstreamConnector(),\n",
        "            connector=UpstreamConnector(keepalive=15.0),\n",
        "tests/sidecar/test_upstream.py",
    ),
    Variant(
        "the head of an interim answer ends the wait for the final one",
        "runtime/upstream_connection.py",
        "        self._awaits_head = message.code in INTERIM_STATUSES\n",
        "        self._awaits_head = False\n",
        "tests/runtime/test_upstream_connection.py",
    ),
    Variant(
        "a stream that has begun is cut though a failing upstream is left",
        "routing/exchange.py",
        "                begun=self._reply.started,\n",
        "                begun=False,\n",
        SPOILT_EVENTS,
    ),
    Variant(
        "the head of an answer to another request is believed",
        "routing/exchange.py",
        "        if head.request_id != self._request.req.request_id:\n",
        "        if not head.request_id:\n",
        "tests/routing/test_exchange.py",
    ),
    Variant(
        "bytes of callers are parsed though the account is full",
        "peers/account.py",
        "        if self.held + size <= limit:\n",
        "        if size:\n",
        f"{CROWD}[unfinished heads]",
    ),
    Variant(
        "trailers are not charged",
        "runtime/held_connection.py",
        "            self._framing_price += _price_of_lines(fed)\n",
        "            self._framing_price += 0\n",
        "tests/runtime/test_held_connection.py",
    ),
    Variant(
        "requests behind the one that runs are parsed",
        "runtime/held_connection.py",
        "        return self._payload is not None or not self._unfinished\n",
        "        return True\n",
        "tests/runtime/test_held_connection.py",
    ),
    Variant(
        "all that was read is parsed at once",
        "runtime/held_connection.py",
        "TURN_BYTES = 4_096\n",
        "TURN_BYTES = 1_000_000_000\n",
        "tests/runtime/test_held_connection.py",
    ),
    Variant(
        "the account does not look at what a request has used",
        "peers/account.py",
        "            if found >= excess + spare or victim.cost(now) <= own_cost:\n",
        "            if found >= excess + spare:\n",
        "tests/peers/test_account.py",
    ),
    Variant(
        "a body is read before route and key are known",
        "routing/gateway.py",
        "        account = self._authenticate(req, route)\n"
        "        if isinstance(account, NotRun):\n"
        "            return account\n"
        "        limit = route.time_limit\n",
        "        limit = route.time_limit\n",
        "tests/platform/test_caller_limits.py",
    ),
)
