package facts

// TargetState is where a target stands in its life.
type TargetState string

// The states of a target.
const (
	TargetReady    TargetState = "ready"
	TargetDraining TargetState = "draining"
	TargetGone     TargetState = "gone"
)

// Target is what an agent knows of the target beside it.
type Target struct {
	// ID names the target; one that starts again may keep it.
	ID string `json:"id"`
	// BornMs is when the target's process started, in Unix milliseconds by its own clock.
	BornMs int64       `json:"bornMs"`
	State  TargetState `json:"state"`
	Slots  int         `json:"slots"`
}

// SameIncarnation reports whether both are the same run of one target.
func (t Target) SameIncarnation(o Target) bool {
	return t.ID == o.ID && t.BornMs == o.BornMs
}
