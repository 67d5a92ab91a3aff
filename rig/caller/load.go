package caller

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Load describes the connections and requests of the callers of one service.
type Load struct {
	Service     string         `yaml:"service"`
	Address     netip.AddrPort `yaml:"address"`
	Connections int            `yaml:"connections"`
	// RequestsPerSecond is the rate of all connections together.
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
	// ShortMs and LongMs are the mean work times of short and long requests, in milliseconds. LongShare is the share of
	// long requests.
	ShortMs   float64 `yaml:"shortMs"`
	LongMs    float64 `yaml:"longMs"`
	LongShare float64 `yaml:"longShare"`
	// LongFromSeconds is the time after the start of the load from which long requests are drawn.
	LongFromSeconds float64 `yaml:"longFromSeconds"`
	// AnswerBytes is the mean size of answers, and UploadBytes that of the bodies of non-idempotent requests.
	AnswerBytes int `yaml:"answerBytes"`
	UploadBytes int `yaml:"uploadBytes"`
	// NonIdempotentShare is the share of requests that are POST without an idempotency key.
	NonIdempotentShare float64 `yaml:"unrepeatableShare"`
	// RedialShare is the share of requests after which a caller closes its connection and opens a new one.
	RedialShare float64 `yaml:"redialShare"`
	// Skew gives connection n a request rate proportional to (n+1)^-Skew; 0 means equal rates.
	Skew float64 `yaml:"skew"`
	// MaxRate limits the requests per second of each connection; 0 means no limit.
	MaxRate float64 `yaml:"greatestRate"`
	Surges  []Surge `yaml:"surges"`
}

// Surge multiplies the rate of requests for a while.
type Surge struct {
	AtSeconds float64 `yaml:"atSeconds"`
	Seconds   float64 `yaml:"seconds"`
	Factor    float64 `yaml:"factor"`
}

// rateFactor returns the factor by which surges multiply the request rate at a time after the start of the load, and
// the maximum of that factor.
func (l Load) rateFactor(after time.Duration) (current, maximum float64) {
	current, maximum = 1, 1
	for _, s := range l.Surges {
		maximum = max(maximum, s.Factor)
		if t := after.Seconds(); t >= s.AtSeconds && t < s.AtSeconds+s.Seconds {
			current = s.Factor
		}
	}
	return current, maximum
}

// MeanMs returns the mean work time of a request, in milliseconds.
func (l Load) MeanMs() float64 {
	return l.ShortMs*(1-l.LongShare) + l.LongMs*l.LongShare
}

// request holds the properties of a request.
type request struct {
	workMs        float64
	long          bool
	answerBytes   int
	uploadBytes   int
	nonIdempotent bool
	final         bool
}

// drawRequest draws the properties of a request that is sent at a time after the start of the load.
func (l Load) drawRequest(random *rand.Rand, after time.Duration) request {
	r := request{
		workMs:        l.ShortMs * (0.5 + random.Float64()),
		answerBytes:   random.IntN(2*l.AnswerBytes + 1),
		nonIdempotent: random.Float64() < l.NonIdempotentShare,
	}
	if random.Float64() < l.LongShare && after.Seconds() >= l.LongFromSeconds {
		r.long = true
		r.workMs = l.LongMs * (0.5 + random.Float64())
	}
	if r.nonIdempotent {
		r.uploadBytes = random.IntN(2*l.UploadBytes + 1)
	}
	return r
}

// rates returns the requests per second of each connection.
func (l Load) rates() []float64 {
	rates := make([]float64, l.Connections)
	var sum float64
	for n := range rates {
		rates[n] = math.Pow(float64(n+1), -l.Skew)
		sum += rates[n]
	}
	for n := range rates {
		rates[n] *= l.RequestsPerSecond / sum
		if l.MaxRate > 0 {
			rates[n] = min(rates[n], l.MaxRate)
		}
	}
	return rates
}

// thinkTime draws the exponentially distributed time before the next request of a connection with the given rate.
func thinkTime(rate float64, random *rand.Rand) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}
