package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/protocol"
)

// runCommand runs the program with arguments, and returns what it prints and how it ends.
func runCommand(args ...string) (stdout, stderr string, err error) {
	root := newRootCommand()
	var out, errOut bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&errOut)
	root.SetArgs(args)
	err = root.Execute()
	return out.String(), errOut.String(), err
}

// fakeScheduler answers each client with frames that cover every form of output. It greets in a role, wrong or right.
func fakeScheduler(t *testing.T, role protocol.Role) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test is over
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveClient(conn, role)
		}
	}()
	return listener.Addr().String()
}

// serveClient answers until the client leaves. Each service has an answer of its own.
func serveClient(conn net.Conn, role protocol.Role) {
	defer func() { _ = conn.Close() }() // the client has left
	send := func(frames ...protocol.Frame) {
		for _, f := range frames {
			if p, err := protocol.Append(nil, f); err == nil {
				_, _ = conn.Write(p) // a client that has left reads nothing
			}
		}
	}
	placed := func(id string) protocol.Frame {
		return &protocol.PlacementReply{ContainerID: id, Verdict: protocol.VerdictPlaced, Machine: "m1"}
	}
	for {
		frame, err := protocol.ReadFrame(conn, protocol.MaxFrame)
		if err != nil {
			return
		}
		switch f := frame.(type) {
		case *protocol.Hello:
			send(protocol.NewHello(role, "north-1", 7))
		case *protocol.StatusRequest:
			send(
				&protocol.StatusReply{
					Name: "north-1",
					Stats: []protocol.Stat{
						{Name: "open", Value: 12, Unit: ""},
						{Name: "latency p99", Value: 0.123456789, Unit: "s"},
					},
				},
			)
		case *protocol.RoutesRequest:
			send(&protocol.RoutesReply{
				Peers: []protocol.BGPPeerStatus{
					{
						Address:       "192.0.2.254:179",
						ASN:           65000,
						State:         "established",
						Routes:        2,
						PendingRoutes: 1,
						UpdatesSent:   5,
						BytesSent:     700,
						SessionsEnded: 1,
						LastError:     "hold timer expired",
					},
				},
				Services: []protocol.ServiceRoute{
					{
						Service:    "reports",
						Prefix:     "198.51.100.7/32",
						Announced:  true,
						Running:    3,
						Draining:   1,
						MinRunning: 1,
					},
					{
						Service:      "leaving",
						Prefix:       "198.51.100.8/32",
						Announced:    true,
						Running:      2,
						Draining:     2,
						MinRunning:   1,
						NextChangeIn: 4567,
					},
					{
						Service:    "flapping",
						Prefix:     "2001:db8:1::7/128",
						Suppressed: true,
						Penalty:    6123.4,
						MinRunning: 1,
					},
					{Service: "down", Prefix: "198.51.100.9/32", Running: 1, MinRunning: 2},
				},
			})
		case *protocol.Submit:
			id := f.Spec.ContainerID
			switch f.Spec.Service {
			case "placed":
				send(placed(id))
			case "ends":
				send(placed(id), &protocol.Termination{ContainerID: id, Machine: "m1", Outcome: 1, Reason: 1})
			case "rejected":
				send(
					&protocol.PlacementReply{
						ContainerID: id,
						Verdict:     protocol.VerdictRejected,
						RetryAfter:  2500,
						Message:     "no room",
					},
				)
			case "failed":
				send(&protocol.PlacementReply{ContainerID: id, Verdict: protocol.VerdictFailed})
			case "spec":
				send(
					&protocol.PlacementReply{
						ContainerID: id,
						Verdict:     protocol.VerdictNotAdmitted,
						Message:     fmt.Sprintf("%v %v %v", f.TimeToDeadline, f.Spec, f.Spec.IdempotencyKey == id),
					},
				)
			case "goodbye":
				send(&protocol.Goodbye{Message: "shutting down"})
			case "hangs-up":
				return
			}
		}
	}
}

// fakeAPI is a controller's API with two jobs; it echoes what it is sent.
func fakeAPI(t *testing.T) string {
	t.Helper()
	const job = `{"id":"web","service":"reports","workload":"report-run","cores":1.5,"memory_gib":2,"count":3,"version":9,"labels":{"a":"b"}}`
	answers := map[string]string{
		"GET /v1/jobs?limit=1000":                     `{"items":[` + job + `,{"id":"idle","service":"idle","workload":"matcher","count":0,"version":1}]}`,
		"GET /v1/jobs/web":                            job,
		"GET /v1/containers?limit=1000&field=job=web": `{"items":[{"id":"web.0","job":"web","state":"running","machine":"m1","tries":1,"starts":2,"last":"placed"},{"id":"web.1","state":"waiting","last":""}]}`,
		"GET /v1/machines?limit=1000":                 `{"items":[{"id":"m1","hall":1,"kind":"small","state":"up","free_cores":3.25,"free_memory_gib":7}]}`,
		"GET /v1/jobs/web/why":                        `{"items":[{"container":"web.1","state":"waiting","reasons":[{"code":"no_room","text":"No machine has room.","until_ms":5},{"code":"retry","text":"Retried soon."}]}]}`,
		"GET /v1/jobs/idle/why":                       `{"items":[]}`,
		"GET /v1/containers/web.1/why":                `{"container":"web.1","state":"waiting","reasons":[{"code":"no_room","text":"No machine has room."}]}`,
		"GET /v1/containers/web.0/why":                `{"container":"web.0","state":"running","reasons":[]}`,
		"DELETE /v1/jobs/web":                         "",
		"GET /v1/jobs/garbled":                        `{`,
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // an unread body shows in the echo
		answer, ok := answers[r.Method+" "+r.URL.RequestURI()]
		switch {
		case r.Method == http.MethodPost || r.Method == http.MethodPut:
			answer = string(body)
		case !ok:
			w.WriteHeader(http.StatusNotFound)
			answer = `{"title":"Not found","detail":"there is no ` + r.URL.Path + `","status":404}`
		}
		_, _ = io.WriteString(w, answer) // a client that has left reads nothing
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// recordedCalls are the calls of the program whose output is recorded, with the addresses of a fake scheduler, of a
// fake machine and of a fake API, and a folder with the settings file bad.yaml.
func recordedCalls(scheduler, machine, api, dir string) [][]string {
	const state = "../../internal/schedulerd/testdata/state"
	bad := filepath.Join(dir, "bad.yaml")
	toScheduler := func(args ...string) []string { return append(args, "--scheduler", scheduler) }
	toAPI := func(args ...string) []string { return append(args, "--api", api) }
	return [][]string{
		{"check", "../../deploy/scheduler.yaml"},
		{"check", bad, "../../deploy/scheduler.yaml", filepath.Join(dir, "absent.yaml")},
		{"check"},
		toScheduler("status"),
		{"status", "--scheduler", machine},
		{"status", "--scheduler", "127.0.0.1:1"},
		{"status", "extra"},
		toScheduler(
			"bgp",
			"peers",
		),
		toScheduler("bgp", "routes"),
		toScheduler("bgp", "why", "reports"),
		toScheduler("bgp", "why", "198.51.100.8"),
		toScheduler(
			"bgp",
			"why",
			"2001:db8:1::7",
		),
		toScheduler("bgp", "why", "198.51.100.9/32"),
		toScheduler("bgp", "why", "absent"),
		toScheduler(
			"submit",
			"placed",
		),
		toScheduler("submit", "placed", "-n", "3"),
		toScheduler("submit", "ends", "--wait", "-n", "2"),
		toScheduler(
			"submit",
			"rejected",
		),
		toScheduler("submit", "failed"),
		toScheduler("submit", "goodbye"),
		toScheduler("submit", "hangs-up"),
		toScheduler(
			"submit",
			"spec",
		),
		toScheduler(
			"submit",
			"spec",
			"--key",
			"k",
			"--workload",
			"2",
			"--tenant",
			"1",
			"--cores",
			"1.5",
			"--memory",
			"3",
			"--timeout",
			"250ms",
		),
		toAPI(
			"job",
			"get",
		),
		toAPI("job", "get", "-o", "json"),
		toAPI("job", "get", "-o", "yaml"),
		toAPI("job", "get", "web"),
		toAPI("job", "get", "web", "-o", "json"),
		toAPI(
			"job",
			"get",
			"web",
			"-o",
			"yaml",
		),
		toAPI("job", "get", "absent"),
		toAPI("job", "get", "garbled"),
		toAPI("job", "get", "-o", "xml"),
		toAPI("job", "run", "web", "--workload", "matcher", "-o", "json"),
		toAPI(
			"job",
			"run",
			"web",
			"--workload",
			"matcher",
			"--service",
			"s",
			"--tenant",
			"c",
			"--cores",
			"2.5",
			"--memory",
			"0.5",
			"-n",
			"4",
			"--run-for",
			"90s",
			"--once",
			"--label",
			"a=b",
			"--label",
			"c=d",
			"-o",
			"json",
		),
		toAPI("job", "run", "web", "--workload", "matcher"),
		toAPI("job", "run", "web"),
		toAPI(
			"job",
			"scale",
			"web",
			"-n",
			"7",
		),
		toAPI("job", "scale", "web", "-n", "7", "-o", "json"),
		toAPI("job", "scale", "absent", "-n", "7"),
		toAPI("job", "scale", "web"),
		toAPI("job", "stop", "web"),
		toAPI("job", "stop", "absent"),
		toAPI(
			"why",
			"web",
		),
		toAPI("why", "web", "-o", "json"),
		toAPI("why", "idle"),
		toAPI("why", "web.1"),
		toAPI("why", "web.0"),
		toAPI("why", "absent"),
		toAPI("why", "absent.0"),
		toAPI("machines"),
		toAPI("machines", "-o", "yaml"),
		{"machines", "--api", "127.0.0.1:1"},
		{"scheduler"},
		{"placer", "-c", bad},
		{"scheduler", "-c", bad, "--log", "xml"},
		{"controller"},
		{"keeper", "-c", bad},
		{"controller", "-c", bad, "--log", "xml"},
		{"platform"},
		{"platform", "-c", filepath.Join(dir, "absent.toml")},
		{"state", "inspect", filepath.Join(dir, "absent")},
		{"state", "verify", filepath.Join(dir, "absent")},
		{"state", "export", filepath.Join(dir, "absent")},
		{"state", "compact", filepath.Join(dir, "absent")},
		{"state", "inspect", dir},
		{"state", "verify", dir},
		{"state", "export", dir},
		{"state", "inspect", state},
		{"state", "verify", state},
		{"state", "export", state},
		{"unheard-of"},
	}
}

// transcript is a call with what it prints and how it ends.
func transcript(args []string) string {
	stdout, stderr, err := runCommand(args...)
	text := fmt.Sprintf("$ glenport %s\n%s", strings.Join(args, " "), stdout)
	if stderr != "" {
		text += "stderr: " + stderr
	}
	var code exitError
	if errors.As(err, &code) {
		text += fmt.Sprintf("exit %d\n", int(code))
	} else if err != nil {
		text += fmt.Sprintf("error: %v\n", err)
	}
	return text
}

var (
	randomID    = regexp.MustCompile(`-[0-9a-f]{6,12}-(\d)`)
	snapshotAge = regexp.MustCompile(`written \S+ ago`)
)

// TestOutputOfCommandsIsAsRecorded holds what commands print, byte for byte, and how they end.
func TestOutputOfCommandsIsAsRecorded(t *testing.T) {
	t.Setenv(platformFileVariable, "")
	scheduler, machine, api, dir := fakeScheduler(
		t,
		protocol.RoleScheduler,
	), fakeScheduler(
		t,
		protocol.RoleMachine,
	), fakeAPI(
		t,
	), t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "bad.yaml"), []byte("name: x\nnumber: many\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, args := range recordedCalls(scheduler, machine, api, dir) {
		text := strings.NewReplacer(scheduler, "SCHEDULER", api, "API", machine, "MACHINE", dir, "DIR").
			Replace(transcript(args))
		text = snapshotAge.ReplaceAllString(text, "written AGE ago")
		got.WriteString(randomID.ReplaceAllString(text, "-RANDOM-$1") + "\n")
	}
	golden.CheckText(t, "testdata/output.txt", got.String())
}
