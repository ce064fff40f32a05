#!/usr/bin/env bash
# Mutation test: removes one mechanism at a time from a copy of the core and expects
# the regression test of this mechanism to fail. docs/PROOFS.md lists the pairs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# package is the package of the tests in the pairs that follow its assignment.
package=reducer
# started is the number of pairs started so far. Each runs in its own copy of the core, up
# to atOnce of them in parallel.
started=0
atOnce=$(nproc)

# without WHAT FILE SEARCH REPLACE TEST: starts one pair in the background. SEARCH is
# literal text in FILE, a path below core.
without() {
	started=$((started + 1))
	while [ "$(jobs -rp | wc -l)" -ge "$atOnce" ]; do
		wait -n || true
	done
	takeOut "$work/$started" "$package" "$@" >"$work/$started.result" 2>&1 &
}

# takeOut COPY PACKAGE WHAT FILE SEARCH REPLACE TEST: runs one pair and prints a line that
# starts with "ok" or "FAIL".
takeOut() {
	local copy=$1 package=$2 what=$3 file=$4 search=$5 replace=$6 test=$7
	mkdir "$copy"
	cp -r "$root/core" "$copy/core"
	SEARCH=$search REPLACE=$replace perl -0pi -e 's/\Q$ENV{SEARCH}\E/$ENV{REPLACE}/' "$copy/core/$file"
	if cmp -s "$root/core/$file" "$copy/core/$file"; then
		echo "FAIL $what: '$search' is no longer in $file"
	elif ! (cd "$copy/core" && GOWORK=off go vet "./$package" >/dev/null 2>"$copy/vet"); then
		echo "FAIL $what: the changed copy does not compile: $(head -3 "$copy/vet")"
	elif (cd "$copy/core" && GOWORK=off go test "./$package" -count=1 -run "^($test)\$" >/dev/null 2>&1); then
		echo "FAIL $what: $test passes without it"
	else
		echo "ok   without $what, $test fails"
	fi
	rm -rf "$copy"
}

without "the flow table" reducer/pinning.go 'if !known {
		return r.placeFlow(in)' 'if true {
		_ = f
		_ = known
		return r.placeFlow(in)' TestEstablishedFlowsKeepTargetAcrossPlannedChanges
without "earlier tables" reducer/target.go 'for i := 1; i < len(s.tables); i++ {' 'for i := 1; i < 0; i++ {' TestUnknownFlowUsesPreviousPlacement
without "the handover of flows" reducer/handover.go 'if r.isNextOwner(to, hash) {
				h.flows' 'if _ = hash; false {
				h.flows' TestEstablishedFlowsKeepTargetAcrossPlannedChanges
without "copies of exceptions" reducer/exceptions.go 'if r.copyBudgetBytes < flowRecordBytes ||' 'if true ||' TestSuccessorKnowsExceptions
without "the quarantine of addresses" reducer/target.go 'addressQuarantine = 18 * time.Second' 'addressQuarantine = 0 * time.Second' TestNoPacketCrossesServices
without "the check of an answer's sender" reducer/route.go '|| !s.acceptsResponsesFrom(e.Target, r.addressUses) {' '{' TestResponsesFromUnknownTargetsDropped
without "the return address" reducer/response.go 'r.deliverToCaller(in)
		return
	}
	if in.packet' 'return
	}
	if in.packet' TestResponseReachesCallerAfterOwnerFailure
without "memory of given-up requests" reducer/response.go 'r.count(DropLateAnswer)
	}
}

// handleEarlierResponse' 'r.deliverToCaller(in)
	}
}

// handleEarlierResponse' 'TestLateResponseNotDeliveredToNextUserOfPort|TestLateResponseNotMatchedToLaterRequest'
without "held identities of refusals" reducer/refusal.go 'if outcome == OutcomeUnknown || !q.nonIdempotent() {' 'if true {' 'TestNotRunRefusalNeverRan|TestPartitionRunsRequestsOnce'
without "held identities of requests" reducer/witness.go 'if successor == "" {
		r.count' 'if true {
		r.count' TestRetransmissionAfterOwnerFailureRunsOnce
without "the quorum" detector/quorum.go 'if !d.isQuorum(d.membership, d.countsForSelf, leased) {' 'if false {' TestPartitionRunsRequestsOnce
without "leases that end" detector/quorum.go 'if m.leaseDeadline.Passed(now) {
		return nil' 'if false {
		return nil' TestResumedOwnerRunsNothingTwice
without "dropping stale datagrams" reducer/route.go 'if arrived.Add(staleAfter).Passed(r.now) {' 'if false {' TestResumedOwnerRunsNothingTwice
without "asking first after a sleep" reducer/isolation.go 'if r.inContact() {
		return true
	}
	since' 'if true {
		return true
	}
	since' TestDrainingTargetGetsNoNewWork
without "moving new work off a draining target" reducer/pinning.go 't.policy.State == resolver.TargetActive &&' 't.policy.State != resolver.TargetState(99) &&' TestDrainingTargetGetsNoNewWork
without "the handover before the end" reducer/shutdown.go 'if r.settings == nil || !r.joining.ready {
		r.finishShutdown()' 'if true {
		r.finishShutdown()' TestGracefulShutdownLosesNoRequests
without "votes that are left behind" reducer/handover.go 'chunk.Votes, chunk.DeniedRecipients = r.detector.ReleaseVotes(to, h.shuttingDown)' 'r.detector.ReleaseVotes(to, h.shuttingDown)' TestGracefulShutdownLosesNoRequests
without "votes that count at once" detector/votes.go 'return !v.refuses(d.self, d.incarnation)' 'return v.countsAgainstFrom.Passed(d.now)' TestRollingReplacementRefusesNothing
without "the way around a broken link" reducer/witness.go 'if r.detector.State(peer).Liveness == messenger.LivenessAlive {' 'if true {' TestSingleLinkFailureInCellRefusesNothing
without "the limit of a tenant" reducer/dispatch.go 'if r.tenantInFlight[tenant] >= policy.MaxTenantInFlight {' 'if r.tenantInFlight[tenant] < 0 {' TestTenantCannotTakeAllSlots
without "shedding what would be late" reducer/dispatch.go 'case r.now.Add(t.expectedWait(r.now)) >= q.deadline:' 'case false:' TestRequestThatWouldMissDeadlineRefusedImmediately
without "the comparison of revisions" reducer/settings.go 'if revision <= r.Revision() ||' 'if revision == r.Revision() ||' TestRevisionReachesAllHostsAndIsNeverReverted
without "learning settings from peers" reducer/settings.go 'if host == "" || highest' 'if true || host == "" || highest' TestRevisionReachesAllHostsAndIsNeverReverted
without "asking other hosts at the start" reducer/settings.go 'if len(r.seedHosts) == 0 ||' 'if true ||' TestRevisionReachesAllHostsAndIsNeverReverted
without "few watchers" reducer/settings.go 'watch := !ok || watchersAhead < watchersPerZone' 'watch := !ok || watchersAhead >= 0' TestOnlyWatchersReadPlatform
without "a fallback that keeps nothing" reducer/request.go 'if role == roleFallback {' 'if false {' TestHostWithoutPeersReleasesTargetSlots
without "the wait for other hosts" reducer/joining.go 'if r.startedAt.Add(peerDiscoveryTimeout).Passed(r.now) {' 'if true {' TestStartingHostAcceptsNoPacketsBeforePeerDiscovery
without "what successors hold for others" reducer/handover.go 'if !r.isKnownUnsent(id, body.WitnessedIdentities) {' 'if true {' TestUnsentRequestRunsDespiteWitnessedIdentity

without "checks by former probers and by others" reducer/health.go 'p.pending = append(r.targetsToProbe(), r.nextRecoveryProbes()...)' 'p.pending = r.targetsToProbe()' 'TestNonProbingHostsUseARecoveredTargetAgain'
without "checks by former probers" reducer/health.go 't.failedProbes > 0 || t.requestsFailing()' 't.requestsFailing()' TestFormerProbersUseARecoveredTargetAgain
package=steerer
without "the target's tag" steerer/forwarding.go 'to, ok := s.targets.byTag[p.Tag]' 'to, ok := s.chooseTarget(placement{service: "ledger", hash: key.hash()}), true' 'TestFlowStaysOnItsTargetThroughAnyHost|TestFleetAgainstOracle'
without "copies to a target that lives" steerer/forwarding.go 'f.target.health.lastProgress > f.openingSentAt' 'f.target.health.lastProgress > f.openingSentAt.Add(1<<60)' TestRetransmittedOpeningStaysWithRespondingTarget
without "copies away from a silent target" steerer/forwarding.go 'if keepTarget && f.target.health' 'if keepTarget || f.target.health' TestRetransmittedOpeningAvoidsUnresponsiveTarget
without "distrust after a pause" steerer/health.go 'return s.pause.graceDeadline.Passed(s.now) &&' 'return true || s.pause.graceDeadline.Passed(s.now) &&' TestPausedHostDoesNotMakeTargetsUnreachable
without "progress over a check that hangs" steerer/health.go 'h.lastProgress.Add(e.Took) > s.now' 'false' TestTargetWithProgressIsNotUnreachable
without "resets of what may run again only" steerer/health.go '!f.awaitingResponse && f.queued == nil || !f.route.Kind.retryable()' '!f.awaitingResponse && f.queued == nil' TestIdempotentRequestsToUnresponsiveTargetAreReset
without "the highest version" steerer/platformread.go 'if s.settings != nil && settings.Version <= s.settings.Version {' 'if false {' TestSettingsNeverGoBack
without "flows to targets whose entries lapsed" steerer/targetlist.go 'return !inGracePeriod || !alive' '_, _ = inGracePeriod, alive
	return true' TestMissingTargetsWithRecentProgressStillGetFlows
without "the end of that" steerer/targetlist.go 'return !inGracePeriod || !alive' '_ = inGracePeriod
	return !alive' TestTargetThatStaysMissingGetsNoFlows
without "ranks among readers" steerer/platformread.go 'rank := s.rank()' 'rank := 0' TestPlatformReadsDoNotGrowWithFleet
without "reads of its own at the latest" steerer/platformread.go 'return min(firstReaderMaxAge(limit, transfer)+time.Duration(rank)*readRankDelay, latest)' '_, _ = latest, rank
	return firstReaderMaxAge(limit, transfer) + time.Hour' TestEachSideOfPartitionReadsPlatform
without "questions to other hosts" steerer/peersync.go 'if s.awaitingFirstReads() || s.peerSync.inFlight || !s.peerSync.nextRequest.Passed(s.now) {' 'if true {' 'TestHostsStartedDuringPlatformOutageAreReady|TestSettingsReachDeniedHosts'
without "the delay of the end" steerer/shutdown.go 'if !state.started || state.ended || !state.earliest.Passed(s.now) {' 'if !state.started || state.ended {' TestShuttingDownHostForwardsUntilFabricStopsSendingPackets
without "only removed routes" steerer/forwarding.go 'if !routed && s.removedRoutes[p.Service] {' 'if !routed {' TestEstablishedFlowOfUnknownRouteIsForwarded
without "load of flows that have not opened" steerer/target.go 't.pendingRequests + t.halfOpen + t.peersInFlight' 't.pendingRequests + t.peersInFlight' TestCrashedTargetDoesNotAttractFlows
without "changes told by turns" steerer/changes.go 'entry.timesSent++
		c.insert(entry)' '*c = slices.Insert(*c, 0, entry)' TestManyChangesSpreadThroughReports
without "questions at random" steerer/peersync.go 'sameZone[s.random.IntN(len(sameZone))]' 'sameZone[0]' TestSyncRequestsAreSpreadOverPeers
without "the notice of refusals" steerer/flow.go 'if f.target.health.lastProgress <= timer.since {
			s.suspect(f.target, "openingSlow", timer.since)
		}
		s.probeIfPossiblyFull(f)
	})
	s.overdueOpenings.expire(s.now, func(timer flowTimer) {
		f := s.flows[timer.key]
		if f == nil || f.established || f.openingResent || f.lastPacket != f.openingSentAt {
			return
		}
		s.recordStall(f.target, "openingRefused", f.openingSentAt)' '	s.probeIfPossiblyFull(f)
	})
	s.overdueOpenings.expire(s.now, func(timer flowTimer) {
		f := s.flows[timer.key]
		if f == nil || f.established || f.openingResent || f.lastPacket != f.openingSentAt {
			return
		}' TestTargetThatRefusesFlowsIsDetected
without "packets kept until the first read" steerer/held_packets.go 'if len(s.heldPackets) == maxHeldPackets {' 'if true {' TestPacketsBeforeFirstReadAreHeld
without "one of a kept packet's repeats" steerer/held_packets.go 'if s.heldPackets[i].packet.retransmits(p) {' 'if false {' TestRetransmissionsOfHeldPacketsAreNotHeld
without "a bound on how long packets are kept" steerer/held_packets.go 'if expired {' 'if false {' TestHeldPacketsAreBounded
without "distrust of a slow path" steerer/health.go '!s.path.slow(s.now) && ' '' TestSlowPathDoesNotMakeTargetsUnreachable
without "distrust of a full link" steerer/health.go '!s.path.slow(s.now) && ' '' TestFullLinkDoesNotMakeTargetsUnreachable
without "copies that tell nothing of the path" steerer/path.go 'if f.openingResent {' 'if false {' TestResentOpeningsDoNotMakeThePathSlow
without "routes that stay as they were" steerer/platformread.go 'settings = settings.withMalformedRoutesFrom(s.settings)' '' TestMalformedRouteKeepsPreviousVersion
without "the notice of quick answers" steerer/target_selection.go 'if s.failsFast(t) {' 'if false {' TestTargetThatFailsFastGetsFewFlows
without "word of quick answers" steerer/reports.go 's.applyFastFailures(p, r.FastFailing)' '' TestFastFailuresAreReportedWithinTheZone
without "large links before small ones" steerer/peers.go 'return p.linkBytesPerSecond > s.config.LinkBytesPerSecond' '' TestHostsWithFastestLinksReadPlatform
without "questions for targets that are gone" steerer/peersync.go 'p = s.pickMissingTargetsPeer()' 'p = nil' TestStartingHostLearnsMissingTargets
without "what is usual on the path" steerer/path.go 'slowHandshakeFactor*s.path.handshake.median' '0' TestDistantCallersDoNotMakeThePathSlow
without "the end of what was believed of an earlier life" steerer/targetlist.go 'if restarted {' 'if restarted && from == "" {' 'TestRestartedTargetIsUsedImmediately|TestRequestsOfEarlierIncarnationAreNoLoad|TestRestartReachesEveryHost'
without "the repeat to the new life" steerer/target_restart.go 'if f.awaitingResponse && len(f.bufferedRequest) > 0 {' 'if false {' TestInFlightRequestIsResentToNewIncarnation
without "the life of a check" steerer/health.go '|| t.Incarnation != e.Incarnation' '' TestProbeOfEarlierIncarnationIsIgnored
without "lives before revisions" steerer/target_restart.go 'if incarnation != t.Incarnation {' 'if false {' TestLaterIncarnationOverridesLaterRevision
without "the life that a host's word is about" steerer/reports.go 'if !ok || p.position.Before(t.incarnationPosition) {' 'if !ok {' TestReportsFromBeforeARestartAreIgnored
without "targets that leave a service" steerer/target_table.go 't.listUnder(one, one.Service)' 'if one.listedUnder == "" { t.listUnder(one, one.Service) }' TestTargetRestartedInAnotherService
without "no flows for spoilt entries" steerer/targetlist.go 'if !t.missing || t.malformed {' 'if !t.missing {' TestTargetWithMalformedEntryKeepsOpenFlowsAndGetsNoNewOnes
without "one line for each change of an entry" steerer/malformed.go 'if !s.loggedMalformed[entry.Digest] {' 'if !s.loggedMalformed[0] {' TestMalformedEntryIsLoggedOnceAcrossFullLists
without "one holder for each tag" steerer/target_table.go 'if !owner.missing {' 'if false {' TestTargetWithDuplicateTagGetsNoFlows
without "requests that wait" steerer/queueing.go 'if !s.mayQueue(f, v) {' 'if true {' 'TestReadIsQueuedWhileServiceIsCongested|TestNewReadFlowIsRefusedWhileRequestsAreQueued'
without "the bound on a wait" pacer/queue.go 'return r.forcedDeadline.Passed(now)' 'return false' TestQueuedRequestIsForwardedBeforeItsCallerTimesOut
without "repeats that wait, too" steerer/forwarding.go 'if f.queued != nil && s.queuePacket(f, p) {' 'if false {' TestRetransmissionsOfAQueuedRequestAreNotForwarded
without "refusals while others wait" steerer/admission.go 'return v.load.Congested() && s.queuedAtComparableTargets(v, to) > 0' 'return false' TestNewReadFlowIsRefusedWhileRequestsAreQueued
without "refusals only for who waits beside" steerer/admission.go 'if s.slowdown(t) <= maxSlowdown {' 'if true || s.slowdown(t) <= maxSlowdown {' TestQueueForSlowTargetDoesNotRefuseFlowsToOthers
without "the end of a request whose caller has gone" steerer/flow.go 'func (s *Steerer) closeFlow(key flowKey, f *flow) {
	s.discardQueued(f)' 'func (s *Steerer) closeFlow(key flowKey, f *flow) {' TestQueuedRequestIsDiscardedWhenItsCallerResets
without "what waits at a host that leaves" steerer/shutdown.go 's.forwardAllQueued(t, "leaving")' '_ = t' TestHostForwardsQueuedRequestsOnShutdown
without "resets of what waits for a silent target" steerer/health.go '!f.awaitingResponse && f.queued == nil' '!f.awaitingResponse' TestQueuedRequestOfAnUnresponsiveTargetIsReset
without "resets of what waits for a removed route" steerer/queueing.go 'if s.removedRoutes[r.key.service] {' 'if false {' TestQueuedRequestOfARemovedRouteIsReset
without "the end of counts nobody else ends" steerer/service_load.go 'f.requestStartedAt == timer.since {' 'false {' TestUnseenResetsDoNotBlockTheQueue
without "refusals that are no failures" steerer/estimates.go 'fastFailure && !congested' 'fastFailure' TestRefusalsOfACongestedServiceAreNotFailures
without "distrust of what waited during a pause" steerer/forwarding.go 'if s.isStale(p) {' 'if false {' TestPausedHostDropsStalePackets
without "distrust of load after a pause" steerer/service_load.go '|| !s.pause.graceDeadline.Passed(s.now) ||' '||' TestHostPauseIsNotTakenForCongestion
without "one question at a time" steerer/peersync.go '|| s.peerSync.inFlight || !s.peerSync' '|| !s.peerSync' TestOnlyOneSyncRequestIsInFlight
without "patience with other hosts" steerer/peersync.go 'fraction := settingsSyncFraction + settingsSyncSpread*s.hostFraction()' 'fraction := 0.1 + 0*s.hostFraction()' TestHostsFetchChangesFromOtherHosts
without "pauses that grow with the fleet" steerer/platformread.go 'max(src.backoff, fleetRetryDelay)' 'src.backoff+0*fleetRetryDelay' TestFleetLimitsReadsDuringPlatformOutage
without "first reads that may be stale" steerer/platformread.go '&ReadSettings{ReadOptions{MayBeStale: settings.neverRead(), Era: s.platformReads.era}}' '&ReadSettings{}' TestFirstReadsMayBeStaleAndOneHostRefreshesThem
without "distrust during transfers" steerer/path.go 'if rate > 0 && float64(max(received, sent))' 'if rate < 0 && float64(max(received, sent))' TestOwnTransferDoesNotMakeTargetsUnreachable
without "open flows before the settings" steerer/held_packets.go 'if !ok || p.isOpening() || !s.targetsPosition.Known() {' 'if true || !ok {' TestEstablishedFlowsDoNotWaitForSettings
without "reports that stay in the zone" steerer/peers.go 'sameZoneFanout = 3' 'sameZoneFanout   = 0' TestMostReportsInALargeFleetStayWithinTheirZone
without "ages of what is told of hosts" steerer/reports.go 'time.Duration(r.HostAgeTenths[i]) * gossipAgeUnit' '0 * time.Duration(r.HostAgeTenths[i])' TestDeadHostsInLiveZonesAreDetected
without "first lists as no news" steerer/targetlist.go 'if s.targetsPosition.Known() {
		s.queueChange' 'if true {
		s.queueChange' TestFirstTargetListIsNotReportedAsChanges
without "targets before settings" steerer/platformread.go '&& !s.settingsWaitForTargets() {' '{' TestTargetsAreReadBeforeTheSettings
without "numbers of reads" steerer/platformread.go 'moment := src.earliestStart(c.read, c.moment)' 'moment := c.moment' TestTargetsAgeGrowsWithoutPlatformReads
without "orders to evacuate zones" steerer/target_selection.go 'case view.evacuated:' 'case false && view.evacuated:' 'TestEvacuatedZoneGetsNoNewFlows|TestOrdersHoldUnderFaults'
without "copies that obey orders" steerer/forwarding.go 's.exclusionOf(f.target, s.evaluateZones(c)) == notExcluded' 'true' TestRetransmittedOpeningAvoidsEvacuatedZone
without "checks that obey orders" steerer/health.go '&& !t.missing && !zones[t.zone].evacuated {' '&& !t.missing && len(zones) > 0 {' TestEvacuatedTargetsAreNotProbed
without "checks for open flows of evacuated zones" steerer/health.go '|| !h.probeDeadline.Passed(s.now) {' '|| !h.probeDeadline.Passed(s.now) || s.evacuator.Evacuates(t.AvailabilityZone) {' TestCrashOfEvacuatedZoneResetsOpenFlows
without "the age limit of failed checks" steerer/health.go 'if t.health.unreachableDeadline.Passed(s.now) {' 'if false {' 'TestOpenFlowsOutlastACutOfAnEvacuatedZone|TestOpenFlowsOutlastACutOfAMissingTarget|TestOpenFlowsOutlastAPauseOfTheHost|TestOpenFlowsOutlastInconclusiveProbes'
without "a check where the last one is old" steerer/health.go 'if s.missingResponsesAreEvidence() {
			s.probe(t, diagnoser.MaxResponseTimeout)' 'if false {
			s.probe(t, diagnoser.MaxResponseTimeout)' TestFlowsOfATargetThatStaysUnreachableAreReset
without "checks of targets that stay suspect" steerer/health.go 'h.unreachable() || h.suspect &&' 'h.unreachable() || false &&' 'TestTargetSuspectedAfterALostOpeningIsUsedAgain|TestTargetThatResetItsProbeIsUsedAgain'
without "a new life that is already gone" steerer/reports.go 'if restarted {' 'if restarted && false {' TestTargetThatRestartsAndGoesMissingIsProbedAgain
without "checks in zones of last resort" steerer/health.go '&& !zones[t.zone].evacuated {' '&& !zones[t.zone].evacuated && !s.evacuator.Evacuates(t.AvailabilityZone) {' TestRecoveredTargetOfLastResortZoneIsUsed
without "checks of taken over flows" steerer/unresponsive_targets.go 'if p.Length > 0 && s.zoneHostsSilent(to.AvailabilityZone) {' 'if false && p.Length > 0 && s.zoneHostsSilent(to.AvailabilityZone) {' TestFlowsOfALostZoneAreResetPromptly
without "hosts that wait for their zone" steerer/zonestart.go 'return 2*alive < s.peers.expectedInZone' 'return false && 2*alive < s.peers.expectedInZone' TestRecoveringZoneWaitsForMajorityOfHosts
without "hosts that wait only while others serve" steerer/zonestart.go 'case r.Uptime < establishedUptime:' 'case r.Uptime < 0:' TestHostsDoNotWaitAfterLossOfAllZones
without "an end of waiting for the zone" steerer/zonestart.go '|| s.config.Start.Add(zoneStartGrace).Passed(s.now) {' '{' TestHostWaitForZoneIsBounded
without "the end of orders out of touch" steerer/evacuation.go 'return s.now.Since(confirmed)+remaining > s.settingsPropagationLimit()' '_ = confirmed
	return false' TestPartitionedHostServesItsEvacuatedZone
without "outdated orders that hold while hosts respond" steerer/evacuation.go 'return s.isolation.silent() && s.ordersStaleWithin(0)' 'return s.ordersStaleWithin(0)' TestOutdatedOrderHoldsWhileHostsElsewhereRespond
without "replies to hosts that ask" steerer/reports.go 'if r.ReplyRequested {' 'if false {' TestOutdatedOrderHoldsWhileHostsElsewhereRespond
without "orders that count from the start" steerer/evacuation.go 'cmp.Or(s.platformReads.settings.confirmed, s.config.Start)' 'cmp.Or(s.platformReads.settings.confirmed, 0)' TestStartedHostFollowsAnOrderThatIsNotConfirmedYet
without "orders that hold in an outage" steerer/target_selection.go 'if v.lastResort {' 'if false {' TestOutdatedOrderMakesItsZoneOnlyALastResort
without "orders in reports" steerer/reports.go 's.applyOrders(evacuator.Orders{Position: sequencer.At(r.OrdersEra, r.OrdersRevision), Zones: r.EvacuatedZones}, p.name)' '_ = evacuator.Orders{}' 'TestHostStartedDuringPlatformOutageLearnsOrders|TestDeniedHostLearnsOrdersFromPeers'
without "reads as often as orders need" steerer/evacuation.go 'if s.config.EvacuationPropagationLimit > 0 {' 'if false {' TestOrdersAreReadWithinPropagationLimit
without "tickets for cold targets" steerer/cold.go '!s.shutdown.started && t.AvailabilityZone == s.config.AvailabilityZone && s.warmer.Admits(t.ID, limit, s.now)' 'true' 'TestColdTargetsStayWithinTheirFlowLimit|TestZoneIsColdAfterEvacuation'
without "the warm-up of a zone that is back" steerer/cold.go 'return ok && !endedAt' 'return ok && false && !endedAt' TestZoneIsColdAfterEvacuation
without "news of cold targets" steerer/targetlist.go 'if turnedCold := warmUp > reportInterval && t.warmUpDeadline.Passed(s.now); turnedCold {' 'if false {' TestColdStateReachesOtherHosts
without "regions of routes" steerer/target_selection.go 'case !view.inRegion:' 'case false && !view.inRegion:' TestRoutesStayInTheirRegions
without "early looks at openings" steerer/flow.go 's.suspect(f.target, "openingSlow", timer.since)' '_ = f' TestCrashedZoneIsAvoidedImmediately
without "checks of neighbours" steerer/health.go 'if noProgress && t.AvailabilityZone' 'if false && noProgress && t.AvailabilityZone' TestCrashedZoneIsAvoidedImmediately
without "doubt of silent zones" steerer/target_selection.go 'if v.suspect {' 'if false {' TestCrashedZoneIsAvoidedImmediately
without "signs of life that end doubt" diagnoser/diagnoser.go 'z.gapCount >= minGaps && z.lastActivity <= since && now' 'z.gapCount >= minGaps && now' TestOneCrashedTargetDoesNotEmptyItsZone
without "distrust of late checks" steerer/health.go '(!s.missingResponsesAreEvidence() || e.Took > lateProbeFactor*h.probeTimeout)' '!s.missingResponsesAreEvidence()' TestLateProbeDoesNotMakeTargetUnreachable
without "word of silent targets" steerer/reports.go 'r.InFlight, r.FastFailing, r.Unreachable = observations.inFlight, observations.fastFailing, observations.unreachable' 'r.InFlight, r.FastFailing = observations.inFlight, observations.fastFailing' TestUnresponsiveTargetsAreReportedToOtherHosts
without "service of a zone that is cut off" steerer/evacuation.go 'return s.isolation.targetsSilent &&' 'return false &&' TestPartitionedEvacuatedZoneUsesItsOwnTargets
without "orders that hold while anything responds" steerer/isolation.go 'i.silent() && s.otherZonesSuspect()' 's.otherZonesSuspect()' TestCrashesElsewhereDoNotOverrideAnOrder
without "the question to the platform" steerer/isolation.go 's.platformReads.targets.urgent = true' '_ = s' TestCrashesElsewhereDoNotOverrideAnOrder
without "orders that hold at hosts that know nobody to ask" steerer/evacuation.go '&& s.otherZonesKnown()' '' TestStartedHostWithoutReportsFollowsAnOrder
without "service that lasts while nothing responds" steerer/isolation.go 'i.targetsSilent = i.targetsSilent ||' 'i.targetsSilent =' TestProgressThroughOtherHostsDoesNotEndIsolation
without "progress that shows nothing" steerer/health.go '	s.diagnoser.ObserveActivity(t.AvailabilityZone, s.now)
	h := &t.health' '	s.diagnoser.ObserveActivity(t.AvailabilityZone, s.now)
	s.recordZoneContact(t.AvailabilityZone, t.ID)
	h := &t.health' TestProgressThroughOtherHostsDoesNotEndIsolation
without "orders that hold with one other zone" steerer/evacuation.go 'return otherZones >= 2' 'return otherZones >= 1' TestEvacuationOrderHoldsWhenOnlyOtherZoneIsLost
without "first reads that allow for transfers" steerer/platformread.go 'return boundedAge(limit, firstReadFraction, remaining)' 'return scale(limit, firstReadFraction) + 0*remaining' TestSettingsReachSlowLinksInTime
without "own reads that allow for transfers" steerer/peersync.go 'return boundedAge(limit, fraction, remaining)' 'return scale(limit, fraction) + 0*remaining' TestSettingsReachSlowLinksInTime

package=evacuator
without "the order of orders" evacuator/evacuator.go 'if !e.orders.Position.Before(orders.Position) {' 'if false {' 'TestOlderOrdersAreIgnored|TestOrdersAgainstOracle'
without "orders that hold from the latest restore on" evacuator/evacuator.go 'e.extendDeadlines(now)' '' TestSecondRestoreRestartsGracePeriod
without "orders that have a revision" evacuator/evacuator.go 'if e.orders.Position.Known() && !orders.Position.Known() {' 'if false {' TestOrdersWithoutRevisionAreIgnored

package=diagnoser
without "patience of late hosts" diagnoser/diagnoser.go 'timeout += lagMultiplier * d.maxLag' 'timeout += 0 * lagMultiplier * d.maxLag' TestSchedulingLagExtendsResponseTimeout
without "what is usual to be heard" diagnoser/diagnoser.go '&& now.Since(since) > z.meanGap' '' TestZoneWithLittleTrafficIsNotSuspect

package=warmer
without "hosts that wait to hear of others" warmer/warmer.go 'if !w.discoveryDeadline.Passed(now) {' 'if false {' TestHostHoldsNoTicketsDuringDiscoveryPeriod
without "pauses between flows" warmer/warmer.go 't.held && t.nextFlowAt.Passed(now)' 't.held' 'TestHolderWaitsBetweenFlows|TestOnlyTicketsStayWithinColdTargetRateLimit'
without "few holders" warmer/warmer.go 'slices.Contains(holdersOf(target, w.hosts, Allocate(limit).Holders), w.self)' 'true' 'TestHolderCountFollowsZoneHosts|TestOnlyTicketsStayWithinColdTargetRateLimit'
without "room for a second set of holders" warmer/warmer.go 'holderSets = 2' 'holderSets = 1' TestTwoSetsOfHoldersStayWithinRateLimit

package=pacer
without "the gradient of the window" pacer/pacer.go 'next := l.window*gradient + windowHeadroom' 'next := l.window + windowHeadroom + 0*gradient' TestPacingKeepsUrgentRequestsOnTimeInSurge
without "room for those that can be in time" pacer/queue.go 'onTime := !r.onTimeDeadline.Passed(now)' 'onTime := true' 'TestPacingKeepsUrgentRequestsOnTimeInSurge|TestLateRequestsYieldToOnTimeRequests'
without "the turn of those that will be late" pacer/queue.go 'if r.agingDeadline.Passed(now) {' 'if false {' TestQueueDelayIsBounded
without "the end of pacing" pacer/pacer.go '(before && l.meanWait > congestionOffThreshold)' 'before' TestNormalLoadIsNotQueued

package=encoder
without "targets in the shape of the release before" messenger/report.go 'Malformed bool' 'Malformed bool; Era uint64' TestTargetsAreCompatibleWithPreviousRelease

package=sequencer
without "eras in the order of positions" sequencer/sequencer.go 'if c := cmp.Compare(p.Era, other.Era); c != 0 {' 'if c := cmp.Compare(p.Era, other.Era); false && c != 0 {' TestPositionsOrderByEraThenRevision
without "whole lists across eras" sequencer/sequencer.go 'return other.Known() && p.Era == other.Era' 'return other.Known()' TestPositionsOrderByEraThenRevision

package=steerer
without "eras before revisions" sequencer/sequencer.go 'if c := cmp.Compare(p.Era, other.Era); c != 0 {' 'if c := cmp.Compare(p.Era, other.Era); false && c != 0 {' 'TestRestoredListIsApplied|TestRandomRestoresAgainstOracle'
without "whole lists of a new era" steerer/peersync.go 'case response.Scope == messenger.ScopeFull, !position.ContinuesFrom(s.targetsPosition):' 'case false:' TestFullListRemovesTargetsOfEndedEra
without "questions after a restore" steerer/peersync.go '|| s.inEndedEra() || behind' '|| behind' TestIsolatedHostLearnsNewEraFromPeers
without "confirmations of this era only" steerer/reports.go '|| r.era < s.platformReads.era {' '{' TestConfirmationsFromEndedEraAreIgnored
without "late answers left out" steerer/platformread.go 'if position.Era < s.platformReads.era {' 'if false {' TestLateReadDoesNotConfirmEndedEra
without "states of this era only" steerer/reports.go 'if seen.Era < s.targetsPosition.Era {' 'if false {' TestReportFromEndedEraIsIgnored
without "dates of a new era" steerer/restore.go 't.seenPosition = s.targetsPosition' '_ = t' TestSyncResponseUsesPositionsOfNewEra
without "doubt of targets that had left" steerer/target_selection.go '|| s.wasDrainingBeforeRestore(t):' ':' 'TestTerminatedTargetRelistedByRestoreGetsNoFlows'
without "drains that a copy lacks" steerer/restore.go 't.restored.wasDraining &&' 'false &&' TestTargetDrainingBeforeRestoreGetsNoFlows
without "doubt of targets that had vanished" steerer/target_selection.go '|| s.missingAcrossRestore(t):' ':' TestTargetMissingBeforeRestoreIsLastResort
without "lapsed targets that serve" steerer/target_selection.go '|| s.wasDrainingBeforeRestore(t):' '|| s.avoidedAfterRestore(t):' TestMissingTargetsListedByRestoreServe
without "first answers of the era before" steerer/platformread.go 'if mayBeStale && position.Era > 0 {' 'if false {' 'TestStaleFirstTargetsReadDoesNotOverrideRestoredList|TestStaleFirstSettingsReadDoesNotEndOrders'
without "what has gone, for hosts of another era" steerer/peersync.go '	for _, t := range targets {
		response.Targets' '	for _, t := range targets {
		if t.missing {
			continue
		}
		response.Targets' TestSyncResponseToOlderReleaseListsMissingTargets
without "lists that have a revision" steerer/targetlist.go '|| (s.targetsPosition.Known() && !list.Position.Known())' '' TestListWithoutRevisionIsIgnored
without "doubt from the latest restore on" steerer/restore.go 'if !t.restored.deadline.Passed(s.now) {' 'if false {' TestSecondRestoreExtendsAvoidance
without "some zone for callers" steerer/target_selection.go 'allEvacuated := ordersApply && s.allZonesEvacuated()' 'allEvacuated := false' TestConflictingOrdersAfterRestoreLeaveOneZone
without "the era in reads" steerer/platformread.go 'Era: s.platformReads.era}' 'Era: 0}' TestStartingHostReadsPlatformWithoutEra
without "a first era that is no restore" steerer/restore.go 'if previous == 0 || lacksState {' 'if lacksState {' TestFirstEraIsNotReportedAsRestore
without "grace for targets that a copy lacks" steerer/targetlist.go 'if !t.missing || t.malformed {' 'if t.missing { return true }; if !t.missing || t.malformed {' TestLiveTargetsAbsentFromBackupKeepServing
without "idle targets that a copy lacks" steerer/targetlist.go 'if s.missingFromBackup(t) {' 'if false {' TestIdleTargetsAbsentFromBackupServe
without "orders that a copy lacks" evacuator/evacuator.go 'case restored:' 'case restored && false:' TestOrderAbsentFromBackupHoldsUntilReissued
without "the end of orders not given again" steerer/steerer.go 's.expireOrders()' '' TestOrderNotReissuedAfterRestoreExpires
without "reads of all that a restore has undone" steerer/restore.go 's.platformReads.targets.urgent = true' '_ = s' TestRestoreFoundBySettingsReadTriggersTargetsRead
without "versions that never go back" steerer/platformread.go 'if s.settings != nil && settings.Version <= s.settings.Version {' 'if false {' TestPublishedVersionNeverGoesBack
package=estimator
without "the wait for what is under way" estimator/estimator.go 'max(float64(inFlight+1-slots), 0)/float64(slots)' '0*float64(inFlight+1-slots)/float64(slots)' TestQueueingDelayIsNotCountedAsSlowdown
without "samples that hold back" estimator/estimator.go 'priorSamples     = 4.0' 'priorSamples     = 0.0' TestLatencyVarianceDoesNotMarkTargetsSlow
without "what was told before" estimator/target.go 't.combined.remove(previous, now)' '_ = previous' TestRepeatedReportIsCountedOnce
without "word of the zone's hosts" estimator/target.go 't.combined.add(mean, weight, now)' '' TestHostsDetectSlowTargetFromSharedReports
without "the zone's part in a sample" estimator/zone.go 'return logSlowdown - z.logSlowdown' 'return logSlowdown' TestSlowdownOfAllTargetsMarksNoneSlow
without "the quick quarter" estimator/zone.go 'zoneQuantile = 0.25' 'zoneQuantile = 0.6' TestHalfSlowTargetsDoNotMakeZoneSlow
without "an end of belief in a zone" estimator/zone.go '&& now.Since(sample.at) < zoneSampleTTL' '&& now.Since(sample.at) < 100*zoneSampleTTL' TestSlowZoneIsDetectedWithinHalfASecond
without "corrections of what waits" estimator/target.go 't.combined.logSlowdown += to - from' '' TestPendingRequestsCountBeforeTheirResponses
without "trials" estimator/trials.go 't.slow && t.combined.weight < trialSampleThreshold' 'false && t.combined.weight < trialSampleThreshold' TestTrialsDetectRecoveredTarget
without "trials that all hosts share" estimator/trials.go 'time.Duration(max(hosts, 1)) * time.Second' 'time.Duration(max(hosts/hosts, 1)) * time.Second' TestTrialRateIsBoundedAcrossHosts
without "memory that ends" estimator/estimator.go 'sampleDecayTime = time.Second' 'sampleDecayTime = 20 * time.Second' 'TestTrialsDetectRecoveredTarget|TestSlowTargetsGetLoadByTheirCapacity'
without "the latest quick words" estimator/fast_failure_reports.go 'r[i].deadline < r[oldest].deadline' 'r[i].deadline > r[oldest].deadline' TestBoundedFastFailureReportsMatchUnboundedCount

package=steerer
without "speed in placement" steerer/target_selection.go 'logSlowdown > 0 {' 'logSlowdown > 1000 {' 'TestSlowTargetGetsFewFlows|TestSlowZoneSpillsOver'
without "the speed of zones" steerer/target_selection.go 's.zoneLogSlowdown(c.service, zone),' '0,' TestSlowZoneSpillsOver
without "word of slow targets" steerer/reports.go 's.applySlowdownReports(p, r.Slowdowns)' '' TestSlowTargetIsReportedWithinItsZone
without "requests that wait too long" steerer/estimates.go 's.recordLatency(f, waited)' '_ = waited' TestHangingTargetIsSlowBeforeItsFirstResponse
without "trials that avoid silent targets" steerer/estimates.go 'case t.health.unreachable(), t.health.suspect, t.reportedUnreachable(s.now), s.failsFast(t):' 'case false:' TestUnresponsiveTargetGetsNoTrial
without "distrust of answers after a pause" steerer/estimates.go '!s.pause.graceDeadline.Passed(s.now) || s.isCold(t)' 's.isCold(t)' TestHostPauseDoesNotMarkTargetsSlow
without "pressure that leaves out slow targets" steerer/service_load.go '|| s.targetOrZoneSlow(f.target) {' '{' TestSlowTargetsDoNotCongestTheirService
without "usual times that leave out slow targets" steerer/estimates.go 'congested || s.targetOrZoneSlow(f.target)' 'congested' TestBaselineIgnoresSlowTargets
without "speed that ends with a life" steerer/target_restart.go 't.slowdownEstimate = estimator.Target{}' '' TestRestartedTargetIsNotSlow
package=limiter
without "what a host has forgotten since it started" limiter/limiter.go 'flows.Estimated = l.estimateForgotten(t, now) + int(unreported+0.5)' 'flows.Estimated = int(unreported + 0.5)' TestRestartedHostEstimatesForgottenFlows
without "what a host told before it started again" limiter/limiter.go 'n := max(reported, l.remaining(int(h.previousFlows[tag]), h.previousSince, now))' 'n := reported' TestFlowsForgottenByRestartedPeerStillCount
without "flows unseen at full targets" limiter/limiter.go 't.unaccounted = max(maxFlows-' 't.unaccounted = 0 * max(maxFlows-' 'TestFullTargetStaysFullUntilFlowsEnd|TestPartitionedHostsStayWithinLimit'
without "growth since others were heard" limiter/limiter.go '+ estimate.Growth*float64(reporters)' '+ 0*estimate.Growth' TestThunderingHerdRarelyHitsFullTargets
without "turns at the last places" limiter/limiter.go 'return int(l.turnHash(tag, now)%uint64(hosts)) < available' 'return true || int(l.turnHash(tag, now)%uint64(hosts)) < available' TestHostsTakeTurnsForLastFreeConnections
without "flows that held no place" limiter/limiter.go 'func (t *TargetFlows) CancelOpened() {' 'func (t *TargetFlows) CancelOpened() { t.recentlyFreed++; t.freedAt = t.openedAt' TestCanceledFlowsFreeNoCapacity
without "the end of hosts that are gone" limiter/limiter.go 'if now.Since(h.reportedAt) > max(l.idleTimeout, timeout) {' 'if false {' TestFlowsOfDeadHostExpire
without "word after a silence" limiter/limiter.go 'h.timedOut, h.partial, h.reportedAt = false, r.Partial, now' 'h.partial, h.reportedAt = r.Partial, now' TestReportAfterTimeoutIsApplied
without "the silence of large zones" limiter/limiter.go 'hostTimeoutPasses*time.Duration(rounds)*ZoneReportInterval' '0*time.Duration(rounds)*ZoneReportInterval' TestHostInLargeZoneDoesNotTimeOutBetweenReports
without "words of a part of the targets" limiter/limiter.go 'case h.partial:' 'case false:' TestPartialReportDoesNotCoverOtherTargets
without "hosts that tell no more" limiter/limiter.go 'if h.sameZone && !h.timedOut && now.Since(h.reportedAt) > timeout {' 'if false {' TestDeadHostsAreNotCountedAsReporters

package=steerer
without "an even spread of connections" steerer/connection_limits.go 'return connectionWeight * float64(flows)' 'return 0 * connectionWeight * float64(flows)' TestIdleTargetIsNotFilledToItsConnectionLimit
without "the bound of connections" steerer/connection_limits.go 'if !admits {' 'if false && !admits {' TestFlowsAreRefusedImmediatelyWhenAllTargetsAreFull
without "brief flows" steerer/connection_reservations.go 'if v.shortLivedRoutes[route.Name] {' 'if false {' TestShortLivedFlowsAreAdmittedBesideLongLivedFlows
without "places for higher priority" steerer/connection_reservations.go 'probeReserve+rank*step' 'probeReserve+0*rank*step' TestConnectionsAreReservedForHigherPriority
without "places for checks" steerer/connection_reservations.go 'probeReserve = 1' 'probeReserve = 0' TestConnectionIsReservedForProbes
without "opening packets that are sent on" steerer/flow.go 's.probeIfPossiblyFull(f)' '_ = f' TestFullTargetIsNotTreatedAsUnreachable
without "checks of targets just found full" steerer/redispatch.go 't.health.probeDeadline = s.now' '_ = s.now' TestTargetRecentlyFoundFullIsReprobedImmediately
without "memory of targets found full" steerer/redispatch.go 'return f.openingResentByCaller || f.target.foundFullBefore(f.openingSentAt)' 'return f.openingResentByCaller' TestTargetRecentlyFoundFullIsReprobedImmediately
without "openings left to full targets that may have taken them" steerer/redispatch.go 'if f.certainlyNotAccepted() {' 'if f.certainlyNotAccepted() || true {' TestFlowEstablishedThroughAnotherHostIsNotRedispatched
without "copies that go back unless a target was found full" steerer/redispatch.go '!f.established && f.target.foundFullBefore(s.now)' '!f.established' TestRetransmittedOpeningGoesToFirstTargetIfItResponds
without "the end of idle flows" steerer/flow.go 'if f.lastPacket.Add(retention).Passed(s.now) {' 'if f.closed && f.lastPacket.Add(retention).Passed(s.now) {' TestFlowsThatEndWithoutAPacketExpire
without "word of full zones" steerer/reports.go 's.addLocalZoneFlows(r)' '_ = r' TestZonesShareFlowCounts
without "targets with flows first in a report" steerer/flow_reports.go 's.connections.limiter.UsedTargets(relevantTags)' 'relevantTags' TestEveryHostOfALargeZoneLearnsAllFlowCounts
without "openings sent on by the route of today" steerer/redispatch.go 'if !ok || route.pickService' 'route = f.route; if false && !ok || false && route.pickService' TestRedispatchUsesCurrentRoute
without "openings sent on bit by bit" steerer/redispatch.go 'c.redispatchesThisTick < maxRedispatchesPerTick' 'true' TestRedispatchesAreSpreadOverTicks
without "flows that were found open" steerer/connection_reservations.go 'f.placedHere = !f.established' 'f.placedHere = true' TestConnectionCountsAreSymmetric
without "closed flows that take no place" steerer/forwarding.go 'if !f.closed {' 'if true {' TestConnectionCountsAreSymmetric
without "trials where there is room" steerer/estimates.go 's.connectionLoad(t, constraint); !available {' 's.connectionLoad(t, constraint); false && !available {' TestTrialsSkipFullTargets
without "a place for checks at small bounds" steerer/connection_reservations.go 'max(v.limit/maxReserveDivisor, probeReserve), v.limit-1)' 'v.limit/maxReserveDivisor)' TestSmallLimitsReserveAConnectionForProbes
without "uses of bounded services alone" steerer/connection_reservations.go 'if s.settings.service(service).MaxConnections <= 0 {' 'if false {' TestUsageOfRemovedRoutesIsForgotten
without "the end of uses" steerer/connection_limits.go 'delete(c.routeUsage, name)' '_ = name' TestRemovedConnectionLimitLeavesNoState
without "word of known services alone" steerer/flow_reports.go 'if d.OpenFlows > 0 && known {' '_ = known; if d.OpenFlows > 0 {' TestFlowReportsOfUnknownServicesAreIgnored
without "word of flows" steerer/reports.go 'r.OpenFlows = s.flowsForReport(to)' '_ = s.flowsForReport(to)' TestHostsShareFlowCounts
package=admitter
without "repeats told from first tries" admitter/admitter.go 'requested.New[i] /= attemptsPerCaller(a.meanRatios[i])' 'requested.New[i] /= 1 + 0*attemptsPerCaller(a.meanRatios[i])' TestRetriesDoNotCountAsDemand
without "answers that overrule the estimate" admitter/admitter.go 'a.wait >= minRefusalWait && a.demand' 'a.demand' TestIdleTargetsAdmitAll
without "the order of priorities" admitter/admitter.go 'capacity -= demand.New[i]' '_ = capacity' 'TestAdmitRatiosFitCapacity|TestSurgeAfterTargetLossServesUrgentFirst'
without "the correction of the room" admitter/admitter.go 'a.correction = min(max(next, minCorrection), maxCorrection)' '_ = next' TestWaitsCorrectCapacity
without "the mean over the hosts of a zone" admitter/admitter.go 'sum.Times(float64(max(a.state.ZoneHosts, count)) / float64(count))' 'sum.Times(1)' TestLargeFleetConvergesWithSmallFanout
without "no room before a higher priority" admitter/admitter.go 'case capacity > 0:' 'default:' 'TestUnmeteredLowPriorityIsNotAdmittedFirst|TestAdmitRatiosFitCapacity'
without "sums that don't depend on order" admitter/admitter.go 'sum := a.localMeter.demand(now).Plus(reported.demand())' 'sum := a.localMeter.demand(now)
	for _, w := range a.hostReports {
		sum = sum.Plus(w.demand)
	}' TestDemandSumsAreOrderIndependent

package=steerer
without "refusals when nothing is left" steerer/admission.go 'case noCapacityLeft && a.MayShutOut():' 'case false && noCapacityLeft:' TestLowPriorityIsRefusedWhenHigherPrioritiesTakeAllCapacity
without "the own window of hosts out of touch" steerer/capacity.go 'HasPeerReports: visibility.connected()}' 'HasPeerReports: true}' TestIsolatedHostFallsBackToItsOwnWindow
without "shares at the only host of a zone" steerer/capacity.go 'HasPeerReports: visibility.connected()}' 'HasPeerReports: visibility.peerReporting}' TestOnlyHostOfAZoneSharesCapacityWithOtherZones
without "neighbours that are out of touch" steerer/capacity.go '(!r.zoneHasPeers && len(r.recentZones) > 0)' 'len(r.recentZones) > 0' TestIsolatedHostFallsBackToItsOwnWindow
without "demand of other zones" steerer/demand.go 'v.capacity.admitter.ApplyZoneReport(from.zone, decodeDemand(reported), s.now)' '_ = decodeDemand(reported)' TestDemandIncludesOtherZones
without "demand in reports" steerer/demand.go 'if !a.ShouldReport() {' 'if true || !a.ShouldReport() {' TestDemandIsReportedAboveHalfOfCapacity
without "what can't run again where nothing is left" steerer/admission.go 'case noCapacityLeft && a.MayShutOut():' 'case noCapacityLeft && a.MayShutOut() && route.Kind.retryable():' TestNonRetryableRequestsDoNotBypassHigherPriorities
without "work that is not known" steerer/capacity.go 'case v.capacity.overallProcessingTime.known():' 'case false:' TestUnknownProcessingTimeDefaultsToThatOfTheService
without "words of flows left out" steerer/demand.go 'len(reported.ByPriority) == 0 || ' '' TestFlowCountReportDoesNotClearDemand
without "word of hosts without callers" steerer/demand.go 'if len(encoded.ByPriority) == 0 {' 'if false {' TestIdleHostReportsZeroDemand
without "an end of what is known of past routes" steerer/platformread.go '	s.forgetProcessingTimes(settings)' '' TestProcessingTimesOfRemovedRoutesAreDropped
without "a bound on what zones are told of flows" steerer/flow_reports.go 'len(r.ZoneDemands) >= maxReportedDemands' 'false' TestZoneFlowsFitIntoOneReport
without "first answers that count alike" steerer/median.go 'distorted && u.known()' 'distorted' TestFirstSampleUnderLoadDoesNotDominateMedian
package=steerer
without "callers' shares" steerer/admission.go 'if s.refuseThrottled(p, route, service) {' 'if false && s.refuseThrottled(p, route, service) {' 'TestHeaviestCallerIsRefusedFirst|TestQuotaIsDividedAmongTheHostsOfAZone'
without "shares only while room is short" steerer/throttling.go 'Overloaded: s.overloadedOrCongested(service)}' 'Overloaded: true || s.overloadedOrCongested(service)}' TestSharesEndWithOverload
without "quotas over a zone" steerer/steerer.go '	s.divideQuotas()
' '' TestQuotaIsDividedAmongTheHostsOfAZone
without "requests of open flows in quotas" steerer/forwarding.go 's.chargeQuota(p, f)' '_ = p' TestRequestsOfOpenFlowsCountTowardsQuota

package=steerer
without "hosts by zone" steerer/peerzones.go 'z.byZone[p.zone] = slices.DeleteFunc' '_ = slices.DeleteFunc' TestPeerZonesMatchPeers
without "hosts that leave their zone" steerer/peerzones.go 'if p.shuttingDown != shuttingDown {
		z.generation++' 'if p.shuttingDown != shuttingDown {
		z.generation += 0' TestShutdownOfPeerChangesGeneration
without "targets of the own zone first" steerer/target_table.go 'if one.AvailabilityZone != t.sameZone {' 'if true {' TestSameZoneTargetsComeFirst
without "news worked out at each event" steerer/steerer.go 's.ownReport.valid = false' '_ = s.ownReport.valid' 'TestUnresponsiveTargetsAreReportedToOtherHosts|TestFastFailuresAreReportedWithinTheZone'

package=throttler
without "max-min fairness" throttler/throttler.go 'decision.Refused = decision.ForwardedRate >= max(' 'decision.Refused = false && decision.ForwardedRate >= max(' 'TestRetryLoopDoesNotStarveOtherCallers|TestRotatingAddressesShareOnePrefixAllocation'
without "weights" throttler/table.go '	if c.hasHistory {
		return c.weight' '	if c.hasHistory {
		return minWeight' 'TestCallersBehindNATGetMoreThanOneShare|TestEqualDemandIsServedEqually'
without "weights that stay in a shortage" throttler/throttler.go 'return s.weightFreezeDeadline.Passed(now)' 'return true || s.weightFreezeDeadline.Passed(now)' TestRotatingAddressesShareOnePrefixAllocation
without "prefixes of new addresses" throttler/throttler.go 'if known, ok := s.addresses.callers.Get(key); ok {' 'if known := s.addresses.getOrCreate(key, now); known != nil {' 'TestRotatingAddressesShareOnePrefixAllocation|TestOneTimeAddressesDoNotEvictOthers'
without "shares that grow again" throttler/throttler.go 'a.sharePerWeight *= shareGrowth' 'a.sharePerWeight *= 1' TestRetryLoopDoesNotStarveOtherCallers
without "crowds that ask alike" throttler/table.go 'return other.rate*d.weight > excessFactor*d.rate*other.weight' 'return true' TestCallersMovedFromFailedZoneAreServedEqually
without "unknown callers that ask for much more together" throttler/table.go '|| (!c.hasHistory &&' '|| (false && !c.hasHistory &&' TestOneTimeAddressesDoNotEvictOthers
without "the weight of those who come from elsewhere" throttler/table.go 'a.newcomerWeight = max(sum/divisor, minWeight)' 'a.newcomerWeight = minWeight + 0*sum/divisor' TestCallersMovedFromFailedZoneAreServedEqually
without "room for all" throttler/throttler.go 'if refused < negligibleRate {' 'if false && refused < negligibleRate {' TestNothingIsThrottledWithinCapacity
without "bounded services" throttler/throttler.go 'maxServices = 64' 'maxServices = 640' TestCallerTablesAreBounded
without "bounded callers" throttler/throttler.go 'maxAddresses = 512' 'maxAddresses = 51200' TestCallerTablesAreBounded
without "a bound on a quota's debt" throttler/quota.go '&& b.limiter.TokensAt(limiterTime(now)) > -float64(burst) {' '&& burst > 0 {' TestQuotaDebtOfOpenFlowsIsBounded
without "a host's part of a quota" throttler/quota.go 'b.quota.PerSecond / float64(b.hosts)' 'b.quota.PerSecond' TestQuotaIsDividedAmongZoneHosts
without "quotas of a prefix" throttler/quota.go 'return !q.Prefix.IsValid() || q.Prefix.Contains(caller.Unmap())' 'return true' TestQuotasLimitOnlyMatchingRequests

package=steerer
without "times from the end of a request" steerer/forwarding.go 'f.lastData = s.now' '_ = f.lastData' TestSlowUploadsDoNotMarkTargetsSlow
without "pauses of callers who upload" steerer/estimates.go 'if f.route.Kind == KindUpload {' 'if false {' TestSlowUploadsDoNotMarkTargetsSlow

package=throttler
without "long flows of calm times" throttler/throttler.go 's.addresses.updateWeights(s.weightFreezeDeadline, now)' '_ = now' TestLongFlowsOpenedBeforeOverloadAddWeight
without "weights of calm times only" throttler/table.go 'max(c.updatedAt, weightFreezeDeadline)' 'max(c.updatedAt, 0*weightFreezeDeadline)' TestWeightsDoNotGrowDuringOverload

package=steerer
without "ends where flows began" steerer/throttling.go 'Service: f.callerCountedAt.name}
	f.callerCountedAt' 'Service: f.target.Service}
	f.callerCountedAt' TestFlowEndIsCountedForItsOriginalService
without "requests that wait here in quotas" steerer/forwarding.go '	s.chargeQuota(p, f)
	if s.enqueue(key, f, p) {
		return true
	}
' '	if s.enqueue(key, f, p) {
		return true
	}
	s.chargeQuota(p, f)
' TestQueuedRequestsCountTowardsQuota
without "quotas before shares" steerer/throttling.go 's.counters.add(RefusedCallerQuota)' 's.counters.add(RefusedCallerQuota)
		s.throttler.Check(throttler.Request{Caller: p.Caller.Addr(), Service: service, Overloaded: s.overloadedOrCongested(service)}, s.now)' TestQuotaRefusalsAreNotUnmetDemand
without "no trials while requests wait" steerer/estimates.go 's.service(c.service).queued > 0' 'false' TestNoTrialsWhileRequestsAreQueued
without "trials of slow targets" steerer/estimates.go 'if c.avoid != nil || ' 'if true || c.avoid != nil || ' TestSlowTargetGetsTrials
without "trials that obey orders and regions" steerer/estimates.go 'case s.exclusionOf(t, views) != notExcluded, !s.warmUpAllows(t):' 'case false:' TestDrainingTargetGetsNoTrial
without "trials in regions" steerer/estimates.go 'case s.exclusionOf(t, views) != notExcluded, !s.warmUpAllows(t):' 'case false:' TestTargetOfAnotherRegionGetsNoTrial
without "trials in evacuated zones" steerer/estimates.go 'case s.exclusionOf(t, views) != notExcluded, !s.warmUpAllows(t):' 'case false:' TestTargetOfAnEvacuatedZoneGetsNoTrial
without "trials of targets that are not busy" steerer/estimates.go 'return t.inFlightPerSlot() < 1' 'return true' TestBusyTargetGetsNoTrial
without "an end to what is known of zones" steerer/estimates.go 'return z.NoData()' 'return false' TestZoneEstimatesOfUnusedServicesExpire
without "one turn a round" steerer/estimates.go 'if s.slowdowns.roundDeadline.Passed(s.now) {' 'if true {' TestReportsOfARoundCoverTheSameTargets
without "trials by service" steerer/estimates.go 's.service(c.service).trials.Allow()' 's.service("").trials.Allow()' TestTrialsAreCountedPerService
without "targets whose digest changed" steerer/digest.go 't.digestSum += next - tgt.digest' 't.digestSum = next' TestDigestMatchesFullRecomputation
without "targets whose slots changed" steerer/slots.go '	for _, t := range s.targets.slotsStale {
		t.slotsStale = false
		s.recountTarget(t)
	}' '	for _, t := range s.targets.slotsStale {
		t.slotsStale = false
	}' TestLargeServiceIsRecountedInBatches
without "slots counted in turn" steerer/slots.go 'sum.nextIndex += step' 'sum.nextIndex += 0' TestSlotTotalsFollowWarmUpWithinOneCycle
without "services with plenty of connections" steerer/connection_limits.go 'if previous == nil && s.clearlyUnconstrained(service) {' 'if false {' TestTargetsAreNotScannedWhenConnectionsAreNotScarce
without "services that fill" steerer/connection_limits.go 'return unconstrained(1+s.alivePeers(), all) && unconstrained(s.aliveInZone(), sameZone)' '_, _, _ = unconstrained, all, sameZone
	return true' TestServiceRunningOutOfConnectionsIsScanned
without "choices by sample" steerer/target_selection.go 'if t := s.chooseSampled(&c, views, constraint); t != nil {' 'if t := s.chooseSampled(&c, views, constraint); t != nil && false {' TestSamplingVisitsFewOfManyIdleTargets
without "a look at all where sampled ones are busy" steerer/sampling.go 'bestLoad := limit' 'bestLoad := 1000 + 0*limit' TestAllTargetsAreScannedWhenSampledTargetsAreBusy
without "targets in use apart from all" steerer/targets_in_use.go '	return s.targets.inUse
' '	return s.targets.ordered()
' TestCostPerSecondDoesNotGrowWithFleet
without "one count of the living a round" steerer/peers.go 'counts.deadline = s.now.Add(reportInterval)' 'counts.deadline = s.now' TestCostPerSecondDoesNotGrowWithFleet
without "the pace of news" steerer/peers.go 'now = now.Add(maxRoundAdvance)' 'return true' TestSteadyChangesDoNotRaiseReportRate
without "news at once" steerer/peers.go 'now = now.Add(maxRoundAdvance)' 'now = now.Add(0 * maxRoundAdvance)' TestSingleChangeIsReportedImmediately
without "the beginning of what is listed" steerer/history.go 'h.completeSince = h.completeSince.Later(old.seen)' '_ = old' TestHistoryCoversOnlyWhatIsComplete
without "answers from the history" steerer/peersync.go 'if s.targetsPosition.ContinuesFrom(position) && s.targets.history.covers(position) {' 'if false {' TestSyncResponseCostFollowsChanges
without "whole lists of hosts that started later" steerer/peersync.go ' && s.targets.history.covers(position) {' ' {' 'TestSyncResponseIsFullIfHistoryStartsAfterRequest|TestSyncResponseIsFullAfterMissingTargetExpired'
without "lists that end with what they lack" steerer/peersync.go 'case response.Scope == messenger.ScopeFull, ' 'case ' TestSyncResponseIsFullIfHistoryStartsAfterRequest
without "the end of what is known of forgotten targets" steerer/target_table.go 't.history.completeSince = t.history.completeSince.Later(removed.seenPosition)' '' TestSyncResponseIsFullAfterMissingTargetExpired
without "checks that are reset" steerer/health.go '	case ProbeReset:
' '	case ProbeReset:
		s.markUnreachable(t, e)
' TestResetProbeDoesNotMakeTargetUnreachable
without "patience after what was awaited" steerer/peersync.go 'case reached || sync.awaitedSince == 0:' 'case (false && reached) || sync.awaitedSince == 0:' TestSyncRequestRateIsBoundedWhileTargetsChange
without "digests as of a position" steerer/digest.go 'if position.Before(entry.seen) {' 'if false {' TestDigestAtExcludesLaterChanges
without "agreement as of a position" steerer/reports.go 'return (known && localDigest == digest) || ' 'return (false && known && localDigest == digest) || ' TestReleaseDoesNotMakeAllHostsRead
without "reads of changes alone" steerer/targetlist.go '	if list.Since.Known() {
		s.applyTargetChanges(list)
		return
	}
' '' TestCostOfIncrementalListFollowsChanges
without "changes upon what they follow" steerer/targetlist.go 'if !s.targetsPosition.ContinuesFrom(list.Since) || s.targetsPosition.Before(list.Since) {' 'if false {' TestIncrementalListIsAppliedOnlyToItsBase
without "tags that pass on" steerer/targetlist.go '	s.targets.handOverTag(t)
' '' TestTagOfMissingTargetIsReassigned
without "zones that have fallen silent" steerer/peers.go '|| lost[p.zone] {' '|| (false && lost[p.zone]) {' TestHostsOfLostZoneDoNotCountForRank
without "doubt of answers of an earlier release" steerer/peersync.go '		return // The response may be incomplete; a later read fills the gap.' '		s.targetsPosition = position' TestSyncResponseWithoutScopeIsNotTreatedAsComplete
without "the end of counts of forgotten targets" steerer/target_table.go 'if removed.slotsStale {' 'if false {' TestRemovedTargetsAreNotRecounted

wait
failed=0
for number in $(seq "$started"); do
	cat "$work/$number.result"
	grep -q '^ok ' "$work/$number.result" || failed=$((failed + 1))
done
echo "$((started - failed)) passed, $failed failed"
test "$failed" -eq 0
