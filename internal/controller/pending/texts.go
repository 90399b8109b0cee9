package pending

// Formats of the texts that the API shows to clients. They must not change, and therefore keep the terms of the
// platform: placer for a scheduler, bid for an attempt, hall for a zone.
const (
	textNoScheduler          = "None of the %d placers can be reached."
	textSchedulerUnreachable = "The placer that knows whether it runs cannot be reached."
	textFencing              = "It may have been started (%s). " +
		"A second copy must not run, so nothing is done for another %.1f s."
	textUnobserved         = "It ran when its placer was lost; whether it still does is not known."
	textPlacing            = "A placer has been at it for %.1f s."
	textOutcomeUnknown     = "A placer cannot tell yet whether it runs (%s)."
	textRefused            = "A placer takes no more (%s)."
	textBackingOff         = "It was %s; after %d tries the next is in %.1f s."
	textUnknown            = "It has just been asked for, and no placer has answered yet."
	textMachineListStale   = "The list of machines has not been heard for %.0f s; what is known may be old."
	textZoneDraining       = "Hall %s is under maintenance: all of its %d machines drain."
	textLoadShedding       = "%.0f%% of recent bids found no room, and other work gains more."
	textNoMachine          = "None of the %d machines is of the kind and size it needs."
	textAllDraining        = "All %d machines that could run it drain."
	textNoCapacity         = "%d of %d machines have no room: %s is short (%d lack cores, %d memory)."
	textSpreadExhausted    = "On %d of %d machines its service has as many containers as its spread allows."
	textSlowStartExhausted = "%d machines have just come up and may not take more yet; " +
		"their budget is renewed every %.1f s."
	textMachinesEjected = "%d machines are left out: " +
		"%d look sick, %d leave this work unanswered, %d send work away."
)
