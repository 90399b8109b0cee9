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
	excess := max(0, len(d.unclaimed)+1-maxUnclaimed)
	d.unclaimed = append(d.unclaimed[excess:], heldTermination{UnclaimedTermination: e, receivedAt: now})
}

// containerReclaimed reports the oldest held termination of a container and removes it.
func (d *Detector) containerReclaimed(e ContainerReclaimed) []Action {
	i := slices.IndexFunc(d.unclaimed, func(h heldTermination) bool {
		return h.Machine == e.Machine && h.RequestID == e.RequestID
	})
	if i < 0 {
		return nil
	}
	held := d.unclaimed[i]
	d.unclaimed = slices.Delete(d.unclaimed, i, i+1)
	return []Action{ReportTermination(held.UnclaimedTermination)}
}

func (d *Detector) dropExpired(now Time) {
	d.unclaimed = slices.DeleteFunc(
		d.unclaimed,
		func(h heldTermination) bool { return now-h.receivedAt > unclaimedTTL },
	)
}
