package failuredetector

import "slices"

// Limits of the terminations that are held until an owner reclaims the container.
const (
	unclaimedTTL = 10 * Second
	maxUnclaimed = 4096
)

// heldTermination is a termination that no client has claimed yet.
type heldTermination struct {
	UnclaimedTermination
	receivedAt Time
}

// holdTermination holds a termination. If there are maxUnclaimed already, the oldest is dropped.
func (d *Detector) holdTermination(now Time, e UnclaimedTermination) {
	excess := max(0, len(d.unclaimedTerminations)+1-maxUnclaimed)
	d.unclaimedTerminations = append(
		d.unclaimedTerminations[excess:],
		heldTermination{UnclaimedTermination: e, receivedAt: now},
	)
}

// containerReclaimed reports the oldest held termination of a container and removes it.
func (d *Detector) containerReclaimed(e ContainerReclaimed) []Action {
	i := slices.IndexFunc(d.unclaimedTerminations, func(h heldTermination) bool {
		return h.Machine == e.Machine && h.RequestID == e.RequestID
	})
	if i < 0 {
		return nil
	}
	held := d.unclaimedTerminations[i]
	d.unclaimedTerminations = slices.Delete(d.unclaimedTerminations, i, i+1)
	return []Action{ReportTermination(held.UnclaimedTermination)}
}

func (d *Detector) dropExpired(now Time) {
	d.unclaimedTerminations = slices.DeleteFunc(
		d.unclaimedTerminations,
		func(h heldTermination) bool { return now-h.receivedAt > unclaimedTTL },
	)
}
