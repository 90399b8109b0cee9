package wire

// Keepalive confirms an Open and keeps the hold timer from expiring.
type Keepalive struct{}

func (*Keepalive) messageType() messageType { return typeKeepalive }

func (*Keepalive) appendBody(b []byte) []byte { return b }
