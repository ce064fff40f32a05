package reducer

// Reason identifies a counter: why a packet was dropped, why a request was refused,
// or another occurrence that operators monitor.
type Reason uint8

// The reasons, in the order in which the metrics list them.
const (
	DropUnknownService Reason = iota
	DropUnknownCaller
	DropUnknownTarget
	DropNoTarget
	DropHopLimit
	DropLateAnswer
	DropDuplicate
	DropHeldOverflow
	DropStale
	RefuseDeadline
	RefuseQueueFull
	RefuseTenantFull
	RefuseTooLate
	RefuseNoTarget
	RefuseNoOwner
	RefuseUncertain
	RefuseUnanswered
	RefuseHeld
	RefuseIsolated
	CountForwarded
	CountOwned
	CountFallback
	CountRetries
	CountFlowsMoved
	CountExceptionsSent
	CountWitnessed
	CountUnwitnessed
	numReasons
)

var reasonNames = [numReasons]string{
	DropUnknownService:  "dropUnknownService",
	DropUnknownCaller:   "dropUnknownCaller",
	DropUnknownTarget:   "dropUnknownTarget",
	DropNoTarget:        "dropNoTarget",
	DropHopLimit:        "dropHopLimit",
	DropLateAnswer:      "dropLateAnswer",
	DropDuplicate:       "dropDuplicate",
	DropHeldOverflow:    "dropHeldOverflow",
	DropStale:           "dropStale",
	RefuseDeadline:      "refuseDeadline",
	RefuseQueueFull:     "refuseQueueFull",
	RefuseTenantFull:    "refuseTenantFull",
	RefuseTooLate:       "refuseTooLate",
	RefuseNoTarget:      "refuseNoTarget",
	RefuseNoOwner:       "refuseNoOwner",
	RefuseUncertain:     "refuseUncertain",
	RefuseUnanswered:    "refuseUnanswered",
	RefuseHeld:          "refuseHeld",
	RefuseIsolated:      "refuseIsolated",
	CountForwarded:      "forwarded",
	CountOwned:          "owned",
	CountFallback:       "fallback",
	CountRetries:        "retries",
	CountFlowsMoved:     "flowsMoved",
	CountExceptionsSent: "exceptionsSent",
	CountWitnessed:      "witnessed",
	CountUnwitnessed:    "unwitnessed",
}

func (r Reason) String() string {
	if r < numReasons {
		return reasonNames[r]
	}
	return "unknown"
}

// Reasons returns every Reason in order.
func Reasons() []Reason {
	reasons := make([]Reason, numReasons)
	for i := range reasons {
		reasons[i] = Reason(i)
	}
	return reasons
}

func (r *Reducer) count(reason Reason) { r.counts[reason]++ }

// Count returns how often a reason was counted since the host started.
func (r *Reducer) Count(reason Reason) uint64 { return r.counts[reason] }
