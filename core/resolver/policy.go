package resolver

import (
	"fmt"
	"strconv"
	"time"
)

// TargetState is the state of a target: whether it receives new flows.
type TargetState uint8

// The states of a target, as the settings tree writes them.
const (
	// TargetActive receives new flows.
	TargetActive TargetState = iota + 1
	// TargetDraining keeps its established flows and receives no new ones.
	TargetDraining
)

func (s TargetState) String() string {
	if s == TargetDraining {
		return "draining"
	}
	return "active"
}

// Priority orders services when a host has to shed load.
type Priority uint8

// The priorities, as the settings tree writes them.
const (
	// PriorityLow is shed first. It is for uploads that can wait.
	PriorityLow Priority = iota + 1
	// PriorityNormal is shed next.
	PriorityNormal
	// PriorityHigh is shed last. It is for short requests, such as checks and presence
	// presses.
	PriorityHigh
)

func (p Priority) String() string {
	switch p {
	case PriorityLow:
		return "low"
	case PriorityHigh:
		return "high"
	case PriorityNormal:
	}
	return "normal"
}

// Policy holds every value that a child inherits from its parent in the settings tree. It
// is immutable after Resolve has returned it.
type Policy struct {
	// RequestDeadline applies to a request that carries no deadline of its own.
	RequestDeadline time.Duration
	// ExchangeLifetime is the longest time over which a caller retransmits one request with
	// the same message ID, plus the time a datagram may spend in the network.
	ExchangeLifetime time.Duration
	// FlowIdleTimeout is how long an idle flow stays on its target.
	FlowIdleTimeout time.Duration
	// WarmUp is how long a new target takes to reach its full share of new flows.
	WarmUp time.Duration
	// MaxTenantInFlight bounds the requests, queued or at targets, of all services of one
	// tenant, on one host.
	MaxTenantInFlight int
	// MaxQueueLength bounds the requests that are queued for one target, on one host.
	MaxQueueLength int
	// RetryBudget bounds retries as a fraction of requests, 0 to 1.
	RetryBudget float64
	// MaxEjectedFraction bounds the fraction of a service's targets that failed health probes
	// may eject, 0 to 1.
	MaxEjectedFraction float64
	// Priority determines what is shed first.
	Priority Priority
	// Weight is a target's share of new flows, relative to its siblings.
	Weight int
	// Slots is how many requests a target runs concurrently.
	Slots int
	// MaxConnections is the largest number of flows of a target.
	MaxConnections int
	// State determines whether a target receives new flows.
	State TargetState
}

// DefaultPolicy applies where the tree sets nothing.
func DefaultPolicy() Policy {
	return Policy{
		RequestDeadline:    5 * time.Second,
		ExchangeLifetime:   60 * time.Second,
		FlowIdleTimeout:    10 * time.Minute,
		WarmUp:             10 * time.Second,
		MaxTenantInFlight:  10_000,
		MaxQueueLength:     64,
		RetryBudget:        0.1,
		MaxEjectedFraction: 0.5,
		Priority:           PriorityNormal,
		Weight:             100,
		Slots:              3,
		MaxConnections:     2000,
		State:              TargetActive,
	}
}

// policyField describes one inheritable key: how it is written, validated and formatted.
type policyField struct {
	key      string
	expected string
	// changeWarning tells an operator how a change of the key affects flows.
	changeWarning string
	parse         func(policy *Policy, text string) bool
	format        func(policy Policy) string
}

// policyFields is the table of all inheritable keys, in the order in which Explain lists
// them.
var policyFields = []policyField{
	durationField("requestDeadline", time.Millisecond, 10*time.Minute, func(p *Policy) *time.Duration { return &p.RequestDeadline }),
	durationField("exchangeLifetime", time.Second, 10*time.Minute, func(p *Policy) *time.Duration { return &p.ExchangeLifetime }),
	durationField("flowMemory", time.Second, 24*time.Hour, func(p *Policy) *time.Duration { return &p.FlowIdleTimeout }),
	durationField("warmUp", 0, time.Hour, func(p *Policy) *time.Duration { return &p.WarmUp }),
	intField("tenantInFlight", 1, 1_000_000, "", func(p *Policy) *int { return &p.MaxTenantInFlight }),
	intField("queueLength", 0, 100_000, "", func(p *Policy) *int { return &p.MaxQueueLength }),
	fractionField("retryShare", func(p *Policy) *float64 { return &p.RetryBudget }),
	fractionField("maxEjectedShare", func(p *Policy) *float64 { return &p.MaxEjectedFraction }),
	{
		key:      "priority",
		expected: "one of low, normal, high",
		parse: func(p *Policy, text string) bool {
			switch text {
			case "low":
				p.Priority = PriorityLow
			case "normal":
				p.Priority = PriorityNormal
			case "high":
				p.Priority = PriorityHigh
			default:
				return false
			}
			return true
		},
		format: func(p Policy) string { return p.Priority.String() },
	},
	intField("weight", 1, 10_000, "new flows are redistributed; established flows keep their targets", func(p *Policy) *int { return &p.Weight }),
	intField("slots", 1, 10_000, "", func(p *Policy) *int { return &p.Slots }),
	intField("connections", 1, 1_000_000, "", func(p *Policy) *int { return &p.MaxConnections }),
	{
		key:           "state",
		expected:      "one of active, draining",
		changeWarning: "a draining target gets no new flows; established flows keep it",
		parse: func(p *Policy, text string) bool {
			switch text {
			case "active":
				p.State = TargetActive
			case "draining":
				p.State = TargetDraining
			default:
				return false
			}
			return true
		},
		format: func(p Policy) string { return p.State.String() },
	},
}

func durationField(key string, low, high time.Duration, ptr func(*Policy) *time.Duration) policyField {
	return policyField{
		key:      key,
		expected: fmt.Sprintf("a duration from %s to %s, such as 5s", low, high),
		parse: func(p *Policy, text string) bool {
			d, err := time.ParseDuration(text)
			if err != nil || d < low || d > high {
				return false
			}
			*ptr(p) = d
			return true
		},
		format: func(p Policy) string { return ptr(&p).String() },
	}
}

func intField(key string, low, high int, changeWarning string, ptr func(*Policy) *int) policyField {
	return policyField{
		key:           key,
		expected:      fmt.Sprintf("a whole number from %d to %d", low, high),
		changeWarning: changeWarning,
		parse: func(p *Policy, text string) bool {
			n, err := strconv.Atoi(text)
			if err != nil || n < low || n > high {
				return false
			}
			*ptr(p) = n
			return true
		},
		format: func(p Policy) string { return strconv.Itoa(*ptr(&p)) },
	}
}

func fractionField(key string, ptr func(*Policy) *float64) policyField {
	return policyField{
		key:      key,
		expected: "a fraction from 0 to 1, such as 0.1",
		parse: func(p *Policy, text string) bool {
			fraction, err := strconv.ParseFloat(text, 64)
			if err != nil || !(fraction >= 0 && fraction <= 1) {
				return false
			}
			*ptr(p) = fraction
			return true
		},
		format: func(p Policy) string { return strconv.FormatFloat(*ptr(&p), 'g', -1, 64) },
	}
}

func fieldByKey(key string) (policyField, bool) {
	for _, f := range policyFields {
		if f.key == key {
			return f, true
		}
	}
	return policyField{}, false
}
