package cmd

import (
	"net/netip"
	"strings"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

const maxWorkers = 64

// Settings holds the contents of the entry's settings file.
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
	// Form selects the formats of packets, plans and store objects. If it is empty, packets are in GUE and agents
	// terminate callers' TCP connections.
	Form string `yaml:"form"`
	// Readiness is an additional address that serves the readiness check at ReadinessPath.
	Readiness     netip.AddrPort `yaml:"readiness"`
	ReadinessPath string         `yaml:"readinessPath"`
	// Policy is the name of the placement policy for new flows. It is used only with a Form.
	Policy string `yaml:"policy"`
	// LinkMbps is the capacity of the network link in Mbit/s. Searches use a part of it. 0 means that it is unknown. It is
	// used only with a Form.
	LinkMbps float64 `yaml:"linkMbps"`
	// FlowLifetime is the maximum age of a flow. A flow is reset only if the hosts of all services that a plan gave its
	// route within that time deny it. 0 means a default. It is used only with a Form.
	FlowLifetime time.Duration `yaml:"flowLifetime"`
	// Contention makes instances decide under contention by the priorities, objectives and deadlines of routes. It is used
	// only with a Form.
	Contention bool `yaml:"contention"`
	// TolerateDataCentres is how many data centres may be lost at once. If it is not 0, agents also exchange with an entry of
	// another data centre. It must be the same on all instances. It is used only with a Form.
	TolerateDataCentres int `yaml:"tolerateDataCentres"`
	// Evacuations makes the entry place no new flows on the hosts of evacuated data centres. It is used only with a Form.
	Evacuations bool `yaml:"evacuations"`
	// Ejection makes the entry place no new flows on hosts whose answers are far worse than those of the service's other
	// hosts. It is used only with a Form.
	Ejection bool `yaml:"ejection"`
}

// Validate returns all violations in the settings.
func (s *Settings) Validate() []settings.Violation {
	var v settings.Violations
	v.Require(s.Instance != "", "instance", "a name")
	v.Require(s.DataCentre != "", "dataCentre", "a name")
	v.RequireAddress(s.Packets, "packets")
	v.RequireAddress(s.Control, "control")
	v.RequireAddress(s.Admin, "admin")
	v.RequireDistinct(map[string]netip.AddrPort{"control": s.Control, "admin": s.Admin}, "control", "admin")
	if s.Form == "" {
		v.RequirePeers(s.Peers, s.Control, "peers")
	}
	for i, r := range s.ControlRoutes {
		v.RequireAddress(r.To, settings.ElementKey("controlRoutes", i)+".to")
		v.RequireAddress(r.Via, settings.ElementKey("controlRoutes", i)+".via")
	}
	v.RequireURL(s.Store, "store")
	v.RequireLogFormat(s.Log.Format, "log.format")
	if s.Form != "" {
		v.RequireAddress(s.Readiness, "readiness")
		v.Require(strings.HasPrefix(s.ReadinessPath, "/"), "readinessPath", "a path")
		v.RequireRegistered(flow.Codecs.Names(), s.Form, "form")
		v.RequireRegistered(placement.FlowPolicies.Names(), s.Policy, "policy")
		v.Require(s.TolerateDataCentres >= 0, "tolerateDataCentres", "a number that is not negative")
		v.Require(s.LinkMbps >= 0, "linkMbps", "a number that is not negative")
		v.Require(s.FlowLifetime >= 0, "flowLifetime", "a duration of 0s or more; 0s means 60s")
		return v
	}
	v.Require(s.HashKey != gue.Key{}, "hashKey", "32 hexadecimal digits, not all zero")
	v.Require(s.PacketKey != gue.Key{}, "packetKey", "32 hexadecimal digits, not all zero")
	v.RequireBetween(s.Workers, 1, maxWorkers, "workers")
	return v
}
