package cluster

import (
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel"
	"github.com/coltsfootline/coltsfootline/kernel/services"
)

// ServiceSize gives the number of hosts, slots per host and connections of a service.
type ServiceSize struct {
	Service     services.Service
	Hosts       int
	Slots       int
	Connections int
}

// Size gives the number of entries, the data centres and the services of a cluster. Nodes are assigned to the data
// centres in rotation.
type Size struct {
	Entries     int
	DataCentres []string
	Services    []ServiceSize
}

// Sizes holds the registered sizes by name.
var Sizes = kernel.Registry[Size]{Kind: "size"}

const (
	connectionsPerHost = 2000
	servicePort        = 80
)

func init() {
	Sizes.Register("small", Size{
		Entries:     3,
		DataCentres: []string{"north", "south"},
		Services:    []ServiceSize{newServiceSize("catalogue", 1, 3, 4, 60), newServiceSize("drawings", 2, 3, 4, 60)},
	})
	Sizes.Register("altiplano", Size{
		Entries:     3,
		DataCentres: []string{"altiplano1", "altiplano2", "altiplano3", "altiplano4"},
		Services: []ServiceSize{
			newServiceSize("catalogue", 1, 7, 4, 7*connectionsPerHost),
			newServiceSize("drawings", 2, 4, 4, 4*connectionsPerHost),
		},
	})
	Sizes.Register("batinah", Size{
		Entries:     3,
		DataCentres: []string{"batinah1", "batinah2", "batinah3"},
		Services: []ServiceSize{
			newServiceSize("dispatch", 3, 7, 5, 7*connectionsPerHost),
			newServiceSize("inspection", 4, 3, 5, 3*connectionsPerHost),
		},
	})
}

func newServiceSize(name string, id uint32, hosts, slots, connections int) ServiceSize {
	address := netip.AddrFrom4([4]byte{10, 9, 0, byte(id)})
	return ServiceSize{
		Service:     services.Service{Name: name, ID: id, Generation: 1, Address: netip.AddrPortFrom(address, servicePort)},
		Hosts:       hosts,
		Slots:       slots,
		Connections: connections,
	}
}
