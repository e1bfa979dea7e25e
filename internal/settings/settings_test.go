package settings

import (
	"encoding/json"
	"strings"
	"testing"
)

const good = `{"node":"worker-0","area":"a","serve_on":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081","novel":true,
"seeds":[{"node":"worker-1","area":"b","endpoint":"10.0.0.2:8081"}],
"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"deployment":{"initial_size":3,"zones":["a"],"teams":[{"name":"t","cpus":64,"cpus_max":192,"gpus":0,"gpus_max":0}],
"workers":{"report_s":3,"lease_s":36,"cancel_s":66},"state":{"rps":80,"write_rps":15,"value_kb":8,"txn_ops":12},
"cloud":{"rps":3,"list_lag_s":10},"quota":{"core_share":0.096,"mem_mb":98,"sockets":700},"skew_ms":250}}`

// TestFaultsNameTheirField: each setting, taken away or spoilt, is refused with
// its name.
func TestFaultsNameTheirField(t *testing.T) {
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"node", "serve_on", "peer_bind", "external.cloud", "external.state", "deployment.teams",
		"deployment.workers.report_s", "deployment.workers.lease_s", "deployment.workers.cancel_s", "deployment.state.rps",
		"deployment.state.write_rps", "deployment.state.value_kb", "deployment.state.txn_ops", "deployment.cloud.rps",
		"deployment.quota.core_share", "deployment.quota.mem_mb"} {
		for _, spoilt := range []any{nil, []string{"x"}} {
			var tree map[string]any
			if err := json.Unmarshal([]byte(good), &tree); err != nil {
				t.Fatal(err)
			}
			at, parts := tree, strings.Split(path, ".")
			for _, p := range parts[:len(parts)-1] {
				at = at[p].(map[string]any)
			}
			at[parts[len(parts)-1]] = spoilt
			raw, err := json.Marshal(tree)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Parse(raw); err == nil || !strings.Contains(err.Error(), path) {
				t.Errorf("%s = %v: %v", path, spoilt, err)
			}
		}
	}
}

func TestOperatorSettings(t *testing.T) {
	op, err := ParseOperator("x.hcl", []byte("wait_bound_s = 12.5\n"))
	if err != nil || op.WaitBoundS == nil || *op.WaitBoundS != 12.5 {
		t.Fatalf("%+v, %v", op, err)
	}
	for src, want := range map[string]string{
		"# c\nunheard_of = 1\n":     "x.hcl:2",
		"wait_bound_s = \n":         "x.hcl:1",
		"\n\nidle_keep_s = -1\n":    "x.hcl:3: idle_keep_s",
		"wait_bound_s = \"soon\"\n": "x.hcl:1",
	} {
		if _, err := ParseOperator("x.hcl", []byte(src)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", src, err, want)
		}
	}
}
