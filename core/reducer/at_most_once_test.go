package reducer_test

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// Guards against a non-idempotent request that runs twice: duplicates of one
// datagram reach different hosts at the same moment, and each host treats its own
// as a new request.
func TestDuplicatesAtManyHostsRunOnce(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	for n := range 50 {
		for _, host := range f.HostNames() {
			f.SendPacket(host, requestID(n, 1, 1), requestPacket(openWrite))
		}
	}
	f.Step(time.Second)
	for n := range 50 {
		require.Equal(t, 1, f.Executions(requestID(n, 1, 1)))
		require.True(t, answered(f, requestID(n, 1, 1)))
	}
}

// Guards against a non-idempotent request that runs twice right after a host died:
// the owner sends requests and dies, and callers retransmit them, at every moment
// before and after the owner is declared dead. The next owner would have no record
// of what the dead one has sent.
func TestRetransmissionAfterOwnerFailureRunsOnce(t *testing.T) {
	for _, victims := range [][]string{{"a1"}, {"a2"}, {"c1"}, {"a1", "a2"}, {"a1", "b1", "c1"}} {
		t.Run(fmt.Sprint(victims), func(t *testing.T) {
			f := newFleet(t, threeZoneTree())
			const flows = 150
			for n := range flows {
				f.SendPacket("", requestID(n, 1, 1), requestPacket(openWrite))
				f.Step(tickInterval)
				if n == flows/2 {
					for _, name := range victims {
						f.Kill(name)
					}
				}
			}
			for range 20 {
				for n := range flows {
					f.SendPacket("", requestID(n, 1, 1), requestPacket(openWrite))
				}
				f.Step(300 * time.Millisecond)
			}
			requireAtMostOnce(t, f)
		})
	}
}

const tickInterval = 20 * time.Millisecond

// Guards against a non-idempotent request that runs twice after a host was paused:
// the owner is paused with datagrams queued, another host takes over its flows and
// runs the callers' retransmissions, and the owner resumes. An owner that does not
// detect its pause would run the queued datagrams as well.
func TestResumedOwnerRunsNothingTwice(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2600 * time.Millisecond, 5 * time.Second, 30 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			f := newFleet(t, threeZoneTree())
			const flows = 150
			// Callers retransmit a request for 8 s, less than the exchange
			// lifetime.
			began := f.Now
			number := func() int { return 1 + int((f.Now-began)/timekeeper.Instant(8*time.Second)) }
			f.Pause("a1")
			f.Pause("b2")
			for n := range flows {
				for range 3 {
					f.SendPacket("", requestID(n, 1, 1), requestPacket(openWrite))
				}
			}
			retransmit := func() {
				for n := range flows {
					f.SendPacket("", requestID(n, 1, number()), requestPacket(openWrite))
				}
				f.Step(250 * time.Millisecond)
			}
			for end := f.Now.Add(pause); f.Now < end; {
				retransmit()
			}
			f.Resume("a1")
			f.Resume("b2")
			for range 30 {
				retransmit()
			}
			requireAtMostOnce(t, f)
		})
	}
}

// Guards against a non-idempotent request that runs twice while zones are
// partitioned: a zone, a host or half of a cell is partitioned, duplicates of a
// datagram reach both sides, and the partition heals. Both sides would act as the
// owner.
func TestPartitionRunsRequestsOnce(t *testing.T) {
	groups := [][]string{{"a1", "a2", "a3"}, {"a1"}, {"a3"}, {"a1", "b1", "c1"}, {"c1"}, {"c2"}, {"a1", "a2", "b1", "c2"}}
	for _, group := range groups {
		t.Run(fmt.Sprint(group), func(t *testing.T) {
			f := newFleet(t, threeZoneTree())
			f.Partition(group...)
			retransmit := func(from, to int) {
				for n := from; n < to; n++ {
					for _, host := range f.HostNames() {
						f.SendPacket(host, requestID(n, 1, 1), requestPacket(openWrite))
					}
				}
				f.Step(300 * time.Millisecond)
			}
			for round := range 25 {
				retransmit(round*4, round*4+60)
			}
			f.HealPartition(group...)
			for round := range 25 {
				retransmit(100+round*4, 160+round*4)
			}
			requireAtMostOnce(t, f)
			ran := 0
			for n := range 100 {
				ran += f.Executions(requestID(n, 1, 1))
			}
			require.Positive(t, ran, "something is served on one side at least")
		})
	}
}

// Guards against a non-idempotent request that runs twice while hosts are shut down
// and started: hosts leave and join, one of them while another is paused or dies,
// and callers keep retransmitting. Two hosts would act while records are in transit
// between them.
func TestRetransmissionsDuringHandoverRunOnce(t *testing.T) {
	disturbances := map[string]func(f *driver.Simulation){
		"nothing else":       func(*driver.Simulation) {},
		"a host dies":        func(f *driver.Simulation) { f.Kill("a3") },
		"a host is paused":   func(f *driver.Simulation) { f.Pause("a3") },
		"the leaver dies":    func(f *driver.Simulation) { f.Kill("a1") },
		"the leaver freezes": func(f *driver.Simulation) { f.Pause("a1") },
		"the link breaks":    func(f *driver.Simulation) { f.CutLink("a1", "a2") },
	}
	for name, disturbance := range disturbances {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, threeZoneTree())
			const flows = 60
			number := 0
			retransmit := func(rounds int) {
				for range rounds {
					number++
					for n := range flows {
						f.SendPacket("", requestID(n, 1, 1+number/8), requestPacket(openWrite))
						f.SendPacket("", requestID(n, 1, 1+number/8), requestPacket(openWrite))
					}
					f.Step(60 * time.Millisecond)
				}
			}
			retransmit(10)
			f.Shutdown("a1")
			f.Step(time.Millisecond)
			disturbance(f)
			retransmit(60)
			f.Start("a1")
			f.HealLink("a1", "a2")
			retransmit(40)
			if !f.Running("a3") {
				f.Resume("a3")
			}
			retransmit(60)
			requireAtMostOnce(t, f)
		})
	}
}

// Guards against a request that runs twice after two hosts were shut down together:
// two hosts of a cell leave at once, while the link between two of its hosts is cut
// for a moment. Each of the two hands flows over to the other, and one considers the
// other as left when it has received only its own part of the flows.
func TestTwoHostsOfCellLeaveTogether(t *testing.T) {
	type variant struct {
		cut   [2]string
		delay time.Duration
	}
	variants := []variant{{cut: [2]string{"a1", "a2"}}, {cut: [2]string{"a2", "a3"}}, {cut: [2]string{"a1", "a3"}}}
	for ticks := range 5 {
		variants = append(variants, variant{delay: time.Duration(ticks) * tickInterval})
	}
	for _, v := range variants {
		t.Run(fmt.Sprint(v.cut, v.delay), func(t *testing.T) {
			cut := v.cut
			f := newFleet(t, threeZoneTree())
			f.CutLink(cut[0], cut[1])
			f.Step(time.Second)
			f.Shutdown("a2")
			f.Step(v.delay)
			f.Shutdown("a1")
			const flows = 40
			for number := 1; number <= 3; number++ {
				for n := range flows {
					f.SendPacket("", requestID(n, 1, number), requestPacket(openWrite))
				}
				f.Step(tickInterval)
			}
			f.HealLink(cut[0], cut[1])
			for range 50 {
				for number := 1; number <= 3; number++ {
					for n := range flows {
						f.SendPacket("", requestID(n, 1, number), requestPacket(openWrite))
					}
				}
				f.Step(100 * time.Millisecond)
			}
			require.True(t, f.HasLeft("a1"))
			require.True(t, f.HasLeft("a2"))
			requireAtMostOnce(t, f)
			for n := range flows {
				f.SendPacket("", requestID(n, 1, 9), requestPacket(openWrite))
			}
			f.Step(2 * time.Second)
			for n := range flows {
				require.Equal(t, 1, f.Executions(requestID(n, 1, 9)), "the cell goes on with the host that stays")
			}
		})
	}
}

// Guards against a non-idempotent request that runs twice while a whole zone is
// shut down: the hosts of a cell leave one right after another, and the second
// finds that the third leaves too, so that no host takes its records. The third
// still has requests to finish, learns that the second has left, and acts on the
// second's flows, although the second has not handed them over to it.
func TestLastHostDoesNotActOnUnreceivedRecords(t *testing.T) {
	orders := [][]string{{"a1", "a2", "a3"}, {"a1", "a3", "a2"}, {"a2", "a1", "a3"}, {"a2", "a3", "a1"}, {"a3", "a1", "a2"}, {"a3", "a2", "a1"}}
	for _, order := range orders {
		for ticks := range 3 {
			t.Run(fmt.Sprint(order, ticks), func(t *testing.T) {
				f := newFleet(t, threeZoneTree())
				for _, n := range intRange(1, 14) {
					f.Target(driver.TargetAddress(n)).ProcessingTime = 1500 * time.Millisecond
				}
				sendRequests := func(numbers int) {
					for number := 1; number <= numbers; number++ {
						for n := range 60 {
							f.SendPacket("", requestID(n, 1, number), requestPacket(openWrite))
						}
					}
				}
				sendRequests(1)
				f.Step(100 * time.Millisecond)
				for i, name := range order {
					f.Shutdown(name)
					sendRequests(i + 2)
					f.Step(time.Duration(ticks) * tickInterval)
				}
				for range 40 {
					sendRequests(4)
					f.Step(50 * time.Millisecond)
				}
				requireAtMostOnce(t, f)
			})
		}
	}
}

// Guards against requests of some callers that are refused while every host is
// healthy: one link inside a cell breaks, while both ends still reach the third
// host. An owner would wait for a successor that it can't reach, or a host would be
// unable to forward a packet to its owner.
func TestSingleLinkFailureInCellRefusesNothing(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	f.CutLink("a1", "a3")
	const flows = 200
	sendRequests := func(number int) {
		for n := range flows {
			f.SendPacket("", requestID(n, 1, number), requestPacket(openWrite))
		}
		f.Step(3 * time.Second)
	}
	f.Step(4 * time.Second)
	sendRequests(2)
	sendRequests(3)
	for number := 2; number <= 3; number++ {
		for n := range flows {
			require.True(t, answered(f, requestID(n, 1, number)), "request %d of caller %d", number, n)
		}
	}
	f.HealLink("a1", "a3")
	f.Step(5 * time.Second)
	sendRequests(4)
	for n := range flows {
		require.True(t, answered(f, requestID(n, 1, 4)))
	}
	requireAtMostOnce(t, f)
}
