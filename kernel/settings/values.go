package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Faults collects what a Validate method finds. The zero value is empty.
type Faults []Fault

// Require adds a fault for key unless ok holds.
func (f *Faults) Require(ok bool, key, expected string) {
	if !ok {
		*f = append(*f, Fault{Key: key, Expected: expected})
	}
}

// Address requires an IPv4 address with a port other than 0.
func (f *Faults) Address(a netip.AddrPort, key string) {
	f.Require(a.Addr().Is4() && a.Port() != 0, key, "IPv4 address:port")
}

// Distinct requires that no two of the addresses are equal.
func (f *Faults) Distinct(addresses map[string]netip.AddrPort, keys ...string) {
	seen := map[netip.AddrPort]string{}
	for _, k := range keys {
		a := addresses[k]
		if first, ok := seen[a]; ok && a.IsValid() {
			f.Require(false, k, "an address other than that of "+first)
		}
		seen[a] = k
	}
}

// Between requires least ≤ value ≤ greatest.
func (f *Faults) Between(value, least, greatest int, key string) {
	f.Require(value >= least && value <= greatest, key,
		"a whole number from "+strconv.Itoa(least)+" to "+strconv.Itoa(greatest))
}

// Element is the key of a list's element.
func Element(key string, index int) string {
	return key + "[" + strconv.Itoa(index) + "]"
}

// Peers requires IPv4 addresses, each once and none of them own.
func (f *Faults) Peers(peers []netip.AddrPort, own netip.AddrPort, key string) {
	seen := map[netip.AddrPort]bool{}
	for i, p := range peers {
		element := Element(key, i)
		f.Address(p, element)
		f.Require(p != own, element, "an address other than this instance's own")
		f.Require(!seen[p], element, "an address that is not listed before")
		seen[p] = true
	}
}

// URL requires an http or https URL with a host.
func (f *Faults) URL(text, key string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	f.Require(ok, key, "an http or https URL")
}

// LogFormat requires "json" or "text"; empty means "json".
func (f *Faults) LogFormat(text, key string) {
	f.Require(text == "" || text == "json" || text == "text", key, `"json" or "text"`)
}

// Registered requires one of the registered names.
func (f *Faults) Registered(names []string, name, key string) {
	f.Require(slices.Contains(names, name), key, "one of "+strings.Join(names, ", "))
}
