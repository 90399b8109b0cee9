package why

import "time"

// The reason codes that the trial expects, and the time limits from the settings that it depends on.
const (
	reasonNoMachine       = "no_machine"
	reasonNoRoom          = "no_room"
	reasonNoScheduler     = "no_placer"
	reasonFencing         = "guard"
	reasonBackingOff      = "backing_off"
	reasonZoneDrains      = "hall_drains"
	reasonListUnavailable = "list_away"
	reasonSpreadFull      = "spread_full"
	placementTimeout      = 4 * time.Second // of the at-most-once workload class
	listSilenceLimit      = 4 * time.Second // after which the machine list counts as unavailable
	spreadTimeout         = time.Minute
)

// pendingReasons is the API's answer to why a container is pending.
type pendingReasons struct {
	State   string
	Reasons []pendingReason
}

type pendingReason struct {
	Code    string
	Text    string
	Figures map[string]float64
	UntilMS int64 `json:"until_ms"`
}

// find returns the reason with a code.
func (r *pendingReasons) find(code string) (pendingReason, bool) {
	for _, reason := range r.Reasons {
		if reason.Code == code {
			return reason, true
		}
	}
	return pendingReason{}, false
}

// sabotagedCodes maps true codes to the codes that a sabotaged trial reads instead.
var sabotagedCodes = map[string]string{
	reasonNoMachine: reasonNoRoom,
	reasonNoRoom:    reasonNoMachine,
	reasonFencing:   reasonBackingOff,
}

// readCodes reads the reasons for which a container is pending, and their codes.
func (t *Trial) readCodes(container string) (map[string]bool, pendingReasons, error) {
	var answer pendingReasons
	if err := t.Get("/v1/containers/"+container+"/why", &answer); err != nil {
		return nil, answer, err
	}
	codes := map[string]bool{}
	for _, reason := range answer.Reasons {
		code := reason.Code
		if t.Codes == SabotagedCodes {
			code = sabotagedCodes[code]
		}
		codes[code] = true
	}
	return codes, answer, nil
}
