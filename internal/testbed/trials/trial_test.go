package trials

import (
	"bytes"
	"errors"
	"regexp"
	"testing"

	"glenport/internal/testutil"
)

// stepTrial is a trial of given steps.
type stepTrial struct{ steps func(*Runner) []Step }

func (t stepTrial) Verdict() (name, failure string) { return "fake", "it did not hold" }

func (t stepTrial) Run(runner *Runner, _ Setup) error { return runner.Play(t.steps(runner)...) }

var elapsed = regexp.MustCompile(`\d+\.\d s`)

// Other checks read the lines that begin with "trial".
func TestVerdictIsTheLastLine(t *testing.T) {
	counted := Step{Name: "counted", Play: func() (string, error) { return "3 of 3", nil }}
	silent := Step{Name: "no", Play: WithoutFigures(func() error { return nil })}
	for _, tc := range []struct {
		name  string
		steps func(*Runner) []Step
		want  string
		err   error
	}{
		{
			"all held", func(*Runner) []Step { return []Step{counted, silent} },
			"counted   T s, 3 of 3, 0 missed\nno        T s, 0 missed\ntrial fake: ok\n", nil,
		},
		{"a miss", func(r *Runner) []Step {
			return []Step{silent, {Name: "missing", Play: WithoutFigures(func() error {
				r.Missf("%d is not 3", 2)
				return nil
			})}}
		}, "no        T s, 0 missed\nmissing   T s, 1 missed\nmissed: 2 is not 3\n" +
			"trial fake: FAILED it did not hold\n", ErrFailed},
		{"an error", func(*Runner) []Step {
			return []Step{{Name: "broken", Play: WithoutFigures(func() error { return errors.New("no port") })}, silent}
		}, "trial fake: FAILED broken: no port\n", ErrFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := Run(stepTrial{tc.steps}, Setup{}, &out); !errors.Is(err, tc.err) {
				t.Errorf("got %v, want %v", err, tc.err)
			}
			got := elapsed.ReplaceAllString(out.String(), "T s")
			testutil.Expect(t, got == tc.want, "got\n%swant\n%s", got, tc.want)
		})
	}
}
