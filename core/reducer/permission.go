package reducer

import (
	"time"

	"cranberryspan.dev/core/detector"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
)

// permission says whether this host may run a request that must run only once.
type permission uint8

const (
	// permissionGranted: no other host can run it, and this host knows every
	// request that may have run before.
	permissionGranted permission = iota + 1
	// permissionWait: it is not settled which host may run it.
	permissionWait
	// permissionUncertain: this host may run it, but a copy may have run at an
	// earlier owner whose records were lost.
	permissionUncertain
)

// checkPermission checks the right to run requests of a bucket.
//
// What goes wrong without it: a caller's datagram is repeated, the copies reach
// two hosts, and both take themselves for the owner, because one of them was
// paused, cut off or is new. One notices by a commitment that is booked twice.
// Four things together prevent it. The bucket's home cell depends on published
// settings alone. Within the cell the host holds the votes of a quorum. Every
// host that ranks higher has left, or a quorum gave it up for good. And this
// host holds the identities of all requests that ran within the time for which
// callers repeat them; where it does not, it says that the outcome is unknown.
func (r *Reducer) checkPermission(bucket placer.Bucket, s *service) permission {
	if r.cells.Home(bucket) != r.ownCell || !r.joining.mayAct(r.now) || r.steppedDown {
		return permissionWait
	}
	if r.settingsOutdated() || !r.detector.HasQuorum(r.now) {
		return permissionWait
	}
	order := r.rankers[r.ownCell].Rank(bucket)
	// lost counts the hosts above this one that lost their memory so recently
	// that callers may still repeat what they ran.
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
	// A host that is lost alone had its identities held by the next one, which
	// is this host. If two are lost, the one may have held the other's.
	if lost > 1 || r.homeCellChanged(bucket) || !r.joining.uncertaintyDeadline.Passed(r.now) {
		return permissionUncertain
	}
	return permissionGranted
}

// leftWithoutHandover reports whether a host left lately, while this host was ready,
// and gave its records to others only, since it believed this host to be dead.
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

func (r *Reducer) hasLeft(state detector.State) bool {
	return state.Phase == messenger.PhaseLeft || (state.Incarnation != 0 && r.leaveHandoverFrom[state.Host] == state.Incarnation)
}

// homeCellChanged reports whether a bucket had its home in another cell so recently
// that requests from then may be repeated.
func (r *Reducer) homeCellChanged(bucket placer.Bucket) bool {
	if r.homeMoveDeadline.Passed(r.now) {
		return false
	}
	return r.previousCells.Home(bucket) != r.cells.Home(bucket)
}
