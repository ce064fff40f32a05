package reducer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/reducer"
	"github.com/stretchr/testify/require"
)

// singleSlotTree returns settings with one target of one slot for each service, so
// that requests queue.
func singleSlotTree() driver.SettingsTree {
	tree := threeZoneTree()
	tree.Services[0].TargetNumbers = []int{1}
	tree.Services[1].TargetNumbers = []int{21}
	tree.Defaults = []string{"exchangeLifetime: 12s", "slots: 1", "queueLength: 8"}
	return tree
}

// Guards against requests that run after they were refused as not run: when requests
// queue at a slow target and some are refused because the queue is full or their
// deadline has passed, late retransmissions arrive, also at the next owner after the
// first one died, and must not be handled as new requests.
func TestNotRunRefusalNeverRan(t *testing.T) {
	f := newFleet(t, singleSlotTree())
	f.Target(driver.TargetAddress(1)).ProcessingTime = 700 * time.Millisecond
	const flows = 120
	for n := range flows {
		f.SendPacket("", requestID(n, 1, 1), requestPacket(openWrite))
	}
	f.Step(3 * time.Second)
	for n := range flows {
		f.SendPacket("", requestID(n, 1, 1), requestPacket(openWrite))
	}
	f.Step(20 * time.Millisecond)
	f.Kill("a1")
	f.Kill("b1")
	f.Step(4 * time.Second)
	for n := range flows {
		f.SendPacket("", requestID(n, 1, 1), requestPacket(openWrite))
	}
	f.Step(6 * time.Second)
	refused := map[reducer.Reason]int{}
	for _, r := range f.Replies {
		refused[r.Reason]++
	}
	require.Positive(t, refused[reducer.RefuseQueueFull])
	require.Positive(t, refused[reducer.RefuseDeadline])
	requireAtMostOnce(t, f)
}

// Guards against timeouts reported as "not run": when a target receives a request and
// then becomes unresponsive or dies, the request may have run, so the outcome is
// unknown.
func TestTimeoutAfterSendIsUnknown(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	for _, n := range intRange(1, 14) {
		f.Target(driver.TargetAddress(n)).ProcessingTime = time.Hour
	}
	id := requestID(1, 1, 1)
	f.SendPacket("", id, requestPacket(openWrite))
	began := f.Now
	f.Step(3 * time.Second)
	reply, ok := replyTo(f, id)
	require.True(t, ok)
	require.Equal(t, reducer.OutcomeUnknown, reply.Outcome)
	require.Equal(t, 1, f.Executions(id))
	require.LessOrEqual(t, reply.At, began.Add(2100*time.Millisecond), "the final answer comes at once with the deadline")
}

// Guards against needless refusals: when a target sheds an idempotent request and
// reports that it did not run, the refusal must not go to the caller while another
// target has capacity.
func TestShedIdempotentRequestRunsElsewhere(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	read, write := requestID(1, 1, 1), requestID(1, 1, 2)
	f.SendPacket("", requestID(1, 1, 9), requestPacket(openRead))
	f.Step(100 * time.Millisecond)
	// The retry budget is a fraction of the requests, so send enough of them for a
	// retry.
	for n := range 40 {
		f.SendPacket("", requestID(1, 1, 100+n), requestPacket(openRead))
	}
	f.Step(200 * time.Millisecond)
	f.Target(targetOf(t, f, requestID(1, 1, 9))).RefusesRequests = true
	f.SendPacket("", read, requestPacket(openRead))
	f.SendPacket("", write, requestPacket(openWrite))
	f.Step(time.Second)
	require.True(t, answered(f, read))
	require.Equal(t, 1, f.Executions(read), "the read ran at another target")
	require.True(t, answered(f, write), "the refusal is passed on")
	require.Zero(t, f.Executions(write), "what must not run twice is handed to one target only")
}

// Guards against a tenant that delays the requests of others: when a tenant sends far
// more requests than its targets can handle, a limit per target alone would let it
// fill the queues.
func TestTenantCannotTakeAllSlots(t *testing.T) {
	tree := threeZoneTree()
	tree.Defaults = []string{"exchangeLifetime: 10s", "slots: 2", "queueLength: 1000", "tenantInFlight: 20"}
	f := newFleet(t, tree)
	for _, n := range intRange(1, 14) {
		f.Target(driver.TargetAddress(n)).ProcessingTime = time.Second
	}
	const flows = 600
	for n := range flows {
		f.SendPacket("", requestID(n, 1, 1), requestPacket(openWrite))
	}
	f.Step(time.Second)
	full := 0
	for _, r := range f.Replies {
		if r.Reason == reducer.RefuseTenantFull {
			full++
		}
	}
	require.GreaterOrEqual(t, full, flows-20*len(f.HostNames()))
	f.Step(10 * time.Second)
	requireAtMostOnce(t, f)
}

// Guards against refusals that come only at the deadline: when the expected wait in a
// slow target's queue exceeds a request's deadline, the request must be refused at
// once.
func TestRequestThatWouldMissDeadlineRefusedImmediately(t *testing.T) {
	tree := singleSlotTree()
	tree.Defaults = []string{"exchangeLifetime: 12s", "slots: 1", "queueLength: 1000"}
	f := newFleet(t, tree)
	f.Target(driver.TargetAddress(1)).ProcessingTime = 300 * time.Millisecond
	for n := range 8 {
		f.SendPacket("", requestID(n, 1, 1), requestPacket(openWrite))
		f.Step(400 * time.Millisecond)
	}
	began := f.Now
	const flows = 200
	for n := range flows {
		f.SendPacket("", requestID(n, 1, 2), requestPacket(openWrite))
	}
	f.Step(500 * time.Millisecond)
	refusedImmediately := 0
	for _, r := range f.Replies {
		if r.Reason == reducer.RefuseTooLate && r.At < began.Add(500*time.Millisecond) {
			refusedImmediately++
		}
	}
	require.Greater(t, refusedImmediately, flows/3)
	f.Step(5 * time.Second)
	requireAtMostOnce(t, f)
}
