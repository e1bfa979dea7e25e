package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestDeployedDrainSettingsAreValid: the file that turns drains on is in order.
func TestDeployedDrainSettingsAreValid(t *testing.T) {
	const path = "../../deploy/drains.hcl"
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	operator, err := ParseOperator(path, source)
	if err != nil || operator.Drains == nil || operator.Drains.Default == nil {
		t.Fatalf("%+v, %v", operator, err)
	}
	if l := operator.Drains.Default.Limits; *l.Tasks != 8 || *l.CPUs != 128 || *l.Share != 0.2 || *l.ReplicasUp != 1 {
		t.Errorf("%+v", l)
	}
}

// TestInvalidDrainSettingsAreRefused: each is refused with file, line and reason.
func TestInvalidDrainSettingsAreRefused(t *testing.T) {
	for src, want := range map[string]string{
		"drains {\n  default {\n    tasks = -1\n  }\n}\n":                                    "x.hcl:3: drains: tasks: -1 is below 0",
		"drains {\n  default {\n    tasks = 0\n  }\n}\n":                                     "x.hcl:3: drains: tasks: 0: under it nothing could ever move",
		"drains {\n  default {\n    cpus = 0\n  }\n}\n":                                      "x.hcl:3: drains: cpus: 0: under it",
		"drains {\n  default {\n    share = 1.5\n  }\n}\n":                                   "x.hcl:3: drains: share: 1.5 is outside 0 to 1",
		"drains {\n  default {\n    share = 0\n  }\n}\n":                                     "x.hcl:3: drains: share: 0: under it",
		"drains {\n  default {\n    replicas_up = -2\n  }\n}\n":                              "x.hcl:3: drains: replicas_up: -2 is below 0",
		"drains {\n  machines_at_once = 0\n}\n":                                              "x.hcl:2: drains: machines_at_once: 0 is outside",
		"drains {\n  wait_s = -1\n}\n":                                                       "x.hcl:2: drains: wait_s: -1 is outside",
		"drains {\n  team \"t\" {\n    cpus = -3\n  }\n}\n":                                  "x.hcl:3: drains: cpus: team \"t\": -3 is below 0",
		"drains {\n  team \"t\" {}\n  team \"t\" {}\n}\n":                                    "drains: team \"t\": the team is named twice",
		"drains {\n  default {\n    tasks = 1\n  }\n  team \"t\" {\n    tasks = 0\n  }\n}\n": "x.hcl:6: drains: tasks: team \"t\": 0: under it",
		"drains {\n  default {\n    jobs = 1\n  }\n}\n":                                      "x.hcl:3",
		"drains {\n  default {\n    tasks = 1\n  }\n}\ndrains {\n}\n":                        "x.hcl:",
	} {
		if _, err := ParseOperator("x.hcl", []byte(src)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, not %q", src, err, want)
		}
	}
}

// TestDrainBudgetOfUnknownTeamIsRefused: refused when the files are read together.
func TestDrainBudgetOfUnknownTeamIsRefused(t *testing.T) {
	dir := t.TempDir()
	platform, operator := filepath.Join(dir, "s.json"), filepath.Join(dir, "o.hcl")
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(platform, validSettings)
	write(operator, "drains {\n  team \"nobody\" {\n    tasks = 1\n  }\n}\n")
	if _, err := Load(platform, operator); err == nil || !strings.Contains(err.Error(), "o.hcl:2: drains: team: there is no team \"nobody\"") {
		t.Error(err)
	}
	write(operator, "drains {\n  team \"t\" {\n    tasks = 1\n  }\n}\n")
	if _, err := Load(platform, operator); err != nil {
		t.Error(err)
	}
}
