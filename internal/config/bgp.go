package config

import (
	"fmt"
	"net/netip"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/wire"
	"glenport/internal/config/strictyaml"
	"glenport/scheduler"
)

const (
	maxMD5KeyBytes = 80    // of a TCP MD5 key
	minHoldSeconds = 3     // shortest hold time other than 0 (RFC 4271, section 4.2)
	maxHoldSeconds = 65535 // the hold time has two bytes in the OPEN message
)

// BGP holds the settings of the service addresses that a scheduler announces.
type BGP struct {
	ASN        uint32
	RouterID   [4]byte
	ListenAddr string // empty: peers cannot connect
	Peers      []BGPPeer
	Services   map[string]announce.Service // by the name of the service
}

// BGPPeer holds the settings of one peer. A prefix outside Allow is never announced to it (RFC 8212).
type BGPPeer struct {
	Addr        string
	ASN         uint32
	HoldTime    scheduler.Time
	Families    []wire.Family
	Passive     bool           // the peer connects to this scheduler
	RestartTime scheduler.Time // time for which the peer retains routes (RFC 4724); 0: no graceful restart
	Allow       []netip.Prefix
	MD5Key      string // signs TCP segments (RFC 2385); empty: segments are not signed
}

// bgp checks the bgp section and returns its settings, or nil if a required key is missing.
func (v *validator) bgp(f *bgpSection) *BGP {
	v.required("bgp", *f)
	if v.err != nil {
		return nil
	}
	s := &BGP{ASN: v.asn(f.ASN), RouterID: v.routerID(f.RouterID), ListenAddr: v.address(f.ListenAddr)}
	for i := range f.Peers {
		s.Peers = append(s.Peers, v.bgpPeer(fmt.Sprintf("bgp.peers[%d]", i), &f.Peers[i], s.ListenAddr))
	}
	s.Services = v.bgpServices(f.Services)
	return s
}

func (v *validator) routerID(value strictyaml.String) [4]byte {
	address := v.ipAddress(value)
	if !address.Is4() || address.IsUnspecified() {
		v.fail(value.Position, "an identifier is an IPv4 address other than 0.0.0.0")
		return [4]byte{}
	}
	return address.As4()
}

func (v *validator) bgpPeer(path string, entry *bgpPeerEntry, listenAddr string) BGPPeer {
	v.required(path, *entry)
	peer := BGPPeer{
		Addr:        v.address(entry.Addr),
		ASN:         v.asn(entry.ASN),
		HoldTime:    duration(entry.HoldTime),
		RestartTime: duration(entry.RestartTime),
		Passive:     entry.Passive.Value,
		MD5Key:      entry.MD5Key.Value,
	}
	if len(peer.MD5Key) > maxMD5KeyBytes {
		v.fail(entry.MD5Key.Position, "a key has up to 80 bytes")
	}
	if !validHoldTime(peer.HoldTime) {
		v.fail(entry.HoldTime.Position, "a hold time is 0 or whole seconds from 3 to 65535")
	}
	if peer.Passive && listenAddr == "" {
		v.fail(entry.Passive.Position, "a passive peer needs bgp.listen")
	}
	for _, name := range entry.Families {
		families := []wire.Family{wire.IPv4, wire.IPv6}
		peer.Families = append(peer.Families, families[v.oneOf(name, "ipv4", "ipv6")])
	}
	if len(entry.Families) == 0 {
		peer.Families = []wire.Family{wire.IPv4}
	}
	for _, prefix := range entry.Allow {
		peer.Allow = append(peer.Allow, v.prefix(prefix))
	}
	if len(entry.Allow) == 0 { // an error, as nothing is announced to a peer without an export policy (RFC 8212)
		v.record(v.file.MissingKey(path, "allow"))
	}
	return peer
}

func validHoldTime(t scheduler.Time) bool {
	seconds := t / scheduler.Second
	return t == 0 || t%scheduler.Second == 0 && seconds >= minHoldSeconds && seconds <= maxHoldSeconds
}

// bgpServices returns the announced services by name. Two services with the same prefix are an error.
func (v *validator) bgpServices(entries []bgpServiceEntry) map[string]announce.Service {
	services, serviceOf := map[string]announce.Service{}, map[netip.Prefix]string{}
	for i, entry := range entries {
		v.required(fmt.Sprintf("bgp.services[%d]", i), entry)
		service := announce.Service{
			Prefix:      v.prefix(entry.Prefix),
			NextHop:     v.ipAddress(entry.NextHop),
			MinRunning:  entry.MinRunning.Value,
			MED:         uint32(entry.MED.Value),
			MEDByHealth: entry.MEDByHealth.Value,
		}
		if service.Prefix.Addr().Is4() != service.NextHop.Is4() {
			v.fail(entry.NextHop.Position, "the next hop is of another family than %s", service.Prefix)
		}
		if other, duplicate := serviceOf[service.Prefix]; duplicate {
			v.fail(entry.Prefix.Position, "%s is that of service %s already", service.Prefix, other)
		}
		serviceOf[service.Prefix] = entry.Service.Value
		services[entry.Service.Value] = service
	}
	return services
}
