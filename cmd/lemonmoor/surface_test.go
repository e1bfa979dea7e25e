package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"lemonmoor/internal/peer"
)

// program is the path of the executable, which is built once for all tests.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lemonmoor")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "lemonmoor")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// result is the exit status and the output of the program.
type result struct {
	status         int
	stdout, stderr string
}

// run runs the program with arguments until it exits.
func run(t *testing.T, args ...string) result {
	t.Helper()
	var out, errs bytes.Buffer
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr = &out, &errs
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return result{command.ProcessState.ExitCode(), out.String(), errs.String()}
}

// configOf writes the settings file of a controller that listens for peers on an address and
// knows no other controller, and returns the file's path. Nothing answers at its addresses of
// the cloud and the state service.
func configOf(t *testing.T, address string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	text := `{"node":"n0","area":"a","serve_on":"127.0.0.1:1","peer_bind":"` + address + `","seeds":[],` +
		`"external":{"cloud":"127.0.0.1:1","state":"127.0.0.1:1"},` +
		`"deployment":{"initial_size":3,"zones":["a"],"teams":[{"name":"red","cpus":64,"cpus_max":192,"gpus":0,"gpus_max":0}],` +
		`"workers":{"report_s":3,"lease_s":36,"cancel_s":66},"state":{"rps":80,"write_rps":15,"value_kb":8,"txn_ops":12},` +
		`"cloud":{"rps":3,"list_lag_s":10},"quota":{"core_share":0.096,"mem_mb":98,"sockets":700},"skew_ms":250}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// flagLine matches the line of a command's help about a flag: its name, the type of its value,
// and its default if it has one.
var flagLine = regexp.MustCompile(`(?m)^ +--([a-z-]+)(?: ([A-Za-z]+))? {2,}.*?(?: \(default (.*)\))?$`)

// TestSurfaceCommands checks the names of all commands, and their flags with types and defaults.
func TestSurfaceCommands(t *testing.T) {
	drainFlags := []string{"json", "timeout duration=20s"}
	selection := []string{"from FILE", "kind KIND", "machine NAME", "prefix PREFIXES", "replace", "type TYPES", "zone ZONES"}
	id := []string{"id NAME"}
	want := map[string][]string{
		"lemonmoor":              {"config FILE", "operator FILE"},
		"lemonmoor version":      nil,
		"lemonmoor check":        nil,
		"lemonmoor drain":        drainFlags,
		"lemonmoor drain plan":   selection,
		"lemonmoor drain start":  {"from FILE", "id NAME", "kind KIND", "machine NAME", "prefix PREFIXES", "replace", "type TYPES", "zone ZONES"},
		"lemonmoor drain status": id,
		"lemonmoor drain pause":  id,
		"lemonmoor drain resume": id,
		"lemonmoor drain cancel": id,
	}
	var walk func(command *cobra.Command)
	walk = func(command *cobra.Command) {
		var flags []string
		usages := command.LocalNonPersistentFlags().FlagUsages() + command.PersistentFlags().FlagUsages()
		for _, line := range flagLine.FindAllStringSubmatch(usages, -1) {
			text := strings.TrimSpace(line[1] + " " + line[2])
			if line[3] != "" {
				text += "=" + line[3]
			}
			flags = append(flags, text)
		}
		slices.Sort(flags)
		expected, known := want[command.CommandPath()]
		if !known || !slices.Equal(flags, expected) || len(flags) != strings.Count(usages, "\n") {
			t.Errorf("%s: flags %q, want %q", command.CommandPath(), flags, expected)
		}
		delete(want, command.CommandPath())
		for _, sub := range command.Commands() {
			walk(sub)
		}
	}
	walk(newRootCommand())
	for path := range want {
		t.Errorf("command %s is missing", path)
	}
}

// exitCase is a command line with its expected exit status and output.
type exitCase struct {
	args   string
	status int
	stdout string // regular expression for the whole output
	stderr string // the same
}

// exitCases returns command lines that use a valid settings file (config), a path at which no
// file exists (missing), an operators' file with an unknown setting (bad), and a file without
// names of machines (empty).
func exitCases(config, missing, bad, empty string) []exitCase {
	return []exitCase{
		{"version", 0, `lemonmoor 0\.1\.0 go1\.[0-9a-z.-]+\n`, ``},
		{"--config " + config + " check", 0, `settings are in order\n`, ``},
		{"check --config " + config + " --operator ../../deploy/drains.hcl", 0, `settings are in order\n`, ``},
		{"check", 1, ``, `lemonmoor: --config FILE is needed\n`},
		{"check --config " + missing, 1, ``, `lemonmoor: read settings: open .*missing\.json: no such file or directory\n`},
		{"check --config " + config + " --operator " + bad, 1, ``, `lemonmoor: .*bad\.hcl:2: .*novel.*\n`},
		{"", 1, ``, `lemonmoor: --config FILE is needed \(see --help\)\n`},
		{"--config " + missing, 1, ``, `lemonmoor: read settings: .*\n`},
		{"--help", 0, `(?s)A cluster scheduler: .*Usage:\n  lemonmoor --config FILE \[flags\]\n.*  check .*  drain .*  version .*--config FILE .*--operator FILE .*`, ``},
		{"novel", 1, ``, `lemonmoor: unknown command "novel" for "lemonmoor"\n`},
		{"--novel", 1, ``, `lemonmoor: unknown flag: --novel\n`},
		{"version novel", 1, ``, `lemonmoor: unknown command "novel" for "lemonmoor version"\n`},
		{"drain", 0, `(?s)Empty and replace machines .*  cancel .*  pause .*  plan .*  resume .*  start .*  status .*--json .*--timeout .*`, ``},
		{"drain plan --help", 0, `(?s).*--from FILE .*--kind KIND .*--machine NAME .*--prefix PREFIXES .*--replace .*--type TYPES .*--zone ZONES .*`, ``},
		{"drain plan --machine vm-1", 2, ``, `lemonmoor: config: missing, name a controller's settings file with --config\n`},
		{"drain plan --config " + missing + " --machine vm-1", 2, ``, `lemonmoor: read settings: .*\n`},
		{"drain plan --config " + config, 2, ``, `lemonmoor: selection: empty: name machines, zones, types, prefixes or a kind\n`},
		{"drain plan --config " + config + " --kind novel", 2, ``, `lemonmoor: kind: "novel" is neither spot nor ordinary\n`},
		{"drain plan --config " + config + " --prefix novel", 2, ``, `lemonmoor: prefix: "novel" is not an IP prefix such as 10\.1\.0\.0/24\n`},
		{"drain plan --config " + config + " --from " + empty, 2, ``, `lemonmoor: from: .* names no machine\n`},
		{"drain plan --config " + config + " --from " + missing, 2, ``, `lemonmoor: from: open .*\n`},
		{"drain start --config " + config + " --id NOVEL --machine vm-1", 2, ``, `lemonmoor: id: .*\n`},
		{"drain pause --config " + config, 2, ``, `lemonmoor: id: missing, name the drain with --id\n`},
		{"drain resume --config " + config, 2, ``, `lemonmoor: id: missing, name the drain with --id\n`},
		{"drain cancel --config " + config, 2, ``, `lemonmoor: id: missing, name the drain with --id\n`},
		{"drain plan --id d", 1, ``, `lemonmoor: unknown flag: --id\n`},
		{"drain status --timeout 100ms --config " + config, 3, ``, `lemonmoor: no leader reachable; asked n0 \(127\.0\.0\.1:1\): .*\n`},
	}
}

// TestSurfaceExits checks the exit statuses and outputs of command lines, among them the
// one-line errors.
func TestSurfaceExits(t *testing.T) {
	config := configOf(t, "127.0.0.1:1")
	bad := filepath.Join(t.TempDir(), "bad.hcl")
	if err := os.WriteFile(bad, []byte("\nnovel = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	empty := filepath.Join(t.TempDir(), "names")
	if err := os.WriteFile(empty, []byte("# none\n\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	missing := filepath.Join(t.TempDir(), "missing.json")
	for _, test := range exitCases(config, missing, bad, empty) {
		ended := run(t, strings.Fields(test.args)...)
		if ended.status != test.status {
			t.Errorf("lemonmoor %s: exit status %d, want %d", test.args, ended.status, test.status)
		}
		for stream, pair := range map[string][2]string{"standard output": {ended.stdout, test.stdout}, "standard error": {ended.stderr, test.stderr}} {
			if !regexp.MustCompile(`^(?:` + pair[1] + `)$`).MatchString(pair[0]) {
				t.Errorf("lemonmoor %s: %s is %q, want a match of %q", test.args, stream, pair[0], pair[1])
			}
		}
	}
}

// Answers of a controller, and the text that the command prints for each.
const (
	drainsAnswer = `{"status":"ok","node":"n0","drains":[{"id":"d-1","phase":"running","replace":true,"machines":5,"states":{"waiting":3,"closed":2},` +
		`"disturbed":4,"waits":["no room"]}],"teams":{"red":{"running":{"tasks":1,"cpus":2.5},"chosen":{"tasks":3,"cpus":4.5},` +
		`"unchosen":{"tasks":5,"cpus":6.5},"budget":"tasks 8"}}}`
	drainsText = "drain d-1: running, 5 machines, 2 closed, 3 waiting; 4 tasks disturbed\n  waits: no room\n" +
		"team  running  disturbed by drains  otherwise  CPUs disturbed  budget\n" +
		"red   1        3                    5          11              tasks 8\n"
	planAnswer = `{"status":"ok","node":"n0","plan":{"machines":1,"teams":{"red":{"tasks":2,"cpus":3.5,"rounds":4,"budget":"cpus 9"}},"jobs":5}}`
	planText   = "1 machines, with tasks of 5 jobs\nteam  tasks  CPUs  budget used up at least  budget\nred   2      3.5   4 times                  cpus 9\n"
)

// message is a message that the command sends to a controller.
type message struct{ path, body string }

// scriptedController answers the command's messages with scripted answers, in order.
type scriptedController struct {
	address string
	asked   chan message
	answers chan string
}

func newScriptedController(t *testing.T) *scriptedController {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	controller := &scriptedController{listener.Addr().String(), make(chan message, 100), make(chan string, 100)}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = peer.Serve(controller.address, func(path string, body []byte, answer func([]byte, bool)) {
			controller.asked <- message{path, string(body)}
			answer([]byte(<-controller.answers), true)
		}, slog.New(slog.DiscardHandler))
	}()
	for range 100 {
		connection, err := net.Dial("tcp", controller.address)
		if err == nil {
			_ = connection.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return controller
}

// drainCase is a command line, the request it must send, the answer to it, and the exit status
// and output that must follow.
type drainCase struct {
	args, sent, answer string
	status             int
	stdout, stderr     string
}

// drainCases returns command lines for each verb, sent to a controller at an address. names is
// the path of a file with the names vm-3 and vm-4.
func drainCases(address, names string) []drainCase {
	return []drainCase{
		{
			"plan --machine vm-1,vm-2 --from " + names + " --zone yard-a --type g8 --prefix 10.0.0.0/8 --kind spot --replace",
			`{"verb":"plan","selection":{"machines":["vm-1","vm-2","vm-3","vm-4"],"zones":["yard-a"],"types":["g8"],"kind":"spot",` +
				`"prefixes":["10.0.0.0/8"]},"replace":true}`, planAnswer, 0, planText, "",
		},
		{"start --id d-1 --kind ordinary", `{"verb":"start","id":"d-1","selection":{"kind":"ordinary"}}`, drainsAnswer, 0, drainsText, ""},
		{
			"start --id d-1 --kind ordinary", `{"verb":"start","id":"d-1","selection":{"kind":"ordinary"}}`,
			`{"status":"refused","node":"n0","field":"id","reason":"d-1 selects others"}`, 2, "", "lemonmoor: id: d-1 selects others\n",
		},
		{"status", `{"verb":"status","selection":{}}`, drainsAnswer, 0, drainsText, ""},
		{"status --id d-1", `{"verb":"status","id":"d-1","selection":{}}`, `{"status":"ok","node":"n0"}`, 0, "no drains\n", ""},
		{"pause --id d-1", `{"verb":"pause","id":"d-1","selection":{}}`, drainsAnswer, 0, drainsText, ""},
		{"resume --id d-1", `{"verb":"resume","id":"d-1","selection":{}}`, drainsAnswer, 0, drainsText, ""},
		{"cancel --id d-1", `{"verb":"cancel","id":"d-1","selection":{}}`, drainsAnswer, 0, drainsText, ""},
		{
			"status --timeout 1s", `{"verb":"status","selection":{}}`, `{"status":"unavailable","node":"n0","reason":"no leader is known to this node","retryMs":3000}`,
			3, "", "lemonmoor: no leader reachable; asked n0 (" + address + "): no leader is known to this node\n",
		},
	}
}

// TestSurfaceDrain checks the requests that the command sends to a controller, and its output
// for the answers.
func TestSurfaceDrain(t *testing.T) {
	controller := newScriptedController(t)
	config := configOf(t, controller.address)
	names := filepath.Join(t.TempDir(), "names")
	if err := os.WriteFile(names, []byte("vm-3 # old\n\nvm-4\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range drainCases(controller.address, names) {
		controller.answers <- test.answer
		ended := run(t, append([]string{"drain", "--config", config}, strings.Fields(test.args)...)...)
		if ended != (result{test.status, test.stdout, test.stderr}) {
			t.Errorf("drain %s: ended with %+v, want %+v", test.args, ended, result{test.status, test.stdout, test.stderr})
		}
		if sent := <-controller.asked; sent != (message{"/operator/drain", test.sent}) {
			t.Errorf("drain %s: sent %+v, want %s to /operator/drain", test.args, sent, test.sent)
		}
	}
	t.Run("prints JSON", func(t *testing.T) {
		controller.answers <- drainsAnswer
		ended := run(t, "drain", "status", "--json", "--config", config)
		<-controller.asked
		var compact bytes.Buffer
		if err := json.Compact(&compact, []byte(ended.stdout)); err != nil || ended.status != 0 || ended.stderr != "" ||
			compact.String() != strings.Replace(drainsAnswer, `{"waiting":3,"closed":2}`, `{"closed":2,"waiting":3}`, 1) {
			t.Errorf("drain status --json: ended with %+v (%v), want the controller's answer", ended, err)
		}
		if !strings.HasPrefix(ended.stdout, "{\n  \"status\": \"ok\",\n") {
			t.Errorf("drain status --json: output is not indented: %s", ended.stdout)
		}
	})
	t.Run("names a drain without an id", func(t *testing.T) {
		controller.answers <- drainsAnswer
		run(t, "drain", "start", "--kind", "spot", "--config", config)
		if sent := <-controller.asked; !regexp.MustCompile(`^{"verb":"start","id":"d-[0-9a-z]{1,13}","selection":{"kind":"spot"}}$`).MatchString(sent.body) {
			t.Errorf("drain start without --id: sent %s, want a random id", sent.body)
		}
	})
}
