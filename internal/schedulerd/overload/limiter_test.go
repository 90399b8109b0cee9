package overload

import (
	"fmt"
	"math"
	"strconv"
	"testing"

	"glenport/internal/testutil"
	_ "glenport/internal/testutil/fixedseed"
	"glenport/scheduler"

	"pgregory.net/rapid"
)

const (
	ms  = scheduler.Millisecond
	sec = scheduler.Second
)

func testConfig() Config {
	return Config{
		Seed:            1,
		MaxOpen:         100_000,
		WorkloadClasses: []WorkloadClass{{300 * ms, 1}, {300 * ms, 2}, {500 * ms, 4}},
	}
}

// request reports whether a request is admitted, and returns the Shed action if it is not.
func request(t *testing.T, limiter *Limiter, now scheduler.Time, e RequestReceived) (bool, Shed) {
	t.Helper()
	for _, a := range limiter.Handle(now, e) {
		switch a := a.(type) {
		case Admit:
			return true, Shed{}
		case Shed:
			return false, a
		}
	}
	t.Fatal("no answer")
	return false, Shed{}
}

// overloadedLimiter returns a limiter in an overload, and the present time. Starts took 60 ms at first and two seconds
// since.
func overloadedLimiter(t *testing.T) (*Limiter, scheduler.Time) {
	t.Helper()
	limiter, now := New(testConfig()), scheduler.Time(0)
	for range 200 { // without overload
		now += 10 * ms
		request(t, limiter, now, RequestReceived{Client: "a"})
		limiter.Handle(now, RequestStarted{0, 60 * ms})
	}
	for i := range 3000 {
		now += 2 * ms
		request(t, limiter, now, RequestReceived{Client: strconv.Itoa(i % 50)})
		if i%4 == 0 {
			limiter.Handle(now, RequestStarted{0, 2 * sec})
		}
	}
	return limiter, now
}

func TestLimitFollowsStartLatency(t *testing.T) {
	t.Run("all is admitted without overload", testAllIsAdmittedWithoutOverload)
	t.Run("slow starts decrease the limit", testSlowStartsDecreaseTheLimit)
	t.Run("a high priority weight is admitted longer", testHighPriorityIsAdmittedLonger)
	t.Run("fast starts increase the limit again", testFastStartsIncreaseTheLimit)
	t.Run("scheduled retries are spread over time", testScheduledRetriesAreSpread)
}

func testAllIsAdmittedWithoutOverload(t *testing.T) {
	limiter, now := New(testConfig()), scheduler.Time(0)
	for i := range 20_000 {
		now += ms
		e := RequestReceived{Client: strconv.Itoa(i % 7), WorkloadClass: i % 3, ClientRetry: i%2 == 0}
		ok, s := request(t, limiter, now, e)
		testutil.Require(t, ok, "shed: %+v", s)
		limiter.Handle(now, RequestStarted{i % 3, 60 * ms})
	}
}

func testSlowStartsDecreaseTheLimit(t *testing.T) {
	limiter, now := overloadedLimiter(t)
	ok, s := request(t, limiter, now, RequestReceived{Client: "a"})
	if ok || s.Reason != ReasonLimitReached || limiter.Limit() > 500 {
		t.Errorf("%v %+v, limit %.0f, open %d", ok, s, limiter.Limit(), limiter.Open())
	}
}

func testHighPriorityIsAdmittedLonger(t *testing.T) {
	limiter, now := overloadedLimiter(t)
	for range 2000 {
		if low, _ := request(t, limiter, now, RequestReceived{Client: "a"}); low {
			continue
		}
		high, _ := request(t, limiter, now, RequestReceived{Client: "a", WorkloadClass: 2})
		if !high && float64(limiter.Open()) < limiter.Limit() {
			t.Errorf("high priority is shed with %d open of %.0f", limiter.Open(), limiter.Limit())
		}
		if high {
			return
		}
		limiter.Handle(now, RequestFailed{0})
	}
	t.Error("high priority was never admitted where low was not")
}

func testFastStartsIncreaseTheLimit(t *testing.T) {
	limiter, now := overloadedLimiter(t)
	for range 4000 {
		now += 5 * ms
		request(t, limiter, now, RequestReceived{Client: "a"})
		limiter.Handle(now, RequestStarted{0, 40 * ms})
	}
	if ok, s := request(t, limiter, now, RequestReceived{Client: "a"}); !ok {
		t.Errorf("still shed: %+v, limit %.0f, open %d", s, limiter.Limit(), limiter.Open())
	}
}

// Clients that wait for their retry-after return one after another, not all at once.
func testScheduledRetriesAreSpread(t *testing.T) {
	limiter, now := overloadedLimiter(t)
	var all []float64
	for range 300 {
		if ok, s := request(t, limiter, now, RequestReceived{Client: "a"}); !ok {
			all = append(all, float64(s.RetryAfter)/float64(sec))
			testutil.Require(t, s.RetryAfter >= minRetryAfter && s.RetryAfter <= maxRetryAfter+maxRetryAfter/2,
				"retry-after %d", s.RetryAfter)
		}
	}
	most := 0
	for i := range all {
		n := 0
		for _, x := range all {
			if x >= all[i] && x < all[i]+0.5 {
				n++
			}
		}
		most = max(most, n)
	}
	testutil.Expect(t, most <= len(all)/3, "%d of %d return in one half second", most, len(all))
}

// Without a budget client retries would crowd out first-time requests.
func TestClientRetriesHaveABudget(t *testing.T) {
	limiter, now := overloadedLimiter(t)
	for ok := true; ok; { // until the limit is reached
		ok, _ = request(t, limiter, now, RequestReceived{Client: "a"})
	}
	retries := 0
	for i := range 1000 {
		limiter.Handle(now, RequestFailed{0}) // makes room for one request
		if ok, _ := request(t, limiter, now, RequestReceived{Client: strconv.Itoa(retries), ClientRetry: true}); ok {
			retries++
		} else if ok, s := request(t, limiter, now, RequestReceived{Client: fmt.Sprint("f", i%50)}); !ok {
			t.Fatalf("a first-time request is shed where a retry would have been admitted: %+v", s)
		}
	}
	if most := maxRetryTokens + 1000*retryBudgetRatio; float64(retries) > most {
		t.Errorf("%d client retries were admitted beside 1000 first-time requests; open %d, limit %.0f, tokens %.1f",
			retries, limiter.Open(), limiter.Limit(), limiter.retryTokens)
	}
}

// drawEvent returns a random request, or the start of a container if requests are open.
func drawEvent(t *rapid.T, open int) Event {
	request := RequestReceived{
		Client:        strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "client")),
		WorkloadClass: rapid.IntRange(0, 2).Draw(t, "class"),
		ClientRetry:   rapid.Bool().Draw(t, "retry"),
	}
	if open == 0 || !rapid.Bool().Draw(t, "end") {
		return request
	}
	class := rapid.IntRange(0, 2).Draw(t, "class")
	return RequestStarted{class, scheduler.Time(rapid.IntRange(1, 60_000).Draw(t, "elapsed"))}
}

// Each request has one answer, equal sequences lead to equal answers, and the number of open requests does not exceed
// the limit at the time of admission.
func TestEachRequestIsAnsweredWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, now, open := New(testConfig()), New(testConfig()), scheduler.Time(0), 0
		for range 200 {
			now += scheduler.Time(rapid.IntRange(0, 2000).Draw(t, "advance"))
			e, limit := drawEvent(t, open), a.Limit()
			got, other := fmt.Sprint(a.Handle(now, e)), fmt.Sprint(b.Handle(now, e))
			testutil.Require(t, got == other, "%s and %s", got, other)
			_, isRequest := e.(RequestReceived)
			switch {
			case !isRequest:
				open--
			case a.Open() > open:
				if open++; float64(open) > limit+1 {
					t.Fatalf("%d open, the limit was %.0f", open, limit)
				}
			case len(got) < 3:
				t.Fatalf("no answer: %s", got)
			}
		}
	})
}

// shedsSome reports whether a limiter sheds at least one of 500 requests.
func shedsSome(t *testing.T, limiter *Limiter, now scheduler.Time) (shed bool) {
	t.Helper()
	for i := range 500 {
		ok, _ := request(t, limiter, now, RequestReceived{Client: strconv.Itoa(i % 50)})
		shed = shed || !ok
	}
	return shed
}

// After a restart during an overload, the limit is the limit of the last incarnation divided by the weight of the
// snapshot. The baselines are kept.
func TestRestoredLimitCountsByWeight(t *testing.T) {
	before, now := overloadedLimiter(t)
	for _, tc := range []struct {
		weight float64
		least  float64 // lower bound of the ratio of the new limit to the old one
		most   float64 // upper bound of the ratio
	}{{1, 1, 1}, {0.5, 2, 2}, {0, 100, math.Inf(1)}} {
		after := New(testConfig())
		after.Restore(before.Snapshot(), tc.weight)
		if x := after.Limit() / before.Limit(); x < tc.least-0.01 || x > tc.most+0.01 {
			t.Errorf("weight %.1f: the limit is %.2f times that of the last incarnation", tc.weight, x)
		}
		got, want := after.Snapshot().BaselineLatency[0], before.Snapshot().BaselineLatency[0]
		testutil.Expect(t, got == want, "weight %.1f: the baseline is %.2f, was %.2f", tc.weight, got, want)
		testutil.Expect(t, tc.weight != 1 || shedsSome(t, after, now),
			"the new incarnation admits all requests that the last one shed")
	}
	other := New(Config{MaxOpen: 10, WorkloadClasses: []WorkloadClass{{sec, 1}}})
	if other.Restore(before.Snapshot(), 1); other.Limit() != 10 {
		t.Error("a snapshot of other workload classes is restored")
	}
}
