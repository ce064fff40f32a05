package reducer

import (
	"time"

	"cranberryspan.dev/core/detector"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
)

// permission tells whether this host may run a non-idempotent request.
type permission uint8

const (
	// permissionGranted means that no other host can run the request, and this host
	// knows every request that may have run before.
	permissionGranted permission = iota + 1
	// permissionWait means that it is not settled which host may run the request.
	permissionWait
	// permissionUncertain means that this host may run the request, but an earlier
	// owner whose records were lost may already have run it.
	permissionUncertain
)

// checkPermission returns the permission to run requests of a bucket.
//
// Without this, a caller's datagram is retransmitted, the duplicates reach two
// hosts, and both act as the owner because one of them was paused, is partitioned
// or is new, which shows as a non-idempotent request that runs twice. Four
// conditions together prevent it. The bucket's home cell depends on published
// settings alone, and this host knows of no newer revision. Within the cell, this host
// holds the votes of a quorum. Every host that ranks higher has left, was declared
// dead by a quorum, or is joining and has not been handed this host's records. And
// this host has the identities of all requests that ran within the time in which
// callers retransmit them; if it does not, it replies that the outcome is unknown.
func (r *Reducer) checkPermission(bucket placer.Bucket, s *service) permission {
	if r.cells.Home(bucket) != r.localCell || !r.joining.mayAct(r.now) || r.steppedDown {
		return permissionWait
	}
	if r.settingsOutdated() || !r.detector.HasQuorum(r.now) {
		return permissionWait
	}
	order := r.rankers[r.localCell].Rank(bucket)
	// lost counts the higher-ranking hosts that lost their state so recently that
	// callers may still retransmit requests that these hosts ran.
	lost := 0
	for _, name := range order.Names() {
		if name == r.self {
			break
		}
		state := r.detector.State(name)
		switch {
		case r.leftWithoutHandover(state, s.settings.Policy.ExchangeLifetime):
			return permissionUncertain
		case r.hasLeft(state):
			continue
		case state.Liveness == messenger.LivenessDead && r.detector.ConfirmedDead(name):
		case isJoining(state) && r.handedOverTo[name] != state.Incarnation:
		default:
			return permissionWait
		}
		if r.lostStateRecently(state, s.settings.Policy.ExchangeLifetime) {
			lost++
		}
	}
	// If only one host lost its state, the identities of its requests are stored by
	// its successor, which is this host. If two did, one may have stored those of
	// the other.
	if lost > 1 || r.homeCellChanged(bucket) || !r.joining.uncertaintyDeadline.Passed(r.now) {
		return permissionUncertain
	}
	return permissionGranted
}

// leftWithoutHandover reports whether a host left recently, while this host was
// ready, and handed its records only to other hosts because it considered this host
// dead.
func (r *Reducer) leftWithoutHandover(state detector.State, window time.Duration) bool {
	return state.Phase == messenger.PhaseLeft &&
		r.leaveHandoverFrom[state.Host] != state.Incarnation &&
		state.LeftAt > r.joining.readyAt &&
		!state.LeftAt.Add(window).Passed(r.now)
}

func (r *Reducer) lostStateRecently(state detector.State, window time.Duration) bool {
	return r.leftWithoutHandover(state, window) || (state.StateLostAt != 0 && !state.StateLostAt.Add(window).Passed(r.now))
}

func isJoining(state detector.State) bool {
	return state.Phase == messenger.PhaseJoining || state.Phase == messenger.PhaseWaited
}

// hasLeft reports whether a host has left, or has handed over its records to this
// host in its graceful shutdown; they may arrive before the heartbeat that reports
// the shutdown.
func (r *Reducer) hasLeft(state detector.State) bool {
	return state.Phase == messenger.PhaseLeft || (state.Incarnation != 0 && r.leaveHandoverFrom[state.Host] == state.Incarnation)
}

// homeCellChanged reports whether the home cell of a bucket changed so recently
// that requests from before the change may still be retransmitted.
func (r *Reducer) homeCellChanged(bucket placer.Bucket) bool {
	if r.homeMoveDeadline.Passed(r.now) {
		return false
	}
	return r.previousCells.Home(bucket) != r.cells.Home(bucket)
}
