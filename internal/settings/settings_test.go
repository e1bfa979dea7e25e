package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/tuning"
)

const validSettings = `{"node":"worker-0","area":"a","serve_on":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081","novel":true,
"seeds":[{"node":"worker-1","area":"b","endpoint":"10.0.0.2:8081"}],
"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"deployment":{"initial_size":3,"zones":["a"],"teams":[{"name":"t","cpus":64,"cpus_max":192,"gpus":0,"gpus_max":0}],
"workers":{"report_s":3,"lease_s":36,"cancel_s":66},"state":{"rps":80,"write_rps":15,"value_kb":8,"txn_ops":12},
"cloud":{"rps":3,"list_lag_s":10},"quota":{"core_share":0.096,"mem_mb":98,"sockets":700},"skew_ms":250}}`

// TestErrorsNameTheField checks that each required field that is null or of another type is
// refused with an error that names it.
func TestErrorsNameTheField(t *testing.T) {
	if _, err := Parse([]byte(validSettings)); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{
		"node", "serve_on", "peer_bind", "external.cloud", "external.state", "deployment.teams",
		"deployment.workers.report_s", "deployment.workers.lease_s", "deployment.workers.cancel_s", "deployment.state.rps",
		"deployment.state.write_rps", "deployment.state.value_kb", "deployment.state.txn_ops", "deployment.cloud.rps",
		"deployment.quota.core_share", "deployment.quota.mem_mb",
	} {
		for _, invalid := range []any{nil, []string{"x"}} {
			var tree map[string]any
			if err := json.Unmarshal([]byte(validSettings), &tree); err != nil {
				t.Fatal(err)
			}
			parent, names := tree, strings.Split(path, ".")
			for _, name := range names[:len(names)-1] {
				parent = parent[name].(map[string]any)
			}
			parent[names[len(names)-1]] = invalid
			raw, err := json.Marshal(tree)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Parse(raw); err == nil || !strings.Contains(err.Error(), path) {
				t.Errorf("%s = %v: error %v, want it to name the field", path, invalid, err)
			}
		}
	}
}

// TestOperatorSettingsAreParsedOrRefused checks that errors in the operators' settings name file
// and line, and for a value out of range also the setting.
func TestOperatorSettingsAreParsedOrRefused(t *testing.T) {
	operator, err := ParseOperator("x.hcl", []byte("wait_bound_s = 12.5\n"))
	if err != nil || operator.WaitBoundS == nil || *operator.WaitBoundS != 12.5 {
		t.Fatalf("wait_bound_s = 12.5: parsed %+v, %v; want a WaitBoundS of 12.5", operator, err)
	}
	for src, want := range map[string]string{
		"# c\nunheard_of = 1\n":     "x.hcl:2",
		"wait_bound_s = \n":         "x.hcl:1",
		"\n\nidle_keep_s = -1\n":    "x.hcl:3: idle_keep_s",
		"wait_bound_s = \"soon\"\n": "x.hcl:1",
	} {
		if _, err := ParseOperator("x.hcl", []byte(src)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want it to contain %q", src, err, want)
		}
	}
}

// TestSilenceLimitsFollowTheHeartbeatInterval guards against live machines that are returned as
// dead, with their tasks. It happens if the limits of silence are fixed numbers of seconds that
// suit a heartbeat every 3 s, and workers send one every 10 s.
func TestSilenceLimitsFollowTheHeartbeatInterval(t *testing.T) {
	for _, heartbeatSeconds := range []float64{1, 3, 5, 10, 30} {
		var settings Settings
		settings.Deployment.Workers.ReportS = heartbeatSeconds
		// A live worker can be silent for this long: its heartbeat is late by a quarter of
		// the interval, the answer is lost, which takes 4 s, and the worker tries another
		// controller a second later.
		if late := seconds(1.25*heartbeatSeconds + 4 + 1 + 0.5); settings.WorkerDeadAfter() <= late {
			t.Errorf("heartbeats every %g s: a worker counts as dead after %v, want more than %v", heartbeatSeconds, settings.WorkerDeadAfter(), late)
		}
		for _, machines := range []int{1, 9, 10, 2000} {
			if longest := seconds(1.25 * heartbeatSeconds); settings.OwnerSilenceLimit(machines) <= longest {
				t.Errorf("heartbeats every %g s, %d machines: owner counts as partitioned after %v, want more than %v", heartbeatSeconds, machines, settings.OwnerSilenceLimit(machines), longest)
			}
		}
	}
}

// TestShardCountFollowsTheDeploymentSize checks that small deployments have one shard and that
// large ones have several, but no more than controllers.
func TestShardCountFollowsTheDeploymentSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var settings Settings
		settings.Seeds = make([]Peer, rapid.IntRange(0, 6).Draw(t, "seeds"))
		sum := 0.0
		for range rapid.IntRange(1, 6).Draw(t, "teams") {
			cpus := rapid.Float64Range(0, 30000).Draw(t, "cpus")
			sum += cpus
			settings.Deployment.Teams = append(settings.Deployment.Teams, Team{CPUs: cpus})
		}
		shards := settings.ShardCount()
		if shards < 1 || shards > len(settings.Seeds)+1 || (sum < 2*tuning.CPUsPerShard && shards > 1) || (sum >= 2*tuning.CPUsPerShard && len(settings.Seeds) > 0 && shards == 1) {
			t.Fatalf("got %d shards for %g guaranteed processors and %d controllers", shards, sum, len(settings.Seeds)+1)
		}
	})
}

// TestNextLimitsApplyFromTheStart checks that future limits of the state service that are lower
// than the current ones apply from the start, that limits left out do not change, and that
// invalid ones are refused with an error that names the field.
func TestNextLimitsApplyFromTheStart(t *testing.T) {
	parse := func(next string) (*Settings, error) {
		return Parse([]byte(strings.Replace(validSettings, `"txn_ops":12`, `"txn_ops":12,"next":`+next, 1)))
	}
	for next, want := range map[string]struct {
		operations int
		kilobytes  float64
		writeShare float64
	}{
		`null`: {12, 8, 1}, `{}`: {12, 8, 1}, `{"txn_ops":4}`: {4, 8, 1}, `{"value_kb":2,"novel":1}`: {12, 2, 1},
		`{"value_kb":16,"txn_ops":24,"write_rps":30}`:        {12, 8, 1},
		`{"value_kb":2,"txn_ops":1,"write_rps":12,"rps":40}`: {1, 2, 0.8},
	} {
		settings, err := parse(next)
		if err != nil {
			t.Errorf("next %s is refused: %v", next, err)
			continue
		}
		if bytes := int(want.kilobytes * 1024 * tuning.ValueLimitShare); settings.MaxOperations() != want.operations || settings.MaxValueBytes() != bytes || settings.FutureWriteShare() != want.writeShare {
			t.Errorf("next %s: %d operations, %d bytes, write share %g; want %d, %d, %g", next, settings.MaxOperations(), settings.MaxValueBytes(), settings.FutureWriteShare(), want.operations, bytes, want.writeShare)
		}
	}
	for next, name := range map[string]string{
		`{"txn_ops":0}`: "next.txn_ops", `{"value_kb":-1}`: "next.value_kb", `{"value_kb":0.1}`: "next.value_kb",
		`{"write_rps":0}`: "next.write_rps", `{"rps":-4}`: "next.rps", `{"txn_ops":"x"}`: "next.txn_ops", `7`: "next",
	} {
		if _, err := parse(next); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("next %s: error %v, want one that names %s", next, err, name)
		}
	}
}

// TestCancelLimitAllowsTimeToLearnOfCancellations guards against tasks that run longer than
// cancel_s after their cancellation. Settings under which no owner could learn of a cancellation
// in time must be refused with an error that names the field. Under all others, the maximum age
// of the knowledge with which a heartbeat is answered, the worker's lease with its drift and the
// reserve must together fit into cancel_s.
func TestCancelLimitAllowsTimeToLearnOfCancellations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaseSeconds := float64(rapid.IntRange(5, 120).Draw(t, "lease"))
		cancelSeconds := leaseSeconds + float64(rapid.IntRange(-50, 600).Draw(t, "tenths more"))/10
		raw := strings.Replace(validSettings, `"lease_s":36,"cancel_s":66`, fmt.Sprintf(`"lease_s":%g,"cancel_s":%g`, leaseSeconds, cancelSeconds), 1)
		settings, err := Parse([]byte(raw))
		driftSeconds := leaseSeconds * tuning.DriftPerMille / 1000
		reserveSeconds := min(tuning.KnowledgeReserve.Seconds(), (cancelSeconds-leaseSeconds)*tuning.KnowledgeReserveShare)
		if leftSeconds := cancelSeconds - leaseSeconds - driftSeconds - reserveSeconds - tuning.MinKnowledgeAgeLimit.Seconds(); (err != nil) != (leftSeconds < 0) && (leftSeconds < -1e-6 || leftSeconds > 1e-6) {
			t.Fatalf("lease_s %g, cancel_s %g: error %v, with %g s above the minimum time to learn of a cancellation", leaseSeconds, cancelSeconds, err, leftSeconds)
		}
		if err != nil {
			if !strings.Contains(err.Error(), "cancel_s") {
				t.Fatalf("lease_s %g, cancel_s %g: the error does not name the field cancel_s: %v", leaseSeconds, cancelSeconds, err)
			}
			return
		}
		if end := settings.MaxKnowledgeAge().Seconds() + leaseSeconds + driftSeconds; end > cancelSeconds-reserveSeconds+1e-6 || reserveSeconds <= 0 {
			t.Fatalf("lease_s %g, cancel_s %g: tasks may run for %g s after their cancellation, with a reserve of %g s", leaseSeconds, cancelSeconds, end, reserveSeconds)
		}
	})
}

// TestErrorsAreTyped checks that callers can find the invalid field or setting by errors.As.
func TestErrorsAreTyped(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(validSettings, `"rps":80`, `"rps":0`, 1)))
	var field *FieldError
	if !errors.As(err, &field) || field.Field != "deployment.state.rps" || err.Error() != `settings: field "deployment.state.rps": missing or not above 0` {
		t.Errorf("field out of range: error %v, want a FieldError for deployment.state.rps", err)
	}
	_, err = Parse([]byte(strings.Replace(validSettings, `"rps":80`, `"rps":"80"`, 1)))
	if !errors.As(err, &field) || err.Error() != `settings: field "deployment.state.rps": want float64, not string` {
		t.Errorf("field of another type: error %v, want a FieldError that names both types", err)
	}
	_, err = ParseOperator("x.hcl", []byte("\nidle_keep_s = 86401\n"))
	var setting *OperatorError
	if !errors.As(err, &setting) || setting.Line != 2 || err.Error() != "x.hcl:2: idle_keep_s: 86401 is outside 0 to 86400" {
		t.Errorf("setting out of range: error %v, want an OperatorError for idle_keep_s in line 2", err)
	}
}
