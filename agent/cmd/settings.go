package cmd

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/coltsfootline/coltsfootline/agent/caller"
	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/settings"
	"github.com/coltsfootline/coltsfootline/kernel/table"
	"github.com/coltsfootline/coltsfootline/kernel/tcpstack"
)

const (
	maxSlots = 10000
	maxQueue = 1000000
)

// Settings holds the contents of the agent's settings file.
type Settings struct {
	Instance      string             `yaml:"instance"`
	DataCentre    string             `yaml:"dataCentre"`
	Service       string             `yaml:"service"`
	Packets       netip.AddrPort     `yaml:"packets"`
	Control       netip.AddrPort     `yaml:"control"`
	Admin         netip.AddrPort     `yaml:"admin"`
	Requests      netip.AddrPort     `yaml:"requests"`
	Policy        string             `yaml:"policy"`
	Fabric        netip.AddrPort     `yaml:"fabric"`
	Entries       []netip.AddrPort   `yaml:"entries"`
	ControlRoutes []peer.Route       `yaml:"controlRoutes"`
	Target        string             `yaml:"target"`
	Slots         int                `yaml:"slots"`
	Queue         int                `yaml:"queue"`
	MaxWait       time.Duration      `yaml:"maxWait"`
	HashKey       gue.Key            `yaml:"hashKey"`
	PacketKey     gue.Key            `yaml:"packetKey"`
	Table         string             `yaml:"table"`
	KeepAlive     tcpstack.KeepAlive `yaml:"keepAlive"`
	Drain         caller.DrainLimits `yaml:"drain"`
	Pprof         bool               `yaml:"pprof"`
	Log           events.Options     `yaml:"log"`
	// Form selects the formats of packets, plans, announcements and store objects. If it is empty, packets are in GUE and
	// the agent terminates callers' TCP connections.
	Form string `yaml:"form"`
	// Readiness is an additional address that serves the readiness check at ReadinessPath.
	Readiness     netip.AddrPort `yaml:"readiness"`
	ReadinessPath string         `yaml:"readinessPath"`
	Store         string         `yaml:"store"`
	// The following addresses are for a target that terminates callers' TCP connections itself: it receives packets at
	// TargetPackets, sends packets to Outbound and sends announcements to Announcements.
	TargetPackets netip.AddrPort `yaml:"targetPackets"`
	// TargetListener is a TCP address on which the target listens while its process exists. It is optional.
	TargetListener netip.AddrPort `yaml:"targetListener"`
	Outbound       netip.AddrPort `yaml:"outbound"`
	Announcements  netip.AddrPort `yaml:"announcements"`
	// Contention makes instances decide under contention by the priorities, objectives and deadlines of routes. It is used
	// only with a Form.
	Contention bool `yaml:"contention"`
	// TolerateDataCentres is how many data centres may be lost at once. If it is not 0, agents also exchange with an entry of
	// another data centre. It must be the same on all instances. It is used only with a Form.
	TolerateDataCentres int `yaml:"tolerateDataCentres"`
	// Evacuations makes the agent refuse new flows while its data centre is evacuated. It is used only with a Form.
	Evacuations bool `yaml:"evacuations"`
	// ColdOvershoot and ColdSlack bound the new flows of a cold target in any second to the rate that the plan gives for
	// it times ColdOvershoot, plus ColdSlack. 0 means no limit.
	ColdOvershoot float64 `yaml:"coldOvershoot"`
	ColdSlack     float64 `yaml:"coldSlack"`
	// Pace limits the concurrent requests of a target that started or recovered, until its answers are fast.
	Pace bool `yaml:"pace"`
	// Ejection makes the agent report what it sees of the target's answers, so that entries may eject the host. It is used
	// only with a Form.
	Ejection bool `yaml:"ejection"`
}

// Validate returns all violations in the settings.
func (s *Settings) Validate() []settings.Violation {
	var v settings.Violations
	v.Require(s.Instance != "", "instance", "a name")
	v.Require(s.DataCentre != "", "dataCentre", "a name")
	v.Require(s.Service != "", "service", "the name of a service")
	v.RequireAddress(s.Packets, "packets")
	v.RequireAddress(s.Control, "control")
	v.RequireAddress(s.Admin, "admin")
	v.RequireLogFormat(s.Log.Format, "log.format")
	if s.Form != "" {
		s.validatePassthrough(&v)
		return v
	}
	v.RequireAddress(s.Requests, "requests")
	v.RequireAddress(s.Fabric, "fabric")
	tcpAddresses := map[string]netip.AddrPort{"control": s.Control, "admin": s.Admin, "requests": s.Requests}
	v.RequireDistinct(tcpAddresses, "control", "admin", "requests")
	v.RequireDistinct(map[string]netip.AddrPort{"packets": s.Packets, "fabric": s.Fabric}, "packets", "fabric")
	v.Require(len(s.Entries) > 0, "entries", "at least one control address of an entry")
	v.RequirePeers(s.Entries, s.Control, "entries")
	for i, r := range s.ControlRoutes {
		v.RequireAddress(r.To, settings.ElementKey("controlRoutes", i)+".to")
		v.RequireAddress(r.Via, settings.ElementKey("controlRoutes", i)+".via")
	}
	v.RequireURL(s.Target, "target")
	v.RequireBetween(s.Slots, 1, maxSlots, "slots")
	v.RequireBetween(s.Queue, 0, maxQueue, "queue")
	v.Require(s.MaxWait >= 0, "maxWait", "a duration of 0s or more; 0s means no limit")
	v.Require(s.HashKey != gue.Key{}, "hashKey", "32 hexadecimal digits, not all zero")
	v.Require(s.PacketKey != gue.Key{}, "packetKey", "32 hexadecimal digits, not all zero")
	v.Require(s.KeepAlive.Idle >= time.Second, "keepAlive.idle", "a duration of 1s or more")
	v.Require(s.KeepAlive.Interval >= time.Second, "keepAlive.interval", "a duration of 1s or more")
	v.RequireBetween(s.KeepAlive.Count, 1, 100, "keepAlive.count")
	v.Require(s.Drain.Grace >= 0, "drain.grace", "a duration of 0s or more")
	v.Require(s.Drain.Limit > s.Drain.Grace, "drain.limit", "a duration above drain.grace")
	v.Require(s.Drain.Linger >= 0, "drain.linger", "a duration of 0s or more")
	return v
}

// validatePassthrough checks the settings that are used only with a packet form.
func (s *Settings) validatePassthrough(v *settings.Violations) {
	v.RequireRegistered(flow.Codecs.Names(), s.Form, "form")
	v.RequireURL(s.Store, "store")
	v.RequireAddress(s.Readiness, "readiness")
	v.Require(strings.HasPrefix(s.ReadinessPath, "/"), "readinessPath", "a path")
	v.Require(s.TolerateDataCentres >= 0, "tolerateDataCentres", "a number that is not negative")
	v.RequireAddress(s.TargetPackets, "targetPackets")
	v.RequireAddress(s.Outbound, "outbound")
	v.RequireAddress(s.Announcements, "announcements")
	v.Require(s.ColdOvershoot >= 0, "coldOvershoot", "a number of 0 or more; 0 means no limit")
	v.Require(s.ColdSlack >= 0, "coldSlack", "a number of 0 or more")
}

// targetURL returns the parsed Target, or an empty URL if it is invalid.
func (s *Settings) targetURL() *url.URL {
	u, err := url.Parse(s.Target)
	if err != nil {
		return &url.URL{}
	}
	return u
}

func defaultSettings() *Settings {
	return &Settings{
		Slots:     4,
		Queue:     10000,
		MaxWait:   time.Second,
		Table:     table.Default,
		Policy:    placement.DefaultRequestPolicy,
		KeepAlive: tcpstack.KeepAlive{Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 3},
		Drain:     caller.DrainLimits{Grace: 3 * time.Second, Limit: 60 * time.Second, Linger: 30 * time.Second},
	}
}
