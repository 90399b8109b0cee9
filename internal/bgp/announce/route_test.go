package announce

import (
	"errors"
	"maps"
	"regexp"
	"testing"

	"glenport/internal/testutil"
)

var tableRow = regexp.MustCompile(`(?m)^//\t(\S+) {2,}(\S+) {2,}(\S+) {2,}\S`)

func TestRouteStatesFollowAsTheTableSays(t *testing.T) {
	doc := testutil.ReadFile(t, "doc.go")
	want, got := map[string]string{}, map[string]string{}
	for _, row := range tableRow.FindAllStringSubmatch(string(doc), -1)[1:] { // without its head
		want[row[1]+" "+row[2]] = row[3]
	}
	for state := routeWithdrawn; state <= changePending; state++ {
		for event := changeSettled; event <= addressMoved; event++ {
			r := route{state: state}
			err := r.transition(event)
			if err == nil {
				got[state.String()+" "+event.String()] = r.state.String()
				continue
			}
			var illegal *TransitionError
			if !errors.As(err, &illegal) || *illegal != (TransitionError{state, event}) || r.state != state {
				t.Errorf("%s, %s: %s, %v", state, event, r.state, err)
			}
		}
	}
	testutil.Expect(t, maps.Equal(got, want), "transitions are %v, documented %v", got, want)
}

func TestIllegalTransitionOfARouteIsLogged(t *testing.T) {
	a := New()
	s := a.findOrAdd("web")
	a.withdraw(s, withdrawalSent)
	testutil.Require(t, len(a.actions) == 1 && s.route.state == routeWithdrawn, "%+v, now %s", a.actions, s.route.state)
	if log, ok := a.actions[0].(Log); !ok || log.Err == nil {
		t.Errorf("%+v is no error for the log", a.actions[0])
	}
}
