package simprotocol

import (
	"math"
	"strconv"

	"glenport/scheduler"
)

// maxNumber bounds the absolute values of decoded numbers, so that sums of times do not overflow.
const maxNumber = 1e14

// roundingSlack corrects times whose binary floating-point value is slightly below the decimal one.
const roundingSlack = 1e-6

func parseNumber(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.Abs(number) > maxNumber {
		return 0, &ValueError{Value: text, Problem: "is no number"}
	}
	return number, nil
}

// timeFromMillis converts milliseconds to a time. It rounds down, so that the result is not later than the time sent.
func timeFromMillis(millis float64) scheduler.Time {
	return scheduler.Time(math.Floor(millis*float64(scheduler.Millisecond) + roundingSlack))
}

func formatMillis(t scheduler.Time) string {
	return strconv.FormatFloat(float64(t)/float64(scheduler.Millisecond), 'f', 1, 64)
}
