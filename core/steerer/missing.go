package steerer

import (
	"cmp"
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
)

const (
	// missingTargetsSyncWindow is how long after its start a host requests missing targets.
	// By then it has received reports from the hosts that were running before it.
	missingTargetsSyncWindow = 10 * time.Second
	// maxMissingTargetsSent limits the targets in a response, to about 50 KB. The targets
	// that went missing last are the most likely to have open flows.
	maxMissingTargetsSent = 500
)

// needsMissingTargets reports whether this host still has to learn which targets are missing.
//
// Without this, a host that starts after a target has crashed and is no longer listed does
// not know the target when it gets packets of the target's flows. It neither probes the
// target nor resets the flows of callers that wait for it. This shows as flows that get no
// response to any request, with a log line for each dropped packet on one host only.
func (s *Steerer) needsMissingTargets() bool {
	return !s.peerSync.missingTargetsKnown && s.canRoute() && !s.config.Start.Add(missingTargetsSyncWindow).Passed(s.now)
}

// pickMissingTargetsPeer picks one of the hosts that were running before this one; nil if
// there is none.
func (s *Steerer) pickMissingTargetsPeer() *peer {
	if !s.needsMissingTargets() {
		return nil
	}
	var older []*peer
	for _, p := range s.peers.recent {
		if p.reportedRecently(s.now) && p.position.Known() && p.incarnation < s.config.Incarnation {
			older = append(older, p)
		}
	}
	if len(older) == 0 {
		return nil
	}
	return older[s.random.IntN(len(older))]
}

// missingTargetStates lists the missing targets, those that went missing last first.
func (s *Steerer) missingTargetStates() []messenger.TargetState {
	var missing []*target
	for _, t := range s.targets.missing {
		if t.missing {
			missing = append(missing, t)
		}
	}
	slices.SortStableFunc(missing, func(x, y *target) int { return cmp.Compare(y.missingSince, x.missingSince) })
	var states []messenger.TargetState
	for _, t := range missing[:min(len(missing), maxMissingTargetsSent)] {
		states = append(states, s.targetState(t))
	}
	return states
}

// applyMissingTargets records targets that were missing before this host started. Information
// from another era is overridden by any from the current one.
func (s *Steerer) applyMissingTargets(response *messenger.SyncResponse, from string) {
	s.peerSync.missingTargetsKnown = true
	for _, state := range response.MissingTargets {
		number, valid := ParseTargetNumber(state.ID)
		if _, known := s.targets.byID[state.ID]; known || !valid {
			continue
		}
		seen := sequencer.At(s.targetsPosition.Era, 0)
		if response.TargetsEra == seen.Era {
			seen = seen.WithRevision(state.Revision)
		}
		t, _ := s.targets.upsert(targetFromState(state, number))
		t.missing = true
		s.targets.recordState(t, seen)
		s.targets.markMissing(t)
		t.missingSince = s.now
	}
	s.log("goneTargetsKnown", field("targets", formatInt(len(response.MissingTargets))), field("from", from))
}
