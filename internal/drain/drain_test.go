package drain

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/settings"
)

// TestKeys: what a key is made of is read from it, and no other key is taken for one.
func TestKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.StringMatching(`[a-z0-9][a-z0-9-]{0,39}`).Draw(t, "id")
		number := rapid.Uint64Range(0, 1<<30).Draw(t, "number")
		for raw, want := range map[string]recordKey{
			HeadKey(id):              {drainID: id, kind: headKind},
			PageKey(id, int(number)): {id, pageKind, number},
			GrantKey(id, number):     {id, grantKind, number},
		} {
			if got, err := parseKey(raw); err != nil || got != want {
				t.Fatalf("%s: %+v, %v", raw, got, err)
			}
		}
		other := rapid.StringMatching(`drain/[A-Z/]{0,9}(/head|/page|/grant/x)?`).Draw(t, "other")
		if k, err := parseKey(other); err == nil {
			t.Fatalf("%s is taken for %+v", other, k)
		}
	})
}

// TestBudgetIsNeverExceeded: whatever is asked in whatever order, what is allowed adds
// up to no more than the budget, and a budget that is not used up allows what fits.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{
			Tasks: rapid.IntRange(1, 9).Draw(t, "tasks"), CPUs: rapid.Float64Range(1, 20).Draw(t, "cpus"),
			Share: rapid.SampledFrom([]float64{0.1, 0.5, 1, math.Inf(1)}).Draw(t, "share"),
		}
		use := &TeamUsage{Running: Amount{100, 100}}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			more := Amount{rapid.IntRange(1, 4).Draw(t, "n"), rapid.Float64Range(0.1, 8).Draw(t, "c")}
			use.Unchosen = Amount{rapid.IntRange(0, 3).Draw(t, "lost"), rapid.Float64Range(0, 3).Draw(t, "lost cpus")}
			before := use.Disturbed()
			short := b.Allows("t", use, more)
			after := before.Plus(more)
			fits := after.Tasks <= b.Tasks && after.CPUs <= b.CPUs && after.CPUs <= b.Share*(100+before.CPUs)
			if (short == nil) != fits {
				t.Fatalf("%+v in use, %+v more, of %+v: %v", before, more, b, short)
			}
			if short == nil {
				use.Chosen = use.Chosen.Plus(more)
			} else if !strings.Contains(short.String(), "budget of team t: "+short.Limit) {
				t.Fatal(short.String())
			}
		}
	})
}

func TestBudgetsOfTeams(t *testing.T) {
	two, five, share := 2, 5.0, 0.5
	b := NewBudgets(&settings.Drains{
		Default: &settings.DefaultBudget{Limits: settings.DrainLimits{Tasks: &two, Share: &share}},
		Teams:   []settings.TeamBudget{{Name: "t", Limits: settings.DrainLimits{CPUs: &five}}},
	})
	if got := b.ForTeam("t"); got.Tasks != 2 || got.CPUs != 5 || got.Share != 0.5 {
		t.Errorf("%+v", got)
	}
	if got := b.ForTeam("other"); got.Tasks != 2 || !math.IsInf(got.CPUs, 1) || got.String() != "tasks 2, share 0.5" {
		t.Errorf("%+v", got)
	}
	if (Budget{Tasks: 1, CPUs: 3}).NeverAllows("t", Amount{1, 4}) == nil || (Budget{Tasks: 1, CPUs: 3}).NeverAllows("t", Amount{1, 3}) != nil {
		t.Error("what could never move is not told from what could")
	}
}

// TestSelection: each criterion picks what it says, and all of them together what each
// of them picks.
func TestSelection(t *testing.T) {
	machines := []MachineInfo{
		{ID: "vm-1", Addr: "10.1.0.1:9000", Zone: "a", Type: "small", Spot: true},
		{ID: "vm-2", Addr: "10.1.0.2:9000", Zone: "b", Type: "small"},
		{ID: "vm-3", Addr: "10.1.1.3:9000", Zone: "b", Type: "big"},
		{ID: "vm-4", Addr: "", Zone: "b", Type: "big", Spot: true},
	}
	for want, s := range map[string]Selection{
		"vm-1 vm-3":      {Machines: []string{"vm-3", "vm-1"}},
		"vm-2 vm-3 vm-4": {Zones: []string{"b"}},
		"vm-3 vm-4":      {Zones: []string{"b"}, Types: []string{"big"}},
		"vm-1 vm-4":      {Kind: SpotKind},
		"vm-2 vm-3":      {Kind: OrdinaryKind},
		"vm-1 vm-2":      {Prefixes: []string{"10.1.0.0/24"}},
		"vm-2":           {Prefixes: []string{"10.1.0.2/31", "10.9.0.0/16"}},
		"":               {Prefixes: []string{"fd00::/8"}},
	} {
		m, refusal := newMatcher(s)
		if refusal != nil {
			t.Fatal(refusal)
		}
		var got []string
		for i := range machines {
			if m.matches(&machines[i]) {
				got = append(got, machines[i].ID)
			}
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%+v picks %v, not %s", s, got, want)
		}
	}
	a := Request{Selection: Selection{Machines: []string{"x", "y"}}}
	b := Request{Selection: Selection{Machines: []string{"y", "x", "x"}}, ID: "other", Forwarded: true}
	c := Request{Selection: a.Selection, Replace: true}
	if a.Digest() != b.Digest() || a.Digest() == c.Digest() {
		t.Error("digests do not tell what is asked")
	}
}

// stampedChange is a change as a watch tells it.
type stampedChange struct {
	key   string
	value any
	stamp uint64
}

// TestBookFollowsTheRecords: after any order of changes of different keys the book tells
// the same; what does not parse is noted until it is replaced.
func TestBookFollowsTheRecords(t *testing.T) {
	changes := []stampedChange{
		{PageKey("d", 0), Page{[]Machine{{ID: "vm-1", State: MachineClosed}, {ID: "vm-2"}}}, 3},
		{HeadKey("d"), Head{Phase: PhaseRunning, Machines: 2, Pages: 1}, 4},
		{GrantKey("d", 1), Grant{"vm-1", []TaskRef{{Job: "wk-1", Index: 2, Attempt: 5}}}, 5},
		{GrantKey("d", 2), Grant{"vm-1", []TaskRef{{Job: "wk-2", Attempt: 1, Gang: 3}}}, 6},
		{PageKey("e", 0), Page{[]Machine{{ID: "vm-9", State: MachineClosed}}}, 7}, // no head: not accepted
	}
	rapid.Check(t, func(t *rapid.T) {
		b := &Records{OnChange: func() {}, log: slog.New(slog.NewTextHandler(io.Discard, nil))}
		b.clear()
		for _, c := range rapid.Permutation(changes).Draw(t, "order") {
			raw, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			b.apply(c.key, raw, c.stamp)
		}
		if !b.IsClosed("vm-1") || b.IsClosed("vm-2") || b.IsClosed("vm-9") || b.IsIdle() || len(b.Drains()) != 1 || b.Get("e") != nil {
			t.Fatal("the machines' states are not those of the records")
		}
		if !b.IsGranted("wk-1", 2, false) || b.IsGranted("wk-1", 1, false) || !b.IsGranted("wk-2", 1, true) {
			t.Fatal("the grants are not those of the records")
		}
		b.apply(GrantKey("d", 1), json.RawMessage(`{"t":7}`), 8)
		if !b.HasUnreadable() {
			t.Fatal("a grant that does not parse is taken for none")
		}
		b.apply(GrantKey("d", 1), nil, 9)
		b.apply(GrantKey("d", 2), nil, 9)
		cancelled, _ := encode(Head{Phase: PhaseCancelled, Machines: 2, Pages: 1})
		b.apply(HeadKey("d"), cancelled, 10)
		if b.HasUnreadable() || b.IsClosed("vm-1") || !b.IsIdle() {
			t.Fatal("what is over is not told as over")
		}
	})
}

// TestTrace: steps, waits and budgets can be read from the spans; without a tracer
// nothing happens.
func TestTrace(t *testing.T) {
	var out bytes.Buffer
	tracer, err := NewTracer(&out)
	if err != nil {
		t.Fatal(err)
	}
	use := &usage{teams: map[string]*TeamUsage{"red": {Chosen: Amount{2, 3}, Unchosen: Amount{1, 1}}}}
	for _, tr := range []*Tracer{tracer, nil} {
		tr.Step(step{drainID: "d", machineID: "vm-1", name: stepGranted, grant: &Grant{}}, use)
		tr.Waits("d", []string{"no room"})
		tr.Step(step{drainID: "d", name: stepDone}, use)
		tr.End()
	}
	for _, want := range []string{`"granted"`, "vm-1", "team.red.chosen", "team.red.unchosen", "no room", `"done"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is not in the trace: %s", want, out.String())
		}
	}
	if n := strings.Count(out.String(), `"TraceID"`); n == 0 || !json.Valid(out.Bytes()) {
		t.Errorf("%d spans in %s", n, out.String())
	}
}

// TestRecordsFitTheirBounds: pages and grants stay below what is reckoned for them.
func TestRecordsFitTheirBounds(t *testing.T) {
	machine, err := encode(Machine{ID: strings.Repeat("m", 40), State: MachineReplacing, Tries: 3, Replacement: strings.Repeat("r", 40), Since: math.MaxInt64 / 1000})
	if err != nil || len(machine) > maxMachineBytes {
		t.Errorf("%d bytes: %s", len(machine), machine)
	}
	task, err := encode(TaskRef{Job: "wk-" + strings.Repeat("9", 18), Index: 99999, Attempt: 99999999, Gang: 99999})
	if err != nil || len(task) > maxTaskRefBytes {
		t.Errorf("%d bytes: %s", len(task), task)
	}
}
