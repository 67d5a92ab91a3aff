package peer

// JSON-RPC methods that operators call on instances.
const (
	MethodDrain  = "instance.drain"
	MethodMove   = "instance.move"
	MethodStatus = "instance.status"
)

// DrainRequest asks an agent to move its connections to other agents and shut down.
type DrainRequest struct{}

// DrainReply reports how many connections the agent held when the drain started.
type DrainReply struct {
	Open int `json:"open"`
}

// MoveRequest asks an agent to move its connections to other agents for at most LimitMs milliseconds.
type MoveRequest struct {
	LimitMs int64 `json:"limitMs"`
}

// MoveReply reports how many connections were moved.
type MoveReply struct {
	Moved int `json:"moved"`
}

// StatusRequest asks an instance for its status.
type StatusRequest struct{}

// StatusReply is the status of an instance. Members is 0 for an agent. Open (connections or flows), Busy (requests in
// progress) and Waiting (queued requests) are 0 for an entry.
type StatusReply struct {
	Instance string `json:"instance"`
	Digest   uint64 `json:"digest"`
	Members  int    `json:"members"`
	Open     int    `json:"open"`
	Busy     int    `json:"busy"`
	Waiting  int    `json:"waiting"`
	// Pace is an agent's limit on the concurrent requests of its target, or 0 if there is none.
	Pace int `json:"pace,omitempty"`
	// Cold is set if the agent limits the new flows of its target because it is cold.
	Cold bool `json:"cold,omitempty"`
	// Ejected holds the hosts that get no new flows from an entry because of their answers, by service.
	Ejected map[string][]string `json:"ejected,omitempty"`
}
