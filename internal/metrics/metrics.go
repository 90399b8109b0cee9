// Package metrics serves the status of a scheduler in the Prometheus text format.
package metrics

import (
	"net/http"
	"strings"
	"time"

	"glenport/internal/protocol"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	statsTimeout      = 2 * time.Second
	scrapeTimeout     = 5 * time.Second
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = 10 * time.Second
)

// sessionEstablished is the state of a BGP session that is up.
const sessionEstablished = "Established"

// Source provides the status that is served.
type Source interface {
	// Stats returns ok as false if the scheduler does not answer within the timeout.
	Stats(timeout time.Duration) (status *protocol.StatusReply, routes *protocol.RoutesReply, ok bool)
}

// NewServer returns the HTTP server of /metrics. The caller starts and closes it.
func NewServer(address string, source Source) *http.Server {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{source})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{Timeout: scrapeTimeout}))
	return &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout}
}

type collector struct{ source Source }

// Describe implements prometheus.Collector. It sends no descriptions, as the set of metrics depends on the status.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	status, routes, ok := c.source.Stats(statsTimeout)
	emit(metrics, "glenport_answers", "Whether the scheduler's event loop answers.", boolValue[ok])
	if !ok {
		return
	}
	for _, stat := range status.Stats {
		emit(metrics, statName(stat), "The counter of this name in the output of glenport status.", stat.Value)
	}
	for _, peer := range routes.Peers {
		collectPeer(metrics, peer)
	}
	for _, service := range routes.Services {
		labels := label{"service", service.Service}
		emit(metrics, "glenport_bgp_penalty", "Flap damping penalty of a service's address.", service.Penalty, labels)
	}
}

func collectPeer(metrics chan<- prometheus.Metric, peer protocol.BGPPeerStatus) {
	address := label{"peer", peer.Address}
	established := boolValue[peer.State == sessionEstablished]
	emit(metrics, "glenport_bgp_established", "Whether the session is established.", established, address)
	emit(metrics, "glenport_bgp_routes", "Prefixes announced to the peer.", float64(peer.Routes), address)
	emit(metrics, "glenport_bgp_due", "Changes not yet sent to the peer.", float64(peer.PendingRoutes), address)
	emit(metrics, "glenport_bgp_updates", "Update messages sent.", float64(peer.UpdatesSent), address)
	emit(metrics, "glenport_bgp_session_ends", "Sessions that ended.", float64(peer.SessionsEnded), address)
}

var statNameReplacer = strings.NewReplacer(" ", "_", ".", "_")

func statName(stat protocol.Stat) string {
	name := "glenport_" + statNameReplacer.Replace(stat.Name)
	if stat.Unit == "" {
		return name
	}
	return name + "_" + strings.ToLower(stat.Unit)
}

type label struct{ name, value string }

// emit sends a metric. It omits metrics with an invalid name.
func emit(metrics chan<- prometheus.Metric, name, help string, value float64, labels ...label) {
	var names, values []string
	for _, l := range labels {
		names, values = append(names, l.name), append(values, l.value)
	}
	description := prometheus.NewDesc(name, help, names, nil)
	metric, err := prometheus.NewConstMetric(description, prometheus.UntypedValue, value, values...)
	if err == nil {
		metrics <- metric
	}
}

// boolValue maps a boolean to the value of a metric.
var boolValue = map[bool]float64{false: 0, true: 1}
