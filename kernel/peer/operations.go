package peer

// The methods that operators call at instances.
const (
	MethodDrain  = "instance.drain"
	MethodMove   = "instance.move"
	MethodStatus = "instance.status"
)

// DrainRequest asks an agent to move its connections away and end.
type DrainRequest struct{}

// DrainReply says how many connections the agent held.
type DrainReply struct {
	Open int `json:"open"`
}

// MoveRequest asks an agent to move the connections it holds to others, for at most LimitMs milliseconds.
type MoveRequest struct {
	LimitMs int64 `json:"limitMs"`
}

// MoveReply says how many connections moved.
type MoveReply struct {
	Moved int `json:"moved"`
}

// StatusRequest asks for the state of an instance.
type StatusRequest struct{}

// StatusReply is the state of an instance. Open, Busy and Waiting are 0 at an entry.
type StatusReply struct {
	Instance string `json:"instance"`
	Digest   uint64 `json:"digest"`
	Members  int    `json:"members"`
	Open     int    `json:"open"`
	Busy     int    `json:"busy"`
	Waiting  int    `json:"waiting"`
}
