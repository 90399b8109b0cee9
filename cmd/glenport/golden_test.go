package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
)

// runCommand runs the root command with arguments, and returns its output and its error.
func runCommand(args ...string) (stdout, stderr string, err error) {
	root := newRootCommand()
	var out, errOut bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&errOut)
	root.SetArgs(args)
	err = root.Execute()
	return out.String(), errOut.String(), err
}

// fakeScheduler starts a server that answers with frames that cover every form of output. Its hello has the given role,
// which need not be a scheduler's. It returns the server's address.
func fakeScheduler(t *testing.T, role protocol.Role) string {
	t.Helper()
	return testutil.ServeUntilEnd(t, func(conn net.Conn) { serveClient(conn, role) })
}

// serveClient answers until the client disconnects or requests a service without a reply.
func serveClient(conn net.Conn, role protocol.Role) {
	frames.Handle(conn, func(_ net.Conn, frame protocol.Frame) bool {
		replies := fakeReplies(frame, role)
		frames.Send(conn, replies...)
		return len(replies) > 0
	})
}

func fakeReplies(frame protocol.Frame, role protocol.Role) []protocol.Frame {
	switch f := frame.(type) {
	case *protocol.Hello:
		return []protocol.Frame{protocol.NewHello(role, "north-1", 7)}
	case *protocol.StatusRequest:
		stats := []protocol.Stat{{Name: "open", Value: 12}, {Name: "latency p99", Value: 0.123456789, Unit: "s"}}
		return []protocol.Frame{&protocol.StatusReply{Name: "north-1", Stats: stats}}
	case *protocol.RoutesRequest:
		return []protocol.Frame{fakeRoutes()}
	case *protocol.Submit:
		return fakePlacement(f)
	}
	return nil
}

func fakeRoutes() *protocol.RoutesReply {
	return &protocol.RoutesReply{
		Peers: []protocol.BGPPeerStatus{{
			Address: "192.0.2.254:179", ASN: 65000, State: "established", Routes: 2, PendingRoutes: 1,
			UpdatesSent: 5, BytesSent: 700, SessionsEnded: 1, LastError: "hold timer expired",
		}},
		Services: []protocol.ServiceRoute{
			{Service: "reports", Prefix: "198.51.100.7/32", Announced: true, Running: 3, Draining: 1, MinRunning: 1},
			{
				Service: "leaving", Prefix: "198.51.100.8/32", Announced: true, Running: 2, Draining: 2, MinRunning: 1,
				NextChangeIn: 4567,
			},
			{Service: "flapping", Prefix: "2001:db8:1::7/128", Suppressed: true, Penalty: 6123.4, MinRunning: 1},
			{Service: "down", Prefix: "198.51.100.9/32", Running: 1, MinRunning: 2},
		},
	}
}

// fakePlacement returns the frames that answer a request, which depend on its service.
func fakePlacement(f *protocol.Submit) []protocol.Frame {
	id := f.Spec.ContainerID
	placed := &protocol.PlacementReply{ContainerID: id, Verdict: protocol.VerdictPlaced, Machine: "m1"}
	reply := protocol.PlacementReply{ContainerID: id}
	switch f.Spec.Service {
	case "placed":
		return []protocol.Frame{placed}
	case "ends":
		return []protocol.Frame{placed, &protocol.Termination{ContainerID: id, Machine: "m1", Outcome: 1, Reason: 1}}
	case "rejected":
		reply.Verdict, reply.RetryAfter, reply.Message = protocol.VerdictRejected, 2500, "no room"
	case "failed":
		reply.Verdict = protocol.VerdictFailed
	case "spec":
		reply.Verdict = protocol.VerdictNotAdmitted
		reply.Message = fmt.Sprintf("%v %v %v", f.TimeToDeadline, f.Spec, f.Spec.IdempotencyKey == id)
	case "goodbye":
		return []protocol.Frame{&protocol.Goodbye{Message: "shutting down"}}
	default:
		return nil
	}
	return []protocol.Frame{&reply}
}

const fakeJob = `{"id":"web","service":"reports","workload":"report-run","cores":1.5,"memory_gib":2,"count":3,` +
	`"version":9,"labels":{"a":"b"}}`

// fakeAnswers holds the response bodies of the fake API by request.
var fakeAnswers = map[string]string{
	"GET /v1/jobs?limit=1000": `{"items":[` + fakeJob +
		`,{"id":"idle","service":"idle","workload":"matcher","count":0,"version":1}]}`,
	"GET /v1/jobs/web": fakeJob,
	"GET /v1/containers?limit=1000&field=job=web": `{"items":[
		{"id":"web.0","job":"web","state":"running","machine":"m1","tries":1,"starts":2,"last":"placed"},
		{"id":"web.1","state":"waiting","last":""}]}`,
	"GET /v1/machines?limit=1000": `{"items":[
		{"id":"m1","hall":1,"kind":"small","state":"up","free_cores":3.25,"free_memory_gib":7}]}`,
	"GET /v1/jobs/web/why": `{"items":[{"container":"web.1","state":"waiting","reasons":[
		{"code":"no_room","text":"No machine has room.","until_ms":5},{"code":"retry","text":"Retried soon."}]}]}`,
	"GET /v1/jobs/idle/why": `{"items":[]}`,
	"GET /v1/containers/web.1/why": `{"container":"web.1","state":"waiting","reasons":[
		{"code":"no_room","text":"No machine has room."}]}`,
	"GET /v1/containers/web.0/why": `{"container":"web.0","state":"running","reasons":[]}`,
	"DELETE /v1/jobs/web":          "",
	"GET /v1/jobs/garbled":         `{`,
}

// fakeAPI starts a fake controller API with two jobs, which echoes the bodies of POST and PUT. It returns the address.
func fakeAPI(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // a body that cannot be read shows in the echo
		answer, ok := fakeAnswers[r.Method+" "+r.URL.RequestURI()]
		switch {
		case r.Method == http.MethodPost || r.Method == http.MethodPut:
			answer = string(body)
		case !ok:
			w.WriteHeader(http.StatusNotFound)
			answer = `{"title":"Not found","detail":"there is no ` + r.URL.Path + `","status":404}`
		}
		_, _ = io.WriteString(w, answer) // fails only if the client has disconnected
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// recordedCalls lists the command lines whose output is recorded. The words in capitals stand for the addresses of a
// fake scheduler, a fake machine and a fake API, for a folder with the settings file bad.yaml, and for a state folder.
var recordedCalls = []string{
	"check ../../deploy/scheduler.yaml",
	"check DIR/bad.yaml ../../deploy/scheduler.yaml DIR/absent.yaml",
	"check",
	"status --scheduler SCHEDULER",
	"status --scheduler MACHINE",
	"status --scheduler 127.0.0.1:1",
	"status extra",
	"bgp peers --scheduler SCHEDULER",
	"bgp routes --scheduler SCHEDULER",
	"bgp why reports --scheduler SCHEDULER",
	"bgp why 198.51.100.8 --scheduler SCHEDULER",
	"bgp why 2001:db8:1::7 --scheduler SCHEDULER",
	"bgp why 198.51.100.9/32 --scheduler SCHEDULER",
	"bgp why absent --scheduler SCHEDULER",
	"submit placed --scheduler SCHEDULER",
	"submit placed -n 3 --scheduler SCHEDULER",
	"submit ends --wait -n 2 --scheduler SCHEDULER",
	"submit rejected --scheduler SCHEDULER",
	"submit failed --scheduler SCHEDULER",
	"submit goodbye --scheduler SCHEDULER",
	"submit hangs-up --scheduler SCHEDULER",
	"submit spec --scheduler SCHEDULER",
	"submit spec --key k --workload 2 --tenant 1 --cores 1.5 --memory 3 --timeout 250ms --scheduler SCHEDULER",
	"job get --api API",
	"job get -o json --api API",
	"job get -o yaml --api API",
	"job get web --api API",
	"job get web -o json --api API",
	"job get web -o yaml --api API",
	"job get absent --api API",
	"job get garbled --api API",
	"job get -o xml --api API",
	"job run web --workload matcher -o json --api API",
	"job run web --workload matcher --service s --tenant c --cores 2.5 --memory 0.5 -n 4 " +
		"--run-for 90s --once --label a=b --label c=d -o json --api API",
	"job run web --workload matcher --api API",
	"job run web --api API",
	"job scale web -n 7 --api API",
	"job scale web -n 7 -o json --api API",
	"job scale absent -n 7 --api API",
	"job scale web --api API",
	"job stop web --api API",
	"job stop absent --api API",
	"why web --api API",
	"why web -o json --api API",
	"why idle --api API",
	"why web.1 --api API",
	"why web.0 --api API",
	"why absent --api API",
	"why absent.0 --api API",
	"machines --api API",
	"machines -o yaml --api API",
	"machines --api 127.0.0.1:1",
	"scheduler",
	"placer -c DIR/bad.yaml",
	"scheduler -c DIR/bad.yaml --log xml",
	"controller",
	"keeper -c DIR/bad.yaml",
	"controller -c DIR/bad.yaml --log xml",
	"platform",
	"platform -c DIR/absent.toml",
	"state inspect DIR/absent",
	"state verify DIR/absent",
	"state export DIR/absent",
	"state compact DIR/absent",
	"state inspect DIR",
	"state verify DIR",
	"state export DIR",
	"state inspect STATE",
	"state verify STATE",
	"state export STATE",
	"unheard-of",
}

// transcript runs a command line and returns it with its output and its exit code or error.
func transcript(args []string) string {
	stdout, stderr, err := runCommand(args...)
	text := fmt.Sprintf("$ glenport %s\n%s", strings.Join(args, " "), stdout)
	if stderr != "" {
		text += "stderr: " + stderr
	}
	if code, ok := errors.AsType[exitError](err); ok {
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

// TestCommandOutputMatchesGolden compares the output and the exit codes of commands, byte for byte, with testdata.
func TestCommandOutputMatchesGolden(t *testing.T) {
	t.Setenv(platformFileVariable, "")
	scheduler, machine := fakeScheduler(t, protocol.RoleScheduler), fakeScheduler(t, protocol.RoleMachine)
	api, dir := fakeAPI(t), t.TempDir()
	testutil.WriteFile(t, filepath.Join(dir, "bad.yaml"), []byte("name: x\nnumber: many\n"))
	actual := strings.NewReplacer("SCHEDULER", scheduler, "API", api, "MACHINE", machine, "DIR", dir,
		"STATE", "../../internal/schedulerd/testdata/state")
	recorded := strings.NewReplacer(scheduler, "SCHEDULER", api, "API", machine, "MACHINE", dir, "DIR")
	var got strings.Builder
	for _, call := range recordedCalls {
		text := recorded.Replace(transcript(strings.Fields(actual.Replace(call))))
		text = snapshotAge.ReplaceAllString(text, "written AGE ago")
		got.WriteString(randomID.ReplaceAllString(text, "-RANDOM-$1") + "\n")
	}
	golden.CheckText(t, "testdata/output.txt", got.String())
}
