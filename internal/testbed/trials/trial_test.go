package trials

import (
	"bytes"
	"errors"
	"regexp"
	"testing"

	"glenport/internal/testutil"
)

// stepTrial is a trial with given steps.
type stepTrial struct{ steps func(*Runner) []Step }

func (t stepTrial) Verdict() (name, failure string) { return "fake", "a check failed" }

func (t stepTrial) Run(runner *Runner, _ Setup) error { return runner.RunSteps(t.steps(runner)...) }

var elapsed = regexp.MustCompile(`\d+\.\d s`)

// The verdict comes last, on a line that begins with "trial": scripts read these lines.
func TestVerdictIsTheLastLine(t *testing.T) {
	counted := Step{Name: "counted", Run: func() (string, error) { return "3 of 3", nil }}
	silent := Step{Name: "no", Run: WithoutFigures(func() error { return nil })}
	for _, tc := range []struct {
		name  string
		steps func(*Runner) []Step
		want  string
		err   error
	}{
		{
			"all checks pass", func(*Runner) []Step { return []Step{counted, silent} },
			"counted   T s, 3 of 3, 0 checks failed\nno        T s, 0 checks failed\ntrial fake: ok\n", nil,
		},
		{"a failed check", func(r *Runner) []Step {
			return []Step{silent, {Name: "missing", Run: WithoutFigures(func() error {
				r.Failf("%d is not 3", 2)
				return nil
			})}}
		}, "no        T s, 0 checks failed\nmissing   T s, 1 checks failed\ncheck failed: 2 is not 3\n" +
			"trial fake: FAILED a check failed\n", ErrFailed},
		{"an error", func(*Runner) []Step {
			return []Step{{Name: "broken", Run: WithoutFigures(func() error { return errors.New("no port") })}, silent}
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
