package api

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"
	"glenport/internal/testutil"
)

// A watch that is interrupted while containers are placed, and resumed from its last version, misses no change and
// receives none twice: every container starts to run exactly once.
func TestResumedWatchMissesNoChange(t *testing.T) {
	f := startFixture(t, 3)
	_, list := f.do("GET", "/v1/containers", "")
	from := int64(list["version"].(float64))
	f.do("POST", "/v1/jobs", job("a", 40, 0.2))
	running, seen := map[string]int{}, map[int64]bool{}
	apply := func(line containerLine) {
		if line.Type == watchBookmark {
			from = max(from, line.Version)
			return
		}
		testutil.Require(t, !seen[line.Version] && line.Version > from,
			"received version %d again or out of order, after %d", line.Version, from)
		seen[line.Version], from = true, line.Version
		if line.Object.State == "running" {
			running[line.ID]++
		}
	}
	for round := 0; len(running) < 40; round++ {
		testutil.Require(t, round <= 50, "%d containers run after %d watches", len(running), round)
		for _, line := range f.watchLines(from, 9) {
			apply(line)
		}
	}
	for id, n := range running {
		testutil.Expect(t, n == 1, "%s started to run %d times", id, n)
	}
}

// containerLine is a line in a watch of containers.
type containerLine struct {
	Type    string
	Version int64
	ID      string
	Object  server.Container
}

// watchLines watches containers from a version and ends the watch after limit lines or the first bookmark.
func (f *fixture) watchLines(from int64, limit int) (lines []containerLine) {
	f.Helper()
	url := fmt.Sprintf("%s/v1/watch?kinds=containers&from=%d", f.api.URL, from)
	ctx, cancel := context.WithCancel(f.Context())
	defer cancel()
	response := send(f, newRequest(f, http.MethodGet, url, "").WithContext(ctx))
	testutil.Require(f, response.status == http.StatusOK, "watch from %d: %d", from, response.status)
	for scanner := bufio.NewScanner(response.body); len(lines) < limit && scanner.Scan(); {
		var line containerLine
		testutil.NoError(f, json.Unmarshal(scanner.Bytes(), &line))
		lines = append(lines, line)
		if line.Type == watchBookmark {
			break
		}
	}
	return lines
}

func TestWatchWithoutChangesGetsABookmark(t *testing.T) {
	f := startFixture(t, 1)
	f.do("POST", "/v1/jobs", job("a", 0, 1)) // no containers: the watch below has no changes to send
	_, list := f.do("GET", "/v1/containers", "")
	version := int64(list["version"].(float64))
	lines := f.watchLines(version, 1)
	testutil.Expect(t, len(lines) == 1 && lines[0].Type == watchBookmark && lines[0].Version >= version,
		"got %+v, want a bookmark of version %d or later", lines, version)
}

func TestStalledWatchClientDoesNotDelayOthers(t *testing.T) {
	f := startFixture(t, 1)
	url := f.api.URL + "/v1/watch?kinds=jobs"
	send(t, newRequest(t, http.MethodGet, url, "")) // stalled: its body is never read
	live := send(t, newRequest(t, http.MethodGet, url, ""))
	labels := fmt.Sprintf(`"labels":{"x":%q},`, strings.Repeat("y", 60))
	const n = 3000
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for i := range n {
			body := strings.Replace(job("a", 0, 1), `"service"`, labels+`"service"`, 1)
			method, path := "PUT", "/v1/jobs/a"
			if i == 0 {
				method, path = "POST", "/v1/jobs"
			}
			sendJob(t, method, f.api.URL+path, body)
		}
	}()
	lines, got := bufio.NewScanner(live.body), 0
	for got < n && lines.Scan() {
		if strings.Contains(lines.Text(), `"changed"`) {
			got++
		}
	}
	<-sent
	testutil.Expect(t, got == n, "the live client got %d of %d changes", got, n)
}

// sendJob sends a job and discards the response. It may be called from any goroutine.
func sendJob(t *testing.T, method, url, body string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	err = errors.Join(err, response.Body.Close())
	testutil.ExpectNoError(t, err)
}

// A client that resumes from a bookmark must not miss the changes that were queued when the bookmark was written.
func TestBookmarkCoversOnlySentChanges(t *testing.T) {
	cache := watchcache.New(EncodeWatchEvent)
	cache.Put(server.KindJobs, "a", server.Job{})
	watcher, err := cache.Watch(cache.Version(), server.KindJobs)
	testutil.NoError(t, err)
	defer watcher.Close()
	stream := &watchStream{watcher: watcher, cache: cache}
	cache.Put(server.KindMachines, "m", server.Machine{})
	if v := stream.sentVersion(); v != 2 {
		t.Errorf("bookmark of version %d, want 2: no change is queued", v)
	}
	cache.Put(server.KindJobs, "b", server.Job{})
	if v := stream.sentVersion(); v != 1 {
		t.Errorf("bookmark of version %d, want 1, where the watch began: a change is queued", v)
	}
	<-watcher.Changes
	if v := stream.sentVersion(); v != 3 {
		t.Errorf("bookmark of version %d, want 3: all changes were sent", v)
	}
}
