package config

import (
	"fmt"
	"net/netip"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/wire"
	"glenport/internal/config/strictyaml"
	"glenport/scheduler"
)

// BGP is what a placer is told of addresses to announce.
type BGP struct {
	ASN       uint32
	RouterID       [4]byte
	ListenAddr   string // empty: peers do not call
	Peers    []BGPPeer
	Services map[string]announce.Service
}

// BGPPeer is one peer. What is not allowed is not announced to it (RFC 8212).
type BGPPeer struct {
	Addr     string
	ASN       uint32
	HoldTime     scheduler.Time
	Families []wire.Family
	Passive  bool
	RestartTime  scheduler.Time
	Allow    []netip.Prefix
	MD5Key      string // signs its segments (TCP MD5, RFC 2385); none where empty
}

type bgpSection struct {
	ASN       strictyaml.Count `yaml:"as"`
	RouterID       strictyaml.String  `yaml:"identifier"`
	ListenAddr   strictyaml.String  `yaml:"listen" settings:"may"`
	Peers    []bgpPeerEntry        `yaml:"peers"`
	Services []bgpServiceEntry     `yaml:"services"`
}

type bgpPeerEntry struct {
	Addr     strictyaml.String   `yaml:"address"`
	ASN       strictyaml.Count  `yaml:"as"`
	HoldTime     strictyaml.Duration   `yaml:"hold"`
	RestartTime  strictyaml.Duration   `yaml:"keep_routes_for" settings:"may"`
	Passive  strictyaml.Bool   `yaml:"it_calls" settings:"may"`
	Families []strictyaml.String `yaml:"families"`
	Allow    []strictyaml.String `yaml:"allow"`
	MD5Key      strictyaml.String   `yaml:"tcp_md5_key" settings:"may"`
}

type bgpServiceEntry struct {
	Service strictyaml.String  `yaml:"service"`
	Prefix  strictyaml.String  `yaml:"prefix"`
	NextHop strictyaml.String  `yaml:"next_hop"`
	MinRunning   strictyaml.Count `yaml:"least_running" settings:"may"`
	MED     strictyaml.Count `yaml:"med" settings:"may"`
	MEDByHealth strictyaml.Bool  `yaml:"fewer_is_worse" settings:"may"`
}

func (c *validator) prefix(w strictyaml.String) netip.Prefix {
	p, err := netip.ParsePrefix(w.Value)
	if err != nil {
		c.fail(w.Position, "%q is no prefix such as 192.0.2.0/24", w.Value)
	} else if p != p.Masked() {
		c.fail(w.Position, "%q has bits beyond its length; %s has not", w.Value, p.Masked())
	}
	return p
}

func (c *validator) ipAddress(w strictyaml.String) netip.Addr {
	a, err := netip.ParseAddr(w.Value)
	if err != nil {
		c.fail(w.Position, "%q is no address such as 192.0.2.1", w.Value)
	}
	return a
}

func (c *validator) asn(n strictyaml.Count) uint32 {
	if n.Value == 0 || n.Value == 23456 {
		c.fail(n.Position, "%d is no AS number to use", n.Value)
	}
	return uint32(n.Value)
}

// bgp checks the section on addresses to announce.
func (c *validator) bgp(f *bgpSection) *BGP {
	c.required("bgp", *f)
	if c.err != nil {
		return nil
	}
	s := &BGP{ASN: c.asn(f.ASN), Services: map[string]announce.Service{}}
	if id := c.ipAddress(f.RouterID); id.Is4() && !id.IsUnspecified() {
		s.RouterID = id.As4()
	} else {
		c.fail(f.RouterID.Position, "an identifier is an IPv4 address other than 0.0.0.0")
	}
	if f.ListenAddr.IsSet() {
		s.ListenAddr = c.address(f.ListenAddr)
	}
	for i, p := range f.Peers {
		path := fmt.Sprintf("bgp.peers[%d]", i)
		c.required(path, p)
		x := BGPPeer{Addr: c.address(p.Addr), ASN: c.asn(p.ASN), HoldTime: c.duration(p.HoldTime), RestartTime: c.duration(p.RestartTime), Passive: p.Passive.Value,
			MD5Key: p.MD5Key.Value}
		if len(x.MD5Key) > 80 {
			c.fail(p.MD5Key.Position, "a key has up to 80 bytes")
		}
		if h := p.HoldTime.Ticks / 10_000; p.HoldTime.Ticks%10_000 != 0 || h == 1 || h == 2 || h > 65535 {
			c.fail(p.HoldTime.Position, "a hold time is 0 or whole seconds from 3 to 65535")
		}
		if p.Passive.Value && s.ListenAddr == "" {
			c.fail(p.Passive.Position, "a peer that calls needs bgp.listen")
		}
		for _, w := range p.Families {
			n, err := strictyaml.OneOf(c.file, w, "ipv4", "ipv6")
			c.record(err)
			x.Families = append(x.Families, []wire.Family{wire.IPv4, wire.IPv6}[n])
		}
		if len(p.Families) == 0 {
			x.Families = []wire.Family{wire.IPv4}
		}
		for _, w := range p.Allow {
			x.Allow = append(x.Allow, c.prefix(w))
		}
		if len(p.Allow) == 0 { // nothing is announced without a policy (RFC 8212): say so rather than be silent
			c.record(c.file.MissingKey(path, "allow"))
		}
		s.Peers = append(s.Peers, x)
	}
	owner := map[netip.Prefix]string{}
	for i, v := range f.Services {
		c.required(fmt.Sprintf("bgp.services[%d]", i), v)
		x := announce.Service{Prefix: c.prefix(v.Prefix), NextHop: c.ipAddress(v.NextHop), MinRunning: v.MinRunning.Value, MED: uint32(v.MED.Value),
			MEDByHealth: v.MEDByHealth.Value}
		if x.Prefix.Addr().Is4() != x.NextHop.Is4() {
			c.fail(v.NextHop.Position, "the next hop is of another family than %s", x.Prefix)
		}
		if o, twice := owner[x.Prefix]; twice {
			c.fail(v.Prefix.Position, "%s is that of service %s already", x.Prefix, o)
		}
		owner[x.Prefix] = v.Service.Value
		s.Services[v.Service.Value] = x
	}
	return s
}
