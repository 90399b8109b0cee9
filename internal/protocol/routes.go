package protocol

// RoutesRequest asks a scheduler for the state of its route announcements. A RoutesReply answers.
type RoutesRequest struct {
	_       struct{} `cbor:",toarray"`
	Service string   `cbor:"Service"` // empty: all services
}

// RoutesReply holds the state of BGP peers and announced services.
type RoutesReply struct {
	_        struct{}        `cbor:",toarray"`
	Peers    []BGPPeerStatus `cbor:"Peers"`
	Services []ServiceRoute  `cbor:"Services"`
}

// BGPPeerStatus is the state of the session with one peer.
type BGPPeerStatus struct {
	_             struct{} `cbor:",toarray"`
	Address       string   `cbor:"Addr"`
	ASN           uint32   `cbor:"AS"`
	State         string   `cbor:"State"`
	Routes        int      `cbor:"Routes"` // number of announced routes
	PendingRoutes int      `cbor:"Due"`
	UpdatesSent   int      `cbor:"Updates"`
	BytesSent     int      `cbor:"Bytes"`
	SessionsEnded int      `cbor:"Ends"`
	LastError     string   `cbor:"Why"`
}

// ServiceRoute is the announcement of one service's address.
type ServiceRoute struct {
	_               struct{} `cbor:",toarray"`
	Service         string   `cbor:"Service"`
	Prefix          string   `cbor:"Prefix"`
	Announced       bool     `cbor:"Announced"`
	LocalPreference uint32   `cbor:"Preference"`
	Running         int      `cbor:"Running"` // number of containers
	Draining        int      `cbor:"Draining"`
	MinRunning      int      `cbor:"Least"`
	Penalty         float64  `cbor:"Penalty"` // flap damping penalty
	Suppressed      bool     `cbor:"Suppressed"`
	NextChangeIn    Duration `cbor:"Next"` // time until a delayed change is sent; 0: none is delayed
}

func (*RoutesRequest) kind() kind { return kindRoutesRequest }
func (*RoutesReply) kind() kind   { return kindRoutesReply }

func (*RoutesRequest) validate() error { return nil }
func (*RoutesReply) validate() error   { return nil }
