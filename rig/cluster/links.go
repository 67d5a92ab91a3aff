package cluster

import (
	"net/netip"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/sirupsen/logrus"
)

// pair is a control link between two nodes, by name.
type pair struct {
	from, to string
}

// links are proxies for the control connections between nodes that were planned ahead.
type links struct {
	controls map[string]netip.AddrPort
	proxies  map[pair]*toxiproxy.Proxy
}

// plan makes a proxy for each pair of the named nodes, whose control addresses it chooses.
func plan(names []string) (*links, error) {
	logrus.SetLevel(logrus.ErrorLevel)
	l := &links{controls: map[string]netip.AddrPort{}, proxies: map[pair]*toxiproxy.Proxy{}}
	addresses, err := freeAddresses(len(names))
	if err != nil {
		return nil, err
	}
	for i, n := range names {
		l.controls[n] = addresses[i]
	}
	for _, from := range names {
		for _, to := range names {
			if from == to {
				continue
			}
			p := toxiproxy.NewProxy()
			p.Name = from + ">" + to
			p.Listen = "127.0.0.1:0"
			p.Upstream = l.controls[to].String()
			if err := p.Start(); err != nil {
				return nil, err
			}
			l.proxies[pair{from, to}] = p
		}
	}
	return l, nil
}

// routes lists how a node reaches the others, as its settings want it.
func (l *links) routes(from string) []map[string]string {
	var all []map[string]string
	for k, p := range l.proxies {
		if k.from == from {
			all = append(all, map[string]string{"to": p.Upstream, "via": p.Listen})
		}
	}
	return all
}

// cut makes both directions of the links between two nodes swallow everything.
func (l *links) cut(a, b string) error {
	for _, k := range []pair{{a, b}, {b, a}} {
		for _, stream := range []string{"upstream", "downstream"} {
			toxic := `{"name":"cut-` + stream + `","type":"timeout","stream":"` + stream + `","attributes":{"timeout":0}}`
			if _, err := l.proxies[k].Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
				return err
			}
		}
	}
	return nil
}

// heal ends what cut began.
func (l *links) heal(a, b string) {
	l.proxies[pair{a, b}].Toxics.ResetToxics()
	l.proxies[pair{b, a}].Toxics.ResetToxics()
}

func (l *links) stop() {
	for _, p := range l.proxies {
		p.Stop()
	}
}

// planLinks proxies the control links between all nodes that Start starts.
func (c *Cluster) planLinks() error {
	var names []string
	for range c.Size.Entries {
		names = append(names, entryName(len(names)+1))
	}
	for _, s := range c.Size.Services {
		for range s.Hosts {
			names = append(names, agentName(s, len(names)+1))
		}
	}
	l, err := plan(names)
	c.links = l
	return err
}

// Isolate cuts the control links between a node and all others.
func (c *Cluster) Isolate(n *Node) error {
	for name := range c.links.controls {
		if name != n.Name {
			if err := c.links.cut(n.Name, name); err != nil {
				return err
			}
		}
	}
	return nil
}

// Rejoin heals the control links between a node and all others.
func (c *Cluster) Rejoin(n *Node) {
	for name := range c.links.controls {
		if name != n.Name {
			c.links.heal(n.Name, name)
		}
	}
}
