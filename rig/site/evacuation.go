package site

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootline/coltsfootline/platform"
)

// evacuationLimit is the platform's limit on the time from the store's acknowledgement of an evacuation until no new flow
// reaches a host of the data centre.
const evacuationLimit = 5 * time.Second

// evacuate evacuates a data centre for longer than evacuationLimit and then ends the evacuation. Only one data centre is
// evacuated at a time.
func (s *Site) evacuate(r *rand.Rand) string {
	s.evacuationMutex.Lock()
	defer s.evacuationMutex.Unlock()
	name, kind := dataCentre(r.IntN(2)), platform.PlanFormat{}.EvacuationsKind()
	if err := s.operator.put(kind, name, []byte("{}")); err != nil {
		s.Checker.report("evacuation", err.Error())
		return name + " not placed"
	}
	s.Checker.recordEvacuation(time.Now(), name)
	time.Sleep(evacuationLimit + randomDuration(r))
	s.Checker.recordEvacuation(time.Time{}, name)
	if err := s.operator.remove(kind, name); err != nil {
		s.Checker.report("evacuation", err.Error())
	}
	return name
}

// recordEvacuation records when the store acknowledged the evacuation of a data centre. The zero time ends it.
func (c *Checker) recordEvacuation(acknowledged time.Time, dataCentre string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.evacuatedAt == nil {
		c.evacuatedAt = map[string]time.Time{}
	}
	c.evacuatedAt[dataCentre] = acknowledged
}

// checkEvacuated checks that a SYN that reached a target at now does not belong to a host that has been evacuated for
// longer than evacuationLimit. Disrupted links to the store or between instances extend the limit. The mutex must be held.
func (c *Checker) checkEvacuated(now time.Time, flow string, inc *incarnation) {
	at := c.evacuatedAt[agentDataCentre(inc.agentIndex)]
	if !at.IsZero() && now.Sub(at) > evacuationLimit && now.Sub(c.lastLinkDisruption) > evacuationLimit {
		c.reportLocked("evacuated", fmt.Sprintf("a SYN of %s reached %s %s after the evacuation of its data centre", flow, inc.target.ID, now.Sub(at)))
	}
}

// recordLinkDisruption records a disruption of links to the store or between instances.
func (c *Checker) recordLinkDisruption(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastLinkDisruption = now
}
