package placement

import "time"

// TokenBucket admits at most Burst plus Rate times the elapsed seconds in any period. The zero value admits nothing; a
// bucket is empty until its first use. It is not safe for concurrent use.
type TokenBucket struct {
	// Rate is the number of tokens per second, and Burst the number that the bucket holds.
	Rate  float64
	Burst float64

	tokens  float64
	updated time.Time
}

// Take removes a token and reports whether there was one.
func (b *TokenBucket) Take(now time.Time) bool {
	if b.updated.IsZero() {
		b.updated = now
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens += b.Rate * elapsed.Seconds()
		b.updated = now
	}
	b.tokens = min(b.tokens, b.Burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Empty removes all tokens.
func (b *TokenBucket) Empty(now time.Time) {
	b.tokens, b.updated = 0, now
}
