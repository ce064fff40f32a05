package reducer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
	"github.com/stretchr/testify/require"
)

// Guards against responses that never reach their callers: when a request's owner
// dies after it sent the request to a target, the response reaches another host,
// while the owner still counts as alive or after that, and only the owner had the
// request's record.
func TestResponseReachesCallerAfterOwnerFailure(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	const flows = 100
	for _, target := range intRange(1, 14) {
		f.Target(driver.TargetAddress(target)).ProcessingTime = 3500 * time.Millisecond
	}
	tree := threeZoneTree()
	_ = tree
	for n := range flows {
		f.SendPacket("", requestID(n, 1, 1), requestPacket(openWrite))
	}
	f.Step(200 * time.Millisecond)
	f.Kill("a1")
	f.Step(6 * time.Second)
	for n := range flows {
		id := requestID(n, 1, 1)
		if f.Executions(id) == 0 {
			continue // It was lost on its way to the dead owner; the caller retransmits it.
		}
		_, refused := replyTo(f, id)
		require.True(t, answered(f, id) || refused, "request %d ran and its caller heard nothing", n)
	}
	requireAtMostOnce(t, f)
}

// Guards against responses matched by token alone: when a request times out and its
// caller reuses the token, the late response to the first request arrives before
// that to the second one and is delivered in its place.
func TestLateResponseNotMatchedToLaterRequest(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	first := requestID(1, 1, 1)
	f.Target(driver.TargetAddress(1)).ProcessingTime = 0
	for _, target := range intRange(1, 14) {
		f.Target(driver.TargetAddress(target)).ProcessingTime = 2500 * time.Millisecond
	}
	f.SendPacket("", first, requestPacket(openWrite))
	f.Step(2200 * time.Millisecond)
	reply, refused := replyTo(f, first)
	require.True(t, refused, "the deadline of 2 s is over")
	require.Equal(t, reducer.OutcomeUnknown, reply.Outcome)

	second := first
	second.Exchange.MessageID++
	f.SendPacket("", second, requestPacket(openWrite))
	f.Step(time.Second)
	require.False(t, answered(f, first), "the late answer reached the caller")
	f.Step(3 * time.Second)
	require.False(t, answered(f, first))
}

// Guards against responses matched by their order: when the responses of targets are
// duplicated and reordered in the network and arrive at different hosts, a caller
// could get a response twice, or parts of two responses.
func TestDuplicateAndReorderedResponsesMatchTheirRequests(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	ids := []driver.RequestID{requestID(1, 1, 1), requestID(1, 1, 2), requestID(2, 1, 1), requestID(3, 1, 1)}
	for _, id := range ids {
		f.SendPacket("", id, requestPacket(openRead))
	}
	f.Step(100 * time.Millisecond)
	for i := len(ids) - 1; i >= 0; i-- {
		f.SendResponse(targetOf(t, f, ids[i]), f.ReturnAddress(ids[i]), ids[i], messenger.FlagPiggybacked)
	}
	f.Step(100 * time.Millisecond)
	for _, a := range f.Responses {
		require.Equal(t, a.ID.Caller, a.Caller)
	}
	for _, id := range ids {
		require.True(t, answered(f, id))
	}
}

// Guards against responses delivered to another caller: when a request times out
// and its caller ends, a new caller gets the same address and port and sends a
// request with another token before the late response arrives. The return address
// contains the caller's address and port, but does not identify its user.
func TestLateResponseNotDeliveredToNextUserOfPort(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	for _, target := range intRange(1, 14) {
		f.Target(driver.TargetAddress(target)).ProcessingTime = 3 * time.Second
	}
	first := requestID(1, 1, 1)
	f.SendPacket("", first, requestPacket(openWrite))
	f.Step(2200 * time.Millisecond)
	next := requestID(1, 1, 77)
	f.SendPacket("", next, requestPacket(openRead))
	f.Step(1500 * time.Millisecond)
	require.False(t, answered(f, first))
}
