package cluster

import (
	"net/netip"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/sirupsen/logrus"
)

// link identifies the control link from one node to another by the names of the nodes.
type link struct {
	from, to string
}

// links holds the control addresses of nodes and a proxy for the control link of each ordered pair of them.
type links struct {
	controlAddresses map[string]netip.AddrPort
	proxies          map[link]*toxiproxy.Proxy
}

// newLinks allocates a control address for each named node and starts a proxy for each ordered pair.
func newLinks(names []string) (*links, error) {
	logrus.SetLevel(logrus.ErrorLevel)
	l := &links{controlAddresses: map[string]netip.AddrPort{}, proxies: map[link]*toxiproxy.Proxy{}}
	addresses, err := allocateAddresses(len(names))
	if err != nil {
		return nil, err
	}
	for i, n := range names {
		l.controlAddresses[n] = addresses[i]
	}
	for _, from := range names {
		for _, to := range names {
			if from == to {
				continue
			}
			p := toxiproxy.NewProxy()
			p.Name = from + ">" + to
			p.Listen = "127.0.0.1:0"
			p.Upstream = l.controlAddresses[to].String()
			if err := p.Start(); err != nil {
				return nil, err
			}
			l.proxies[link{from, to}] = p
		}
	}
	return l, nil
}

// routes returns the controlRoutes setting of a node: the address of each other node and the proxy through which to
// reach it.
func (l *links) routes(from string) []map[string]string {
	var routes []map[string]string
	for k, p := range l.proxies {
		if k.from == from {
			routes = append(routes, map[string]string{"to": p.Upstream, "via": p.Listen})
		}
	}
	return routes
}

// block makes the proxies between two nodes drop all data in both directions. Connections stay open.
func (l *links) block(a, b string) error {
	for _, k := range []link{{a, b}, {b, a}} {
		for _, stream := range []string{"upstream", "downstream"} {
			toxic := `{"name":"cut-` + stream + `","type":"timeout","stream":"` + stream + `","attributes":{"timeout":0}}`
			if _, err := l.proxies[k].Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
				return err
			}
		}
	}
	return nil
}

// restore makes the proxies between two nodes forward data again.
func (l *links) restore(a, b string) {
	l.proxies[link{a, b}].Toxics.ResetToxics()
	l.proxies[link{b, a}].Toxics.ResetToxics()
}

func (l *links) stop() {
	for _, p := range l.proxies {
		p.Stop()
	}
}

// createLinks starts the proxies between all nodes that Start will start. It derives their names in the order in which
// Start adds them.
func (c *Cluster) createLinks() error {
	var names []string
	for range c.Size.Entries {
		names = append(names, entryName(len(names)+1))
	}
	for _, s := range c.Size.Services {
		for range s.Hosts {
			names = append(names, agentName(s, len(names)+1))
		}
	}
	l, err := newLinks(names)
	c.links = l
	return err
}

// Isolate blocks the control links between a node and all others that Start started. It does not block those to nodes
// that were added later, because they have no proxies.
func (c *Cluster) Isolate(n *Node) error {
	for name := range c.links.controlAddresses {
		if name != n.Name {
			if err := c.links.block(n.Name, name); err != nil {
				return err
			}
		}
	}
	return nil
}

// Reconnect restores the control links that Isolate blocked.
func (c *Cluster) Reconnect(n *Node) {
	for name := range c.links.controlAddresses {
		if name != n.Name {
			c.links.restore(n.Name, name)
		}
	}
}
