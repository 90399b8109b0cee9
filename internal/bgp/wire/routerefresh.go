package wire

// RouteRefresh requests that all routes of a family be sent again (RFC 2918).
type RouteRefresh struct{ Family Family }

func (*RouteRefresh) messageType() messageType { return typeRouteRefresh }

func (r *RouteRefresh) appendBody(b []byte) []byte {
	return append(appendFamily(b, r.Family), 0, safiUnicast)
}

func decodeRouteRefresh(body []byte) *RouteRefresh {
	return &RouteRefresh{Family: decodeFamily(body)}
}
