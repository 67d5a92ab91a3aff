package caller

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Load says what the callers of one service do.
type Load struct {
	Service     string         `yaml:"service"`
	Address     netip.AddrPort `yaml:"address"`
	Connections int            `yaml:"connections"`
	// RequestsPerSecond is the rate of all connections together.
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
	ShortMs           float64 `yaml:"shortMs"`
	LongMs            float64 `yaml:"longMs"`
	LongShare         float64 `yaml:"longShare"`
	AnswerBytes       int     `yaml:"answerBytes"`
	UploadBytes       int     `yaml:"uploadBytes"`
	// UnrepeatableShare is the share of requests that are POST without an idempotency key.
	UnrepeatableShare float64 `yaml:"unrepeatableShare"`
	// RedialShare is the share of requests after which a caller opens a new connection.
	RedialShare float64 `yaml:"redialShare"`
}

// request is one drawn request.
type request struct {
	millis       float64
	long         bool
	bytes        int
	upload       int
	unrepeatable bool
	final        bool
}

func (l Load) draw(random *rand.Rand) request {
	r := request{
		millis:       l.ShortMs * (0.5 + random.Float64()),
		bytes:        random.IntN(2*l.AnswerBytes + 1),
		unrepeatable: random.Float64() < l.UnrepeatableShare,
	}
	if random.Float64() < l.LongShare {
		r.long = true
		r.millis = l.LongMs * (0.5 + random.Float64())
	}
	if r.unrepeatable {
		r.upload = random.IntN(2*l.UploadBytes + 1)
	}
	return r
}

// think draws how long a connection waits before its next request.
func (l Load) think(random *rand.Rand) time.Duration {
	if l.RequestsPerSecond <= 0 {
		return time.Hour
	}
	mean := float64(l.Connections) / l.RequestsPerSecond
	return time.Duration(random.ExpFloat64() * mean * float64(time.Second))
}
