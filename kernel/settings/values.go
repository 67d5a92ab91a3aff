package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Faults collects the invalid values that a Validate method finds. The zero value is ready to use.
type Faults []Fault

// Require adds the key as invalid unless ok is set.
func (f *Faults) Require(ok bool, key, expected string) {
	if !ok {
		*f = append(*f, Fault{Key: key, Expected: expected})
	}
}

// Address requires an IPv4 address with a nonzero port.
func (f *Faults) Address(a netip.AddrPort, key string) {
	f.Require(a.Addr().Is4() && a.Port() != 0, key, "IPv4 address:port")
}

// Distinct requires that the valid addresses of the given keys differ. It reports the later key of two equal addresses.
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

// Between requires minimum ≤ value ≤ maximum.
func (f *Faults) Between(value, minimum, maximum int, key string) {
	f.Require(value >= minimum && value <= maximum, key,
		"a whole number from "+strconv.Itoa(minimum)+" to "+strconv.Itoa(maximum))
}

// Element returns the key of the list element with the given index.
func Element(key string, index int) string {
	return key + "[" + strconv.Itoa(index) + "]"
}

// Peers requires distinct IPv4 addresses with a nonzero port, none of which is the instance's own.
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

// URL requires an HTTP or HTTPS URL with a host.
func (f *Faults) URL(text, key string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	f.Require(ok, key, "an http or https URL")
}

// LogFormat requires "json", "text" or an empty string, which means "json".
func (f *Faults) LogFormat(text, key string) {
	f.Require(text == "" || text == "json" || text == "text", key, `"json" or "text"`)
}

// Registered requires that the name is one of the given plug-in names.
func (f *Faults) Registered(names []string, name, key string) {
	f.Require(slices.Contains(names, name), key, "one of "+strings.Join(names, ", "))
}
