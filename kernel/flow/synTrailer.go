package flow

import (
	"bytes"
	"strconv"

	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// trailerSeparator precedes the rate in the trailer of a SYN. No name of a service contains it.
const trailerSeparator = '\n'

// encodeTrailer returns the trailer of a SYN for a host of a service: the service's name and, if the plan limits the
// requests of its cold hosts, their number per second. described may be nil.
func encodeTrailer(service string, described *plan.Service) string {
	if described == nil || described.WarmupRate <= 0 {
		return service
	}
	return service + string(trailerSeparator) + strconv.FormatFloat(described.WarmupRate, 'g', -1, 64)
}

// decodeTrailer is the inverse of encodeTrailer. The rate is 0 if the trailer names none.
func decodeTrailer(trailer []byte) (service []byte, rate float64) {
	service, text, found := bytes.Cut(trailer, []byte{trailerSeparator})
	if found {
		rate, _ = strconv.ParseFloat(string(text), 64)
	}
	return service, max(rate, 0)
}
