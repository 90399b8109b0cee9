package platform

import "os"

// HandleSignals handles signals to shut down and to reload in goroutines of their own, until the channels are closed. A
// slow load delays neither a shutdown nor a later reload: the configuration that counts is loaded after the last
// signal.
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
