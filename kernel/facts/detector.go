package facts

import (
	"time"
)

// SilenceTimeout is how long a member may be silent before it is marked down.
const SilenceTimeout = 1500 * time.Millisecond

// Detector notes when members were last heard and proposes facts for those that went silent.
// The zero value is ready to use. It belongs to one control thread.
type Detector struct {
	heard     map[string]time.Time
	others    map[string]time.Time
	lastCheck time.Time
}

// Heard notes that a member spoke to this instance at now.
func (d *Detector) Heard(instance string, now time.Time) {
	if d.heard == nil {
		d.heard = make(map[string]time.Time)
	}
	d.heard[instance] = now
}

// Hears reports whether the member ever spoke to this instance.
func (d *Detector) Hears(instance string) bool {
	_, ok := d.heard[instance]
	return ok
}

// HeardByOther notes how long ago, in milliseconds, another instance heard members.
func (d *Detector) HeardByOther(agesMs map[string]int64, now time.Time) {
	if d.others == nil {
		d.others = make(map[string]time.Time)
	}
	for instance, age := range agesMs {
		at := now.Add(-time.Duration(age) * time.Millisecond)
		if at.After(d.others[instance]) {
			d.others[instance] = at
		}
	}
}

// Suspects names the members that have been silent to this instance for half of SilenceTimeout.
func (d *Detector) Suspects(now time.Time) []string {
	var all []string
	for instance, at := range d.heard {
		if now.Sub(at) >= SilenceTimeout/2 {
			all = append(all, instance)
		}
	}
	return all
}

// Ages returns how long ago, in milliseconds, some members spoke to this instance; silent ones are left out.
func (d *Detector) Ages(instances []string, now time.Time) map[string]int64 {
	ages := make(map[string]int64, len(instances))
	for _, instance := range instances {
		at, ok := d.heard[instance]
		if age := now.Sub(at); ok && age < SilenceTimeout {
			ages[instance] = age.Milliseconds()
		}
	}
	return ages
}

// Expect names the members that should speak to this instance. Others are forgotten, and those that are new get a
// whole timeout.
func (d *Detector) Expect(instances map[string]bool, now time.Time) {
	if d.heard == nil {
		d.heard = make(map[string]time.Time)
	}
	for instance := range d.heard {
		if !instances[instance] {
			delete(d.heard, instance)
		}
	}
	for instance := range instances {
		if _, ok := d.heard[instance]; !ok {
			d.heard[instance] = now
		}
	}
}

// Silent returns facts that mark down each member that was silent for SilenceTimeout everywhere. An instance that is
// not joined to the others believes no silence of the greater part of its members.
func (d *Detector) Silent(now time.Time, s *Set, joined bool) []Fact {
	if d.pausedUntil(now) {
		return nil
	}
	silent := d.silent(now)
	if !joined && 2*len(silent) > len(d.heard) {
		return nil
	}
	var down []Fact
	for _, instance := range silent {
		delete(d.heard, instance)
		if f, ok := markedDown(s, instance); ok {
			down = append(down, f)
		}
	}
	return down
}

func (d *Detector) silent(now time.Time) []string {
	var silent []string
	for instance, at := range d.heard {
		if now.Sub(at) >= SilenceTimeout && now.Sub(d.others[instance]) >= SilenceTimeout {
			silent = append(silent, instance)
		}
	}
	return silent
}

// pausedUntil reports that this process did not run for a while before now: silence then says nothing
// about the others, so that each gets a whole timeout anew.
func (d *Detector) pausedUntil(now time.Time) bool {
	last := d.lastCheck
	d.lastCheck = now
	if last.IsZero() || now.Sub(last) < SilenceTimeout/2 {
		return false
	}
	for instance := range d.heard {
		d.heard[instance] = now
	}
	return true
}

func markedDown(s *Set, instance string) (Fact, bool) {
	held, ok := s.Get(Key{Kind: KindMember, Name: instance})
	if !ok {
		return Fact{}, false
	}
	m, err := MemberOf(held)
	if err != nil || m.State == StateDown || m.State == StateLeft {
		return Fact{}, false
	}
	m.State = StateDown
	f, err := m.Fact(held.Incarnation, held.Version+1)
	return f, err == nil
}
