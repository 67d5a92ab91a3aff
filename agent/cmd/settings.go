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
	// Form selects the formats of packets, plans, announcements and the store. If it is empty, packets are in GUE and the
	// agent terminates the flows itself.
	Form string `yaml:"form"`
	// Readiness is an address, besides Admin, that reports at ReadinessPath whether the agent is ready.
	Readiness     netip.AddrPort `yaml:"readiness"`
	ReadinessPath string         `yaml:"readinessPath"`
	Store         string         `yaml:"store"`
	// TargetPackets is the address at which a target that terminates its flows itself receives packets, Outbound the
	// address to which it sends them, and Announcements the address at which it announces itself.
	TargetPackets netip.AddrPort `yaml:"targetPackets"`
	Outbound      netip.AddrPort `yaml:"outbound"`
	Announcements netip.AddrPort `yaml:"announcements"`
}

// Validate returns all faults of the settings.
func (s *Settings) Validate() []settings.Violation {
	var f settings.Violations
	f.Require(s.Instance != "", "instance", "a name")
	f.Require(s.DataCentre != "", "dataCentre", "a name")
	f.Require(s.Service != "", "service", "the name of a service")
	f.RequireAddress(s.Packets, "packets")
	f.RequireAddress(s.Control, "control")
	f.RequireAddress(s.Admin, "admin")
	f.RequireLogFormat(s.Log.Format, "log.format")
	if s.Form != "" {
		s.validateForwarding(&f)
		return f
	}
	f.RequireAddress(s.Requests, "requests")
	f.RequireAddress(s.Fabric, "fabric")
	tcpAddresses := map[string]netip.AddrPort{"control": s.Control, "admin": s.Admin, "requests": s.Requests}
	f.RequireDistinct(tcpAddresses, "control", "admin", "requests")
	f.RequireDistinct(map[string]netip.AddrPort{"packets": s.Packets, "fabric": s.Fabric}, "packets", "fabric")
	f.Require(len(s.Entries) > 0, "entries", "at least one control address of an entry")
	f.RequirePeers(s.Entries, s.Control, "entries")
	for i, r := range s.ControlRoutes {
		f.RequireAddress(r.To, settings.ElementKey("controlRoutes", i)+".to")
		f.RequireAddress(r.Via, settings.ElementKey("controlRoutes", i)+".via")
	}
	f.RequireURL(s.Target, "target")
	f.RequireBetween(s.Slots, 1, maxSlots, "slots")
	f.RequireBetween(s.Queue, 0, maxQueue, "queue")
	f.Require(s.MaxWait >= 0, "maxWait", "a duration of 0s or more; 0s means no bound")
	f.Require(s.HashKey != gue.Key{}, "hashKey", "32 hexadecimal digits, not all zero")
	f.Require(s.PacketKey != gue.Key{}, "packetKey", "32 hexadecimal digits, not all zero")
	f.Require(s.KeepAlive.Idle >= time.Second, "keepAlive.idle", "a duration of 1s or more")
	f.Require(s.KeepAlive.Interval >= time.Second, "keepAlive.interval", "a duration of 1s or more")
	f.RequireBetween(s.KeepAlive.Count, 1, 100, "keepAlive.count")
	f.Require(s.Drain.Grace >= 0, "drain.grace", "a duration of 0s or more")
	f.Require(s.Drain.Limit > s.Drain.Grace, "drain.limit", "a duration above drain.grace")
	f.Require(s.Drain.Linger >= 0, "drain.linger", "a duration of 0s or more")
	return f
}

func (s *Settings) validateForwarding(f *settings.Violations) {
	f.RequireRegistered(flow.Codecs.Names(), s.Form, "form")
	f.RequireURL(s.Store, "store")
	f.RequireAddress(s.Readiness, "readiness")
	f.Require(strings.HasPrefix(s.ReadinessPath, "/"), "readinessPath", "a path")
	f.RequireAddress(s.TargetPackets, "targetPackets")
	f.RequireAddress(s.Outbound, "outbound")
	f.RequireAddress(s.Announcements, "announcements")
}

func (s *Settings) targetURL() *url.URL {
	u, err := url.Parse(s.Target)
	if err != nil {
		return &url.URL{}
	}
	return u
}

func defaults() *Settings {
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
