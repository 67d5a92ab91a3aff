package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Violations collects the invalid values that a Validate method finds. The zero value is ready to use.
type Violations []Violation

// Require adds the key as invalid unless ok is set.
func (v *Violations) Require(ok bool, key, expected string) {
	if !ok {
		*v = append(*v, Violation{Key: key, Expected: expected})
	}
}

// RequireAddress requires an IPv4 address with a nonzero port.
func (v *Violations) RequireAddress(a netip.AddrPort, key string) {
	v.Require(a.Addr().Is4() && a.Port() != 0, key, "IPv4 address:port")
}

// RequireDistinct requires that the addresses of the given keys differ. Of equal addresses it reports each key but the
// first. It ignores zero addresses, which are not set or are reported by RequireAddress.
func (v *Violations) RequireDistinct(addresses map[string]netip.AddrPort, keys ...string) {
	seen := map[netip.AddrPort]string{}
	for _, k := range keys {
		a := addresses[k]
		if first, ok := seen[a]; ok && a.IsValid() {
			v.Require(false, k, "an address other than that of "+first)
		}
		seen[a] = k
	}
}

// RequireBetween requires minimum ≤ value ≤ maximum.
func (v *Violations) RequireBetween(value, minimum, maximum int, key string) {
	v.Require(value >= minimum && value <= maximum, key,
		"a whole number from "+strconv.Itoa(minimum)+" to "+strconv.Itoa(maximum))
}

// ElementKey returns the key of the list element with the given index, such as peers[0].
func ElementKey(key string, index int) string {
	return key + "[" + strconv.Itoa(index) + "]"
}

// RequirePeers requires distinct IPv4 addresses with a nonzero port, none of which is the instance's own. Each invalid
// one is reported under its own list element.
func (v *Violations) RequirePeers(peers []netip.AddrPort, own netip.AddrPort, key string) {
	seen := map[netip.AddrPort]bool{}
	for i, p := range peers {
		element := ElementKey(key, i)
		v.RequireAddress(p, element)
		v.Require(p != own, element, "an address other than this instance's own")
		v.Require(!seen[p], element, "an address that is not listed before")
		seen[p] = true
	}
}

// RequireURL requires an HTTP or HTTPS URL with a host.
func (v *Violations) RequireURL(text, key string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	v.Require(ok, key, "an http or https URL")
}

// RequireLogFormat requires "json", "text" or an empty string, which means "json".
func (v *Violations) RequireLogFormat(text, key string) {
	v.Require(text == "" || text == "json" || text == "text", key, `"json" or "text"`)
}

// RequireRegistered requires that the name is one of the given plug-in names.
func (v *Violations) RequireRegistered(names []string, name, key string) {
	v.Require(slices.Contains(names, name), key, "one of "+strings.Join(names, ", "))
}
