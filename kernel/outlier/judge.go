package outlier

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	// minHosts is the number of hosts that a service must have, and of hosts that must have said something.
	minHosts = 5
	// ejectOneIn is the number of placeable hosts of a service for each that may be ejected at once.
	ejectOneIn = 5
	// commonShare is the share of outliers from which the service as a whole is taken to be loaded.
	commonShare = 1.0 / 3
	// confirmTime is how long a host must be an outlier. Nothing is ejected while more than spreadShare of the hosts have
	// become outliers within that time: the hosts of a service that fails as a whole say so one after another, and without
	// this rule the first of them was ejected for some tenths of a second in two of six runs.
	confirmTime = 600 * time.Millisecond
	spreadShare = 0.1
	// shareAbove is by how many percent of its requests a host must fail more, or answer more of them quickly, than the
	// median host.
	shareAbove = 20
	// slowAbove compares the middle of a host's times with the end of the median host's, in levels, so that a kind of
	// request of which some hosts happen to get more does not make an outlier.
	slowAbove = 2
	// roomAfter is the highest utilisation of the other hosts with which one is ejected, and roomNeeded the one from which
	// an ejected host returns at once.
	roomAfter  = 0.95
	roomNeeded = 0.98
	// probation is how long a host stays ejected for the first time. It doubles each time that the host is ejected again
	// within forgetAfter of its return, up to maxProbation.
	probation    = 5 * time.Second
	maxProbation = 40 * time.Second
	forgetAfter  = 30 * time.Second
	// returnStep is how long a host that returns gets an eighth, a quarter and half of the flows that it would get.
	returnStep = time.Second
)

// Host is a placeable host of a service and what it said last, or nil.
type Host struct {
	Name   string
	Health *facts.Health
}

// Change is the ejection or the return of a host.
type Change struct {
	Name    string
	Ejected bool
	// Reason is failing, slow or quick for an ejection, and probation, load or room for a return.
	Reason string
	// Count is the number of ejected hosts of the service afterwards.
	Count int
	// Age is how long the host was ejected, or is to be.
	Age time.Duration
}

// Judge decides which hosts of one service are ejected. The zero value is ready to use.
type Judge struct {
	verdicts map[string]*verdict
}

// verdict is what a Judge remembers of a host that was an outlier.
type verdict struct {
	// suspectSince is since when the host is an outlier, or zero.
	suspectSince time.Time
	// ejectedAt and until bound the ejection. returned is when it ended; it is zero while the host is ejected.
	ejectedAt, until, returned time.Time
	length                     time.Duration
	lastSeen                   time.Time
	// full is set if the host gets all its flows again as soon as it returns.
	full bool
}

func (v *verdict) ejected() bool {
	return !v.ejectedAt.IsZero() && v.returned.IsZero()
}

// Active reports whether a decision may follow from the passage of time alone.
func (j *Judge) Active() bool {
	return len(j.verdicts) > 0
}

// EjectedCount returns the number of hosts that are ejected.
func (j *Judge) EjectedCount() int {
	n := 0
	for _, v := range j.verdicts {
		if v.ejected() {
			n++
		}
	}
	return n
}

// Share returns the share of its flows that a host may get now.
func (j *Judge) Share(now time.Time, name string) float64 {
	v := j.verdicts[name]
	switch {
	case v == nil || v.ejectedAt.IsZero():
		return 1
	case v.ejected():
		return 0
	case v.full:
		return 1
	}
	return min(0.125*float64(int(1)<<min(max(now.Sub(v.returned)/returnStep, 0), 3)), 1)
}

// outlier is a host whose report is far worse than the median.
type outlier struct {
	name     string
	reason   string
	severity int
}

// Decide returns the changes that follow from the reports of a service's placeable hosts. utilisation is the share of the
// room of those that are not ejected which is in use.
func (j *Judge) Decide(now time.Time, hosts []Host, utilisation float64) []Change {
	outliers, common := findOutliers(hosts)
	bad := map[string]outlier{}
	for _, o := range outliers {
		bad[o.name] = o
	}
	j.remember(now, hosts, bad)
	var changes []Change
	changes = j.endEjections(now, changes, hosts, bad, common, utilisation)
	if common {
		return changes
	}
	return j.eject(now, changes, hosts, outliers, utilisation)
}

// remember updates since when hosts are outliers and forgets those that were none for forgetAfter.
func (j *Judge) remember(now time.Time, hosts []Host, bad map[string]outlier) {
	for _, h := range hosts {
		v := j.verdicts[h.Name]
		if _, isBad := bad[h.Name]; !isBad {
			if v != nil {
				v.suspectSince = time.Time{}
			}
			continue
		}
		if v == nil {
			v = &verdict{}
			if j.verdicts == nil {
				j.verdicts = map[string]*verdict{}
			}
			j.verdicts[h.Name] = v
		}
		v.lastSeen = now
		if v.suspectSince.IsZero() {
			v.suspectSince = now
		}
	}
	for name, v := range j.verdicts {
		if !v.ejected() && now.Sub(v.lastSeen) > forgetAfter && now.Sub(v.returned) > forgetAfter {
			delete(j.verdicts, name)
		}
	}
}

// endEjections ends the ejections whose probation is over and whose hosts are no outliers any more, all if the service is
// slow or failing as a whole, and the oldest if the other hosts have no room.
func (j *Judge) endEjections(now time.Time, changes []Change, hosts []Host, bad map[string]outlier, common bool, utilisation float64) []Change {
	crowded := utilisation >= roomNeeded
	for _, name := range j.Ejected() {
		v := j.verdicts[name]
		_, isBad := bad[name]
		reason := ""
		switch {
		case common:
			reason = "load"
		case crowded || j.EjectedCount() > limit(hosts):
			reason, crowded = "room", false
		case !now.Before(v.until) && !isBad:
			reason = "probation"
		}
		if reason == "" {
			continue
		}
		v.returned, v.suspectSince, v.full = now, time.Time{}, reason != "probation"
		changes = append(changes, Change{Name: name, Reason: reason, Count: j.EjectedCount(), Age: now.Sub(v.ejectedAt)})
	}
	return changes
}

// Ejected returns the ejected hosts, those that were ejected first before others.
func (j *Judge) Ejected() []string {
	var names []string
	for name, v := range j.verdicts {
		if v.ejected() {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(j.verdicts[a].ejectedAt.Compare(j.verdicts[b].ejectedAt), cmp.Compare(a, b))
	})
	return names
}

// eject ejects the worst outliers that were so for confirmTime.
func (j *Judge) eject(now time.Time, changes []Change, hosts []Host, outliers []outlier, utilisation float64) []Change {
	if j.spreads(now, hosts, outliers) {
		return changes
	}
	for _, o := range outliers {
		v := j.verdicts[o.name]
		count := j.EjectedCount()
		left := float64(len(hosts) - count)
		if count >= limit(hosts) || utilisation*left/(left-1) >= roomAfter {
			break
		}
		if v.ejected() || v.suspectSince.IsZero() || now.Sub(v.suspectSince) < confirmTime {
			continue
		}
		if v.length == 0 || now.Sub(v.returned) > forgetAfter {
			v.length = probation
		} else {
			v.length = min(2*v.length, maxProbation)
		}
		v.ejectedAt, v.until, v.returned = now, now.Add(v.length), time.Time{}
		changes = append(changes, Change{Name: o.name, Ejected: true, Reason: o.reason, Count: count + 1, Age: v.length})
	}
	return changes
}

// spreads reports whether many hosts have just become outliers.
func (j *Judge) spreads(now time.Time, hosts []Host, outliers []outlier) bool {
	recent := 0
	for _, o := range outliers {
		if v := j.verdicts[o.name]; !v.ejected() && now.Sub(v.suspectSince) < confirmTime {
			recent++
		}
	}
	return float64(recent) > spreadShare*float64(len(hosts))
}

// limit returns how many of the hosts may be ejected.
func limit(hosts []Host) int {
	return len(hosts) / ejectOneIn
}

// findOutliers returns the hosts that are far worse than the median host, worst first. common is set if the service as a
// whole is slow or failing, or too many hosts differ from the median for it to mean anything.
func findOutliers(hosts []Host) (outliers []outlier, common bool) {
	median, reporting := medianOf(hosts)
	if reporting < minHosts || 2*reporting < len(hosts) {
		return nil, false
	}
	for _, h := range hosts {
		if h.Health == nil {
			continue
		}
		if reason, severity := compare(*h.Health, median); reason != "" {
			outliers = append(outliers, outlier{name: h.Name, reason: reason, severity: severity})
		}
	}
	slices.SortFunc(outliers, func(a, b outlier) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), cmp.Compare(a.name, b.name))
	})
	common = median.Failing >= shareFrom || median.Quick >= shareFrom || median.P70 >= unitLevel || float64(len(outliers)) > commonShare*float64(reporting)
	return outliers, common
}

// compare returns why a host is an outlier, or "", and how far it is from the median.
func compare(h, median facts.Health) (reason string, severity int) {
	switch {
	case h.Failing >= median.Failing+shareAbove:
		return "failing", h.Failing - median.Failing
	case h.Quick >= median.Quick+shareAbove:
		return "quick", h.Quick - median.Quick
	case h.P70 > 0 && median.P90 > 0 && h.P70 >= median.P90+slowAbove:
		return "slow", 10 * (h.P70 - median.P90)
	}
	return "", 0
}

// medianOf returns the median of each figure over the hosts that know it, and the number of hosts that said something.
func medianOf(hosts []Host) (median facts.Health, reporting int) {
	var columns [4][]int
	for _, h := range hosts {
		if h.Health == nil {
			continue
		}
		reporting++
		columns[0] = append(columns[0], h.Health.Failing)
		columns[1] = append(columns[1], h.Health.Quick)
		if h.Health.P70 > 0 {
			columns[2] = append(columns[2], h.Health.P70)
			columns[3] = append(columns[3], h.Health.P90)
		}
	}
	var m [4]int
	for i, c := range columns {
		if len(c) > 0 {
			slices.Sort(c)
			m[i] = c[len(c)/2]
		}
	}
	return facts.Health{Failing: m[0], Quick: m[1], P70: m[2], P90: m[3]}, reporting
}
