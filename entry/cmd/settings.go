package cmd

import (
	"net/netip"
	"strings"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

const maxWorkers = 64

// Settings is the content of the entry's settings file.
type Settings struct {
	Instance      string           `yaml:"instance"`
	DataCentre    string           `yaml:"dataCentre"`
	Packets       netip.AddrPort   `yaml:"packets"`
	Control       netip.AddrPort   `yaml:"control"`
	Admin         netip.AddrPort   `yaml:"admin"`
	Peers         []netip.AddrPort `yaml:"peers"`
	ControlRoutes []peer.Route     `yaml:"controlRoutes"`
	Store         string           `yaml:"store"`
	HashKey       gue.Key          `yaml:"hashKey"`
	PacketKey     gue.Key          `yaml:"packetKey"`
	Workers       int              `yaml:"workers"`
	Table         string           `yaml:"table"`
	Pprof         bool             `yaml:"pprof"`
	Log           events.Options   `yaml:"log"`
	// Form selects the format of packets, plans and store objects. If it is empty, packets are GUE and agents terminate
	// the connections.
	Form string `yaml:"form"`
	// Readiness is an additional address that serves the readiness probe at ReadinessPath.
	Readiness     netip.AddrPort `yaml:"readiness"`
	ReadinessPath string         `yaml:"readinessPath"`
	// Policy is the name of the placement policy for new flows. It is used only with a Form.
	Policy string `yaml:"policy"`
}

// Validate returns all errors in the settings.
func (s *Settings) Validate() []settings.Violation {
	var f settings.Violations
	f.Require(s.Instance != "", "instance", "a name")
	f.Require(s.DataCentre != "", "dataCentre", "a name")
	f.RequireAddress(s.Packets, "packets")
	f.RequireAddress(s.Control, "control")
	f.RequireAddress(s.Admin, "admin")
	f.RequireDistinct(map[string]netip.AddrPort{"control": s.Control, "admin": s.Admin}, "control", "admin")
	if s.Form == "" {
		f.RequirePeers(s.Peers, s.Control, "peers")
	}
	for i, r := range s.ControlRoutes {
		f.RequireAddress(r.To, settings.ElementKey("controlRoutes", i)+".to")
		f.RequireAddress(r.Via, settings.ElementKey("controlRoutes", i)+".via")
	}
	f.RequireURL(s.Store, "store")
	f.RequireLogFormat(s.Log.Format, "log.format")
	if s.Form != "" {
		f.RequireAddress(s.Readiness, "readiness")
		f.Require(strings.HasPrefix(s.ReadinessPath, "/"), "readinessPath", "a path")
		f.RequireRegistered(flow.Codecs.Names(), s.Form, "form")
		f.RequireRegistered(placement.FlowPolicies.Names(), s.Policy, "policy")
		return f
	}
	f.Require(s.HashKey != gue.Key{}, "hashKey", "32 hexadecimal digits, not all zero")
	f.Require(s.PacketKey != gue.Key{}, "packetKey", "32 hexadecimal digits, not all zero")
	f.RequireBetween(s.Workers, 1, maxWorkers, "workers")
	return f
}
