package steerer

import (
	"cmp"
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
)

const (
	// missingTargetsSyncWindow is how long after its start a host asks for targets that are gone. By
	// then it has heard those that ran before it.
	missingTargetsSyncWindow = 10 * time.Second
	// maxMissingTargetsSent bounds the targets in an answer, to some 50 KB. Those that vanished
	// last are the likeliest to be named by open flows.
	maxMissingTargetsSent = 500
)

// needsMissingTargets reports whether this host still has to learn of targets that are gone.
//
// What goes wrong otherwise: a target crashes and vanishes from the list; a host
// starts after that and gets the packets of flows at that target. It has never heard
// of it, so it neither checks it nor tells the callers that wait for it. One notices by
// flows that get no answer to any request, with a line for each dropped packet on
// one host only.
func (s *Steerer) needsMissingTargets() bool {
	return !s.asking.missingTargetsKnown && s.canRoute() && !s.config.Start.Add(missingTargetsSyncWindow).Passed(s.now)
}

// pickMissingTargetsPeer picks one of the hosts that ran before this one; nil if there is none.
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

// missingTargetStates lists the targets that are gone, those that vanished last first.
func (s *Steerer) missingTargetStates() []messenger.TargetState {
	var gone []*target
	for _, t := range s.targets.gone {
		if t.missing {
			gone = append(gone, t)
		}
	}
	slices.SortStableFunc(gone, func(x, y *target) int { return cmp.Compare(y.missingSince, x.missingSince) })
	var states []messenger.TargetState
	for _, t := range gone[:min(len(gone), maxMissingTargetsSent)] {
		states = append(states, s.targetState(t))
	}
	return states
}

// applyMissingTargets takes in the targets that were gone before this host started. What another era
// says of them gives way to any word of this one.
func (s *Steerer) applyMissingTargets(k *messenger.SyncResponse, from string) {
	s.asking.missingTargetsKnown = true
	for _, state := range k.MissingTargets {
		number, valid := ParseTargetNumber(state.ID)
		if _, known := s.targets.byID[state.ID]; known || !valid {
			continue
		}
		seen := sequencer.At(s.targetsPosition.Era, 0)
		if k.TargetsEra == seen.Era {
			seen = seen.WithRevision(state.Revision)
		}
		t, _ := s.targets.upsert(targetFromState(state, number))
		t.missing = true
		s.targets.recordState(t, seen)
		s.targets.markGone(t)
		t.missingSince = s.now
	}
	s.log("goneTargetsKnown", field("targets", formatInt(len(k.MissingTargets))), field("from", from))
}
