package api

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"glenport/internal/testutil"
)

func TestRetryWaitsForTheFirstAnswer(t *testing.T) {
	c := creations{byKey: map[string]*creation{}}
	entry, first := c.begin("key", []byte("body"))
	retry, retryIsFirst := c.begin("key", []byte("body"))
	testutil.Require(t, first && !retryIsFirst && retry == entry, "first %t, retry first %t", first, retryIsFirst)
	select {
	case <-retry.done:
		t.Error("done before the first request has its answer")
	default:
	}
	c.finish("key", entry, []byte("answer"), nil)
	<-retry.done
	testutil.Expect(t, string(retry.response) == "answer" && string(retry.body) == "body",
		"the retry gets %q for %q", retry.response, retry.body)
}

func TestFailedCreationFreesItsKey(t *testing.T) {
	c := creations{byKey: map[string]*creation{}}
	entry, _ := c.begin("key", nil)
	c.finish("key", entry, nil, errors.New("not valid"))
	<-entry.done
	testutil.Expect(t, entry.response == nil, "a retry that waited gets %q", entry.response)
	_, first := c.begin("key", nil)
	testutil.Expect(t, first, "the key is still taken")
}

func TestOldAndExcessCreationsAreForgotten(t *testing.T) {
	c := creations{byKey: map[string]*creation{}}
	old, _ := c.begin("old", nil)
	old.startedAt = time.Now().Add(-creationRetention - time.Second)
	_, first := c.begin("old", nil)
	testutil.Expect(t, first, "an old creation is still known")
	for i := range maxCreations {
		c.byKey[fmt.Sprint("key", i)] = &creation{startedAt: time.Now()}
	}
	c.begin("one more", nil)
	testutil.Expect(t, len(c.byKey) <= maxCreations, "%d creations, want at most %d", len(c.byKey), maxCreations)
}
