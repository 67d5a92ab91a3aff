package facts

// TargetState is the lifecycle state of a target.
type TargetState string

// States of a target.
const (
	TargetReady    TargetState = "ready"
	TargetDraining TargetState = "draining"
	// TargetGone is the state of a target that has deregistered.
	TargetGone TargetState = "gone"
)

// Target describes the target to which an agent forwards flows.
type Target struct {
	// ID identifies the target. A restarted target may keep its ID.
	ID string `json:"id"`
	// StartedMs is the start time of the target's process in Unix milliseconds, according to its own clock.
	StartedMs int64       `json:"bornMs"`
	State     TargetState `json:"state"`
	// Slots is the number of requests that the target can process at once.
	Slots int `json:"slots"`
}

// SameIncarnation reports whether both describe the same run of the same target.
func (t Target) SameIncarnation(o Target) bool {
	return t.ID == o.ID && t.StartedMs == o.StartedMs
}
