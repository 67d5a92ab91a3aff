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
	Name string
	// Service and Target are set for agents only.
	Service ServiceSize
	Process *Process
	Target  *Process
	// Packets, Control and Admin are the addresses on which the node listens.
	Packets netip.AddrPort
	Control netip.AddrPort
	Admin   netip.AddrPort
	// RetiredMs is when the agent was told to drain and exit, in Unix milliseconds, or 0.
	RetiredMs int64
}

// writeSettings writes a settings file and returns its path.
func (c *Cluster) writeSettings(name string, v any) (string, error) {
	text, err := yaml.Marshal(v)
	if err != nil {
		return "", err
	}
	file := filepath.Join(c.Directory, name+".yaml")
	return file, os.WriteFile(file, text, 0o600)
}

// AddEntry starts an entry. The fabric sends it no packets until SetFabricEntries is called.
func (c *Cluster) AddEntry() (*Node, error) {
	addresses, err := allocateAddresses(3)
	if err != nil {
		return nil, err
	}
	c.nodesStarted++
	n := &Node{Name: entryName(c.nodesStarted), Packets: addresses[0], Control: addresses[1], Admin: addresses[2]}
	settings := map[string]any{
		"instance":   n.Name,
		"dataCentre": c.dataCentre(),
		"packets":    n.Packets.String(),
		"admin":      n.Admin.String(),
		"peers":      controlAddresses(c.Entries),
		"store":      c.StoreURL(),
		"hashKey":    hashKey,
		"packetKey":  packetKey,
		"workers":    1,
	}
	c.addControlSettings(n, settings)
	file, err := c.writeSettings(n.Name, settings)
	if err != nil {
		return nil, err
	}
	n.Process, err = c.startNode(n.Name, c.Programs.Entry, file)
	if err != nil {
		return nil, err
	}
	c.Entries = append(c.Entries, n)
	return n, nil
}

// addControlSettings adds the control address to a node's settings and, if its control links are proxied, the routes to
// the other nodes.
func (c *Cluster) addControlSettings(n *Node, settings map[string]any) {
	if c.links != nil {
		if address, ok := c.links.controlAddresses[n.Name]; ok {
			n.Control = address
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

// dataCentre assigns the data centres to new nodes in rotation.
func (c *Cluster) dataCentre() string {
	return c.Size.DataCentres[c.nodesStarted%len(c.Size.DataCentres)]
}

func controlAddresses(nodes []*Node) []string {
	all := []string{}
	for _, n := range nodes {
		all = append(all, n.Control.String())
	}
	return all
}

// AddAgent starts a target and its agent.
func (c *Cluster) AddAgent(s ServiceSize) (*Node, error) {
	addresses, err := allocateAddresses(5)
	if err != nil {
		return nil, err
	}
	c.nodesStarted++
	n := &Node{
		Name:    agentName(s, c.nodesStarted),
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
		"entries":    controlAddresses(c.Entries),
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
	c.addControlSettings(n, settings)
	file, err := c.writeSettings(n.Name, settings)
	if err != nil {
		return nil, err
	}
	n.Process, err = c.startNode(n.Name, c.Programs.Agent, file)
	if err != nil {
		return nil, err
	}
	c.Agents = append(c.Agents, n)
	return n, nil
}
