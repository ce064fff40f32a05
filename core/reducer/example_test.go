package reducer_test

import (
	"fmt"
	"net/netip"
	"time"

	"cranberryspan.dev/core/detector"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/timekeeper"
)

// A harness passes events to a reducer and inspects the effects. It needs no other
// part of the daemon, and can run any number of reducers in one process; package
// driver connects several of them.
func ExampleReducer_Reduce() {
	const tree = `version: 1
peerKeys: [a-key-for-this-example]
defaults: {exchangeLifetime: 1s}
regions:
  sicily:
    returnPrefix: fd00:51c1::/64
    availabilityZones:
      pa-hall:
        hosts:
          pa-1: {address: 10.0.0.1:7000, fabricAddress: 10.0.0.1:7001}
    services:
      ledger:
        id: 1
        tenant: consorzio
        address: 10.1.0.1:5683
        targets:
          ledger-01: {availabilityZone: pa-hall, address: 10.2.0.1:5683}
`
	now := timekeeper.Instant(time.Second)
	host := reducer.New(reducer.Config{Self: "pa-1", Incarnation: 1, Seed: 1, Timing: detector.DefaultTiming(), Start: now})
	host.Reduce(&reducer.SettingsPublished{At: now, Revision: 1, Document: []byte(tree)})
	for !host.Ready() {
		now = now.Add(reducer.TickInterval)
		host.Reduce(&reducer.Tick{At: now})
	}
	request := &reducer.CallerPacket{
		At:      now,
		Arrived: now,
		Caller:  netip.MustParseAddrPort("192.168.0.7:40000"),
		Service: netip.MustParseAddrPort("10.1.0.1:5683"),
		Packet: messenger.Packet{
			Kind:     messenger.KindRequest,
			Flags:    messenger.FlagOpensFlow,
			Exchange: messenger.Exchange{MessageID: 1, Token: 7, TokenLength: 8},
		},
	}
	for range 2 {
		for _, effect := range host.Reduce(request) {
			if e, ok := effect.(*reducer.ToTarget); ok {
				fmt.Println("to", e.Target, "from", e.Return)
			}
		}
	}
	fmt.Println("copies dropped:", host.Count(reducer.DropDuplicate))
	// Output:
	// to 10.2.0.1:5683 from fd00:51c1::c0a8:7:9c40:1
	// copies dropped: 1
}
