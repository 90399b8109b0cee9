package platform

import "os"

// HandleSignals handles shutdown and reload signals, each kind in its own goroutine, until the channels are closed. A
// slow load does not delay a shutdown. A reload signal during a load leads to another load, so that the configuration
// is always loaded after the last signal.
func (s *Server) HandleSignals(shutdown, reload <-chan os.Signal, load func() (*Config, error)) {
	go func() {
		for range shutdown {
			s.Shutdown()
		}
	}()
	go func() {
		for range reload {
			config, err := load()
			if err != nil {
				s.env.log.Error("configuration not reloaded", "error", err)
				continue
			}
			s.Reload(config)
		}
	}()
}
