package config

import (
	"fmt"
	"net/netip"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/wire"
	"glenport/internal/config/strictyaml"
	"glenport/scheduler"
)

// Announcing is what a placer is told of addresses to announce.
type Announcing struct {
	AS       uint32
	ID       [4]byte
	Listen   string // empty: peers do not call
	Peers    []Neighbour
	Services map[string]announce.Service
}

// Neighbour is one peer. What is not allowed is not announced to it (RFC 8212).
type Neighbour struct {
	Addr     string
	AS       uint32
	Hold     scheduler.Time
	Families []wire.Family
	Passive  bool
	Restart  scheduler.Time
	Allow    []netip.Prefix
	Key      string // signs its segments (TCP MD5, RFC 2385); none where empty
}

type bgpFile struct {
	AS       strictyaml.Count `yaml:"as"`
	ID       strictyaml.Word  `yaml:"identifier"`
	Listen   strictyaml.Word  `yaml:"listen" settings:"may"`
	Peers    []bgpPeer        `yaml:"peers"`
	Services []bgpService     `yaml:"services"`
}

type bgpPeer struct {
	Addr     strictyaml.Word   `yaml:"address"`
	AS       strictyaml.Count  `yaml:"as"`
	Hold     strictyaml.Span   `yaml:"hold"`
	Restart  strictyaml.Span   `yaml:"keep_routes_for" settings:"may"`
	Passive  strictyaml.Flag   `yaml:"it_calls" settings:"may"`
	Families []strictyaml.Word `yaml:"families"`
	Allow    []strictyaml.Word `yaml:"allow"`
	Key      strictyaml.Word   `yaml:"tcp_md5_key" settings:"may"`
}

type bgpService struct {
	Service strictyaml.Word  `yaml:"service"`
	Prefix  strictyaml.Word  `yaml:"prefix"`
	NextHop strictyaml.Word  `yaml:"next_hop"`
	Least   strictyaml.Count `yaml:"least_running" settings:"may"`
	MED     strictyaml.Count `yaml:"med" settings:"may"`
	Healthy strictyaml.Flag  `yaml:"fewer_is_worse" settings:"may"`
}

func (c *check) prefix(w strictyaml.Word) netip.Prefix {
	p, err := netip.ParsePrefix(w.Text)
	if err != nil {
		c.fail(w.Place, "%q is no prefix such as 192.0.2.0/24", w.Text)
	} else if p != p.Masked() {
		c.fail(w.Place, "%q has bits beyond its length; %s has not", w.Text, p.Masked())
	}
	return p
}

func (c *check) host(w strictyaml.Word) netip.Addr {
	a, err := netip.ParseAddr(w.Text)
	if err != nil {
		c.fail(w.Place, "%q is no address such as 192.0.2.1", w.Text)
	}
	return a
}

func (c *check) as(n strictyaml.Count) uint32 {
	if n.Value == 0 || n.Value == 23456 {
		c.fail(n.Place, "%d is no AS number to use", n.Value)
	}
	return uint32(n.Value)
}

// bgp checks the section on addresses to announce.
func (c *check) bgp(f *bgpFile) *Announcing {
	c.needed("bgp", *f)
	if c.fault != nil {
		return nil
	}
	s := &Announcing{AS: c.as(f.AS), Services: map[string]announce.Service{}}
	if id := c.host(f.ID); id.Is4() && !id.IsUnspecified() {
		s.ID = id.As4()
	} else {
		c.fail(f.ID.Place, "an identifier is an IPv4 address other than 0.0.0.0")
	}
	if f.Listen.Set() {
		s.Listen = c.address(f.Listen)
	}
	for i, p := range f.Peers {
		path := fmt.Sprintf("bgp.peers[%d]", i)
		c.needed(path, p)
		x := Neighbour{Addr: c.address(p.Addr), AS: c.as(p.AS), Hold: c.span(p.Hold), Restart: c.span(p.Restart), Passive: p.Passive.Value,
			Key: p.Key.Text}
		if len(x.Key) > 80 {
			c.fail(p.Key.Place, "a key has up to 80 bytes")
		}
		if h := p.Hold.Tenths / 10_000; p.Hold.Tenths%10_000 != 0 || h == 1 || h == 2 || h > 65535 {
			c.fail(p.Hold.Place, "a hold time is 0 or whole seconds from 3 to 65535")
		}
		if p.Passive.Value && s.Listen == "" {
			c.fail(p.Passive.Place, "a peer that calls needs bgp.listen")
		}
		for _, w := range p.Families {
			n, err := strictyaml.Choose(c.src, w, "ipv4", "ipv6")
			c.keep(err)
			x.Families = append(x.Families, []wire.Family{wire.IPv4, wire.IPv6}[n])
		}
		if len(p.Families) == 0 {
			x.Families = []wire.Family{wire.IPv4}
		}
		for _, w := range p.Allow {
			x.Allow = append(x.Allow, c.prefix(w))
		}
		if len(p.Allow) == 0 { // nothing is announced without a policy (RFC 8212): say so rather than be silent
			c.keep(c.src.Missing(path, "allow"))
		}
		s.Peers = append(s.Peers, x)
	}
	owner := map[netip.Prefix]string{}
	for i, v := range f.Services {
		c.needed(fmt.Sprintf("bgp.services[%d]", i), v)
		x := announce.Service{Prefix: c.prefix(v.Prefix), NextHop: c.host(v.NextHop), MinRunning: v.Least.Value, MED: uint32(v.MED.Value),
			MEDByHealth: v.Healthy.Value}
		if x.Prefix.Addr().Is4() != x.NextHop.Is4() {
			c.fail(v.NextHop.Place, "the next hop is of another family than %s", x.Prefix)
		}
		if o, twice := owner[x.Prefix]; twice {
			c.fail(v.Prefix.Place, "%s is that of service %s already", x.Prefix, o)
		}
		owner[x.Prefix] = v.Service.Text
		s.Services[v.Service.Text] = x
	}
	return s
}
