#!/usr/bin/env bash
# Shows that each proof fails without the mechanism that it proves: takes one
# mechanism at a time out of a copy of the core and expects the test to fail.
# docs/PROOFS.md lists the pairs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# package is where the tests of the mechanisms below it are.
package=reducer
# started counts the pairs, each of which runs in a copy of its own, some at a time.
started=0
atOnce=$(nproc)

# without WHAT FILE SEARCH REPLACE TEST: SEARCH is a literal line part.
without() {
	started=$((started + 1))
	while [ "$(jobs -rp | wc -l)" -ge "$atOnce" ]; do
		wait -n || true
	done
	takeOut "$work/$started" "$package" "$@" >"$work/$started.result" 2>&1 &
}

# takeOut COPY PACKAGE WHAT FILE SEARCH REPLACE TEST: runs one pair and prints a line that
# begins with "ok" or "FAIL".
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
without "copies of exceptions" reducer/exceptions.go 'if r.copyTokens < flowRecordBytes ||' 'if true ||' TestSuccessorKnowsExceptions
without "the quarantine of addresses" reducer/target.go 'addressQuarantine = 18 * time.Second' 'addressQuarantine = 0 * time.Second' TestNoPacketCrossesServices
without "the check of an answer's sender" reducer/route.go '|| !s.acceptsResponsesFrom(e.Target, r.addressUses) {' '{' TestResponsesFromUnknownTargetsDropped
without "the return address" reducer/answer.go 'r.deliverToCaller(in)
		return
	}
	if in.packet' 'return
	}
	if in.packet' TestResponseReachesCallerAfterOwnerFailure
without "memory of given-up requests" reducer/answer.go 'r.count(DropLateAnswer)
	}
}' 'r.deliverToCaller(in)
	}
}

// answerToEarlier' 'TestLateResponseNotDeliveredToNextUserOfPort|TestLateResponseNotMatchedToLaterRequest'
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
without "the handover before the end" reducer/leaving.go 'if r.settings == nil || !r.joining.ready {
		r.finishLeaving()' 'if true {
		r.finishLeaving()' TestGracefulShutdownLosesNoRequests
without "votes that are left behind" reducer/handover.go 'chunk.Votes, chunk.DeniedRecipients = r.detector.ReleaseVotes(to, h.leaving)' 'r.detector.ReleaseVotes(to, h.leaving)' TestGracefulShutdownLosesNoRequests
without "votes that count at once" detector/votes.go 'return !v.refuses(d.self, d.incarnation)' 'return v.countsAgainstFrom.Passed(d.now)' TestRollingReplacementRefusesNothing
without "the way around a broken link" reducer/witness.go 'if r.detector.State(peer).Liveness == messenger.LivenessAlive {' 'if true {' TestSingleLinkFailureInCellRefusesNothing
without "the limit of a tenant" reducer/dispatch.go 'if r.tenantInFlight[tenant] >= policy.MaxTenantInFlight {' 'if r.tenantInFlight[tenant] < 0 {' TestTenantCannotTakeAllSlots
without "shedding what would be late" reducer/dispatch.go 'case r.now.Add(t.expectedWait(r.now)) >= q.deadline:' 'case false:' TestRequestThatWouldMissDeadlineRefusedImmediately
without "the comparison of revisions" reducer/adoption.go 'if revision <= r.Revision() ||' 'if revision == r.Revision() ||' TestRevisionReachesAllHostsAndIsNeverReverted
without "learning settings from peers" reducer/adoption.go 'if host == "" || highest' 'if true || host == "" || highest' TestRevisionReachesAllHostsAndIsNeverReverted
without "asking other hosts at the start" reducer/adoption.go 'if len(r.seedHosts) == 0 ||' 'if true ||' TestRevisionReachesAllHostsAndIsNeverReverted
without "few watchers" reducer/adoption.go 'watch := !ok || watchersAhead < watchersPerZone' 'watch := !ok || watchersAhead >= 0' TestOnlyWatchersReadPlatform
without "a fallback that keeps nothing" reducer/request.go 'if role == roleFallback {' 'if false {' TestHostWithoutPeersReleasesTargetSlots
without "the wait for other hosts" reducer/joining.go 'if r.startedAt.Add(peerDiscoveryTimeout).Passed(r.now) {' 'if true {' TestStartingHostAcceptsNoPacketsBeforePeerDiscovery
without "what successors hold for others" reducer/handover.go 'if !r.isKnownUnsent(id, body.WitnessedIdentities) {' 'if true {' TestUnsentRequestRunsDespiteWitnessedIdentity

package=steerer
without "the target's tag" steerer/steering.go 'to, ok := s.targets.byTag[p.Tag]' 'to, ok := s.choose(choice{service: "ledger", hash: key.hash()}), true' 'TestFlowStaysOnItsTargetAtAnyHost|TestFleetAgainstOracle'
without "copies to a target that lives" steerer/steering.go 'f.target.health.lastProgress > f.openedAt' 'f.target.health.lastProgress > f.openedAt.Add(1<<60)' TestCopyOfAnOpeningPacketStaysWithATargetThatLives
without "copies away from a silent target" steerer/steering.go 'if stays && f.target.health' 'if stays || f.target.health' TestCopyOfAnOpeningPacketAvoidsASilentTarget
without "distrust after a pause" steerer/health.go 'return s.pause.trustDeadline.Passed(s.now) &&' 'return true || s.pause.trustDeadline.Passed(s.now) &&' TestHostThatStoodStillBlamesNobody
without "progress over a check that hangs" steerer/health.go 'h.lastProgress.Add(e.Took) > s.now' 'false' TestTargetThatMakesProgressIsNotGivenUp
without "resets of what may run again only" steerer/health.go '!f.waiting && f.paced == nil || !f.route.Kind.repeatable()' '!f.waiting && f.paced == nil' TestSilentTargetsReadsAreReset
without "the highest version" steerer/reading.go 'if s.settings != nil && settings.Version <= s.settings.Version {' 'if false {' TestSettingsNeverGoBack
without "flows to targets whose entries lapsed" steerer/listing.go 'return !lapsing || !lives' '_, _ = lapsing, lives
	return true' TestVanishedEntriesOfLiveTargetsStillGetFlows
without "the end of that" steerer/listing.go 'return !lapsing || !lives' '_ = lapsing
	return !lives' TestTargetThatStaysMissingIsGone
without "ranks among readers" steerer/reading.go 'rank := s.rank()' 'rank := 0' TestReadsDoNotGrowWithTheFleet
without "reads of its own at the latest" steerer/reading.go 'return min(firstPatience(within, transfer)+time.Duration(rank)*readRankStep, latest)' '_, _ = latest, rank
	return firstPatience(within, transfer) + time.Hour' TestEachSideOfACutReads
without "questions to other hosts" steerer/asking.go 'if s.awaitsFirstReads() || s.asking.asked || !s.asking.deadline.Passed(s.now) {' 'if true {' 'TestHostsThatStartWhileThePlatformIsDown|TestVersionReachesHostsThatAreTurnedAway'
without "the delay of the end" steerer/leaving.go 'if !l.begun || l.ended || !l.earliest.Passed(s.now) {' 'if !l.begun || l.ended {' TestLeavingHostPassesPacketsOnUntilTheFabricHasNoticed
without "only removed routes" steerer/steering.go 'if !routed && s.removed[p.Service] {' 'if !routed {' TestOpenFlowOfAnUnknownRouteGoesOn
without "load of flows that have not opened" steerer/target.go 't.busy + t.opening + t.peersBusy' 't.busy + t.peersBusy' TestCrashedTargetDoesNotAttractFlows
without "changes told by turns" steerer/changes.go 'one.told++
		c.insert(one)' '*c = slices.Insert(*c, 0, one)' TestManyChangesAtOnceSpreadInReports
without "questions at random" steerer/asking.go 'near[s.random.IntN(len(near))]' 'near[0]' TestQuestionsAreSpreadOverThoseWhoKnow
without "the notice of refusals" steerer/flow.go 'if f.target.health.lastProgress <= check.since {
			s.suspect(f.target, "openingSlow", check.since)
		}
		s.checkFull(f)
	})
	s.opening.eachDue(s.now, func(check flowCheck) {
		f := s.flows[check.key]
		if f == nil || f.opened || f.copied || f.lastPacket != f.openedAt {
			return
		}
		s.noteStall(f.target, "openingRefused", f.openedAt)' '	s.checkFull(f)
	})
	s.opening.eachDue(s.now, func(check flowCheck) {
		f := s.flows[check.key]
		if f == nil || f.opened || f.copied || f.lastPacket != f.openedAt {
			return
		}' TestTargetThatRefusesFlowsIsNoticed
without "packets kept until the first read" steerer/holding.go 'if len(s.held) == maxHeld {' 'if true {' TestPacketsThatComeBeforeTheFirstReadAreKept
without "one of a kept packet's repeats" steerer/holding.go 'if s.held[i].packet.sameWork(p) {' 'if false {' TestRepeatsOfAKeptPacketAreNotKept
without "a bound on how long packets are kept" steerer/holding.go 'if late {' 'if false {' TestPacketsAreNotKeptForLong
without "distrust of a slow path" steerer/health.go '!s.path.slow(s.now) && ' '' TestSlowPathBlamesNobody
without "distrust of a full link" steerer/health.go '!s.path.slow(s.now) && ' '' TestFullLinkBlamesNobody
without "copies that tell nothing of the path" steerer/path.go 'if f.copied {' 'if false {' TestCopiesOfOpeningPacketsDoNotMakeThePathSlow
without "routes that stay as they were" steerer/reading.go 'settings = settings.keeping(s.settings)' '' TestRouteThatCannotBeReadStaysAsItWas
without "the notice of quick answers" steerer/choosing.go 'if s.failsWork(t) {' 'if false {' TestTargetThatFailsAtOnceGetsFewFlows
without "word of quick answers" steerer/reports.go 's.takeTooQuick(p, r.FastFailing)' '' TestQuickAnswersAreToldToTheZonesHosts
without "large links before small ones" steerer/peers.go 'return p.link > s.config.LinkBytesPerSecond' '' TestHostsWithLargeLinksRead
without "questions for targets that are gone" steerer/asking.go 'p = s.goneInformant()' 'p = nil' TestHostThatStartsLearnsOfTargetsThatAreGone
without "what is usual on the path" steerer/path.go 'openingGrowth*s.path.opening.median' '0' TestFarCallersDoNotMakeThePathSlow
without "the end of what was believed of an earlier life" steerer/listing.go 'if reborn {' 'if reborn && from == "" {' 'TestTargetThatStartsAgainIsUsedAtOnce|TestRequestsOfAnEarlierLifeAreNoLoad|TestRestartIsKnownOnEveryHost'
without "the repeat to the new life" steerer/life.go 'if f.waiting && len(f.request) > 0 {' 'if false {' TestRequestThatWaitsIsRepeatedToTheNewLife
without "the life of a check" steerer/health.go '|| t.Born != e.Born' '' TestCheckOfAnEarlierLifeSaysNothing
without "lives before revisions" steerer/life.go 'if born != t.Born {' 'if false {' TestLaterLifeHoldsOverALaterRevision
without "the life that a host's word is about" steerer/reports.go 'if !ok || p.position.Before(t.bornAt) {' 'if !ok {' TestWordOfAHostThatMissedTheRestartCountsForNothing
without "targets that leave a service" steerer/table.go 't.list(one, one.Service)' 'if one.listedUnder == "" { t.list(one, one.Service) }' TestTargetThatStartsAgainInAnotherService
without "no flows for spoilt entries" steerer/listing.go 'if !t.missing || t.unreadable {' 'if !t.missing {' TestTargetWhoseEntryIsSpoiltKeepsItsFlowsAndGetsNoOthers
without "one line for each change of an entry" steerer/foreign.go 'if !s.malformed[entry.Digest] {' 'if !s.malformed[0] {' TestEntryIsLoggedOnceThoughListsAreReadWhole
without "one holder for each tag" steerer/table.go 'if !holder.missing {' 'if false {' TestEntryWithTheNumberOfAnotherGetsNoFlows
without "requests that wait" steerer/pacing.go 'if !s.mayPace(f, v) {' 'if true {' 'TestFeedWaitsWhileItsServiceIsPressed|TestNewFeedIsRefusedWhileOthersWait'
without "the bound on a wait" pacer/line.go 'return r.forcedDeadline.Passed(now)' 'return false' TestPacedRequestIsPassedOnWhileItsCallerHasTime
without "repeats that wait, too" steerer/steering.go 'if f.paced != nil && s.pacedPacket(f, p) {' 'if false {' TestRepeatsOfAPacedRequestAreNotPassedOn
without "refusals while others wait" steerer/admitting.go 'return v.load.Congested() && s.waitingBeside(v, to) > 0' 'return false' TestNewFeedIsRefusedWhileOthersWait
without "refusals only for who waits beside" steerer/admitting.go 'if s.slowness(t) <= most {' 'if true || s.slowness(t) <= most {' TestWaitForSlowTargetsRefusesNobody
without "the end of a request whose caller has gone" steerer/flow.go 'func (s *Steerer) close(key flowKey, f *flow) {
	s.dropPaced(f)' 'func (s *Steerer) close(key flowKey, f *flow) {' TestPacedRequestOfACallerThatHasGoneIsDropped
without "what waits at a host that leaves" steerer/leaving.go 's.passAllPaced(t, "leaving")' '_ = t' TestLeavingHostPassesOnWhatWaits
without "resets of what waits for a silent target" steerer/health.go '!f.waiting && f.paced == nil' '!f.waiting' TestPacedRequestOfASilentTargetIsReset
without "resets of what waits for a removed route" steerer/pacing.go 'if s.removed[r.key.service] {' 'if false {' TestPacedRequestOfARemovedRouteIsReset
without "the end of counts nobody else ends" steerer/load.go 'f.waitingSince == check.since {' 'false {' TestUnseenResetsDoNotHoldUpOthers
without "refusals that are no failures" steerer/estimating.go 'quick && !pressed' 'quick' TestRefusalsOfAPressedServiceAreNoFailures
without "distrust of what waited during a pause" steerer/steering.go 'if s.stale(p) {' 'if false {' TestHostThatStoodStillPassesNothingOldOn
without "distrust of load after a pause" steerer/load.go '|| !s.pause.trustDeadline.Passed(s.now) ||' '||' TestPausedHostDoesNotTakeItsOwnDelayForLoad
without "one question at a time" steerer/asking.go '|| s.asking.asked || !s.asking' '|| !s.asking' TestOneQuestionIsUnderWayAtATime
without "patience with other hosts" steerer/asking.go 'share := behindShare + behindSpread*s.ownPart()' 'share := 0.1 + 0*s.ownPart()' TestChangeIsAskedOfOtherHosts
without "pauses that grow with the fleet" steerer/reading.go 'max(src.backoff, fleetPause)' 'src.backoff+0*fleetPause' TestOutageIsNotAskedAboutByAllHosts
without "first reads that may be stale" steerer/reading.go '&ReadSettings{ReadOptions{MayBeStale: settings.unread(), Era: s.reading.era}}' '&ReadSettings{}' TestFirstReadsMayBeStaleAndOneHostBringsThemUpToDate
without "distrust during transfers" steerer/path.go 'if rate > 0 && float64(max(received, sent))' 'if rate < 0 && float64(max(received, sent))' TestTransferOfTheHostItselfBlamesNobody
without "open flows before the settings" steerer/holding.go 'if !ok || p.opens() || !s.targetsPosition.Known() {' 'if true || !ok {' TestOpenFlowsDoNotWaitForSettings
without "reports that stay in the zone" steerer/peers.go 'nearFanout   = 3' 'nearFanout   = 0' TestMostReportsOfALargeFleetStayInTheirZone
without "ages of what is told of hosts" steerer/reports.go 'time.Duration(r.HostAgeTenths[i]) * hintAgeUnit' '0 * time.Duration(r.HostAgeTenths[i])' TestHostsThatDieInLivingZonesAreKnownToBeGone
without "first lists as no news" steerer/listing.go 'if s.targetsPosition.Known() {
		s.noteChange' 'if true {
		s.noteChange' TestFirstListIsNoNews
without "targets before settings" steerer/reading.go '&& !s.targetsFirst() {' '{' TestTargetsAreReadBeforeTheSettings
without "numbers of reads" steerer/reading.go 'moment := src.earliest(c.read, c.moment)' 'moment := c.moment' TestKnowledgeAgesWhileNobodyReads
without "orders to evacuate zones" steerer/choosing.go 'case view.evacuated:' 'case false && view.evacuated:' 'TestEvacuatedZoneGetsNoNewFlows|TestOrdersHoldUnderFaults'
without "copies that obey orders" steerer/steering.go 's.excluded(f.target, s.views(c)) == notExcluded' 'true' TestCopiesObeyOrders
without "checks that obey orders" steerer/health.go '&& !t.missing && !s.evacuator.Evacuates(t.AvailabilityZone) {' '&& !t.missing {' TestEvacuatedTargetsAreNotChecked
without "checks for open flows of evacuated zones" steerer/health.go '|| !h.probeDeadline.Passed(s.now) {' '|| !h.probeDeadline.Passed(s.now) || s.evacuator.Evacuates(t.AvailabilityZone) {' TestEvacuatedZoneThatCrashesIsFoundOut
without "checks of taken over flows" steerer/silence.go 'if p.Length > 0 && s.zoneHostsSilent(to.AvailabilityZone) {' 'if false && p.Length > 0 && s.zoneHostsSilent(to.AvailabilityZone) {' TestFlowsOfALostZoneAreToldAtOnce
without "hosts that wait for their zone" steerer/returning.go 'return 2*living < s.peers.expectedInZone' 'return false && 2*living < s.peers.expectedInZone' TestZoneThatComesBackWaitsForMostOfItsHosts
without "hosts that wait only while others serve" steerer/returning.go 'case r.Uptime < settledUptime:' 'case r.Uptime < 0:' TestNobodyWaitsAfterALossOfAllZones
without "an end of waiting for the zone" steerer/returning.go '|| s.config.Start.Add(zonePatience).Passed(s.now) {' '{' TestHostWaitsForItsZoneForAWhileOnly
without "the end of orders out of touch" steerer/orders.go 'return age(s.now, s.reading.settings.confirmed) > s.publishedWithin()' 'return false' TestHostOutOfTouchServesWhatItCan
without "orders that hold in an outage" steerer/choosing.go 'if v.lastResort {' 'if false {' TestOutageOfThePlatformDoesNotEndOrders
without "orders in reports" steerer/reports.go 's.takeOrders(evacuator.Orders{Position: sequencer.At(r.OrdersEra, r.OrdersRevision), Zones: r.EvacuatedZones}, p.name)' '_ = evacuator.Orders{}' 'TestHostThatStartsInAnOutageLearnsOrders|TestHostThatIsTurnedAwayLearnsOrders'
without "reads as often as orders need" steerer/orders.go 'if s.config.EvacuatedWithin > 0 {' 'if false {' TestOrdersAreReadAsOftenAsTheyNeed
without "tickets for cold targets" steerer/cold.go '!s.leaving.begun && t.AvailabilityZone == s.config.AvailabilityZone && s.warmer.Admits(t.ID, bound, s.now)' 'true' 'TestColdTargetsGetWhatTheyBear|TestReturnedZoneIsCold'
without "the warm-up of a zone that is back" steerer/cold.go 'return ok && !lifted' 'return ok && false && !lifted' TestReturnedZoneIsCold
without "news of cold targets" steerer/listing.go 'if turnedCold := warmUp > reportEvery && t.warmUpDeadline.Passed(s.now); turnedCold {' 'if false {' TestOtherHostsHearOfColdTargets
without "regions of routes" steerer/choosing.go 'case !view.region:' 'case false && !view.region:' TestRoutesKeepToTheirRegions
without "early looks at openings" steerer/flow.go 's.suspect(f.target, "openingSlow", check.since)' '_ = f' TestZoneThatCrashesIsLeftAtOnce
without "checks of neighbours" steerer/health.go 'if unheard && t.AvailabilityZone' 'if false && unheard && t.AvailabilityZone' TestZoneThatCrashesIsLeftAtOnce
without "doubt of silent zones" steerer/choosing.go 'if v.doubted {' 'if false {' TestZoneThatCrashesIsLeftAtOnce
without "signs of life that end doubt" diagnoser/diagnoser.go 'z.gapCount >= minGaps && z.lastActivity <= since && now' 'z.gapCount >= minGaps && now' TestOneCrashedTargetDoesNotEmptyItsZone
without "distrust of late checks" steerer/health.go '(!s.trusts() || e.Took > lateCheck*h.patience)' '!s.trusts()' TestCheckThatTheHostHeldUpBlamesNobody
without "word of silent targets" steerer/reports.go 'r.InFlight, r.FastFailing, r.Unresponsive = own.busy, own.quick, own.silent' 'r.InFlight, r.FastFailing = own.busy, own.quick' TestOtherHostsHearOfSilentTargets
without "service of a zone that is cut off" steerer/orders.go 'return others >= 2 && !s.hearsOtherZones()' 'return false && !s.hearsOtherZones()' TestEvacuatedZoneThatIsCutOffServesItself
without "orders that hold while hosts are heard" steerer/orders.go 'return others >= 2 && !s.hearsOtherZones()' 'return others >= 2' TestEvacuatedZoneThatIsCutOffServesItself
without "orders that hold with one other zone" steerer/orders.go 'others >= 2 &&' 'others >= 1 &&' TestOrderHoldsWhenTheOnlyOtherZoneIsLost
without "first reads that allow for transfers" steerer/reading.go 'return boundedWait(within, readShare, left)' 'return portion(within, readShare) + 0*left' TestNewSettingsReachSmallLinksInTime
without "own reads that allow for transfers" steerer/asking.go 'return boundedWait(within, share, left)' 'return portion(within, share) + 0*left' TestNewSettingsReachSmallLinksInTime

package=evacuator
without "the order of orders" evacuator/evacuator.go 'if !e.orders.Position.Before(orders.Position) {' 'if false {' 'TestOlderOrdersAreIgnored|TestOrdersAgainstOracle'
without "orders that hold from the latest restore on" evacuator/evacuator.go 'e.extendDeadlines(now)' '' TestSecondRestoreRestartsGracePeriod
without "orders that have a revision" evacuator/evacuator.go 'if e.orders.Position.Known() && !orders.Position.Known() {' 'if false {' TestOrdersWithoutRevisionAreIgnored

package=diagnoser
without "patience of late hosts" diagnoser/diagnoser.go 'timeout += lagMultiplier * d.maxLag' 'timeout += 0 * lagMultiplier * d.maxLag' TestSchedulingLagExtendsResponseTimeout
without "what is usual to be heard" diagnoser/diagnoser.go '&& now.Since(since) > z.meanGap' '' TestZoneWithLittleTrafficIsNotSuspect

package=warmer
without "hosts that wait to hear of others" warmer/warmer.go 'if !w.discoveredAt.Passed(now) {' 'if false {' TestHostHoldsNoTicketsDuringDiscoveryPeriod
without "pauses between flows" warmer/warmer.go 't.held && t.nextFlowAt.Passed(now)' 't.held' 'TestHolderWaitsBetweenFlows|TestOnlyTicketsStayWithinColdTargetRateLimit'
without "few holders" warmer/warmer.go 'slices.Contains(holdersOf(target, w.hosts, Allocate(limit).Holders), w.self)' 'true' 'TestHolderCountFollowsZoneHosts|TestOnlyTicketsStayWithinColdTargetRateLimit'
without "room for a second set of holders" warmer/warmer.go 'holderSets = 2' 'holderSets = 1' TestTwoSetsOfHoldersStayWithinRateLimit

package=pacer
without "the gradient of the window" pacer/pacer.go 'next := l.window*gradient + windowHeadroom' 'next := l.window + windowHeadroom + 0*gradient' TestPacingKeepsUrgentRequestsOnTimeInSurge
without "room for those that can be in time" pacer/line.go 'onTime := !r.onTimeDeadline.Passed(now)' 'onTime := true' 'TestPacingKeepsUrgentRequestsOnTimeInSurge|TestLateRequestsYieldToOnTimeRequests'
without "the turn of those that will be late" pacer/line.go 'if r.agingDeadline.Passed(now) {' 'if false {' TestQueueDelayIsBounded
without "the end of pacing" pacer/pacer.go '(before && l.pressure > congestionOffThreshold)' 'before' TestNormalLoadIsNotQueued

package=encoder
without "targets in the shape of the release before" messenger/report.go 'Unreadable bool' 'Unreadable bool; Era uint64' TestTargetsAreCompatibleWithPreviousRelease

package=sequencer
without "eras in the order of positions" sequencer/sequencer.go 'if c := cmp.Compare(p.Era, other.Era); c != 0 {' 'if c := cmp.Compare(p.Era, other.Era); false && c != 0 {' TestPositionsOrderByEraThenRevision
without "whole lists across eras" sequencer/sequencer.go 'return other.Known() && p.Era == other.Era' 'return other.Known()' TestPositionsOrderByEraThenRevision

package=steerer
without "eras before revisions" sequencer/sequencer.go 'if c := cmp.Compare(p.Era, other.Era); c != 0 {' 'if c := cmp.Compare(p.Era, other.Era); false && c != 0 {' 'TestRestoredListIsTaken|TestErasAgainstOracle'
without "whole lists of a new era" steerer/asking.go 'case k.Scope == messenger.ScopeFull, !position.ContinuesFrom(s.targetsPosition):' 'case false:' TestWholeListEndsWhatOnlyAnEndedEraHad
without "questions after a restore" steerer/asking.go '|| s.inEndedEra() || behind' '|| behind' TestHostThatWasCutOffLearnsOfTheNewEraFromOthers
without "confirmations of this era only" steerer/reports.go '|| r.era < s.reading.era {' '{' TestConfirmationsOfAnEndedEraDoNotCount
without "late answers left out" steerer/reading.go 'if position.Era < s.reading.era {' 'if false {' TestLateReadMakesNoEndedEraLookFresh
without "states of this era only" steerer/reports.go 'if seen.Era < s.targetsPosition.Era {' 'if false {' TestHostOfAnEndedEraConvincesNobody
without "dates of a new era" steerer/restoring.go 't.seen = s.targetsPosition' '_ = t' TestStatesAreToldAsOfTheNewEra
without "doubt of targets that had left" steerer/choosing.go '|| s.drainedBeforeRestore(t):' ':' 'TestTargetThatHadLeftGetsNothingWhenItIsListedAgain'
without "drains that a copy lacks" steerer/restoring.go 't.restored.draining &&' 'false &&' TestTargetThatDrainedBeforeARestoreGetsNothing
without "doubt of targets that had vanished" steerer/choosing.go '|| s.vanishedOverRestore(t):' ':' TestTargetThatHadVanishedIsALastChoice
without "lapsed targets that serve" steerer/choosing.go '|| s.drainedBeforeRestore(t):' '|| s.doubtsRestored(t):' TestLapsedTargetsThatACopyListsServe
without "first answers of the era before" steerer/reading.go 'if mayBeStale && told.Era > 0 {' 'if false {' 'TestFirstAnswerFromBeforeARestoreConvincesNobody|TestFirstOrdersFromBeforeARestoreEndNoOrder'
without "what has gone, for hosts of another era" steerer/asking.go '	for _, t := range told {
		k.Targets' '	for _, t := range told {
		if t.missing {
			continue
		}
		k.Targets' TestHostOfAnEarlierReleaseLearnsOfWhatHasGone
without "lists that have a revision" steerer/listing.go '|| (s.targetsPosition.Known() && !list.Position.Known())' '' TestListWithoutARevisionIsNotTaken
without "doubt from the latest restore on" steerer/restoring.go 'if !t.restored.deadline.Passed(s.now) {' 'if false {' TestSecondRestoreDoubtsTargetsForAsLongAgain
without "some zone for callers" steerer/choosing.go 'nowhere := obeys && s.evacuatesAll()' 'nowhere := false' TestOrdersOfACopyLeaveSomeZone
without "the era in reads" steerer/reading.go 'Era: s.reading.era}' 'Era: 0}' TestHostThatStartsReadsThoughTheHeaderIsLost
without "a first era that is no restore" steerer/restoring.go 'if from == 0 || knowsNothing {' 'if knowsNothing {' TestFirstEraIsNoRestore
without "grace for targets that a copy lacks" steerer/listing.go 'if !t.missing || t.unreadable {' 'if t.missing { return true }; if !t.missing || t.unreadable {' TestLiveTargetsThatACopyLacksGoOnServing
without "idle targets that a copy lacks" steerer/listing.go 'if s.lackedByCopy(t) {' 'if false {' TestTargetsThatACopyLacksServeThoughTheyAreIdle
without "orders that a copy lacks" evacuator/evacuator.go 'case restored:' 'case restored && false:' TestOrderThatACopyLacksHoldsUntilItIsGivenAgain
without "the end of orders not given again" steerer/steerer.go 's.expireOrders()' '' TestOrderThatIsNotGivenAgainEnds
without "reads of all that a restore has undone" steerer/restoring.go 's.reading.targets.urgent = true' '_ = s' TestRestoreFoundByOneReadHasTheOtherFollow
without "versions that never go back" steerer/reading.go 'if s.settings != nil && settings.Version <= s.settings.Version {' 'if false {' TestPublishedVersionNeverGoesBack
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
without "the latest quick words" estimator/reports.go 'r[i].deadline < r[oldest].deadline' 'r[i].deadline > r[oldest].deadline' TestBoundedFastFailureReportsMatchUnboundedCount

package=steerer
without "speed in placement" steerer/choosing.go 'slowness > 0 {' 'slowness > 1000 {' 'TestSlowTargetGetsFewFlows|TestSlowZoneSpillsOver'
without "the speed of zones" steerer/choosing.go 's.zoneExcess(c.service, zone),' '0,' TestSlowZoneSpillsOver
without "word of slow targets" steerer/reports.go 's.takePaces(p, r.Slowdowns)' '' TestSlowTargetsAreToldToTheZonesHosts
without "requests that wait too long" steerer/estimating.go 's.learnSpeed(f, waited)' '_ = waited' TestHangingTargetIsSlowBeforeItAnswers
without "trials that avoid silent targets" steerer/estimating.go 'case t.health.unreachable(), t.health.suspect, t.toldSilent(s.now), s.failsWork(t):' 'case false:' TestSilentTargetIsNotTried
without "distrust of answers after a pause" steerer/estimating.go '!s.pause.trustDeadline.Passed(s.now) || s.cold(t)' 's.cold(t)' TestFrozenHostBlamesNoTarget
without "pressure that leaves out slow targets" steerer/load.go '|| s.answersSlowly(f.target) {' '{' TestSlowTargetsDoNotPressTheirService
without "usual times that leave out slow targets" steerer/estimating.go 'pressed || s.answersSlowly(f.target)' 'pressed' TestUsualDoesNotFollowSlowTargets
without "speed that ends with a life" steerer/life.go 't.pace = estimator.Target{}' '' TestRestartedTargetIsNotSlow
package=limiter
without "what a host has forgotten since it started" limiter/limiter.go 'b.Estimated = l.estimateForgotten(t, now) + int(unreported+0.5)' 'b.Estimated = int(unreported + 0.5)' TestRestartedHostEstimatesForgottenFlows
without "what a host told before it started again" limiter/limiter.go 'n := max(reported, l.remaining(int(h.previousFlows[tag]), h.previousSince, now))' 'n := reported' TestFlowsForgottenByRestartedPeerStillCount
without "flows unseen at full targets" limiter/limiter.go 't.unaccounted = max(bound-' 't.unaccounted = 0 * max(bound-' 'TestFullTargetStaysFullUntilFlowsEnd|TestPartitionedHostsStayWithinLimit'
without "growth since others were heard" limiter/limiter.go '+ g.Growth*float64(reporters)' '+ 0*g.Growth' TestThunderingHerdRarelyHitsFullTargets
without "turns at the last places" limiter/limiter.go 'return int(l.turnHash(tag, now)%uint64(hosts)) < available' 'return true || int(l.turnHash(tag, now)%uint64(hosts)) < available' TestHostsTakeTurnsForLastFreeConnections
without "flows that held no place" limiter/limiter.go 'func (t *TargetFlows) CancelOpened() {' 'func (t *TargetFlows) CancelOpened() { t.recentlyFreed++; t.freedAt = t.openedAt' TestCanceledFlowsFreeNoCapacity
without "the end of hosts that are gone" limiter/limiter.go 'if now.Since(h.lastHeard) > max(l.idleTimeout, timeout) {' 'if false {' TestFlowsOfDeadHostExpire
without "word after a silence" limiter/limiter.go 'h.timedOut, h.partial, h.lastHeard = false, w.Partial, now' 'h.partial, h.lastHeard = w.Partial, now' TestReportAfterTimeoutIsApplied
without "the silence of large zones" limiter/limiter.go 'hostTimeoutPasses*time.Duration(rounds)*ZoneReportInterval' '0*time.Duration(rounds)*ZoneReportInterval' TestHostInLargeZoneDoesNotTimeOutBetweenReports
without "words of a part of the targets" limiter/limiter.go 'case h.partial:' 'case false:' TestPartialReportDoesNotCoverOtherTargets
without "hosts that tell no more" limiter/limiter.go 'if h.sameZone && !h.timedOut && now.Since(h.lastHeard) > timeout {' 'if false {' TestDeadHostsAreNotCountedAsReporters

package=steerer
without "an even spread of connections" steerer/connections.go 'return connectionWeight * float64(flows)' 'return 0 * connectionWeight * float64(flows)' TestIdleTargetIsNotFilledWithFlows
without "the bound of connections" steerer/connections.go 'if !admits {' 'if false && !admits {' TestFlowsBeyondAllPlacesAreRefusedAtOnce
without "brief flows" steerer/places.go 'if v.brief[route.Name] {' 'if false {' TestBriefFlowsFindRoomBesideThoseThatLast
without "places for higher priority" steerer/places.go 'checkPlaces+rank*step' 'checkPlaces+0*rank*step' TestPlacesAreReservedForHigherPriority
without "places for checks" steerer/places.go 'checkPlaces = 1' 'checkPlaces = 0' TestChecksFindRoomAtTargetsThatHostsHaveFilled
without "opening packets that are sent on" steerer/flow.go 's.checkFull(f)' '_ = f' TestFullTargetIsKnownToBeFullNotSilent
without "checks of targets just found full" steerer/crowding.go 't.health.probeDeadline = s.now' '_ = s.now' TestTargetThatWasJustFoundFullIsNotWaitedFor
without "memory of targets found full" steerer/crowding.go 'return f.repeated || f.target.foundFullOf(f.openedAt)' 'return f.repeated' TestTargetThatWasJustFoundFullIsNotWaitedFor
without "openings left to full targets that may have taken them" steerer/crowding.go 'if f.neverTaken() {' 'if f.neverTaken() || true {' TestFlowThatOpenedThroughAnotherHostIsNotReset
without "copies that go back unless a target was found full" steerer/crowding.go '!f.opened && f.target.foundFullOf(s.now)' '!f.opened' TestCopyGoesToTheFirstTargetThatLives
without "the end of idle flows" steerer/flow.go 'if f.lastPacket.Add(keep).Passed(s.now) {' 'if f.closed && f.lastPacket.Add(keep).Passed(s.now) {' TestFlowsThatEndWithoutAWordAreForgotten
without "word of full zones" steerer/reports.go 's.addZoneFlows(r)' '_ = r' TestZonesTellEachOtherHowFullTheyAre
without "targets with flows first in a report" steerer/telling.go 's.connections.limiter.UsedTargets(targets)' 'targets' TestEachHostOfALargeZoneHearsOfAllTargets
without "openings sent on by the route of today" steerer/crowding.go 'if !ok || route.serviceFor' 'route = f.route; if false && !ok || false && route.serviceFor' TestOpeningsAreSentOnByTheRouteOfToday
without "openings sent on bit by bit" steerer/crowding.go 'c.sendsOn < maxSendsOn' 'true' TestOpeningsAreSentOnBitByBit
without "flows that were found open" steerer/places.go 'f.placed = !f.opened' 'f.placed = true' TestPlacesAreTakenBackAsTheyWereTaken
without "closed flows that take no place" steerer/steering.go 'if !f.closed {' 'if true {' TestPlacesAreTakenBackAsTheyWereTaken
without "trials where there is room" steerer/estimating.go 's.connectionLoad(t, crowd); !room {' 's.connectionLoad(t, crowd); false && !room {' TestTrialsGoToTargetsWithRoom
without "a place for checks at small bounds" steerer/places.go 'max(v.bound/reservedDivisor, checkPlaces), v.bound-1)' 'v.bound/reservedDivisor)' TestSmallBoundsKeepAPlaceForChecks
without "uses of bounded services alone" steerer/places.go 'if s.settings.service(service).MaxConnections <= 0 {' 'if false {' TestUsesOfPastRoutesAreForgotten
without "the end of uses" steerer/connections.go 'delete(c.uses, name)' '_ = name' TestBoundThatIsTakenBackLeavesNothing
without "word of known services alone" steerer/telling.go 'if d.OpenFlows > 0 && known {' '_ = known; if d.OpenFlows > 0 {' TestWordOfUnknownServicesIsNotKept
without "word of flows" steerer/reports.go 'r.OpenFlows = s.toldFlows(to)' '_ = s.toldFlows(to)' TestHostsTellEachOtherWhatTheyHold
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
without "refusals when nothing is left" steerer/admitting.go 'case nothingLeft && a.MayShutOut():' 'case false && nothingLeft:' TestNothingLeftForReadsRefusesThemAtOnce
without "the own window of hosts out of touch" steerer/room.go 'HasPeerReports: reach.inTouch()}' 'HasPeerReports: true}' TestHostOutOfTouchGoesByItsOwnWindow
without "shares at the only host of a zone" steerer/room.go 'HasPeerReports: reach.inTouch()}' 'HasPeerReports: reach.heard}' TestOnlyHostOfAZoneSharesRoomWithOtherZones
without "neighbours that are out of touch" steerer/room.go '(!r.neighbours && len(r.fresh) > 0)' 'len(r.fresh) > 0' TestHostOutOfTouchGoesByItsOwnWindow
without "demand of other zones" steerer/demands.go 'v.room.admitter.ApplyZoneReport(from.zone, demandOf(told), s.now)' '_ = demandOf(told)' TestDemandOfOtherZonesCounts
without "demand in reports" steerer/demands.go 'if !a.ShouldReport() {' 'if true || !a.ShouldReport() {' TestDemandIsToldOnceItFillsHalfOfTheRoom
without "what can't run again where nothing is left" steerer/admitting.go 'case nothingLeft && a.MayShutOut():' 'case nothingLeft && a.MayShutOut() && route.Kind.repeatable():' TestLowPriorityThatCantRunAgainGetsNoRoomBeforeHigherOnes
without "work that is not known" steerer/room.go 'case v.room.anyWork.known():' 'case false:' TestWorkThatIsNotKnownCountsAsTheServicesOther
without "words of flows left out" steerer/demands.go 'len(told.ByPriority) == 0 || ' '' TestWordOfFlowsIsNoWordOfDemand
without "word of hosts without callers" steerer/demands.go 'if len(told.ByPriority) == 0 {' 'if false {' TestHostWithoutCallersSaysSo
without "an end of what is known of past routes" steerer/reading.go '	s.forgetWork(settings)' '' TestWorkOfPastRoutesIsForgotten
without "a bound on what zones are told of flows" steerer/telling.go 'len(r.ZoneDemands) >= maxDemands' 'false' TestZoneFlowsFitIntoAReport
without "first answers that count alike" steerer/usual.go 'doubtful && u.known()' 'doubtful' TestFirstAnswerInACrowdDoesNotStick
package=steerer
without "callers' shares" steerer/admitting.go 'if s.throttled(p, route, service) {' 'if false && s.throttled(p, route, service) {' 'TestCallerThatRepeatsWithoutPauseIsRefusedFirst|TestQuotaHoldsOverTheHostsOfAZone'
without "shares only while room is short" steerer/throttling.go 'Overloaded: s.shortOrPressed(service)}' 'Overloaded: true || s.shortOrPressed(service)}' TestSharesEndWithTheShortage
without "quotas over a zone" steerer/steerer.go '	s.shareQuotas()
' '' TestQuotaHoldsOverTheHostsOfAZone
without "requests of open flows in quotas" steerer/steering.go 's.chargeRequest(p, f)' '_ = p' TestRequestsOfOpenFlowsCountForAQuota

package=steerer
without "hosts by zone" steerer/peerzones.go 'z.byZone[p.zone] = slices.DeleteFunc' '_ = slices.DeleteFunc' TestHostsByZoneAgreeWithWhatIsKnownOfEach
without "hosts that leave their zone" steerer/peerzones.go 'if p.leaving != leaving {
		z.epoch++' 'if p.leaving != leaving {
		z.epoch += 0' TestLeavingHostChangesItsZone
without "targets of the own zone first" steerer/table.go 'if one.AvailabilityZone != t.near {' 'if true {' TestTargetsOfTheOwnZoneComeFirst
without "news worked out at each event" steerer/steerer.go 's.own.known = false' '_ = s.own.known' 'TestOtherHostsHearOfSilentTargets|TestQuickAnswersAreToldToTheZonesHosts'

package=throttler
without "max-min fairness" throttler/throttler.go 'decision.Refused = decision.ForwardedRate >= max(' 'decision.Refused = false && decision.ForwardedRate >= max(' 'TestRetryLoopDoesNotStarveOtherCallers|TestRotatingAddressesShareOnePrefixAllocation'
without "weights" throttler/table.go '	if c.hasHistory {
		return c.weight' '	if c.hasHistory {
		return minWeight' 'TestCallersBehindNATGetMoreThanOneShare|TestEqualDemandIsServedEqually'
without "weights that stay in a shortage" throttler/throttler.go 'return s.weightFreezeDeadline.Passed(now)' 'return true || s.weightFreezeDeadline.Passed(now)' TestRotatingAddressesShareOnePrefixAllocation
without "prefixes of new addresses" throttler/throttler.go 'if own, ok := s.addresses.callers.Get(key); ok {' 'if own := s.addresses.getOrCreate(key, now); own != nil {' 'TestRotatingAddressesShareOnePrefixAllocation|TestOneTimeAddressesDoNotEvictOthers'
without "shares that grow again" throttler/throttler.go 'd.sharePerWeight *= shareGrowth' 'd.sharePerWeight *= 1' TestRetryLoopDoesNotStarveOtherCallers
without "crowds that ask alike" throttler/table.go 'return some.rate*d.weight > excessFactor*d.rate*some.weight' 'return true' TestCallersMovedFromFailedZoneAreServedEqually
without "unknown callers that ask for much more together" throttler/table.go '|| (!c.hasHistory &&' '|| (false && !c.hasHistory &&' TestOneTimeAddressesDoNotEvictOthers
without "the weight of those who come from elsewhere" throttler/table.go 'd.newcomerWeight = max(sum/most, minWeight)' 'd.newcomerWeight = minWeight + 0*sum/most' TestCallersMovedFromFailedZoneAreServedEqually
without "room for all" throttler/throttler.go 'if refused < negligibleRate {' 'if false && refused < negligibleRate {' TestNothingIsThrottledWithinCapacity
without "bounded services" throttler/throttler.go 'maxServices = 64' 'maxServices = 640' TestCallerTablesAreBounded
without "bounded callers" throttler/throttler.go 'maxAddresses = 512' 'maxAddresses = 51200' TestCallerTablesAreBounded
without "a bound on a quota's debt" throttler/quota.go '&& b.limiter.TokensAt(limiterTime(now)) > -float64(burst) {' '&& burst > 0 {' TestQuotaDebtOfOpenFlowsIsBounded
without "a host's part of a quota" throttler/quota.go 'b.quota.PerSecond / float64(b.hosts)' 'b.quota.PerSecond' TestQuotaIsDividedAmongZoneHosts
without "quotas of a prefix" throttler/quota.go 'return !q.Prefix.IsValid() || q.Prefix.Contains(caller.Unmap())' 'return true' TestQuotasLimitOnlyMatchingRequests

package=steerer
without "times from the end of a request" steerer/steering.go 'f.lastData = s.now' '_ = f.lastData' TestSlowUploadersBlameNoTarget
without "pauses of callers who upload" steerer/estimating.go 'if f.route.Kind == KindUpload {' 'if false {' TestSlowUploadersBlameNoTarget

package=throttler
without "long flows of calm times" throttler/throttler.go 's.addresses.updateWeights(s.weightFreezeDeadline, now)' '_ = now' TestLongFlowsOpenedBeforeOverloadAddWeight
without "weights of calm times only" throttler/table.go 'max(c.updatedAt, learningSince)' 'max(c.updatedAt, 0*learningSince)' TestWeightsDoNotGrowDuringOverload

package=steerer
without "ends where flows began" steerer/throttling.go 'Service: f.countedFor.name}
	f.countedFor' 'Service: f.target.Service}
	f.countedFor' TestEndIsCountedWhereTheFlowWas
without "requests that wait here in quotas" steerer/steering.go '	s.chargeRequest(p, f)
	if s.pace(key, f, p) {
		return true
	}
' '	if s.pace(key, f, p) {
		return true
	}
	s.chargeRequest(p, f)
' TestPacedRequestsCountForAQuota
without "quotas before shares" steerer/throttling.go 's.counts.add(RefusedCallerQuota)' 's.counts.add(RefusedCallerQuota)
		s.throttler.Check(throttler.Request{Caller: p.Caller.Addr(), Service: service, Overloaded: s.shortOrPressed(service)}, s.now)' TestWhatAQuotaRefusesIsNoShortage
without "no trials while requests wait" steerer/estimating.go 's.service(c.service).paced > 0' 'false' TestNothingIsTriedWhileRequestsWait
without "trials of slow targets" steerer/estimating.go 'if c.avoid != nil || ' 'if true || c.avoid != nil || ' TestSlowTargetIsTried
without "trials that obey orders and regions" steerer/estimating.go 'case s.excluded(t, views) != notExcluded, !s.admits(t):' 'case false:' TestDrainingTargetIsNotTried
without "trials in regions" steerer/estimating.go 'case s.excluded(t, views) != notExcluded, !s.admits(t):' 'case false:' TestTargetOfAnotherRegionIsNotTried
without "trials in evacuated zones" steerer/estimating.go 'case s.excluded(t, views) != notExcluded, !s.admits(t):' 'case false:' TestTargetOfAnEvacuatedZoneIsNotTried
without "trials of targets that are not busy" steerer/estimating.go 'return t.underWayPerSlot() < 1' 'return true' TestBusyTargetIsNotTried
without "an end to what is known of zones" steerer/estimating.go 'return z.NoData()' 'return false' TestZonesOfOldServicesAreForgotten
without "one turn a round" steerer/estimating.go 'if s.estimating.turnDeadline.Passed(s.now) {' 'if true {' TestReportsOfARoundTellOfTheSameTargets
without "trials by service" steerer/estimating.go 's.service(c.service).trials.Allow()' 's.service("").trials.Allow()' TestServicesCountTheirTrialsApart
without "targets whose digest changed" steerer/digest.go 't.digestSum += next - one.digest' 't.digestSum = next' TestDigestFollowsEachChange
without "targets whose slots changed" steerer/slots.go '	for _, t := range s.targets.uncounted {
		t.uncounted = false
		s.countTarget(t)
	}' '	for _, t := range s.targets.uncounted {
		t.uncounted = false
	}' TestRoomOfALargeServiceIsCountedInParts
without "slots counted in turn" steerer/slots.go 'sum.next += step' 'sum.next += 0' TestRoomOfALargeServiceFollowsTimeWithinSomeViews
without "services with plenty of connections" steerer/connections.go 'if known == nil && s.plentyOfConnections(service) {' 'if false {' TestTargetsWithPlentyOfConnectionsAreNotLookedAt
without "services that fill" steerer/connections.go 'return few(1+s.hostsHeardOf(), all) && few(s.hostsInZone(), near)' '_, _, _ = few, all, near
	return true' TestServiceThatFillsIsLookedAt
without "choices by sample" steerer/choosing.go 'if t := s.chooseSampled(&c, views, crowd); t != nil {' 'if t := s.chooseSampled(&c, views, crowd); t != nil && false {' TestChoiceAmongManyIdleTargetsLooksAtFew
without "a look at all where sampled ones are busy" steerer/sampling.go 'bestLoad := limit' 'bestLoad := 1000 + 0*limit' TestAllTargetsAreLookedAtWhereSampledOnesAreBusy
without "targets in use apart from all" steerer/using.go '	return s.targets.inUse
' '	return s.targets.ordered()
' TestCostOfASecondDoesNotGrowWithTheFleet
without "one count of the living a round" steerer/peers.go 'l.deadline = s.now.Add(reportEvery)' 'l.deadline = s.now' TestCostOfASecondDoesNotGrowWithTheFleet
without "the pace of news" steerer/peers.go 'now = now.Add(newsAhead)' 'return true' TestStreamOfNewsIsToldAtTheUsualPace
without "news at once" steerer/peers.go 'now = now.Add(newsAhead)' 'now = now.Add(0 * newsAhead)' TestSinglePieceOfNewsIsToldAtOnce
without "the beginning of what is listed" steerer/history.go 'h.begin = h.begin.Later(old.seen)' '_ = old' TestHistoryReachesAsFarAsItIsComplete
without "answers from the history" steerer/asking.go 'if s.targetsPosition.ContinuesFrom(position) && s.targets.history.reaches(position) {' 'if false {' TestAnswerGoesThroughWhatHasChanged
without "whole lists of hosts that started later" steerer/asking.go ' && s.targets.history.reaches(position) {' ' {' 'TestHostThatStartedLaterTellsAllThatItKnows|TestHostThatHasForgottenATargetTellsAllThatItKnows'
without "lists that end with what they lack" steerer/asking.go 'case k.Scope == messenger.ScopeFull, ' 'case ' TestHostThatStartedLaterTellsAllThatItKnows
without "the end of what is known of forgotten targets" steerer/table.go 't.history.begin = t.history.begin.Later(gone.seen)' '' TestHostThatHasForgottenATargetTellsAllThatItKnows
without "checks that are reset" steerer/health.go '	case ProbeReset:
' '	case ProbeReset:
		s.noteSilence(t, e)
' TestCheckThatIsResetBlamesNobody
without "patience after what was awaited" steerer/asking.go 'case reached || a.awaitedSince == 0:' 'case (false && reached) || a.awaitedSince == 0:' TestTargetsThatChangeWithoutAPauseAreNotAskedForAllTheTime
without "digests as of a position" steerer/digest.go 'if position.Before(one.seen) {' 'if false {' TestDigestAsOfAPositionLeavesOutWhatCameLater
without "agreement as of a position" steerer/reports.go 'return (known && own == digest) || ' 'return (false && known && own == digest) || ' TestReleaseDoesNotMakeAllHostsRead
without "reads of changes alone" steerer/listing.go '	if list.Since.Known() {
		s.takeChanges(list)
		return
	}
' '' TestReadOfChangesCostsWhatHasChanged
without "changes upon what they follow" steerer/listing.go 'if !s.targetsPosition.ContinuesFrom(list.Since) || s.targetsPosition.Before(list.Since) {' 'if false {' TestChangesAreTakenOnlyUponWhatTheyFollow
without "tags that pass on" steerer/listing.go '	s.targets.passTag(t)
' '' TestTagOfATargetThatHasGonePassesOn
without "zones that have fallen silent" steerer/peers.go '|| lost[p.zone] {' '|| (false && lost[p.zone]) {' TestHostsOfALostZoneAreNotWaitedFor
without "doubt of answers of an earlier release" steerer/asking.go '		return // Something may be missing; a later read tells.' '		s.targetsPosition = position' TestAnswerThatMayLackSomethingIsNotTakenForComplete
without "the end of counts of forgotten targets" steerer/table.go 'if gone.uncounted {' 'if false {' TestForgottenTargetsAreNotCounted

wait
failed=0
for number in $(seq "$started"); do
	cat "$work/$number.result"
	grep -q '^ok ' "$work/$number.result" || failed=$((failed + 1))
done
echo "$((started - failed)) passed, $failed failed"
test "$failed" -eq 0
