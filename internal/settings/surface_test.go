package settings

import (
	"testing"
	"time"

	"lemonmoor/internal/wiretest"
)

// TestSurfaceSettings checks the name of every field of the platform's settings file.
func TestSurfaceSettings(t *testing.T) {
	const file = `{"node":"n0","area":"area-a","serve_on":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081",` +
		`"seeds":[{"node":"n1","area":"area-b","endpoint":"10.0.0.2:8081"}],"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},` +
		`"deployment":{"initial_size":3,"zones":["yard-a"],"teams":[{"name":"red","cpus":64,"cpus_max":192,"gpus":1,"gpus_max":2}],` +
		`"objectives":[{"kind":"start","class":"batch","within_s":30.5,"share":0.95,"times":1.5}],` +
		`"workers":{"report_s":3,"lease_s":36,"cancel_s":66,"gang_wait_s":20,"gang_peer_s":5},` +
		`"state":{"rps":80,"write_rps":15,"value_kb":8,"txn_ops":12,"next":{"rps":40,"write_rps":7.5,"value_kb":4,"txn_ops":6}},` +
		`"cloud":{"rps":3,"list_lag_s":10},"quota":{"core_share":0.096,"mem_mb":98,"sockets":700},"skew_ms":250}}`
	wiretest.CheckRoundTrip(t, file, &Settings{})
	parsed, err := Parse([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	wiretest.CheckEncoding(t, parsed, file)
}

// TestSurfaceOperator checks the name of every setting of the operators' file.
func TestSurfaceOperator(t *testing.T) {
	const file = `
wait_bound_s = 12.5
idle_keep_s  = 90
drains {
  machines_at_once = 3
  wait_s           = 45.5
  trace_file       = "trace.json"
  default {
    tasks       = 8
    cpus        = 128.5
    share       = 0.2
    replicas_up = 1
  }
  team "red" {
    tasks       = 2
    cpus        = 16.5
    share       = 0.1
    replicas_up = 4
  }
  team "blue" {
  }
}
`
	operator, err := ParseOperator("operator.hcl", []byte(file))
	if err != nil {
		t.Fatal(err)
	}
	if *operator.WaitBoundS != 12.5 || *operator.IdleKeepS != 90 {
		t.Errorf("parsed %+v, want wait_bound_s 12.5 and idle_keep_s 90", operator)
	}
	drains := operator.Drains
	if *drains.MachinesAtOnce != 3 || drains.WaitOrDefault() != 45500*time.Millisecond || drains.TraceFile != "trace.json" || len(drains.Teams) != 2 {
		t.Fatalf("drains: parsed %+v, want 3 machines at once, a wait of 45.5 s, trace.json and 2 teams", drains)
	}
	if l := drains.Default.Limits; *l.Tasks != 8 || *l.CPUs != 128.5 || *l.Share != 0.2 || *l.ReplicasUp != 1 {
		t.Errorf("budget of default: parsed %+v, want 8 tasks, 128.5 CPUs, a share of 0.2 and 1 replica up", l)
	}
	if l := drains.Teams[0].Limits; drains.Teams[0].Name != "red" || *l.Tasks != 2 || *l.CPUs != 16.5 || *l.Share != 0.1 || *l.ReplicasUp != 4 {
		t.Errorf("budget of red: parsed %+v, want 2 tasks, 16.5 CPUs, a share of 0.1 and 4 replicas up", drains.Teams[0])
	}
	if l := drains.Teams[1].Limits; drains.Teams[1].Name != "blue" || l.Tasks != nil || l.CPUs != nil || l.Share != nil || l.ReplicasUp != nil {
		t.Errorf("budget of blue: parsed %+v, want no limits", drains.Teams[1])
	}
}

// TestSurfaceOperatorDefaults checks that every setting of the operators can be left out, and
// that drains are disabled without their block.
func TestSurfaceOperatorDefaults(t *testing.T) {
	operator, err := ParseOperator("operator.hcl", nil)
	if err != nil || operator.WaitBoundS != nil || operator.IdleKeepS != nil || operator.Drains != nil {
		t.Errorf("empty file: parsed %+v, %v; want no setting", operator, err)
	}
	operator, err = ParseOperator("operator.hcl", []byte("drains {\n}\n"))
	if err != nil || operator.Drains == nil || operator.Drains.MachinesAtOnce != nil || operator.Drains.WaitS != nil ||
		operator.Drains.TraceFile != "" || operator.Drains.Default != nil || operator.Drains.Teams != nil {
		t.Errorf("empty drains block: parsed %+v, %v; want a block without settings", operator.Drains, err)
	}
}

// TestSurfaceTeamLabel checks the error for a team's budget without the team's name.
func TestSurfaceTeamLabel(t *testing.T) {
	_, err := ParseOperator("operator.hcl", []byte("drains {\n  team {\n  }\n}\n"))
	const want = "operator.hcl:2: Missing name for team: All team blocks must have 1 labels (name)."
	if err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}
