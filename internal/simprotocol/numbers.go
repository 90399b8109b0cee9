package simprotocol

import (
	"math"
	"strconv"

	"glenport/scheduler"
)

// maxNumber bounds the numbers of the wire, so that sums of times stay within their type.
const maxNumber = 1e14

// roundingSlack makes up for a time in milliseconds whose binary value is just below its decimal one.
const roundingSlack = 1e-6

func parseNumber(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.Abs(number) > maxNumber {
		return 0, &ValueError{Value: text, Problem: "is no number"}
	}
	return number, nil
}

// timeFromMillis rounds down, so that no time read is later than the one sent.
func timeFromMillis(millis float64) scheduler.Time {
	return scheduler.Time(math.Floor(millis*float64(scheduler.Millisecond) + roundingSlack))
}

func formatMillis(t scheduler.Time) string {
	return strconv.FormatFloat(float64(t)/float64(scheduler.Millisecond), 'f', 1, 64)
}
