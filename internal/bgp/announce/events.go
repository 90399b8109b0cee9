package announce

// Event is an input of an Announcer.
type Event interface{ event() }

// ServiceSet adds a service's address or changes its configuration.
type ServiceSet struct {
	Name    string
	Service Service
}

// ServiceRemoved ends the configuration of a service's address.
type ServiceRemoved struct{ Name string }

// ContainerRunning adds a container behind a service's address, or changes whether its machine is draining.
type ContainerRunning struct {
	Service, Container string
	Draining           bool
}

// ContainerEnded removes a container, whatever the reason for its end.
type ContainerEnded struct{ Service, Container string }

// TimerFired is the expiry of a timer that SetTimer started.
type TimerFired struct{}

func (ServiceSet) event()       {}
func (ServiceRemoved) event()   {}
func (ContainerRunning) event() {}
func (ContainerEnded) event()   {}
func (TimerFired) event()       {}
