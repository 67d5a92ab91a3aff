package facts

import "time"

// SilenceTimeout is the time without contact after which a member is marked down.
const SilenceTimeout = 1500 * time.Millisecond

// Detector is a failure detector. It records when each member last contacted an instance and creates facts that mark
// silent members down. The zero value is ready to use. It is not safe for concurrent use.
type Detector struct {
	// lastContact maps each monitored member to the time of its last contact with this instance.
	lastContact map[string]time.Time
	// lastIndirectContact maps members to the time of their last contact with another instance, as reported by it.
	lastIndirectContact map[string]time.Time
	// lastCheck is the time of the last call of DetectSilent.
	lastCheck time.Time
}

// RecordContact records that a member contacted this instance at now.
func (d *Detector) RecordContact(instance string, now time.Time) {
	if d.lastContact == nil {
		d.lastContact = make(map[string]time.Time)
	}
	d.lastContact[instance] = now
}

// IsMonitored reports whether the member has contacted this instance or is expected to, and was not removed since.
func (d *Detector) IsMonitored(instance string) bool {
	_, ok := d.lastContact[instance]
	return ok
}

// RecordIndirectContact records how many milliseconds ago members contacted another instance.
func (d *Detector) RecordIndirectContact(agesMs map[string]int64, now time.Time) {
	if d.lastIndirectContact == nil {
		d.lastIndirectContact = make(map[string]time.Time)
	}
	for instance, age := range agesMs {
		at := now.Add(-time.Duration(age) * time.Millisecond)
		if at.After(d.lastIndirectContact[instance]) {
			d.lastIndirectContact[instance] = at
		}
	}
}

// Suspects returns the members that have not contacted this instance for at least half of SilenceTimeout.
func (d *Detector) Suspects(now time.Time) []string {
	var all []string
	for instance, at := range d.lastContact {
		if now.Sub(at) >= SilenceTimeout/2 {
			all = append(all, instance)
		}
	}
	return all
}

// ContactAges returns how many milliseconds ago each of the given members contacted this instance. Members without
// contact within SilenceTimeout are omitted.
func (d *Detector) ContactAges(instances []string, now time.Time) map[string]int64 {
	ages := make(map[string]int64, len(instances))
	for _, instance := range instances {
		at, ok := d.lastContact[instance]
		if age := now.Sub(at); ok && age < SilenceTimeout {
			ages[instance] = age.Milliseconds()
		}
	}
	return ages
}

// SetExpected sets the members that are expected to contact this instance. All others are removed. For new members, the
// timeout starts at now.
func (d *Detector) SetExpected(instances map[string]bool, now time.Time) {
	if d.lastContact == nil {
		d.lastContact = make(map[string]time.Time)
	}
	for instance := range d.lastContact {
		if !instances[instance] {
			delete(d.lastContact, instance)
		}
	}
	for instance := range instances {
		if _, ok := d.lastContact[instance]; !ok {
			d.lastContact[instance] = now
		}
	}
}

// DetectSilent returns facts that mark down the monitored members that contacted neither this instance nor, as far as
// known, any other for SilenceTimeout. If connected is false and more than half of the monitored members are silent, it
// assumes that this instance is isolated and marks none.
func (d *Detector) DetectSilent(now time.Time, s *Set, connected bool) []Fact {
	if d.resetAfterPause(now) {
		return nil
	}
	silent := d.silentMembers(now)
	if !connected && 2*len(silent) > len(d.lastContact) {
		return nil
	}
	var down []Fact
	for _, instance := range silent {
		delete(d.lastContact, instance)
		if f, ok := downFact(s, instance); ok {
			down = append(down, f)
		}
	}
	return down
}

// silentMembers returns the monitored members without direct or indirect contact for SilenceTimeout.
func (d *Detector) silentMembers(now time.Time) []string {
	var silent []string
	for instance, at := range d.lastContact {
		if now.Sub(at) >= SilenceTimeout && now.Sub(d.lastIndirectContact[instance]) >= SilenceTimeout {
			silent = append(silent, instance)
		}
	}
	return silent
}

// resetAfterPause reports whether this process was suspended before now, which it infers from a late call. In that case
// the silence says nothing about the members, so the timeout of each is restarted.
func (d *Detector) resetAfterPause(now time.Time) bool {
	last := d.lastCheck
	d.lastCheck = now
	if last.IsZero() || now.Sub(last) < SilenceTimeout/2 {
		return false
	}
	for instance := range d.lastContact {
		d.lastContact[instance] = now
	}
	return true
}

// downFact returns a fact that marks a member down. It returns false if the member is unknown, down or has left.
func downFact(s *Set, instance string) (Fact, bool) {
	return nextFact(s, instance, func(m *Member) bool {
		active := m.State != StateDown && m.State != StateLeft
		m.State = StateDown
		return active
	})
}

// RetireSuperseded returns facts that mark as left the members that are down and have lost their address to another
// one. A member that responds is not retired, because it would refute the fact.
func RetireSuperseded(s *Set, members []Member) []Fact {
	var retired []Fact
	_, conflicts := ResolveAddresses(members)
	for _, c := range conflicts {
		f, ok := nextFact(s, c.Loser.Instance, func(m *Member) bool {
			down := m.State == StateDown
			m.State = StateLeft
			return down && c.Holder.State != StateDown
		})
		if ok {
			retired = append(retired, f)
		}
	}
	return retired
}

// nextFact returns the next version of a member's fact, changed by update. It returns false if the member is unknown or
// update does.
func nextFact(s *Set, instance string, update func(m *Member) bool) (Fact, bool) {
	held, ok := s.Get(Key{Kind: KindMember, Name: instance})
	if !ok {
		return Fact{}, false
	}
	m, err := DecodeMember(held)
	if err != nil || !update(&m) {
		return Fact{}, false
	}
	f, err := m.Fact(held.Incarnation, held.Version+1)
	return f, err == nil
}
