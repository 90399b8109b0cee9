// Package metrics shows a placer's account of itself to whoever scrapes it, in the Prometheus text form.
package metrics

import (
	"net/http"
	"strings"
	"time"

	"glenport/internal/protocol"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Source gives the account; ok is false where the placer does not answer.
type Source interface {
	Stats(within time.Duration) (s *protocol.StatusReply, r *protocol.RoutesReply, ok bool)
}

type collector struct{ source Source }

// Describe sends nothing: what there is follows from the account.
func (collector) Describe(chan<- *prometheus.Desc) {}

func (c collector) Collect(out chan<- prometheus.Metric) {
	put := func(name, help string, v float64, labels ...string) {
		names, values := []string{}, []string{}
		for i := 0; i+1 < len(labels); i += 2 {
			names, values = append(names, labels[i]), append(values, labels[i+1])
		}
		d := prometheus.NewDesc(name, help, names, nil)
		if m, err := prometheus.NewConstMetric(d, prometheus.UntypedValue, v, values...); err == nil {
			out <- m
		}
	}
	s, r, ok := c.source.Stats(2 * time.Second)
	up := 0.0
	if ok {
		up = 1
	}
	put("glenport_answers", "Whether the placer's loop answers.", up)
	if !ok {
		return
	}
	for _, f := range s.Stats {
		name := "glenport_" + strings.NewReplacer(" ", "_", ".", "_").Replace(f.Name)
		if f.Unit != "" {
			name += "_" + strings.ToLower(f.Unit)
		}
		put(name, "As glenport status shows it.", f.Value)
	}
	for _, p := range r.Peers {
		stands := 0.0
		if p.State == "Established" {
			stands = 1
		}
		put("glenport_bgp_established", "Whether the session stands.", stands, "peer", p.Address)
		put("glenport_bgp_routes", "Prefixes that the peer was told.", float64(p.Routes), "peer", p.Address)
		put("glenport_bgp_due", "Changes that wait for the peer.", float64(p.PendingRoutes), "peer", p.Address)
		put("glenport_bgp_updates", "Update messages sent.", float64(p.UpdatesSent), "peer", p.Address)
		put("glenport_bgp_session_ends", "Sessions that ended.", float64(p.SessionsEnded), "peer", p.Address)
	}
	for _, v := range r.Services {
		put("glenport_bgp_penalty", "Damping penalty of a service's address.", v.Penalty, "service", v.Service)
	}
}

// Serve makes the HTTP server for /metrics.
func Serve(addr string, of Source) *http.Server {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collector{of})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{Timeout: 5 * time.Second}))
	return &http.Server{Addr: addr, Handler: mux, ReadHeaderTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second}
}
