package simprotocol

import (
	"bytes"
	"fmt"
	"strings"

	"glenport/scheduler"
)

// AppendAction appends the line for an action of an instance.
func AppendAction(b *bytes.Buffer, instance int, action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.StartAttempt:
		fmt.Fprintf(b, "BIND %d %s %s %s\n", instance, a.ID, a.Machine, formatMillis(a.Timeout))
	case scheduler.Reject:
		fmt.Fprintf(b, "BUSY %d %s %s\n", instance, a.ID, formatMillis(a.RetryAfter))
	case scheduler.Fail:
		fmt.Fprintf(b, "FAIL %d %s\n", instance, a.ID)
	case scheduler.CancelAttempt:
		fmt.Fprintf(b, "UNDO_SEND %d %s %d\n", instance, a.ID, a.Attempt)
	case scheduler.Probe:
		fmt.Fprintf(b, "PING %d %s\n", instance, a.Machine)
	case scheduler.Disconnect:
		fmt.Fprintf(b, "CLOSE %d %s\n", instance, a.Machine)
	case scheduler.SetTimer:
		fmt.Fprintf(b, "AFTER %d %s %s\n", instance, formatMillis(a.After), a.Name)
	case scheduler.WatchMachineList:
		fmt.Fprintf(b, "WATCH %d %s\n", instance, booleanFields[a.Enabled])
	case scheduler.FetchMachineList:
		fmt.Fprintf(b, "FETCH %d\n", instance)
	case scheduler.Log:
		fmt.Fprintf(b, "DEBUG %d %s\n", instance, singleLine(a.String()))
	}
}

// AppendFault appends the line that reports a failure inside an instance.
func AppendFault(b *bytes.Buffer, instance int, description string) {
	fmt.Fprintf(b, "FAULT %d %s\n", instance, singleLine(description))
}

func singleLine(text string) string { return strings.Join(strings.Fields(text), " ") }
