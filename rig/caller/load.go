package caller

import (
	"math"
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
	// LongFromSeconds is when long requests begin.
	LongFromSeconds float64 `yaml:"longFromSeconds"`
	AnswerBytes     int     `yaml:"answerBytes"`
	UploadBytes     int     `yaml:"uploadBytes"`
	// UnrepeatableShare is the share of requests that are POST without an idempotency key.
	UnrepeatableShare float64 `yaml:"unrepeatableShare"`
	// RedialShare is the share of requests after which a caller opens a new connection.
	RedialShare float64 `yaml:"redialShare"`
	// Skew makes connection n ask at a rate proportional to (n+1)^-Skew; 0 means equal rates.
	Skew float64 `yaml:"skew"`
	// GreatestRate bounds the requests per second of one connection under skew.
	GreatestRate float64 `yaml:"greatestRate"`
	Surges       []Surge `yaml:"surges"`
}

// Surge multiplies the rate of requests for a while.
type Surge struct {
	AtSeconds float64 `yaml:"atSeconds"`
	Seconds   float64 `yaml:"seconds"`
	Factor    float64 `yaml:"factor"`
}

// factor is how much the rate is multiplied at a time after the start of the load, and at most.
func (l Load) factor(after time.Duration) (now, greatest float64) {
	now, greatest = 1, 1
	for _, s := range l.Surges {
		greatest = max(greatest, s.Factor)
		if t := after.Seconds(); t >= s.AtSeconds && t < s.AtSeconds+s.Seconds {
			now = s.Factor
		}
	}
	return now, greatest
}

// MeanMs is the mean time that a request needs.
func (l Load) MeanMs() float64 {
	return l.ShortMs*(1-l.LongShare) + l.LongMs*l.LongShare
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

func (l Load) draw(random *rand.Rand, after time.Duration) request {
	r := request{
		millis:       l.ShortMs * (0.5 + random.Float64()),
		bytes:        random.IntN(2*l.AnswerBytes + 1),
		unrepeatable: random.Float64() < l.UnrepeatableShare,
	}
	if random.Float64() < l.LongShare && after.Seconds() >= l.LongFromSeconds {
		r.long = true
		r.millis = l.LongMs * (0.5 + random.Float64())
	}
	if r.unrepeatable {
		r.upload = random.IntN(2*l.UploadBytes + 1)
	}
	return r
}

// rates lists how many requests a second each connection makes.
func (l Load) rates() []float64 {
	rates := make([]float64, l.Connections)
	var sum float64
	for n := range rates {
		rates[n] = math.Pow(float64(n+1), -l.Skew)
		sum += rates[n]
	}
	for n := range rates {
		rates[n] *= l.RequestsPerSecond / sum
		if l.GreatestRate > 0 {
			rates[n] = min(rates[n], l.GreatestRate)
		}
	}
	return rates
}

// think draws how long a connection with a rate waits before its next request.
func think(rate float64, random *rand.Rand) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}
