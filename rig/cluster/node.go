package cluster

import (
	"net/netip"
	"os"
	"path/filepath"
	"strconv"

	"github.com/goccy/go-yaml"
)

// Node is one entry, or one agent with its target.
type Node struct {
	Name    string
	Service ServiceSize
	Process *Process
	Target  *Process
	Packets netip.AddrPort
	Control netip.AddrPort
	Admin   netip.AddrPort
	// RetiredMs is when the node was told to retire, in Unix milliseconds, or 0.
	RetiredMs int64
}

func (c *Cluster) writeSettings(name string, v any) (string, error) {
	text, err := yaml.Marshal(v)
	if err != nil {
		return "", err
	}
	file := filepath.Join(c.Directory, name+".yaml")
	return file, os.WriteFile(file, text, 0o600)
}

// AddEntry starts one more entry; the fabric does not use it yet.
func (c *Cluster) AddEntry() (*Node, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	c.started++
	n := &Node{Name: entryName(c.started), Packets: addresses[0], Control: addresses[1], Admin: addresses[2]}
	settings := map[string]any{
		"instance":   n.Name,
		"dataCentre": c.dataCentre(),
		"packets":    n.Packets.String(),
		"admin":      n.Admin.String(),
		"peers":      controls(c.Entries),
		"store":      c.StoreURL(),
		"hashKey":    hashKey,
		"packetKey":  packetKey,
		"workers":    1,
	}
	c.route(n, settings)
	file, err := c.writeSettings(n.Name, settings)
	if err != nil {
		return nil, err
	}
	n.Process, err = c.start(n.Name, c.Programs.Entry, "run", "--settings", file)
	if err != nil {
		return nil, err
	}
	c.Entries = append(c.Entries, n)
	return n, nil
}

// route adds the control address and the ways to other nodes to a node's settings.
func (c *Cluster) route(n *Node, settings map[string]any) {
	if c.links != nil {
		if planned, ok := c.links.controls[n.Name]; ok {
			n.Control = planned
			settings["controlRoutes"] = c.links.routes(n.Name)
		}
	}
	settings["control"] = n.Control.String()
}

func entryName(number int) string {
	return "entry-" + strconv.Itoa(number)
}

func agentName(s ServiceSize, number int) string {
	return s.Service.Name + "-" + strconv.Itoa(number)
}

func (c *Cluster) dataCentre() string {
	return c.Size.DataCentres[c.started%len(c.Size.DataCentres)]
}

func controls(nodes []*Node) []string {
	all := []string{}
	for _, n := range nodes {
		all = append(all, n.Control.String())
	}
	return all
}

// AddAgent starts one more target with its agent.
func (c *Cluster) AddAgent(s ServiceSize) (*Node, error) {
	addresses, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	c.started++
	n := &Node{
		Name:    agentName(s, c.started),
		Service: s,
		Packets: addresses[0],
		Control: addresses[1],
		Admin:   addresses[2],
	}
	n.Target, err = c.start(n.Name+"-target", c.Programs.Rig, "target", "--listen", addresses[3].String(),
		"--instance", n.Name, "--service", s.Service.Name, "--runs", c.RunsFile(n))
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"instance":   n.Name,
		"dataCentre": c.dataCentre(),
		"service":    s.Service.Name,
		"packets":    n.Packets.String(),
		"admin":      n.Admin.String(),
		"fabric":     c.fabricAddress.String(),
		"entries":    controls(c.Entries),
		"target":     "http://" + addresses[3].String(),
		"slots":      s.Slots,
		"requests":   addresses[4].String(),
		"hashKey":    hashKey,
		"packetKey":  packetKey,
	}
	if c.Policy != "" {
		settings["policy"] = c.Policy
	}
	if c.KeepAlive.Count > 0 {
		settings["keepAlive"] = map[string]any{
			"idle":     c.KeepAlive.Idle.String(),
			"interval": c.KeepAlive.Interval.String(),
			"count":    c.KeepAlive.Count,
		}
	}
	c.route(n, settings)
	file, err := c.writeSettings(n.Name, settings)
	if err != nil {
		return nil, err
	}
	n.Process, err = c.start(n.Name, c.Programs.Agent, "run", "--settings", file)
	if err != nil {
		return nil, err
	}
	c.Agents = append(c.Agents, n)
	return n, nil
}
